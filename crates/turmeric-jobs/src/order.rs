//! Order in which jobs are placed when the capacity is not enough for all.
//!
//! Load pattern: bursts of large jobs that exceed the capacity for longer than their
//! objectives. First come, first served would finish every job late. So jobs that can
//! still meet their objective go first, ordered by the least work that is not placed yet;
//! jobs that missed it wait for spare capacity. Most jobs then finish in time, and
//! started jobs finish before new ones start.
//!
//! Load pattern: long-running tasks reserve nearly all processors for minutes, and more
//! of them are waiting, next to a stream of jobs that take a second or two. If
//! long-running tasks went first, they would occupy each gap for minutes and the stream
//! would be late for as long; if the stream goes first, a long-running task starts a few
//! seconds later. So jobs in time go before long-running tasks of the same or a worse
//! priority.
//!
//! Load pattern: many long-running jobs arrive at once, and some allow only a few of their
//! tasks on one VM. If such a job comes last, the VMs that the others use are full, and it
//! takes a VM of its own for each task. So the job that needs the most VMs goes first, and
//! the others fill what it leaves.

use std::cmp::Reverse;

use turmeric_types::WallTime;

use crate::{JobOrder, JobSpec, LongRunningOrder};

/// How a job stands against its objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum JobUrgency {
    /// The job is long-running: it serves users of its own until it is cancelled.
    Lasting,
    /// The job can still meet its objective.
    InTime,
    /// The job can still finish while a late result is of some use.
    Late,
    /// The result is no longer of use, but the job must still be finished.
    Overdue,
}

/// Remaining work of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RemainingWork {
    /// Estimated time to the end if all tasks could start immediately, in milliseconds.
    pub critical_path_millis: u64,
    /// Estimated work of the tasks that are not placed yet, in core-milliseconds.
    pub core_millis: u64,
}

/// Use of the job's result to its caller if the job is placed now, the best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RankTier {
    /// Full use: the job is long-running, or can still meet its objective.
    FullUse,
    /// Reduced use, because the result is late.
    Partial,
    /// No use, because the result is too late even for that.
    NoUse,
}

/// Rank of a job in the order of placement; the lowest goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct JobRank {
    /// Use of the job's result to its caller.
    pub tier: RankTier,
    /// Priority of the queue; zero is the highest.
    pub priority: u32,
    /// The job runs until it is cancelled.
    pub is_long_running: bool,
    /// Number of VMs that a long-running job needs at least; the widest job goes first.
    pub width: Reverse<u32>,
    /// The job has not begun, or can be deferred and still be in time.
    pub is_deferrable: bool,
    /// Estimated work of the tasks that are not placed yet, in core-milliseconds.
    pub core_millis: u64,
    /// When the job was accepted.
    pub accepted_at: WallTime,
}

/// A late result is of some use up to this multiple of the objective (three times, by
/// the RULES of the installation).
pub(crate) const LATE_FACTOR: u32 = 3;

/// Part of its critical path for which a job that has begun is deferred at least: the tasks that
/// go first end one after another, so processors are free again after a part of a task's time.
/// A tenth lost the fewest jobs in the model of `tests/shedding.rs`, compared with a fifth, a
/// half and the whole path.
const DEFERRAL_DIVISOR: u64 = 10;

/// Returns how a job stands against its objective at `now`.
pub fn judge_urgency(spec: &JobSpec, remaining: RemainingWork, now: WallTime) -> JobUrgency {
    let objective = spec.objective();
    let end = now.as_millis() + remaining.critical_path_millis;
    if spec.is_long_running() {
        JobUrgency::Lasting
    } else if spec.repeat.is_some() || end <= spec.accepted_at.after(objective).as_millis() {
        JobUrgency::InTime
    } else if end
        <= spec
            .accepted_at
            .after(objective.saturating_mul(LATE_FACTOR))
            .as_millis()
    {
        JobUrgency::Late
    } else {
        JobUrgency::Overdue
    }
}

impl JobRank {
    /// Ranks a job among others of its tier and priority by `order`.
    ///
    /// Load pattern: small jobs arrive without pause next to a large one that has begun.
    /// Each of them has less work than the rest of the large one, which would miss its
    /// objective although most of its work is done.
    ///
    /// Load pattern: an overload has left large jobs overdue. By least work, the smaller of
    /// them would go first for as long as others become overdue.
    pub fn with_job_order(
        mut self,
        order: JobOrder,
        spec: &JobSpec,
        remaining: RemainingWork,
        has_begun: bool,
        now: WallTime,
    ) -> Self {
        if order == JobOrder::LeastWork {
            return self;
        }
        match judge_urgency(spec, remaining, now) {
            JobUrgency::InTime => {
                let path = remaining.critical_path_millis;
                let deferred = RemainingWork {
                    critical_path_millis: path.saturating_add(path / DEFERRAL_DIVISOR),
                    ..remaining
                };
                let is_late_then = judge_urgency(spec, deferred, now) != JobUrgency::InTime;
                self.is_deferrable = !(has_begun && is_late_then);
            }
            JobUrgency::Overdue => self.core_millis = 0,
            JobUrgency::Lasting | JobUrgency::Late => {}
        }
        self
    }

    /// Ranks a long-running job among others by `order`.
    pub fn with_order(self, order: LongRunningOrder, spec: &JobSpec) -> Self {
        let width = match order {
            LongRunningOrder::LeastWork => 0,
            LongRunningOrder::WidestFirst => long_running_width(spec),
        };
        Self {
            width: Reverse(width),
            ..self
        }
    }
}

/// Returns how many VMs the long-running steps need because of their limit of tasks on each.
fn long_running_width(spec: &JobSpec) -> u32 {
    let steps = spec.steps.iter().filter(|step| step.is_long_running);
    let widths = steps.filter_map(|step| Some(step.count.div_ceil(step.vm_limit?.max(1))));
    widths.max().unwrap_or_default()
}

/// Returns the rank of a job among those that wait to be placed.
pub fn rank_job(spec: &JobSpec, remaining: RemainingWork, now: WallTime) -> JobRank {
    let tier = match judge_urgency(spec, remaining, now) {
        JobUrgency::Lasting | JobUrgency::InTime => RankTier::FullUse,
        JobUrgency::Late => RankTier::Partial,
        JobUrgency::Overdue => RankTier::NoUse,
    };
    JobRank {
        tier,
        priority: spec.queue.priority,
        is_long_running: spec.is_long_running(),
        width: Reverse(0),
        is_deferrable: true,
        core_millis: remaining.core_millis,
        accepted_at: spec.accepted_at,
    }
}
