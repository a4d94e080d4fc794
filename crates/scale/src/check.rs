//! Checks what entries believe against what is true.

use crate::net::Net;
use kernel::NodeId;
use member::{Change, MemberState};

/// A promise that was broken.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Violation {
    /// An entry does not see a running entry as alive.
    Unseen {
        /// The entry that is wrong.
        by: usize,
        /// The entry that runs.
        entry: usize,
        /// What is believed of it.
        state: Option<MemberState>,
    },
    /// An entry takes one that is down for alive.
    Ghost {
        /// The entry that is wrong.
        by: usize,
        /// The entry that is down.
        entry: usize,
    },
    /// A running, reachable entry was declared dead.
    FalseDeath {
        /// The entry that is wrong.
        by: usize,
        /// The run that is alive.
        run: NodeId,
    },
    /// An entry turned to a run that it knew to be over.
    UsedOverRun {
        /// The entry.
        by: usize,
        /// The run.
        run: NodeId,
    },
    /// An entry went back to an earlier run.
    WentBack {
        /// The entry.
        by: usize,
        /// The earlier run.
        run: NodeId,
    },
}

/// Lists where the running entries are wrong at this moment.
pub fn disagreements(net: &Net) -> Vec<Violation> {
    let mut violations = Vec::new();
    for by in net.running() {
        let Some(table) = net.table(by) else { continue };
        for entry in 0..net.len() {
            let node = net.node(entry);
            let seen = table.get(&node.name);
            let state = seen.filter(|member| member.node == *node).map(|member| member.state);
            let runs = net.table(entry).is_some();
            let leaving = net.table(entry).is_some_and(|t| t.local().state == MemberState::Leaving);
            match state {
                Some(MemberState::Alive) if runs && !leaving => {}
                Some(MemberState::Leaving) if leaving => {}
                state if runs => violations.push(Violation::Unseen { by, entry, state }),
                Some(MemberState::Dead) | None => {}
                Some(_) => violations.push(Violation::Ghost { by, entry }),
            }
        }
    }
    violations
}

impl Net {
    /// Lists the deaths since a time that were declared of entries which are not in `down`.
    pub fn false_deaths(&self, since: u64, down: &[usize]) -> Vec<Violation> {
        let is_down = |run: &NodeId| down.iter().any(|i| self.node(*i).name == run.name);
        let deaths = self.history().iter().filter(|(at, _, _)| *at >= since);
        let deaths = deaths.filter_map(|(_, by, change)| match change {
            Change::Died(run) if !is_down(run) => {
                Some(Violation::FalseDeath { by: *by, run: run.clone() })
            }
            _ => None,
        });
        deaths.collect()
    }

    /// Lists the promises broken on the way: over runs that were used or came back.
    pub fn broken(&self) -> Vec<Violation> {
        let mut violations = self.violations().to_vec();
        let mut latest = std::collections::HashMap::new();
        for (_, by, change) in self.history() {
            let run = change.node();
            let known = latest.entry((*by, run.name.clone())).or_insert(run.incarnation);
            if run.incarnation < *known {
                violations.push(Violation::WentBack { by: *by, run: run.clone() });
            }
            *known = run.incarnation.max(*known);
        }
        violations
    }
}
