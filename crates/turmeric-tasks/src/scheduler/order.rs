//! Orders that an entry sends to agents.

use turmeric_schema::v1;
use turmeric_schema::v1::task_order::Action;
use turmeric_types::{AgentId, AttemptNumber, JobKind, PartitionId, TaskId};

use super::TaskScheduler;
use super::waiting::shape_of;
use crate::convert::{write_class, write_resources, write_task};

impl TaskScheduler {
    fn push_order(
        &mut self,
        agent: &AgentId,
        partition: PartitionId,
        task: TaskId,
        attempt: AttemptNumber,
        action: Action,
    ) {
        let Some(owned) = self.partitions.get(&partition) else {
            return;
        };
        let order = v1::TaskOrder {
            number: 0,
            task: Some(write_task(task)),
            attempt: attempt.get(),
            partition: u32::from(partition.get()),
            epoch: owned.writer.epoch().get(),
            action: Some(action),
        };
        if let Some(session) = self.sessions.get_mut(agent) {
            session.push_order(order);
            self.agents_to_update.insert(agent.clone());
        }
    }

    /// Orders the start of an attempt whose assignment is durable.
    pub(super) fn order_start(&mut self, agent: &AgentId, partition: PartitionId, task: TaskId) {
        let Some(record) = self
            .partitions
            .get(&partition)
            .and_then(|owned| owned.ledger.get(task))
        else {
            return;
        };
        let attempt = record.attempt;
        let kind = record.spec.kind.as_ref();
        let interference = self.index.get(agent).map(|slot| {
            let need = self.need_of(&shape_of(task, record));
            need.interference_on(slot)
        });
        let start = v1::StartTask {
            resources: Some(write_resources(&record.allocated)),
            work_millis: record.spec.work_millis,
            checkpoint_millis: record.checkpoint_millis,
            class: write_class(record.spec.class),
            evictions: record.evictions,
            kind: kind.map(JobKind::to_string).unwrap_or_default(),
            harm_permille_cores: interference.unwrap_or_default().get(),
        };
        self.push_order(agent, partition, task, attempt, Action::Start(start));
    }

    pub(super) fn order_evict(&mut self, agent: &AgentId, task: TaskId) {
        let Some(partition) = self.partition_of(task) else {
            return;
        };
        let attempt = self.attempt_of(partition, task);
        let action = Action::Evict(v1::EvictTask {});
        self.push_order(agent, partition, task, attempt, action);
    }

    pub(super) fn order_cancel(
        &mut self,
        agent: &AgentId,
        partition: PartitionId,
        task: TaskId,
        attempt: AttemptNumber,
    ) {
        let action = Action::Cancel(v1::CancelTask {});
        self.push_order(agent, partition, task, attempt, action);
    }

    fn attempt_of(&self, partition: PartitionId, task: TaskId) -> AttemptNumber {
        self.partitions
            .get(&partition)
            .and_then(|owned| owned.ledger.get(task))
            .map(|record| record.attempt)
            .unwrap_or_default()
    }
}
