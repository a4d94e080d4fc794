//! Pure state machines for the life of a request.
//!
//! Every request has a *home*: an owner that runs it and a witness, an entry in another data
//! centre, that holds a copy. [`Owner`] and [`Witness`] decide what each of them does next; they
//! hold no socket, clock or task, so that every fault can be put at every step. [`RequestTable`] holds
//! every request of one entry and decides where messages go.
//!
//! A request that may not be repeated is dispatched only by the holder of the dispatch right:
//!
//! - the owner, once the witness granted it; a witness that granted never takes over; or
//! - whoever won the claim, a create-if-absent in the key-value service, which either side needs
//!   when the other is silent; while its own claim is undecided a witness grants nothing.

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
pub use owner::{Owner, OwnerEvent, OwnerNext, OwnerState};
pub use table::{
    Action, AnswerPart, Call, CallKind, ClaimResult, Cursor, Holder, Input, Limits, MembershipView,
    PeerEntry, RequestTable, Response, Ticket, hand_over_candidates,
};
pub use witness::{Witness, WitnessEvent, WitnessNext, WitnessState};
