//! A task attempt that an agent holds.

use turmeric_learning::{InterferenceRate, MeterKind};
use turmeric_schema::v1;
use turmeric_types::{AttemptNumber, JobKind, MonoTime, PartitionId, ResourceSet, TaskClass};
use turmeric_worker::StopKind;

use crate::AttemptMeasurement;

/// Stage of an attempt that an agent holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HeldState {
    /// It waits for batch tasks to be evicted; nothing is reserved yet.
    AwaitingCapacity,
    /// Resources are reserved; the start waits for a permit from the entry.
    AwaitingPermit,
    /// The worker was asked to start it.
    Starting {
        /// Deadline of the start, by the worker's clock.
        not_after: MonoTime,
        /// The start call failed without telling whether it took effect.
        is_outcome_unknown: bool,
    },
    /// The worker holds it, running or suspended.
    Held,
    /// The worker was asked to stop it.
    Stopping(StopKind),
    /// It has released its resources, but the entry has not acknowledged the
    /// report of its end.
    Terminated,
}

/// A task attempt that an agent holds.
#[derive(Clone, Debug)]
pub(crate) struct HeldTask {
    pub(crate) attempt: AttemptNumber,
    pub(crate) partition: PartitionId,
    pub(crate) class: TaskClass,
    /// Kind of the job; unknown for tasks that an earlier incarnation of the
    /// agent started.
    pub(crate) kind: Option<JobKind>,
    pub(crate) resources: ResourceSet,
    /// How often the task was evicted before this attempt.
    pub(crate) evictions: u32,
    pub(crate) state: HeldState,
    /// The start order, until the attempt has started.
    pub(crate) start: Option<v1::StartTask>,
    /// The attempt was cancelled while it was starting.
    pub(crate) is_cancelled: bool,
    /// When the lease expires, by the worker's clock.
    pub(crate) lease_until: MonoTime,
    /// When the order arrived, by the worker's clock.
    pub(crate) ordered_at: MonoTime,
    /// When the worker started to hold it, by the worker's clock.
    pub(crate) held_since: MonoTime,
    /// Value of `AgentTasks::latest_held_version` when the worker started to hold it.
    pub(crate) held_version: u64,
    /// Expected interference with the service beside it.
    pub(crate) interference_rate: InterferenceRate,
    /// Usage and interference measured so far.
    pub(crate) measurement: AttemptMeasurement,
}

impl HeldTask {
    /// Returns the kind under which the interference of the task is measured.
    pub(crate) fn meter_kind(&self) -> MeterKind {
        Some((self.partition, self.kind.clone()?))
    }
}
