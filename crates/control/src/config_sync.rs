//! State machine that decides when an entry queries the platform or other entries for a newer
//! configuration; performs no I/O.
//!
//! In each data centre one entry, the relay, watches the head at the platform. The other entries
//! learn of a new generation by gossip, and also poll the head at long intervals in case the relay
//! fails. While the platform does not answer, entries query each other.

use kernel::{Millis, Name};
use xxhash_rust::xxh3::xxh3_64;

/// Intervals, timeouts and limits of the synchronisation.
#[derive(Clone, Copy, Debug)]
pub struct SyncSettings {
    /// Maximum delay before the first read, in milliseconds; the delay is random.
    pub max_start_delay: Millis,
    /// Minimum interval between reads while calls succeed, in milliseconds.
    pub min_poll_interval: Millis,
    /// Maximum interval between reads while calls succeed, in milliseconds.
    pub max_poll_interval: Millis,
    /// Backoff after the first failure, before jitter, in milliseconds; it doubles with each
    /// further failure.
    pub min_backoff: Millis,
    /// Maximum backoff after a failure, before jitter, in milliseconds.
    pub max_backoff: Millis,
    /// Maximum time since the last contact during which the configuration still counts as active,
    /// in milliseconds.
    pub max_contact_age: Millis,
    /// Time after the first answer of another entry from which such an answer is trusted without
    /// the platform, in milliseconds. By then this entry has learned of the others by gossip.
    pub peer_trust_delay: Millis,
    /// Number of entries to query until the configuration has been confirmed for the first time.
    pub initial_peers: usize,
    /// Number of entries to query after the first confirmation.
    pub later_peers: usize,
}

impl Default for SyncSettings {
    fn default() -> Self {
        Self {
            max_start_delay: 1_000,
            min_poll_interval: 8_000,
            max_poll_interval: 12_000,
            min_backoff: 250,
            max_backoff: 4_000,
            max_contact_age: 16_000,
            peer_trust_delay: 1_000,
            initial_peers: 32,
            later_peers: 2,
        }
    }
}

/// Role of an entry within its data centre.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// Watches the head for the data centre.
    Relay,
    /// Learns of new generations from the relay by gossip.
    Follower,
}

/// Returns the role of `me` among the live entries of its data centre, by rendezvous hashing.
pub fn role<'a>(me: &Name, others: impl Iterator<Item = &'a Name>) -> Role {
    let score = |name: &Name| (xxh3_64(name.as_bytes()), name.clone());
    let own_score = score(me);
    if others.into_iter().any(|other| score(other) > own_score) {
        Role::Follower
    } else {
        Role::Relay
    }
}

/// Result of the previous step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// The process started.
    Started,
    /// The platform was read, by a call sent at this time.
    Read(Millis),
    /// The platform did not answer.
    ReadFailed,
    /// The watch reported a change.
    Changed,
    /// The watch ended without a change.
    WatchEnded,
    /// At least one other entry answered a call sent at this time.
    PeerAnswered(Millis),
    /// No other entry answered.
    NoPeerAnswered,
    /// A wait, or the time of a watch, has elapsed.
    Waited,
    /// Membership changed during a wait or a watch.
    MembersChanged,
}

/// Next step to perform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// Read the head, and the body if the head is new.
    Read,
    /// Watch the head until this time.
    Watch(Millis),
    /// Query this many other entries.
    AskPeers(usize),
    /// Wait until this time.
    Wait(Millis),
}

/// Whether an entry may accept requests under its configuration, and if not, why.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Availability {
    /// The configuration was confirmed recently enough.
    Current,
    /// Neither the platform nor another entry has confirmed it since the start.
    Unconfirmed,
    /// Neither has confirmed it for this many milliseconds.
    Isolated(Millis),
}

/// State machine that keeps the configuration of an entry up to date.
#[derive(Clone, Debug)]
pub struct ConfigSync {
    settings: SyncSettings,
    consecutive_failures: u32,
    next_read_at: Millis,
    last_contact: Option<Millis>,
    first_peer_answer: Option<Millis>,
}

impl ConfigSync {
    /// Creates the state of an entry that has just started.
    pub fn new(settings: SyncSettings) -> Self {
        Self {
            settings,
            consecutive_failures: 0,
            next_read_at: 0,
            last_contact: None,
            first_peer_answer: None,
        }
    }

    /// Returns the next step after an event; `random` is a random number from 0 to 1.
    pub fn next(&mut self, event: Event, role: Role, now: Millis, random: f64) -> Step {
        match event {
            Event::Started => {
                self.wait_until(now + fraction(self.settings.max_start_delay, random))
            }
            Event::Changed => Step::Read,
            Event::Waited if now >= self.next_read_at => Step::Read,
            Event::Read(sent) => self.on_read(sent, role, now, random),
            Event::ReadFailed => Step::AskPeers(self.peers_to_query()),
            Event::PeerAnswered(sent) => {
                self.on_peer_answer(sent);
                self.back_off(now, random)
            }
            Event::NoPeerAnswered => self.back_off(now, random),
            // Backs off, since a watch that always ends at once would cause a tight loop of reads.
            Event::WatchEnded if now < self.next_read_at => self.back_off(now, random),
            Event::WatchEnded => Step::Read,
            Event::Waited | Event::MembersChanged => self.watch_or_wait(role),
        }
    }

    /// Returns whether the entry may accept requests under its configuration.
    pub fn availability(&self, now: Millis) -> Availability {
        let Some(last_contact) = self.last_contact else { return Availability::Unconfirmed };
        let contact_age = now.saturating_sub(last_contact);
        if contact_age > self.settings.max_contact_age {
            Availability::Isolated(contact_age)
        } else {
            Availability::Current
        }
    }

    /// Records that the platform answered a call, sent at this time, other than a read of this
    /// state machine.
    pub fn record_contact(&mut self, sent: Millis) {
        self.update_contact(sent);
    }

    fn on_read(&mut self, sent: Millis, role: Role, now: Millis, random: f64) -> Step {
        self.update_contact(sent);
        self.consecutive_failures = 0;
        let SyncSettings { min_poll_interval, max_poll_interval, .. } = self.settings;
        self.next_read_at =
            now + min_poll_interval + fraction(max_poll_interval - min_poll_interval, random);
        self.watch_or_wait(role)
    }

    /// Trusts answers of other entries only once there was time to learn of the highest generation.
    fn on_peer_answer(&mut self, sent: Millis) {
        let first = *self.first_peer_answer.get_or_insert(sent);
        if self.last_contact.is_some() || sent >= first + self.settings.peer_trust_delay {
            self.update_contact(sent);
        }
    }

    /// Returns a watch for the relay, otherwise a wait, until the next read is due. The relay waits
    /// as well while calls fail and before the first contact.
    fn watch_or_wait(&self, role: Role) -> Step {
        match role {
            Role::Relay if self.consecutive_failures == 0 && self.last_contact.is_some() => {
                Step::Watch(self.next_read_at)
            }
            _ => Step::Wait(self.next_read_at),
        }
    }

    fn back_off(&mut self, now: Millis, random: f64) -> Step {
        let SyncSettings { min_backoff, max_backoff, .. } = self.settings;
        let backoff = (min_backoff << self.consecutive_failures.min(16)).min(max_backoff);
        self.consecutive_failures += 1;
        self.wait_until(now + backoff / 2 + fraction(backoff / 2, random))
    }

    fn wait_until(&mut self, until: Millis) -> Step {
        self.next_read_at = until;
        Step::Wait(until)
    }

    fn peers_to_query(&self) -> usize {
        match self.last_contact {
            None => self.settings.initial_peers,
            Some(_) => self.settings.later_peers,
        }
    }

    fn update_contact(&mut self, sent: Millis) {
        self.last_contact = Some(self.last_contact.map_or(sent, |known| known.max(sent)));
    }
}

fn fraction(total: Millis, random: f64) -> Millis {
    (total as f64 * random) as Millis
}
