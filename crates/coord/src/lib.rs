//! What entries decide together: freshness, shares of limits, usage and membership; pure.
//!
//! Times are milliseconds on a clock that also counts while the VM is suspended, so that a belief
//! is as old as it is.

mod quota;
mod retry;
mod roster;
mod sight;
mod usage;

pub use quota::{Charge, QuotaSettings, QuotaShares, TokenBucket, Transfer};
pub use retry::{RetryShare, RetryTerms};
pub use roster::{Entry, Roster};
pub use sight::{Confirmed, Sight};
pub use usage::{Counts, Tallies, Usage, Window};
