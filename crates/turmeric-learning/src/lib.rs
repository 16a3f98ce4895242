//! Learns the resource usage and the interference of kinds of jobs.
//!
//! Allocations follow from the peak usage that workers report with a delay,
//! interference with services from the latency of requests before and after a
//! task starts. The code does no I/O and reads no clock: it takes samples and
//! the time and returns estimates and decisions.

mod budget;
mod interference;
mod meter;
mod regression;
mod sizing;
mod table;
mod throttle;
mod usage;

pub use budget::InterferenceBudget;
pub use interference::{
    InterferenceEstimate, InterferencePair, InterferenceRate, InterferenceSample, LoadLevel,
};
pub use meter::{MeterContext, MeterKind, MeterTasks, ServiceMeter};
pub use sizing::SizingPolicy;
pub use table::{LearnedTable, LearnedWorkload, WorkloadKey};
pub use throttle::{ThrottleContext, ThrottleController, ThrottleStep};
pub use usage::{UsageHistory, UsageSample};
