//! Gossip membership protocol between entries, as a state machine without I/O.
//!
//! The protocol follows SWIM. Each entry probes one other entry at a time, in shuffled order. An
//! entry that replies to neither a direct nor an indirect probe becomes suspect, and is declared
//! dead only if it does not refute the suspicion in time. Updates are piggybacked on probes and
//! replies; periodic anti-entropy by digests repairs updates that were lost.

mod digest;
mod gossip;
mod machine;
mod queue;
mod random;
mod servers;
mod settings;
mod table;

pub use gossip::{Body, Member, MemberState, Message, Update};
pub use machine::{Action, Event, Machine};
pub use settings::Settings;
pub use table::{Change, Table};
