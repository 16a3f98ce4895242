//! Admission control: whether a job is accepted when it arrives.
//!
//! Load pattern: a few large jobs are waiting, and many small ones arrive, which are
//! placed first. Only the work of smaller jobs delays a small job; judged by the whole
//! backlog, it would be refused although it can start immediately.
//!
//! Load pattern: a burst of large jobs far above the capacity. A job that could finish
//! only when a late result is no longer of use is refused immediately, with the time
//! after which capacity should be available.

use std::time::Duration;

use crate::JobSpec;

/// Queueing delay of a queue, as last published by the leader.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QueueDelay {
    /// Time until the largest job would start if it arrived now.
    pub delay: Duration,
    /// The same for smaller jobs, in ascending order of work.
    pub steps: Vec<WorkDelay>,
}

/// Queueing delay of jobs with at most a given amount of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkDelay {
    /// Largest work of such a job, in core-milliseconds.
    pub work: u64,
    /// Time until such a job would start.
    pub delay: Duration,
}

impl QueueDelay {
    /// Returns the time until a job with `work` core-milliseconds would start.
    pub fn delay_for(&self, work: u64) -> Duration {
        let step = self.steps.iter().find(|step| work <= step.work);
        step.map_or(self.delay, |step| step.delay)
    }
}

/// Decision about a job that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// Accept the job.
    Accept,
    /// Refuse the job; capacity should be available after `retry_after`.
    Refuse {
        /// Time after which the caller should retry.
        retry_after: Duration,
    },
}

/// Longest queueing delay, as a multiple of the objective, at which a job is accepted.
///
/// A late result is of some use up to three objectives; one of them covers the job's own
/// work, and estimates are off by up to nine tenths.
const DELAY_FACTOR: u32 = 2;

/// Decides whether to accept a job.
pub fn admit(spec: &JobSpec, delay: &QueueDelay) -> AdmissionDecision {
    let is_open_ended = spec.is_long_running() || spec.repeat.is_some();
    let limit = spec.objective().saturating_mul(DELAY_FACTOR);
    let delay = delay.delay_for(spec.work());
    if is_open_ended || delay <= limit {
        return AdmissionDecision::Accept;
    }
    AdmissionDecision::Refuse {
        retry_after: delay - limit,
    }
}
