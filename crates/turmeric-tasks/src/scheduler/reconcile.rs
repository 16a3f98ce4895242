//! Comparing what an agent holds with what the books say.

use std::collections::BTreeSet;

use turmeric_schema::v1;
use turmeric_types::{AgentId, AttemptNumber, PartitionId, TaskId};

use super::TaskScheduler;
use super::session::AnnouncedState;
use crate::convert::{read_partition, read_task};
use crate::{AttemptMeasurement, DecodeError, ReturnReason, TaskChange, TaskTransition};

/// A task attempt that an agent holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct HeldAttempt {
    partition: PartitionId,
    task: TaskId,
    attempt: AttemptNumber,
}

impl TaskScheduler {
    /// Takes in an announcement.
    ///
    /// `knows_owner` says that the agent has heard of this entry's ownership,
    /// so that it refuses orders of earlier owners from now on. Only then its
    /// list of tasks is final.
    pub(super) fn take_announcement(
        &mut self,
        agent: &AgentId,
        announced: AnnouncedState,
        message: &v1::Announcement,
        knows_owner: bool,
    ) -> Result<(), DecodeError> {
        let held = message
            .running
            .iter()
            .map(read_held)
            .collect::<Result<BTreeSet<_>, _>>()?;
        if let Some(session) = self.sessions.get_mut(agent) {
            session.announced = Some(announced);
        }
        if knows_owner {
            self.discard_stale(agent, &held);
            self.return_missing(agent, &held);
            if let Some(session) = self.sessions.get_mut(agent) {
                session.is_reconciled = true;
            }
        }
        Ok(())
    }

    /// Orders the end of attempts that are over by the books.
    ///
    /// The order travels in the same reply as the next lease, and the agent
    /// carries it out first.
    fn discard_stale(&mut self, agent: &AgentId, held: &BTreeSet<HeldAttempt>) {
        for attempt in held {
            let Some(owned) = self.partitions.get(&attempt.partition) else {
                continue;
            };
            let is_current = owned
                .ledger
                .get(attempt.task)
                .is_some_and(|record| record.is_assigned(agent, attempt.attempt));
            if !is_current || owned.unsettled.contains(&attempt.task) {
                self.order_cancel(agent, attempt.partition, attempt.task, attempt.attempt);
            }
        }
    }

    /// Takes back tasks that the agent does not hold and will not start.
    fn return_missing(&mut self, agent: &AgentId, held: &BTreeSet<HeldAttempt>) {
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
            let is_held = held.contains(&HeldAttempt {
                partition,
                task,
                attempt,
            });
            if !is_held && !self.has_order(agent, task, attempt) {
                self.write_lapse(agent, partition, task, attempt);
            }
        }
    }

    /// Returns the attempt of a settled task that the agent may run.
    pub(super) fn returnable_attempt(
        &self,
        agent: &AgentId,
        partition: PartitionId,
        task: TaskId,
    ) -> Option<AttemptNumber> {
        let owned = self.partitions.get(&partition)?;
        let record = owned.ledger.get(task)?;
        let is_current = record.is_assigned(agent, record.attempt);
        (is_current && !owned.unsettled.contains(&task)).then_some(record.attempt)
    }

    /// Writes that the agent no longer holds the attempt.
    pub(super) fn write_lapse(
        &mut self,
        agent: &AgentId,
        partition: PartitionId,
        task: TaskId,
        attempt: AttemptNumber,
    ) {
        if let Some(session) = self.sessions.get_mut(agent) {
            session.withdraw_start(task, attempt);
        }
        let change = TaskChange::Returned {
            attempt,
            checkpoint_millis: 0,
            reason: ReturnReason::LeaseLapsed,
            observed: AttemptMeasurement::default(),
        };
        self.write(partition, TaskTransition::new(task, change));
    }

    /// Returns whether an order to start the attempt is on its way.
    fn has_order(&self, agent: &AgentId, task: TaskId, attempt: AttemptNumber) -> bool {
        self.sessions.get(agent).is_some_and(|session| {
            session.orders.values().any(|order| {
                order.attempt == attempt.get() && read_task(order.task.as_ref()) == Ok(task)
            })
        })
    }
}

fn read_held(running: &v1::RunningTask) -> Result<HeldAttempt, DecodeError> {
    Ok(HeldAttempt {
        partition: read_partition(running.partition)?,
        task: read_task(running.task.as_ref())?,
        attempt: AttemptNumber::new(running.attempt),
    })
}
