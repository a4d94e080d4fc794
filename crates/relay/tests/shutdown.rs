//! Requests that arrive while an entry stops.

use relay::{Shutdown, ShutdownStep};
use std::time::Duration;

const GRACE: Duration = Duration::from_secs(8);
const PLAIN_TIMEOUT: Duration = Duration::from_millis(800);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Replays callers that keep coming with an old reply of the directory until the process exits:
/// none of them may still be waiting then.
#[test]
fn no_accepted_request_outlives_the_process() {
    let shutdown = Shutdown::new(GRACE);
    let exit =
        (0..8_000).find(|at| shutdown.next_step(1, ms(*at)) == ShutdownStep::Exit).expect("exits");
    for at in 0..exit {
        let ends = at + PLAIN_TIMEOUT.as_millis() as u64;
        if shutdown.accepts(false, PLAIN_TIMEOUT, ms(at)) {
            assert!(ends <= exit, "accepted at {at} ms, may end at {ends} ms, exit at {exit} ms");
        }
    }
}

#[test]
fn callers_with_an_old_reply_of_the_directory_are_served() {
    let shutdown = Shutdown::new(GRACE);
    assert!(shutdown.accepts(false, PLAIN_TIMEOUT, ms(5_000)));
    assert!(shutdown.accepts(true, Duration::from_secs(15), ms(1_500)));
    assert_eq!(shutdown.next_step(0, ms(3_000)), ShutdownStep::Serve);
}

#[test]
fn late_streams_are_refused() {
    assert!(!Shutdown::new(GRACE).accepts(true, ms(500), ms(2_500)));
}

#[test]
fn an_idle_entry_exits_once_no_new_callers_are_expected() {
    let shutdown = Shutdown::new(GRACE);
    assert_eq!(shutdown.next_step(0, ms(3_600)), ShutdownStep::Exit);
    assert_eq!(shutdown.next_step(1, ms(3_600)), ShutdownStep::Serve);
    assert_eq!(shutdown.next_step(1, ms(7_700)), ShutdownStep::Exit);
}
