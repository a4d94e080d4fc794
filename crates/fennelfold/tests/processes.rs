//! Real processes that are killed, stopped and continued while callers send requests.

#[allow(dead_code, reason = "only the crowds of clients use all of it")]
mod deployment;

use deployment::{Deployment, Told, signal};
use kernel::Outcome;
use std::time::Duration;

/// Callers of one history.
const CALLERS: usize = 40;
/// Time between two callers.
const PACE: Duration = Duration::from_millis(60);
/// Time that a paused entry stands still; the others hold it for dead by then.
const PAUSE: Duration = Duration::from_secs(4);

#[tokio::test(flavor = "multi_thread")]
async fn killed_and_paused_entries_run_nothing_twice_and_tell_the_truth() {
    let deployment = Deployment::start(4).await;
    let mut callers = Vec::new();
    for number in 0..CALLERS {
        callers.push(tokio::spawn(deployment.caller(number).remind()));
        tokio::time::sleep(PACE).await;
        match number {
            10 => signal("STOP", deployment.pid(0)),
            20 => signal("KILL", deployment.pid(1)),
            _ => {}
        }
    }
    tokio::time::sleep(PAUSE).await;
    signal("CONT", deployment.pid(0));
    let mut answered = 0;
    for caller in callers {
        let history = caller.await.expect("a caller ends");
        for told in &history.told {
            match told {
                Told::Answered { echo, run } => {
                    assert_eq!((echo, *run), (&history.body, 1), "{history:?}");
                    answered += 1;
                }
                Told::Failed { outcome: Outcome::NotRun, runs } => {
                    assert_eq!(*runs, 0, "told not run: {history:?}");
                }
                Told::Failed { .. } | Told::Nothing => {}
            }
        }
        assert!(deployment.runs(&history.key) <= 1, "{history:?}");
    }
    println!("{answered} of {CALLERS} answered");
    assert!(answered > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_cuts_no_call_short() {
    let deployment = Deployment::start(3).await;
    deployment.slow_down(Duration::from_millis(800));
    let callers: Vec<_> =
        (0..6).map(|number| tokio::spawn(deployment.caller_at(number, 0).remind())).collect();
    deployment.wait_for_runs(6).await;
    signal("TERM", deployment.pid(0));
    for caller in callers {
        let history = caller.await.expect("a caller ends");
        assert!(matches!(history.told[..], [Told::Answered { run: 1, .. }]), "{history:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn the_ordinary_path_claims_nothing() {
    let deployment = Deployment::start(3).await;
    for number in 0..20 {
        let history = deployment.caller(number).remind().await;
        assert!(matches!(history.told[..], [Told::Answered { run: 1, .. }]), "{history:?}");
    }
    for entry in 0..3 {
        let metrics = deployment.metrics(entry).await;
        assert!(!metrics.contains("claims_total{"), "{metrics}");
    }
}

/// Prints the time of a call through an entry with and without a copy at a witness.
#[tokio::test(flavor = "multi_thread")]
#[ignore = "a measurement, run by hand in release"]
async fn measure_the_time_that_the_witness_adds() {
    for entries in [1, 2] {
        let deployment = Deployment::start(entries).await;
        let mut micros = Vec::new();
        for number in 0..1_000 {
            let begun = std::time::Instant::now();
            let history = deployment.caller_at(number, 0).remind().await;
            assert!(matches!(history.told[..], [Told::Answered { .. }]), "{history:?}");
            micros.push(begun.elapsed().as_micros());
        }
        micros.sort_unstable();
        let (p50, p99) = (micros[500], micros[990]);
        println!("{entries} entries: p50 {p50} us, p99 {p99} us");
    }
}
