//! Histories with several faults anywhere in a life, drawn from a fixed seed and shrunk on failure.

use faults::{Cell, Fault, LIVES, check, run};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::select;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// Histories drawn.
const CASES: u32 = 12_000;
/// Steps among which the faults are put.
const STEPS: usize = 60;
/// Faults of one history at most.
const FAULTS: usize = 5;
const SEED: [u8; 32] = [7; 32];

#[test]
fn several_faults_anywhere_keep_every_promise() {
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let plan = vec((0..STEPS, select(Fault::ALL.to_vec())), 1..=FAULTS);
    let lives = select((0..LIVES.len()).collect::<Vec<_>>());
    let mut runner = TestRunner::new_with_rng(config, rng);
    let result = runner.run(&(lives, plan), |(life, plan)| {
        let log = run(&Cell { life: LIVES[life], plan }, None);
        let found = check(&log);
        prop_assert!(found.is_empty(), "{}: {found:?}\n{:?}", LIVES[life].name, log.seen);
        Ok(())
    });
    if let Err(failure) = result {
        panic!("{failure}");
    }
}
