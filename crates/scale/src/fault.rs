//! Network faults.

use member::{Body, Message};

/// Protocol step that a message belongs to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// A direct probe.
    Probe,
    /// Positive reply.
    Ack,
    /// A request to probe on behalf of another entry.
    ProbeFor,
    /// Negative reply to `ProbeFor`: the target did not reply.
    Nack,
    /// A request to join.
    Join,
    /// A sync request with a digest.
    Digest,
    /// The reply to a digest.
    Differences,
    /// Rows that the receiver may be missing.
    Push,
}

impl Phase {
    /// All steps of the protocol.
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

    /// Returns the step that a message belongs to.
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

/// Effect of a fault on a message.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Effect {
    /// The message is lost.
    Lost,
    /// The message arrives after the timeout of the sender.
    Late,
    /// The message arrives twice.
    Twice,
}

impl Effect {
    /// All effects.
    pub const ALL: [Self; 3] = [Self::Lost, Self::Late, Self::Twice];
}

/// A fault that is active until it is removed.
#[derive(Clone, Debug)]
pub enum Fault {
    /// Each message is lost with this probability.
    Loss(f64),
    /// Messages from one entry to another are lost.
    OneWay(usize, usize),
    /// All messages between a region and the other regions are lost.
    RegionCut(usize),
    /// Messages of one step to and from an entry are subject to an effect.
    Step(usize, Phase, Effect),
    /// Each message to and from an entry takes this much longer, in milliseconds.
    Slow(usize, u64),
    /// Refutation numbers are zeroed in transit, as if the protocol had none.
    NoRefutation,
}
