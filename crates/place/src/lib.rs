//! Placement: who may give orders to the backend servers of a data centre, and which; pure.

mod lease;
mod order;

pub use lease::{Event, Fencing, Found, Holder, Next, Permit, Times};
pub use order::{Order, Orders, Reason, Wanted};
