//! Every fault at every step, and pairs of faults at neighbouring steps.

use crate::check::{Promise, Violation, check};
use crate::fault::{Fault, Mutation, Plan};
use crate::life::Life;
use crate::log::Log;
use crate::world::World;
use std::collections::BTreeMap;
use std::fmt;

/// One life with its faults.
#[derive(Clone, Debug)]
pub struct Cell {
    /// The life.
    pub life: Life,
    /// The faults.
    pub plan: Plan,
}

/// Runs a cell and returns what was seen.
pub fn run(cell: &Cell, mutation: Option<Mutation>) -> Log {
    World::new(cell.life, cell.plan.clone(), mutation).run().0
}

/// Counts the steps of a life under a plan.
pub fn steps(life: Life, plan: &Plan) -> usize {
    World::new(life, plan.clone(), None).run().1
}

/// Returns every fault at every step of a life.
pub fn singles(life: Life) -> impl Iterator<Item = Cell> {
    let plans = (0..steps(life, &Vec::new()))
        .flat_map(|step| Fault::ALL.into_iter().map(move |fault| vec![(step, fault)]));
    plans.map(move |plan| Cell { life, plan })
}

/// Returns every pair of faults at most `reach` steps apart, the second among the steps that the
/// first leaves.
pub fn pairs(life: Life, reach: usize) -> impl Iterator<Item = Cell> {
    singles(life).flat_map(move |cell| {
        let first = cell.plan[0];
        let last = steps(life, &cell.plan).min(first.0 + reach + 1);
        let seconds = (first.0 + 1..last).flat_map(|step| Fault::ALL.map(|fault| (step, fault)));
        seconds.map(move |second| Cell { life, plan: vec![first, second] })
    })
}

/// Results by promise.
#[derive(Clone, Debug, Default)]
pub struct Report {
    tried: u64,
    /// Last words told to callers, and callers that were told nothing.
    words: BTreeMap<String, u64>,
    failed: BTreeMap<String, u64>,
    examples: BTreeMap<String, Vec<String>>,
}

/// Examples kept for each promise.
const EXAMPLES: usize = 3;

impl Report {
    /// Runs a cell and counts it.
    pub fn add(&mut self, cell: &Cell) {
        self.tried += 1;
        let log = run(cell, None);
        for word in log.last_words() {
            *self.words.entry(word).or_default() += 1;
        }
        for Violation { promise, text } in check(&log) {
            let promise = format!("{promise:?}");
            *self.failed.entry(promise.clone()).or_default() += 1;
            let examples = self.examples.entry(promise).or_default();
            if examples.len() < EXAMPLES {
                examples.push(format!("{}, {:?}: {text}", cell.life.name, cell.plan));
            }
        }
    }

    /// Returns how many cells were tried.
    pub fn tried(&self) -> u64 {
        self.tried
    }

    /// Tells whether every cell kept every promise.
    pub fn is_clean(&self) -> bool {
        self.failed.is_empty()
    }

    /// Returns how many cells broke a promise.
    pub fn failed(&self, promise: Promise) -> u64 {
        self.failed.get(&format!("{promise:?}")).copied().unwrap_or(0)
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut total = 0;
        for promise in Promise::ALL {
            let failed = self.failed(promise);
            total += failed;
            let (name, passed) = (format!("{promise:?}"), self.tried - failed);
            writeln!(
                f,
                "{name:16} cells {} passed {passed} failed {failed} known red 0",
                self.tried
            )?;
            for example in self.examples.get(&name).into_iter().flatten() {
                writeln!(f, "    {example}")?;
            }
        }
        writeln!(f, "last words to callers: {:?}", self.words)?;
        let checks = self.tried * Promise::ALL.len() as u64;
        write!(f, "{} passed, {total} failed", checks - total)
    }
}
