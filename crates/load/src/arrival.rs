//! Open-loop arrivals: they come when they come, however slow the answers are.

use crate::settings::{RequestKind, Workload};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// One request to come.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// When it comes, in microseconds.
    pub at_us: u64,
    /// Its kind, by number.
    pub kind: usize,
    /// Its organisation, by number.
    pub organisation: usize,
    /// The entry that its caller uses, by number.
    pub entry: usize,
    /// Hash of the start of its prompt, shared within its session.
    pub prefix: u64,
    /// Tokens of its answer.
    pub answer_tokens: u64,
}

/// Draws the arrivals of a workload, in the order of time.
pub fn arrivals(workload: &Workload, seed: u64) -> Vec<Arrival> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut all = Vec::new();
    for number in 0..workload.kinds.len() {
        draw_kind(workload, number, &mut rng, &mut all);
    }
    all.sort_by_key(|arrival| arrival.at_us);
    all
}

fn draw_kind(workload: &Workload, number: usize, rng: &mut StdRng, all: &mut Vec<Arrival>) {
    let kind = &workload.kinds[number];
    let top = workload.bursts.iter().map(|burst| burst.factor).fold(1.0, f64::max);
    let mut at_s = 0.0;
    loop {
        // Thinning: draw at the highest rate, keep the share that the present rate is of it.
        at_s += -rng.random_range(f64::EPSILON..1.0).ln() / (kind.per_s * top);
        if at_s > workload.duration_s {
            return;
        }
        if rng.random::<f64>() * top > factor(workload, at_s) {
            continue;
        }
        let organisation = draw_organisation(workload, rng);
        all.push(Arrival {
            at_us: (at_s * 1e6) as u64,
            kind: number,
            organisation,
            entry: rng.random_range(0..workload.entries),
            prefix: draw_prefix(workload, organisation, at_s, rng),
            answer_tokens: draw_answer(kind, rng),
        });
    }
}

fn factor(workload: &Workload, at_s: f64) -> f64 {
    let now = workload.bursts.iter().find(|b| at_s >= b.at_s && at_s < b.at_s + b.for_s);
    now.map_or(1.0, |burst| burst.factor)
}

fn draw_organisation(workload: &Workload, rng: &mut StdRng) -> usize {
    let sum: f64 = workload.organisations.iter().map(|organisation| organisation.share).sum();
    let mut left = rng.random::<f64>() * sum;
    let all = workload.organisations.iter();
    let shares = all.map(|organisation| organisation.share);
    for (number, share) in shares.enumerate() {
        left -= share;
        if left <= 0.0 {
            return number;
        }
    }
    0
}

/// Draws an open session; each lasts `session_s` and then another takes its place.
fn draw_prefix(workload: &Workload, organisation: usize, at_s: f64, rng: &mut StdRng) -> u64 {
    let place = rng.random_range(0..workload.organisations[organisation].sessions);
    let offset = place as f64 * 0.618 % 1.0;
    let turn = (at_s / workload.session_s + offset) as u64;
    (organisation as u64 + 1) << 48 | place << 24 | turn
}

/// Draws the length of an answer: uniform between a half and one and a half of the mean.
fn draw_answer(kind: &RequestKind, rng: &mut StdRng) -> u64 {
    let mean = kind.answer_tokens;
    if mean <= 1 { mean } else { rng.random_range(mean / 2..=mean + mean / 2) }
}
