//! How loaded the queues are, for admission and for callers who ask.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use turmeric_schema::v1;
use turmeric_types::{MonoTime, WallTime};

use super::JobScheduler;
use crate::{JobPhase, JobState, JobUrgency, StepSpec, VmCapacity, judge_urgency};

/// Time in which the agents find a new leader: they look for it every 300 to
/// 450 ms, and a call takes 0.25 s when the store is slow.
const ESTIMATE_WAIT: Duration = Duration::from_millis(1500);

/// Time between two reckonings of the loads, which walk all tasks of all jobs;
/// callers are promised a count that is at most 2 s old.
const LOAD_INTERVAL: Duration = Duration::from_millis(150);

#[derive(Default)]
struct QueueSum {
    waiting: u32,
    /// Work left of each job in time, and what of it waits, in core-milliseconds.
    backlog: Vec<JobBacklog>,
    priority: u32,
}

/// Jobs of one queue and urgency, for the log.
#[derive(Default)]
struct LoadSum {
    jobs: usize,
    /// Tasks that wait.
    tasks: usize,
    /// Their work, in core-milliseconds.
    work: u64,
}

impl fmt::Display for LoadSum {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} jobs, {} tasks wait, {} core-ms",
            self.jobs, self.tasks, self.work
        )
    }
}

#[derive(Clone, Copy)]
struct JobBacklog {
    left: u64,
    waiting: u64,
}

/// Steps in which the delay of a queue is told by the work of a job.
const WORK_STEPS: usize = 6;

impl JobScheduler {
    /// Describes the rooms of all VMs, for the log.
    pub fn describe_rooms(&self, now: MonoTime) -> String {
        let mut text = String::new();
        for (name, vm) in &self.vms {
            match vm.room(name, &self.headroom, now) {
                Some(room) => text.push_str(&format!(
                    "{name}: free {} idle {} serving {} filling {} headroom {:.2}; ",
                    room.free.cores,
                    room.idle(),
                    room.serving_tasks,
                    room.best_effort_tasks,
                    room.least_headroom()
                )),
                None => text.push_str(&format!("{name}: takes nothing; ")),
            }
        }
        text.push_str(&self.headroom.describe());
        text
    }

    /// Describes the waiting work by queue and urgency and the VMs' processors, for
    /// the log.
    pub fn describe_load(&self, now: MonoTime, wall: WallTime) -> String {
        let mut sums: BTreeMap<(&str, JobUrgency), LoadSum> = BTreeMap::new();
        for (code, job) in self.jobs.iter().filter(|(_, job)| !job.phase.is_terminal()) {
            let urgency = judge_urgency(&job.spec, job.remaining(*code), wall);
            let sum = sums.entry((&job.spec.queue.route, urgency)).or_default();
            sum.jobs += 1;
            sum.tasks += job.tasks.values().filter(|task| task.is_waiting()).count();
            sum.work = sum.work.saturating_add(waiting_work(job, wall));
        }
        let mut text: String = sums
            .iter()
            .map(|((route, urgency), sum)| format!("{route} {urgency:?}: {sum}; "))
            .collect();
        let rooms = self.vms.iter();
        let rooms: Vec<VmCapacity> = rooms
            .filter_map(|(name, vm)| vm.room(name, &self.headroom, now))
            .collect();
        let free: u64 = rooms
            .iter()
            .map(|room| room.free.cores.as_millicores())
            .sum();
        let idle: u64 = rooms.iter().map(|room| room.idle().as_millicores()).sum();
        text.push_str(&format!(
            "{} of {} VMs take tasks, {free} millicores free, {idle} idle, {} for batch",
            rooms.len(),
            self.vms.len(),
            self.batch_capacity()
        ));
        text
    }

    /// Names lasting tasks that run nowhere, for the log; at most `limit`.
    pub fn describe_missing(&self, limit: usize) -> String {
        let missing = self
            .jobs
            .values()
            .filter(|job| !job.phase.is_terminal() && job.spec.is_long_running())
            .flat_map(|job| &job.tasks)
            .filter(|(_, state)| state.location.is_none());
        let names = missing.map(|(name, state)| format!("{name} after run {}", state.attempt));
        names.take(limit).collect::<Vec<_>>().join(", ")
    }

    /// Returns the load of each queue that has jobs.
    ///
    /// Load pattern: a leader that has just taken over amid a backlog and has heard
    /// few VMs or none. A delay reckoned from these alone would refuse everyone.
    ///
    /// Load pattern: an overload that has left hundreds of jobs late. A job that
    /// arrives now gets room before them, so that their work delays nobody.
    pub(super) fn queue_loads(&mut self, now: MonoTime, wall: WallTime) -> Vec<v1::QueueLoad> {
        let is_fresh = now < self.loads_at.after(LOAD_INTERVAL);
        if now >= self.took_over_at.after(ESTIMATE_WAIT) && !is_fresh {
            self.loads_at = now;
            self.loads = self.reckon_loads(wall);
        }
        self.loads.clone()
    }

    fn reckon_loads(&self, wall: WallTime) -> Vec<v1::QueueLoad> {
        let mut sums: BTreeMap<&str, QueueSum> = BTreeMap::new();
        for (code, job) in self.jobs.iter().filter(|(_, job)| !job.phase.is_terminal()) {
            let sum = sums.entry(&job.spec.queue.route).or_default();
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
        // Without a VM that takes tasks nothing can be said of it.
        let delay = |ahead: u64| {
            ahead
                .saturating_mul(1000)
                .checked_div(capacity)
                .unwrap_or(0)
        };
        sums.iter()
            .map(|(route, sum)| {
                let steps = work_steps(&sums, sum.priority);
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

    /// Returns the processors that tasks which end can use, in thousandths.
    fn batch_capacity(&self) -> u64 {
        self.vms
            .values()
            .filter(|vm| vm.is_ready)
            .filter_map(|vm| {
                let facts = vm.facts.as_ref()?;
                let lasting: u64 = vm
                    .held
                    .iter()
                    .filter(|(key, _)| {
                        self.jobs
                            .get(&key.task.job)
                            .is_some_and(|job| job.spec.is_long_running())
                    })
                    .map(|(_, held)| held.reserved.cores.as_millicores())
                    .sum();
                Some(facts.capacity.cores.as_millicores().saturating_sub(lasting))
            })
            .sum()
    }
}

/// Returns how much work waits before a job of a queue with `priority`, by the work
/// that the job has: all of better priorities, and of its own what has no more.
fn work_steps(sums: &BTreeMap<&str, QueueSum>, priority: u32) -> Vec<JobBacklog> {
    let better = sums.values().filter(|sum| sum.priority < priority);
    let mut ahead = better
        .flat_map(|sum| &sum.backlog)
        .fold(0, |ahead: u64, job| ahead.saturating_add(job.waiting));
    let equal = sums.values().filter(|sum| sum.priority == priority);
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
    // A repeated job's later occurrences are not work of now.
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
