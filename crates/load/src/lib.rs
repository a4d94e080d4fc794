//! Measures routing policies in virtual time.
//!
//! The choice of a server is made by the code that entries run (`route`); arrivals, engines and
//! faults are small models with a fixed seed, so that a run gives the same figures each time.

mod arrival;
mod bound;
mod drive;
mod earliest;
mod engine;
mod outcome;
mod picker;
mod plot;
mod report;
mod run;
mod settings;

pub use arrival::{Arrival, arrivals};
pub use bound::{Bound, bound};
pub use drive::{DriveSettings, Driven, drive};
pub use engine::{Engine, Job, Progress};
pub use outcome::{End, Outcome, Summary, Total};
pub use picker::{Picker, PolicyName};
pub use plot::plot;
pub use report::{Row, table};
pub use run::{Protection, Scenario, run};
pub use settings::{
    Burst, EngineSettings, Fault, FaultKind, Faults, Organisation, RequestKind, ServerGroup,
    Workload,
};
