//! The entries: their lives, pauses, and what they know of each other.

use super::*;

/// One entry, in its present run.
pub(super) struct Node {
    pub(super) id: NodeId,
    pub(super) table: RequestTable,
    pub(super) up: bool,
    pub(super) paused: bool,
    pub(super) reclaimed: bool,
    /// What arrived while it was paused.
    held: Vec<Event>,
    pub(super) gone: HashSet<NodeId>,
    pub(super) leaving: HashSet<NodeId>,
    /// The run of each entry, as far as it knows.
    pub(super) runs: Vec<NodeId>,
}

impl Node {
    pub(super) fn new(entry: usize, incarnation: u64) -> Self {
        let id = NodeId::new(ENTRIES[entry].0, incarnation);
        let runs = ENTRIES.iter().map(|(name, _)| NodeId::new(*name, 1)).collect();
        Self {
            table: RequestTable::new(id.clone(), Limits::default()),
            id,
            up: true,
            paused: false,
            reclaimed: false,
            held: Vec::new(),
            gone: HashSet::new(),
            leaving: HashSet::new(),
            runs,
        }
    }
}

/// What one entry knows of the others.
pub(super) struct View<'a> {
    pub(super) me: usize,
    pub(super) gone: &'a HashSet<NodeId>,
    pub(super) leaving: &'a HashSet<NodeId>,
    pub(super) runs: &'a [NodeId],
}

impl ledger::MembershipView for View<'_> {
    fn is_gone(&self, node: &NodeId) -> bool {
        self.gone.contains(node)
    }

    fn is_leaving(&self, node: &NodeId) -> bool {
        self.leaving.contains(node)
    }

    fn data_centre(&self) -> kernel::Name {
        ENTRIES[self.me].1.into()
    }

    fn peers(&self) -> Vec<ledger::PeerEntry> {
        let other = |entry: usize| {
            let node = self.runs[entry].clone();
            let available = !self.gone.contains(&node) && !self.leaving.contains(&node);
            ledger::PeerEntry { node, data_centre: ENTRIES[entry].1.into(), available }
        };
        (0..ENTRIES.len()).filter(|entry| *entry != self.me).map(other).collect()
    }
}

impl World {
    /// Keeps an event for a paused entry.
    pub(super) fn hold_while_paused(&mut self, event: Event) -> Option<Event> {
        let at = match &event {
            Event::Message { to, .. }
            | Event::Answer { to, .. }
            | Event::KvAnswer { to, .. }
            | Event::Piece { to, .. }
            | Event::RunEnd { to, .. }
            | Event::Stalled { to, .. } => self.index_of(to),
            Event::Timeout { at, .. } | Event::Dispatch { at, .. } => self.index_of(at),
            Event::News { to, .. } => *to,
            Event::Reclaim { entry } | Event::Drain { entry } => *entry,
            _ => return Some(event),
        };
        if self.nodes[at].paused {
            self.nodes[at].held.push(event);
            return None;
        }
        Some(event)
    }

    pub(super) fn crash(&mut self, node: &NodeId) {
        let Some(entry) = self.entry_of(node) else { return };
        self.nodes[entry].up = false;
        self.nodes[entry].paused = false;
        self.nodes[entry].held.clear();
        self.runs.values_mut().filter(|run| run.from == *node).for_each(|run| run.open = false);
        self.tell_others(entry, SUSPECT, node, News::Gone);
        self.drop_callers(entry);
    }

    pub(super) fn restart(&mut self, entry: usize) {
        let id = self.nodes[entry].id.clone();
        self.crash(&id);
        self.nodes[entry] = Node::new(entry, id.incarnation + 1);
        // An entry that is down answers no join, so the new run does not know it as one that lives.
        let down: Vec<NodeId> =
            self.nodes.iter().filter(|node| !node.up).map(|node| node.id.clone()).collect();
        self.nodes[entry].gone.extend(down);
        self.tell_others(entry, NEWS, &id, News::Gone);
    }

    pub(super) fn pause(&mut self, entry: usize) {
        let node = self.nodes[entry].id.clone();
        if !self.nodes[entry].up || self.nodes[entry].paused {
            return;
        }
        self.nodes[entry].paused = true;
        self.tell_others(entry, SUSPECT, &node, News::Gone);
        self.tell_others(entry, PAUSE + NEWS, &node, News::Back);
        self.schedule(PAUSE, Event::Wake { node });
    }

    pub(super) fn wake(&mut self, node: &NodeId) {
        let Some(entry) = self.entry_of(node) else { return };
        self.nodes[entry].paused = false;
        for event in std::mem::take(&mut self.nodes[entry].held) {
            self.process(event);
        }
    }

    /// Gives an entry its notice: it hands over, and dies when the notice ends.
    pub(super) fn reclaim(&mut self, entry: usize) {
        let node = self.nodes[entry].id.clone();
        if !self.nodes[entry].up || std::mem::replace(&mut self.nodes[entry].reclaimed, true) {
            return;
        }
        self.schedule(NOTICE, Event::Die { node: node.clone() });
        self.tell_others(entry, NEWS, &node, News::Leaving);
        if self.mutation != Some(Mutation::KeepAll) {
            self.feed(entry, Input::RefuseNew);
            self.feed(entry, Input::HandOverAll);
        }
    }

    /// Tells an entry to stop: it takes nothing new and ends when it is idle.
    pub(super) fn drain(&mut self, entry: usize) {
        let node = self.nodes[entry].id.clone();
        if !self.nodes[entry].table.refuses_new() {
            self.tell_others(entry, NEWS, &node, News::Leaving);
            self.feed(entry, Input::RefuseNew);
        }
        if self.nodes[entry].table.is_idle() || self.mutation == Some(Mutation::KeepAll) {
            // Callers read the rest before the process ends.
            self.schedule(NOTICE, Event::Die { node });
        } else {
            self.schedule(IDLE_CHECK, Event::Drain { entry });
        }
    }

    fn tell_others(&mut self, entry: usize, after: Time, about: &NodeId, news: News) {
        for to in (0..ENTRIES.len()).filter(|to| *to != entry) {
            self.schedule(after, Event::News { to, about: about.clone(), news });
        }
    }

    pub(super) fn on_news(&mut self, to: usize, about: &NodeId, news: News) {
        let subject = self.index_of(about);
        let present = self.nodes[subject].id.clone();
        let node = &mut self.nodes[to];
        if !node.up {
            return;
        }
        match news {
            News::Gone => node.gone.insert(about.clone()),
            News::Back => node.gone.remove(about),
            News::Leaving => node.leaving.insert(about.clone()),
        };
        node.runs[subject] = present;
        self.feed(to, Input::Members);
    }
}
