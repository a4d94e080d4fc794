//! Service registry, common types, result codes, logging and metrics.
//!
//! All other crates depend on this one. A process creates one [`Kernel`] and registers its services
//! by name; services look each other up in it.

mod descriptors;
mod error;
mod log;
mod metrics;
mod name;
mod registry;
mod time;

pub use descriptors::descriptor_limit;
pub use error::{Code, Failure, Outcome};
pub use log::{LogGuard, logger, logger_to};
pub use metrics::Metrics;
pub use name::{Key, Name, NodeId};
pub use registry::{Kernel, StopSignal};
pub use time::{Clock, Millis, boot_ms};

/// Types that most modules use.
pub mod prelude {
    pub use crate::{Clock, Code, Failure, Kernel, Key, Millis, Name, NodeId, Outcome};
    pub use slog::{Logger, debug, error, info, o, warn};
    pub use std::collections::{BTreeMap, HashMap, HashSet};
    pub use std::sync::Arc;
    pub use std::time::Duration;
}
