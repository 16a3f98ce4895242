//! What the worker says of the attempts that it holds.

use turmeric_learning::{InterferenceRate, UsageSample};
use turmeric_schema::v1;
use turmeric_schema::v1::task_report::Event;
use turmeric_types::{AttemptNumber, PartitionId, TaskId};
use turmeric_worker::{StopKind, StopResponse, TaskPhase, WorkerError, WorkerStatus, WorkerTask};

use super::held::{HeldState, HeldTask};
use super::{AgentAction, AgentTasks};
use crate::AttemptMeasurement;

/// Marks which attempts a status answer can know of.
#[derive(Clone, Copy, Debug)]
pub struct StatusVersion(u64);

impl AgentTasks {
    /// Takes in an attempt that the worker held before this agent started.
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
            changed_at: 0,
            // What the entry expected is not known to this life of the agent.
            interference_rate: InterferenceRate::assumed(task.resources.cores),
            observed: AttemptMeasurement::default(),
        };
        self.tasks.insert(task.task, held);
        self.take_phase(task);
    }

    /// Returns a mark to pass to [`AgentTasks::take_status`] with the answer
    /// to a status call that is sent now.
    pub fn begin_status(&self) -> StatusVersion {
        StatusVersion(self.changes)
    }

    /// Takes in the worker's clock and the attempts that it holds.
    ///
    /// Attempts that started after `mark` may be missing from the status.
    /// Returns the calls to make to the worker.
    pub fn take_status(&mut self, mark: StatusVersion, status: &WorkerStatus) -> Vec<AgentAction> {
        self.worker_clock = self.worker_clock.max(status.clock);
        self.used_millicores = status.used_millicores;
        if status.capacity != self.ledger.capacity() {
            self.rebuild_ledger(status.capacity);
        }
        for task in &status.tasks {
            self.take_phase(task);
        }
        self.drop_missing(mark, status);
        let mut actions = Vec::new();
        if status.incarnation < self.incarnation {
            actions.push(AgentAction::Attach);
        }
        self.repeat_stops(&mut actions);
        self.drop_unknown(status, &mut actions);
        actions
    }

    /// Compares one attempt with what the worker does with it.
    fn take_phase(&mut self, task: &WorkerTask) {
        let Some(held) = self.tasks.get_mut(&task.task) else {
            return;
        };
        if held.attempt != task.attempt || held.state == HeldState::Over {
            return;
        }
        self.note_usage(task);
        match task.phase {
            TaskPhase::Running | TaskPhase::Suspended => self.note_started(task.task),
            TaskPhase::Succeeded => self.note_ended(task.task, true),
            TaskPhase::Failed => self.note_ended(task.task, false),
            TaskPhase::Evicted => self.note_evicted(task.task, task.checkpoint_millis),
        }
    }

    /// Takes in late use, if the attempt ran at full speed when it was measured.
    fn note_usage(&mut self, task: &WorkerTask) {
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
        let earlier = held.observed.usage.unwrap_or_default();
        held.observed.usage = Some(sample.max(earlier));
    }

    fn note_ended(&mut self, task: TaskId, succeeded: bool) {
        let observed = self.observed_of(task);
        let ended = v1::Ended {
            succeeded,
            usage: observed.write_usage(),
            harm: observed.write_interference(),
        };
        self.note_over(task, Event::Ended(ended));
    }

    fn note_evicted(&mut self, task: TaskId, checkpoint_millis: u64) {
        let evicted = v1::Evicted {
            checkpoint_millis,
            harm: self.observed_of(task).write_interference(),
        };
        self.note_over(task, Event::Evicted(evicted));
    }

    fn observed_of(&self, task: TaskId) -> AttemptMeasurement {
        let held = self.tasks.get(&task);
        held.map(|held| held.observed.clone()).unwrap_or_default()
    }

    fn note_started(&mut self, task: TaskId) {
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
        self.changes += 1;
        held.changed_at = self.changes;
        held.held_since = self.worker_clock;
    }

    /// Releases the resources of an attempt that is over and reports it.
    fn note_over(&mut self, task: TaskId, event: Event) {
        let Some(held) = self.tasks.get_mut(&task) else {
            return;
        };
        held.state = HeldState::Over;
        let (partition, attempt) = (held.partition, held.attempt);
        self.ledger.release(task, attempt);
        self.report(partition, task, attempt, event);
        self.fill_room();
    }

    /// Gives back attempts that the worker does not hold.
    fn drop_missing(&mut self, mark: StatusVersion, status: &WorkerStatus) {
        let is_missing = |id: &TaskId, held: &HeldTask| {
            let is_at_worker = status
                .tasks
                .iter()
                .any(|task| task.task == *id && task.attempt == held.attempt);
            match held.state {
                HeldState::Held | HeldState::Stopping(_) => {
                    !is_at_worker && held.changed_at <= mark.0
                }
                // The worker refuses the start from now on.
                HeldState::Starting {
                    not_after,
                    is_unanswered,
                } => !is_at_worker && is_unanswered && status.clock > not_after,
                HeldState::AwaitingRoom | HeldState::AwaitingPermit | HeldState::Over => false,
            }
        };
        let missing: Vec<TaskId> = self
            .tasks
            .iter()
            .filter(|(id, held)| is_missing(id, held))
            .map(|(id, _)| *id)
            .collect();
        for task in missing {
            self.give_back(task, v1::RefusalReason::Worker);
        }
    }

    /// Ends attempts at the worker that the agent does not hold.
    fn drop_unknown(&self, status: &WorkerStatus, actions: &mut Vec<AgentAction>) {
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

    /// Asks again for stops that have not taken effect.
    fn repeat_stops(&self, actions: &mut Vec<AgentAction>) {
        for (task, held) in &self.tasks {
            if let HeldState::Stopping(kind) = held.state {
                actions.push(self.stop_action(*task, held.attempt, kind));
            }
        }
    }

    /// Takes in the worker's answer to a start.
    pub fn start_done(
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
            Ok(()) => self.note_started(task),
            Err(WorkerError::Refused { .. }) => {
                self.give_back(task, v1::RefusalReason::PermitLapsed);
            }
            Err(WorkerError::Unknown { .. }) => {
                held.state = HeldState::Starting {
                    not_after,
                    is_unanswered: true,
                };
            }
        }
    }

    /// Takes in the worker's answer to a stop.
    pub fn stop_done(
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
            // An attempt that ended by itself first is reported as ended, with
            // the worker's next status.
            HeldState::Stopping(StopKind::Checkpoint)
                if answer.phase == Some(TaskPhase::Evicted) =>
            {
                self.note_evicted(task, answer.checkpoint_millis);
            }
            HeldState::Stopping(StopKind::Discard) => {
                self.give_back(task, v1::RefusalReason::Worker);
            }
            _ => {}
        }
    }
}
