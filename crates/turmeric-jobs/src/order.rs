//! In which order jobs are given room when there is not enough for all.
//!
//! Load pattern: bursts of large jobs at more than the capacity, for longer than
//! their objectives. First come, first served would finish every job late. So
//! jobs that can still meet their objective go first, those with the least work
//! without room yet before others; those that missed it wait for spare room. Most
//! jobs come in time then, and what was begun is finished before something else
//! is begun.
//!
//! Load pattern: lasting tasks that reserve nearly all processors for minutes,
//! and more of them waiting, beside a stream of jobs of a second or two. Given to
//! lasting tasks first, each gap is gone for minutes and the stream is late for
//! as long; given to the stream, a lasting task begins a few seconds later. So
//! jobs in time go before lasting tasks of no better priority.

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
    /// Estimated work of the tasks that have no room yet, in core-milliseconds.
    pub core_millis: u64,
}

/// What giving a job room is good for, the best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RankTier {
    /// All of its use: it lasts, or can meet its objective.
    Whole,
    /// A part of its use.
    Part,
    /// None.
    Owed,
}

/// A place in the order; the lowest goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct JobRank {
    /// What giving it room is good for.
    pub tier: RankTier,
    /// Priority of the queue; zero comes first.
    pub priority: u32,
    /// The job lasts until it is cancelled.
    pub is_long_running: bool,
    /// Estimated work that is left, in core-milliseconds.
    pub core_millis: u64,
    /// When the job was accepted.
    pub accepted_at: WallTime,
}

/// A late answer has some use up to this multiple of the objective (RULES of
/// the installation: three times).
const LATE_FACTOR: u32 = 3;

/// Returns how far a job is from what its caller can use.
pub fn judge_urgency(spec: &JobSpec, remaining: RemainingWork, now: WallTime) -> JobUrgency {
    let objective = spec.objective();
    let end = now.as_millis() + remaining.chain_millis;
    if spec.is_long_running() {
        JobUrgency::Lasting
    } else if spec.repeat.is_some() || end <= spec.accepted_at.after(objective).as_millis() {
        JobUrgency::InTime
    } else if end <= spec.accepted_at.after(objective * LATE_FACTOR).as_millis() {
        JobUrgency::Late
    } else {
        JobUrgency::Overdue
    }
}

/// Returns where a job stands among those that wait for room.
pub fn rank_job(spec: &JobSpec, remaining: RemainingWork, now: WallTime) -> JobRank {
    let tier = match judge_urgency(spec, remaining, now) {
        JobUrgency::Lasting | JobUrgency::InTime => RankTier::Whole,
        JobUrgency::Late => RankTier::Part,
        JobUrgency::Overdue => RankTier::Owed,
    };
    JobRank {
        tier,
        priority: spec.queue.priority,
        is_long_running: spec.is_long_running(),
        core_millis: remaining.core_millis,
        accepted_at: spec.accepted_at,
    }
}
