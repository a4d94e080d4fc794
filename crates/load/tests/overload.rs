//! Overload: load above capacity for a while must not outlast itself.

use conf::Priority;
use load::{Burst, Faults, Outcome, PolicyName, Protection, Scenario, Workload, arrivals, run};
use route::Policy;
use std::path::Path;

/// Times of the run, in seconds: the overload, and when goodput must be back.
const OVERLOAD_AT: f64 = 15.0;
const OVERLOAD_FOR: f64 = 15.0;
const BACK_AT: usize = 45;
const END: f64 = 60.0;
/// Share of the requests answered on time once the overload is over.
const TARGET: f64 = 0.95;
/// Attempts for each request at most, on average.
const STORM: f64 = 1.2;

/// Six engines, impatient callers, and arrivals at six times the usual rate for a while.
fn overloaded() -> Workload {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("workloads/sathi-kantha.ini");
    let mut workload = Workload::read(&path).expect("a readable workload");
    workload.duration_s = END;
    workload.bursts = vec![Burst { at_s: OVERLOAD_AT, for_s: OVERLOAD_FOR, factor: 6.0 }];
    workload.groups.retain(|group| !group.model || group.data_centre == 0);
    for group in &mut workload.groups {
        group.count = if group.model { 6 } else { group.count };
    }
    workload.stall_ms = Some(1_000.0);
    workload.caller_retries = 20;
    workload
}

fn run_with(workload: &Workload, protection: Protection, seed: u64) -> Outcome {
    let arrivals = arrivals(workload, seed);
    let (faults, policy) = (Faults::default(), PolicyName::Today(Policy::default()));
    run(&Scenario {
        workload,
        faults: &faults,
        arrivals: &arrivals,
        policy: &policy,
        protection,
        seed,
    })
}

/// Share of the requests on time among those that came after the overload.
fn goodput_after(outcome: &Outcome) -> f64 {
    let after = &outcome.by_second[BACK_AT..END as usize];
    let on_time: u64 = after.iter().map(|second| second.0).sum();
    let came: u64 = after.iter().map(|second| second.1).sum();
    on_time as f64 / came.max(1) as f64
}

fn attempts(outcome: &Outcome) -> f64 {
    1.0 + outcome.retries as f64 / outcome.ends.len() as f64
}

#[test]
fn goodput_comes_back_without_help_when_the_overload_ends() {
    for seed in 1..=3 {
        let goodput = goodput_after(&run_with(&overloaded(), Protection::default(), seed));
        assert!(goodput >= TARGET, "seed {seed}: {goodput:.3} on time after the overload");
    }
}

#[test]
fn no_retry_storm_rises_under_overload() {
    for seed in 1..=3 {
        let attempts = attempts(&run_with(&overloaded(), Protection::default(), seed));
        assert!(attempts <= STORM, "seed {seed}: {attempts:.2} attempts for each request");
    }
}

#[test]
fn the_checks_report_a_storm_without_a_retry_budget() {
    let outcome = run_with(&overloaded(), Protection::NONE, 1);
    assert!(attempts(&outcome) > STORM, "{:.2} attempts", attempts(&outcome));
    assert!(goodput_after(&outcome) < TARGET, "{:.3} on time", goodput_after(&outcome));
}

#[test]
fn requests_of_high_priority_are_refused_last() {
    let workload = overloaded();
    let outcome = run_with(&workload, Protection::default(), 1);
    let arrivals = arrivals(&workload, 1);
    let share = |priority: Priority| {
        let during =
            |at_us: u64| (OVERLOAD_AT..OVERLOAD_AT + OVERLOAD_FOR).contains(&(at_us as f64 / 1e6));
        let mut counts = (0_u32, 0_u32);
        for (arrival, end) in arrivals.iter().zip(&outcome.ends) {
            let kind = &workload.kinds[arrival.kind];
            if kind.model && kind.priority == priority && during(arrival.at_us) {
                counts.0 += u32::from(end.is_on_time(kind));
                counts.1 += 1;
            }
        }
        f64::from(counts.0) / f64::from(counts.1)
    };
    let (high, normal) = (share(Priority::High), share(Priority::Normal));
    assert!(high > normal, "high {high:.3}, normal {normal:.3}");
}
