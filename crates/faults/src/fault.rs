//! The faults, and where they are put.

use crate::Time;

/// A fault at one step. The entry meant is the one that takes the step.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Fault {
    /// The entry dies before the step.
    CrashBefore,
    /// The entry dies after the step, when its messages have left.
    CrashAfter,
    /// The entry stands still until others hold it for dead, then goes on.
    Pause,
    /// The message is lost.
    Lose,
    /// The message arrives twice.
    Twice,
    /// The message arrives a second time, long after.
    TwiceLate,
    /// The message arrives after its sender stopped waiting.
    Late,
    /// The message arrives long after.
    VeryLate,
    /// The step takes effect and its answer is lost.
    LoseAnswer,
    /// Nothing reaches the entry from the sender for a while.
    CutIn,
    /// Nothing reaches the sender from the entry for a while.
    CutOut,
    /// The entry restarts at once, without memory.
    Restart,
    /// The key-value service is down for a while.
    KvDown,
    /// The key-value service answers too late for a while.
    KvSlow,
    /// The entry gets a reclaim notice.
    Reclaim,
    /// Every entry of its data centre gets a reclaim notice.
    ReclaimDataCentre,
    /// The backend server breaks off what it runs.
    ServerBreaks,
    /// The entry and the backend server that it uses are reclaimed together.
    ReclaimBoth,
}

impl Fault {
    /// Every fault.
    pub const ALL: [Self; 18] = [
        Self::CrashBefore,
        Self::CrashAfter,
        Self::Pause,
        Self::Lose,
        Self::Twice,
        Self::TwiceLate,
        Self::Late,
        Self::VeryLate,
        Self::LoseAnswer,
        Self::CutIn,
        Self::CutOut,
        Self::Restart,
        Self::KvDown,
        Self::KvSlow,
        Self::Reclaim,
        Self::ReclaimDataCentre,
        Self::ServerBreaks,
        Self::ReclaimBoth,
    ];

    /// Tells whether a request has to survive it, also twice: a reclaim that was announced, and a
    /// broken backend server for one that may be repeated.
    pub fn is_survivable(self, repeatable: bool) -> bool {
        match self {
            Self::Reclaim | Self::ReclaimDataCentre => true,
            Self::ReclaimBoth | Self::ServerBreaks => repeatable,
            _ => false,
        }
    }

    /// Tells whether an entry dies of it without a notice.
    pub fn is_crash(self) -> bool {
        matches!(self, Self::CrashBefore | Self::CrashAfter)
    }
}

/// Faults by the number of the step at which they strike.
pub type Plan = Vec<(usize, Fault)>;

/// A protecting mechanism that is switched off, to show that the checker can fail.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mutation {
    /// The witness forgets that it granted the right.
    ForgetGrant,
    /// Chunks of any attempt count as those of the present one.
    IgnoreAttempt,
    /// The owner believes that the witness holds what it never got.
    PretendHeld,
    /// The owner believes that the witness voided what it never heard of.
    PretendVoided,
    /// A connection pool repeats a request by itself.
    RepeatInPool,
    /// The backend server sends another request's chunk.
    CrossAnswers,
    /// A stream that stops counts as whole.
    AcceptCutStream,
    /// A right is given to a second entry when the first stays silent.
    GiveTwice,
    /// A late relayed request may begin a new round.
    IgnoreRound,
    /// A leaving entry gives nothing away.
    KeepAll,
    /// A final word is held back.
    HoldBack(Time),
}
