//! News that still have to be passed on.

use kernel::Name;
use std::collections::BTreeMap;

/// What a piece of news is about; newer news on the same topic replace older ones.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Topic {
    Member(Name),
    Server(Name),
}

/// Room that a row on a member takes in a message.
pub(crate) const MEMBER_ROOM: usize = 3;
/// Room that a row on a backend server takes in a message.
const SERVER_ROOM: usize = 1;

impl Topic {
    fn room(&self) -> usize {
        match self {
            Self::Member(_) => MEMBER_ROOM,
            Self::Server(_) => SERVER_ROOM,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Sending {
    /// Two for each sending, one for each time that another entry knew it already.
    weight: u32,
    number: u64,
}

/// Topics that still have to be passed on, each a limited number of times.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    topics: BTreeMap<Topic, Sending>,
    last: u64,
}

impl Queue {
    /// Passes a topic on from now, counting from zero.
    pub(crate) fn push(&mut self, topic: Topic) {
        self.last += 1;
        self.topics.insert(topic, Sending { weight: 0, number: self.last });
    }

    /// Takes the topics that fit into the room: least often sent first, then newest first.
    pub(crate) fn take(&mut self, mut room: usize, sends: u32) -> Vec<Topic> {
        let mut order: Vec<(u32, u64, &Topic)> =
            self.topics.iter().map(|(topic, s)| (s.weight, u64::MAX - s.number, topic)).collect();
        order.sort_unstable();
        let mut taken = Vec::new();
        for (_, _, topic) in order {
            if topic.room() > room {
                break;
            }
            room -= topic.room();
            taken.push(topic.clone());
        }
        for topic in &taken {
            self.count(topic, sends);
        }
        taken
    }

    /// Counts one sending, and drops the topic after the last one.
    fn count(&mut self, topic: &Topic, sends: u32) {
        let Some(sending) = self.topics.get_mut(topic) else { return };
        sending.weight += 2;
        if sending.weight >= 2 * sends {
            self.topics.remove(topic);
        }
    }

    /// Notes that another entry knows the topic already, which counts as half a sending.
    pub(crate) fn heard(&mut self, topic: &Topic) {
        if let Some(sending) = self.topics.get_mut(topic) {
            sending.weight += 1;
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.topics.len()
    }
}
