//! What is learned of the kinds of jobs that teams submit.
//!
//! Sizes come from peaks of use that workers report late, harm to services
//! from requests before and after a task starts. All code here is pure: it
//! takes samples and the time and returns estimates and decisions.

mod budget;
mod harm;
mod meter;
mod regression;
mod sizing;
mod table;
mod throttle;
mod usage;

pub use budget::InterferenceBudget;
pub use harm::{
    InterferenceEstimate, InterferencePair, InterferenceRate, InterferenceSample, LoadLevel,
};
pub use meter::{MeterContext, MeterKind, MeterTasks, ServiceMeter};
pub use sizing::SizingPolicy;
pub use table::{LearnedTable, LearnedWorkload, WorkloadKey};
pub use throttle::{ThrottleContext, ThrottleController, ThrottleStep};
pub use usage::{UsageHistory, UsageSample};
