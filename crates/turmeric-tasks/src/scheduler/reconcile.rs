//! Reconciliation of the attempts that an agent holds with the ledgers.

use std::collections::BTreeSet;

use turmeric_schema::v1;
use turmeric_types::{AgentId, AttemptNumber, PartitionId, TaskId};

use super::TaskScheduler;
use super::session::AnnouncedState;
use crate::convert::{read_partition, read_task};
use crate::{AttemptMeasurement, DecodeError, ReturnReason, TaskChange, TaskTransition};

/// An attempt that an agent lists as running.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RunningAttempt {
    partition: PartitionId,
    task: TaskId,
    attempt: AttemptNumber,
}

impl TaskScheduler {
    /// Handles an announcement.
    ///
    /// `knows_owner` is true if the agent knows of this entry's ownership, so
    /// that it refuses orders of earlier owners. Only then can its list
    /// of tasks no longer grow by orders of earlier owners.
    pub(super) fn handle_announcement(
        &mut self,
        agent: &AgentId,
        announced: AnnouncedState,
        message: &v1::Announcement,
        knows_owner: bool,
    ) -> Result<(), DecodeError> {
        let running = message
            .running
            .iter()
            .map(read_running)
            .collect::<Result<BTreeSet<_>, _>>()?;
        if let Some(session) = self.sessions.get_mut(agent) {
            session.announced = Some(announced);
        }
        if knows_owner {
            self.cancel_stale(agent, &running);
            self.return_missing(agent, &running);
            if let Some(session) = self.sessions.get_mut(agent) {
                session.is_reconciled = true;
            }
        }
        Ok(())
    }

    /// Orders the agent to cancel attempts that are not current in the ledgers.
    ///
    /// The order is sent in the same reply as the next lease, and the agent
    /// executes it before it applies the lease.
    fn cancel_stale(&mut self, agent: &AgentId, running: &BTreeSet<RunningAttempt>) {
        for attempt in running {
            let Some(owned) = self.partitions.get(&attempt.partition) else {
                continue;
            };
            let is_current = owned
                .ledger
                .get(attempt.task)
                .is_some_and(|record| record.is_assigned(agent, attempt.attempt));
            if !is_current || owned.pending_tasks.contains(&attempt.task) {
                self.order_cancel(agent, attempt.partition, attempt.task, attempt.attempt);
            }
        }
    }

    /// Returns tasks to the queue that the agent neither runs nor will start.
    fn return_missing(&mut self, agent: &AgentId, running: &BTreeSet<RunningAttempt>) {
        let tasks: Vec<TaskId> = self
            .assigned
            .get(agent)
            .into_iter()
            .flatten()
            .copied()
            .collect();
        for task in tasks {
            let Some(partition) = self.partition_of(task) else {
                continue;
            };
            let Some(attempt) = self.returnable_attempt(agent, partition, task) else {
                continue;
            };
            let is_running = running.contains(&RunningAttempt {
                partition,
                task,
                attempt,
            });
            if !is_running && !self.has_order(agent, task, attempt) {
                self.write_lease_lapse(agent, partition, task, attempt);
            }
        }
    }

    /// Returns the attempt that the agent may run, if the task has no pending transition.
    pub(super) fn returnable_attempt(
        &self,
        agent: &AgentId,
        partition: PartitionId,
        task: TaskId,
    ) -> Option<AttemptNumber> {
        let owned = self.partitions.get(&partition)?;
        let record = owned.ledger.get(task)?;
        let is_current = record.is_assigned(agent, record.attempt);
        (is_current && !owned.pending_tasks.contains(&task)).then_some(record.attempt)
    }

    /// Writes a transition for an attempt that the agent no longer holds.
    pub(super) fn write_lease_lapse(
        &mut self,
        agent: &AgentId,
        partition: PartitionId,
        task: TaskId,
        attempt: AttemptNumber,
    ) {
        let session = self.sessions.get_mut(agent);
        if session.is_some_and(|session| session.withdraw_start(task, attempt)) {
            self.order_cancel(agent, partition, task, attempt);
        }
        let change = TaskChange::Returned {
            attempt,
            checkpoint_millis: 0,
            reason: ReturnReason::LeaseLapsed,
            observed: AttemptMeasurement::default(),
        };
        self.write(partition, TaskTransition::new(task, change));
    }

    /// Returns whether an order for the attempt is not yet acknowledged.
    fn has_order(&self, agent: &AgentId, task: TaskId, attempt: AttemptNumber) -> bool {
        self.sessions.get(agent).is_some_and(|session| {
            session.orders.values().any(|order| {
                order.attempt == attempt.get() && read_task(order.task.as_ref()) == Ok(task)
            })
        })
    }
}

fn read_running(task: &v1::RunningTask) -> Result<RunningAttempt, DecodeError> {
    Ok(RunningAttempt {
        partition: read_partition(task.partition)?,
        task: read_task(task.task.as_ref())?,
        attempt: AttemptNumber::new(task.attempt),
    })
}
