//! Entries and servers in virtual time, and a request under which servers crash.

mod entries;
mod servers;

use coord::{
    Quarantine, QuarantineChange, QuarantineCheck, QuarantineNews, QuarantineSettings, SendId,
    ServerRun, request_mark,
};
use kernel::{Millis, Name};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::ops::Range;

const ENTRIES: usize = 7;
/// Entries that notice the end of a server late.
const SLOW_ENTRIES: usize = 3;
const SLOW_NOTICE_MS: Millis = 100;
const DAY_MS: Millis = 30_000;
/// Time from which the crashing request arrives.
const CRASHING_FROM_MS: Millis = 5_000;
/// Time at which all entries restart at once, if they do.
const RESTART_ALL_AT_MS: Millis = 15_000;
const RESTART_INTERVAL_MS: Millis = 4_000;
const CUT_MS: Millis = 4_000;
const NEWS_INTERVAL_MS: Millis = 150;
const NEWS_LOSS: f64 = 0.1;
/// Time after the third crash, or after an entry is connected, in which requests may still be sent.
const REACTION_MS: Millis = 3_000;
/// Number of sends of one request by one entry.
const MAX_SENDS: usize = 2;
/// Number of times that a caller repeats a request that failed.
const MAX_REPEATS: usize = 2;
/// Number of contents of sound requests that many callers send.
const HOT_CONTENTS: u64 = 3;
const RARE_CONTENTS: u64 = 1_500;
/// Parts of prompts; every prompt has the first part.
const PARTS: u64 = 20;

/// Which entries restart.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Restarts {
    None,
    OneByOne,
    AllAtOnce,
    /// The entry that sees the third crash is killed before it can tell of it.
    WitnessOfThirdCrash,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct DaySettings {
    pub(crate) servers: usize,
    pub(crate) domains: usize,
    pub(crate) sound_per_s: f64,
    /// Arrivals of the crashing request per second.
    pub(crate) crashing_per_s: f64,
    /// Number of copies of the crashing request that arrive at the same moment.
    pub(crate) copies: usize,
    pub(crate) has_parts: bool,
    pub(crate) restarts: Restarts,
    /// Whether servers also end for other reasons.
    pub(crate) other_ends: bool,
    /// Whether entries are cut off from the others for some time.
    pub(crate) cuts: bool,
    pub(crate) shares_news: bool,
    /// Settings other than the default ones.
    pub(crate) quarantine: Option<QuarantineSettings>,
}

impl DaySettings {
    /// A service of many servers, which also end for other reasons, and two arrivals a second.
    pub(crate) const DEFAULT: Self = Self {
        servers: 18,
        domains: 4,
        sound_per_s: 60.0,
        crashing_per_s: 2.0,
        copies: 1,
        has_parts: false,
        restarts: Restarts::None,
        other_ends: true,
        cuts: false,
        shares_news: true,
        quarantine: None,
    };
}

/// Outcome of a day.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    /// Number of servers that ended under the crashing request.
    pub(crate) crashes: usize,
    /// Number of servers that ended for another reason.
    pub(crate) other_ends: usize,
    /// Arrivals of the crashing request at servers that were no longer allowed.
    pub(crate) late: usize,
    /// Sound requests that an entry decided on.
    pub(crate) sound: usize,
    /// Those of them that were refused.
    pub(crate) refused: usize,
    /// Requests with a content that was at two servers that ended.
    pub(crate) sound_after_two_ends: usize,
    /// Those of them that were refused.
    pub(crate) refused_after_two_ends: usize,
}

impl Outcome {
    /// Returns what breaks the rule.
    pub(crate) fn faults(&self) -> Vec<&'static str> {
        let rules = [
            (self.late > 3, "the crashing request reached servers late"),
            (self.refused * 100 >= self.sound, "sound requests were refused"),
            (self.refused_after_two_ends > 0, "a request that was at two ends was refused"),
        ];
        rules.into_iter().filter(|(is_broken, _)| *is_broken).map(|(_, rule)| rule).collect()
    }
}

/// Content of a request; `None` is the one under which servers crash.
type Content = Option<u64>;

/// A request of a caller at an entry.
#[derive(Clone, Debug)]
struct Request {
    content: Content,
    entry: usize,
    tried: Vec<usize>,
    sends: usize,
    /// Number of times that the caller has repeated it.
    repeats: usize,
}

/// A request that is open at a server.
#[derive(Clone, Debug)]
struct Open {
    request: Request,
    server: usize,
    run: u64,
    sent: SendId,
    has_head: bool,
}

#[derive(Clone, Debug)]
enum Event {
    Crashing,
    Sound,
    Repeat(Content, usize),
    Head(u64),
    More(u64),
    Completed(u64),
    Crash { server: usize, run: u64 },
    EndUnderSound,
    EndDomain,
    Return(usize),
    Broke { entry: usize, incarnation: u64, server: usize, run: u64 },
    Checked { entry: usize, incarnation: u64, server: usize, broke_at: Millis },
    Retry(Request, u64),
    State(usize),
    News { to: usize, incarnation: u64, news: Box<QuarantineNews> },
    RestartOne,
    RestartAll,
    Cut,
}

struct Entry {
    quarantine: Quarantine,
    incarnation: u64,
    /// Time from which it runs and is connected to the others.
    connected_from: Millis,
    /// Times at which it learns of the present run of each server.
    learns_at: Vec<Millis>,
}

struct Server {
    run: u64,
    is_up: bool,
}

/// An event by time, and by number among those of one time.
struct Due(Millis, u64, Event);

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

pub(crate) struct Day {
    settings: DaySettings,
    rng: StdRng,
    now: Millis,
    events: BinaryHeap<Reverse<Due>>,
    last_number: u64,
    entries: Vec<Entry>,
    servers: Vec<Server>,
    open: BTreeMap<u64, Open>,
    /// Number of servers that ended while a sound content was open there, for any reason.
    ends: HashMap<u64, usize>,
    /// Time, server and run of the third crash.
    third_crash: Option<(Millis, usize, u64)>,
    is_witness_killed: bool,
    outcome: Outcome,
}

/// Returns the identity of a run. Half of the servers come back under a new name.
fn server_run(server: usize, run: u64) -> ServerRun {
    if is_renamed(server) {
        ServerRun { server: Name::from(format!("i-{server}-{run}")), started_unix_ms: run }
    } else {
        ServerRun { server: Name::from(format!("i-{server}")), started_unix_ms: run }
    }
}

fn is_renamed(server: usize) -> bool {
    !server.is_multiple_of(2)
}

impl Day {
    pub(crate) fn play(seed: u64, settings: DaySettings) -> Outcome {
        let mut day = Self {
            settings,
            rng: StdRng::seed_from_u64(seed),
            now: 0,
            events: BinaryHeap::new(),
            last_number: 0,
            entries: Vec::new(),
            servers: (0..settings.servers).map(|_| Server { run: 1, is_up: true }).collect(),
            open: BTreeMap::new(),
            ends: HashMap::new(),
            third_crash: None,
            is_witness_killed: false,
            outcome: Outcome::default(),
        };
        day.entries = (0..ENTRIES).map(|number| day.new_entry(number, 1)).collect();
        day.schedule_first();
        while let Some(Reverse(Due(at, _, event))) = day.events.pop() {
            if at >= DAY_MS {
                break;
            }
            day.now = at;
            day.handle(event);
        }
        day.outcome
    }

    fn new_entry(&self, number: usize, incarnation: u64) -> Entry {
        let name = |number: usize| Name::from(format!("e{number}"));
        let mut quarantine =
            Quarantine::new(self.settings.quarantine.unwrap_or_default(), name(number));
        quarantine.set_entries((0..ENTRIES).map(name).collect());
        let learns_at = vec![0; self.settings.servers];
        Entry { quarantine, incarnation, connected_from: self.now, learns_at }
    }

    fn schedule_first(&mut self) {
        self.schedule(CRASHING_FROM_MS, Event::Crashing);
        self.schedule(0, Event::Sound);
        for entry in 0..ENTRIES {
            let phase_ms = self.draw(0..NEWS_INTERVAL_MS);
            self.schedule(phase_ms, Event::State(entry));
        }
        if self.settings.other_ends {
            self.schedule(3_000, Event::EndUnderSound);
            let domain_ends_in_ms = self.draw(4_000..9_000);
            self.schedule(domain_ends_in_ms, Event::EndDomain);
        }
        match self.settings.restarts {
            Restarts::OneByOne => self.schedule(RESTART_INTERVAL_MS, Event::RestartOne),
            Restarts::AllAtOnce => self.schedule(RESTART_ALL_AT_MS, Event::RestartAll),
            Restarts::None | Restarts::WitnessOfThirdCrash => {}
        }
        if self.settings.cuts {
            self.schedule(CRASHING_FROM_MS, Event::Cut);
        }
    }

    fn schedule(&mut self, in_ms: Millis, event: Event) {
        let number = self.next_number();
        self.events.push(Reverse(Due(self.now + in_ms, number, event)));
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    fn draw(&mut self, range: Range<Millis>) -> Millis {
        self.rng.random_range(range)
    }

    /// Returns the time until the next of random events.
    fn draw_pause(&mut self, per_s: f64) -> Millis {
        let uniform: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
        (-uniform.ln() * 1_000.0 / per_s) as Millis
    }

    fn draw_entry(&mut self) -> usize {
        self.rng.random_range(0..ENTRIES)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Crashing => {
                for _ in 0..self.settings.copies {
                    self.receive(None, 0);
                }
                let pause_ms = self.draw_pause(self.settings.crashing_per_s);
                self.schedule(pause_ms, Event::Crashing);
            }
            Event::Sound => {
                let content = self.draw_content();
                self.receive(Some(content), 0);
                let pause_ms = self.draw_pause(self.settings.sound_per_s);
                self.schedule(pause_ms, Event::Sound);
            }
            Event::Repeat(content, repeats) => self.receive(content, repeats),
            Event::Head(id) => self.begin_answer(id),
            Event::More(id) => self.continue_answer(id),
            Event::Completed(id) => self.complete(id),
            Event::Crash { server, run } => self.crash(server, run),
            Event::EndUnderSound => self.end_under_sound(),
            Event::EndDomain => self.end_domain(),
            Event::Return(server) => self.bring_back(server),
            Event::Broke { entry, incarnation, server, run } => {
                if self.entries[entry].incarnation == incarnation {
                    self.notice(entry, server, run);
                }
            }
            Event::Checked { entry, incarnation, server, broke_at } => {
                if self.entries[entry].incarnation == incarnation {
                    self.record_crash(entry, server, broke_at);
                }
            }
            Event::Retry(request, incarnation) => {
                if self.entries[request.entry].incarnation == incarnation {
                    self.retry(request);
                } else {
                    self.fail(&request);
                }
            }
            Event::State(entry) => {
                self.update(entry);
                self.send_news(entry);
                self.schedule(NEWS_INTERVAL_MS, Event::State(entry));
            }
            Event::News { to, incarnation, news } => {
                if self.entries[to].incarnation == incarnation {
                    self.entries[to].quarantine.record_news(*news, self.now);
                }
            }
            Event::RestartOne => {
                let entry = self.draw_entry();
                self.restart(entry);
                self.schedule(RESTART_INTERVAL_MS, Event::RestartOne);
            }
            Event::RestartAll => (0..ENTRIES).for_each(|entry| self.restart(entry)),
            Event::Cut => {
                let entry = self.draw_entry();
                self.entries[entry].connected_from = self.now + CUT_MS;
                self.schedule(CUT_MS + 1_000, Event::Cut);
            }
        }
    }

    /// Returns the content of a sound request: a hot one, or a rare one that repeats now and then.
    fn draw_content(&mut self) -> u64 {
        if self.rng.random_bool(0.4) {
            self.rng.random_range(0..HOT_CONTENTS)
        } else {
            HOT_CONTENTS + self.rng.random_range(0..RARE_CONTENTS)
        }
    }

    /// Returns the marks of a request. Sound prompts share all parts with the crashing one, or just the
    /// first.
    fn marks(&self, content: Content) -> Vec<u64> {
        let body = content.map_or("crashing".to_owned(), |number| format!("sound-{number}"));
        let organisation = Name::from("caller");
        let mark = request_mark("POST", "/calls", Some(&organisation), body.as_bytes());
        let mut marks = self.parts(content);
        marks.push(mark);
        marks
    }

    fn parts(&self, content: Content) -> Vec<u64> {
        if self.settings.has_parts { vec![1, 2 + content.unwrap_or(0) % PARTS] } else { Vec::new() }
    }

    /// Lets a random entry receive a request.
    fn receive(&mut self, content: Content, repeats: usize) {
        let entry = self.draw_entry();
        self.send(Request { content, entry, tried: Vec::new(), sends: 0, repeats });
    }

    fn send(&mut self, mut request: Request) {
        loop {
            if !self.check(&request) {
                return self.fail(&request);
            }
            let untried: Vec<usize> =
                (0..self.settings.servers).filter(|id| !request.tried.contains(id)).collect();
            if untried.is_empty() {
                return self.fail(&request);
            }
            let server = untried[self.rng.random_range(0..untried.len())];
            request.tried.push(server);
            if !self.servers[server].is_up {
                continue;
            }
            let (run, known) = (self.servers[server].run, self.known_run(request.entry, server));
            let marks = self.marks(request.content);
            let name = server_run(server, known).server;
            let quarantine = &mut self.entries[request.entry].quarantine;
            let sent = quarantine.record_sent(&name, marks, self.now);
            if is_renamed(server) && run != known {
                quarantine.forget_sent(sent);
                continue;
            }
            request.sends += 1;
            return self.arrive(Open { request, server, run, sent, has_head: false });
        }
    }

    /// Returns the run of a server that an entry knows.
    fn known_run(&self, entry: usize, server: usize) -> u64 {
        let run = self.servers[server].run;
        if self.now < self.entries[entry].learns_at[server] { run - 1 } else { run }
    }

    /// Returns whether the entry allows a request to be sent.
    fn check(&mut self, request: &Request) -> bool {
        let marks = self.marks(request.content);
        let checked = self.entries[request.entry].quarantine.check(marks.into_iter(), self.now);
        let is_allowed = checked == QuarantineCheck::Allowed;
        if let Some(content) = request.content {
            let refused = usize::from(!is_allowed);
            self.outcome.sound += 1;
            self.outcome.refused += refused;
            if self.ends.get(&content) == Some(&2) {
                self.outcome.sound_after_two_ends += 1;
                self.outcome.refused_after_two_ends += refused;
            }
        }
        is_allowed
    }

    /// Lets a request arrive at a server that runs it.
    fn arrive(&mut self, open: Open) {
        let (server, run) = (open.server, open.run);
        let is_crashing = open.request.content.is_none();
        let is_judged = self.now >= self.entries[open.request.entry].connected_from + REACTION_MS;
        let is_late = self.third_crash.is_some_and(|(at, ..)| self.now > at + REACTION_MS);
        self.outcome.late += usize::from(is_crashing && is_judged && is_late);
        let id = self.next_number();
        self.open.insert(id, open);
        if is_crashing && self.rng.random_bool(0.5) {
            let crashes_in_ms = self.draw(20..160);
            return self.schedule(crashes_in_ms, Event::Crash { server, run });
        }
        let head_in_ms = self.draw(5..300);
        if !is_crashing {
            return self.schedule(head_in_ms, Event::Head(id));
        }
        let head_in_ms = head_in_ms / 2;
        self.schedule(head_in_ms, Event::Head(id));
        let crashes_in_ms = head_in_ms + self.draw(1..300);
        self.schedule(crashes_in_ms, Event::Crash { server, run });
    }

    fn is_running(&self, server: usize, run: u64) -> bool {
        self.servers[server].is_up && self.servers[server].run == run
    }

    /// Returns an open request if its server still runs.
    fn running(&self, id: u64) -> Option<&Open> {
        self.open.get(&id).filter(|open| self.is_running(open.server, open.run))
    }

    fn begin_answer(&mut self, id: u64) {
        let Some(open) = self.running(id).cloned() else { return };
        self.entries[open.request.entry].quarantine.record_head(open.sent, self.now);
        if let Some(open) = self.open.get_mut(&id) {
            open.has_head = true;
        }
        if open.request.content.is_none() {
            return;
        }
        // Half of the answers are complete with their heads, the others are streams.
        let takes_ms = if self.rng.random_bool(0.5) { 0 } else { self.draw(100..2_000) };
        if takes_ms > 510 {
            self.schedule(510, Event::More(id));
        }
        self.schedule(takes_ms, Event::Completed(id));
    }

    fn continue_answer(&mut self, id: u64) {
        let Some(open) = self.running(id).cloned() else { return };
        let quarantine = &mut self.entries[open.request.entry].quarantine;
        quarantine.record_more(open.sent, self.now);
    }

    fn complete(&mut self, id: u64) {
        if self.running(id).is_none() {
            return;
        }
        let Some(open) = self.open.remove(&id) else { return };
        let quarantine = &mut self.entries[open.request.entry].quarantine;
        quarantine.record_completion(open.sent, self.now);
    }
}
