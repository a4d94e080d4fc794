//! Two entries that want the lease, the key-value service and two engines, in steps of 10 ms.

use kernel::Name;
use place::{
    Fencing, Holder, KeyOwner, LeaseAction, LeaseEvent, LeaseTimes, OrderReason, OrderTracker,
    Permit, ServerState,
};
use std::collections::BTreeMap;

/// Length of a step, in milliseconds.
const STEP: u64 = 10;
/// Length of a run, in milliseconds; long enough to settle after the longest faults.
const END: u64 = 90_000;
/// Time after which a call fails, in milliseconds.
const TIMEOUT: u64 = 2_000;
/// Time from one change of the wanted condition to the next, in milliseconds.
const CHANGE: u64 = 1_500;
/// Time at the end of a run without changes, in milliseconds.
const CALM: u64 = 15_000;
/// Time by which an engine reports late, in milliseconds.
const LAG: u64 = 500;

/// Time of a slow call or order, in milliseconds; below the longest time of an order.
const SLOW: u64 = 1_900;

/// A mechanism that is switched off for a counter-test.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Off {
    /// Engines that check numbers take any.
    Fencing,
    /// Time is taken when the answer arrives.
    TimeBeforeSending,
    /// The permit is asked once, when the lease is renewed.
    Recheck,
    /// A new holder gives orders at once to engines that ignore numbers.
    Waiting,
    /// Each order is sent once.
    Reconciling,
}

/// What befalls one call or order of the first entry.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Fault {
    /// It fails without effect.
    Down,
    /// It takes effect, and the answer is lost.
    LostAnswer,
    /// It fails and takes effect three seconds later.
    Late,
    /// It takes effect and is answered after almost the longest time of an order.
    Slow,
    /// The process is paused after noting the time and before sending, for these milliseconds.
    PauseBefore(u64),
    /// The process is paused after the effect and before the answer, for these milliseconds.
    PauseAfter(u64),
    /// Nobody reaches the key-value service for these milliseconds.
    Outage(u64),
    /// The same, and no lease runs on meanwhile.
    OutageWithoutTime(u64),
}

pub(crate) const FAULTS: [Fault; 13] = [
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
    Fault::OutageWithoutTime(9_000),
    Fault::OutageWithoutTime(30_000),
];

/// The key-value service: leases and the one key.
#[derive(Default)]
struct Kv {
    leases: BTreeMap<i64, u64>,
    key: Option<(usize, i64, i64)>,
    revision: i64,
    down_until: u64,
}

impl Kv {
    fn go_down(&mut self, fault: Option<Fault>, now: u64) {
        match fault {
            Some(Fault::Outage(time)) => self.down_until = now + time,
            Some(Fault::OutageWithoutTime(time)) => {
                self.expire(now);
                self.down_until = now + time;
                self.leases.values_mut().for_each(|until| *until += time);
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
            LeaseAction::Create(lease)
                if self.key.is_none() && self.leases.contains_key(&lease) =>
            {
                self.revision += 1;
                self.key = Some((entry, lease, self.revision));
                LeaseEvent::Created(self.revision)
            }
            LeaseAction::Create(_) | LeaseAction::Read => LeaseEvent::Found(match self.key {
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

/// An engine and the orders that it carried out.
struct Engine {
    name: Name,
    fencing: Fencing,
    highest: i64,
    /// Time, holder, number and condition of each order that took effect.
    applied: Vec<(u64, usize, i64, ServerState)>,
}

impl Engine {
    fn take(
        &mut self,
        holder: usize,
        number: i64,
        wanted: ServerState,
        now: u64,
        off: Option<Off>,
    ) {
        let checks = self.fencing == Fencing::Checked && off != Some(Off::Fencing);
        if checks && number < self.highest {
            return;
        }
        self.highest = self.highest.max(number);
        self.applied.push((now, holder, number, wanted));
    }

    fn reported(&self, now: u64) -> Option<&ServerState> {
        let past = self.applied.iter().rev().find(|(at, ..)| at + LAG <= now);
        past.map(|(.., wanted)| wanted)
    }
}

struct Entry {
    holder: Holder,
    orders: OrderTracker,
    /// What it wants of every engine, by the number of the change.
    conditions: Vec<ServerState>,
    number: Option<i64>,
    permits: [Permit; 2],
    answer: (u64, LeaseEvent),
    paused_until: u64,
    steps: usize,
}

impl Entry {
    /// Returns what this entry wants of every engine at a time.
    fn wanted(&self, now: u64) -> &ServerState {
        &self.conditions[(now.min(END - CALM) / CHANGE) as usize]
    }
}

fn condition(place: usize, number: u64) -> ServerState {
    ServerState { model: "small".into(), version: Name::from(format!("{place}-{number}")) }
}

/// Something on its way: it takes effect at a time.
enum Flight {
    Call { call: LeaseAction, entry: usize },
    Order { engine: usize, entry: usize, number: i64, wanted: ServerState },
}

/// One cell of the matrix.
pub(crate) struct World {
    times: LeaseTimes,
    script: BTreeMap<usize, Fault>,
    off: Option<Off>,
    kv: Kv,
    entries: Vec<Entry>,
    engines: Vec<Engine>,
    flights: Vec<(u64, Flight)>,
    broken: Vec<String>,
    stale_allowed: bool,
}

impl World {
    /// Creates a cell; `changes` says whether what the holders want changes during the run.
    pub(crate) fn new(script: BTreeMap<usize, Fault>, changes: bool, off: Option<Off>) -> Self {
        let times = LeaseTimes::default();
        let entry = |place: usize| Entry {
            // The rival looks at the key often, to be there as soon as the lease lapses.
            holder: Holder::new(
                LeaseTimes {
                    renew_interval: if place == 0 { times.renew_interval } else { 200 },
                    ..times
                },
                0,
            ),
            orders: OrderTracker::new(times.order_timeout, LAG),
            conditions: (0..=END / CHANGE)
                .map(|number| condition(place, if changes { number } else { 0 }))
                .collect(),
            number: None,
            permits: [Permit::NotHeld; 2],
            answer: (place as u64 * 50, LeaseEvent::Waited),
            paused_until: 0,
            steps: 0,
        };
        let engine = |name: &'static str, fencing| Engine {
            name: name.into(),
            fencing,
            highest: 0,
            applied: Vec::new(),
        };
        Self {
            times,
            script,
            off,
            kv: Kv::default(),
            entries: vec![entry(0), entry(1)],
            engines: vec![engine("ignores", Fencing::Ignored), engine("checks", Fencing::Checked)],
            flights: Vec::new(),
            broken: Vec::new(),
            stale_allowed: false,
        }
    }

    /// Runs the cell; none when a fault was not met.
    pub(crate) fn run(mut self) -> Option<Vec<String>> {
        for now in (0..END).step_by(STEP as usize) {
            self.land(now);
            for entry in 0..self.entries.len() {
                if now >= self.entries[entry].paused_until {
                    self.hear(entry, now);
                    self.give_orders(entry, now);
                }
            }
            self.check_permits(now);
        }
        self.check_engines();
        let met = self.script.keys().all(|step| *step < self.entries[0].steps);
        met.then_some(self.broken)
    }

    fn land(&mut self, now: u64) {
        if self.flights.iter().all(|(at, _)| *at > now) {
            return;
        }
        let (due, rest) = std::mem::take(&mut self.flights).into_iter().partition(|f| f.0 <= now);
        self.flights = rest;
        let due: Vec<(u64, Flight)> = due;
        for (_, flight) in due {
            match flight {
                Flight::Call { call, entry } => {
                    self.kv.apply(call, entry, now, now, &self.times);
                }
                Flight::Order { engine, entry, number, wanted } => {
                    self.engines[engine].take(entry, number, wanted, now, self.off);
                }
            }
        }
    }

    /// Gives an entry the answer that has arrived, and starts its next call.
    fn hear(&mut self, entry: usize, now: u64) {
        let (at, event) = self.entries[entry].answer;
        if now < at {
            return;
        }
        let event = match (self.off, event) {
            (Some(Off::TimeBeforeSending), LeaseEvent::Renewed(_)) => LeaseEvent::Renewed(now),
            (_, event) => event,
        };
        let next = self.entries[entry].holder.next(event, now);
        let me = &self.entries[entry];
        let permits = [Fencing::Checked, Fencing::Ignored].map(|f| me.holder.permit(f, now));
        self.entries[entry].permits = permits;
        self.entries[entry].answer = match next {
            LeaseAction::Wait(at) => (at, LeaseEvent::Waited),
            call => self.call(entry, call, now),
        };
    }

    /// Returns the fault at the next step of an entry; only the first one has faults.
    fn fault(&mut self, entry: usize) -> Option<Fault> {
        let step = self.entries[entry].steps;
        self.entries[entry].steps += 1;
        self.script.get(&step).copied().filter(|_| entry == 0)
    }

    fn call(&mut self, entry: usize, call: LeaseAction, now: u64) -> (u64, LeaseEvent) {
        let fault = self.fault(entry);
        self.kv.go_down(fault, now);
        let failed = (now + TIMEOUT, LeaseEvent::Failed);
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
                self.flights.push((now + 3_000, Flight::Call { call, entry }));
                failed
            }
            Some(Fault::PauseBefore(time)) => {
                self.flights.push((now + time, Flight::Call { call, entry }));
                self.entries[entry].paused_until = now + time;
                // What it would be told depends on the state then: it reads the key instead.
                (now + time, LeaseEvent::Failed)
            }
            Some(Fault::Slow) => (now + SLOW, apply(now)),
            Some(Fault::PauseAfter(time)) => {
                let event = apply(now);
                self.entries[entry].paused_until = now + time;
                (now + time, event)
            }
            _ => (now + STEP, apply(now)),
        }
    }

    fn give_orders(&mut self, entry: usize, now: u64) {
        for engine in 0..self.engines.len() {
            if now >= self.entries[entry].paused_until {
                self.give_order(entry, engine, now);
            }
        }
    }

    fn give_order(&mut self, entry: usize, engine: usize, now: u64) {
        let fencing = match self.off {
            Some(Off::Waiting) => Fencing::Checked,
            _ => self.engines[engine].fencing,
        };
        let me = &mut self.entries[entry];
        let permit = match self.off {
            Some(Off::Recheck) => me.permits[usize::from(fencing == Fencing::Ignored)],
            _ => me.holder.permit(fencing, now),
        };
        let Permit::Send(number) = permit else { return };
        if me.number.replace(number) != Some(number) {
            me.orders.clear();
        }
        let name = self.engines[engine].name.clone();
        let reported = self.engines[engine].reported(now);
        let wanted = me.wanted(now).clone();
        let order = me.orders.reconcile(&name, &wanted, reported, number, now);
        let Some(order) = order else { return };
        if self.off == Some(Off::Reconciling) && order.reason != OrderReason::Differs {
            return;
        }
        let mut flight = (now + STEP, Flight::Order { engine, entry, number, wanted });
        let fault = self.fault(entry);
        self.kv.go_down(fault, now);
        match fault {
            Some(Fault::Down) => return,
            Some(Fault::Late) => flight.0 = now + 3_000,
            Some(Fault::Slow) => flight.0 = now + SLOW,
            Some(Fault::PauseBefore(time)) => {
                flight.0 = now + time;
                self.entries[entry].paused_until = now + time;
            }
            Some(Fault::PauseAfter(time)) => self.entries[entry].paused_until = now + time,
            _ => {}
        }
        // An order that takes longer than the longest time may slip through, to be undone.
        self.stale_allowed |= flight.0 > now + self.times.order_timeout;
        self.flights.push(flight);
    }

    /// Two entries never may both send, whatever they believe.
    fn check_permits(&mut self, now: u64) {
        let may = |entry: &Entry| match self.off {
            Some(Off::Recheck) => matches!(entry.permits[0], Permit::Send(_)),
            _ => matches!(entry.holder.permit(Fencing::Checked, now), Permit::Send(_)),
        };
        if self.broken.is_empty() && self.entries.iter().all(may) {
            self.broken.push(format!("both may send at {now} ms"));
        }
    }

    /// Tells whether orders of one holder stand on both sides of another's within a lease.
    fn alternates(&self, engine: &Engine) -> bool {
        let applied = &engine.applied;
        let mut last: BTreeMap<usize, u64> = BTreeMap::new();
        let mut before = None;
        applied.iter().any(|(at, holder, ..)| {
            let is_turn = before.replace(*holder).is_some_and(|before| before != *holder);
            let since = last.insert(*holder, *at);
            is_turn && since.is_some_and(|since| at - since < self.times.ttl)
        })
    }

    fn check_engines(&mut self) {
        for engine in &self.engines {
            let name = &engine.name;
            let fell = engine.applied.windows(2).any(|pair| pair[1].2 < pair[0].2);
            let may_fall = engine.fencing == Fencing::Ignored && self.stale_allowed;
            if fell && !may_fall {
                self.broken.push(format!("{name}: an old order took effect after a newer one"));
            }
            if engine.fencing == Fencing::Ignored && !self.stale_allowed && self.alternates(engine)
            {
                self.broken.push(format!("{name}: two holders take turns within a lease"));
            }
            let newest = engine.applied.iter().max_by_key(|order| order.2);
            let last = engine.applied.last();
            let ruler = self.kv.key.map(|(entry, ..)| self.entries[entry].wanted(END));
            if last.is_none() || last.map(|order| &order.3) != ruler {
                self.broken.push(format!("{name}: ends with {last:?}, newest {newest:?}"));
            }
        }
    }
}
