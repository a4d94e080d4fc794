//! A lower bound of the price, for a planner that knows every arrival beforehand.

use crate::arrival::Arrival;
use crate::settings::{EngineSettings, Workload};
use std::collections::HashMap;

/// The lowest price that is possible.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Price of the whole run.
    pub cost: f64,
    /// Price of a thousand answers when all are on time.
    pub per_thousand: f64,
}

/// Computes the bound for the model requests.
///
/// Each shared start of a prompt is read once in the whole run, every token comes out of a full
/// batch, no server is lost or held idle, and the cheapest servers work all the time. Targets,
/// deadlines and starts of servers are left out, so that no policy can be below it.
pub fn bound(workload: &Workload, arrivals: &[Arrival]) -> Bound {
    let cost = cost(workload, arrivals);
    let is_model = |arrival: &&Arrival| workload.kinds[arrival.kind].model;
    let models = arrivals.iter().filter(is_model).count();
    Bound { cost, per_thousand: 1000.0 * cost / models.max(1) as f64 }
}

fn cost(workload: &Workload, arrivals: &[Arrival]) -> f64 {
    let mut groups: Vec<_> = workload.groups.iter().filter(|group| group.model).collect();
    groups.sort_by(|a, b| a.price_per_hour.total_cmp(&b.price_per_hour));
    let Some(engine) = groups.first().map(|group| group.engine) else { return 0.0 };
    let mut left_s = work_s(workload, arrivals, &engine);
    let mut cost = 0.0;
    for group in groups {
        let used_s = left_s.min(group.count as f64 * workload.duration_s);
        cost += used_s * group.price_per_hour / 3600.0;
        left_s -= used_s;
    }
    cost
}

fn work_s(workload: &Workload, arrivals: &[Arrival], engine: &EngineSettings) -> f64 {
    let batch = f64::from(engine.batch);
    let token_s = (engine.step_ms + engine.step_per_request_ms * batch) / batch / 1000.0;
    let mut read: HashMap<u64, u64> = HashMap::new();
    let mut seconds = 0.0;
    for arrival in arrivals {
        let kind = &workload.kinds[arrival.kind];
        if !kind.model {
            continue;
        }
        let known = read.entry(arrival.prefix).or_default();
        let new = kind.prompt_tokens + kind.prefix_tokens.saturating_sub(*known);
        *known = kind.prefix_tokens.max(*known);
        seconds += new as f64 / engine.prompt_tokens_per_s;
        seconds += arrival.answer_tokens as f64 * token_s;
    }
    seconds
}
