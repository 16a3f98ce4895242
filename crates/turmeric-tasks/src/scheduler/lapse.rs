//! Lapsed leases, unreachable agents and agents closed for tasks.

use std::time::Duration;

use turmeric_placement::PlacementNeed;
use turmeric_types::{AgentId, MonoTime, TaskClass, TaskId};

use super::TaskScheduler;

/// Allowance for a poll that is in flight when the long-poll timeout ends.
const POLL_SLACK: Duration = Duration::from_secs(3);

/// Tasks that one tick evicts from closed agents at most.
const DRAIN_BATCH: usize = 64;

/// Time after which an eviction without a response is ordered again.
const EVICTION_TIMEOUT: Duration = Duration::from_secs(5);

impl TaskScheduler {
    /// Returns the tasks of agents whose leases have certainly expired to the queue.
    pub(super) fn return_lapsed(&mut self, now: MonoTime) {
        if !self.is_confirmed(now) {
            // While the table is unreachable, nothing can be written, and no
            // other entry can take over the tasks either.
            return;
        }
        let agents: Vec<AgentId> = self.assigned.keys().cloned().collect();
        for agent in agents {
            if self.is_reachable(&agent, now) {
                continue;
            }
            let tasks: Vec<TaskId> = self.assigned[&agent].iter().copied().collect();
            let session_lease_end = self
                .sessions
                .get(&agent)
                .map(|session| session.lease_until)
                .unwrap_or_default();
            for task in tasks {
                self.return_if_lapsed(&agent, task, session_lease_end, now);
            }
        }
    }

    fn return_if_lapsed(
        &mut self,
        agent: &AgentId,
        task: TaskId,
        session_lease_end: MonoTime,
        now: MonoTime,
    ) {
        let Some(partition) = self.partition_of(task) else {
            return;
        };
        // An earlier owner may have granted leases until it lost the partition.
        let earlier_lease_end = self.partitions[&partition]
            .owned_since
            .after(self.terms.expiry_wait());
        if now <= session_lease_end.max(earlier_lease_end) {
            return;
        }
        if let Some(attempt) = self.returnable_attempt(agent, partition, task) {
            if let Some(session) = self.sessions.get_mut(agent) {
                session.is_reconciled = false;
            }
            self.write_lease_lapse(agent, partition, task, attempt);
        }
    }

    fn is_confirmed(&self, now: MonoTime) -> bool {
        self.confirmation
            .is_some_and(|confirmation| now.since(confirmation.began_at) < self.terms.start)
    }

    /// Returns whether the agent's last poll is recent enough for it to count as reachable.
    pub(super) fn is_reachable(&self, agent: &AgentId, now: MonoTime) -> bool {
        let poll_limit = self.poll_timeout() + POLL_SLACK;
        self.sessions
            .get(agent)
            .is_some_and(|session| now <= session.last_poll_at.after(poll_limit))
    }

    /// Removes unreachable agents that have neither a lease nor assigned tasks.
    ///
    /// Open agents that are unreachable get no tasks.
    pub(super) fn remove_sessions(&mut self, now: MonoTime) {
        let expired: Vec<AgentId> = self
            .sessions
            .iter()
            .filter(|(agent, session)| {
                !self.is_reachable(agent, now)
                    && now > session.lease_until
                    && !self.assigned.contains_key(*agent)
            })
            .map(|(agent, _)| agent.clone())
            .collect();
        for agent in expired {
            self.sessions.remove(&agent);
            self.index.remove(&agent);
        }
        let unreachable: Vec<AgentId> = self
            .index
            .iter()
            .filter(|(agent, slot)| slot.is_open && !self.is_reachable(agent, now))
            .map(|(agent, _)| agent.clone())
            .collect();
        for agent in unreachable {
            self.index.remove(&agent);
        }
    }

    /// Opens workers for tasks again whose quarantine has ended.
    pub(super) fn release_quarantined(&mut self, now: MonoTime) {
        let quarantined: Vec<AgentId> = self
            .sessions
            .iter()
            .filter(|(_, session)| session.quarantined_until > MonoTime::default())
            .map(|(agent, _)| agent.clone())
            .collect();
        for agent in quarantined {
            if let Some(session) = self.sessions.get_mut(&agent)
                && now >= session.quarantined_until
            {
                session.quarantined_until = MonoTime::default();
                self.refresh_slot(&agent);
            }
        }
    }

    /// Evicts tasks from closed agents, as far as other agents have free capacity.
    ///
    /// Latency-critical tasks come first.
    pub(super) fn drain_closed(&mut self, now: MonoTime) {
        let mut candidates = Vec::new();
        for (agent, tasks) in &self.assigned {
            let is_closed = self
                .sessions
                .get(agent)
                .is_some_and(|session| !session.is_open && session.is_reconciled);
            if is_closed {
                candidates.extend(tasks.iter().map(|task| (agent.clone(), *task)));
            }
        }
        candidates.retain(|(_, task)| !self.evicting.contains_key(task));
        candidates.sort_by_key(|(_, task)| std::cmp::Reverse(self.class_of(*task)));
        for (agent, task) in candidates.into_iter().take(DRAIN_BATCH) {
            self.evict_if_placeable(&agent, task, now);
        }
        self.evicting.retain(|_, until| now <= *until);
    }

    fn evict_if_placeable(&mut self, agent: &AgentId, task: TaskId, now: MonoTime) {
        let Some(record) = self.record_of(task) else {
            return;
        };
        let need = PlacementNeed::new(record.allocated);
        let policy = self.settings.placement;
        if self.index.choose(&need, policy, &mut self.random).is_some() {
            self.evict(agent, task, now);
        }
    }

    /// Orders the agent to checkpoint and stop the task.
    pub(super) fn evict(&mut self, agent: &AgentId, task: TaskId, now: MonoTime) {
        self.evicting.insert(task, now.after(EVICTION_TIMEOUT));
        self.order_evict(agent, task);
    }

    fn class_of(&self, task: TaskId) -> TaskClass {
        self.record_of(task)
            .map_or(TaskClass::Batch, |record| record.spec.class)
    }

    pub(super) fn record_of(&self, task: TaskId) -> Option<&crate::TaskRecord> {
        self.partitions
            .values()
            .find_map(|owned| owned.ledger.get(task))
    }
}
