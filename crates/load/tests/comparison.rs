//! What a comparison promises.

use load::{Faults, Outcome, PolicyName, Protection, Scenario, Workload, arrivals, bound, run};
use std::path::Path;

fn workload(name: &str) -> Workload {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("workloads").join(name);
    Workload { duration_s: 20.0, ..Workload::read(&path).expect("a readable workload") }
}

fn run_one(workload: &Workload, policy: &PolicyName, seed: u64) -> Outcome {
    let arrivals = arrivals(workload, seed);
    let faults = Faults::default();
    run(&Scenario {
        workload,
        faults: &faults,
        arrivals: &arrivals,
        policy,
        protection: Protection::NONE,
        seed,
    })
}

#[test]
fn a_run_gives_the_same_figures_each_time() {
    let workload = workload("sathi-kantha.ini");
    let first = run_one(&workload, &PolicyName::LeastInFlight, 7);
    let second = run_one(&workload, &PolicyName::LeastInFlight, 7);
    assert_eq!(first.ends, second.ends);
    assert_eq!(first.read, second.read);
}

#[test]
fn every_request_without_a_fault_ends_with_an_answer_or_a_refusal() {
    let workload = workload("lathwell.ini");
    let outcome = run_one(&workload, &PolicyName::RoundRobin, 3);
    let whole = outcome.ends.iter().filter(|end| end.whole_us.is_some()).count() as u64;
    assert_eq!(whole + outcome.refused, outcome.ends.len() as u64);
}

#[test]
fn no_policy_costs_less_than_the_bound() {
    let workload = workload("sathi-kantha.ini");
    let arrivals = arrivals(&workload, 1);
    let bound = bound(&workload, &arrivals);
    for policy in [PolicyName::Random, PolicyName::LeastInFlight, PolicyName::Earliest] {
        let outcome = run_one(&workload, &policy, 1);
        assert!(outcome.model_cost > bound.cost, "{policy:?} costs {}", outcome.model_cost);
    }
}
