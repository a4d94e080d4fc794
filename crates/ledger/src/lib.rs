//! Pure state machines for the life of a request.
//!
//! Every request has a *home*: an owner, the entry that runs it, and a witness, an entry that holds
//! a copy, preferably in another data centre. [`Owner`] and [`Witness`] are the state machines of
//! the two. They use no sockets, clocks or tasks, so that tests can inject every fault at every
//! step. [`RequestTable`] holds all requests of one entry and routes messages between entries.
//!
//! An entry that restarts has a new *incarnation*, which does not have the records of the old one.
//!
//! A request that must not run twice is dispatched only by the holder of the dispatch right, which
//! is one of:
//!
//! - the owner, once the witness has granted the right; a witness that granted it takes the request
//!   over only if the owner declines the request or hands it over; or
//! - the entry that won the claim, a create-if-absent in the key-value service. Either side claims
//!   when the other does not respond. While its own claim is undecided, a witness grants nothing.

mod answer;
mod claim;
mod home;
mod message;
mod owner;
mod table;
mod witness;

pub use answer::{Answer, Chunk};
pub use claim::{Claim, ClaimAction, ClaimEvent};
pub use home::Home;
pub use message::{
    AskReply, Ending, HoldReply, Message, MessageReply, RequestSpec, Right, VoidReply,
};
pub use owner::{Owner, OwnerAction, OwnerEvent, OwnerState};
pub use table::{
    Action, AnswerPart, Call, CallKind, ClaimResult, Cursor, Holder, Input, Limits, MembershipView,
    PeerEntry, RequestTable, Response, Ticket, hand_over_candidates,
};
pub use witness::{Witness, WitnessAction, WitnessEvent, WitnessState};
