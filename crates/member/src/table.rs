//! The members that one entry knows, and what it believes of them.

use crate::gossip::{Member, MemberState};
use kernel::{Millis, Name, NodeId};
use std::collections::BTreeMap;

/// What changed in the table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// An entry is new, or runs anew.
    Joined(NodeId),
    /// An entry is suspected.
    Suspected(NodeId),
    /// An entry refuted a suspicion, or came back after it was believed dead.
    Refuted(NodeId),
    /// An entry is leaving.
    Leaving(NodeId),
    /// An entry is believed dead.
    Died(NodeId),
}

impl Change {
    /// Returns the run that changed.
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

/// What became of a report.
#[derive(Debug, Eq, PartialEq)]
pub(crate) enum Merged {
    /// Nothing new.
    Known,
    /// The table changed.
    Changed(Change),
    /// The report denies that this run is in order, which it has refuted.
    Refuted,
    /// A later run of this entry's name exists.
    Superseded(u64),
}

#[derive(Clone, Debug)]
struct Row {
    member: Member,
    /// Time of death on this process's clock; negative when it died before this process started.
    died_at: i64,
    /// Time at which it counts as dead unless it refutes.
    deadline: Option<Millis>,
}

/// The members that one entry knows.
#[derive(Clone, Debug)]
pub struct Table {
    me: Name,
    rows: BTreeMap<Name, Row>,
}

impl Table {
    /// Creates a table that knows only its own entry.
    pub(crate) fn new(me: Member) -> Self {
        let name = me.node.name.clone();
        let row = Row { member: me, died_at: 0, deadline: None };
        Self { me: name.clone(), rows: BTreeMap::from([(name, row)]) }
    }

    /// Returns this entry.
    pub fn me(&self) -> &Member {
        &self.rows[&self.me].member
    }

    /// Returns an entry by its name.
    pub fn get(&self, name: &str) -> Option<&Member> {
        self.rows.get(name).map(|row| &row.member)
    }

    /// Lists every entry that is remembered.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.rows.values().map(|row| &row.member)
    }

    /// Lists the other entries that are not believed dead.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.all().filter(|member| member.node.name != self.me && member.state != MemberState::Dead)
    }

    /// Lists the entries that are believed dead.
    pub(crate) fn dead(&self) -> impl Iterator<Item = &Member> {
        self.all().filter(|member| member.state == MemberState::Dead)
    }

    /// Tells whether the run is believed dead or was replaced by a later one.
    pub fn is_gone(&self, node: &NodeId) -> bool {
        match self.get(&node.name) {
            Some(member) if member.node.incarnation == node.incarnation => {
                member.state == MemberState::Dead
            }
            Some(member) => member.node.incarnation > node.incarnation,
            None => false,
        }
    }

    /// Tells whether a report accuses an entry that has refuted it, or that runs anew.
    pub(crate) fn is_refuted(&self, report: &Member) -> bool {
        let accuses = matches!(report.state, MemberState::Suspect | MemberState::Dead);
        let live =
            |known: &&Member| !matches!(known.state, MemberState::Suspect | MemberState::Dead);
        let known = self.get(&report.node.name).filter(live);
        accuses && known.is_some_and(|known| known.precedence() > report.precedence())
    }

    /// Counts the entries that are not believed dead, this one too.
    pub(crate) fn live(&self) -> usize {
        self.others().count() + 1
    }

    /// Returns the milliseconds since an entry was declared dead.
    pub(crate) fn age(&self, name: &str, now: Millis) -> Millis {
        let dead = self.rows.get(name).filter(|row| row.member.state == MemberState::Dead);
        dead.map_or(0, |row| (now as i64 - row.died_at).max(0) as Millis)
    }

    /// Says that this entry is leaving.
    pub(crate) fn leave(&mut self) {
        if let Some(row) = self.rows.get_mut(&self.me) {
            row.member.state = MemberState::Leaving;
        }
    }

    /// Takes a report in; `patience` is the time a suspected entry has to refute.
    pub(crate) fn merge(
        &mut self,
        report: Member,
        age: Millis,
        now: Millis,
        patience: Millis,
    ) -> Merged {
        if report.node.name == self.me {
            return self.merge_me(&report);
        }
        let Some(row) = self.rows.get(&report.node.name) else {
            return self.insert(report, age, now, patience);
        };
        let known = &row.member;
        if report.precedence() <= known.precedence() {
            return Merged::Known;
        }
        let same_run = report.node.incarnation == known.node.incarnation;
        if same_run && report.state == MemberState::Dead && known.state != MemberState::Dead {
            return self.suspect_by_report(&report, now, patience);
        }
        let change = describe(&report, !same_run);
        self.put(report, age, now, patience);
        Merged::Changed(change)
    }

    /// Notes that an entry answered neither directly nor through others.
    pub(crate) fn silent(
        &mut self,
        node: &NodeId,
        now: Millis,
        patience: Millis,
    ) -> Option<Change> {
        let row = self.rows.get_mut(&node.name).filter(|row| row.member.node == *node)?;
        match row.member.state {
            MemberState::Alive => {
                row.member.state = MemberState::Suspect;
                row.deadline = Some(now + patience);
                Some(Change::Suspected(node.clone()))
            }
            MemberState::Leaving => {
                row.deadline = row.deadline.or(Some(now + patience));
                None
            }
            MemberState::Suspect | MemberState::Dead => None,
        }
    }

    /// Notes that a leaving entry answered.
    pub(crate) fn answered(&mut self, node: &NodeId) {
        let row = self.rows.get_mut(&node.name).filter(|row| row.member.node == *node);
        if let Some(row) = row.filter(|row| row.member.state == MemberState::Leaving) {
            row.deadline = None;
        }
    }

    /// Lists the entries that did not refute a suspicion in time, and gives at most `limit` of them
    /// until `retry`.
    pub(crate) fn overdue(&mut self, now: Millis, retry: Millis, limit: usize) -> Vec<Member> {
        let is_overdue = |row: &&mut Row| row.deadline.is_some_and(|deadline| now >= deadline);
        let overdue = self.rows.values_mut().filter(is_overdue).take(limit).map(|row| {
            row.deadline = Some(retry);
            row.member.clone()
        });
        overdue.collect()
    }

    /// Declares a suspected run dead.
    pub(crate) fn die(&mut self, node: &NodeId, now: Millis) -> Option<Change> {
        let row = self.rows.get_mut(&node.name).filter(|row| row.member.node == *node)?;
        row.deadline?;
        row.member.state = MemberState::Dead;
        row.deadline = None;
        row.died_at = now as i64;
        Some(Change::Died(node.clone()))
    }

    /// Forgets the long dead.
    pub(crate) fn forget(&mut self, now: Millis, remember: Millis) {
        self.rows.retain(|_, row| {
            row.member.state != MemberState::Dead || now as i64 - row.died_at < remember as i64
        });
    }

    /// Gives all suspected entries more time, after this process was paused.
    pub(crate) fn extend(&mut self, by: Millis) {
        for deadline in self.rows.values_mut().filter_map(|row| row.deadline.as_mut()) {
            *deadline += by;
        }
    }

    fn insert(&mut self, report: Member, age: Millis, now: Millis, patience: Millis) -> Merged {
        let is_dead = report.state == MemberState::Dead;
        let change = describe(&report, true);
        self.put(report, age, now, patience);
        if is_dead { Merged::Known } else { Merged::Changed(change) }
    }

    fn put(&mut self, member: Member, age: Millis, now: Millis, patience: Millis) {
        let deadline = (member.state == MemberState::Suspect).then(|| now + patience);
        let died_at = now as i64 - age as i64;
        self.rows.insert(member.node.name.clone(), Row { member, died_at, deadline });
    }

    /// A death that others report is a suspicion here: the entry may have refuted it already.
    fn suspect_by_report(&mut self, report: &Member, now: Millis, patience: Millis) -> Merged {
        let Some(row) = self.rows.get_mut(&report.node.name) else { return Merged::Known };
        let first = row.deadline.is_none();
        row.deadline = row.deadline.or(Some(now + patience));
        row.member.refutation = report.refutation;
        if row.member.state == MemberState::Alive {
            row.member.state = MemberState::Suspect;
        }
        if !first || row.member.state == MemberState::Leaving {
            return Merged::Known;
        }
        Merged::Changed(Change::Suspected(report.node.clone()))
    }

    fn merge_me(&mut self, report: &Member) -> Merged {
        let Some(row) = self.rows.get_mut(&self.me) else { return Merged::Known };
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

fn describe(member: &Member, runs_anew: bool) -> Change {
    let node = member.node.clone();
    match member.state {
        MemberState::Alive if runs_anew => Change::Joined(node),
        MemberState::Alive => Change::Refuted(node),
        MemberState::Suspect => Change::Suspected(node),
        MemberState::Leaving => Change::Leaving(node),
        MemberState::Dead => Change::Died(node),
    }
}
