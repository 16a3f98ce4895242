//! Messages of the worker's interface.

use serde::{Deserialize, Serialize};
use turmeric_types::{
    AttemptNumber, CoreCount, Incarnation, JobKind, MemorySize, MonoTime, ResourceSet, TaskClass,
    TaskId,
};

/// What a worker does with a task attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskPhase {
    /// The task uses its resources.
    Running,
    /// The lease lapsed; the task stands still and keeps its memory.
    Suspended,
    /// The task ended by itself with success.
    Succeeded,
    /// The task ended by itself with an error.
    Failed,
    /// The task was checkpointed and stopped.
    Evicted,
}

/// What a task attempt was measured to use, some time ago.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskUsage {
    /// When it was measured, by the worker's clock.
    pub measured_at: MonoTime,
    /// Processors.
    pub cores: CoreCount,
    /// Memory.
    pub memory: MemorySize,
}

/// A task attempt as the worker sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerTask {
    /// The task.
    pub task: TaskId,
    /// The attempt that the worker holds.
    pub attempt: AttemptNumber,
    /// Number of the partition that holds the task.
    pub partition: u16,
    /// Class of the task.
    pub class: TaskClass,
    /// Resources given to the task.
    pub resources: ResourceSet,
    /// What the worker does with it.
    pub phase: TaskPhase,
    /// The worker suspends the task at this time of its clock.
    pub lease_until: MonoTime,
    /// Work done up to the last stored checkpoint, in milliseconds.
    pub checkpoint_millis: u64,
    /// Work done, in milliseconds.
    pub done_millis: u64,
    /// The newest measurement of its use, if there is one.
    #[serde(default)]
    pub usage: Option<TaskUsage>,
}

/// State of a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerStatus {
    /// Number that the VM drew when it booted; a replacement has another.
    pub instance: u32,
    /// Reading of the worker's clock when it answered.
    pub clock: MonoTime,
    /// What the VM has.
    pub capacity: ResourceSet,
    /// Highest agent incarnation that has attached.
    pub incarnation: Incarnation,
    /// Task attempts that the worker holds.
    pub tasks: Vec<WorkerTask>,
    /// Measured use of batch tasks some time ago, in thousandths of a core.
    pub used_millicores: u64,
}

/// Makes the worker obey only this and later incarnations of the agent.
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
    /// The attempt; the worker refuses one not above the last it saw.
    pub attempt: AttemptNumber,
    /// Number of the partition that holds the task.
    pub partition: u16,
    /// Class of the task.
    pub class: TaskClass,
    /// Kind of the job, if its team named one.
    #[serde(default)]
    pub kind: Option<JobKind>,
    /// The most that the task may use.
    pub resources: ResourceSet,
    /// Work of the task on an idle VM, in milliseconds.
    pub work_millis: u64,
    /// Work already done up to the checkpoint, in milliseconds.
    pub checkpoint_millis: u64,
    /// The worker refuses the start after this time of its clock.
    pub not_after: MonoTime,
    /// End of the first lease, by the worker's clock.
    pub lease_until: MonoTime,
}

/// A new end of a task's lease.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct LeaseRenewal {
    /// The task.
    pub task: TaskId,
    /// The attempt.
    pub attempt: AttemptNumber,
    /// End of the lease, by the worker's clock.
    pub lease_until: MonoTime,
}

/// Renews leases; a suspended task whose lease is renewed goes on.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RenewRequest {
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
    /// The leases to renew.
    pub renewals: Vec<LeaseRenewal>,
}

/// How a task is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StopKind {
    /// Store a checkpoint, then stop.
    Checkpoint,
    /// Stop without a checkpoint and forget the attempt.
    Discard,
    /// Forget an attempt that has ended or was evicted.
    Forget,
}

/// Stops or forgets a task attempt.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct StopRequest {
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
    /// The task.
    pub task: TaskId,
    /// The attempt.
    pub attempt: AttemptNumber,
    /// How to stop it.
    pub kind: StopKind,
}

/// Answer to a stop.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct StopAnswer {
    /// What the worker does with the attempt now; [`None`] when it holds none.
    pub phase: Option<TaskPhase>,
    /// Work done up to the stored checkpoint, in milliseconds.
    pub checkpoint_millis: u64,
}

/// Slows all batch tasks of the worker.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct ThrottleRequest {
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
    /// Share of full speed, in percent.
    pub speed_percent: u32,
}
