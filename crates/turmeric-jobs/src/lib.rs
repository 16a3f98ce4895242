//! Jobs of steps of tasks: who may start what, where and when.
//!
//! Pure decisions: events and times come in, decisions go out. The leading
//! entry holds a [`JobScheduler`], each agent a [`AttemptTable`].

mod admission;
mod estimates;
mod headroom;
mod lease;
mod names;
mod order;
mod pace;
mod placement;
mod progress;
mod report;
mod runs;
mod scheduler;
mod spec;
mod store_path;
mod succession;

pub use admission::{AdmissionDecision, QueueDelay, WorkDelay, admit};
pub use estimates::{EstimateTable, StepEstimate};
pub use headroom::{HeadroomSample, HeadroomTable, StepReading};
pub use lease::{ClockReading, LeaseGrant, LeaseLimits};
pub use names::{AttemptKey, AttemptNumber, EndpointIncarnation, JobCode, NameError, TaskName};
pub use order::{JobRank, JobUrgency, RankTier, RemainingWork, judge_urgency, rank_job};
pub use pace::{BestEffortNeighbour, InterferenceTable, ServingNeighbour, choose_paces};
pub use placement::{PlacementFailures, PlacementRequest, ServingHeadroom, VmCapacity, choose_vm};
pub use progress::{AttemptLocation, JobPhase, JobState, TaskState};
pub use report::{AttemptEnd, AttemptStatus, EndKind, EndpointInfo, VmReport, read_key, write_key};
pub use runs::{AttemptTable, StartAnswer, StartPlan, StopResponse, WorkerCommand, WorkerLists};
pub use scheduler::{CommitPlan, JobScheduler, LeaderTerms};
pub use scheduler::{EvictionCause, JobEvent, LossCause};
pub use spec::{JobSpec, QueuePolicy, RepeatPlan, SpecError, StepSpec, TASK_LIMIT};
pub use store_path::{DeliveryOutcome, StoreHealth};
pub use succession::{ElectionMonitor, ElectionStep, LeaderObservation, TakeoverCause};
