//! Leases that lapsed, agents that left and places that were closed.

use std::time::Duration;

use turmeric_placement::PlacementNeed;
use turmeric_types::{AgentId, MonoTime, TaskClass, TaskId};

use super::TaskScheduler;

/// Slack for a poll that is on its way when the hold ends.
const POLL_SLACK: Duration = Duration::from_secs(3);

/// Tasks that one tick moves out of closed places.
const DRAIN_BATCH: usize = 64;

/// Time after which an unanswered eviction is asked for again.
const EVICTION_TERM: Duration = Duration::from_secs(5);

impl TaskScheduler {
    /// Takes back the tasks of agents whose leases have surely ended.
    pub(super) fn return_lapsed(&mut self, now: MonoTime) {
        if !self.is_confirmed(now) {
            // Without the table nothing can be written, and nobody else can
            // take the tasks either.
            return;
        }
        let agents: Vec<AgentId> = self.assigned.keys().cloned().collect();
        for agent in agents {
            if self.is_heard(&agent, now) {
                continue;
            }
            let tasks: Vec<TaskId> = self.assigned[&agent].iter().copied().collect();
            let session_end = self
                .sessions
                .get(&agent)
                .map(|session| session.lease_until)
                .unwrap_or_default();
            for task in tasks {
                self.return_if_lapsed(&agent, task, session_end, now);
            }
        }
    }

    fn return_if_lapsed(
        &mut self,
        agent: &AgentId,
        task: TaskId,
        session_end: MonoTime,
        now: MonoTime,
    ) {
        let Some(partition) = self.partition_of(task) else {
            return;
        };
        // An earlier owner may have given leases until it lost the partition.
        let owner_end = self.partitions[&partition]
            .owned_since
            .after(self.terms.wait());
        if now <= session_end.max(owner_end) {
            return;
        }
        if let Some(attempt) = self.returnable_attempt(agent, partition, task) {
            if let Some(session) = self.sessions.get_mut(agent) {
                session.is_reconciled = false;
            }
            self.write_lapse(agent, partition, task, attempt);
        }
    }

    fn is_confirmed(&self, now: MonoTime) -> bool {
        self.confirmation
            .is_some_and(|confirmation| now.since(confirmation.began_at) < self.terms.start)
    }

    /// Returns whether the agent polls this entry.
    pub(super) fn is_heard(&self, agent: &AgentId, now: MonoTime) -> bool {
        let silence_limit = self.hold() + POLL_SLACK;
        self.sessions
            .get(agent)
            .is_some_and(|session| now <= session.last_heard.after(silence_limit))
    }

    /// Forgets agents that have been silent for longer than any lease.
    pub(super) fn forget_sessions(&mut self, now: MonoTime) {
        let silent: Vec<AgentId> = self
            .sessions
            .iter()
            .filter(|(agent, session)| {
                !self.is_heard(agent, now)
                    && now > session.lease_until
                    && !self.assigned.contains_key(*agent)
            })
            .map(|(agent, _)| agent.clone())
            .collect();
        for agent in silent {
            self.sessions.remove(&agent);
            self.index.remove(&agent);
        }
        let unheard: Vec<AgentId> = self
            .index
            .iter()
            .filter(|(agent, slot)| slot.is_open && !self.is_heard(agent, now))
            .map(|(agent, _)| agent.clone())
            .collect();
        for agent in unheard {
            self.index.remove(&agent);
        }
    }

    /// Opens workers again whose time aside is over.
    pub(super) fn reopen_slots(&mut self, now: MonoTime) {
        let waiting: Vec<AgentId> = self
            .sessions
            .iter()
            .filter(|(_, session)| session.set_aside_until > MonoTime::default())
            .map(|(agent, _)| agent.clone())
            .collect();
        for agent in waiting {
            if let Some(session) = self.sessions.get_mut(&agent)
                && now >= session.set_aside_until
            {
                session.set_aside_until = MonoTime::default();
                self.refresh_slot(&agent);
            }
        }
    }

    /// Moves tasks out of closed places, as far as others have room.
    ///
    /// Latency-critical tasks go first.
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
            self.move_task(&agent, task, now);
        }
        self.evicting.retain(|_, until| now <= *until);
    }

    fn move_task(&mut self, agent: &AgentId, task: TaskId, now: MonoTime) {
        let Some(record) = self.record_of(task) else {
            return;
        };
        let need = PlacementNeed::new(record.allocated);
        let policy = self.settings.placement;
        if self.index.choose(&need, policy, &mut self.random).is_some() {
            self.evict(agent, task, now);
        }
    }

    /// Tells the agent to checkpoint and stop the task.
    pub(super) fn evict(&mut self, agent: &AgentId, task: TaskId, now: MonoTime) {
        self.evicting.insert(task, now.after(EVICTION_TERM));
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
