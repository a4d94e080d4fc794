//! State shared by entries: rules freshness, quota and retry shares, limits of servers, quarantine of
//! requests and prompt parts, origins of streams, usage and membership; and what the clients of an entry may make it
//! hold.
//!
//! The crate does no I/O and reads no clock. Times are milliseconds on a clock that keeps running
//! while the VM is suspended, unless their name says otherwise. With a clock that stops, an entry
//! would still consider its rules fresh after a suspension.

mod brittle;
mod client_account;
mod client_settings;
mod clients;
mod copy_age;
mod fingerprint;
mod freshness;
mod missing_histories;
mod origin;
mod quarantine;
mod quarantine_news;
mod quota;
mod quota_wait;
mod readers;
mod rendezvous;
mod retry;
mod roster;
mod server_limit;
mod server_paths;
mod store_health;
mod usage;
mod usage_step;
mod version_history;

pub use brittle::{BrittleNews, BrittleServers, BrittleSettings, ServerRoom};
pub use client_account::ClientCharge;
pub use client_settings::{CONNECTION_BYTES, ClientSettings, ListenerShare, Listeners};
pub use clients::{
    ClientUse, Clients, ConnectionId, Content, LARGE_HEAD_BYTES, REQUEST_BYTES, Room,
};
pub use copy_age::{ChangeSource, CopyAge};
pub use fingerprint::{is_request_mark, part_mark, request_mark};
pub use freshness::{Confirmation, Freshness};
pub use missing_histories::{MissingHistories, MissingHistoryStep};
pub use origin::StreamOrigins;
pub use quarantine::{Quarantine, QuarantineChange, QuarantineCheck, QuarantineSettings, SendId};
pub use quarantine_news::{CrashNews, HoldNews, QuarantineNews, ServerRun, SuspectNews};
pub use quota::{Charge, PoolRole, QuotaSettings, QuotaShares, TokenBucket, Transfer, quota_pools};
pub use quota_wait::{QuotaStep, Shortage, is_lasting_shortage};
pub use readers::readers;
pub use retry::{RetryBudget, RetrySettings, RetryStatus};
pub use roster::{Entry, Roster};
pub use server_limit::{ServerLimitNews, ServerLimitSettings, ServerLimits};
pub use server_paths::{Path, PathChange, PathSettings, ServerPaths};
pub use store_health::{StoreChange, StoreHealth};
pub use usage::{Counts, UsageCounter, UsageReports, Window};
pub use usage_step::{CLOCK_TOLERANCE_MS, DueWindow, ReportStep, Restore, next_report_step};
pub use version_history::{MIXED_VERSIONS_MS, VersionHistory};
