//! The policies that are compared.

use crate::earliest;
use kernel::{Millis, Name};
use route::{Policy, Pool, Requirements, Server};

/// A policy to compare.
#[derive(Clone, Debug, PartialEq)]
pub enum PolicyName {
    /// Any server.
    Random,
    /// Each server in turn.
    RoundRobin,
    /// The server with the fewest of this entry's requests.
    LeastInFlight,
    /// The first version of ours.
    Earliest,
    /// What entries run, with these settings.
    Today(Policy),
}

/// One entry's picture of the servers and its policy.
#[derive(Debug)]
pub struct Picker {
    policy: PolicyName,
    turn: usize,
    /// The picture.
    pub pool: Pool,
}

impl Picker {
    /// Creates a picker without any server.
    pub fn new(policy: PolicyName, entries: usize) -> Self {
        let settings = match policy {
            PolicyName::Today(settings) => settings,
            _ => Policy::default(),
        };
        let mut pool = Pool::new(settings);
        pool.set_entries(entries as u32);
        Self { policy, turn: 0, pool }
    }

    /// Chooses a server.
    pub fn choose(&mut self, wanted: &Requirements<'_>, now: Millis) -> Option<Name> {
        match self.policy {
            PolicyName::Random => self.random(wanted, now),
            PolicyName::RoundRobin => self.round_robin(wanted, now),
            PolicyName::LeastInFlight => self.least_in_flight(wanted, now),
            PolicyName::Earliest => earliest::choose(&self.pool, wanted, now),
            PolicyName::Today(_) => self.pool.choose(wanted, now).map(|choice| choice.server),
        }
    }

    fn candidates(&self, wanted: &Requirements<'_>, now: Millis) -> Vec<&Server> {
        self.pool.all().filter(|server| server.can_accept(wanted, now)).collect()
    }

    fn random(&self, wanted: &Requirements<'_>, now: Millis) -> Option<Name> {
        let all = self.candidates(wanted, now);
        let index = wanted.random as usize % all.len().max(1);
        all.get(index).map(|server| server.name.clone())
    }

    fn round_robin(&mut self, wanted: &Requirements<'_>, now: Millis) -> Option<Name> {
        self.turn += 1;
        let all = self.candidates(wanted, now);
        let index = self.turn % all.len().max(1);
        all.get(index).map(|server| server.name.clone())
    }

    fn least_in_flight(&self, wanted: &Requirements<'_>, now: Millis) -> Option<Name> {
        let all = self.candidates(wanted, now);
        let fewest = all.iter().map(|server| server.local_requests).min()?;
        let tied: Vec<_> =
            all.into_iter().filter(|server| server.local_requests == fewest).collect();
        Some(tied[wanted.random as usize % tied.len()].name.clone())
    }
}
