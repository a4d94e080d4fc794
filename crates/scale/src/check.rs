//! Checks the membership tables against the actual state of the entries.

use crate::net::Net;
use kernel::NodeId;
use member::{Change, MemberState};

/// A violated invariant.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Violation {
    /// The table of an entry has the wrong state for a running entry.
    Unseen {
        /// The entry with the wrong state.
        by: usize,
        /// The entry that is running.
        entry: usize,
        /// The wrong state; `None` if the incarnation is unknown.
        state: Option<MemberState>,
    },
    /// The table of an entry has a state other than dead for an entry that is down.
    Ghost {
        /// The entry with the wrong state.
        by: usize,
        /// The entry that is down.
        entry: usize,
    },
    /// An entry that is running and reachable was declared dead.
    FalseDeath {
        /// The entry that declared it dead.
        by: usize,
        /// The incarnation that is alive.
        node: NodeId,
    },
    /// An entry sent a message to an incarnation that it knew to be gone.
    SentToGone {
        /// The sender.
        by: usize,
        /// The incarnation addressed.
        node: NodeId,
    },
    /// The table of an entry replaced an incarnation by an earlier one.
    IncarnationDecreased {
        /// The entry with the wrong state.
        by: usize,
        /// The earlier incarnation.
        node: NodeId,
    },
}

/// Lists the differences between the tables of the running entries and the actual states.
pub fn disagreements(net: &Net) -> Vec<Violation> {
    let mut violations = Vec::new();
    for by in net.running() {
        let Some(table) = net.table(by) else { continue };
        for entry in 0..net.len() {
            let node = net.node(entry);
            let known = table.get(&node.name);
            let state = known.filter(|member| member.node == *node).map(|member| member.state);
            let is_running = net.table(entry).is_some();
            let is_leaving =
                net.table(entry).is_some_and(|t| t.local().state == MemberState::Leaving);
            match state {
                Some(MemberState::Alive) if is_running && !is_leaving => {}
                Some(MemberState::Leaving) if is_leaving => {}
                state if is_running => violations.push(Violation::Unseen { by, entry, state }),
                Some(MemberState::Dead) | None => {}
                Some(_) => violations.push(Violation::Ghost { by, entry }),
            }
        }
    }
    violations
}

impl Net {
    /// Lists the deaths declared since a time, except those of entries in `down`.
    pub fn false_deaths(&self, since: u64, down: &[usize]) -> Vec<Violation> {
        let is_down = |node: &NodeId| down.iter().any(|i| self.node(*i).name == node.name);
        let deaths = self.history().iter().filter(|(at, _, _)| *at >= since);
        let deaths = deaths.filter_map(|(_, by, change)| match change {
            Change::Died(node) if !is_down(node) => {
                Some(Violation::FalseDeath { by: *by, node: node.clone() })
            }
            _ => None,
        });
        deaths.collect()
    }

    /// Lists the invariants violated during the run: messages sent to incarnations known to be
    /// gone, and incarnations that decreased.
    pub fn violated_invariants(&self) -> Vec<Violation> {
        let mut violations = self.violations().to_vec();
        let mut latest = std::collections::HashMap::new();
        for (_, by, change) in self.history() {
            let node = change.node();
            let known = latest.entry((*by, node.name.clone())).or_insert(node.incarnation);
            if node.incarnation < *known {
                violations.push(Violation::IncarnationDecreased { by: *by, node: node.clone() });
            }
            *known = node.incarnation.max(*known);
        }
        violations
    }
}
