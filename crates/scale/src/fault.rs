//! Faults of the network.

use member::{Body, Message};

/// What a message is for; a fault names the step that it hits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// A direct probe.
    Probe,
    /// The answer to it.
    Ack,
    /// The order to probe on behalf of another entry.
    ProbeFor,
    /// The report that the entry did not answer.
    Nack,
    /// The way in.
    Join,
    /// A comparison of digests.
    Digest,
    /// The answer to it.
    Differences,
    /// Rows that the other side lacks.
    Push,
}

impl Phase {
    /// Every step of the protocol.
    pub const ALL: [Self; 8] = [
        Self::Probe,
        Self::Ack,
        Self::ProbeFor,
        Self::Nack,
        Self::Join,
        Self::Digest,
        Self::Differences,
        Self::Push,
    ];

    /// Tells what a message is for.
    pub fn of(message: &Message) -> Self {
        match message.body {
            Body::Probe => Self::Probe,
            Body::Ack => Self::Ack,
            Body::ProbeFor(_) => Self::ProbeFor,
            Body::Nack => Self::Nack,
            Body::Join => Self::Join,
            Body::Digest(_) => Self::Digest,
            Body::Differences(_) => Self::Differences,
            Body::Push => Self::Push,
        }
    }
}

/// What happens to a message.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Effect {
    /// It is lost.
    Lost,
    /// It comes after the sender has given up.
    Late,
    /// It comes twice.
    Twice,
}

impl Effect {
    /// Every effect.
    pub const ALL: [Self; 3] = [Self::Lost, Self::Late, Self::Twice];
}

/// A fault that lasts until it is removed.
#[derive(Clone, Debug)]
pub enum Fault {
    /// Each message is lost with this probability.
    Loss(f64),
    /// Messages from one entry to another are lost.
    OneWay(usize, usize),
    /// No message passes between a region and the others.
    RegionCut(usize),
    /// Messages of one step to and from an entry suffer an effect.
    Step(usize, Phase, Effect),
    /// Each message of an entry takes this much longer, in milliseconds.
    Slow(usize, u64),
    /// Refutation numbers do not travel, as if the protocol had none.
    NoRefutation,
}
