//! Requests that arrive while an entry stops.

use relay::{Shutdown, ShutdownStep};
use std::time::Duration;

const GRACE: Duration = Duration::from_secs(8);
const PLAIN_TIMEOUT: Duration = Duration::from_millis(800);

/// Grace periods for which the bounds of a stop have to hold.
const GRACES: [Duration; 6] = [ms(1_500), ms(2_000), ms(3_000), ms(8_000), ms(20_000), ms(60_000)];

/// Returns the time at which a process with an open request exits, in milliseconds after SIGTERM.
fn exit_ms(shutdown: Shutdown) -> u64 {
    (0..100_000)
        .find(|at| shutdown.next_step(1, ms(*at)) == ShutdownStep::Exit)
        .expect("the process does not exit")
}

const fn ms(millis: u64) -> Duration {
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

// Guards against LOST broken: the answer that is due at the deadline of a request was still to be written when the
// process exited.
#[test]
fn an_accepted_request_that_ends_at_its_deadline_leaves_time_for_its_answer() {
    const ANSWER_MS: u64 = 50;
    for grace in GRACES {
        let shutdown = Shutdown::new(grace);
        let exit = exit_ms(shutdown);
        let last_end = (0..=exit).rev().find(|end| shutdown.accepts(false, ms(*end), ms(0)));
        let last_end = last_end.expect("nothing is accepted");
        assert!(last_end + ANSWER_MS <= exit, "{grace:?}: ends at {last_end}, exit at {exit}");
    }
}

// Guards against LOST broken: streams that were accepted too late, or cut too early, for the stop to excuse it.
#[test]
fn a_stream_that_outlives_the_stop_was_accepted_early_and_is_cut_late() {
    const EXCUSED_IF_SENT_UNTIL: Duration = Duration::from_secs(3);
    for grace in GRACES {
        let shutdown = Shutdown::new(grace);
        let exit = exit_ms(shutdown);
        let last = (0..exit).rev().find(|at| shutdown.accepts(true, grace, ms(*at)));
        let last = last.expect("no stream is accepted");
        assert!(ms(last) < EXCUSED_IF_SENT_UNTIL, "{grace:?}: accepted at {last}");
        assert!(6 * ms(exit) >= 5 * grace, "{grace:?}: cut at {exit}");
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
