//! Decides which requests an entry still accepts after SIGTERM.

use std::time::Duration;

/// Time before the end of the grace period at which the process exits in any case.
const GRACE_MARGIN: Duration = Duration::from_millis(400);
/// Time before the exit at which every request has its answer, which still has to be sent.
const ANSWER_MARGIN: Duration = Duration::from_millis(100);
/// Number of these margins that fit into the grace period at least: both together take no more than its last sixth, in
/// which a stop may cut streams.
const MIN_MARGINS: u32 = 12;
/// Time after SIGTERM for which new callers are expected, because callers cache the replies of the
/// directory.
const NEW_CALLER_GRACE: Duration = Duration::from_millis(3_500);
/// Fraction of the grace period after which new streams are refused. By then callers know other
/// entries, and a later stream might not end in time.
const STREAM_CUTOFF: f64 = 0.25;
/// Time after SIGTERM from which a stop may not cut a new stream. It includes the time that SIGTERM and the stream take
/// to arrive.
const MAX_STREAM_CUTOFF: Duration = Duration::from_millis(2_500);

/// Schedule of a planned stop; all times count from SIGTERM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Shutdown {
    grace: Duration,
}

/// What the entry does next during a planned stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ShutdownStep {
    /// Keep serving.
    Serve,
    /// Exit now.
    Exit,
}

impl Shutdown {
    /// Creates the schedule for a grace period after which the process would be killed.
    pub fn new(grace: Duration) -> Self {
        Self { grace }
    }

    /// Whether a request is accepted `elapsed` after SIGTERM, at which time it has this time left.
    ///
    /// Streams are accepted for a fixed time. Any other request is accepted if its timeout passes
    /// before the process exits, so that the stop cuts none off, however late a caller with an old
    /// reply of the directory comes.
    pub fn accepts(&self, is_stream: bool, timeout: Duration, elapsed: Duration) -> bool {
        if is_stream {
            return elapsed < self.grace.mul_f64(STREAM_CUTOFF).min(MAX_STREAM_CUTOFF);
        }
        elapsed + timeout <= self.answers_due_at()
    }

    /// Returns the time after SIGTERM at which a request without an answer is failed.
    pub fn answers_due_at(&self) -> Duration {
        self.exit_at().saturating_sub(ANSWER_MARGIN.min(self.grace / MIN_MARGINS))
    }

    /// Decides whether the entry exits, given the number of open requests.
    pub fn next_step(&self, open_requests: u32, elapsed: Duration) -> ShutdownStep {
        let new_callers_until = NEW_CALLER_GRACE.min(self.grace / 2);
        let is_idle = open_requests == 0 && elapsed >= new_callers_until;
        if is_idle || elapsed >= self.exit_at() { ShutdownStep::Exit } else { ShutdownStep::Serve }
    }

    fn exit_at(&self) -> Duration {
        self.grace.saturating_sub(GRACE_MARGIN.min(self.grace / MIN_MARGINS))
    }
}
