//! Identifiers, resource sizes, times and input findings shared by all other crates.
//!
//! Nothing in this crate reads a clock, a socket or the environment.

mod findings;
mod hash;
mod histogram;
mod ids;
mod key;
mod numbers;
mod outcome;
mod partition;
mod random;
mod resources;
mod task;
mod time;

pub use findings::{Finding, FindingList};
pub use hash::stable_hash;
pub use histogram::LatencyHistogram;
pub use ids::{
    AgentId, CallerName, EntryId, IdError, JobId, JobKind, RequestId, ServiceName, TaskId,
    TeamName, WorkerId, ZoneName,
};
pub use key::{IdempotencyKey, KeyError};
pub use numbers::{AttemptNumber, Incarnation, OwnerEpoch, SettingsVersion};
pub use outcome::{RefusalProof, RequestOutcome};
pub use partition::{PARTITION_COUNT, PartitionId};
pub use random::SplitMixRandom;
pub use resources::{AcceleratorCount, CoreCount, MemorySize, ResourceSet, SizeError};
pub use task::{TaskClass, TaskSpec};
pub use time::{HybridClock, HybridTime, MonoTime, WallTime};
