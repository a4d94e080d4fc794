//! The lives of a request that the matrix goes through.

use crate::Time;

/// What backend servers do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Serving {
    /// They answer.
    Well,
    /// The first attempt breaks after this many chunks.
    BreaksAfter(usize),
    /// None can take the request until this time.
    RefuseUntil(Time),
}

/// One life of a request: who sends it where, and what is planned on the way.
#[derive(Clone, Copy, Debug)]
pub struct Life {
    /// Its name in the report.
    pub name: &'static str,
    pub(crate) repeatable: bool,
    /// When each caller sends and the entry that it uses first.
    pub(crate) callers: &'static [(Time, usize, usize)],
    pub(crate) serving: Serving,
    /// When the owner gets a reclaim notice.
    pub(crate) reclaim: Option<Time>,
    /// When the owner is told to stop and drains.
    pub(crate) drain: Option<Time>,
    /// Time between two chunks.
    pub(crate) step: Time,
    /// Whether a caller goes away once it was told anything.
    pub(crate) goes: bool,
    /// Whether a caller that lost its connection reads on without sending again.
    pub(crate) reads_on: bool,
}

const OWNER: usize = 0;
const WITNESS: usize = 1;
const THIRD: usize = 2;

impl Life {
    /// Finds a life by its name.
    pub fn named(name: &str) -> Option<Self> {
        LIVES.iter().copied().find(|life| life.name == name)
    }

    /// Tells whether the request may be repeated.
    pub fn is_repeatable(&self) -> bool {
        self.repeatable
    }
}

const PLAIN: Life = Life {
    name: "",
    repeatable: false,
    callers: &[(0, OWNER, 0)],
    serving: Serving::Well,
    reclaim: None,
    drain: None,
    step: STEP,
    goes: false,
    reads_on: false,
};

const STEP: Time = 10;
/// Time between two chunks of an answer that takes longer than a notice.
const LONG_STEP: Time = 900;

/// Every life: callers are (time, entry, request).
pub const LIVES: &[Life] = &[
    Life { name: "once, at its owner", ..PLAIN },
    Life { name: "once, at its witness", callers: &[(0, WITNESS, 0)], ..PLAIN },
    Life { name: "once, at a third entry", callers: &[(0, THIRD, 0)], ..PLAIN },
    Life {
        name: "once, again at a third entry",
        callers: &[(0, OWNER, 0), (3, THIRD, 0)],
        ..PLAIN
    },
    Life { name: "once, refused first", serving: Serving::RefuseUntil(150), ..PLAIN },
    Life {
        name: "once, refused first, at a third entry",
        callers: &[(0, THIRD, 0)],
        serving: Serving::RefuseUntil(150),
        ..PLAIN
    },
    Life { name: "once, owner reclaimed", reclaim: Some(4), ..PLAIN },
    Life { name: "repeatable, at its owner", repeatable: true, ..PLAIN },
    Life {
        name: "repeatable, two requests at a third entry",
        repeatable: true,
        callers: &[(0, THIRD, 0), (2, THIRD, 1)],
        ..PLAIN
    },
    Life {
        name: "repeatable, read again at a third entry",
        repeatable: true,
        callers: &[(0, OWNER, 0), (25, THIRD, 0)],
        ..PLAIN
    },
    Life {
        name: "repeatable, refused first",
        repeatable: true,
        serving: Serving::RefuseUntil(150),
        ..PLAIN
    },
    Life {
        name: "repeatable, server breaks",
        repeatable: true,
        serving: Serving::BreaksAfter(2),
        ..PLAIN
    },
    Life { name: "repeatable, owner reclaimed", repeatable: true, reclaim: Some(25), ..PLAIN },
    Life {
        name: "repeatable, read again at the leaving owner",
        repeatable: true,
        callers: &[(0, OWNER, 0), (30, OWNER, 0)],
        reclaim: Some(25),
        ..PLAIN
    },
    Life {
        name: "once, sent again at the leaving owner",
        callers: &[(0, OWNER, 0), (8, OWNER, 0)],
        reclaim: Some(4),
        ..PLAIN
    },
    Life {
        name: "once, refused, its caller goes",
        callers: &[(0, THIRD, 0)],
        serving: Serving::RefuseUntil(150),
        goes: true,
        ..PLAIN
    },
    Life {
        name: "repeatable, refused, its caller goes, owner reclaimed",
        repeatable: true,
        serving: Serving::RefuseUntil(150),
        reclaim: Some(1_000),
        goes: true,
        ..PLAIN
    },
    Life {
        name: "repeatable, long answer, owner reclaimed",
        repeatable: true,
        reclaim: Some(1_000),
        step: LONG_STEP,
        ..PLAIN
    },
    Life { name: "once, long call, owner drains", drain: Some(100), step: LONG_STEP, ..PLAIN },
    Life { name: "once, read on after a lost connection", reads_on: true, ..PLAIN },
    Life {
        name: "once, refused first, read on after a lost connection",
        callers: &[(0, THIRD, 0), (5, OWNER, 0)],
        serving: Serving::RefuseUntil(150),
        reads_on: true,
        ..PLAIN
    },
    Life {
        name: "repeatable, read on after a lost connection",
        repeatable: true,
        reads_on: true,
        ..PLAIN
    },
    Life { name: "once, owner drains", drain: Some(10), ..PLAIN },
    Life { name: "repeatable, owner drains", repeatable: true, drain: Some(25), ..PLAIN },
];
