//! Preempts tasks of overdue jobs in favour of waiting tasks in time.
//!
//! Load pattern: an overload lasts longer than the objectives. Large best-effort tasks of jobs
//! whose results are no longer of use hold the idle processors for many seconds, while jobs
//! that could still be in time wait behind them and become overdue in turn. A stopped task
//! resumes from its checkpoint later, which costs a restore of 0.1 s to 0.6 s.

use std::collections::BTreeMap;
use std::time::Duration;

use turmeric_types::{MonoTime, WallTime};

use super::JobScheduler;
use super::notes::EvictionCause;
use super::place::is_due;
use super::vm::VmAttempt;
use crate::{
    AttemptKey, JobCode, JobState, JobUrgency, PlacementRequest, StepSpec, TaskName, VmCapacity,
    choose_vm, judge_urgency,
};

/// Most tasks preempted in one round, since each changes the free capacity that others find.
const ROUND_LIMIT: usize = 4;

/// No task is preempted while this many evictions are under way: a wrong decision then costs
/// few restores before its effect is seen.
const UNDER_WAY_LIMIT: usize = 8;

/// A task runs at least this long before it is preempted, several times the longest restore,
/// so that tasks which are preempted repeatedly still make progress.
const MIN_RUN: Duration = Duration::from_millis(1500);

/// Most steps with waiting tasks that are considered in one round, which bounds its time.
const STEP_LIMIT: usize = 32;

/// A running task that may be preempted.
struct PreemptionCandidate<'a> {
    vm: &'a str,
    key: AttemptKey,
    step: &'a StepSpec,
    /// Priority of the queue of its job.
    priority: u32,
    /// Work since the last checkpoint, in core-milliseconds.
    loss: u64,
}

/// Waiting tasks of one step that fit no VM.
struct UnplacedStep<'a> {
    job: &'a JobState,
    step: &'a StepSpec,
    tasks: Vec<TaskName>,
}

impl JobScheduler {
    /// Evicts best-effort tasks of overdue jobs for waiting tasks that are in time, have an
    /// equal or better priority and fit nowhere else.
    pub(super) fn evict_overdue(&mut self, now: MonoTime, wall: WallTime) {
        if !self.may_evict(now) {
            return;
        }
        for (vm, key) in self.choose_preemptions(now, wall) {
            let attempts = self.vms.get_mut(&vm).map(|vm| &mut vm.attempts);
            if let Some(attempt) = attempts.and_then(|attempts| attempts.get_mut(&key)) {
                attempt.is_evicted = true;
                self.record_eviction(&vm, key, EvictionCause::Overdue);
                self.pending_updates.insert(vm);
            }
        }
    }

    fn choose_preemptions(&self, now: MonoTime, wall: WallTime) -> Vec<(String, AttemptKey)> {
        let mut chosen = Vec::new();
        let under_way = self.count_evicted();
        let mut candidates = self.preemption_candidates(now, wall);
        if candidates.is_empty() || under_way >= UNDER_WAY_LIMIT {
            return chosen;
        }
        let limit = ROUND_LIMIT.min(UNDER_WAY_LIMIT - under_way);
        let mut capacities = self.capacities_after_evictions(now);
        for waiting in self.waiting_in_time(wall) {
            let request = PlacementRequest {
                service: self.service(waiting.job),
                step: waiting.step,
                table: &self.headroom,
                is_starved: false,
            };
            // Number of tasks of the step that this round foresees on each VM.
            let mut planned: BTreeMap<String, u32> = BTreeMap::new();
            for task in waiting.tasks {
                let avoided = self.avoided_vm(&task, now);
                let placed = |vm: &str| {
                    let planned = planned.get(vm).copied().unwrap_or_default();
                    self.count_step(vm, &task.first_of_step()) + planned
                };
                let open = capacities
                    .values()
                    .filter(|capacity| avoided != Some(capacity.vm.as_str()));
                // The task starts there as soon as evictions under way are done.
                if let Some(found) = choose_vm(&request, open, placed) {
                    let vm = found.vm.clone();
                    if let Some(capacity) = capacities.get_mut(&vm) {
                        capacity.add(&task, waiting.step, &self.headroom);
                    }
                    *planned.entry(vm).or_default() += 1;
                    continue;
                }
                let found = candidates.iter().position(|candidate| {
                    candidate.priority >= waiting.job.spec.queue.priority
                        && avoided != Some(candidate.vm)
                        && capacities.get(candidate.vm).is_some_and(|capacity| {
                            let rest = capacity.without_best_effort(candidate.step, &self.headroom);
                            request.fits(&rest, || placed(candidate.vm))
                        })
                });
                let Some(found) = found else {
                    break;
                };
                let candidate = candidates.remove(found);
                if let Some(capacity) = capacities.get_mut(candidate.vm) {
                    *capacity = capacity.without_best_effort(candidate.step, &self.headroom);
                    capacity.add(&task, waiting.step, &self.headroom);
                }
                *planned.entry(candidate.vm.to_owned()).or_default() += 1;
                chosen.push((candidate.vm.to_owned(), candidate.key));
                if chosen.len() >= limit {
                    return chosen;
                }
            }
        }
        chosen
    }

    /// Returns how many evicted attempts may still be running.
    fn count_evicted(&self) -> usize {
        let attempts = self.vms.values().flat_map(|vm| vm.attempts.values());
        attempts.filter(|attempt| attempt.is_evicted).count()
    }

    /// Returns the capacity of each VM as it is once evicted best-effort tasks have left.
    fn capacities_after_evictions(&self, now: MonoTime) -> BTreeMap<String, VmCapacity> {
        let mut capacities = self.fleet_capacity(now).vms;
        for (name, capacity) in &mut capacities {
            let attempts = self.vms.get(name).into_iter().flat_map(|vm| &vm.attempts);
            for (key, _) in
                attempts.filter(|(_, attempt)| attempt.is_evicted && attempt.is_best_effort)
            {
                if let Some((_, step)) = self.step_of(&key.task) {
                    *capacity = capacity.without_best_effort(step, &self.headroom);
                }
            }
        }
        capacities
    }

    fn step_of(&self, task: &TaskName) -> Option<(&JobState, &StepSpec)> {
        let job = self.jobs.get(&task.job)?;
        Some((job, job.spec.steps.get(task.step as usize)?))
    }

    /// Returns the tasks that may be preempted, the one that loses the least work first.
    fn preemption_candidates(&self, now: MonoTime, wall: WallTime) -> Vec<PreemptionCandidate<'_>> {
        let mut urgencies: BTreeMap<JobCode, JobUrgency> = BTreeMap::new();
        let mut candidates = Vec::new();
        for (name, vm) in self.vms.iter().filter(|(_, vm)| vm.is_ready) {
            for (key, attempt) in &vm.attempts {
                let Some((job, step)) = self.step_of(&key.task) else {
                    continue;
                };
                let has_checkpoint = step.checkpoints || !attempt.checkpoint.is_empty();
                let is_evictable = attempt.is_best_effort && has_checkpoint && !step.is_gang;
                let started_at = self.start_time(attempt);
                if !is_evictable
                    || !attempt.is_confirmed
                    || now < started_at.after(MIN_RUN)
                    || !self.is_wanted(key, attempt)
                {
                    continue;
                }
                let urgency = urgencies
                    .entry(key.task.job)
                    .or_insert_with(|| judge_urgency(&job.spec, job.remaining(key.task.job), wall));
                if *urgency != JobUrgency::Overdue {
                    continue;
                }
                let saved_at = attempt.checkpointed_at.unwrap_or(started_at);
                let unsaved = now.since(saved_at).as_millis() as u64;
                candidates.push(PreemptionCandidate {
                    vm: name,
                    key: *key,
                    step,
                    priority: job.spec.queue.priority,
                    loss: unsaved.saturating_mul(attempt.cores.as_millicores()) / 1000,
                });
            }
        }
        candidates.sort_by_key(|candidate| (candidate.loss, candidate.key));
        candidates
    }

    /// Returns the earliest time at which this leader knows the attempt to run.
    fn start_time(&self, attempt: &VmAttempt) -> MonoTime {
        let started_at = attempt.first_sent_at.unwrap_or(attempt.placed_at);
        started_at.max(self.took_over_at)
    }

    /// Returns the waiting steps of jobs in time, in the order in which they are placed. The
    /// members of a gang need several VMs at once and are left out.
    fn waiting_in_time(&self, wall: WallTime) -> Vec<UnplacedStep<'_>> {
        let mut steps = Vec::new();
        for code in self.jobs_by_rank(wall) {
            let Some(job) = self.jobs.get(&code) else {
                continue;
            };
            if judge_urgency(&job.spec, job.remaining(code), wall) != JobUrgency::InTime {
                continue;
            }
            for occurrence in 0..job.spec.occurrences() {
                if !is_due(job, occurrence, wall) {
                    break;
                }
                for (number, step) in (0..).zip(&job.spec.steps) {
                    let first = TaskName {
                        job: code,
                        occurrence,
                        step: number,
                        index: 0,
                    };
                    let tasks = job.tasks.range(first.step_range());
                    let waiting = tasks.filter(|(_, state)| state.is_waiting());
                    let tasks: Vec<TaskName> = waiting.map(|(name, _)| *name).collect();
                    if !step.is_gang && !tasks.is_empty() && job.is_ready(&first) {
                        steps.push(UnplacedStep { job, step, tasks });
                    }
                    if steps.len() >= STEP_LIMIT {
                        return steps;
                    }
                }
            }
        }
        steps
    }
}
