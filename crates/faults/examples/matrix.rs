//! Prints a row for each promise: every fault at every step, and pairs at neighbouring steps.

use faults::{LIVES, Report, pairs, singles};

/// Steps between the two faults of a pair.
const REACH: usize = 2;

fn main() -> std::process::ExitCode {
    let mut report = Report::default();
    for life in LIVES {
        singles(*life).for_each(|cell| report.add(&cell));
    }
    println!("every fault at every step\n{report}\n");
    for life in LIVES {
        pairs(*life, REACH).for_each(|cell| report.add(&cell));
    }
    println!("and pairs of faults at neighbouring steps\n{report}");
    std::process::ExitCode::from(u8::from(!report.is_clean()))
}
