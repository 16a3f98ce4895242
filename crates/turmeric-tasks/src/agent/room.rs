//! Room for urgent tasks, made by evicting batch tasks.

use turmeric_placement::{EvictionCandidate, choose_victims, is_evictable};
use turmeric_types::{ResourceSet, TaskClass, TaskId};
use turmeric_worker::StopKind;

use super::held::{HeldState, HeldTask};
use super::{AgentAction, AgentTasks};

impl AgentTasks {
    /// Returns what batch tasks hold that may be evicted.
    pub(super) fn evictable(&self) -> ResourceSet {
        self.held_victims()
            .iter()
            .filter(|victim| is_evictable(victim, TaskClass::Urgent))
            .fold(ResourceSet::default(), |sum, victim| {
                sum.checked_add(&victim.resources).unwrap_or(sum)
            })
    }

    /// Chooses batch tasks whose eviction makes room for `need`.
    pub(super) fn victims_for(&self, need: &ResourceSet, class: TaskClass) -> Option<Vec<TaskId>> {
        let victims = self.held_victims();
        choose_victims(need, class, &self.free(), &victims, self.eviction)
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

    /// Evicts the batch task that harms the service most.
    pub fn relieve_service(&mut self) -> Option<AgentAction> {
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

    /// Reserves what became free for the tasks that wait for room.
    pub(super) fn fill_room(&mut self) {
        let waiting: Vec<TaskId> = self
            .tasks
            .iter()
            .filter(|(_, held)| held.state == HeldState::AwaitingRoom)
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
