//! Simulation of two entries that compete for the lease, of the key-value service and of two
//! engines, in steps of 10 ms.

use kernel::Name;
use place::{
    Fencing, Holder, KeyOwner, LeaseAction, LeaseEvent, LeaseTimes, OrderReason, OrderTracker,
    Permit, ServerState,
};
use std::collections::BTreeMap;

/// Length of a simulation step, and duration of a call or order without a fault, in milliseconds.
const STEP_MS: u64 = 10;
/// Length of a run, in milliseconds; long enough to settle after the longest faults.
const END_MS: u64 = 90_000;
/// Timeout of a call, in milliseconds.
const TIMEOUT_MS: u64 = 2_000;
/// Interval between changes of the desired state, in milliseconds.
const CHANGE_INTERVAL_MS: u64 = 1_500;
/// Time at the end of a run without changes of the desired state, in milliseconds.
const SETTLE_MS: u64 = 15_000;
/// Delay of the reports of an engine, in milliseconds.
const REPORT_LAG_MS: u64 = 500;
/// Duration of a slow call or order, in milliseconds; just below the order timeout.
const SLOW_MS: u64 = 1_900;

/// A mechanism that is disabled to verify that the checker detects its absence.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Disabled {
    /// Engines that check fencing numbers accept any.
    Fencing,
    /// The lease is counted from the arrival of the response instead of the sending of the call.
    TimeBeforeSending,
    /// The permit is checked only after an event of the lease, not before each order.
    Recheck,
    /// A new holder sends orders immediately to engines that ignore fencing numbers.
    Waiting,
    /// Each order is sent only once.
    Reconciling,
    /// Entries ignore that the key-value service was restored.
    Restores,
}

/// Fault of one call or order of the first entry.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Fault {
    /// The call or order fails without effect.
    Down,
    /// It takes effect, but the response is lost.
    LostAnswer,
    /// It fails, but takes effect three seconds later.
    Late,
    /// It takes almost the order timeout.
    Slow,
    /// The process is paused for this time in milliseconds, after it read the clock and before it
    /// sends.
    PauseBefore(u64),
    /// The process is paused for this time in milliseconds, after the call took effect or the order
    /// was sent, and before the response arrives.
    PauseAfter(u64),
    /// No entry reaches the key-value service for this time in milliseconds.
    Outage(u64),
    /// Like `Outage`, but the remaining time of all leases is not reduced during the outage.
    OutageWithPausedLeases(u64),
    /// Like `Outage`, but the key-value service comes back from an older copy, without any lease.
    Restore(u64),
}

pub(crate) const FAULTS: [Fault; 15] = [
    Fault::Down,
    Fault::LostAnswer,
    Fault::Late,
    Fault::Slow,
    Fault::PauseBefore(1_000),
    Fault::PauseBefore(30_000),
    Fault::PauseAfter(4_000),
    Fault::PauseAfter(8_400),
    Fault::PauseAfter(30_000),
    Fault::Outage(3_000),
    Fault::Outage(30_000),
    Fault::OutageWithPausedLeases(9_000),
    Fault::OutageWithPausedLeases(30_000),
    Fault::Restore(0),
    Fault::Restore(3_000),
];

/// The key-value service, with the leases and the key of the leader.
#[derive(Default)]
struct Kv {
    /// End of each lease.
    leases: BTreeMap<i64, u64>,
    /// Entry, lease and revision of the key.
    key: Option<(usize, i64, i64)>,
    revision: i64,
    /// Number of restores from an older copy.
    restores: u64,
    down_until: u64,
}

impl Kv {
    fn start_outage(&mut self, fault: Option<Fault>, now: u64) {
        match fault {
            Some(Fault::Outage(time)) => self.down_until = now + time,
            Some(Fault::OutageWithPausedLeases(time)) => {
                self.expire(now);
                self.down_until = now + time;
                self.leases.values_mut().for_each(|until| *until += time);
            }
            Some(Fault::Restore(time)) => {
                self.down_until = now + time;
                self.restores += 1;
                self.leases.clear();
                self.key = None;
            }
            _ => {}
        }
    }

    fn expire(&mut self, now: u64) {
        self.leases.retain(|_, until| *until > now);
        self.key = self.key.filter(|(_, lease, _)| self.leases.contains_key(lease));
    }

    fn apply(
        &mut self,
        call: LeaseAction,
        entry: usize,
        sent: u64,
        now: u64,
        times: &LeaseTimes,
    ) -> LeaseEvent {
        self.expire(now);
        match call {
            LeaseAction::Grant => {
                self.revision += 1;
                self.leases.insert(self.revision, now + times.ttl);
                LeaseEvent::Granted { lease: self.revision, sent }
            }
            LeaseAction::Create { lease, .. }
                if self.key.is_none() && self.leases.contains_key(&lease) =>
            {
                self.revision += 1;
                self.key = Some((entry, lease, self.revision));
                LeaseEvent::Created(self.revision)
            }
            LeaseAction::Create { .. } | LeaseAction::Read => LeaseEvent::Found(match self.key {
                None => KeyOwner::Nobody,
                Some((holder, lease, revision)) if holder == entry => {
                    KeyOwner::ThisEntry { lease, revision }
                }
                Some(_) => KeyOwner::OtherEntry,
            }),
            LeaseAction::Renew(lease) => match self.leases.get_mut(&lease) {
                Some(until) => {
                    *until = now + times.ttl;
                    LeaseEvent::Renewed(sent)
                }
                None => LeaseEvent::Expired,
            },
            LeaseAction::Wait(_) => LeaseEvent::Waited,
        }
    }
}

/// An engine and the orders that it executed.
struct Engine {
    name: Name,
    fencing: Fencing,
    highest_number: i64,
    /// Time, holder, fencing number and state of each order that took effect.
    applied: Vec<(u64, usize, i64, ServerState)>,
}

impl Engine {
    fn execute(
        &mut self,
        holder: usize,
        number: i64,
        desired: ServerState,
        now: u64,
        disabled: Option<Disabled>,
    ) {
        let checks = self.fencing == Fencing::Checked && disabled != Some(Disabled::Fencing);
        if checks && number < self.highest_number {
            return;
        }
        self.highest_number = self.highest_number.max(number);
        self.applied.push((now, holder, number, desired));
    }

    fn reported(&self, now: u64) -> Option<&ServerState> {
        let past = self.applied.iter().rev().find(|(at, ..)| at + REPORT_LAG_MS <= now);
        past.map(|(.., desired)| desired)
    }
}

struct Entry {
    holder: Holder,
    orders: OrderTracker,
    /// Desired state of every engine, by the number of the change.
    desired_states: Vec<ServerState>,
    /// Fencing number of the permit that was used last.
    number: Option<i64>,
    permits: [Permit; 2],
    /// The next event and the time at which it arrives.
    event: (u64, LeaseEvent),
    /// Number of restores that the event tells of, and that the holder knows of.
    restores: (u64, u64),
    paused_until: u64,
    steps: usize,
}

impl Entry {
    /// Returns the desired state of every engine at a time.
    fn desired(&self, now: u64) -> &ServerState {
        &self.desired_states[(now.min(END_MS - SETTLE_MS) / CHANGE_INTERVAL_MS) as usize]
    }
}

fn desired_state(entry: usize, number: u64) -> ServerState {
    ServerState { model: "small".into(), version: Name::from(format!("{entry}-{number}")) }
}

/// A call or order that takes effect later.
enum InFlight {
    Call { call: LeaseAction, entry: usize },
    Order { engine: usize, entry: usize, number: i64, desired: ServerState },
}

/// Simulation of one cell of the fault matrix.
pub(crate) struct World {
    times: LeaseTimes,
    script: BTreeMap<usize, Fault>,
    disabled: Option<Disabled>,
    kv: Kv,
    entries: Vec<Entry>,
    engines: Vec<Engine>,
    in_flight: Vec<(u64, InFlight)>,
    violations: Vec<String>,
    /// Whether an order exceeded the order timeout, so that an engine that ignores fencing numbers
    /// may execute it late.
    stale_allowed: bool,
}

impl World {
    /// Creates a cell; `changes` is whether the desired state changes during the run.
    pub(crate) fn new(
        script: BTreeMap<usize, Fault>,
        changes: bool,
        disabled: Option<Disabled>,
    ) -> Self {
        let times = LeaseTimes::default();
        let new_entry = |index: usize| Entry {
            // The second entry polls the key often, to request the lease as soon as it expires.
            holder: Holder::new(
                LeaseTimes {
                    renew_interval: if index == 0 { times.renew_interval } else { 200 },
                    ..times
                },
                0,
            ),
            orders: OrderTracker::new(times.order_timeout, REPORT_LAG_MS),
            desired_states: (0..=END_MS / CHANGE_INTERVAL_MS)
                .map(|number| desired_state(index, if changes { number } else { 0 }))
                .collect(),
            number: None,
            permits: [Permit::NotHeld; 2],
            event: (index as u64 * 50, LeaseEvent::Waited),
            restores: (0, 0),
            paused_until: 0,
            steps: 0,
        };
        let new_engine = |name: &'static str, fencing| Engine {
            name: name.into(),
            fencing,
            highest_number: 0,
            applied: Vec::new(),
        };
        Self {
            times,
            script,
            disabled,
            kv: Kv::default(),
            entries: vec![new_entry(0), new_entry(1)],
            engines: vec![
                new_engine("ignores", Fencing::Ignored),
                new_engine("checks", Fencing::Checked),
            ],
            in_flight: Vec::new(),
            violations: Vec::new(),
            stale_allowed: false,
        }
    }

    /// Runs the cell. Returns the violations, or `None` if the run ended before a fault of the
    /// script.
    pub(crate) fn run(mut self) -> Option<Vec<String>> {
        for now in (0..END_MS).step_by(STEP_MS as usize) {
            self.apply_due(now);
            for entry in 0..self.entries.len() {
                if now >= self.entries[entry].paused_until {
                    self.handle_event(entry, now);
                    self.send_orders(entry, now);
                }
            }
            self.check_permits(now);
        }
        self.check_engines();
        let all_injected = self.script.keys().all(|step| *step < self.entries[0].steps);
        all_injected.then_some(self.violations)
    }

    /// Applies the calls and orders in flight that are due.
    fn apply_due(&mut self, now: u64) {
        if self.in_flight.iter().all(|(at, _)| *at > now) {
            return;
        }
        let (due, rest) = std::mem::take(&mut self.in_flight).into_iter().partition(|f| f.0 <= now);
        self.in_flight = rest;
        let due: Vec<(u64, InFlight)> = due;
        for (_, item) in due {
            match item {
                InFlight::Call { call, entry } => {
                    self.kv.apply(call, entry, now, now, &self.times);
                }
                InFlight::Order { engine, entry, number, desired } => {
                    self.engines[engine].execute(entry, number, desired, now, self.disabled);
                }
            }
        }
    }

    /// Passes the event that has arrived to an entry and starts its next call.
    fn handle_event(&mut self, entry: usize, now: u64) {
        let (at, event) = self.entries[entry].event;
        if now < at {
            return;
        }
        let event = match (self.disabled, event) {
            (Some(Disabled::TimeBeforeSending), LeaseEvent::Renewed(_)) => LeaseEvent::Renewed(now),
            (_, event) => event,
        };
        let (told, known) = self.entries[entry].restores;
        if told != known && self.disabled != Some(Disabled::Restores) {
            self.entries[entry].restores.1 = told;
            self.entries[entry].holder.record_restore(now);
        }
        let next = self.entries[entry].holder.next(event, now);
        let current = &self.entries[entry];
        let permits = [Fencing::Checked, Fencing::Ignored].map(|f| current.holder.permit(f, now));
        self.entries[entry].permits = permits;
        self.entries[entry].event = match next {
            LeaseAction::Wait(at) => (at, LeaseEvent::Waited),
            call => {
                let event = self.call(entry, call, now);
                if event.1 != LeaseEvent::Failed {
                    self.entries[entry].restores.0 = self.kv.restores;
                }
                event
            }
        };
    }

    /// Returns the fault at the next step of an entry. Only the first entry has faults.
    fn fault(&mut self, entry: usize) -> Option<Fault> {
        let step = self.entries[entry].steps;
        self.entries[entry].steps += 1;
        self.script.get(&step).copied().filter(|_| entry == 0)
    }

    fn call(&mut self, entry: usize, call: LeaseAction, now: u64) -> (u64, LeaseEvent) {
        let fault = self.fault(entry);
        self.kv.start_outage(fault, now);
        let failed = (now + TIMEOUT_MS, LeaseEvent::Failed);
        if now < self.kv.down_until {
            return failed;
        }
        let mut apply = |at| self.kv.apply(call, entry, now, at, &self.times);
        match fault {
            Some(Fault::Down) => failed,
            Some(Fault::LostAnswer) => {
                apply(now);
                failed
            }
            Some(Fault::Late) => {
                self.in_flight.push((now + 3_000, InFlight::Call { call, entry }));
                failed
            }
            Some(Fault::PauseBefore(time)) => {
                self.in_flight.push((now + time, InFlight::Call { call, entry }));
                self.entries[entry].paused_until = now + time;
                // The result would depend on the state after the pause. The entry reports a failed
                // call instead and reads the key.
                (now + time, LeaseEvent::Failed)
            }
            Some(Fault::Slow) => (now + SLOW_MS, apply(now)),
            Some(Fault::PauseAfter(time)) => {
                let event = apply(now);
                self.entries[entry].paused_until = now + time;
                (now + time, event)
            }
            _ => (now + STEP_MS, apply(now)),
        }
    }

    fn send_orders(&mut self, entry: usize, now: u64) {
        for engine in 0..self.engines.len() {
            if now >= self.entries[entry].paused_until {
                self.send_order(entry, engine, now);
            }
        }
    }

    fn send_order(&mut self, entry: usize, engine: usize, now: u64) {
        let fencing = match self.disabled {
            Some(Disabled::Waiting) => Fencing::Checked,
            _ => self.engines[engine].fencing,
        };
        let sender = &mut self.entries[entry];
        let permit = match self.disabled {
            Some(Disabled::Recheck) => sender.permits[usize::from(fencing == Fencing::Ignored)],
            _ => sender.holder.permit(fencing, now),
        };
        let Permit::Send(number) = permit else { return };
        if sender.number.replace(number) != Some(number) {
            sender.orders.clear();
        }
        let name = self.engines[engine].name.clone();
        let reported = self.engines[engine].reported(now);
        let desired = sender.desired(now).clone();
        let order = sender.orders.reconcile(&name, &desired, reported, number, now);
        let Some(order) = order else { return };
        if self.disabled == Some(Disabled::Reconciling) && order.reason != OrderReason::Differs {
            return;
        }
        let mut order = (now + STEP_MS, InFlight::Order { engine, entry, number, desired });
        let fault = self.fault(entry);
        self.kv.start_outage(fault, now);
        match fault {
            Some(Fault::Down) => return,
            Some(Fault::Late) => order.0 = now + 3_000,
            Some(Fault::Slow) => order.0 = now + SLOW_MS,
            Some(Fault::PauseBefore(time)) => {
                order.0 = now + time;
                self.entries[entry].paused_until = now + time;
            }
            Some(Fault::PauseAfter(time)) => self.entries[entry].paused_until = now + time,
            _ => {}
        }
        // An order that takes longer than the order timeout may take effect late. It is reverted.
        self.stale_allowed |= order.0 > now + self.times.order_timeout;
        self.in_flight.push(order);
    }

    /// Checks that the two entries are never both permitted to send orders.
    fn check_permits(&mut self, now: u64) {
        let may_send = |entry: &Entry| match self.disabled {
            Some(Disabled::Recheck) => matches!(entry.permits[0], Permit::Send(_)),
            _ => matches!(entry.holder.permit(Fencing::Checked, now), Permit::Send(_)),
        };
        if self.violations.is_empty() && self.entries.iter().all(may_send) {
            self.violations.push(format!("both entries may send at {now} ms"));
        }
    }

    /// Whether an engine executed an order of one holder between two orders of the other that are
    /// less than the TTL of the lease apart.
    fn alternates(&self, engine: &Engine) -> bool {
        let applied = &engine.applied;
        let mut last: BTreeMap<usize, u64> = BTreeMap::new();
        let mut previous = None;
        applied.iter().any(|(at, holder, ..)| {
            let is_switch = previous.replace(*holder).is_some_and(|previous| previous != *holder);
            let since = last.insert(*holder, *at);
            is_switch && since.is_some_and(|since| at - since < self.times.ttl)
        })
    }

    fn check_engines(&mut self) {
        for engine in &self.engines {
            let name = &engine.name;
            let is_stale = engine.applied.windows(2).any(|pair| pair[1].2 < pair[0].2);
            let stale_allowed = engine.fencing == Fencing::Ignored && self.stale_allowed;
            if is_stale && !stale_allowed {
                self.violations.push(format!("{name}: an old order took effect after a newer one"));
            }
            if engine.fencing == Fencing::Ignored && !self.stale_allowed && self.alternates(engine)
            {
                self.violations.push(format!(
                    "{name}: orders of two holders alternate within the TTL of a lease"
                ));
            }
            let newest = engine.applied.iter().max_by_key(|order| order.2);
            let last = engine.applied.last();
            let expected = self.kv.key.map(|(entry, ..)| self.entries[entry].desired(END_MS));
            if last.is_none() || last.map(|order| &order.3) != expected {
                self.violations.push(format!("{name}: ends with {last:?}, newest {newest:?}"));
            }
        }
    }
}
