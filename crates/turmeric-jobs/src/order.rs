//! In which order jobs are given room when there is not enough for all.
//!
//! Load pattern: bursts of large jobs at more than the capacity. First come,
//! first served would finish every job late; so jobs that can still meet their
//! objective go first, and those that missed it wait for spare room.

use turmeric_types::WallTime;

use crate::JobSpec;

/// How far a job is from what its caller can use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum JobUrgency {
    /// Can still meet its objective.
    InTime,
    /// Can still be done while a late answer has some use.
    Late,
    /// Of no use any more, but owed all the same.
    Overdue,
}

/// A late answer has some use up to this multiple of the objective (RULES of
/// the installation: three times).
const LATE_FACTOR: u32 = 3;

/// Where a job stands in the queue: urgency first, then priority, then age.
///
/// `remaining_millis` is the estimated time to the end if it ran at once.
pub fn rank_job(
    spec: &JobSpec,
    remaining_millis: u64,
    now: WallTime,
) -> (JobUrgency, u32, WallTime) {
    let objective = spec.objective();
    let end = now.as_millis() + remaining_millis;
    let is_open_ended = spec.is_lasting() || spec.repeat.is_some();
    let urgency = if is_open_ended || end <= spec.accepted_at.after(objective).as_millis() {
        JobUrgency::InTime
    } else if end <= spec.accepted_at.after(objective * LATE_FACTOR).as_millis() {
        JobUrgency::Late
    } else {
        JobUrgency::Overdue
    };
    (urgency, spec.queue.priority, spec.accepted_at)
}
