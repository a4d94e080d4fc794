//! The whole matrix of single faults, and a sample of the pairs.

use faults::{LIVES, Report, pairs, singles};

/// One pair in this many runs here; scripts/faults runs them all.
const SAMPLE: usize = 61;
/// Steps between the two faults of a pair.
const REACH: usize = 2;

#[test]
fn every_fault_at_every_step_keeps_every_promise() {
    let mut report = Report::default();
    for life in LIVES {
        singles(*life).for_each(|cell| report.add(&cell));
    }
    println!("{report}");
    assert!(report.is_clean(), "{report}");
}

#[test]
fn sampled_pairs_of_faults_keep_every_promise() {
    let mut report = Report::default();
    for life in LIVES {
        pairs(*life, REACH).step_by(SAMPLE).for_each(|cell| report.add(&cell));
    }
    println!("{report}");
    assert!(report.is_clean(), "{report}");
}

#[test]
fn a_cell_gives_the_same_log_each_time() {
    for life in LIVES {
        for cell in singles(*life).step_by(97) {
            let (first, second) = (faults::run(&cell, None), faults::run(&cell, None));
            assert_eq!(first.seen, second.seen, "{:?}", cell.plan);
        }
    }
}
