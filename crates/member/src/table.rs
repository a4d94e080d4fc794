//! Membership table of one entry.

use crate::gossip::{Member, MemberState};
use kernel::{Millis, Name, NodeId};
use std::collections::BTreeMap;

/// A change of the membership table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// An entry joined, or restarted with a new incarnation.
    Joined(NodeId),
    /// An entry became suspect.
    Suspected(NodeId),
    /// An entry refuted a suspicion, or is alive after it was declared dead.
    Refuted(NodeId),
    /// An entry is leaving.
    Leaving(NodeId),
    /// An entry was declared dead.
    Died(NodeId),
}

impl Change {
    /// Returns the incarnation that changed.
    pub fn node(&self) -> &NodeId {
        match self {
            Self::Joined(node)
            | Self::Suspected(node)
            | Self::Refuted(node)
            | Self::Leaving(node)
            | Self::Died(node) => node,
        }
    }
}

/// Result of merging a report.
#[derive(Debug, Eq, PartialEq)]
pub(crate) enum Merged {
    /// The report is not newer than the table.
    Known,
    /// The table changed.
    Changed(Change),
    /// The report had a wrong state of the local entry, whose refutation number was raised.
    Refuted,
    /// A later incarnation of this entry exists.
    Superseded(u64),
}

#[derive(Clone, Debug)]
struct Row {
    member: Member,
    /// Time of death on the local clock; negative if it was before this process started.
    died_at: i64,
    /// Time at which the final probes start unless the entry has refuted the suspicion.
    deadline: Option<Millis>,
}

/// The members known to one entry.
#[derive(Clone, Debug)]
pub struct Table {
    local: Name,
    rows: BTreeMap<Name, Row>,
}

impl Table {
    /// Creates a table that contains only the local entry.
    pub(crate) fn new(local: Member) -> Self {
        let name = local.node.name.clone();
        let row = Row { member: local, died_at: 0, deadline: None };
        Self { local: name.clone(), rows: BTreeMap::from([(name, row)]) }
    }

    /// Returns the local entry.
    pub fn local(&self) -> &Member {
        &self.rows[&self.local].member
    }

    /// Returns the entry with this name.
    pub fn get(&self, name: &str) -> Option<&Member> {
        self.rows.get(name).map(|row| &row.member)
    }

    /// Lists all known entries, including the local one and those declared dead.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.rows.values().map(|row| &row.member)
    }

    /// Lists the other entries that are not declared dead.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.members()
            .filter(|member| member.node.name != self.local && member.state != MemberState::Dead)
    }

    /// Lists the entries that are declared dead.
    pub(crate) fn dead(&self) -> impl Iterator<Item = &Member> {
        self.members().filter(|member| member.state == MemberState::Dead)
    }

    /// Returns whether the incarnation is declared dead or was replaced by a later one.
    pub fn is_gone(&self, node: &NodeId) -> bool {
        match self.get(&node.name) {
            Some(member) if member.node.incarnation == node.incarnation => {
                member.state == MemberState::Dead
            }
            Some(member) => member.node.incarnation > node.incarnation,
            None => false,
        }
    }

    /// Returns whether the report gives an entry as suspect or dead although the entry has since
    /// refuted this or restarted.
    pub(crate) fn is_refuted(&self, report: &Member) -> bool {
        let reports_failure = matches!(report.state, MemberState::Suspect | MemberState::Dead);
        let live =
            |known: &&Member| !matches!(known.state, MemberState::Suspect | MemberState::Dead);
        let known = self.get(&report.node.name).filter(live);
        reports_failure && known.is_some_and(|known| known.precedence() > report.precedence())
    }

    /// Returns the number of entries that are not declared dead, including the local one.
    pub(crate) fn live_count(&self) -> usize {
        self.others().count() + 1
    }

    /// Returns the milliseconds since an entry was declared dead; zero in any other state.
    pub(crate) fn age(&self, name: &str, now: Millis) -> Millis {
        let dead = self.rows.get(name).filter(|row| row.member.state == MemberState::Dead);
        dead.map_or(0, |row| (now as i64 - row.died_at).max(0) as Millis)
    }

    /// Marks the local entry as leaving.
    pub(crate) fn leave(&mut self) {
        if let Some(row) = self.rows.get_mut(&self.local) {
            row.member.state = MemberState::Leaving;
        }
    }

    /// Merges a report; a suspected entry must refute within `suspicion_timeout`.
    pub(crate) fn merge(
        &mut self,
        report: Member,
        age: Millis,
        now: Millis,
        suspicion_timeout: Millis,
    ) -> Merged {
        if report.node.name == self.local {
            return self.merge_local(&report);
        }
        let Some(row) = self.rows.get(&report.node.name) else {
            return self.insert(report, age, now, suspicion_timeout);
        };
        let known = &row.member;
        if report.precedence() <= known.precedence() {
            return Merged::Known;
        }
        let same_incarnation = report.node.incarnation == known.node.incarnation;
        if same_incarnation && report.state == MemberState::Dead && known.state != MemberState::Dead
        {
            return self.suspect_by_report(&report, now, suspicion_timeout);
        }
        let change = change_for(&report, !same_incarnation);
        self.store(report, age, now, suspicion_timeout);
        Merged::Changed(change)
    }

    /// Records that an entry replied to neither direct nor indirect probes.
    pub(crate) fn mark_unresponsive(
        &mut self,
        node: &NodeId,
        now: Millis,
        suspicion_timeout: Millis,
    ) -> Option<Change> {
        let row = self.rows.get_mut(&node.name).filter(|row| row.member.node == *node)?;
        match row.member.state {
            MemberState::Alive => {
                row.member.state = MemberState::Suspect;
                row.deadline = Some(now + suspicion_timeout);
                Some(Change::Suspected(node.clone()))
            }
            MemberState::Leaving => {
                row.deadline = row.deadline.or(Some(now + suspicion_timeout));
                None
            }
            MemberState::Suspect | MemberState::Dead => None,
        }
    }

    /// Records a reply, which cancels the deadline of a leaving entry.
    pub(crate) fn mark_responsive(&mut self, node: &NodeId) {
        let row = self.rows.get_mut(&node.name).filter(|row| row.member.node == *node);
        if let Some(row) = row.filter(|row| row.member.state == MemberState::Leaving) {
            row.deadline = None;
        }
    }

    /// Returns at most `limit` entries that did not refute a suspicion in time, and moves their
    /// deadline to `retry`.
    pub(crate) fn overdue(&mut self, now: Millis, retry: Millis, limit: usize) -> Vec<Member> {
        let is_overdue = |row: &&mut Row| row.deadline.is_some_and(|deadline| now >= deadline);
        let overdue = self.rows.values_mut().filter(is_overdue).take(limit).map(|row| {
            row.deadline = Some(retry);
            row.member.clone()
        });
        overdue.collect()
    }

    /// Declares an incarnation dead, if it has not refuted the suspicion.
    pub(crate) fn declare_dead(&mut self, node: &NodeId, now: Millis) -> Option<Change> {
        let row = self.rows.get_mut(&node.name).filter(|row| row.member.node == *node)?;
        row.deadline?;
        row.member.state = MemberState::Dead;
        row.deadline = None;
        row.died_at = now as i64;
        Some(Change::Died(node.clone()))
    }

    /// Removes entries that have been dead for `retention`.
    pub(crate) fn expire(&mut self, now: Millis, retention: Millis) {
        self.rows.retain(|_, row| {
            row.member.state != MemberState::Dead || now as i64 - row.died_at < retention as i64
        });
    }

    /// Extends all deadlines after this process was paused.
    pub(crate) fn extend_deadlines(&mut self, by: Millis) {
        for deadline in self.rows.values_mut().filter_map(|row| row.deadline.as_mut()) {
            *deadline += by;
        }
    }

    fn insert(
        &mut self,
        report: Member,
        age: Millis,
        now: Millis,
        suspicion_timeout: Millis,
    ) -> Merged {
        let is_dead = report.state == MemberState::Dead;
        let change = change_for(&report, true);
        self.store(report, age, now, suspicion_timeout);
        if is_dead { Merged::Known } else { Merged::Changed(change) }
    }

    fn store(&mut self, member: Member, age: Millis, now: Millis, suspicion_timeout: Millis) {
        let deadline = (member.state == MemberState::Suspect).then(|| now + suspicion_timeout);
        let died_at = now as i64 - age as i64;
        self.rows.insert(member.node.name.clone(), Row { member, died_at, deadline });
    }

    /// Treats a death reported by another entry as a suspicion: the entry may already have refuted
    /// it.
    fn suspect_by_report(
        &mut self,
        report: &Member,
        now: Millis,
        suspicion_timeout: Millis,
    ) -> Merged {
        let Some(row) = self.rows.get_mut(&report.node.name) else { return Merged::Known };
        let is_new = row.deadline.is_none();
        row.deadline = row.deadline.or(Some(now + suspicion_timeout));
        row.member.refutation = report.refutation;
        if row.member.state == MemberState::Alive {
            row.member.state = MemberState::Suspect;
        }
        if !is_new || row.member.state == MemberState::Leaving {
            return Merged::Known;
        }
        Merged::Changed(Change::Suspected(report.node.clone()))
    }

    fn merge_local(&mut self, report: &Member) -> Merged {
        let Some(row) = self.rows.get_mut(&self.local) else { return Merged::Known };
        if report.node.incarnation > row.member.node.incarnation {
            return Merged::Superseded(report.node.incarnation);
        }
        if report.precedence() <= row.member.precedence() {
            return Merged::Known;
        }
        row.member.refutation = report.refutation + 1;
        Merged::Refuted
    }
}

fn change_for(member: &Member, is_new_incarnation: bool) -> Change {
    let node = member.node.clone();
    match member.state {
        MemberState::Alive if is_new_incarnation => Change::Joined(node),
        MemberState::Alive => Change::Refuted(node),
        MemberState::Suspect => Change::Suspected(node),
        MemberState::Leaving => Change::Leaving(node),
        MemberState::Dead => Change::Died(node),
    }
}
