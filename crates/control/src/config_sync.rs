//! When an entry asks the platform or other entries for a newer configuration; pure.
//!
//! One entry of each data centre, its relay, watches the head at the platform. The others hear of a
//! new generation by gossip, and read the head now and then in case the relay is of no use. While
//! the platform does not answer, entries ask each other.

use kernel::{Millis, Name};
use xxhash_rust::xxh3::xxh3_64;

/// Times and limits.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    /// Longest wait before the first read, in milliseconds.
    pub first: Millis,
    /// Shortest time from one read to the next while all goes well, in milliseconds.
    pub poll_min: Millis,
    /// Longest time from one read to the next while all goes well, in milliseconds.
    pub poll_max: Millis,
    /// Pause after the first failure, in milliseconds; it doubles with each further one.
    pub pause_min: Millis,
    /// Longest pause after a failure, in milliseconds.
    pub pause_max: Millis,
    /// Longest time without contact after which the configuration still counts as in force.
    pub bound: Millis,
    /// Time from the first answer of another entry to the one that is trusted without the platform,
    /// in milliseconds; by then this entry has heard of the others.
    pub settle: Millis,
    /// Entries that are asked before the first configuration is trusted.
    pub ask_first: usize,
    /// Entries that are asked later on.
    pub ask_later: usize,
}

impl Default for Times {
    fn default() -> Self {
        Self {
            first: 1_000,
            poll_min: 8_000,
            poll_max: 12_000,
            pause_min: 250,
            pause_max: 4_000,
            bound: 16_000,
            settle: 1_000,
            ask_first: 32,
            ask_later: 2,
        }
    }
}

/// What an entry is to the others of its data centre.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// It watches the head for them.
    Relay,
    /// It hears from the relay.
    Follower,
}

/// Chooses the role of `me` among the live entries of its data centre by rendezvous hashing.
pub fn role<'a>(me: &Name, others: impl Iterator<Item = &'a Name>) -> Role {
    let rank = |name: &Name| (xxh3_64(name.as_bytes()), name.clone());
    let mine = rank(me);
    if others.into_iter().any(|other| rank(other) > mine) { Role::Follower } else { Role::Relay }
}

/// What happened since the last step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// The process has started.
    Started,
    /// The platform was read; the call was sent at this time.
    Read(Millis),
    /// The platform did not answer.
    ReadFailed,
    /// The watch told of a change.
    Changed,
    /// The watch ended without a change.
    WatchEnded,
    /// Another entry answered; the call was sent at this time.
    PeerAnswered(Millis),
    /// No other entry answered.
    PeersSilent,
    /// A wait is over.
    Waited,
    /// Membership changed during a wait or a watch.
    MembersChanged,
}

/// What to do next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Next {
    /// Read the head, and the body if it is new.
    Read,
    /// Watch the head until this time.
    Watch(Millis),
    /// Ask this many other entries.
    AskPeers(usize),
    /// Wait until this time.
    Wait(Millis),
}

/// Why an entry may not take requests by its configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Availability {
    /// The configuration counts as in force.
    Current,
    /// Neither the platform nor another entry has answered since the start.
    Unconfirmed,
    /// Neither has answered for this many milliseconds.
    Isolated(Millis),
}

/// How an entry keeps up with the configuration.
#[derive(Clone, Debug)]
pub struct ConfigSync {
    times: Times,
    failures: u32,
    due: Millis,
    contact: Option<Millis>,
    first_answer: Option<Millis>,
}

impl ConfigSync {
    /// Creates the state of an entry that has just started.
    pub fn new(times: Times) -> Self {
        Self { times, failures: 0, due: 0, contact: None, first_answer: None }
    }

    /// Returns what to do after an event; `draw` is a random number from 0 to 1.
    pub fn next(&mut self, event: Event, role: Role, now: Millis, draw: f64) -> Next {
        match event {
            Event::Started => self.wait(now + part(self.times.first, draw)),
            Event::Changed => Next::Read,
            Event::Waited if now >= self.due => Next::Read,
            Event::Read(sent) => self.on_read(sent, role, now, draw),
            Event::ReadFailed => Next::AskPeers(self.peers_to_ask()),
            Event::PeerAnswered(sent) => {
                self.on_answer(sent);
                self.back_off(now, draw)
            }
            Event::PeersSilent => self.back_off(now, draw),
            // A watch that ends at once must not lead to a read at once, over and over.
            Event::WatchEnded if now < self.due => self.back_off(now, draw),
            Event::WatchEnded => Next::Read,
            Event::Waited | Event::MembersChanged => self.go_on(role),
        }
    }

    /// Tells whether the configuration counts as in force.
    pub fn availability(&self, now: Millis) -> Availability {
        let Some(contact) = self.contact else { return Availability::Unconfirmed };
        let silent = now.saturating_sub(contact);
        if silent > self.times.bound {
            Availability::Isolated(silent)
        } else {
            Availability::Current
        }
    }

    /// Notes that the platform answered a call outside of the usual reads, sent at this time.
    pub fn confirm(&mut self, sent: Millis) {
        self.note_contact(sent);
    }

    fn on_read(&mut self, sent: Millis, role: Role, now: Millis, draw: f64) -> Next {
        self.note_contact(sent);
        self.failures = 0;
        let Times { poll_min, poll_max, .. } = self.times;
        self.due = now + poll_min + part(poll_max - poll_min, draw);
        self.go_on(role)
    }

    /// Trusts the answers of others once there was time to hear of the highest generation.
    fn on_answer(&mut self, sent: Millis) {
        let first = *self.first_answer.get_or_insert(sent);
        if self.contact.is_some() || sent >= first + self.times.settle {
            self.note_contact(sent);
        }
    }

    /// Watches or waits until the next read is due; no watch while calls fail.
    fn go_on(&self, role: Role) -> Next {
        match role {
            Role::Relay if self.failures == 0 && self.contact.is_some() => Next::Watch(self.due),
            _ => Next::Wait(self.due),
        }
    }

    fn back_off(&mut self, now: Millis, draw: f64) -> Next {
        let Times { pause_min, pause_max, .. } = self.times;
        let pause = (pause_min << self.failures.min(16)).min(pause_max);
        self.failures += 1;
        self.wait(now + pause / 2 + part(pause / 2, draw))
    }

    fn wait(&mut self, until: Millis) -> Next {
        self.due = until;
        Next::Wait(until)
    }

    fn peers_to_ask(&self) -> usize {
        match self.contact {
            None => self.times.ask_first,
            Some(_) => self.times.ask_later,
        }
    }

    fn note_contact(&mut self, sent: Millis) {
        self.contact = Some(self.contact.map_or(sent, |known| known.max(sent)));
    }
}

fn part(whole: Millis, draw: f64) -> Millis {
    (whole as f64 * draw) as Millis
}
