//! Orders to backend servers: the desired state is sent until the server reports it.

use kernel::{Millis, Name};
use std::collections::BTreeMap;

/// State of a backend server, desired or reported.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ServerState {
    /// Model to serve.
    pub model: Name,
    /// Version of the model's weights.
    pub version: Name,
}

/// Why an order is sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderReason {
    /// The server did not report the desired state when this leader first compared it.
    Differs,
    /// The server did not report the desired state in time after an order of this leader.
    Retry,
    /// The server left the desired state without an order of this leader.
    Revert,
}

/// An order that sets the state of one backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// The server.
    pub server: Name,
    /// The complete desired state rather than a change, so that a repeated order has no further
    /// effect.
    pub desired: ServerState,
    /// Fencing number of the leader.
    pub fencing_number: i64,
    /// Time after the check of the permit within which the order may be sent, in milliseconds.
    pub valid_for: Millis,
    /// Why the order is sent.
    pub reason: OrderReason,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Progress {
    /// The order was sent at this time.
    Sent(Millis),
    /// The server reported the desired state.
    Reached,
}

/// The last desired state of a server, and whether the server reached it.
#[derive(Clone, Debug)]
struct LastOrder {
    desired: ServerState,
    progress: Progress,
}

/// Tracks the orders that one leader has sent.
#[derive(Clone, Debug)]
pub struct OrderTracker {
    valid_for: Millis,
    report_lag: Millis,
    last: BTreeMap<Name, LastOrder>,
}

impl OrderTracker {
    /// Creates the tracker of a new leader. The order is sent again to a server that does not
    /// report the desired state within the sum of `valid_for` and `report_lag`, in milliseconds.
    pub fn new(valid_for: Millis, report_lag: Millis) -> Self {
        Self { valid_for, report_lag, last: BTreeMap::new() }
    }

    /// Forgets all orders. Call it when the lease is lost.
    pub fn clear(&mut self) {
        self.last.clear();
    }

    /// Compares the reported state of a server with the desired one and returns the order to send,
    /// if any.
    pub fn reconcile(
        &mut self,
        server: &Name,
        desired: &ServerState,
        reported: Option<&ServerState>,
        fencing_number: i64,
        now: Millis,
    ) -> Option<Order> {
        let last = self.last.get(server).filter(|last| last.desired == *desired);
        let last = last.map(|last| last.progress);
        if reported == Some(desired) {
            self.record(server, desired, Progress::Reached);
            return None;
        }
        let reason = match last {
            Some(Progress::Sent(at)) if now < at + self.valid_for + self.report_lag => return None,
            Some(Progress::Sent(_)) => OrderReason::Retry,
            Some(Progress::Reached) => OrderReason::Revert,
            None => OrderReason::Differs,
        };
        self.record(server, desired, Progress::Sent(now));
        let (server, desired, valid_for) = (server.clone(), desired.clone(), self.valid_for);
        Some(Order { server, desired, fencing_number, valid_for, reason })
    }

    fn record(&mut self, server: &Name, desired: &ServerState, progress: Progress) {
        self.last.insert(server.clone(), LastOrder { desired: desired.clone(), progress });
    }
}
