//! Places interrupted long-running tasks for which no space may be reserved.
//!
//! Load pattern: the only VM with room is suspected to be faulty, and takes one task at a time.
//! Finite jobs rank before long-running ones, and a stream of them takes every turn. A long-running
//! task that has run may be absent for 9 s, while a finite one only waits for the next turn.

use std::collections::BTreeSet;

use turmeric_types::WallTime;

use super::JobScheduler;
use super::place::{PlacementRound, TaskPlacement, is_due};
use crate::{JobState, LongRunningRestart, PlacementRequest, StepSpec, TaskName, choose_vm};

impl JobScheduler {
    /// Places interrupted long-running tasks on suspected VMs, the longest absent first.
    ///
    /// Tasks of jobs that have not failed on a suspected VM share its turn: beside no failure of
    /// theirs, waiting for the outcome of the first one would keep room from the others. Jobs that
    /// have failed there come after all others, since they fail again and again where a VM is sound.
    ///
    /// Returns how many tasks were placed.
    pub(super) fn place_interrupted(&mut self, round: &mut PlacementRound) -> usize {
        if self.policies.long_running_restart != LongRunningRestart::First {
            return 0;
        }
        let has_suspects = round.capacities.values().any(|vm| vm.is_suspect);
        if !has_suspects {
            return 0;
        }
        let mut placed = 0;
        let mut used_vms = BTreeSet::new();
        let mut full_steps: BTreeSet<TaskName> = BTreeSet::new();
        for task in self.interrupted_by_absence(round.now) {
            if full_steps.contains(&task.first_of_step()) || self.may_crash(&task) {
                continue;
            }
            let Some(vm) = self.choose_suspected_vm(&task, round) else {
                if self.avoided_vm(&task, round.now).is_none() {
                    full_steps.insert(task.first_of_step());
                }
                continue;
            };
            let Some((job, step)) = self.restart_step(&task, round.wall) else {
                continue;
            };
            let attempt = job.tasks.get(&task).map(|state| state.attempt.next());
            if let Some(capacity) = round.capacities.get_mut(&vm) {
                capacity.add(&task, step, &self.headroom);
            }
            used_vms.insert(vm.clone());
            let placement = TaskPlacement {
                task,
                attempt: attempt.unwrap_or_default(),
                vm,
            };
            self.commit_choice(task.job, vec![placement], round.now, round.wall);
            placed += 1;
        }
        round.capacities.retain(|vm, _| !used_vms.contains(vm));
        placed
    }

    /// Returns the job and step of a task that may be placed now by itself.
    pub(super) fn restart_step(
        &self,
        task: &TaskName,
        wall: WallTime,
    ) -> Option<(&JobState, &StepSpec)> {
        let job = self.jobs.get(&task.job)?;
        let step = job.spec.steps.get(task.step as usize)?;
        let may_start = is_due(job, task.occurrence, wall)
            && job.is_ready(&task.first_of_step())
            && self.is_placeable(task.job);
        (may_start && !step.is_gang).then_some((job, step))
    }

    /// Chooses a suspected VM for an interrupted task whose job has not failed there.
    fn choose_suspected_vm(&self, task: &TaskName, round: &PlacementRound) -> Option<String> {
        let (job, step) = self.restart_step(task, round.wall)?;
        let request = PlacementRequest {
            service: self.service(job),
            step,
            table: &self.headroom,
            is_starved: false,
        };
        let avoided = self.avoided_vm(task, round.now);
        let has_failed = |name: &str| {
            let vm = self.vms.get(name);
            vm.is_some_and(|vm| vm.suspicion.has_failed(task.job))
        };
        let suspected = || {
            round.capacities.values().filter(|capacity| {
                capacity.is_suspect
                    && avoided != Some(capacity.vm.as_str())
                    && !has_failed(&capacity.vm)
            })
        };
        let placed = |vm: &str| self.count_step(vm, &task.first_of_step());
        let preferred = suspected().filter(|capacity| !self.has_rejected(task, &capacity.vm));
        let found = choose_vm(&request, preferred, placed)
            .or_else(|| choose_vm(&request, suspected(), placed))?;
        Some(found.vm.clone())
    }
}
