//! What a worker really did, for checks of invariants.

use serde::Serialize;
use turmeric_types::{AttemptNumber, TaskId, WallTime};

/// A time in which a task attempt used its resources.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct RunInterval {
    pub(crate) task: TaskId,
    pub(crate) attempt: AttemptNumber,
    /// Work that was already done when the interval began, in milliseconds.
    pub(crate) resumed_from_millis: u64,
    pub(crate) started_at: WallTime,
    /// Absent while the interval lasts.
    pub(crate) ended_at: Option<WallTime>,
    /// Whether the interval begins with a start, not with a renewed lease.
    pub(crate) is_start: bool,
}

/// Everything that a worker did since it started.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct WorkerRecord {
    pub(crate) worker: String,
    pub(crate) intervals: Vec<RunInterval>,
    /// Times at which running tasks held more than the VM has.
    pub(crate) overcommitted: u64,
    /// Starts refused because they came too late or were old.
    pub(crate) refused_starts: u64,
    pub(crate) succeeded: u64,
    pub(crate) failed: u64,
    pub(crate) evicted: u64,
    pub(crate) suspended: u64,
}

impl WorkerRecord {
    pub(crate) fn begin(
        &mut self,
        task: TaskId,
        attempt: AttemptNumber,
        resumed_from_millis: u64,
        now: WallTime,
        is_start: bool,
    ) {
        self.intervals.push(RunInterval {
            task,
            attempt,
            resumed_from_millis,
            started_at: now,
            ended_at: None,
            is_start,
        });
    }

    pub(crate) fn end(&mut self, task: TaskId, attempt: AttemptNumber, now: WallTime) {
        let open = self.intervals.iter_mut().rev().find(|interval| {
            interval.task == task && interval.attempt == attempt && interval.ended_at.is_none()
        });
        if let Some(interval) = open {
            interval.ended_at = Some(now);
        }
    }
}
