//! The members that one entry knows, and what it believes of them.

use crate::gossip::{Member, MemberState};
use kernel::{Millis, Name, NodeId};
use std::collections::BTreeMap;

/// Times of the failure detector.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Time a suspected entry has to refute, in milliseconds.
    pub suspect_for: Millis,
    /// Time a dead or departed entry is remembered, in milliseconds.
    pub remember_dead: Millis,
}

impl Default for Settings {
    fn default() -> Self {
        Self { suspect_for: 800, remember_dead: 600_000 }
    }
}

/// What changed in the table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// An entry is new, or runs anew.
    Joined(NodeId),
    /// An entry is suspected.
    Suspected(NodeId),
    /// An entry refuted a suspicion.
    Refuted(NodeId),
    /// An entry is leaving.
    Leaving(NodeId),
    /// The run of an entry is over.
    Died(NodeId),
}

#[derive(Clone, Debug)]
struct Row {
    member: Member,
    since: Millis,
}

/// The members that one entry knows.
#[derive(Clone, Debug)]
pub struct Table {
    me: Name,
    rows: BTreeMap<Name, Row>,
    settings: Settings,
}

impl Table {
    /// Creates a table that knows only its own entry.
    pub fn new(me: Member, settings: Settings) -> Self {
        let name = me.node.name.clone();
        let rows = BTreeMap::from([(name.clone(), Row { member: me, since: 0 })]);
        Self { me: name, rows, settings }
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

    /// Lists the other entries that may answer.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.all().filter(|member| member.node.name != self.me && member.state != MemberState::Dead)
    }

    /// Tells whether the run is believed to be over.
    pub fn is_gone(&self, node: &NodeId) -> bool {
        match self.get(&node.name) {
            Some(member) if member.node.incarnation == node.incarnation => {
                member.state == MemberState::Dead
            }
            Some(member) => member.node.incarnation > node.incarnation,
            None => false,
        }
    }

    /// Says that this entry is leaving.
    pub fn leave(&mut self) {
        if let Some(row) = self.rows.get_mut(&self.me) {
            row.member.state = MemberState::Leaving;
        }
    }

    /// Takes news in and returns what changed.
    pub fn merge(&mut self, news: Vec<Member>, now: Millis) -> Vec<Change> {
        news.into_iter().filter_map(|member| self.merge_one(member, now)).collect()
    }

    /// Notes that an entry answered.
    pub fn heard(&mut self, node: &NodeId, now: Millis) -> Option<Change> {
        let row = self.rows.get_mut(&node.name)?;
        if row.member.node.incarnation != node.incarnation
            || row.member.state != MemberState::Suspect
        {
            return None;
        }
        row.member.state = MemberState::Alive;
        row.since = now;
        Some(Change::Refuted(node.clone()))
    }

    /// Notes that an entry did not answer.
    pub fn silent(&mut self, node: &NodeId, now: Millis) -> Option<Change> {
        let row = self.rows.get_mut(&node.name)?;
        if row.member.node != *node || row.member.state != MemberState::Alive {
            return None;
        }
        row.member.state = MemberState::Suspect;
        row.since = now;
        Some(Change::Suspected(node.clone()))
    }

    /// Lets suspicions that nobody refuted become deaths, and forgets the long dead.
    pub fn tick(&mut self, now: Millis) -> Vec<Change> {
        let Settings { suspect_for, remember_dead } = self.settings;
        self.rows.retain(|_, row| {
            row.member.state != MemberState::Dead || now < row.since + remember_dead
        });
        let overdue = |row: &&mut Row| {
            row.member.state == MemberState::Suspect && now >= row.since + suspect_for
        };
        let mut changes = Vec::new();
        for row in self.rows.values_mut().filter(overdue) {
            row.member.state = MemberState::Dead;
            row.since = now;
            changes.push(Change::Died(row.member.node.clone()));
        }
        changes
    }

    fn merge_one(&mut self, news: Member, now: Millis) -> Option<Change> {
        if news.node.name == self.me {
            return self.refute(&news);
        }
        let Some(row) = self.rows.get_mut(&news.node.name) else {
            let joined =
                (news.state != MemberState::Dead).then(|| Change::Joined(news.node.clone()));
            self.rows.insert(news.node.name.clone(), Row { member: news, since: now });
            return joined;
        };
        let (old, new) = (row.member.node.incarnation, news.node.incarnation);
        let newer = new > old || (new == old && news.state > row.member.state);
        if !newer {
            return None;
        }
        let change = describe(&news, new > old);
        *row = Row { member: news, since: now };
        Some(change)
    }

    /// Answers a false report of this run's death or a claim to this entry's name.
    fn refute(&mut self, news: &Member) -> Option<Change> {
        let row = self.rows.get_mut(&self.me)?;
        let mine = row.member.node.incarnation;
        if news.node.incarnation == mine && news.state > row.member.state {
            return Some(Change::Suspected(news.node.clone()));
        }
        None
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
