//! Orders to backend servers: the wanted condition, sent until the server reports it.

use kernel::{Millis, Name};
use std::collections::BTreeMap;

/// The condition that a backend server shall be in.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Wanted {
    /// Model to serve.
    pub model: Name,
    /// Version of its weights.
    pub version: Name,
}

/// Why an order is sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// The server was not in the wanted condition when this holder first wanted it.
    Differs,
    /// An order of this holder had no effect in its time.
    Again,
    /// The server left the wanted condition without an order of this holder.
    Undo,
}

/// An order to one backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// The server.
    pub server: Name,
    /// The condition, never a step towards it; the same order twice has the effect of one.
    pub wanted: Wanted,
    /// Fencing number of the holder.
    pub number: i64,
    /// Time for which it may be sent, in milliseconds from the check.
    pub valid: Millis,
    /// Why it is sent.
    pub reason: Reason,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Progress {
    Sent(Millis),
    Reached,
}

/// What was last wanted of a server, and how far it got.
#[derive(Clone, Debug)]
struct Last {
    wanted: Wanted,
    progress: Progress,
}

/// The orders that one holder has given.
#[derive(Clone, Debug)]
pub struct Orders {
    valid: Millis,
    report_lag: Millis,
    last: BTreeMap<Name, Last>,
}

impl Orders {
    /// Creates the state of a new holder. A server that does not report the wanted condition
    /// within `valid` and `report_lag`, in milliseconds, gets the order again.
    pub fn new(valid: Millis, report_lag: Millis) -> Self {
        Self { valid, report_lag, last: BTreeMap::new() }
    }

    /// Forgets everything; called when the lease is lost.
    pub fn clear(&mut self) {
        self.last.clear();
    }

    /// Compares what a server reports with what it shall be, and returns the order to send.
    pub fn reconcile(
        &mut self,
        server: &Name,
        wanted: &Wanted,
        reported: Option<&Wanted>,
        number: i64,
        now: Millis,
    ) -> Option<Order> {
        let last = self.last.get(server).filter(|last| last.wanted == *wanted);
        let last = last.map(|last| last.progress);
        if reported == Some(wanted) {
            self.note(server, wanted, Progress::Reached);
            return None;
        }
        let reason = match last {
            Some(Progress::Sent(at)) if now < at + self.valid + self.report_lag => return None,
            Some(Progress::Sent(_)) => Reason::Again,
            Some(Progress::Reached) => Reason::Undo,
            None => Reason::Differs,
        };
        self.note(server, wanted, Progress::Sent(now));
        let (server, wanted, valid) = (server.clone(), wanted.clone(), self.valid);
        Some(Order { server, wanted, number, valid, reason })
    }

    fn note(&mut self, server: &Name, wanted: &Wanted, progress: Progress) {
        self.last.insert(server.clone(), Last { wanted: wanted.clone(), progress });
    }
}
