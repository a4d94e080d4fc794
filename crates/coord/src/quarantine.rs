//! Prompt parts and requests under which servers crash, and the evidence that entries share to find
//! them.
//!
//! A crash ends all requests at a server, so that the marks of each of them become suspects, whether its answer had
//! begun or not: the parts of its prompt and its content. An innocent mark is told from the one to blame by the servers
//! that answer a request with it to the end, or go on for much longer than others did before they crashed. Under the
//! latter, every server crashes.

mod crash;
mod open_work;

use crate::fingerprint::is_request_mark;
use crate::quarantine_news::{CrashNews, HoldNews, QuarantineNews, ServerRun, SuspectNews};
use crate::rendezvous;
use kernel::{Millis, Name};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use crash::{Accusation, Crash, Suspect};
use open_work::Sent;

pub use open_work::SendId;

/// When marks of requests are put into quarantine, and for how long.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuarantineSettings {
    /// Time for which a request stays suspect after this entry stopped waiting for its answer, in milliseconds.
    pub suspect_ms: Millis,
    /// Time for which a server has to live on after it completed an answer to survive the request, in milliseconds.
    pub settle_ms: Millis,
    /// Minimum time for which a server has to go on with an answer to survive it before its end, in milliseconds.
    pub survival_ms: Millis,
    /// Number of crashes in a row that put a part into quarantine which no server is known to have
    /// survived. A crash counts if the answer began after the crash before, or if it happened
    /// [`Self::part_apart_ms`] later: servers that crash together do so for another reason.
    pub crashes: usize,
    /// The same number if a server was not seen to work on the part when it crashed: the answer had not begun, or was
    /// complete.
    pub weak_crashes: usize,
    /// Time between two crashes from which they did not happen together, whenever the answers began, in milliseconds.
    pub part_apart_ms: Millis,
    /// The same number for a request that a server survived lately: sound ones are at servers that crash
    /// under another request.
    pub crashes_of_survived: usize,
    /// Time between two crashes from which they did not happen together, in milliseconds. Both count for
    /// a request that was sent to both servers, though a server survived it lately.
    pub apart_ms: Millis,
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
    /// Time after which one request with a mark is allowed if another mark in quarantine accounts for all
    /// crashes under it, in milliseconds. One of both may be innocent.
    pub tie_trial_ms: Millis,
}

impl Default for QuarantineSettings {
    fn default() -> Self {
        Self {
            suspect_ms: 500,
            settle_ms: 150,
            survival_ms: 1_000,
            crashes: 3,
            weak_crashes: 4,
            part_apart_ms: 1_000,
            crashes_of_survived: 6,
            apart_ms: 30,
            crash_memory_ms: 120_000,
            survival_memory_ms: 30_000,
            news_ms: 3_000,
            idle_ms: 120_000,
            trial_interval_ms: 120_000,
            tie_trial_ms: 1_000,
        }
    }
}

/// Maximum number of crashes in the news for another entry.
const MAX_CRASHES_TOLD: usize = 12;

/// Whether a request may be sent to a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuarantineCheck {
    /// It may be sent.
    Allowed,
    /// Servers crash under one of its marks.
    Quarantined {
        /// The mark.
        mark: u64,
        /// Time until the next trial, in milliseconds.
        retry_after_ms: Millis,
    },
}

/// A change of the quarantine, for the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuarantineChange {
    /// A mark was put into quarantine after this number of crashes.
    Held(u64, usize),
    /// The quarantine of a mark ended.
    Released(u64),
}

/// Quarantine of a mark. Times are in milliseconds.
#[derive(Clone, Copy, Debug)]
struct Hold {
    /// Time of the last request that was refused.
    requested_at: Millis,
    /// Time of the last trial, or of the beginning.
    tried_at: Millis,
    /// Whether this entry has sent a trial because another mark may be to blame.
    tie_tried: bool,
}

/// Marks in quarantine, with the evidence of this entry and of the others.
#[derive(Clone, Debug)]
pub struct Quarantine {
    settings: QuarantineSettings,
    own_name: Name,
    entries: Vec<Name>,
    /// Requests that were sent and not survived yet.
    sent: BTreeMap<SendId, Sent>,
    last_send_id: u64,
    /// Servers of which it is being found out whether they crashed.
    in_doubt: BTreeSet<Name>,
    /// Time at which the last survived answer with a part began, or at which a request was survived.
    survived: HashMap<u64, Millis>,
    /// Survivals in order, with those that were replaced.
    survivals: VecDeque<(Millis, u64)>,
    /// The same times for accused marks of requests that are open, which a crash may still end.
    living: HashMap<u64, Millis>,
    crashes: BTreeMap<ServerRun, Crash>,
    /// What the crashes together say of each suspect mark.
    accused: HashMap<u64, Accusation>,
    /// Whether `accused` counts crashes under marks that are no longer suspect.
    has_former_suspects: bool,
    /// Whether there is evidence that was not judged yet.
    has_new_evidence: bool,
    held: BTreeMap<u64, Hold>,
    /// Time at which another entry last told of a crash or a quarantine of a mark that servers survived.
    doubted: BTreeMap<u64, Millis>,
}

impl Quarantine {
    /// Creates the quarantine of the entry `own_name`, without any evidence.
    pub fn new(settings: QuarantineSettings, own_name: Name) -> Self {
        Self {
            settings,
            own_name,
            entries: Vec::new(),
            sent: BTreeMap::new(),
            last_send_id: 0,
            in_doubt: BTreeSet::new(),
            survived: HashMap::new(),
            survivals: VecDeque::new(),
            living: HashMap::new(),
            crashes: BTreeMap::new(),
            accused: HashMap::new(),
            has_former_suspects: false,
            has_new_evidence: false,
            held: BTreeMap::new(),
            doubted: BTreeMap::new(),
        }
    }

    /// Sets the entries, one of which sends the trials.
    pub fn set_entries(&mut self, entries: Vec<Name>) {
        self.entries = entries;
    }

    /// Records that a server crashed; returns the marks that are suspect.
    pub fn record_crash(&mut self, run: ServerRun, now: Millis) -> Vec<u64> {
        let suspects = self.take_suspects(&run.server, now);
        let marks = suspects.keys().copied().collect();
        if !suspects.is_empty() {
            self.add_crash(run, now, suspects);
        }
        marks
    }

    fn add_crash(&mut self, run: ServerRun, at: Millis, suspects: BTreeMap<u64, Suspect>) {
        let crash = self.crashes.entry(run).or_insert(Crash { at, ..Crash::default() });
        crash.at = crash.at.min(at);
        for (mark, suspect) in suspects {
            if is_request_mark(mark)
                && self.survived.get(&mark).is_some_and(|last| *last >= crash.at)
            {
                continue;
            }
            let accusation = self.accused.entry(mark).or_default();
            let known = crash.suspects.entry(mark).or_insert_with(|| {
                self.has_new_evidence = true;
                accusation.crashes += 1;
                suspect
            });
            self.has_new_evidence |= suspect.began_at > known.began_at;
            known.began_at = suspect.began_at.max(known.began_at);
            known.is_own |= suspect.is_own;
            accusation.note_time(crash.at.saturating_sub(known.began_at));
        }
    }

    /// Takes in the news of another entry.
    pub fn record_news(&mut self, news: QuarantineNews, now: Millis) {
        for (part, age) in news.survived {
            self.add_survival(part, now.saturating_sub(age));
        }
        for CrashNews { run, age, suspects } in news.crashes {
            let told: Vec<u64> = suspects.keys().copied().collect();
            let at = now.saturating_sub(age);
            let suspects = suspects.into_iter().map(|(part, suspect)| {
                let SuspectNews { answered_ms, index, is_weak } = suspect;
                let began_at = at.saturating_sub(answered_ms);
                (part, Suspect { began_at, index, is_own: false, is_weak })
            });
            let mut suspects: BTreeMap<u64, Suspect> = suspects.collect();
            suspects.extend(self.take_suspects(&run.server, at));
            self.add_crash(run, at, suspects);
            self.doubt(told.into_iter().filter(|mark| self.is_accused_again(*mark)).collect(), now);
        }
        self.doubt(news.held.keys().copied().collect(), now);
        for (mark, told) in news.held {
            let told = Hold {
                requested_at: now.saturating_sub(told.request_age),
                tried_at: now.saturating_sub(told.trial_age),
                tie_tried: false,
            };
            if self.is_disproved(mark, &told) || self.is_explained(mark) {
                continue;
            }
            let hold = self.held.entry(mark).or_insert_with(|| {
                self.has_new_evidence = true;
                told
            });
            hold.requested_at = hold.requested_at.max(told.requested_at);
            hold.tried_at = hold.tried_at.max(told.tried_at);
        }
    }

    /// Notes that others suspect parts, so that they are told of the survivals known here.
    fn doubt(&mut self, mut marks: Vec<u64>, now: Millis) {
        marks.retain(|mark| self.survived.contains_key(mark));
        self.doubted.extend(marks.into_iter().map(|mark| (mark, now)));
    }

    fn add_survival(&mut self, mark: u64, at: Millis) {
        let is_newer = self.survived.get(&mark).is_none_or(|known| at > *known);
        if !is_newer {
            return;
        }
        self.survived.insert(mark, at);
        self.survivals.push_back((at, mark));
        self.has_new_evidence |= self.held.contains_key(&mark) || self.is_accused(mark);
        if is_request_mark(mark) {
            // A request that a server survived was not to blame for the crashes before.
            for crash in self.crashes.values_mut().filter(|crash| crash.at <= at) {
                self.has_former_suspects |= crash.suspects.remove(&mark).is_some();
            }
        }
    }

    fn is_accused(&self, mark: u64) -> bool {
        self.accused.contains_key(&mark)
    }

    /// Whether several servers crashed under a mark, so that others may soon hold it.
    fn is_accused_again(&self, mark: u64) -> bool {
        self.accused.get(&mark).is_some_and(|accusation| accusation.crashes > 1)
    }

    /// Forgets the marks that are no longer suspect.
    fn forget_former_suspects(&mut self) {
        if !std::mem::take(&mut self.has_former_suspects) {
            return;
        }
        self.accused.clear();
        for crash in self.crashes.values() {
            for (mark, suspect) in &crash.suspects {
                let accusation = self.accused.entry(*mark).or_default();
                accusation.crashes += 1;
                accusation.note_time(crash.at.saturating_sub(suspect.began_at));
            }
        }
    }

    /// Returns the time to which the last survival of a mark dates; `None` if none is known.
    fn survived_at(&self, mark: u64) -> Option<Millis> {
        self.survived.get(&mark).max(self.living.get(&mark)).copied()
    }

    fn is_survived(&self, mark: u64) -> bool {
        self.survived_at(mark).is_some()
    }

    /// Whether a survival disproves a quarantine. A request may turn bad at any time, so that an earlier
    /// survival does so only if too few of the crashes count with it.
    fn is_disproved(&self, mark: u64, hold: &Hold) -> bool {
        let Some(survived_at) = self.survived_at(mark) else { return false };
        !is_request_mark(mark)
            || survived_at >= hold.tried_at
            || (self.is_accused(mark) && self.crashes_under(mark) < self.crashes_to_hold(mark))
    }

    /// Applies the evidence and the time that has passed; returns what changed.
    pub fn update(&mut self, now: Millis) -> Vec<QuarantineChange> {
        self.record_survivals(now);
        self.forget(now);
        self.forget_former_suspects();
        self.find_living();
        let mut changes = self.release_idle(now);
        if std::mem::take(&mut self.has_new_evidence) {
            changes.extend(self.release_disproved());
            changes.extend(self.hold(now));
        }
        changes
    }

    /// Forgets evidence that is too old.
    fn forget(&mut self, now: Millis) {
        self.forget_ended(now);
        let settings = &self.settings;
        let known = self.crashes.len();
        self.crashes.retain(|_, crash| now.saturating_sub(crash.at) < settings.crash_memory_ms);
        self.has_new_evidence |= self.crashes.len() < known;
        self.has_former_suspects |= self.crashes.len() < known;
        self.doubted.retain(|_, at| now.saturating_sub(*at) < settings.news_ms);
        let memory_ms = settings.survival_memory_ms;
        let is_old = |(at, _): &(Millis, u64)| now.saturating_sub(*at) >= memory_ms;
        while self.survivals.front().is_some_and(is_old) {
            let Some((at, part)) = self.survivals.pop_front() else { return };
            if self.survived.get(&part) == Some(&at) {
                self.survived.remove(&part);
                self.has_new_evidence |= self.is_accused(part);
            }
        }
    }

    /// Ends quarantines that no request needs any more.
    fn release_idle(&mut self, now: Millis) -> Vec<QuarantineChange> {
        let idle_ms = self.settings.idle_ms;
        self.release(|_, _, hold| now.saturating_sub(hold.requested_at) >= idle_ms)
    }

    /// Ends quarantines that the evidence has disproved.
    fn release_disproved(&mut self) -> Vec<QuarantineChange> {
        self.release(|quarantine, mark, hold| {
            quarantine.is_disproved(mark, hold) || quarantine.is_explained(mark)
        })
    }

    fn release(&mut self, is_over: impl Fn(&Self, u64, &Hold) -> bool) -> Vec<QuarantineChange> {
        let held = self.held.iter().filter(|(mark, hold)| is_over(self, **mark, hold));
        let over: Vec<u64> = held.map(|(mark, _)| *mark).collect();
        for mark in &over {
            self.held.remove(mark);
        }
        over.into_iter().map(QuarantineChange::Released).collect()
    }

    /// Puts the marks into quarantine that crashes accuse often enough.
    fn hold(&mut self, now: Millis) -> Vec<QuarantineChange> {
        // Most marks are in one crash only. All others are judged by the quarantines of before, so that
        // their order does not matter.
        let mut guilty: Vec<(u64, usize)> = self
            .accused
            .iter()
            .filter(|(_, accusation)| accusation.crashes >= self.settings.crashes)
            .map(|(mark, _)| *mark)
            .filter(|mark| !self.held.contains_key(mark) && !self.is_cleared(*mark))
            .map(|mark| (mark, self.crashes_under(mark)))
            .filter(|(mark, crashes)| {
                *crashes >= self.crashes_to_hold(*mark) && !self.is_explained(*mark)
            })
            .collect();
        guilty.sort_unstable();
        let hold = Hold { requested_at: now, tried_at: now, tie_tried: false };
        self.held.extend(guilty.iter().map(|(mark, _)| (*mark, hold)));
        guilty.into_iter().map(|(mark, crashes)| QuarantineChange::Held(mark, crashes)).collect()
    }

    /// Whether a server survived a request with this mark lately. It may have turned bad since.
    fn is_survived_request(&self, mark: u64) -> bool {
        is_request_mark(mark) && self.is_survived(mark)
    }

    /// Returns the number of crashes that put a mark into quarantine.
    fn crashes_to_hold(&self, mark: u64) -> usize {
        if self.is_survived_request(mark) {
            self.settings.crashes_of_survived
        } else if self.is_weakly_accused(mark) {
            self.settings.weak_crashes
        } else {
            self.settings.crashes
        }
    }

    /// Whether a server was not seen to work on a request with a mark when it crashed.
    fn is_weakly_accused(&self, mark: u64) -> bool {
        let mut under = self.crashes.values().filter_map(|crash| crash.suspects.get(&mark));
        under.any(|suspect| suspect.is_weak)
    }

    /// Whether one mark may account for crashes under another one. A request that a server survived lately
    /// does not account for those under one that none did.
    fn may_explain(&self, other: u64, mark: u64) -> bool {
        other != mark
            && !self.is_cleared(other)
            && (!self.is_survived_request(other) || self.is_survived_request(mark))
    }

    /// Whether a survival clears a mark of all crashes that are known. Those that it clears a request of are
    /// no longer known.
    fn is_cleared(&self, mark: u64) -> bool {
        !is_request_mark(mark) && self.is_survived(mark)
    }

    /// Returns the number of crashes in a row under a mark. Those under another mark in quarantine do
    /// not count.
    fn crashes_under(&self, mark: u64) -> usize {
        let has_other = |crash: &Crash| {
            let mut others = crash.suspects.keys();
            others.any(|other| self.held.contains_key(other) && self.may_explain(*other, mark))
        };
        let mut crashes: Vec<(Millis, Millis)> = self
            .crashes
            .values()
            .filter(|crash| !has_other(crash))
            .filter_map(|crash| Some((crash.at, crash.suspects.get(&mark)?.began_at)))
            .collect();
        crashes.sort_unstable();
        // Copies of a request are sent at once, but few requests are the same. A part is in too many.
        let apart_ms = match (is_request_mark(mark), self.is_survived(mark)) {
            (true, false) => 0,
            (true, true) => self.settings.apart_ms,
            (false, _) => self.settings.part_apart_ms,
        };
        let mut count = 0;
        let mut last_counted: Option<Millis> = None;
        for (at, began_at) in crashes {
            if last_counted.is_none_or(|last| began_at > last || at - last >= apart_ms) {
                count += 1;
                last_counted = Some(at);
            }
        }
        count
    }

    /// Whether another mark that no server survived accounts for all crashes under a mark: it was in each
    /// of them and in further ones, or it comes later in the same requests.
    ///
    /// The later a part comes in prompts, the fewer requests share it.
    fn is_explained(&self, mark: u64) -> bool {
        let under = || self.crashes.values().filter(|crash| crash.suspects.contains_key(&mark));
        let Some(first) = under().next() else { return false };
        let index = |mark: u64| first.suspects.get(&mark).map(|suspect| suspect.index);
        let count = under().count();
        first.suspects.keys().any(|other| {
            let count_of_other =
                self.crashes.values().filter(|crash| crash.suspects.contains_key(other)).count();
            self.may_explain(*other, mark)
                && count_of_other >= self.settings.crashes
                && under().all(|crash| crash.suspects.contains_key(other))
                && (count_of_other > count || index(*other) > index(mark))
        })
    }

    /// Whether another mark in quarantine was in all crashes under a mark, so that either may be to blame.
    fn is_tied(&self, mark: u64) -> bool {
        let mut under = self.crashes.values().filter(|crash| crash.suspects.contains_key(&mark));
        let Some(first) = under.next() else { return false };
        let others = first.suspects.keys().filter(|other| **other != mark);
        let mut held = others.filter(|other| self.held.contains_key(other));
        held.any(|other| under.clone().all(|crash| crash.suspects.contains_key(other)))
    }

    /// Decides whether a request with these marks may be sent to a server.
    ///
    /// One entry allows a trial from time to time, so that a mark under which servers no longer crash
    /// does not stay in quarantine, and one soon if another mark may be to blame instead.
    pub fn check(&mut self, marks: impl Iterator<Item = u64>, now: Millis) -> QuarantineCheck {
        for mark in marks {
            let Some(hold) = self.held.get(&mark) else { continue };
            let is_tie_trial = !hold.tie_tried && self.is_tied(mark);
            let interval_ms = if is_tie_trial {
                self.settings.tie_trial_ms
            } else {
                self.settings.trial_interval_ms
            };
            let Some(hold) = self.held.get_mut(&mark) else { continue };
            hold.requested_at = now;
            let trial_at = hold.tried_at + interval_ms;
            if now >= trial_at && rendezvous::rank(&self.own_name, &self.entries, mark) == Some(0) {
                hold.tried_at = now;
                hold.tie_tried |= is_tie_trial;
                continue;
            }
            let retry_after_ms = trial_at.saturating_sub(now);
            return QuarantineCheck::Quarantined { mark, retry_after_ms };
        }
        QuarantineCheck::Allowed
    }

    /// Whether one of these marks is in quarantine.
    pub fn is_held(&self, mut marks: impl Iterator<Item = u64>) -> bool {
        marks.any(|mark| self.held.contains_key(&mark))
    }

    /// Whether a server crashed that had a request with one of these marks.
    pub fn is_suspect(&self, mut marks: impl Iterator<Item = u64>) -> bool {
        marks.any(|mark| self.is_accused(mark))
    }

    /// Returns the number of marks in quarantine.
    pub fn held_count(&self) -> usize {
        self.held.len()
    }

    /// Whether others are told of a suspect of a crash. What one entry knows, the others need not repeat, unless it is
    /// about to count; a part that a server survived needs no correction that way.
    fn is_told(&self, mark: u64, suspect: &Suspect) -> bool {
        let is_repeated = !is_request_mark(mark) && self.is_accused_again(mark);
        (suspect.is_own || is_repeated) && !self.is_cleared(mark)
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
                suspects: crash.suspects_to_tell(|mark, suspect| self.is_told(mark, suspect)),
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
            let news =
                HoldNews { request_age: age(hold.requested_at), trial_age: age(hold.tried_at) };
            (*part, news)
        });
        QuarantineNews { crashes, survived, held: held.collect() }
    }
}
