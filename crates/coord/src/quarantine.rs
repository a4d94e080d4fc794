//! Prompt parts under which servers crash, and the evidence that entries share to find them.
//!
//! A crash breaks all answers of a server, so that the parts of every prompt there become suspects. An
//! innocent part is told from the one to blame by the servers that live on after they began to
//! answer a prompt with it.

use crate::rendezvous;
use kernel::{Millis, Name};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// When prompt parts are put into quarantine, and for how long.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuarantineSettings {
    /// Time from the beginning of an answer in which a crash makes its prompt suspect, in
    /// milliseconds.
    pub suspect_ms: Millis,
    /// Time from the beginning of an answer after which its server has survived it, in milliseconds.
    pub survival_ms: Millis,
    /// Number of crashes in a row that put a part into quarantine which no server is known to have
    /// survived. A crash counts if the answer began after the crash before: servers that crash
    /// together do so for another reason.
    pub crashes: usize,
    /// Number of crashes since the last survival that put any other part into quarantine.
    pub crashes_after_survival: usize,
    /// Time for which a crash counts, in milliseconds.
    pub crash_memory_ms: Millis,
    /// Time for which a survival counts, in milliseconds.
    pub survival_memory_ms: Millis,
    /// Time after which crashes and survivals are no longer told to other entries, in milliseconds.
    pub news_ms: Millis,
    /// Time without requests after which a quarantine ends, in milliseconds.
    pub idle_ms: Millis,
    /// Interval at which one request with the part is allowed, to find out whether servers survive
    /// it now, in milliseconds.
    pub trial_interval_ms: Millis,
}

impl Default for QuarantineSettings {
    fn default() -> Self {
        Self {
            suspect_ms: 500,
            survival_ms: 2_000,
            crashes: 3,
            crashes_after_survival: 5,
            crash_memory_ms: 120_000,
            survival_memory_ms: 60_000,
            news_ms: 3_000,
            idle_ms: 120_000,
            trial_interval_ms: 120_000,
        }
    }
}

/// Maximum number of crashes in the news for another entry.
const MAX_CRASHES_TOLD: usize = 12;

/// Start of one run of a server.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ServerRun {
    /// Name of the server.
    pub server: Name,
    /// Start of the server, in milliseconds since 1970; 0 if unknown. A server may restart under its
    /// name.
    pub started_unix_ms: u64,
}

/// Evidence and decisions of an entry, for the others. Ages are in milliseconds.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct QuarantineNews {
    /// Recent crashes.
    pub crashes: Vec<CrashNews>,
    /// Ages of the last survived answers, by part that another entry may suspect.
    pub survived: BTreeMap<u64, Millis>,
    /// Parts in quarantine.
    pub held: BTreeMap<u64, HoldNews>,
}

impl QuarantineNews {
    /// Whether there are no news.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.survived.is_empty() && self.held.is_empty()
    }
}

/// A crash, for other entries.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CrashNews {
    /// The run that ended.
    pub run: ServerRun,
    /// Age of the crash, in milliseconds.
    pub age: Millis,
    /// Parts of the prompts that the server had just begun to answer, with the time from the beginning
    /// of the last such answer to the crash, in milliseconds.
    pub suspects: BTreeMap<u64, Millis>,
}

/// A quarantine, for other entries.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct HoldNews {
    /// Number of crashes that led to it.
    pub crashes: usize,
    /// Age of the last of them, in milliseconds.
    pub crash_age: Millis,
    /// Age of the last request that was refused, in milliseconds.
    pub request_age: Millis,
    /// Age of the last trial, or of the quarantine, in milliseconds.
    pub trial_age: Millis,
}

/// Whether a prompt may be sent to a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PromptCheck {
    /// It may be sent.
    Allowed,
    /// Servers crash under one of its parts.
    Quarantined {
        /// Identifier of the part.
        part: u64,
        /// Time until the next trial, in milliseconds.
        retry_after_ms: Millis,
    },
}

/// A change of the quarantine, for the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuarantineChange {
    /// A part was put into quarantine after this number of crashes.
    Held(u64, usize),
    /// The quarantine of a part ended.
    Released(u64),
}

/// A prompt that a server began to answer.
#[derive(Clone, Debug)]
struct Answer {
    server: Name,
    parts: Vec<u64>,
    began_at: Millis,
}

#[derive(Clone, Debug, Default)]
struct Crash {
    at: Millis,
    /// Time at which the last answer with a part began, by suspect part.
    suspects: BTreeMap<u64, Millis>,
}

/// Quarantine of a part. Times are in milliseconds.
#[derive(Clone, Copy, Debug)]
struct Hold {
    crashes: usize,
    crashed_at: Millis,
    requested_at: Millis,
    tried_at: Millis,
}

/// Prompt parts in quarantine, with the evidence of this entry and of the others.
#[derive(Clone, Debug)]
pub struct Quarantine {
    settings: QuarantineSettings,
    own_name: Name,
    entries: Vec<Name>,
    /// Answers that began recently, in order.
    answers: VecDeque<Answer>,
    /// Time at which the last survived answer with a part began.
    survived: HashMap<u64, Millis>,
    /// Survivals in order, with those that were replaced.
    survivals: VecDeque<(Millis, u64)>,
    crashes: BTreeMap<ServerRun, Crash>,
    held: BTreeMap<u64, Hold>,
    /// Time at which another entry last told of a crash or a quarantine of a part that servers survived.
    doubted: BTreeMap<u64, Millis>,
}

impl Quarantine {
    /// Creates the quarantine of the entry `own_name`, without any evidence.
    pub fn new(settings: QuarantineSettings, own_name: Name) -> Self {
        Self {
            settings,
            own_name,
            entries: Vec::new(),
            answers: VecDeque::new(),
            survived: HashMap::new(),
            survivals: VecDeque::new(),
            crashes: BTreeMap::new(),
            held: BTreeMap::new(),
            doubted: BTreeMap::new(),
        }
    }

    /// Sets the entries, one of which sends the trials.
    pub fn set_entries(&mut self, entries: Vec<Name>) {
        self.entries = entries;
    }

    /// Records that a server began to answer a prompt with these parts.
    pub fn record_answer(&mut self, server: &Name, parts: Vec<u64>, now: Millis) {
        self.answers.push_back(Answer { server: server.clone(), parts, began_at: now });
    }

    /// Records that a server crashed; returns the parts that are suspect.
    pub fn record_crash(&mut self, run: ServerRun, now: Millis) -> Vec<u64> {
        let mut suspects = BTreeMap::new();
        let suspect_ms = self.settings.suspect_ms;
        self.answers.retain(|answer| {
            let is_broken = answer.server == run.server && answer.began_at <= now;
            if is_broken && now - answer.began_at <= suspect_ms {
                // Answers are in the order of their beginning.
                suspects.extend(answer.parts.iter().map(|part| (*part, answer.began_at)));
            }
            !is_broken
        });
        let parts = suspects.keys().copied().collect();
        if !suspects.is_empty() {
            self.add_crash(run, now, suspects);
        }
        parts
    }

    fn add_crash(&mut self, run: ServerRun, at: Millis, suspects: BTreeMap<u64, Millis>) {
        let crash = self.crashes.entry(run).or_insert(Crash { at, ..Crash::default() });
        crash.at = crash.at.min(at);
        for (part, began_at) in suspects {
            let last = crash.suspects.entry(part).or_insert(began_at);
            *last = began_at.max(*last);
        }
    }

    /// Takes in the news of another entry.
    pub fn record_news(&mut self, news: QuarantineNews, now: Millis) {
        for (part, age) in news.survived {
            self.add_survival(part, now.saturating_sub(age));
        }
        for CrashNews { run, age, suspects } in news.crashes {
            self.doubt(suspects.keys().copied(), now);
            let at = now.saturating_sub(age);
            let suspects = suspects.into_iter().map(|(part, time)| (part, at.saturating_sub(time)));
            self.add_crash(run, at, suspects.collect());
        }
        self.doubt(news.held.keys().copied(), now);
        for (part, told) in news.held {
            let told = Hold {
                crashes: told.crashes,
                crashed_at: now.saturating_sub(told.crash_age),
                requested_at: now.saturating_sub(told.request_age),
                tried_at: now.saturating_sub(told.trial_age),
            };
            let hold = self.held.entry(part).or_insert(told);
            hold.crashes = hold.crashes.max(told.crashes);
            hold.crashed_at = hold.crashed_at.max(told.crashed_at);
            hold.requested_at = hold.requested_at.max(told.requested_at);
            hold.tried_at = hold.tried_at.max(told.tried_at);
        }
    }

    /// Notes that others suspect parts, so that they are told of the survivals known here.
    fn doubt(&mut self, parts: impl Iterator<Item = u64>, now: Millis) {
        let known = parts.filter(|part| self.survived.contains_key(part)).map(|part| (part, now));
        self.doubted.extend(known);
    }

    fn add_survival(&mut self, part: u64, at: Millis) {
        let last = self.survived.entry(part).or_insert(at);
        *last = at.max(*last);
        self.survivals.push_back((*last, part));
    }

    /// Applies the evidence and the time that has passed; returns what changed.
    pub fn update(&mut self, now: Millis) -> Vec<QuarantineChange> {
        self.record_survivals(now);
        self.forget(now);
        let mut changes = self.release(now);
        changes.extend(self.hold(now));
        changes
    }

    /// Turns answers that began long enough ago into survivals.
    fn record_survivals(&mut self, now: Millis) {
        let survival_ms = self.settings.survival_ms;
        let is_survived = |answer: &Answer| now.saturating_sub(answer.began_at) >= survival_ms;
        while self.answers.front().is_some_and(is_survived) {
            let Some(answer) = self.answers.pop_front() else { return };
            for part in answer.parts {
                self.add_survival(part, answer.began_at);
            }
        }
    }

    /// Forgets evidence that is too old.
    fn forget(&mut self, now: Millis) {
        let settings = &self.settings;
        self.crashes.retain(|_, crash| now.saturating_sub(crash.at) < settings.crash_memory_ms);
        self.doubted.retain(|_, at| now.saturating_sub(*at) < settings.news_ms);
        let memory_ms = settings.survival_memory_ms;
        let is_old = |(at, _): &(Millis, u64)| now.saturating_sub(*at) >= memory_ms;
        while self.survivals.front().is_some_and(is_old) {
            let Some((at, part)) = self.survivals.pop_front() else { return };
            if self.survived.get(&part) == Some(&at) {
                self.survived.remove(&part);
            }
        }
    }

    /// Ends quarantines that no request needs any more, or that survivals have disproved.
    fn release(&mut self, now: Millis) -> Vec<QuarantineChange> {
        let (settings, survived) = (&self.settings, &self.survived);
        let mut released = Vec::new();
        self.held.retain(|part, hold| {
            let is_idle = now.saturating_sub(hold.requested_at) >= settings.idle_ms;
            let is_disproved = survived.get(part).is_some_and(|at| {
                *at > hold.crashed_at || hold.crashes < settings.crashes_after_survival
            });
            if is_idle || is_disproved {
                released.push(QuarantineChange::Released(*part));
            }
            !is_idle && !is_disproved
        });
        released
    }

    /// Puts the parts into quarantine that crashes accuse often enough.
    fn hold(&mut self, now: Millis) -> Vec<QuarantineChange> {
        let accused: BTreeSet<u64> =
            self.crashes.values().flat_map(|crash| crash.suspects.keys().copied()).collect();
        // All parts are judged by the quarantines of before, so that their order does not matter.
        let accused: Vec<(u64, usize, Millis)> = accused
            .into_iter()
            .filter_map(|part| {
                let (crashes, crashed_at) = self.crashes_under(part)?;
                Some((part, crashes, crashed_at))
            })
            .collect();
        let mut changes = Vec::new();
        for (part, crashes, crashed_at) in accused {
            let needed = if self.survived.contains_key(&part) {
                self.settings.crashes_after_survival
            } else {
                self.settings.crashes
            };
            if crashes < needed {
                continue;
            }
            if let Some(hold) = self.held.get_mut(&part) {
                hold.crashes = hold.crashes.max(crashes);
                hold.crashed_at = hold.crashed_at.max(crashed_at);
            } else {
                let hold = Hold { crashes, crashed_at, requested_at: now, tried_at: now };
                self.held.insert(part, hold);
                changes.push(QuarantineChange::Held(part, crashes));
            }
        }
        changes
    }

    /// Returns the number of crashes in a row under a part since its last survival, and the time of
    /// the last one; `None` without such a crash. Those that another part in quarantine explains do not
    /// count.
    fn crashes_under(&self, part: u64) -> Option<(usize, Millis)> {
        let survived_at = self.survived.get(&part);
        let is_explained = |crash: &Crash| {
            crash.suspects.keys().any(|other| *other != part && self.held.contains_key(other))
        };
        let accuses =
            |crash: &&Crash| survived_at.is_none_or(|at| crash.at > *at) && !is_explained(crash);
        let mut crashes: Vec<(Millis, Millis)> = self
            .crashes
            .values()
            .filter(accuses)
            .filter_map(|crash| Some((crash.at, *crash.suspects.get(&part)?)))
            .collect();
        crashes.sort_unstable();
        let mut counted: Option<(usize, Millis)> = None;
        for (at, began_at) in crashes {
            match counted {
                None => counted = Some((1, at)),
                Some((count, last)) if began_at > last => counted = Some((count + 1, at)),
                Some(_) => {}
            }
        }
        counted
    }

    /// Decides whether a prompt with these parts may be sent to a server.
    ///
    /// One entry allows a trial from time to time, so that a part under which servers no longer crash
    /// does not stay in quarantine.
    pub fn check(&mut self, parts: impl Iterator<Item = u64>, now: Millis) -> PromptCheck {
        for part in parts {
            let Some(hold) = self.held.get_mut(&part) else { continue };
            hold.requested_at = now;
            let trial_at = hold.tried_at + self.settings.trial_interval_ms;
            if now >= trial_at && rendezvous::rank(&self.own_name, &self.entries, part) == Some(0) {
                hold.tried_at = now;
                continue;
            }
            let retry_after_ms = trial_at.saturating_sub(now);
            return PromptCheck::Quarantined { part, retry_after_ms };
        }
        PromptCheck::Allowed
    }

    /// Whether one of these parts is in quarantine.
    pub fn is_held(&self, mut parts: impl Iterator<Item = u64>) -> bool {
        parts.any(|part| self.held.contains_key(&part))
    }

    /// Returns the number of parts in quarantine.
    pub fn held_count(&self) -> usize {
        self.held.len()
    }

    /// Returns the news for the other entries.
    pub fn news(&self, now: Millis) -> QuarantineNews {
        let age = |at: Millis| now.saturating_sub(at);
        let mut crashes: Vec<CrashNews> = self
            .crashes
            .iter()
            .filter(|(_, crash)| age(crash.at) < self.settings.news_ms)
            .map(|(run, crash)| CrashNews {
                run: run.clone(),
                age: age(crash.at),
                suspects: crash
                    .suspects
                    .iter()
                    .map(|(part, began_at)| (*part, crash.at.saturating_sub(*began_at)))
                    .collect(),
            })
            .collect();
        crashes.sort_by_key(|crash| crash.age);
        crashes.truncate(MAX_CRASHES_TOLD);
        let suspects = crashes.iter().flat_map(|crash| crash.suspects.keys());
        let survived = suspects
            .chain(self.doubted.keys())
            .filter_map(|part| Some((*part, age(*self.survived.get(part)?))))
            .collect();
        let held = self.held.iter().map(|(part, hold)| {
            let news = HoldNews {
                crashes: hold.crashes,
                crash_age: age(hold.crashed_at),
                request_age: age(hold.requested_at),
                trial_age: age(hold.tried_at),
            };
            (*part, news)
        });
        let held = held.collect();
        QuarantineNews { crashes, survived, held }
    }
}
