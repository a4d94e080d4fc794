//! Pure state machine for membership between entries.
//!
//! Each entry probes one other entry at a time, in random order. An entry that does not answer is
//! suspected first and counts as dead only when it has not refuted the suspicion in time. News
//! travel on the probes and their answers.

mod gossip;
mod table;

pub use gossip::{Gossip, Member, MemberState};
pub use table::{Change, Settings, Table};
