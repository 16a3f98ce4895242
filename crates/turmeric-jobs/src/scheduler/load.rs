//! Computes the load of the queues, for admission and for callers who ask for it.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

use turmeric_schema::v1;
use turmeric_types::{MonoTime, WallTime};

use super::JobScheduler;
use crate::{
    AdmissionAccount, JobPhase, JobState, JobUrgency, PlacementRequest, RepeatPlan, StepSpec,
    TaskName, VmCapacity, judge_urgency,
};

/// Time within which the agents find a new leader. They look for it every 300 to 450 ms, and
/// a call takes 0.25 s when the store is slow.
const ESTIMATE_WAIT: Duration = Duration::from_millis(1500);

/// Time between two computations of the loads, each of which visits all tasks of all jobs.
/// Callers are guaranteed a count that is at most 2 s old.
const LOAD_INTERVAL: Duration = Duration::from_millis(150);

/// Totals of one queue.
#[derive(Default)]
struct QueueTotals {
    /// Jobs of which no task has started.
    waiting: u32,
    /// Backlog of each job that can still meet its objective.
    backlog: Vec<JobBacklog>,
    /// Priority of the queue; zero comes first.
    priority: u32,
}

/// Totals of the jobs of one queue and urgency, for the log.
#[derive(Default)]
struct LoadTotals {
    jobs: usize,
    /// Waiting tasks.
    tasks: usize,
    /// Work of the waiting tasks, in core-milliseconds.
    work: u64,
}

impl fmt::Display for LoadTotals {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} jobs, {} waiting tasks, {} core-ms",
            self.jobs, self.tasks, self.work
        )
    }
}

/// Backlog of one job, or of several jobs in order.
#[derive(Clone, Copy, Default)]
struct JobBacklog {
    /// Work of the job that is left, in core-milliseconds.
    left: u64,
    /// Work of waiting tasks that reserve processors, in core-milliseconds; in the steps of a
    /// queue, the sum up to and including this job.
    waiting: u64,
    /// The same of waiting best-effort tasks; 0 unless the policy counts them.
    best_effort: u64,
}

impl JobBacklog {
    /// Adds the waiting work of the jobs ahead.
    fn behind(self, ahead: Self) -> Self {
        Self {
            left: self.left,
            waiting: ahead.waiting.saturating_add(self.waiting),
            best_effort: ahead.best_effort.saturating_add(self.best_effort),
        }
    }

    fn total(&self) -> u64 {
        self.waiting.saturating_add(self.best_effort)
    }
}

/// What distinguishes tasks for the question whether one can start: the service, whether they
/// are best-effort, the image and the label.
type TaskKind<'a> = (&'a str, bool, Option<&'a str>, Option<&'a str>);

/// Which tasks like the smallest ones of a queue's open jobs could start now.
#[derive(Default)]
struct StartableKinds {
    /// A task that reserves processors fits a VM.
    reserved: bool,
    /// A best-effort task fits a VM.
    best_effort: bool,
}

/// Most steps in which the delay of a queue is published, by the work of a job.
const WORK_STEPS: usize = 6;

impl JobScheduler {
    /// Describes the free capacity of all VMs, for the log.
    pub fn describe_capacities(&self, now: MonoTime) -> String {
        let mut text = String::new();
        for (name, vm) in &self.vms {
            match vm.free_capacity(name, &self.headroom, now) {
                Some(capacity) => text.push_str(&format!(
                    "{name}: free {} idle {} serving {} best-effort {} headroom {:.2}; ",
                    capacity.free.cores,
                    capacity.idle(),
                    capacity.serving_tasks,
                    capacity.best_effort_tasks,
                    capacity.least_headroom()
                )),
                None => text.push_str(&format!("{name}: accepts no tasks; ")),
            }
        }
        text.push_str(&self.headroom.describe());
        text
    }

    /// Describes the waiting work by queue and urgency, and the VMs' free processors, for the log.
    pub fn describe_load(&self, now: MonoTime, wall: WallTime) -> String {
        let unstarted = self.unreachable_tasks(now);
        let mut totals: BTreeMap<(&str, JobUrgency), LoadTotals> = BTreeMap::new();
        for (code, job) in self.jobs.iter().filter(|(_, job)| !job.phase.is_terminal()) {
            let urgency = judge_urgency(&job.spec, job.remaining(*code), wall);
            let sum = totals.entry((&job.spec.queue.route, urgency)).or_default();
            sum.jobs += 1;
            sum.tasks += job.tasks.values().filter(|task| task.is_waiting()).count();
            sum.work = sum
                .work
                .saturating_add(waiting_work(job, wall, false, &unstarted));
            if self.counts_all_work() {
                sum.work = sum
                    .work
                    .saturating_add(waiting_work(job, wall, true, &unstarted));
            }
        }
        let mut text: String = totals
            .iter()
            .map(|((route, urgency), sum)| format!("{route} {urgency:?}: {sum}; "))
            .collect();
        let vms = self.vms.iter();
        let capacities: Vec<VmCapacity> = vms
            .filter_map(|(name, vm)| vm.free_capacity(name, &self.headroom, now))
            .collect();
        let free: u64 = capacities
            .iter()
            .map(|capacity| capacity.free.cores.as_millicores())
            .sum();
        let idle: u64 = capacities
            .iter()
            .map(|capacity| capacity.idle().as_millicores())
            .sum();
        text.push_str(&format!(
            "{} of {} VMs accept tasks, {free} millicores free, {idle} idle, {} for batch",
            capacities.len(),
            self.vms.len(),
            self.batch_capacity(now)
        ));
        if self.counts_all_work() {
            let capacity = best_effort_capacity(&self.fleet_capacity(now).vms);
            text.push_str(&format!(", {capacity} for best-effort"));
        }
        text
    }

    /// Lists at most `limit` long-running tasks that run on no VM, for the log.
    pub fn describe_unplaced(&self, limit: usize) -> String {
        let unplaced = self
            .jobs
            .values()
            .filter(|job| !job.phase.is_terminal() && job.spec.is_long_running())
            .flat_map(|job| &job.tasks)
            .filter(|(_, state)| state.location.is_none());
        let names = unplaced.map(|(name, state)| format!("{name} after attempt {}", state.attempt));
        names.take(limit).collect::<Vec<_>>().join(", ")
    }

    /// Returns the load of each queue that has jobs.
    ///
    /// Load pattern: a leader has just taken over amid a backlog and has reports of few VMs or
    /// none. A delay computed from these VMs alone would refuse every job, so the earlier leader's
    /// delays are published for a while. What waits is known from the recorded jobs.
    ///
    /// Load pattern: an overload has left hundreds of jobs late. A job that arrives now is
    /// placed before them, so their work delays no new job.
    pub(super) fn queue_loads(&mut self, now: MonoTime, wall: WallTime) -> Vec<v1::QueueLoad> {
        if now >= self.loads_computed_at.after(LOAD_INTERVAL) {
            self.loads_computed_at = now;
            if now >= self.took_over_at.after(ESTIMATE_WAIT) {
                self.loads = self.compute_loads(now, wall);
            } else {
                self.update_waiting_counts();
            }
        }
        self.loads.clone()
    }

    /// Replaces the numbers of waiting jobs in the earlier leader's loads.
    fn update_waiting_counts(&mut self) {
        let mut counts: BTreeMap<&str, u32> = BTreeMap::new();
        for job in self.jobs.values().filter(|job| counts_as_waiting(job)) {
            *counts.entry(&job.spec.queue.route).or_default() += 1;
        }
        for load in &mut self.loads {
            load.waiting = counts.remove(load.route.as_str()).unwrap_or_default();
        }
        let others = counts.into_iter().map(|(route, waiting)| v1::QueueLoad {
            route: route.to_owned(),
            waiting,
            ..v1::QueueLoad::default()
        });
        self.loads.extend(others);
    }

    /// Returns the tasks that are placed on VMs which do not answer, and are not known to have
    /// started there. They will be placed again.
    ///
    /// A VM whose agent has not found this leader yet may run all that was placed on it.
    fn unreachable_tasks(&self, now: MonoTime) -> BTreeSet<TaskName> {
        let known = self.vms.values().filter(|vm| vm.knows_leader);
        let unreachable = known.filter(|vm| !vm.is_reachable(now));
        let attempts = unreachable.flat_map(|vm| &vm.attempts);
        let unstarted =
            attempts.filter(|(key, attempt)| !attempt.is_confirmed && self.is_wanted(key, attempt));
        unstarted.map(|(key, _)| key.task).collect()
    }

    /// Returns whether best-effort work counts in the loads.
    fn counts_all_work(&self) -> bool {
        self.policies.admission_account == AdmissionAccount::AllWork
    }

    fn compute_loads(&self, now: MonoTime, wall: WallTime) -> Vec<v1::QueueLoad> {
        let unstarted = self.unreachable_tasks(now);
        let mut totals: BTreeMap<&str, QueueTotals> = BTreeMap::new();
        for (code, job) in self.jobs.iter().filter(|(_, job)| !job.phase.is_terminal()) {
            let sum = totals.entry(&job.spec.queue.route).or_default();
            sum.priority = job.spec.queue.priority;
            sum.waiting += u32::from(counts_as_waiting(job));
            let remaining = job.remaining(*code);
            if judge_urgency(&job.spec, remaining, wall) == JobUrgency::InTime {
                let best_effort = if self.counts_all_work() {
                    waiting_work(job, wall, true, &unstarted)
                } else {
                    0
                };
                sum.backlog.push(JobBacklog {
                    left: remaining.core_millis,
                    waiting: waiting_work(job, wall, false, &unstarted),
                    best_effort,
                });
            }
        }
        let capacity = self.batch_capacity(now);
        // Without a VM on which tasks may be placed, the delay is unknown and published as 0.
        let delay = |ahead: u64, capacity: u64| {
            ahead
                .saturating_mul(1000)
                .checked_div(capacity)
                .unwrap_or(0)
        };
        let fleet = self.counts_all_work().then(|| self.fleet_capacity(now).vms);
        let best_effort_capacity = fleet.as_ref().map_or(0, best_effort_capacity);
        totals
            .iter()
            .map(|(route, sum)| {
                // Jobs of queues with priority 0 are admitted by reserved work alone.
                let fleet = fleet.as_ref().filter(|_| sum.priority > 0);
                let startable = fleet.map(|vms| self.startable_kinds(route, vms));
                let delay = |ahead: &JobBacklog| match &startable {
                    None => delay(ahead.waiting, capacity),
                    Some(startable) => {
                        // The two kinds of work are done in parallel.
                        let reserved = if startable.reserved {
                            0
                        } else {
                            delay(ahead.waiting, capacity)
                        };
                        let best_effort = if startable.best_effort {
                            0
                        } else {
                            delay(ahead.best_effort, best_effort_capacity)
                        };
                        reserved.max(best_effort)
                    }
                };
                let (all, steps) = if startable.is_some() {
                    lower_steps(&totals, sum.priority)
                } else {
                    let steps = work_steps(&totals, sum.priority);
                    (steps.last().copied().unwrap_or_default(), steps)
                };
                v1::QueueLoad {
                    route: (*route).to_owned(),
                    waiting: sum.waiting,
                    delay_millis: delay(&all),
                    steps: steps
                        .iter()
                        .map(|step| v1::WorkDelay {
                            work: step.left,
                            delay_millis: delay(step),
                        })
                        .collect(),
                }
            })
            .collect()
    }

    /// Returns whether the smallest tasks of a queue's open jobs fit a VM now. A job like
    /// these could start at once, so it must not be refused, whatever waits before it.
    fn startable_kinds(&self, route: &str, vms: &BTreeMap<String, VmCapacity>) -> StartableKinds {
        let mut least: BTreeMap<TaskKind<'_>, StepSpec> = BTreeMap::new();
        let open = self.jobs.values().filter(|job| !job.phase.is_terminal());
        for job in open.filter(|job| job.spec.queue.route == route) {
            for step in job.spec.steps.iter().filter(|step| !step.is_long_running) {
                let kind = (
                    self.service(job),
                    step.is_best_effort,
                    step.image.as_deref(),
                    step.label.as_deref(),
                );
                let smallest = least.entry(kind).or_insert_with(|| StepSpec {
                    // How many tasks of its step a VM may have differs by job.
                    vm_limit: None,
                    ..step.clone()
                });
                if step.need.cores < smallest.need.cores {
                    smallest.need = step.need;
                }
            }
        }
        let mut startable = StartableKinds::default();
        for ((service, is_best_effort, ..), step) in &least {
            let request = PlacementRequest {
                service,
                step,
                table: &self.headroom,
                is_starved: false,
            };
            let fits = vms.values().any(|vm| request.fits(vm, || 0));
            if *is_best_effort {
                startable.best_effort |= fits;
            } else {
                startable.reserved |= fits;
            }
        }
        startable
    }

    /// Returns the processors of the VMs that answer and that long-running jobs do not reserve, in
    /// thousandths.
    fn batch_capacity(&self, now: MonoTime) -> u64 {
        self.vms
            .values()
            .filter(|vm| vm.is_ready && vm.is_reachable(now))
            .filter_map(|vm| {
                let info = vm.info.as_ref()?;
                let long_running: u64 = vm
                    .attempts
                    .iter()
                    .filter(|(key, _)| {
                        self.jobs
                            .get(&key.task.job)
                            .is_some_and(|job| job.spec.is_long_running())
                    })
                    .map(|(_, attempt)| attempt.reserved.cores.as_millicores())
                    .sum();
                Some(
                    info.capacity
                        .cores
                        .as_millicores()
                        .saturating_sub(long_running),
                )
            })
            .sum()
    }
}

/// Returns the processors that best-effort tasks use or could use, in thousandths: those that
/// are free, and the part of serving reservations that is assumed idle.
fn best_effort_capacity(vms: &BTreeMap<String, VmCapacity>) -> u64 {
    vms.values()
        .map(|vm| vm.idle().as_millicores() + vm.best_effort_demand.as_millicores())
        .sum()
}

/// Returns the backlog of all queues of better priority, and of each job of its own priority
/// in order of work, each with all that is ahead of it.
fn ordered_backlog(
    totals: &BTreeMap<&str, QueueTotals>,
    priority: u32,
) -> (JobBacklog, Vec<JobBacklog>) {
    let better = totals.values().filter(|sum| sum.priority < priority);
    let better = better
        .flat_map(|sum| &sum.backlog)
        .fold(JobBacklog::default(), |ahead, job| job.behind(ahead));
    let better = JobBacklog { left: 0, ..better };
    let equal = totals.values().filter(|sum| sum.priority == priority);
    let mut jobs: Vec<JobBacklog> = equal.flat_map(|sum| sum.backlog.clone()).collect();
    jobs.sort_by_key(|job| job.left);
    let mut ahead = better;
    for job in &mut jobs {
        *job = job.behind(ahead);
        ahead = *job;
    }
    (better, jobs)
}

/// Returns how much work waits ahead of a job of a queue with `priority`, by the work that the
/// job has: the work of all queues of better priority, and of the jobs of its own priority
/// with no more work than it has.
fn work_steps(totals: &BTreeMap<&str, QueueTotals>, priority: u32) -> Vec<JobBacklog> {
    let (better, jobs) = ordered_backlog(totals, priority);
    let count = jobs.len();
    if count == 0 {
        return vec![better];
    }
    let steps = WORK_STEPS.min(count);
    (1..=steps)
        .map(|step| jobs[step * count / steps - 1])
        .collect()
}

/// Returns the same in steps that each end before a job, and the whole backlog.
///
/// Load pattern: a few small jobs and many large ones wait. A step that ends with a large job
/// would charge its work to a small job that arrives, which is placed before it. The steps
/// divide the waiting work, not the jobs, so that they end where it rises most.
fn lower_steps(
    totals: &BTreeMap<&str, QueueTotals>,
    priority: u32,
) -> (JobBacklog, Vec<JobBacklog>) {
    let (better, jobs) = ordered_backlog(totals, priority);
    let all = jobs.last().copied().unwrap_or(better);
    let own = all.total() - better.total();
    let mut steps: Vec<JobBacklog> = Vec::new();
    for part in 0..WORK_STEPS as u64 {
        let bound = better
            .total()
            .saturating_add(own / WORK_STEPS as u64 * part);
        let Some(job) = jobs.iter().find(|job| job.total() > bound) else {
            continue;
        };
        // All jobs with less work than this one are ahead of a job that has less, too.
        let before = jobs.iter().take_while(|other| other.left < job.left);
        let ahead = before.last().copied().unwrap_or(better);
        let left = job.left.saturating_sub(1);
        if steps.last().is_none_or(|step| step.left < left) {
            steps.push(JobBacklog { left, ..ahead });
        }
    }
    (all, steps)
}

/// Returns whether the job's waiting tasks are work that delays others now.
fn delays_others(job: &JobState, wall: WallTime) -> bool {
    // A repeated job that is not due yet adds no work now.
    let is_due = |repeat: RepeatPlan| repeat.first_due_at <= wall;
    !job.spec.is_long_running() && job.spec.repeat.is_none_or(is_due)
}

/// Returns whether callers are told that the job waits: no worker is known to have started a task
/// of it.
fn counts_as_waiting(job: &JobState) -> bool {
    job.phase == JobPhase::Queued && job.spec.repeat.is_none()
}

/// Returns the work of a job's waiting tasks of one kind, in core-milliseconds: of those that are
/// not placed, and of those in `unstarted`.
fn waiting_work(
    job: &JobState,
    wall: WallTime,
    is_best_effort: bool,
    unstarted: &BTreeSet<TaskName>,
) -> u64 {
    if !delays_others(job, wall) {
        return 0;
    }
    job.tasks
        .iter()
        .filter(|(name, state)| state.is_waiting() || (!state.is_done && unstarted.contains(name)))
        .filter_map(|(name, _)| job.spec.steps.get(name.step as usize))
        .filter(|step| step.is_best_effort == is_best_effort)
        .map(StepSpec::task_work)
        .sum()
}
