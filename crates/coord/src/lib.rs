//! What entries decide together: freshness, shares of limits, usage and membership; pure.
//!
//! Times are milliseconds on a clock that also counts while the VM is suspended, so that a belief
//! is as old as it is.

mod freshness;
mod quota;
mod retry;
mod roster;
mod usage;

pub use freshness::{Confirmation, Freshness};
pub use quota::{Charge, QuotaSettings, QuotaShares, TokenBucket, Transfer};
pub use retry::{RetryBudget, RetrySettings};
pub use roster::{Entry, Roster};
pub use usage::{Counts, UsageCounter, UsageReports, Window};
