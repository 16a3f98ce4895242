//! Messages of the worker interface.

use serde::{Deserialize, Serialize};
use turmeric_types::{
    AttemptNumber, CoreCount, Incarnation, JobKind, MemorySize, MonoTime, ResourceSet, TaskClass,
    TaskId,
};

/// State of a task attempt on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskPhase {
    /// The task is running.
    Running,
    /// The lease expired; the task is paused and keeps its memory.
    Suspended,
    /// The task completed successfully.
    Succeeded,
    /// The task terminated with an error.
    Failed,
    /// The task was checkpointed and stopped.
    Evicted,
}

/// Measured resource usage of a task attempt; it may lag the present usage.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskUsage {
    /// Time of the measurement on the worker's clock.
    pub measured_at: MonoTime,
    /// Processor usage.
    pub cores: CoreCount,
    /// Memory usage.
    pub memory: MemorySize,
}

/// Status of a task attempt as reported by the worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerTask {
    /// The task.
    pub task: TaskId,
    /// Number of the attempt.
    pub attempt: AttemptNumber,
    /// Number of the partition that the task belongs to.
    pub partition: u16,
    /// Class of the task.
    pub class: TaskClass,
    /// Resources allocated to the task.
    pub resources: ResourceSet,
    /// Current state of the attempt.
    pub phase: TaskPhase,
    /// End of the lease on the worker's clock; the worker then suspends the task.
    pub lease_until: MonoTime,
    /// Work completed at the last stored checkpoint, in milliseconds.
    pub checkpoint_millis: u64,
    /// Work completed, in milliseconds.
    pub done_millis: u64,
    /// Latest usage measurement, if there is one.
    #[serde(default)]
    pub usage: Option<TaskUsage>,
}

/// Status of a worker and its task attempts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerStatus {
    /// Random number drawn when the VM booted; a replacement VM has a different one.
    pub instance: u32,
    /// Time on the worker's clock when it sent this status.
    pub clock: MonoTime,
    /// Total resources of the VM.
    pub capacity: ResourceSet,
    /// Latest agent incarnation that has attached.
    pub incarnation: Incarnation,
    /// Task attempts that the worker keeps track of.
    pub tasks: Vec<WorkerTask>,
    /// Measured processor usage of batch tasks, in thousandths of a core; it may
    /// lag the present usage.
    pub used_millicores: u64,
}

/// Attaches an incarnation of the agent; the worker then refuses earlier ones.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct AttachRequest {
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
}

/// Starts a task attempt.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StartRequest {
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
    /// The task.
    pub task: TaskId,
    /// Number of the attempt; the worker refuses a start unless the number is
    /// higher than the last one that it has seen.
    pub attempt: AttemptNumber,
    /// Number of the partition that the task belongs to.
    pub partition: u16,
    /// Class of the task.
    pub class: TaskClass,
    /// Kind of the job, if its team specified one.
    #[serde(default)]
    pub kind: Option<JobKind>,
    /// Resources that the task may use at most.
    pub resources: ResourceSet,
    /// Total work of the task, as its duration on an idle VM in milliseconds.
    pub work_millis: u64,
    /// Work already completed at the checkpoint, in milliseconds.
    pub checkpoint_millis: u64,
    /// Time on the worker's clock after which it refuses the start.
    pub not_after: MonoTime,
    /// End of the first lease on the worker's clock.
    pub lease_until: MonoTime,
}

/// Renewed lease of one task attempt.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct LeaseRenewal {
    /// The task.
    pub task: TaskId,
    /// Number of the attempt.
    pub attempt: AttemptNumber,
    /// New end of the lease on the worker's clock.
    pub lease_until: MonoTime,
}

/// Renews leases; a suspended task resumes when its lease is renewed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RenewRequest {
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
    /// The leases to renew.
    pub renewals: Vec<LeaseRenewal>,
}

/// Way in which a task attempt is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StopKind {
    /// Stores a checkpoint, then stops.
    Checkpoint,
    /// Stops without a checkpoint and forgets the attempt.
    Discard,
    /// Forgets an attempt that has terminated or was evicted.
    Forget,
}

/// Stops or forgets a task attempt.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct StopRequest {
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
    /// The task.
    pub task: TaskId,
    /// Number of the attempt.
    pub attempt: AttemptNumber,
    /// How to stop the attempt.
    pub kind: StopKind,
}

/// Response to a [`StopRequest`].
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct StopResponse {
    /// Current state of the attempt; [`None`] if the worker does not know it.
    pub phase: Option<TaskPhase>,
    /// Work completed at the stored checkpoint, in milliseconds.
    pub checkpoint_millis: u64,
}

/// Limits the speed of all batch tasks on the worker.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct ThrottleRequest {
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
    /// Speed limit in percent of full speed.
    pub speed_percent: u32,
}
