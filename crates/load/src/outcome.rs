//! What became of the requests, and what the servers cost.

use crate::arrival::Arrival;
use crate::bound::bound;
use crate::settings::{RequestKind, Workload};
use hdrhistogram::Histogram;
use serde::Serialize;

/// Seconds that an idle server is still held, and so paid.
const HOLD_S: f64 = 60.0;
/// Seconds paid for each start of a server, in which it loads weights.
const START_S: f64 = 60.0;

/// How one request ended.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct End {
    /// When its first token came, in microseconds after it was asked.
    pub first_us: Option<u64>,
    /// When the answer was complete.
    pub whole_us: Option<u64>,
    /// Tokens of the answer.
    pub tokens: u64,
}

impl End {
    /// Tells whether the answer met every target of its kind.
    pub fn is_on_time(&self, kind: &RequestKind) -> bool {
        let (Some(first), Some(whole)) = (self.first_us, self.whole_us) else { return false };
        let gaps = self.tokens.saturating_sub(1).max(1) as f64;
        let between_ms = (whole - first) as f64 / 1000.0 / gaps;
        first as f64 <= kind.first_token_ms * 1000.0
            && whole as f64 <= kind.deadline_ms * 1000.0
            && between_ms <= kind.between_tokens_ms
    }
}

/// Time for which a server is paid.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Held {
    since_s: Option<f64>,
    idle_since_s: Option<f64>,
    paid_s: f64,
}

impl Held {
    /// Notes that work came.
    pub(crate) fn busy(&mut self, now_s: f64) {
        if let Some(idle) = self.idle_since_s.take()
            && now_s - idle > HOLD_S
        {
            self.end(idle + HOLD_S);
        }
        if self.since_s.is_none() {
            self.since_s = Some(now_s);
            self.paid_s += START_S;
        }
    }

    /// Notes that no work is left.
    pub(crate) fn idle(&mut self, now_s: f64) {
        self.idle_since_s.get_or_insert(now_s);
    }

    /// Notes that the server is gone, or that the run is over; returns the seconds paid.
    pub(crate) fn end(&mut self, now_s: f64) -> f64 {
        let end = self.idle_since_s.take().map_or(now_s, |idle| now_s.min(idle + HOLD_S));
        if let Some(since) = self.since_s.take() {
            self.paid_s += end - since;
        }
        self.paid_s
    }
}

/// Counts and times of one run.
#[derive(Debug)]
pub struct Outcome {
    /// How each request ended.
    pub ends: Vec<End>,
    /// Times to the first token of model requests, in microseconds.
    pub first: Histogram<u64>,
    /// Times between two tokens, in microseconds.
    pub between: Histogram<u64>,
    /// Requests refused.
    pub refused: u64,
    /// Attempts after the first.
    pub retries: u64,
    /// Tokens read or generated again because a server went.
    pub recomputed: u64,
    /// Prompt tokens read.
    pub read: u64,
    /// Price of the time for which model engines were held.
    pub model_cost: f64,
    /// Price of the time for which plain servers were held.
    pub plain_cost: f64,
    /// Requests on time in each second of arrival, with the arrivals.
    pub by_second: Vec<(u64, u64)>,
}

impl Outcome {
    pub(crate) fn new(requests: usize) -> Self {
        let histogram = || Histogram::new_with_bounds(1, 600_000_000, 3);
        let (Ok(first), Ok(between)) = (histogram(), histogram()) else {
            unreachable!("the bounds are constant and valid")
        };
        Self {
            ends: vec![End::default(); requests],
            first,
            between,
            refused: 0,
            retries: 0,
            recomputed: 0,
            read: 0,
            model_cost: 0.0,
            plain_cost: 0.0,
            by_second: Vec::new(),
        }
    }
}

/// The figures of one run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Summary {
    /// Requests that came.
    pub requests: u64,
    /// Share of the model requests answered on time, in hundredths.
    pub model_on_time_percent: f64,
    /// Share of the requests of plain services answered on time, in hundredths.
    pub plain_on_time_percent: f64,
    /// Price of model engines for a thousand model answers on time.
    pub cost_per_thousand: f64,
    /// That price divided by the offline bound.
    pub cost_to_bound: f64,
    /// Price of plain servers for a thousand of their answers on time.
    pub plain_cost_per_thousand: f64,
    /// Tokens read or generated again because a server went.
    pub recomputed: u64,
    /// Prompt tokens read.
    pub read: u64,
    /// Requests refused.
    pub refused: u64,
    /// Attempts after the first.
    pub retries: u64,
    /// Time to the first token for 50, 95 and 99 in 100, in milliseconds.
    pub first_ms: [f64; 3],
    /// Time between two tokens for 50, 95 and 99 in 100, in milliseconds.
    pub between_ms: [f64; 3],
}

/// The sum of runs with several seeds.
#[derive(Debug, Default)]
pub struct Total {
    sum: Option<Outcome>,
    models: Counts,
    plains: Counts,
    bound: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    came: u64,
    on_time: u64,
}

impl Counts {
    fn percent(self) -> f64 {
        100.0 * self.on_time as f64 / self.came.max(1) as f64
    }

    fn per_thousand(self, cost: f64) -> f64 {
        1000.0 * cost / self.on_time.max(1) as f64
    }
}

impl Total {
    /// Adds one run.
    pub fn add(&mut self, workload: &Workload, arrivals: &[Arrival], outcome: Outcome) {
        for (end, arrival) in outcome.ends.iter().zip(arrivals) {
            let kind = &workload.kinds[arrival.kind];
            let counts = if kind.model { &mut self.models } else { &mut self.plains };
            counts.came += 1;
            counts.on_time += u64::from(end.is_on_time(kind));
        }
        self.bound += bound(workload, arrivals).cost;
        match &mut self.sum {
            Some(sum) => sum.add(&outcome),
            None => self.sum = Some(outcome),
        }
    }

    /// Sums up, against the lowest price of a thousand model answers that is possible.
    pub fn summary(&self) -> Summary {
        let empty = Outcome::new(0);
        let sum = self.sum.as_ref().unwrap_or(&empty);
        let cost_per_thousand = self.models.per_thousand(sum.model_cost);
        let bound = 1000.0 * self.bound / self.models.came.max(1) as f64;
        Summary {
            requests: self.models.came + self.plains.came,
            model_on_time_percent: self.models.percent(),
            plain_on_time_percent: self.plains.percent(),
            cost_per_thousand,
            cost_to_bound: cost_per_thousand / bound,
            plain_cost_per_thousand: self.plains.per_thousand(sum.plain_cost),
            recomputed: sum.recomputed,
            read: sum.read,
            refused: sum.refused,
            retries: sum.retries,
            first_ms: percentiles(&sum.first),
            between_ms: percentiles(&sum.between),
        }
    }

    /// Returns the requests on time and the arrivals in each second.
    pub fn by_second(&self) -> Vec<(u64, u64)> {
        self.sum.as_ref().map(|sum| sum.by_second.clone()).unwrap_or_default()
    }
}

impl Outcome {
    /// Adds the counts and times of another run.
    fn add(&mut self, other: &Self) {
        // Both histograms have the same bounds, so that adding cannot fail.
        let _ = self.first.add(&other.first);
        let _ = self.between.add(&other.between);
        self.refused += other.refused;
        self.retries += other.retries;
        self.recomputed += other.recomputed;
        self.read += other.read;
        self.model_cost += other.model_cost;
        self.plain_cost += other.plain_cost;
        for (sum, more) in self.by_second.iter_mut().zip(&other.by_second) {
            sum.0 += more.0;
            sum.1 += more.1;
        }
    }
}

fn percentiles(times: &Histogram<u64>) -> [f64; 3] {
    [0.5, 0.95, 0.99].map(|quantile| times.value_at_quantile(quantile) as f64 / 1000.0)
}
