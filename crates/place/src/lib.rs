//! Placement: which entry may send orders to the backend servers of a data centre, which orders it
//! sends, how many servers it orders, and which VMs run. The crate does no I/O.

mod fleet;
mod lease;
mod order;
mod repair;
mod scaler;

pub use fleet::{Demand, Offer, Plan, plan};
pub use lease::{Fencing, Holder, KeyOwner, LeaseAction, LeaseEvent, LeaseTimes, Permit};
pub use order::{Order, OrderReason, OrderTracker, ServerState};
pub use repair::{FleetState, RepairAction, Slot, StartedVm, StoredSlot, repair};
pub use scaler::{Observed, Offers, Placement, ScaleOrder, Scaler, ScalerSettings};
