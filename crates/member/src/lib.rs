//! Pure state machine for membership between entries.
//!
//! Each entry probes one other entry at a time, in shuffled order. An entry that answers neither
//! directly nor to others is suspected, and counts as dead only when it has not refuted the
//! suspicion in time. News travel on the probes and their answers; a comparison of digests at a low
//! rate finds what was missed.

mod digest;
mod draw;
mod gossip;
mod machine;
mod queue;
mod servers;
mod settings;
mod table;

pub use gossip::{Body, Member, MemberState, Message, Update};
pub use machine::{Action, Event, Machine};
pub use settings::Settings;
pub use table::{Change, Table};
