//! One run: arrivals, entries, engines and faults in virtual time.

mod faults;
mod picture;
mod requests;
mod steps;

use crate::arrival::Arrival;
use crate::engine::Engine;
use crate::outcome::{Held, Outcome};
use crate::picker::{Picker, PolicyName};
use crate::settings::{Faults, RequestKind, Workload};
use kernel::Name;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use route::{LoadReport, RetryBudgets};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// Attempts at one request.
const ATTEMPTS: u32 = 4;
/// Time after which a failed attempt is repeated, in microseconds.
const RETRY_US: u64 = 5_000;
/// Time after which a caller that was refused without a time to wait asks again.
const CALLER_US: u64 = 1_000_000;
/// Milliseconds that an answer takes at least.
const LEAST_ANSWER_MS: u64 = 20;
/// Time after which the VM list shows a change, in microseconds.
const LIST_US: u64 = 1_000_000;
/// Time after which every entry knows of a notice, in microseconds.
const NOTICE_US: u64 = 50_000;

/// What protects entries and servers from overload.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Protection {
    /// Share of its own requests that an organisation may send again; `None` for no bound.
    pub retry_share: Option<f64>,
    /// Whether requests that would be late are refused.
    pub admission: bool,
}

impl Protection {
    /// No protection.
    pub const NONE: Self = Self { retry_share: None, admission: false };
}

impl Default for Protection {
    fn default() -> Self {
        Self { retry_share: Some(0.1), admission: true }
    }
}

/// What is run.
#[derive(Clone, Copy, Debug)]
pub struct Scenario<'a> {
    /// Workload.
    pub workload: &'a Workload,
    /// Faults.
    pub faults: &'a Faults,
    /// Arrivals, in the order of time.
    pub arrivals: &'a [Arrival],
    /// Policy.
    pub policy: &'a PolicyName,
    /// Protection against overload.
    pub protection: Protection,
    /// Seed of the draws.
    pub seed: u64,
}

/// Runs a scenario to its end.
pub fn run(scenario: &Scenario<'_>) -> Outcome {
    let mut world = World::new(scenario);
    world.schedule();
    while let Some(Reverse((now, _, event))) = world.events.pop() {
        world.now = now;
        world.handle(event);
    }
    world.finish()
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive(usize),
    Retry(usize),
    Deadline(usize),
    Stall { request: usize, attempt: u32 },
    Step { server: usize, run: u32 },
    Poll(usize),
    Deliver { entry: usize, batch: usize },
    FaultStarts(usize),
    FaultEnds(usize),
    Notice { server: usize, run: u32 },
    Gone { server: usize, run: u32 },
    List,
}

/// A server and the VM that is in its place now.
struct Place {
    group: usize,
    run: u32,
    up: bool,
    stepping: bool,
    engine: Engine,
    announced: bool,
    held: Held,
    name: Name,
}

/// A request in the middle of its life.
#[derive(Clone, Debug, Default)]
struct Live {
    attempt: u32,
    asked: u32,
    server: Option<(usize, Name)>,
    tokens: u64,
    last_us: u64,
    /// Tokens read for it so far, its cached start included.
    computed: u64,
    over: bool,
}

struct World<'a> {
    scenario: &'a Scenario<'a>,
    now: u64,
    number: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    places: Vec<Place>,
    by_name: BTreeMap<Name, usize>,
    pickers: Vec<Picker>,
    budgets: Vec<RetryBudgets>,
    organisations: Vec<Name>,
    reports: Vec<Vec<(Name, LoadReport)>>,
    live: Vec<Live>,
    lag: f64,
    deaf: bool,
    rng: StdRng,
    outcome: Outcome,
}

impl<'a> World<'a> {
    fn new(scenario: &'a Scenario<'a>) -> Self {
        let workload = scenario.workload;
        let groups = workload.groups.iter().enumerate();
        let places: Vec<Place> = groups
            .flat_map(|(group, settings)| {
                (0..settings.count).map(move |number| Place {
                    group,
                    run: 0,
                    up: true,
                    stepping: false,
                    engine: Engine::new(settings.engine),
                    announced: false,
                    held: Held::default(),
                    name: Name::from(format!("{}-{number}", settings.name)),
                })
            })
            .collect();
        let names = places.iter().enumerate().map(|(index, place)| (place.name.clone(), index));
        let organisations = workload.organisations.iter().map(|one| Name::from(one.name.as_str()));
        let share = scenario.protection.retry_share.unwrap_or_default();
        let picker = |_| Picker::new(scenario.policy.clone(), workload.entries);
        Self {
            by_name: names.collect(),
            places,
            pickers: (0..workload.entries).map(picker).collect(),
            budgets: vec![RetryBudgets::new(share); workload.entries],
            organisations: organisations.collect(),
            reports: Vec::new(),
            live: vec![Live::default(); scenario.arrivals.len()],
            now: 0,
            number: 0,
            events: BinaryHeap::new(),
            lag: 1.0,
            deaf: false,
            rng: StdRng::seed_from_u64(scenario.seed ^ 0x10ad),
            outcome: Outcome::new(scenario.arrivals.len()),
            scenario,
        }
    }

    fn schedule(&mut self) {
        self.list();
        for (index, arrival) in self.scenario.arrivals.iter().enumerate() {
            self.at(arrival.at_us, Event::Arrive(index));
        }
        let every = self.scenario.workload.report_every_ms * 1000.0;
        for entry in 0..self.pickers.len() {
            let phase = self.rng.random_range(0.0..every);
            self.at(phase as u64, Event::Poll(entry));
        }
        for (index, fault) in self.scenario.faults.list.iter().enumerate() {
            self.at((fault.at_s * 1e6) as u64, Event::FaultStarts(index));
            self.at(((fault.at_s + fault.for_s) * 1e6) as u64, Event::FaultEnds(index));
        }
    }

    fn at(&mut self, time_us: u64, event: Event) {
        self.number += 1;
        self.events.push(Reverse((time_us, self.number, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(request) => self.arrive(request),
            Event::Retry(request) => self.dispatch(request),
            Event::Deadline(request) => self.give_up(request),
            Event::Stall { request, attempt } => self.stalled(request, attempt),
            Event::Step { server, run } => self.end_step(server, run),
            Event::Poll(entry) => self.poll(entry),
            Event::Deliver { entry, batch } => self.deliver(entry, batch),
            Event::FaultStarts(index) => self.start_fault(index),
            Event::FaultEnds(index) => self.end_fault(index),
            Event::Notice { server, run } => self.hear_notice(server, run),
            Event::Gone { server, run } => self.kill(server, run),
            Event::List => self.list(),
        }
    }

    fn kind(&self, request: usize) -> &'a RequestKind {
        &self.scenario.workload.kinds[self.scenario.arrivals[request].kind]
    }

    fn finish(mut self) -> Outcome {
        let end_s = self.scenario.workload.duration_s;
        for place in &mut self.places {
            self.outcome.read += place.engine.tokens_read;
            let group = &self.scenario.workload.groups[place.group];
            let cost = place.held.end(end_s) * group.price_per_hour / 3600.0;
            let sum = if group.model {
                &mut self.outcome.model_cost
            } else {
                &mut self.outcome.plain_cost
            };
            *sum += cost;
        }
        self.outcome.by_second = vec![(0, 0); end_s as usize + 1];
        for (request, arrival) in self.scenario.arrivals.iter().enumerate() {
            let second = &mut self.outcome.by_second[(arrival.at_us / 1_000_000) as usize];
            let kind = &self.scenario.workload.kinds[arrival.kind];
            second.1 += 1;
            second.0 += u64::from(self.outcome.ends[request].is_on_time(kind));
        }
        self.outcome
    }
}
