//! The placement lease of one data centre, as one entry sees it.
//!
//! The lease is a key in the key-value service that vanishes with a lease of the platform. Whoever
//! creates the key holds it; the revision of that write is the fencing number. The holder counts
//! its time from before it sent the grant or the renewal, so that it never believes in the lease
//! for longer than the platform does.

use kernel::Millis;

/// Times of the lease, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct LeaseTimes {
    /// Time after which the platform drops a lease that is not renewed.
    pub ttl: Millis,
    /// Time kept back from the end of the lease, for clocks that run at different rates.
    pub margin: Millis,
    /// Time from one renewal to the next.
    pub renew_interval: Millis,
    /// Longest time from the check before an order to its effect.
    pub order_timeout: Millis,
    /// Pause after a failed call.
    pub retry_delay: Millis,
}

impl Default for LeaseTimes {
    fn default() -> Self {
        Self {
            ttl: 10_000,
            margin: 1_500,
            renew_interval: 2_500,
            order_timeout: 2_000,
            retry_delay: 500,
        }
    }
}

/// What an engine does with an order that carries an old fencing number.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fencing {
    /// It refuses the order.
    Checked,
    /// It carries the order out.
    Ignored,
}

/// What stands under the key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KeyOwner {
    /// Nothing.
    Nobody,
    /// This entry's key, made with this platform lease, at this revision.
    ThisEntry {
        /// Number of the platform's lease.
        lease: i64,
        /// Revision of the write.
        revision: i64,
    },
    /// The key of another entry.
    OtherEntry,
}

/// What happened since the last step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeaseEvent {
    /// A wait is over, or the process has started.
    Waited,
    /// The platform granted a lease; the call was sent at this time.
    Granted {
        /// Number of the lease.
        lease: i64,
        /// When the call was sent.
        sent: Millis,
    },
    /// The key was created at this revision.
    Created(i64),
    /// The key was read, or stood in the way of its creation.
    Found(KeyOwner),
    /// The lease was renewed; the call was sent at this time.
    Renewed(Millis),
    /// The platform has dropped the lease.
    Expired,
    /// The call failed; it may have taken effect.
    Failed,
}

/// What to do next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeaseAction {
    /// Ask the platform for a lease.
    Grant,
    /// Create the key with this lease, if nothing stands there.
    Create(i64),
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
    /// No: orders of the holder before may still take effect until this time.
    NotYet(Millis),
}

#[derive(Clone, Copy, Debug)]
enum State {
    Idle,
    /// A lease was granted; whether the key was created is open.
    Creating {
        lease: i64,
        until: Millis,
    },
    /// The key of the last tenure still stands; whether its lease does is open.
    Resuming(Tenure),
    Holding {
        tenure: Tenure,
        until: Millis,
    },
}

/// A time for which the key stands without a break.
#[derive(Clone, Copy, Debug)]
struct Tenure {
    lease: i64,
    number: i64,
    since: Millis,
    /// Time from which orders may go to engines that ignore numbers.
    settled: Millis,
}

/// The lease as one entry sees it.
#[derive(Clone, Debug)]
pub struct Holder {
    times: LeaseTimes,
    state: State,
    /// The last tenure; it goes on when the platform has kept its lease through an outage.
    last: Option<Tenure>,
    /// Time from which orders of this entry cannot come between those of a holder in between.
    rested: Millis,
}

impl Holder {
    /// Creates the state of an entry that does not hold the lease.
    ///
    /// The process before it may have held the lease until just now.
    pub fn new(times: LeaseTimes, now: Millis) -> Self {
        let rested = now + times.ttl + times.order_timeout;
        Self { times, state: State::Idle, last: None, rested }
    }

    /// Returns what to do after an event.
    pub fn next(&mut self, event: LeaseEvent, now: Millis) -> LeaseAction {
        self.drop_lapsed(now);
        match (self.state, event) {
            (_, LeaseEvent::Granted { lease, sent }) => self.on_granted(lease, sent, now),
            (State::Creating { lease, until }, LeaseEvent::Created(number)) => {
                self.hold(lease, until, number, now)
            }
            (State::Creating { .. }, LeaseEvent::Found(found)) => self.on_found(found, now),
            // The creation may have taken effect: the key tells.
            (State::Creating { .. }, LeaseEvent::Waited) => LeaseAction::Read,
            (State::Creating { .. }, _) => LeaseAction::Wait(now + self.times.retry_delay),
            (
                State::Holding { tenure, .. } | State::Resuming(tenure),
                LeaseEvent::Renewed(sent),
            ) => {
                self.state = State::Holding { tenure, until: self.end(sent) };
                LeaseAction::Wait(now + self.times.renew_interval)
            }
            (State::Holding { tenure, .. }, LeaseEvent::Waited) => LeaseAction::Renew(tenure.lease),
            (State::Holding { .. }, LeaseEvent::Expired) => self.give_up(now),
            (State::Holding { .. }, _) => LeaseAction::Wait(now + self.times.retry_delay),
            (State::Idle, LeaseEvent::Waited) => LeaseAction::Read,
            (State::Idle, LeaseEvent::Found(KeyOwner::Nobody)) => self.seek(now),
            (State::Idle, LeaseEvent::Found(KeyOwner::ThisEntry { lease, revision })) => {
                self.resume(lease, revision, now)
            }
            (State::Idle, LeaseEvent::Found(KeyOwner::OtherEntry)) => {
                LeaseAction::Wait(now + self.times.renew_interval)
            }
            _ => self.give_up(now),
        }
    }

    /// Tells whether an order may be sent; asked again immediately before each one.
    pub fn permit(&self, fencing: Fencing, now: Millis) -> Permit {
        let State::Holding { tenure: Tenure { number, since, settled, .. }, until } = self.state
        else {
            return Permit::NotHeld;
        };
        if now >= until {
            return Permit::NotHeld;
        }
        let from = match fencing {
            Fencing::Checked => since,
            Fencing::Ignored => settled,
        };
        if now < from { Permit::NotYet(from) } else { Permit::Send(number) }
    }

    fn on_granted(&mut self, lease: i64, sent: Millis, now: Millis) -> LeaseAction {
        let until = self.end(sent);
        if now >= until {
            return self.give_up(now);
        }
        self.state = State::Creating { lease, until };
        LeaseAction::Create(lease)
    }

    fn on_found(&mut self, found: KeyOwner, now: Millis) -> LeaseAction {
        let State::Creating { lease, until } = self.state else { return self.give_up(now) };
        match found {
            KeyOwner::ThisEntry { lease: known, revision } if known == lease => {
                self.hold(lease, until, revision, now)
            }
            KeyOwner::Nobody => LeaseAction::Create(lease),
            // A key of an earlier try goes with its lease, like that of another entry.
            KeyOwner::ThisEntry { .. } | KeyOwner::OtherEntry => self.give_up(now),
        }
    }

    fn hold(&mut self, lease: i64, until: Millis, number: i64, now: Millis) -> LeaseAction {
        // What the holder before sent at its end has taken effect after the time of an order.
        let settled = self.rested.max(now + self.times.order_timeout);
        let tenure = Tenure { lease, number, since: now, settled };
        self.state = State::Holding { tenure, until };
        self.last = Some(tenure);
        LeaseAction::Renew(lease)
    }

    /// Seeks the lease, unless it could not be used yet: other entries may be able to.
    fn seek(&self, now: Millis) -> LeaseAction {
        let from = self.rested.saturating_sub(self.times.order_timeout);
        if now < from { LeaseAction::Wait(from) } else { LeaseAction::Grant }
    }

    /// Gives the lease up; returns the number of the tenure that ends with it.
    ///
    /// No order may be sent after this.
    pub fn release(&mut self, now: Millis) -> Option<i64> {
        self.drop_lapsed(now);
        let State::Holding { tenure, .. } = self.state else { return None };
        self.leave(now);
        Some(tenure.number)
    }

    /// Takes the last tenure up again if its key stands: nobody else has held the lease since.
    fn resume(&mut self, lease: i64, revision: i64, now: Millis) -> LeaseAction {
        match self.last {
            Some(last) if (last.lease, last.number) == (lease, revision) => {
                self.state = State::Resuming(last);
                LeaseAction::Renew(lease)
            }
            _ => LeaseAction::Wait(now + self.times.renew_interval),
        }
    }

    fn give_up(&mut self, now: Millis) -> LeaseAction {
        self.leave(now);
        LeaseAction::Wait(now + self.times.retry_delay)
    }

    fn drop_lapsed(&mut self, now: Millis) {
        if let State::Creating { until, .. } | State::Holding { until, .. } = self.state
            && now >= until
        {
            self.leave(until);
        }
    }

    /// Ends a tenure, in which the last order may have been sent at `end`.
    fn leave(&mut self, end: Millis) {
        if let State::Holding { .. } = self.state {
            self.rested = end + self.times.ttl + self.times.order_timeout;
        }
        self.state = State::Idle;
    }

    /// Returns when this entry stops believing in a lease that runs from `sent`.
    fn end(&self, sent: Millis) -> Millis {
        sent + self.times.ttl - self.times.margin
    }
}
