//! Effects of durable transitions.

use turmeric_types::{AgentId, PartitionId, TaskId};

use super::TaskScheduler;
use crate::{
    AppendOutcome, AppendPlan, TaskChange, TaskLedger, TaskPhase, TaskTransition, TransitionError,
    WriterError,
};

impl TaskScheduler {
    /// Returns the append to send for a partition, if there is one.
    pub fn next_append(&mut self, partition: PartitionId) -> Option<AppendPlan> {
        self.partitions.get_mut(&partition)?.writer.next_append()
    }

    /// Handles the outcome of a partition's append.
    ///
    /// Returns the transitions that are now durable, and an error for each of
    /// them that the ledger did not allow.
    ///
    /// # Errors
    ///
    /// [`WriterError::Fenced`] when another entry owns the partition, which
    /// is then removed from this scheduler.
    pub fn handle_append_outcome(
        &mut self,
        partition: PartitionId,
        plan: &AppendPlan,
        outcome: AppendOutcome,
    ) -> Result<(Vec<TaskTransition>, Vec<TransitionError>), WriterError> {
        let Some(owned) = self.partitions.get_mut(&partition) else {
            return Ok((Vec::new(), Vec::new()));
        };
        let result = owned.writer.handle_outcome(plan, outcome);
        let transitions = match result {
            Ok(transitions) => transitions,
            Err(error) => {
                self.remove_partition(partition);
                return Err(error);
            }
        };
        let mut errors = Vec::new();
        for transition in &transitions {
            if let Err(error) = self.apply(partition, transition) {
                errors.push(error);
            }
        }
        Ok((transitions, errors))
    }

    fn apply(
        &mut self,
        partition: PartitionId,
        transition: &TaskTransition,
    ) -> Result<(), TransitionError> {
        let task = transition.task;
        let Some(owned) = self.partitions.get_mut(&partition) else {
            return Ok(());
        };
        owned.pending_tasks.remove(&task);
        let before = owned.ledger.get(task).map(|record| record.phase.clone());
        owned.ledger.apply(transition)?;
        if let Some(TaskPhase::Assigned(agent)) = before {
            self.update_unassigned(&agent, partition, task, &transition.change);
        }
        self.update_phase(partition, task);
        self.acknowledge_reports(task);
        self.cancel_if_requested(partition, task);
        Ok(())
    }

    /// Updates the indexes of a task that is no longer assigned.
    fn update_unassigned(
        &mut self,
        agent: &AgentId,
        partition: PartitionId,
        task: TaskId,
        change: &TaskChange,
    ) {
        self.remove_assigned(agent, task);
        self.evicting.remove(&task);
        let Some(record) = self
            .partitions
            .get(&partition)
            .and_then(|owned| owned.ledger.get(task))
        else {
            return;
        };
        let team = record.spec.team.clone();
        let cores = record.allocated.cores.as_millicores();
        let attempt = record.attempt;
        self.reduce_usage(&team, cores);
        if matches!(change, TaskChange::Cancelled { .. }) {
            self.order_cancel(agent, partition, task, attempt);
        }
        if let Some(session) = self.sessions.get_mut(agent) {
            session.remove_unconfirmed(task);
        }
        self.refresh_slot(agent);
    }

    /// Updates the indexes for the new phase of a task.
    fn update_phase(&mut self, partition: PartitionId, task: TaskId) {
        let Some(record) = self
            .partitions
            .get(&partition)
            .and_then(|owned| owned.ledger.get(task))
        else {
            return;
        };
        match &record.phase {
            TaskPhase::Waiting => self.waiting.insert(task, record),
            TaskPhase::Assigned(agent) => {
                let agent = agent.clone();
                self.assigned.entry(agent.clone()).or_default().insert(task);
                self.order_start(&agent, partition, task);
            }
            TaskPhase::Succeeded | TaskPhase::Failed => {}
            TaskPhase::Cancelled => self.waiting.remove(task, record),
        }
    }

    fn cancel_if_requested(&mut self, partition: PartitionId, task: TaskId) {
        let Some(requested_at) = self.cancelling.remove(&task) else {
            return;
        };
        let is_terminal = self
            .record_of(task)
            .is_none_or(|record| record.phase.is_terminal());
        if !is_terminal {
            self.cancel_task(partition, task, requested_at);
        }
    }

    fn acknowledge_reports(&mut self, task: TaskId) {
        for (agent, number) in self.unacknowledged.remove(&task).unwrap_or_default() {
            if let Some(session) = self.sessions.get_mut(&agent) {
                session.acknowledged_reports.insert(number);
                self.agents_to_update.insert(agent);
            }
        }
    }

    /// Returns the ledger of an owned partition and the index of its last applied append.
    ///
    /// Returns [`None`] when the partition is not owned.
    pub fn durable_ledger(&self, partition: PartitionId) -> Option<(&TaskLedger, u64)> {
        let owned = self.partitions.get(&partition)?;
        Some((&owned.ledger, owned.writer.last_index()))
    }

    /// Returns whether the partition has no transition left to write.
    pub fn is_flushed(&self, partition: PartitionId) -> bool {
        self.partitions
            .get(&partition)
            .is_none_or(|owned| owned.writer.is_idle())
    }
}
