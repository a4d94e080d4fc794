//! One run: arrivals, entries, engines and faults in virtual time.

use crate::arrival::Arrival;
use crate::engine::{Engine, Job};
use crate::outcome::{Held, Outcome};
use crate::picker::{Picker, PolicyName};
use crate::settings::{Fault, FaultKind, Faults, RequestKind, Workload};
use kernel::Name;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use route::{Admission, Report, Retry, RetryBudgets, Server, Verdict, Wanted};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;

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
    reports: Vec<Vec<(Name, Report)>>,
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

    fn arrive(&mut self, request: usize) {
        let kind = self.kind(request);
        self.at(self.now + (kind.deadline_ms * 1000.0) as u64, Event::Deadline(request));
        self.dispatch(request);
    }

    fn dispatch(&mut self, request: usize) {
        if self.live[request].over {
            return;
        }
        let arrival = &self.scenario.arrivals[request];
        let kind = self.kind(request);
        let so_far = self.live[request].tokens;
        let read = if kind.model { kind.prefix_tokens + kind.prompt_tokens + so_far } else { 0 };
        let since_ms = (self.now - arrival.at_us) as f64 / 1000.0;
        let wanted = Wanted {
            serves: if kind.model { "model" } else { "plain" },
            prefix: if kind.model { arrival.prefix } else { 0 },
            prefix_tokens: kind.prefix_tokens,
            prompt_tokens: read,
            answer_tokens: kind.answer_tokens,
            first_token_ms: kind.first_token_ms - since_ms,
            between_tokens_ms: kind.between_tokens_ms,
            left_ms: kind.deadline_ms - since_ms,
            priority: kind.priority,
            avoid: &[],
            draw: self.rng.random(),
        };
        let now_ms = self.now / 1000;
        if let Some(after_us) = self.refuses(request, &wanted) {
            return self.refuse(request, after_us);
        }
        let Some(name) = self.pickers[arrival.entry].choose(&wanted, now_ms) else {
            return self.refuse(request, CALLER_US);
        };
        self.pickers[arrival.entry].pool.sent(&name, wanted.prefix, read);
        self.live[request].attempt += 1;
        self.outcome.retries += u64::from(self.live[request].attempt > 1);
        let job = Job {
            request,
            attempt: self.live[request].attempt,
            prefix: arrival.prefix,
            prefix_tokens: kind.prefix_tokens,
            read_tokens: read,
            answer_tokens: arrival.answer_tokens - so_far,
            priority: kind.priority,
        };
        if let Some(stall_ms) = self.scenario.workload.stall_ms {
            let attempt = job.attempt;
            self.at(self.now + (stall_ms * 1000.0) as u64, Event::Stall { request, attempt });
        }
        self.send(request, &name, job);
    }

    /// Decides whether a first attempt is refused; returns when to come back, in microseconds.
    fn refuses(&mut self, request: usize, wanted: &Wanted<'_>) -> Option<u64> {
        if self.live[request].attempt > 0 {
            return None;
        }
        let arrival = &self.scenario.arrivals[request];
        self.budgets[arrival.entry].request(&self.organisations[arrival.organisation]);
        if !self.scenario.protection.admission {
            return None;
        }
        let choice = self.pickers[arrival.entry].pool.choose(wanted, self.now / 1000)?;
        match Admission::default().decide(wanted, &choice) {
            Verdict::Admit => None,
            Verdict::Refuse(after_ms) => Some(after_ms * 1000),
        }
    }

    /// Ends an attempt that has brought no token for long.
    fn stalled(&mut self, request: usize, attempt: u32) {
        let live = &self.live[request];
        if live.over || live.attempt != attempt || live.tokens > 0 {
            return;
        }
        let Some((server, name)) = self.live[request].server.take() else { return };
        self.places[server].engine.cancel(request);
        self.ended(request, &name, true);
        self.again(request);
    }

    fn send(&mut self, request: usize, name: &Name, job: Job) {
        let server = self.by_name.get(name).copied().filter(|server| self.places[*server].up);
        self.live[request].server = server.map(|server| (server, name.clone()));
        let Some(server) = server else {
            let entry = self.scenario.arrivals[request].entry;
            let now_ms = self.now / 1000;
            self.pickers[entry].pool.ended(name, true, now_ms);
            return self.again(request);
        };
        let now_s = self.now as f64 / 1e6;
        self.places[server].held.busy(now_s);
        self.places[server].engine.push(job);
        if !self.places[server].stepping {
            self.start_step(server);
        }
    }

    /// Sends a request once more, if it may be.
    fn again(&mut self, request: usize) {
        if self.live[request].attempt >= ATTEMPTS || !self.has_budget(request) {
            return self.refuse(request, CALLER_US);
        }
        self.at(self.now + RETRY_US, Event::Retry(request));
    }

    fn has_budget(&mut self, request: usize) -> bool {
        if self.scenario.protection.retry_share.is_none() {
            return true;
        }
        let arrival = &self.scenario.arrivals[request];
        let since_ms = (self.now - arrival.at_us) / 1000;
        let left_ms = (self.kind(request).deadline_ms as u64).saturating_sub(since_ms);
        let organisation = &self.organisations[arrival.organisation];
        let budgets = &mut self.budgets[arrival.entry];
        budgets.retry(organisation, left_ms, LEAST_ANSWER_MS) == Retry::Now
    }

    /// Refuses a request; its caller may ask again after a while.
    fn refuse(&mut self, request: usize, after_us: u64) {
        self.outcome.refused += 1;
        if self.live[request].asked >= self.scenario.workload.caller_retries
            || !self.kind(request).repeatable
        {
            self.live[request].over = true;
            return;
        }
        let live = &mut self.live[request];
        live.asked += 1;
        live.attempt = 0;
        self.at(self.now + after_us, Event::Retry(request));
    }

    fn give_up(&mut self, request: usize) {
        if std::mem::replace(&mut self.live[request].over, true) {
            return;
        }
        if let Some((server, name)) = self.live[request].server.take() {
            self.places[server].engine.cancel(request);
            self.ended(request, &name, false);
        }
    }

    fn ended(&mut self, request: usize, server: &Name, failed: bool) {
        let entry = self.scenario.arrivals[request].entry;
        let now_ms = self.now / 1000;
        self.pickers[entry].pool.ended(server, failed, now_ms);
    }

    fn start_step(&mut self, server: usize) {
        let place = &mut self.places[server];
        if place.engine.is_idle() {
            place.stepping = false;
            place.held.idle(self.now as f64 / 1e6);
            return;
        }
        place.stepping = true;
        let run = place.run;
        let (length, entered) = place.engine.start_step();
        for (request, cached) in entered {
            self.count_recomputed(request, cached);
        }
        self.at(self.now + length.max(1), Event::Step { server, run });
    }

    /// Counts what an attempt reads again of what an attempt before it had.
    fn count_recomputed(&mut self, request: usize, cached: u64) {
        let kind = self.kind(request);
        let live = &mut self.live[request];
        let read = kind.prefix_tokens + kind.prompt_tokens + live.tokens;
        self.outcome.recomputed += live.computed.min(read.saturating_sub(cached));
        live.computed = read;
    }

    fn end_step(&mut self, server: usize, run: u32) {
        if self.places[server].run != run || !self.places[server].up {
            return;
        }
        for progress in self.places[server].engine.end_step() {
            self.token(progress.request, progress.done);
        }
        self.start_step(server);
    }

    fn token(&mut self, request: usize, done: bool) {
        let asked = self.scenario.arrivals[request].at_us;
        let model = self.kind(request).model;
        let live = &mut self.live[request];
        let end = &mut self.outcome.ends[request];
        live.tokens += 1;
        live.computed += 1;
        end.tokens = live.tokens;
        if end.first_us.is_none() {
            end.first_us = Some(self.now - asked);
            if model {
                self.outcome.first.saturating_record(self.now - asked);
            }
        } else {
            self.outcome.between.saturating_record(self.now - live.last_us);
        }
        live.last_us = self.now;
        if !done {
            return;
        }
        live.over = true;
        end.whole_us = Some(self.now - asked);
        if let Some((_, name)) = live.server.take() {
            self.ended(request, &name, false);
        }
    }

    fn poll(&mut self, entry: usize) {
        let up = self.places.iter().filter(|place| place.up);
        let model = up.filter(|place| self.scenario.workload.groups[place.group].model);
        let batch = model.map(|place| (place.name.clone(), place.engine.report())).collect();
        self.reports.push(batch);
        let lag = (self.scenario.workload.report_lag_ms * 1000.0 * self.lag) as u64;
        let batch = self.reports.len() - 1;
        self.at(self.now + lag, Event::Deliver { entry, batch });
        let every = self.scenario.workload.report_every_ms * 1000.0;
        if (self.now as f64) < self.scenario.workload.duration_s * 1e6 {
            let wait = every * self.rng.random_range(0.8..1.2);
            self.at(self.now + wait as u64, Event::Poll(entry));
        }
    }

    fn deliver(&mut self, entry: usize, batch: usize) {
        let now_ms = self.now / 1000;
        for (name, report) in std::mem::take(&mut self.reports[batch]) {
            self.pickers[entry].pool.report(&name, report, now_ms);
        }
    }

    fn fault(&self, index: usize) -> &'a Fault {
        &self.scenario.faults.list[index]
    }

    /// Servers of a fault's data centre.
    fn struck(&self, fault: &Fault) -> Vec<usize> {
        let all = 0..self.places.len();
        let group = |server: &usize| &self.scenario.workload.groups[self.places[*server].group];
        all.filter(|server| group(server).data_centre == fault.data_centre)
            .filter(|server| fault.kind != FaultKind::Reclaim || group(server).reclaimable)
            .collect()
    }

    fn start_fault(&mut self, index: usize) {
        let fault = self.fault(index);
        match fault.kind {
            FaultKind::Reclaim => {
                for server in self.struck(fault) {
                    let run = self.places[server].run;
                    self.at(self.now + NOTICE_US, Event::Notice { server, run });
                    let left = (fault.notice_s * 1e6) as u64;
                    self.at(self.now + left, Event::Gone { server, run });
                }
            }
            FaultKind::Lost => {
                for server in self.struck(fault) {
                    let run = self.places[server].run;
                    self.kill(server, run);
                }
            }
            FaultKind::Slow => self.set_slow(fault, fault.factor),
            FaultKind::Lag => self.lag = fault.factor,
            FaultKind::Platform => self.deaf = true,
        }
    }

    fn end_fault(&mut self, index: usize) {
        let fault = self.fault(index);
        match fault.kind {
            FaultKind::Reclaim | FaultKind::Lost => {
                for server in self.struck(fault) {
                    self.replace(server);
                }
                self.at(self.now + LIST_US, Event::List);
            }
            FaultKind::Slow => self.set_slow(fault, 1.0),
            FaultKind::Lag => self.lag = 1.0,
            FaultKind::Platform => {
                self.deaf = false;
                self.list();
            }
        }
    }

    fn set_slow(&mut self, fault: &Fault, factor: f64) {
        if let Some(server) = self.struck(fault).first() {
            self.places[*server].engine.set_slow(factor);
        }
    }

    fn hear_notice(&mut self, server: usize, run: u32) {
        if self.deaf || self.places[server].run != run {
            return;
        }
        self.places[server].announced = true;
        let name = self.places[server].name.clone();
        for picker in &mut self.pickers {
            picker.pool.leaving(&name);
        }
    }

    fn kill(&mut self, server: usize, run: u32) {
        if self.places[server].run != run || !self.places[server].up {
            return;
        }
        let now_s = self.now as f64 / 1e6;
        let place = &mut self.places[server];
        place.up = false;
        place.stepping = false;
        self.outcome.read += std::mem::take(&mut place.engine.tokens_read);
        place.held.end(now_s);
        let name = place.name.clone();
        let lost = place.engine.kill();
        let announced = std::mem::take(&mut place.announced);
        for (request, _) in lost {
            self.live[request].server = None;
            self.ended(request, &name, true);
            match (self.kind(request).repeatable, announced) {
                (true, true) => self.at(self.now + RETRY_US, Event::Retry(request)),
                (true, false) => self.again(request),
                (false, _) => self.refuse(request, CALLER_US),
            }
        }
        self.at(self.now + LIST_US, Event::List);
    }

    /// Starts another VM in the place of one that is gone.
    fn replace(&mut self, server: usize) {
        let place = &mut self.places[server];
        if place.up {
            return;
        }
        let settings = &self.scenario.workload.groups[place.group];
        self.by_name.remove(&place.name);
        place.run += 1;
        place.up = true;
        place.engine = Engine::new(settings.engine);
        place.name = Name::from(format!("{}-{server}-{}", settings.name, place.run));
        self.by_name.insert(place.name.clone(), server);
    }

    /// Lets every entry read the VM list.
    fn list(&mut self) {
        if self.deaf {
            return;
        }
        let up = self.places.iter().filter(|place| place.up);
        let listed: Vec<Server> = up.map(|place| self.listed(place)).collect();
        for picker in &mut self.pickers {
            picker.pool.update(listed.clone());
        }
    }

    fn listed(&self, place: &Place) -> Server {
        let group = &self.scenario.workload.groups[place.group];
        let report = Report {
            step_ms: group.engine.step_ms,
            prompt_tokens_per_s: group.engine.prompt_tokens_per_s,
            batch: group.engine.batch,
            ..Report::default()
        };
        Server {
            name: place.name.clone(),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            data_centre: Name::from(format!("dc-{}", group.data_centre)),
            price_per_hour: group.price_per_hour,
            reclaimable: group.reclaimable,
            model: group.model,
            serves: vec![Name::from(if group.model { "model" } else { "plain" })],
            leaving: false,
            report,
            reported_at: 0,
            mine: 0,
            sent_since: 0,
            prompt_since: 0,
            failures: 0,
            shunned_until: 0,
        }
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
