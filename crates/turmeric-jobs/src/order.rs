//! In which order jobs are given room when there is not enough for all.
//!
//! Load pattern: bursts of large jobs at more than the capacity, for longer than
//! their objectives. First come, first served would finish every job late. So
//! lasting tasks, which serve users of their own, go first; then jobs that can
//! still meet their objective, those with the least work left before others;
//! those that missed it wait for spare room. Most jobs come in time then, and
//! what was begun is finished before something else is begun.

use turmeric_types::WallTime;

use crate::JobSpec;

/// How far a job is from what its caller can use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum JobUrgency {
    /// Serves users of its own until it is cancelled.
    Lasting,
    /// Can still meet its objective.
    InTime,
    /// Can still be done while a late answer has some use.
    Late,
    /// Of no use any more, but owed all the same.
    Overdue,
}

/// What is left of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RemainingWork {
    /// Estimated time to the end if it ran at once, in milliseconds.
    pub chain_millis: u64,
    /// Estimated work of all its tasks, in core-milliseconds.
    pub core_millis: u64,
}

/// A place in the order: urgency, priority of the queue, work left, age.
pub type JobRank = (JobUrgency, u32, u64, WallTime);

/// A late answer has some use up to this multiple of the objective (RULES of
/// the installation: three times).
const LATE_FACTOR: u32 = 3;

/// Where a job stands in the queue; the lowest rank goes first.
pub fn rank_job(spec: &JobSpec, remaining: RemainingWork, now: WallTime) -> JobRank {
    let objective = spec.objective();
    let end = now.as_millis() + remaining.chain_millis;
    let urgency = if spec.is_lasting() {
        JobUrgency::Lasting
    } else if spec.repeat.is_some() || end <= spec.accepted_at.after(objective).as_millis() {
        JobUrgency::InTime
    } else if end <= spec.accepted_at.after(objective * LATE_FACTOR).as_millis() {
        JobUrgency::Late
    } else {
        JobUrgency::Overdue
    };
    (
        urgency,
        spec.queue.priority,
        remaining.core_millis,
        spec.accepted_at,
    )
}
