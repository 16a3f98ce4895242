//! Places waiting tasks on VMs.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use turmeric_types::{MonoTime, WallTime};

use super::JobScheduler;
use super::moves::FleetCapacity;
use super::notes::JobEvent;
use super::suspicion::VmSuspicion;
use super::turns::SuspectTurns;
use super::vm::VmAttempt;
use crate::{
    AttemptKey, AttemptLocation, AttemptNumber, JobCode, JobPhase, JobRank, JobState,
    LongRunningStart, PlacementFailures, PlacementRequest, PreemptionPolicy, StarvationPolicy,
    TaskName, TaskState, VmCapacity, choose_vm, judge_urgency, rank_job,
};

/// A job of which nothing has run for this long may interfere with serving tasks. The users'
/// limit for the start of work that has capacity is 3 s.
const STARVATION_TIMEOUT: Duration = Duration::from_millis(2000);

/// Time for which a long-running job that has arrived waits for others.
const GATHERING_TIME: Duration = Duration::from_millis(100);

/// State of one round of placement: the capacity left and the tasks that did not fit.
pub(super) struct PlacementRound {
    pub(super) capacities: BTreeMap<String, VmCapacity>,
    /// The VM on which space is reserved for each task that is being moved.
    reserved: BTreeMap<TaskName, String>,
    failures: PlacementFailures,
    /// Jobs that have failed on a suspected VM and are not placed on one for now.
    failing_jobs: BTreeSet<JobCode>,
    usage: ServiceUsage,
    pub(super) turns: SuspectTurns,
    pub(super) now: MonoTime,
    pub(super) wall: WallTime,
}

/// Reserved and all processors of the VMs of each service, in thousandths.
#[derive(Default)]
pub(super) struct ServiceUsage {
    totals: BTreeMap<String, (u64, u64)>,
}

impl ServiceUsage {
    pub(super) fn new<'a>(capacities: impl Iterator<Item = &'a VmCapacity>) -> Self {
        let mut usage = Self::default();
        for vm in capacities {
            let total = usage.totals.entry(vm.service.clone()).or_default();
            let (free, all) = (vm.free.cores.as_millicores(), vm.cores.as_millicores());
            total.0 += all.saturating_sub(free);
            total.1 += all;
        }
        usage
    }

    /// Returns whether less than half of the service's processors are reserved.
    fn is_below_half(&self, service: &str) -> bool {
        let total = self.totals.get(service);
        total.is_none_or(|(reserved, all)| reserved * 2 < *all)
    }
}

/// A task and the VM chosen for it.
pub(super) struct TaskPlacement {
    pub(super) task: TaskName,
    pub(super) attempt: AttemptNumber,
    pub(super) vm: String,
}

impl JobScheduler {
    /// Places waiting tasks on VMs with free capacity. Agents are ordered to start them once the
    /// store has recorded the placements.
    ///
    /// Returns how many tasks were placed.
    pub fn place(&mut self, now: MonoTime, wall: WallTime) -> usize {
        self.fail_crashed_jobs(wall);
        if self.is_releasing {
            return 0;
        }
        let mut placed = self.place_next_suspects(now, wall);
        // What has become free goes first to long-running tasks that run nowhere, then to those of
        // draining endpoints: these may be gone 2 s after their notice, while a finite task only
        // waits for the next end.
        self.reserve_restarts(now);
        if self.may_evict(now) {
            self.move_long_running(now);
        }
        let FleetCapacity {
            vms: capacities,
            reserved,
        } = self.fleet_capacity(now);
        if capacities.is_empty() {
            return placed;
        }
        let mut round = PlacementRound {
            failing_jobs: self.failing_jobs(&capacities),
            usage: ServiceUsage::new(capacities.values()),
            turns: self.suspect_turns(),
            capacities,
            reserved,
            failures: PlacementFailures::new(),
            now,
            wall,
        };
        placed += self.place_interrupted(&mut round);
        let ranked = self.jobs_by_rank(wall);
        for code in &ranked {
            placed += self.place_job(*code, &mut round);
        }
        // Suspected VMs are left to jobs that have failed on one only after all others.
        let failing_jobs = std::mem::take(&mut round.failing_jobs);
        for code in ranked.iter().filter(|code| failing_jobs.contains(code)) {
            placed += self.place_job(*code, &mut round);
        }
        placed += self.place_booked(&mut round);
        if self.policies.preemption == PreemptionPolicy::Overdue {
            self.evict_overdue(now, wall);
        }
        placed
    }

    fn place_job(&mut self, code: JobCode, round: &mut PlacementRound) -> usize {
        let chosen = self.choose_vms(code, round);
        let placed = chosen.len();
        self.commit_choice(code, chosen, round.now, round.wall);
        placed
    }

    /// Assigns the tasks of a job to the VMs that were chosen in a round.
    pub(super) fn commit_choice(
        &mut self,
        code: JobCode,
        chosen: Vec<TaskPlacement>,
        now: MonoTime,
        wall: WallTime,
    ) {
        self.record_placements(code, &chosen, wall);
        self.assign(code, chosen, now);
    }

    /// Returns the open jobs that have failed on any suspected VM on which tasks may be placed.
    fn failing_jobs(&self, capacities: &BTreeMap<String, VmCapacity>) -> BTreeSet<JobCode> {
        let suspected = capacities.values().filter(|capacity| capacity.is_suspect);
        let suspicions = suspected
            .filter_map(|capacity| self.vms.get(&capacity.vm))
            .map(|vm| &vm.suspicion);
        let is_open = |code: &JobCode| {
            let job = self.jobs.get(code);
            job.is_some_and(|job| !job.phase.is_terminal())
        };
        let failing = suspicions.flat_map(VmSuspicion::failing_jobs);
        failing.filter(is_open).collect()
    }

    fn record_placements(&mut self, code: JobCode, chosen: &[TaskPlacement], wall: WallTime) {
        let Some(job) = self.jobs.get(&code).filter(|_| !chosen.is_empty()) else {
            return;
        };
        let urgency = judge_urgency(&job.spec, job.remaining(code), wall);
        let attempts = chosen.iter().map(|placement| {
            let key = AttemptKey {
                task: placement.task,
                attempt: placement.attempt,
            };
            (key, placement.vm.clone())
        });
        self.events.push(JobEvent::Placed {
            job: code,
            urgency,
            age: wall.since(job.spec.accepted_at),
            attempts: attempts.collect(),
        });
    }

    /// Returns the jobs with waiting tasks, in the order in which they are placed.
    pub(super) fn jobs_by_rank(&self, wall: WallTime) -> Vec<JobCode> {
        let mut ranked: Vec<(JobRank, JobCode)> = self
            .jobs
            .iter()
            .filter(|(_, job)| !job.phase.is_terminal() && has_waiting_tasks(job))
            .filter(|(_, job)| !self.is_gathering(job, wall))
            .filter(|(code, _)| self.is_placeable(**code))
            .map(|(code, job)| {
                let remaining = job.remaining(*code);
                let has_begun = job.phase == JobPhase::Running;
                let rank = rank_job(&job.spec, remaining, wall)
                    .with_order(self.policies.long_running_order, &job.spec)
                    .with_job_order(
                        self.policies.job_order,
                        &job.spec,
                        remaining,
                        has_begun,
                        wall,
                    );
                (rank, *code)
            })
            .collect();
        ranked.sort();
        ranked.into_iter().map(|(_, code)| code).collect()
    }

    /// Returns the service whose endpoints run a job: the one that the operators route its
    /// queue to now.
    pub(super) fn service<'a>(&'a self, job: &'a JobState) -> &'a str {
        let queue = self.queues.get(&job.spec.queue.route);
        &queue.unwrap_or(&job.spec.queue).service
    }

    /// Returns whether a long-running job waits for others that may arrive at the same time.
    pub(super) fn is_gathering(&self, job: &JobState, wall: WallTime) -> bool {
        match self.policies.long_running_start {
            LongRunningStart::AtOnce => false,
            LongRunningStart::Gathered => {
                job.phase == JobPhase::Queued
                    && job.spec.is_long_running()
                    && wall < job.spec.accepted_at.after(GATHERING_TIME)
            }
        }
    }

    fn choose_vms(&self, code: JobCode, round: &mut PlacementRound) -> Vec<TaskPlacement> {
        let Some(job) = self.jobs.get(&code) else {
            return Vec::new();
        };
        let service = self.service(job);
        let mut chosen = Vec::new();
        for occurrence in 0..job.spec.occurrences() {
            if !is_due(job, occurrence, round.wall) {
                break;
            }
            for step in 0..job.spec.steps.len() as u32 {
                let step = (occurrence, step);
                chosen.extend(self.choose_step(code, job, service, step, round));
            }
        }
        chosen
    }

    /// Chooses VMs for the waiting tasks of one step; for a gang, for all of them or none.
    fn choose_step(
        &self,
        code: JobCode,
        job: &JobState,
        service: &str,
        (occurrence, number): (u32, u32),
        round: &mut PlacementRound,
    ) -> Vec<TaskPlacement> {
        let Some(step) = job.spec.steps.get(number as usize) else {
            return Vec::new();
        };
        let first = TaskName {
            job: code,
            occurrence,
            step: number,
            index: 0,
        };
        let waiting: Vec<TaskName> = job
            .tasks
            .range(first.step_range())
            .filter(|(_, state)| state.is_waiting())
            .map(|(name, _)| *name)
            .collect();
        if waiting.is_empty() || !job.is_ready(&first) {
            return Vec::new();
        }
        // Members of a gang start together, once no earlier attempt of them is running.
        if step.is_gang && waiting.len() < step.count as usize {
            return Vec::new();
        }
        let request = PlacementRequest {
            service,
            step,
            table: &self.headroom,
            is_starved: false,
        };
        let is_starved = self.is_starved(job, service, &round.usage, round.wall);
        let has_reservation = waiting.iter().any(|task| round.reserved.contains_key(task));
        if !is_starved && !has_reservation && round.failures.covers(service, step) {
            return Vec::new();
        }
        // Only a gang restores the capacities. Copying them for each step of a backlog
        // takes more time than all the rest of a placement.
        let saved = step.is_gang.then(|| round.capacities.clone());
        let mut chosen: Vec<TaskPlacement> = Vec::new();
        // A task of the step without restrictions of its own fits no VM, so only reserved space is
        // left for the others.
        let mut is_full = false;
        for task in waiting {
            let Some(state) = job.tasks.get(&task) else {
                continue;
            };
            let attempt = state.attempt;
            // Members of a gang start together, on few VMs.
            let is_suspect = state.crashes.is_suspect && !step.is_gang;
            let reserved = round.reserved.get(&task);
            let reserved = reserved.filter(|vm| is_eligible(&request, round, vm));
            if let Some(vm) = reserved.cloned() {
                chosen.push(TaskPlacement {
                    task,
                    attempt: attempt.next(),
                    vm,
                });
                continue;
            }
            if is_full || (is_suspect && round.turns.is_settled(&task, service, step)) {
                continue;
            }
            let placed = |vm: &str| {
                let existing = self.count_step(vm, &first);
                // Reserved space is counted already.
                let new = chosen.iter().filter(|placement| {
                    placement.vm == vm && !round.reserved.contains_key(&placement.task)
                });
                existing + new.count() as u32
            };
            let avoided = self.avoided_vm(&task, round.now);
            let is_failing = round.failing_jobs.contains(&code);
            let is_excluded = |capacity: &VmCapacity| {
                capacity.is_suspect && (is_failing || !self.may_retry(code, capacity, round.now))
            };
            let has_exclusion = round.capacities.values().any(is_excluded);
            let open = || {
                round.capacities.values().filter(move |capacity| {
                    avoided != Some(capacity.vm.as_str()) && !is_excluded(capacity)
                })
            };
            let is_preferred = |capacity: &&VmCapacity| !self.has_rejected(&task, &capacity.vm);
            let has_turn = |capacity: &&VmCapacity| !is_suspect || round.turns.is_open(capacity);
            let may_book = |capacity: &&VmCapacity| round.turns.may_book(capacity);
            let has_rejections = self.rejections.contains_key(&task);
            let starved = PlacementRequest {
                is_starved: true,
                ..request
            };
            let find = |request: &PlacementRequest<'_>, with_rejected: bool| {
                let eligible = || open().filter(|capacity| with_rejected || is_preferred(capacity));
                let found = choose_vm(request, eligible().filter(has_turn), placed);
                found.or_else(|| {
                    is_suspect.then(|| choose_vm(request, eligible().filter(may_book), placed))?
                })
            };
            let is_alone = is_starved && chosen.is_empty();
            let found = find(&request, false)
                .or_else(|| has_rejections.then(|| find(&request, true))?)
                .or_else(|| is_alone.then(|| find(&starved, true))?);
            let Some(found) = found else {
                // The capacity reserved for the gang's other members is released again,
                // so a gang's failure says nothing about later tasks.
                if step.is_gang {
                    break;
                }
                // Another task may fit the VM to which this one must not return.
                if avoided.is_some() {
                    continue;
                }
                // Other tasks may fit a VM that another suspected one takes next.
                if is_suspect {
                    if !has_exclusion {
                        round.turns.record_failure(service, step);
                    }
                    continue;
                }
                is_full = true;
                if !has_exclusion {
                    round.failures.record(service, step);
                }
                continue;
            };
            let vm = found.vm.clone();
            let waits_for_turn = is_suspect && !round.turns.is_open(found);
            let is_probe = found.is_suspect && !step.is_gang;
            if let Some(capacity) = round.capacities.get_mut(&vm) {
                capacity.add(&task, step, &self.headroom);
            }
            if waits_for_turn {
                round.turns.book(&vm, task);
                continue;
            }
            if is_suspect || is_probe {
                round.capacities.remove(&vm);
            }
            chosen.push(TaskPlacement {
                task,
                attempt: attempt.next(),
                vm,
            });
        }
        if step.is_gang {
            if chosen.len() < step.count as usize {
                if let Some(saved) = saved {
                    round.capacities = saved;
                }
                return Vec::new();
            }
            let attempt = chosen
                .iter()
                .map(|placement| placement.attempt)
                .max()
                .unwrap_or_default();
            for placement in &mut chosen {
                placement.attempt = attempt;
            }
            // One gang is tried on a suspected VM, as a whole.
            let used: BTreeSet<&str> = chosen.iter().map(|member| member.vm.as_str()).collect();
            round
                .capacities
                .retain(|vm, capacity| !capacity.is_suspect || !used.contains(vm.as_str()));
        }
        chosen
    }

    /// Returns whether a job may be placed on a VM on which it may have failed.
    pub(super) fn may_retry(&self, code: JobCode, capacity: &VmCapacity, now: MonoTime) -> bool {
        let vm = self.vms.get(&capacity.vm);
        !capacity.is_suspect || vm.is_none_or(|vm| vm.suspicion.may_retry(code, now))
    }

    /// Returns whether a task of the job may interfere with serving tasks, because none of its
    /// tasks runs and it has waited long enough.
    pub(super) fn is_starved(
        &self,
        job: &JobState,
        service: &str,
        usage: &ServiceUsage,
        wall: WallTime,
    ) -> bool {
        let is_idle = job.tasks.values().all(|state| state.location.is_none());
        let may_interfere = match self.policies.starvation {
            StarvationPolicy::Always => true,
            StarvationPolicy::BelowHalfUse => usage.is_below_half(service),
        };
        may_interfere && is_idle && wall > job.spec.accepted_at.after(STARVATION_TIMEOUT)
    }

    /// Assigns the tasks to the chosen VMs; the next commit records it in the store.
    fn assign(&mut self, code: JobCode, chosen: Vec<TaskPlacement>, now: MonoTime) {
        if chosen.is_empty() {
            return;
        }
        self.touch(code);
        let Some(job) = self.jobs.get_mut(&code) else {
            return;
        };
        let revision = job.revision;
        share_checkpoint(job, &chosen);
        for placement in chosen {
            self.moves.remove(&placement.task);
            let Some(vm) = self.vms.get_mut(&placement.vm) else {
                continue;
            };
            let (Some(info), Some(step), Some(state)) = (
                &vm.info,
                job.spec.steps.get(placement.task.step as usize),
                job.tasks.get_mut(&placement.task),
            ) else {
                continue;
            };
            let location = AttemptLocation {
                vm: placement.vm,
                incarnation: info.incarnation.clone(),
            };
            state.attempt = placement.attempt;
            state.location = Some(location.clone());
            let mut attempt = VmAttempt::new(location, step);
            attempt.revision = revision;
            attempt.progressed_at = now;
            attempt.placed_at = now;
            attempt.is_suspect = state.crashes.is_suspect && !step.is_gang;
            let key = AttemptKey {
                task: placement.task,
                attempt: placement.attempt,
            };
            vm.yields_turn = attempt.is_suspect;
            vm.attempts.insert(key, attempt);
            vm.suspicion.record_placement(now);
        }
    }
}

/// Returns whether a VM may still run a task whose space is reserved there: the queue may go to
/// another service since.
fn is_eligible(request: &PlacementRequest<'_>, round: &PlacementRound, vm: &str) -> bool {
    let capacity = round.capacities.get(vm);
    capacity.is_none_or(|capacity| request.lasting_exclusion(capacity).is_none())
}

/// Makes all members of a gang resume from the same checkpoint.
fn share_checkpoint(job: &mut JobState, chosen: &[TaskPlacement]) {
    let gangs: BTreeSet<(u32, u32)> = chosen
        .iter()
        .filter(|placement| {
            job.spec
                .steps
                .get(placement.task.step as usize)
                .is_some_and(|step| step.is_gang)
        })
        .map(|placement| (placement.task.occurrence, placement.task.step))
        .collect();
    for (occurrence, step) in gangs {
        let members = chosen
            .iter()
            .map(|placement| placement.task)
            .filter(|task| (task.occurrence, task.step) == (occurrence, step));
        let shared = members
            .clone()
            .filter_map(|task| job.tasks.get(&task))
            .map(|state| state.checkpoint.clone())
            .max()
            .unwrap_or_default();
        for task in members {
            job.save_checkpoint(&task, &shared);
        }
    }
}

/// Returns whether any task of the job is waiting to be placed.
fn has_waiting_tasks(job: &JobState) -> bool {
    job.tasks.values().any(TaskState::is_waiting)
}

/// Returns whether an occurrence of the job may start.
pub(super) fn is_due(job: &JobState, occurrence: u32, wall: WallTime) -> bool {
    job.spec.repeat.is_none_or(|repeat| {
        let due = repeat.first_due_at.after(repeat.interval * occurrence);
        wall >= due
    })
}
