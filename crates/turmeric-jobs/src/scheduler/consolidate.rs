//! Moves serving tasks together, so that other VMs have none.
//!
//! Load pattern: long-running jobs arrive one after the other, and some allow only one of
//! their tasks on a VM. Each job takes VMs that the earlier ones left, until every VM has
//! serving tasks of several images and a part of its processors is free. Best-effort work
//! then finds idle processors, but hardly a VM where it interferes with none of the images.
//! So the VM with the least serving work is cleared when all of its serving tasks fit on VMs
//! that have others. A moved task is away for about half a second.

use std::collections::BTreeMap;
use std::time::Duration;

use turmeric_types::MonoTime;

use super::JobScheduler;
use super::notes::EvictionCause;
use super::vm::{VmAttempt, VmState};
use crate::{
    AttemptKey, ConsolidationPolicy, PlacementRequest, StepSpec, TaskName, VmCapacity, choose_vm,
};

/// Time between two attempts to clear a VM.
const CONSOLIDATION_INTERVAL: Duration = Duration::from_millis(200);

/// Most tasks that are on their way to another VM at one time.
const MOVE_LIMIT: usize = 8;

/// The space reserved for a moved task is released after this time: the longest time that a
/// worker takes to stop a task, two reports of its agent and two writes to the store.
const MOVE_TIMEOUT: Duration = Duration::from_millis(3000);

/// Progress that a worker lists for a long-running task while it is at work, in percent.
const AT_WORK_PERCENT: u32 = 100;

/// Space reserved for a task that is being moved.
#[derive(Clone, Debug)]
pub(super) struct MoveReservation {
    /// The VM that the task is moved to.
    pub(super) vm: String,
    /// When the space is released if the task was not placed.
    deadline: MonoTime,
}

impl JobScheduler {
    /// Clears the VM with the least serving work if its tasks fit on other VMs with serving
    /// tasks.
    pub(super) fn consolidate(&mut self, now: MonoTime) {
        self.moves
            .retain(|_, reservation| now < reservation.deadline);
        if self.policies.consolidation == ConsolidationPolicy::None
            || now < self.consolidation_due
            || self.moves.len() >= MOVE_LIMIT
            || self.has_waiting_long_running_tasks()
        {
            return;
        }
        self.consolidation_due = now.after(CONSOLIDATION_INTERVAL);
        let mut capacities = self.open_capacities(now);
        let mut sources: Vec<(u64, String)> = capacities
            .iter()
            .filter(|capacity| capacity.serving_tasks > 0 && !capacity.is_suspect)
            .map(|capacity| {
                let reserved = capacity.serving_reserved.as_millicores();
                (reserved, capacity.vm.clone())
            })
            .collect();
        sources.sort();
        for (reserved, source) in sources {
            if let Some(moves) = self.plan_clearing(&source, reserved, &mut capacities) {
                self.begin_moves(&source, moves, now);
            }
            if self.moves.len() >= MOVE_LIMIT {
                return;
            }
        }
    }

    /// Returns whether a long-running task waits that is not being moved.
    fn has_waiting_long_running_tasks(&self) -> bool {
        let jobs = self.jobs.values();
        jobs.filter(|job| !job.phase.is_terminal() && job.spec.is_long_running())
            .flat_map(|job| &job.tasks)
            .any(|(name, state)| state.is_waiting() && !self.moves.contains_key(name))
    }

    /// Chooses another VM for each serving task of a VM; returns [`None`] if one of them
    /// fits nowhere or cannot be moved. `capacities` accounts for the moves of a plan.
    ///
    /// Tasks move only to VMs with at least as much serving work. Each move makes the work
    /// of two VMs less equal, so moves come to an end.
    fn plan_clearing(
        &self,
        source: &str,
        reserved: u64,
        capacities: &mut Vec<VmCapacity>,
    ) -> Option<Vec<(AttemptKey, String)>> {
        let vm = self.vms.get(source)?;
        let mut planned = capacities.clone();
        let mut moves: Vec<(AttemptKey, String)> = Vec::new();
        let mut serving: Vec<(&AttemptKey, &VmAttempt, &StepSpec)> = Vec::new();
        for (key, attempt) in &vm.attempts {
            if attempt.is_serving && !attempt.is_evicted {
                serving.push((key, attempt, self.step(&key.task)?));
            }
        }
        // Tasks that fit on fewer VMs choose first.
        serving.sort_by_key(|(_, _, step)| step.vm_limit.unwrap_or(u32::MAX));
        for (key, attempt, step) in serving {
            let job = self.jobs.get(&key.task.job)?;
            if !step.is_long_running || step.is_gang || attempt.percent != AT_WORK_PERCENT {
                return None;
            }
            let request = PlacementRequest {
                service: self.service(job),
                step,
                table: &self.headroom,
                is_starved: false,
            };
            let targets = planned.iter().filter(|capacity| {
                capacity.vm != source
                    && capacity.serving_reserved.as_millicores() >= reserved
                    && !self.is_being_cleared(&capacity.vm)
            });
            let first = key.task.first_of_step();
            let found = choose_vm(&request, targets, |target| {
                let moved = moves
                    .iter()
                    .filter(|(other, vm)| other.task.first_of_step() == first && vm == target);
                self.count_step(target, &first) + moved.count() as u32
            })?;
            let target = found.vm.clone();
            let capacity = planned.iter_mut().find(|capacity| capacity.vm == target)?;
            capacity.add(&key.task, step, &self.headroom);
            moves.push((*key, target));
        }
        *capacities = planned;
        Some(moves)
    }

    /// Evicts the tasks that may be moved now; the others follow in a later round.
    fn begin_moves(&mut self, source: &str, moves: Vec<(AttemptKey, String)>, now: MonoTime) {
        for (key, target) in moves {
            if self.moves.len() >= MOVE_LIMIT || !self.is_step_complete(&key.task) {
                continue;
            }
            let vm = self.vms.get_mut(source);
            let Some(attempt) = vm.and_then(|vm| vm.attempts.get_mut(&key)) else {
                continue;
            };
            attempt.is_evicted = true;
            let reservation = MoveReservation {
                vm: target,
                deadline: now.after(MOVE_TIMEOUT),
            };
            self.moves.insert(key.task, reservation);
            self.record_eviction(source, key, EvictionCause::Consolidated);
            self.pending_updates.insert(source.to_owned());
        }
    }

    /// Returns whether all tasks of a task's step are at work, so that one may be moved.
    fn is_step_complete(&self, task: &TaskName) -> bool {
        let Some(job) = self.jobs.get(&task.job) else {
            return false;
        };
        let first = task.first_of_step();
        let last = TaskName {
            index: u32::MAX,
            ..first
        };
        job.tasks.range(first..=last).all(|(name, state)| {
            let Some(location) = &state.location else {
                return false;
            };
            let key = AttemptKey {
                task: *name,
                attempt: state.attempt,
            };
            let attempt = self
                .vms
                .get(&location.vm)
                .filter(|vm| vm.is_ready)
                .and_then(|vm| vm.attempts.get(&key));
            attempt.is_some_and(|attempt| !attempt.is_evicted && attempt.percent == AT_WORK_PERCENT)
        })
    }

    fn is_being_cleared(&self, vm: &str) -> bool {
        self.vms.get(vm).is_some_and(|vm| {
            let mut serving = vm.attempts.values().filter(|attempt| attempt.is_serving);
            serving.any(|attempt| attempt.is_evicted)
        })
    }

    /// Returns how many tasks of a step are on a VM or being moved to it.
    pub(super) fn count_step(&self, vm: &str, first: &TaskName) -> u32 {
        let placed = self.vms.get(vm).map_or(0, |vm| vm.count_step(first));
        let moved = self
            .moves
            .iter()
            .filter(|(task, reservation)| task.first_of_step() == *first && reservation.vm == vm);
        placed + moved.count() as u32
    }

    /// Returns the capacity of the VMs in service, less the space reserved for moves.
    pub(super) fn capacities(&self, now: MonoTime) -> BTreeMap<String, VmCapacity> {
        let open = |vm: &VmState| !self.closed_zones.contains(&vm.zone);
        let vms = self.vms.iter().filter(|(_, vm)| open(vm));
        let mut capacities: BTreeMap<String, VmCapacity> = vms
            .filter_map(|(name, vm)| {
                Some((name.clone(), vm.free_capacity(name, &self.headroom, now)?))
            })
            .collect();
        for (task, reservation) in &self.moves {
            if let (Some(capacity), Some(step)) =
                (capacities.get_mut(&reservation.vm), self.step(task))
            {
                capacity.add(task, step, &self.headroom);
            }
        }
        capacities
    }

    fn step(&self, task: &TaskName) -> Option<&StepSpec> {
        let job = self.jobs.get(&task.job)?;
        job.spec.steps.get(task.step as usize)
    }
}
