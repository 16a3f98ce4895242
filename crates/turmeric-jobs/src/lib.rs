//! Scheduling of jobs, which consist of steps of tasks.
//!
//! The crate is pure: it takes events and times, and returns decisions. The leading entry
//! holds a [`JobScheduler`], each agent an [`AttemptTable`].

mod admission;
mod attempts;
mod cancellations;
mod crashes;
mod election;
mod estimates;
mod feed_limits;
mod forgotten;
mod headroom;
mod lease;
mod lease_promise;
mod names;
mod order;
mod pace;
mod placement;
mod policy;
mod progress;
mod progress_rows;
mod report;
mod scheduler;
mod shedding;
mod spec;
mod start_legs;
mod store_bounds;
mod store_health;

pub use admission::{AdmissionDecision, QueueDelay, WorkDelay, admit};
pub use attempts::{
    AttemptTable, HeartbeatVerdict, PollFailure, StartAnswer, StartPlan, StopAnswer, TaskLoad,
    WorkerCommand, WorkerLists,
};
pub use cancellations::CancelBudget;
pub use crashes::{
    ATTRIBUTION_WINDOW, CrashEvidence, CrashRecord, CrashVerdict, SHARED_WINDOW, StartTime,
    weigh_crash,
};
pub use election::{
    EPOCH_LIMIT, ElectionMonitor, ElectionStep, LeaderObservation, TakeoverCause, next_epoch,
};
pub use estimates::{EstimateTable, StepEstimate};
pub use feed_limits::FeedLimits;
pub use forgotten::ForgottenJobs;
pub use headroom::{HeadroomSample, HeadroomTable, StepMeasurement};
pub use lease::{ClockReading, LeaseGrant, LeaseLimits, WorkerLease};
pub use lease_promise::LeasePromise;
pub use names::{AttemptKey, AttemptNumber, EndpointIncarnation, JobCode, NameError, TaskName};
pub use order::{JobRank, JobUrgency, RankTier, RemainingWork, judge_urgency, rank_job};
pub use pace::{BestEffortNeighbour, InterferenceTable, ServingNeighbour, choose_paces};
pub use placement::{
    ExclusionCause, PlacementFailures, PlacementRequest, ServingHeadroom, VmCapacity, choose_vm,
};
pub use policy::{
    AdmissionAccount, ConsolidationPolicy, JobOrder, LongRunningOrder, LongRunningRestart,
    LongRunningStart, PacingPolicy, PolicyError, PolicySet, PreemptionPolicy, StarvationPolicy,
};
pub use progress::{AttemptLocation, JobPhase, JobState, TaskState};
pub use progress_rows::ProgressPart;
pub use report::{
    AttemptEnd, AttemptStatus, EndKind, EndpointInfo, IncarnationCrash, VmReport, read_key,
    write_key,
};
pub use scheduler::{CommitPlan, JobScheduler, LeaderTimeouts, RowOwner};
pub use scheduler::{
    EvictionCause, ExclusionCounts, ExclusionSummary, JobEvent, LeaseOrigin, LossCause,
    RestartStage, TaskAbsence, WaitingStep,
};
pub use shedding::{decide_admission, earliest_end};
pub use spec::{CORE_LIMIT, JobSpec, QueuePolicy, RepeatPlan, SpecError, StepSpec, TASK_LIMIT};
pub use start_legs::{StartLeg, StartTracker};
pub use store_bounds::StoreBounds;
pub use store_health::{DeliveryOutcome, StoreHealth};
