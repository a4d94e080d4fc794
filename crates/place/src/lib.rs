//! Placement: who may give orders to the backend servers of a data centre, which, and what VMs to
//! hold; pure.

mod fleet;
mod lease;
mod order;
mod repair;
mod spread;

pub use fleet::{Demand, Offer, Plan, plan};
pub use lease::{Event, Fencing, Found, Holder, Next, Permit, Times};
pub use order::{Order, Orders, Reason, Wanted};
pub use repair::{Action, Fleet, Running, Slot, StoredSlot, repair};
pub use spread::{Offers, Place, Seen, Spread, SpreadOrder, SpreadSettings};
