//! Eviction of batch tasks, for urgent tasks or to protect the service.

use turmeric_placement::{EvictionCandidate, choose_victims, is_evictable};
use turmeric_types::{ResourceSet, TaskClass, TaskId};
use turmeric_worker::StopKind;

use super::held::{HeldState, HeldTask};
use super::{AgentAction, AgentTasks};

impl AgentTasks {
    /// Returns the resources of the batch tasks that may be evicted.
    pub(super) fn evictable(&self) -> ResourceSet {
        self.held_victims()
            .iter()
            .filter(|victim| is_evictable(victim, TaskClass::Urgent))
            .fold(ResourceSet::default(), |sum, victim| {
                sum.checked_add(&victim.resources).unwrap_or(sum)
            })
    }

    /// Chooses batch tasks whose eviction frees enough capacity for `need`.
    ///
    /// Returns [`None`] if there are not enough of them.
    pub(super) fn victims_for(&self, need: &ResourceSet, class: TaskClass) -> Option<Vec<TaskId>> {
        let victims = self.held_victims();
        choose_victims(need, class, &self.free(), &victims, self.eviction_policy)
    }

    fn held_victims(&self) -> Vec<EvictionCandidate> {
        self.tasks
            .iter()
            .filter(|(_, held)| held.state == HeldState::Held)
            .map(|(task, held)| self.victim(*task, held))
            .collect()
    }

    fn victim(&self, task: TaskId, held: &HeldTask) -> EvictionCandidate {
        let run_millis = self.worker_clock.since(held.held_since).as_millis() as u64;
        EvictionCandidate {
            task,
            class: held.class,
            resources: held.resources,
            lost_millis: run_millis,
            run_millis,
            evictions: held.evictions,
        }
    }

    /// Evicts the batch task that is expected to interfere most with the service;
    /// among equals, the one that loses the least work.
    pub fn evict_most_interfering(&mut self) -> Option<AgentAction> {
        let victims = self.held_victims();
        let worst = victims
            .iter()
            .filter(|victim| is_evictable(victim, TaskClass::LatencyCritical))
            .max_by_key(|victim| {
                let interference = self.tasks[&victim.task].interference_rate;
                (interference, std::cmp::Reverse(victim.lost_millis))
            })?;
        self.evict_victim(worst.task)
    }

    pub(super) fn evict_victim(&mut self, task: TaskId) -> Option<AgentAction> {
        let held = self.tasks.get_mut(&task)?;
        held.state = HeldState::Stopping(StopKind::Checkpoint);
        let attempt = held.attempt;
        Some(self.stop_action(task, attempt, StopKind::Checkpoint))
    }

    /// Reserves freed capacity for the tasks that wait for it.
    pub(super) fn reserve_freed(&mut self) {
        let waiting: Vec<TaskId> = self
            .tasks
            .iter()
            .filter(|(_, held)| held.state == HeldState::AwaitingCapacity)
            .map(|(task, _)| *task)
            .collect();
        for task in waiting {
            let Some(held) = self.tasks.get_mut(&task) else {
                continue;
            };
            let reserved = self.ledger.reserve(task, held.attempt, held.resources);
            if reserved.is_ok() {
                held.state = HeldState::AwaitingPermit;
            }
        }
    }
}
