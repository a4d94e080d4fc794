//! News that still have to be passed on.

use kernel::Name;
use std::collections::BTreeMap;

/// What a piece of news is about; newer news on the same topic replace older ones.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Topic {
    Member(Name),
    Server(Name),
}

#[derive(Clone, Copy, Debug)]
struct Sending {
    sent: u32,
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
        self.topics.insert(topic, Sending { sent: 0, number: self.last });
    }

    /// Takes the topics for one message: least often sent first, then newest first.
    pub(crate) fn take(&mut self, count: usize, sends: u32) -> Vec<Topic> {
        let mut order: Vec<(Sending, Topic)> =
            self.topics.iter().map(|(topic, sending)| (*sending, topic.clone())).collect();
        order.sort_by_key(|(sending, _)| (sending.sent, u64::MAX - sending.number));
        order.truncate(count);
        for (_, topic) in &order {
            let sending = self.topics.get_mut(topic).map(|sending| {
                sending.sent += 1;
                sending.sent
            });
            if sending.is_some_and(|sent| sent >= sends) {
                self.topics.remove(topic);
            }
        }
        order.into_iter().map(|(_, topic)| topic).collect()
    }

    /// Notes that another entry knows the topic already, which counts as having sent it.
    pub(crate) fn heard(&mut self, topic: &Topic) {
        if let Some(sending) = self.topics.get_mut(topic) {
            sending.sent += 1;
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.topics.len()
    }
}
