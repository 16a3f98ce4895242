//! A task attempt that an agent holds.

use turmeric_learning::{InterferenceRate, MeterKind};
use turmeric_schema::v1;
use turmeric_types::{AttemptNumber, JobKind, MonoTime, PartitionId, ResourceSet, TaskClass};
use turmeric_worker::StopKind;

use crate::AttemptMeasurement;

/// What the agent is doing with an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HeldState {
    /// Batch tasks are being evicted for it; nothing is reserved yet.
    AwaitingRoom,
    /// Resources are reserved; the start waits for a permit.
    AwaitingPermit,
    /// The worker was asked to start it, not after a time of its clock.
    Starting {
        not_after: MonoTime,
        /// The call has returned without saying whether it took effect.
        is_unanswered: bool,
    },
    /// The worker holds it, running or suspended.
    Held,
    /// The worker was asked to stop it.
    Stopping(StopKind),
    /// It holds no resources; the entry has not acknowledged the report.
    Over,
}

/// A task attempt that an agent holds.
#[derive(Clone, Debug)]
pub(crate) struct HeldTask {
    pub(crate) attempt: AttemptNumber,
    pub(crate) partition: PartitionId,
    pub(crate) class: TaskClass,
    /// Kind of the job; not known of tasks that an earlier agent started.
    pub(crate) kind: Option<JobKind>,
    pub(crate) resources: ResourceSet,
    /// How often the task was evicted before this attempt.
    pub(crate) evictions: u32,
    pub(crate) state: HeldState,
    /// What to start, as long as it has not started.
    pub(crate) start: Option<v1::StartTask>,
    /// The attempt was cancelled while it was starting.
    pub(crate) is_cancelled: bool,
    pub(crate) lease_until: MonoTime,
    /// When the order arrived, by the worker's clock.
    pub(crate) ordered_at: MonoTime,
    /// When the worker began to hold it, by the worker's clock.
    pub(crate) held_since: MonoTime,
    /// Number of the change that made it held.
    pub(crate) changed_at: u64,
    /// Expected harm to the service beside it.
    pub(crate) interference_rate: InterferenceRate,
    /// What was seen of it so far.
    pub(crate) observed: AttemptMeasurement,
}

impl HeldTask {
    /// Returns the kind under which harm of the task is measured.
    pub(crate) fn meter_kind(&self) -> MeterKind {
        Some((self.partition, self.kind.clone()?))
    }
}
