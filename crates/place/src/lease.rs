//! State machine of the leader lease of one data centre, as seen by one entry.
//!
//! The leader is the entry that created a key in the key-value service under a lease of that
//! service; the key disappears with the lease. The revision of the write that created the key is
//! the fencing number. The leader measures the duration of the lease from a time before it sends
//! the call that grants or renews it. It therefore never assumes that it holds the lease for longer
//! than the key-value service does.

use kernel::Millis;

/// Durations of the lease, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct LeaseTimes {
    /// Time after which the key-value service drops a lease that is not renewed.
    pub ttl: Millis,
    /// Safety margin before the end of the lease, for clocks that run at different rates.
    pub margin: Millis,
    /// Minimum time between the orders of two tenures of one entry if another entry may have sent
    /// orders in between.
    pub separation: Millis,
    /// Interval between renewals.
    pub renew_interval: Millis,
    /// Maximum time from the check before an order to its effect.
    pub order_timeout: Millis,
    /// Delay before the next call after a failed one.
    pub retry_delay: Millis,
}

impl Default for LeaseTimes {
    fn default() -> Self {
        Self {
            ttl: 10_000,
            margin: 1_500,
            separation: 10_000,
            renew_interval: 2_500,
            order_timeout: 2_000,
            retry_delay: 500,
        }
    }
}

/// How an engine treats an order with an outdated fencing number.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fencing {
    /// The engine refuses the order.
    Checked,
    /// The engine executes the order.
    Ignored,
}

/// Owner of the key at the time of the read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KeyOwner {
    /// The key does not exist.
    Nobody,
    /// This entry created the key.
    ThisEntry {
        /// Identifier of the lease under which the key was created.
        lease: i64,
        /// Revision of the write that created the key.
        revision: i64,
    },
    /// An earlier process of this entry created the key, since the last restore of the key-value
    /// service. It has ended, so it sends no more orders, and no other entry has held the lease since.
    EarlierProcess {
        /// Revision of the write that created the key.
        revision: i64,
    },
    /// Another entry created the key.
    OtherEntry,
}

/// Result of the last action.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeaseEvent {
    /// A wait is over, or the process has started.
    Waited,
    /// The key-value service granted a lease.
    Granted {
        /// Identifier of the lease.
        lease: i64,
        /// Time at which the call was sent.
        sent: Millis,
    },
    /// The key was created at this revision.
    Created(i64),
    /// The key was read, or it already existed when this entry tried to create it.
    Found(KeyOwner),
    /// The lease was renewed by a call that was sent at this time.
    Renewed(Millis),
    /// The key-value service has dropped the lease.
    Expired,
    /// The call failed; it may still have taken effect.
    Failed,
}

/// Next action of the entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeaseAction {
    /// Request a lease from the key-value service.
    Grant,
    /// Create the key, or replace the one that an earlier process of this entry created.
    Create {
        /// Identifier of the lease under which the key is created.
        lease: i64,
        /// Revision of the key that is replaced; 0 if the key must not exist.
        replaces: i64,
    },
    /// Read the key.
    Read,
    /// Renew this lease.
    Renew(i64),
    /// Wait until this time.
    Wait(Millis),
}

/// Whether an order may be sent now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Permit {
    /// Yes, with this fencing number.
    Send(i64),
    /// No: this entry does not hold the lease.
    NotHeld,
    /// No: orders of the previous leader may still take effect until this time.
    NotYet(Millis),
}

#[derive(Clone, Copy, Debug)]
enum State {
    Idle,
    /// A lease was granted; it is not yet known whether the key was created.
    Creating {
        lease: i64,
        until: Millis,
        /// Revision of the key of an earlier process that is replaced, or 0.
        replaces: i64,
    },
    /// The key of the last held lease still exists; a renewal will show whether the lease does.
    Resuming(HeldLease),
    Holding {
        held: HeldLease,
        until: Millis,
    },
}

/// A lease under which the key has existed without interruption.
#[derive(Clone, Copy, Debug)]
struct HeldLease {
    lease: i64,
    fencing_number: i64,
    since: Millis,
    /// Time from which orders may be sent to engines that ignore fencing numbers.
    unfenced_since: Millis,
}

/// State of the lease as seen by one entry, whether or not it holds the lease.
#[derive(Clone, Debug)]
pub struct Holder {
    times: LeaseTimes,
    state: State,
    /// The last held lease; resumed if the key-value service has kept it through an outage.
    last: Option<HeldLease>,
    /// Revision of the key of an earlier process of this entry that is to be replaced, or 0.
    takeover: i64,
    /// Time until which another entry may still believe in a lease that a restore of the key-value
    /// service ended early.
    vacant_from: Millis,
    /// Time from which new orders of this entry cannot alternate with those of another leader that
    /// held the lease in the meantime.
    cooldown_end: Millis,
}

impl Holder {
    /// Creates the state of an entry that does not hold the lease.
    ///
    /// The previous process of this entry may have held the lease until `now`.
    pub fn new(times: LeaseTimes, now: Millis) -> Self {
        let cooldown_end = now + times.separation + times.order_timeout;
        Self { times, state: State::Idle, last: None, takeover: 0, vacant_from: 0, cooldown_end }
    }

    /// Creates the state of an entry in a deployment that starts for the first time, so that no
    /// process can have held the lease before.
    pub fn at_first_start(times: LeaseTimes, now: Millis) -> Self {
        Self { cooldown_end: now + times.order_timeout, ..Self::new(times, now) }
    }

    /// Notes that the key-value service has come back from an older copy, with which all leases of
    /// before ended.
    ///
    /// Their holders may not know yet, so a new lease is requested only when the old ones would have
    /// ended by themselves.
    pub fn record_restore(&mut self, now: Millis) {
        self.drop_expired(now);
        self.stop_holding(now);
        (self.last, self.takeover) = (None, 0);
        self.vacant_from = now + self.times.ttl;
    }

    /// Returns the next action after an event.
    pub fn next(&mut self, event: LeaseEvent, now: Millis) -> LeaseAction {
        self.drop_expired(now);
        match (self.state, event) {
            (_, LeaseEvent::Granted { lease, sent }) => self.on_granted(lease, sent, now),
            (State::Creating { lease, until, replaces }, LeaseEvent::Created(revision)) => {
                self.hold(lease, until, revision, replaces, now)
            }
            (State::Creating { .. }, LeaseEvent::Found(owner)) => self.on_found(owner, now),
            // The creation may have taken effect; reading the key shows whether it did.
            (State::Creating { .. }, LeaseEvent::Waited) => LeaseAction::Read,
            (State::Creating { .. }, _) => LeaseAction::Wait(now + self.times.retry_delay),
            (State::Holding { held, .. } | State::Resuming(held), LeaseEvent::Renewed(sent)) => {
                self.state = State::Holding { held, until: self.held_until(sent) };
                LeaseAction::Wait(now + self.times.renew_interval)
            }
            (State::Holding { held, .. }, LeaseEvent::Waited) => LeaseAction::Renew(held.lease),
            (State::Holding { .. }, LeaseEvent::Expired) => self.abandon(now),
            (State::Holding { .. }, _) => LeaseAction::Wait(now + self.times.retry_delay),
            (State::Idle, LeaseEvent::Waited) => LeaseAction::Read,
            (State::Idle, LeaseEvent::Found(KeyOwner::Nobody)) => self.request_lease(now),
            (State::Idle, LeaseEvent::Found(KeyOwner::ThisEntry { lease, revision })) => {
                self.resume(lease, revision, now)
            }
            (State::Idle, LeaseEvent::Found(KeyOwner::EarlierProcess { revision })) => {
                self.takeover = revision;
                LeaseAction::Grant
            }
            (State::Idle, LeaseEvent::Found(KeyOwner::OtherEntry)) => {
                LeaseAction::Wait(now + self.times.renew_interval)
            }
            _ => self.abandon(now),
        }
    }

    /// Returns whether an order may be sent. Call it again immediately before each order.
    pub fn permit(&self, fencing: Fencing, now: Millis) -> Permit {
        let State::Holding { held, until } = self.state else { return Permit::NotHeld };
        let HeldLease { fencing_number, since, unfenced_since, .. } = held;
        if now >= until {
            return Permit::NotHeld;
        }
        let from = match fencing {
            Fencing::Checked => since,
            Fencing::Ignored => unfenced_since,
        };
        if now < from { Permit::NotYet(from) } else { Permit::Send(fencing_number) }
    }

    fn on_granted(&mut self, lease: i64, sent: Millis, now: Millis) -> LeaseAction {
        let until = self.held_until(sent);
        let is_too_early = self.takeover == 0 && now < self.vacant_from;
        if now >= until || is_too_early {
            return self.abandon(now);
        }
        let replaces = std::mem::take(&mut self.takeover);
        self.state = State::Creating { lease, until, replaces };
        LeaseAction::Create { lease, replaces }
    }

    fn on_found(&mut self, owner: KeyOwner, now: Millis) -> LeaseAction {
        let State::Creating { lease, until, replaces } = self.state else {
            return self.abandon(now);
        };
        match owner {
            KeyOwner::ThisEntry { lease: key_lease, revision } if key_lease == lease => {
                self.hold(lease, until, revision, replaces, now)
            }
            KeyOwner::Nobody => {
                self.state = State::Creating { lease, until, replaces: 0 };
                LeaseAction::Create { lease, replaces: 0 }
            }
            KeyOwner::EarlierProcess { revision } if revision == replaces => {
                LeaseAction::Create { lease, replaces }
            }
            // A key of an earlier attempt disappears with its lease, like that of another entry.
            KeyOwner::ThisEntry { .. } | KeyOwner::EarlierProcess { .. } | KeyOwner::OtherEntry => {
                self.abandon(now)
            }
        }
    }

    fn hold(
        &mut self,
        lease: i64,
        until: Millis,
        revision: i64,
        replaces: i64,
        now: Millis,
    ) -> LeaseAction {
        // The last orders of the previous leader take effect within the order timeout. After a
        // takeover from an earlier process, no other entry can have sent any in between.
        let cooldown_end = if replaces == 0 { self.cooldown_end } else { now };
        let unfenced_since = cooldown_end.max(now + self.times.order_timeout);
        let held = HeldLease { lease, fencing_number: revision, since: now, unfenced_since };
        self.state = State::Holding { held, until };
        self.last = Some(held);
        LeaseAction::Renew(lease)
    }

    /// Requests a lease once this entry can use it. Until then, another entry that can use it
    /// sooner may take it.
    fn request_lease(&self, now: Millis) -> LeaseAction {
        let cooldown_end = self.cooldown_end.saturating_sub(self.times.order_timeout);
        let from = cooldown_end.max(self.vacant_from);
        if now < from { LeaseAction::Wait(from) } else { LeaseAction::Grant }
    }

    /// Stops holding the lease and returns its fencing number, or `None` if it was not held.
    ///
    /// No order may be sent after this call.
    pub fn release(&mut self, now: Millis) -> Option<i64> {
        self.drop_expired(now);
        let State::Holding { held, .. } = self.state else { return None };
        self.stop_holding(now);
        Some(held.fencing_number)
    }

    /// Resumes the last held lease if its key still exists: no other entry has held the lease
    /// since.
    fn resume(&mut self, lease: i64, revision: i64, now: Millis) -> LeaseAction {
        match self.last {
            Some(last) if (last.lease, last.fencing_number) == (lease, revision) => {
                self.state = State::Resuming(last);
                LeaseAction::Renew(lease)
            }
            _ => LeaseAction::Wait(now + self.times.renew_interval),
        }
    }

    /// Stops holding or requesting the lease and waits before the next attempt.
    fn abandon(&mut self, now: Millis) -> LeaseAction {
        self.stop_holding(now);
        LeaseAction::Wait(now + self.times.retry_delay)
    }

    fn drop_expired(&mut self, now: Millis) {
        if let State::Creating { until, .. } | State::Holding { until, .. } = self.state
            && now >= until
        {
            self.stop_holding(until);
        }
    }

    /// Leaves the current state. If it held the lease, the last order may have been sent at `end`.
    fn stop_holding(&mut self, end: Millis) {
        if let State::Holding { .. } = self.state {
            self.cooldown_end = end + self.times.separation + self.times.order_timeout;
        }
        self.state = State::Idle;
    }

    /// Returns the time until which this entry assumes that it holds a lease that it requested or
    /// renewed at `sent`.
    fn held_until(&self, sent: Millis) -> Millis {
        sent + self.times.ttl - self.times.margin
    }
}
