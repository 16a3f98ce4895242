//! Computes the load of the queues, for admission and for callers who ask for it.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use turmeric_schema::v1;
use turmeric_types::{MonoTime, WallTime};

use super::JobScheduler;
use crate::{JobPhase, JobState, JobUrgency, StepSpec, VmCapacity, judge_urgency};

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
#[derive(Clone, Copy)]
struct JobBacklog {
    /// Work of the job that is left, in core-milliseconds.
    left: u64,
    /// Work of waiting tasks, in core-milliseconds; in the steps of a queue, the sum up to
    /// and including this job.
    waiting: u64,
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
        let mut totals: BTreeMap<(&str, JobUrgency), LoadTotals> = BTreeMap::new();
        for (code, job) in self.jobs.iter().filter(|(_, job)| !job.phase.is_terminal()) {
            let urgency = judge_urgency(&job.spec, job.remaining(*code), wall);
            let sum = totals.entry((&job.spec.queue.route, urgency)).or_default();
            sum.jobs += 1;
            sum.tasks += job.tasks.values().filter(|task| task.is_waiting()).count();
            sum.work = sum.work.saturating_add(waiting_work(job, wall));
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
            self.batch_capacity()
        ));
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
    /// none. A delay computed from these VMs alone would refuse every job.
    ///
    /// Load pattern: an overload has left hundreds of jobs late. A job that arrives now is
    /// placed before them, so their work delays no new job.
    pub(super) fn queue_loads(&mut self, now: MonoTime, wall: WallTime) -> Vec<v1::QueueLoad> {
        let is_recent = now < self.loads_computed_at.after(LOAD_INTERVAL);
        if now >= self.took_over_at.after(ESTIMATE_WAIT) && !is_recent {
            self.loads_computed_at = now;
            self.loads = self.compute_loads(wall);
        }
        self.loads.clone()
    }

    fn compute_loads(&self, wall: WallTime) -> Vec<v1::QueueLoad> {
        let mut totals: BTreeMap<&str, QueueTotals> = BTreeMap::new();
        for (code, job) in self.jobs.iter().filter(|(_, job)| !job.phase.is_terminal()) {
            let sum = totals.entry(&job.spec.queue.route).or_default();
            sum.priority = job.spec.queue.priority;
            if job.phase == JobPhase::Queued && job.spec.repeat.is_none() {
                sum.waiting += 1;
            }
            let remaining = job.remaining(*code);
            if judge_urgency(&job.spec, remaining, wall) == JobUrgency::InTime {
                sum.backlog.push(JobBacklog {
                    left: remaining.core_millis,
                    waiting: waiting_work(job, wall),
                });
            }
        }
        let capacity = self.batch_capacity();
        // Without a VM on which tasks may be placed, the delay is unknown and published as 0.
        let delay = |ahead: u64| {
            ahead
                .saturating_mul(1000)
                .checked_div(capacity)
                .unwrap_or(0)
        };
        totals
            .iter()
            .map(|(route, sum)| {
                let steps = work_steps(&totals, sum.priority);
                let all = steps.last().map_or(0, |step| step.waiting);
                v1::QueueLoad {
                    route: (*route).to_owned(),
                    waiting: sum.waiting,
                    delay_millis: delay(all),
                    steps: steps
                        .iter()
                        .map(|step| v1::WorkDelay {
                            work: step.left,
                            delay_millis: delay(step.waiting),
                        })
                        .collect(),
                }
            })
            .collect()
    }

    /// Returns the processors that long-running jobs do not reserve, in thousandths.
    fn batch_capacity(&self) -> u64 {
        self.vms
            .values()
            .filter(|vm| vm.is_ready)
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

/// Returns how much work waits ahead of a job of a queue with `priority`, by the work that the
/// job has: the work of all queues of better priority, and of the jobs of its own priority
/// with no more work than it has.
fn work_steps(totals: &BTreeMap<&str, QueueTotals>, priority: u32) -> Vec<JobBacklog> {
    let better = totals.values().filter(|sum| sum.priority < priority);
    let mut ahead = better
        .flat_map(|sum| &sum.backlog)
        .fold(0, |ahead: u64, job| ahead.saturating_add(job.waiting));
    let equal = totals.values().filter(|sum| sum.priority == priority);
    let mut jobs: Vec<JobBacklog> = equal.flat_map(|sum| sum.backlog.clone()).collect();
    jobs.sort_by_key(|job| job.left);
    for job in &mut jobs {
        ahead = ahead.saturating_add(job.waiting);
        job.waiting = ahead;
    }
    let count = jobs.len();
    if count == 0 {
        return vec![JobBacklog {
            left: 0,
            waiting: ahead,
        }];
    }
    let steps = WORK_STEPS.min(count);
    (1..=steps)
        .map(|step| jobs[step * count / steps - 1])
        .collect()
}

/// Returns the work of a job's waiting tasks, in core-milliseconds.
fn waiting_work(job: &JobState, wall: WallTime) -> u64 {
    if job.spec.is_long_running() {
        return 0;
    }
    // A repeated job that is not due yet adds no work now.
    if job
        .spec
        .repeat
        .is_some_and(|repeat| repeat.first_due_at > wall)
    {
        return 0;
    }
    job.tasks
        .iter()
        .filter(|(_, state)| state.is_waiting())
        .filter_map(|(name, _)| job.spec.steps.get(name.step as usize))
        .filter(|step| !step.is_best_effort)
        .map(StepSpec::task_work)
        .sum()
}
