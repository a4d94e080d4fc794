//! The checker of all promises.

use crate::Time;
use crate::log::{Log, Seen, Word};
use std::collections::{HashMap, HashSet};

/// A promise to callers.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Promise {
    /// A request that may not be repeated runs at most once.
    AtMostOnce,
    /// "Not run" is the truth.
    NotRunIsTrue,
    /// A caller gets the whole answer to its own request and never another's.
    WholeAnswer,
    /// An accepted request survives an announced reclaim.
    SurvivesReclaim,
    /// A request that is given up gets its final answer at once.
    ToldAtOnce,
}

impl Promise {
    /// Every promise, in the order of the report.
    pub const ALL: [Self; 5] = [
        Self::AtMostOnce,
        Self::NotRunIsTrue,
        Self::WholeAnswer,
        Self::SurvivesReclaim,
        Self::ToldAtOnce,
    ];
}

/// A promise that was broken, and how.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Violation {
    /// The promise.
    pub promise: Promise,
    /// What was seen.
    pub text: String,
}

/// Longest time from a caller's last try to its last word, in ms.
const TOLD_WITHIN: Time = 15_000;

/// Checks every promise against what was seen.
pub fn check(log: &Log) -> Vec<Violation> {
    let mut found = Vec::new();
    let mut add = |promise, text: Option<String>| {
        found.extend(text.map(|text| Violation { promise, text }));
    };
    add(Promise::AtMostOnce, ran_twice(log));
    add(Promise::NotRunIsTrue, ran_after_all(log));
    add(Promise::WholeAnswer, not_whole(log));
    add(Promise::SurvivesReclaim, lost(log));
    add(Promise::ToldAtOnce, held_back(log));
    found
}

fn ran_twice(log: &Log) -> Option<String> {
    if log.repeatable {
        return None;
    }
    let mut runs: HashMap<usize, u32> = HashMap::new();
    for (_, seen) in &log.seen {
        if let Seen::Ran { request, .. } = seen {
            *runs.entry(*request).or_default() += 1;
        }
    }
    let twice = runs.into_iter().find(|(_, runs)| *runs > 1);
    twice.map(|(request, runs)| format!("request {request} ran {runs} times"))
}

fn ran_after_all(log: &Log) -> Option<String> {
    log.seen.iter().enumerate().find_map(|(i, (at, seen))| match seen {
        Seen::Told { caller, word: Word::NotRun } => {
            let request = log.request_of[*caller];
            if ran_between(log, request, 0, i) {
                return Some(format!("request {request} had run when told not run at {at}"));
            }
            let again = sent_again(log, request, *caller, i);
            ran_between(log, request, i, again)
                .then(|| format!("request {request} ran after it was told not run at {at}"))
        }
        _ => None,
    })
}

fn ran_between(log: &Log, request: usize, from: usize, to: usize) -> bool {
    let ran =
        |(_, seen): &(Time, Seen)| matches!(seen, Seen::Ran { request: r, .. } if *r == request);
    log.seen[from..to].iter().any(ran)
}

/// Returns the place in the log from which on a caller wants the request again.
fn sent_again(log: &Log, request: usize, told: usize, i: usize) -> usize {
    let others = || (0..log.request_of.len()).filter(|c| log.request_of[*c] == request);
    // Another caller that still waits wants it to run.
    if others().any(|caller| caller != told && is_waiting(log, caller, i)) {
        return i;
    }
    let sent = |(_, seen): &(Time, Seen)| matches!(seen, Seen::Submitted { caller } if log.request_of[*caller] == request);
    log.seen[i..].iter().position(sent).map_or(log.seen.len(), |next| i + next)
}

fn is_waiting(log: &Log, caller: usize, i: usize) -> bool {
    let of_caller = |(_, seen): &&(Time, Seen)| match seen {
        Seen::Submitted { caller: c } | Seen::Told { caller: c, .. } => *c == caller,
        Seen::Dropped { caller: c } => *c == caller,
        Seen::Ran { .. } | Seen::Shown { .. } => false,
    };
    let last = log.seen[..i].iter().rev().find(of_caller);
    matches!(last, Some((_, Seen::Submitted { .. })))
}

fn not_whole(log: &Log) -> Option<String> {
    let mut next = vec![0; log.request_of.len()];
    let mut told: HashSet<usize> = HashSet::new();
    let mut words_of: HashMap<usize, &str> = HashMap::new();
    for (at, seen) in &log.seen {
        match seen {
            Seen::Shown { caller, number, text } => {
                let request = log.request_of[*caller];
                // A caller that was told so reads the answer again from the start.
                if *number == 0 && told.contains(caller) {
                    next[*caller] = 0;
                    words_of.remove(caller);
                }
                if *number != next[*caller] {
                    return Some(format!(
                        "caller {caller} saw chunk {number} out of order at {at}"
                    ));
                }
                next[*caller] += 1;
                if !text.starts_with(&format!("{request}:{number}:")) {
                    return Some(format!("caller {caller} saw another's chunk {text} at {at}"));
                }
                // The words tell which run an answer began with; a resumed run keeps them.
                let words = text.rsplit(':').next().unwrap_or_default();
                let first = words_of.entry(*caller).or_insert(words);
                if *first != words {
                    return Some(format!("caller {caller} saw {first}, then {text} at {at}"));
                }
            }
            Seen::Told { caller, word: Word::Answered } if next[*caller] != log.chunks => {
                let seen = next[*caller];
                return Some(format!("caller {caller} was told answered after {seen} chunks"));
            }
            Seen::Told { caller, .. } => {
                told.insert(*caller);
            }
            _ => {}
        }
    }
    None
}

fn lost(log: &Log) -> Option<String> {
    if !log.announced_only || !log.entries_left {
        return None;
    }
    (0..log.request_of.len()).find_map(|caller| {
        let words = words(log, caller);
        if never_accepted(log, caller, &words) {
            return None;
        }
        let bad = words.iter().find(|(_, word)| matches!(word, Word::Unknown | Word::NotRun));
        match (bad, words.last()) {
            (Some((at, word)), _) => Some(format!("caller {caller} was told {word:?} at {at}")),
            (None, Some((_, Word::Answered))) => None,
            (None, last) => Some(format!("caller {caller} ended with {last:?}")),
        }
    })
}

/// Tells whether every try was turned away and nothing ran: then nothing was accepted.
fn never_accepted(log: &Log, caller: usize, words: &[(Time, Word)]) -> bool {
    let dropped = |(_, seen): &(Time, Seen)| *seen == Seen::Dropped { caller };
    words.iter().all(|(_, word)| *word == Word::Rejected)
        && !log.seen.iter().any(dropped)
        && !ran_between(log, log.request_of[caller], 0, log.seen.len())
}

fn held_back(log: &Log) -> Option<String> {
    (0..log.request_of.len()).find_map(|caller| {
        let sent = |(at, seen): &(Time, Seen)| match seen {
            Seen::Submitted { caller: c } if *c == caller => Some(*at),
            Seen::Shown { caller: c, .. } if *c == caller => Some(*at),
            _ => None,
        };
        let last = log.seen.iter().filter_map(sent).next_back()?;
        match words(log, caller).last() {
            _ if !log.entries_left => None,
            Some((at, _)) if *at <= last + TOLD_WITHIN => None,
            Some((at, _)) => Some(format!("caller {caller} sent at {last} and was told at {at}")),
            None => Some(format!("caller {caller} sent at {last} and was told nothing")),
        }
    })
}

fn words(log: &Log, caller: usize) -> Vec<(Time, Word)> {
    let told = |(at, seen): &(Time, Seen)| match seen {
        Seen::Told { caller: c, word } if *c == caller => Some((*at, *word)),
        _ => None,
    };
    log.seen.iter().filter_map(told).collect()
}
