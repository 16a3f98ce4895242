//! Whether a job is accepted when it arrives.
//!
//! Load pattern: a few large jobs wait, and many small ones arrive, which get room
//! before them. What stands before a small job is the work of smaller ones only;
//! measured by the whole backlog, it would be refused although it is served at
//! once.
//!
//! Load pattern: a burst of large jobs far above the capacity. A job that
//! could only be done after a late answer has lost its use is refused at once,
//! with the time after which there should be room.

use std::time::Duration;

use crate::JobSpec;

/// What the leader last said of a queue.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QueueDelay {
    /// Time until the largest job that arrives now would get room.
    pub delay: Duration,
    /// The same for smaller jobs, in ascending order of their work.
    pub steps: Vec<WorkDelay>,
}

/// Time until a job with little work gets room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkDelay {
    /// Most work of such a job, in core-milliseconds.
    pub work: u64,
    /// Time until it would get room.
    pub delay: Duration,
}

impl QueueDelay {
    /// Returns the time until a job with `work` core-milliseconds gets room.
    pub fn delay_for(&self, work: u64) -> Duration {
        let step = self.steps.iter().find(|step| work <= step.work);
        step.map_or(self.delay, |step| step.delay)
    }
}

/// What to tell the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// Take the job.
    Accept,
    /// Refuse it; there should be room after `retry_after`.
    Refuse {
        /// Time after which to try again.
        retry_after: Duration,
    },
}

/// Longest delay, as a multiple of the objective, with which a job is taken.
///
/// A late answer has some use up to three objectives; one is the job's own
/// work, and estimates are off by up to nine tenths.
const DELAY_FACTOR: u32 = 2;

/// Decides whether to accept a job.
pub fn admit(spec: &JobSpec, delay: &QueueDelay) -> AdmissionDecision {
    let is_open_ended = spec.is_long_running() || spec.repeat.is_some();
    let limit = spec.objective() * DELAY_FACTOR;
    let delay = delay.delay_for(spec.work());
    if is_open_ended || delay <= limit {
        return AdmissionDecision::Accept;
    }
    AdmissionDecision::Refuse {
        retry_after: delay - limit,
    }
}
