//! Handling of the worker's status and of its results of starts and stops.

use turmeric_learning::{InterferenceRate, UsageSample};
use turmeric_schema::v1;
use turmeric_schema::v1::task_report::Event;
use turmeric_types::{AttemptNumber, PartitionId, TaskId};
use turmeric_worker::{StopKind, StopResponse, TaskPhase, WorkerError, WorkerStatus, WorkerTask};

use super::held::{HeldState, HeldTask};
use super::{AgentAction, AgentTasks};
use crate::AttemptMeasurement;

/// Version of the held attempts when a status call is sent.
///
/// It tells which attempts the response must list if the worker holds them.
#[derive(Clone, Copy, Debug)]
pub struct StatusVersion(u64);

impl AgentTasks {
    /// Adds an attempt that the worker held before this agent started.
    pub(super) fn adopt(&mut self, task: &WorkerTask) {
        let Some(partition) = PartitionId::new(task.partition) else {
            return;
        };
        let held = HeldTask {
            attempt: task.attempt,
            partition,
            class: task.class,
            resources: task.resources,
            evictions: 0,
            state: HeldState::Held,
            start: None,
            is_cancelled: false,
            lease_until: task.lease_until,
            kind: None,
            ordered_at: self.worker_clock,
            held_since: self.worker_clock,
            held_version: 0,
            // This incarnation of the agent does not know the rate that the entry
            // expected.
            interference_rate: InterferenceRate::assumed(task.resources.cores),
            measurement: AttemptMeasurement::default(),
        };
        self.tasks.insert(task.task, held);
        self.apply_phase(task);
    }

    /// Returns the version to pass to [`AgentTasks::apply_status`] with the
    /// response to a status call that is sent now.
    pub fn begin_status(&self) -> StatusVersion {
        StatusVersion(self.latest_held_version)
    }

    /// Applies the worker's clock and the list of attempts that it holds.
    ///
    /// Attempts that started after `version` may be missing from the status.
    /// Returns the calls to make to the worker.
    pub fn apply_status(
        &mut self,
        version: StatusVersion,
        status: &WorkerStatus,
    ) -> Vec<AgentAction> {
        self.worker_clock = self.worker_clock.max(status.clock);
        self.used_millicores = status.used_millicores;
        if status.capacity != self.ledger.capacity() {
            self.rebuild_ledger(status.capacity);
        }
        for task in &status.tasks {
            self.apply_phase(task);
        }
        self.return_missing(version, status);
        let mut actions = Vec::new();
        if status.incarnation < self.incarnation {
            actions.push(AgentAction::Attach);
        }
        self.repeat_stops(&mut actions);
        self.stop_unknown(status, &mut actions);
        actions
    }

    /// Applies the phase that the worker reports for an attempt.
    fn apply_phase(&mut self, task: &WorkerTask) {
        let Some(held) = self.tasks.get_mut(&task.task) else {
            return;
        };
        if held.attempt != task.attempt || held.state == HeldState::Terminated {
            return;
        }
        self.record_usage(task);
        match task.phase {
            TaskPhase::Running | TaskPhase::Suspended => self.record_start(task.task),
            TaskPhase::Succeeded => self.record_end(task.task, true),
            TaskPhase::Failed => self.record_end(task.task, false),
            TaskPhase::Evicted => self.record_eviction(task.task, task.checkpoint_millis),
        }
    }

    /// Records the usage of an attempt.
    ///
    /// Ignores usage measured before the attempt or before batch tasks returned
    /// to full speed, and all usage while they are throttled.
    fn record_usage(&mut self, task: &WorkerTask) {
        let (Some(usage), Some(full_speed_since)) = (task.usage, self.full_speed_since) else {
            return;
        };
        let Some(held) = self.tasks.get_mut(&task.task) else {
            return;
        };
        if usage.measured_at < held.held_since.max(full_speed_since) {
            return;
        }
        let sample = UsageSample::new(usage.cores, usage.memory);
        let earlier = held.measurement.usage.unwrap_or_default();
        held.measurement.usage = Some(sample.max(earlier));
    }

    fn record_end(&mut self, task: TaskId, succeeded: bool) {
        let measurement = self.measurement_of(task);
        let ended = v1::Ended {
            succeeded,
            usage: measurement.write_usage(),
            harm: measurement.write_interference(),
        };
        self.record_termination(task, Event::Ended(ended));
    }

    fn record_eviction(&mut self, task: TaskId, checkpoint_millis: u64) {
        let evicted = v1::Evicted {
            checkpoint_millis,
            harm: self.measurement_of(task).write_interference(),
        };
        self.record_termination(task, Event::Evicted(evicted));
    }

    fn measurement_of(&self, task: TaskId) -> AttemptMeasurement {
        let held = self.tasks.get(&task);
        held.map(|held| held.measurement.clone())
            .unwrap_or_default()
    }

    fn record_start(&mut self, task: TaskId) {
        let Some(held) = self.tasks.get_mut(&task) else {
            return;
        };
        if !matches!(held.state, HeldState::Starting { .. }) {
            return;
        }
        held.state = if held.is_cancelled {
            HeldState::Stopping(StopKind::Discard)
        } else {
            HeldState::Held
        };
        held.start = None;
        self.latest_held_version += 1;
        held.held_version = self.latest_held_version;
        held.held_since = self.worker_clock;
    }

    /// Releases the resources of an attempt that has ended and reports it.
    fn record_termination(&mut self, task: TaskId, event: Event) {
        let Some(held) = self.tasks.get_mut(&task) else {
            return;
        };
        held.state = HeldState::Terminated;
        let (partition, attempt) = (held.partition, held.attempt);
        self.ledger.release(task, attempt);
        self.report(partition, task, attempt, event);
        self.reserve_freed();
    }

    /// Returns attempts to the entry that the worker does not hold.
    fn return_missing(&mut self, version: StatusVersion, status: &WorkerStatus) {
        let is_missing = |id: &TaskId, held: &HeldTask| {
            let is_at_worker = status
                .tasks
                .iter()
                .any(|task| task.task == *id && task.attempt == held.attempt);
            match held.state {
                HeldState::Held | HeldState::Stopping(_) => {
                    !is_at_worker && held.held_version <= version.0
                }
                // After the deadline, the worker refuses a start that is still
                // in flight.
                HeldState::Starting {
                    not_after,
                    is_outcome_unknown,
                } => !is_at_worker && is_outcome_unknown && status.clock > not_after,
                HeldState::AwaitingCapacity | HeldState::AwaitingPermit | HeldState::Terminated => {
                    false
                }
            }
        };
        let missing: Vec<TaskId> = self
            .tasks
            .iter()
            .filter(|(id, held)| is_missing(id, held))
            .map(|(id, _)| *id)
            .collect();
        for task in missing {
            self.return_attempt(task, v1::RefusalReason::Worker);
        }
    }

    /// Stops or forgets attempts at the worker that the agent does not hold.
    fn stop_unknown(&self, status: &WorkerStatus, actions: &mut Vec<AgentAction>) {
        for task in &status.tasks {
            let is_held = self
                .tasks
                .get(&task.task)
                .is_some_and(|held| held.attempt == task.attempt);
            if is_held {
                continue;
            }
            let kind = match task.phase {
                TaskPhase::Running | TaskPhase::Suspended => StopKind::Discard,
                _ => StopKind::Forget,
            };
            actions.push(self.stop_action(task.task, task.attempt, kind));
        }
    }

    /// Repeats stops that have not taken effect.
    fn repeat_stops(&self, actions: &mut Vec<AgentAction>) {
        for (task, held) in &self.tasks {
            if let HeldState::Stopping(kind) = held.state {
                actions.push(self.stop_action(*task, held.attempt, kind));
            }
        }
    }

    /// Handles the worker's result of a start.
    pub fn handle_start_result(
        &mut self,
        task: TaskId,
        attempt: AttemptNumber,
        result: &Result<(), WorkerError>,
    ) {
        let Some(held) = self.tasks.get_mut(&task) else {
            return;
        };
        if held.attempt != attempt {
            return;
        }
        let HeldState::Starting { not_after, .. } = held.state else {
            return;
        };
        match result {
            Ok(()) => self.record_start(task),
            Err(WorkerError::Refused { .. }) => {
                self.return_attempt(task, v1::RefusalReason::PermitLapsed);
            }
            Err(WorkerError::Unknown { .. }) => {
                held.state = HeldState::Starting {
                    not_after,
                    is_outcome_unknown: true,
                };
            }
        }
    }

    /// Handles the worker's result of a stop.
    pub fn handle_stop_result(
        &mut self,
        task: TaskId,
        attempt: AttemptNumber,
        result: &Result<StopResponse, WorkerError>,
    ) {
        let (Some(held), Ok(answer)) = (self.tasks.get(&task), result) else {
            return;
        };
        if held.attempt != attempt {
            return;
        }
        match held.state {
            // An attempt that ended by itself before the stop is reported as
            // ended, with the worker's next status.
            HeldState::Stopping(StopKind::Checkpoint)
                if answer.phase == Some(TaskPhase::Evicted) =>
            {
                self.record_eviction(task, answer.checkpoint_millis);
            }
            HeldState::Stopping(StopKind::Discard) => {
                self.return_attempt(task, v1::RefusalReason::Worker);
            }
            _ => {}
        }
    }
}
