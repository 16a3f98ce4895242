//! Moves serving tasks together, so that other VMs have none.
//!
//! Load pattern: long-running jobs arrive one after the other, and some allow only one of
//! their tasks on a VM. Each job takes VMs that the earlier ones left, until every VM has
//! serving tasks of several images and a part of its processors is free. Best-effort work
//! then finds idle processors, but hardly a VM where it interferes with none of the images.
//! So the VM with the least serving work is cleared when all of its serving tasks fit on VMs
//! that have others. A moved task is placed again after about 0.7 s.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use turmeric_types::MonoTime;

use super::JobScheduler;
use super::moves::{AT_WORK_PERCENT, MOVE_LIMIT};
use crate::{AttemptKey, ConsolidationPolicy, PlacementRequest, StepSpec, VmCapacity, choose_vm};

/// Time between two attempts to clear a VM.
const CONSOLIDATION_INTERVAL: Duration = Duration::from_millis(200);

/// Most VMs for which a plan is sought in one round, so that the cost of a round does not
/// grow with the square of the fleet.
const SOURCE_LIMIT: usize = 16;

/// Most choices of a VM in the search for one plan.
const CHOICE_LIMIT: usize = 40;

/// A task of a VM that is to be cleared.
struct MovableTask<'a> {
    key: AttemptKey,
    step: &'a StepSpec,
    service: &'a str,
}

/// Other VMs for the tasks of a VM that is to be cleared.
struct ClearingPlan<'a> {
    /// Capacities before the plan.
    capacities: &'a BTreeMap<String, VmCapacity>,
    /// Capacities that the plan changes.
    changed: BTreeMap<String, VmCapacity>,
    moves: Vec<(AttemptKey, String)>,
    /// Number of choices left until the search is given up.
    choices: usize,
}

impl ClearingPlan<'_> {
    fn current_capacities(&self) -> impl Iterator<Item = &VmCapacity> {
        let capacities = self.capacities.iter();
        capacities.map(|(name, capacity)| self.changed.get(name).unwrap_or(capacity))
    }
}

impl JobScheduler {
    /// Clears the VMs with the least serving work whose tasks fit on other VMs with serving
    /// tasks.
    pub(super) fn consolidate(&mut self, now: MonoTime) {
        if self.policies.consolidation == ConsolidationPolicy::None
            || now < self.consolidation_due
            || self.consolidation_moves() >= MOVE_LIMIT
        {
            return;
        }
        self.consolidation_due = now.after(CONSOLIDATION_INTERVAL);
        let mut capacities = self.fleet_capacity(now).vms;
        let mut sources: Vec<(u64, String)> = capacities
            .values()
            .filter(|capacity| capacity.serving_tasks > 0 && !capacity.is_suspect)
            .map(|capacity| {
                let reserved = capacity.serving_reserved.as_millicores();
                (reserved, capacity.vm.clone())
            })
            .collect();
        sources.sort();
        let offset = self.consolidation_offset;
        let sources = sources.into_iter().map(|(_, source)| source);
        let movable =
            sources.filter(|source| self.has_movable_task(source) && !self.is_move_target(source));
        let chosen: Vec<String> = movable.skip(offset).take(SOURCE_LIMIT).collect();
        self.consolidation_offset = if chosen.len() < SOURCE_LIMIT {
            0
        } else {
            offset + SOURCE_LIMIT
        };
        for source in chosen {
            let Some(plan) = self.plan_clearing(&source, &capacities) else {
                continue;
            };
            let (changed, moves) = (plan.changed, plan.moves);
            capacities.extend(changed);
            if self.begin_moves(&source, moves, now) {
                self.consolidation_offset = 0;
            }
            if self.consolidation_moves() >= MOVE_LIMIT {
                return;
            }
        }
    }

    /// Returns whether a serving task on a VM may be moved now.
    fn has_movable_task(&self, vm: &str) -> bool {
        self.vms.get(vm).is_some_and(|vm| {
            let mut attempts = vm.attempts.iter();
            attempts.any(|(key, attempt)| attempt.is_serving && self.is_step_complete(&key.task))
        })
    }

    /// Chooses another VM for each serving task of a VM; returns [`None`] if one of them
    /// cannot be moved or no VMs are found for all of them.
    fn plan_clearing<'a>(
        &self,
        source: &str,
        capacities: &'a BTreeMap<String, VmCapacity>,
    ) -> Option<ClearingPlan<'a>> {
        let vm = self.vms.get(source)?;
        let mut tasks: Vec<MovableTask<'_>> = Vec::new();
        for (key, attempt) in &vm.attempts {
            if !attempt.is_serving || attempt.is_evicted {
                continue;
            }
            let job = self.jobs.get(&key.task.job)?;
            let step = job.spec.steps.get(key.task.step as usize)?;
            if !step.is_long_running || step.is_gang || attempt.percent != AT_WORK_PERCENT {
                return None;
            }
            tasks.push(MovableTask {
                key: *key,
                step,
                service: self.service(job),
            });
        }
        // Tasks that fit on fewer VMs choose first.
        tasks.sort_by_key(|task| task.step.vm_limit.unwrap_or(u32::MAX));
        let mut plan = ClearingPlan {
            capacities,
            changed: BTreeMap::new(),
            moves: Vec::new(),
            choices: CHOICE_LIMIT,
        };
        self.choose_targets(source, &tasks, &mut plan)
            .then_some(plan)
    }

    /// Chooses VMs for `tasks`; takes a choice back if it leaves no VM for a later task.
    ///
    /// Returns whether it found VMs for all. Tasks move only to VMs with at least as much
    /// serving work. Each move makes the work of two VMs less equal, so moves come to an end.
    fn choose_targets(
        &self,
        source: &str,
        tasks: &[MovableTask<'_>],
        plan: &mut ClearingPlan<'_>,
    ) -> bool {
        let Some((task, others)) = tasks.split_first() else {
            return true;
        };
        let request = PlacementRequest {
            service: task.service,
            step: task.step,
            table: &self.headroom,
            is_starved: false,
        };
        let first = task.key.task.first_of_step();
        let mut excluded: BTreeSet<String> = BTreeSet::from([source.to_owned()]);
        while plan.choices > 0 {
            plan.choices -= 1;
            let reserved = plan.capacities.get(source).map(|vm| vm.serving_reserved);
            let targets = plan.current_capacities().filter(|capacity| {
                Some(capacity.serving_reserved) >= reserved
                    && !capacity.is_suspect
                    && !excluded.contains(&capacity.vm)
                    && !self.is_being_cleared(&capacity.vm)
            });
            let found = choose_vm(&request, targets, |target| {
                let moved = plan
                    .moves
                    .iter()
                    .filter(|(other, vm)| other.task.first_of_step() == first && vm == target);
                self.count_step(target, &first) + moved.count() as u32
            });
            let Some(before) = found.cloned() else {
                return false;
            };
            let target = before.vm.clone();
            let mut after = before.clone();
            after.add(&task.key.task, task.step, &self.headroom);
            plan.changed.insert(target.clone(), after);
            plan.moves.push((task.key, target.clone()));
            if self.choose_targets(source, others, plan) {
                return true;
            }
            plan.moves.pop();
            plan.changed.insert(target.clone(), before);
            excluded.insert(target);
        }
        false
    }

    fn is_being_cleared(&self, vm: &str) -> bool {
        self.vms.get(vm).is_some_and(|vm| {
            let mut serving = vm.attempts.values().filter(|attempt| attempt.is_serving);
            serving.any(|attempt| attempt.is_evicted)
        })
    }
}
