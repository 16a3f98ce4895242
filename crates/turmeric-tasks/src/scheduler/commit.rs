//! Effects of transitions that have become durable.

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

    /// Takes in what the table said to a partition's append.
    ///
    /// Returns the transitions that are durable now. Transitions that do not
    /// fit the book are left out and returned with the reason.
    ///
    /// # Errors
    ///
    /// [`WriterError::Fenced`] when another entry owns the partition, which
    /// is given up then.
    pub fn settle_append(
        &mut self,
        partition: PartitionId,
        plan: &AppendPlan,
        outcome: AppendOutcome,
    ) -> Result<(Vec<TaskTransition>, Vec<TransitionError>), WriterError> {
        let Some(owned) = self.partitions.get_mut(&partition) else {
            return Ok((Vec::new(), Vec::new()));
        };
        let settled = owned.writer.settle(plan, outcome);
        let transitions = match settled {
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
        owned.unsettled.remove(&task);
        let before = owned.ledger.get(task).map(|record| record.phase.clone());
        owned.ledger.apply(transition)?;
        if let Some(TaskPhase::Assigned(agent)) = before {
            self.note_unassigned(&agent, partition, task, &transition.change);
        }
        self.note_phase(partition, task);
        self.acknowledge_awaiting(task);
        self.cancel_if_asked(partition, task);
        Ok(())
    }

    /// Updates the indexes of a task that is no longer assigned.
    fn note_unassigned(
        &mut self,
        agent: &AgentId,
        partition: PartitionId,
        task: TaskId,
        change: &TaskChange,
    ) {
        self.detach(agent, task);
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
            session.forget_task(task);
        }
        self.refresh_slot(agent);
    }

    /// Updates the indexes for the phase in which a task now is.
    fn note_phase(&mut self, partition: PartitionId, task: TaskId) {
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

    fn cancel_if_asked(&mut self, partition: PartitionId, task: TaskId) {
        let Some(asked_at) = self.cancelling.remove(&task) else {
            return;
        };
        let is_over = self
            .record_of(task)
            .is_none_or(|record| record.phase.is_over());
        if !is_over {
            self.cancel_task(partition, task, asked_at);
        }
    }

    fn acknowledge_awaiting(&mut self, task: TaskId) {
        for (agent, number) in self.awaiting.remove(&task).unwrap_or_default() {
            if let Some(session) = self.sessions.get_mut(&agent) {
                session.acknowledged_reports.insert(number);
                self.dirty.insert(agent);
            }
        }
    }

    /// Returns the book of an owned partition and the index that it follows.
    ///
    /// Returns [`None`] when the partition is not owned.
    pub fn settled_book(&self, partition: PartitionId) -> Option<(&TaskLedger, u64)> {
        let owned = self.partitions.get(&partition)?;
        Some((&owned.ledger, owned.writer.last_index()))
    }

    /// Returns whether the partition has nothing left to write.
    pub fn is_settled(&self, partition: PartitionId) -> bool {
        self.partitions
            .get(&partition)
            .is_none_or(|owned| owned.writer.is_idle())
    }
}
