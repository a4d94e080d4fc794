//! Updates that are still to be disseminated.

use kernel::Name;
use std::collections::BTreeMap;

/// Subject of an update. A newer update replaces an older one on the same topic.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Topic {
    Member(Name),
    Server(Name),
}

/// Size of a member row in a message, in units of a backend server row.
pub(crate) const MEMBER_SIZE: usize = 3;
/// Size of a backend server row in a message.
const SERVER_SIZE: usize = 1;

impl Topic {
    fn size(&self) -> usize {
        match self {
            Self::Member(_) => MEMBER_SIZE,
            Self::Server(_) => SERVER_SIZE,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Transmissions {
    /// Two per send, plus one each time another entry reported the same state.
    half_sends: u32,
    /// Order in which topics were queued.
    sequence: u64,
}

/// Topics that are still to be sent, each a limited number of times.
#[derive(Clone, Debug, Default)]
pub(crate) struct UpdateQueue {
    topics: BTreeMap<Topic, Transmissions>,
    last_sequence: u64,
}

impl UpdateQueue {
    /// Queues a topic, or resets its send count.
    pub(crate) fn push(&mut self, topic: Topic) {
        self.last_sequence += 1;
        self.topics.insert(topic, Transmissions { half_sends: 0, sequence: self.last_sequence });
    }

    /// Returns the topics that fit into `capacity` (in sizes of a backend server row), least often
    /// sent first, then newest first, and counts a send for each.
    pub(crate) fn take(&mut self, mut capacity: usize, max_sends: u32) -> Vec<Topic> {
        let mut order: Vec<(u32, u64, &Topic)> = self
            .topics
            .iter()
            .map(|(topic, sent)| (sent.half_sends, u64::MAX - sent.sequence, topic))
            .collect();
        order.sort_unstable();
        let mut taken = Vec::new();
        for (_, _, topic) in order {
            if topic.size() > capacity {
                break;
            }
            capacity -= topic.size();
            taken.push(topic.clone());
        }
        for topic in &taken {
            self.record_send(topic, max_sends);
        }
        taken
    }

    /// Counts one send, and removes the topic after `max_sends`.
    fn record_send(&mut self, topic: &Topic, max_sends: u32) {
        let Some(transmissions) = self.topics.get_mut(topic) else { return };
        transmissions.half_sends += 2;
        if transmissions.half_sends >= 2 * max_sends {
            self.topics.remove(topic);
        }
    }

    /// Records that another entry already knows the topic, which counts as half a send.
    pub(crate) fn record_known(&mut self, topic: &Topic) {
        if let Some(transmissions) = self.topics.get_mut(topic) {
            transmissions.half_sends += 1;
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.topics.len()
    }
}
