//! Load shedding: which jobs are refused, and which tasks are stopped, when capacity is not
//! enough for all work.
//!
//! Load pattern: a burst of large best-effort jobs arrives next to small ones. Judged by
//! reserved work alone, all are accepted, and most end when their results are no longer of
//! use. A job that would end too late is refused immediately, so that its caller can turn
//! elsewhere; small jobs, which are placed first, are still accepted.
//!
//! Load pattern: best-effort tasks wait while processors are idle, for example because each
//! of them needs more than any VM has left. A job that arrives may be able to start, so the
//! published delay is 0 and it is not refused.

use std::time::Duration;

use turmeric_types::{AcceleratorCount, CoreCount, MemorySize};

use crate::order::LATE_FACTOR;
use crate::{
    AdmissionAccount, AdmissionDecision, HeadroomTable, JobSpec, QueueDelay, StepSpec, VmCapacity,
    admit,
};

/// Number of standard deviations below the mean at which one in ten values of a normal
/// distribution is lower. A refusal of a job that would have ended in useful time costs its
/// caller the whole result, so a job is refused only if that is less likely than one in ten.
const TENTH_DEVIATIONS: f64 = 1.28;

/// Standard deviation of a duration as a share of its estimate: a duration is uniform from 0.1
/// to 1.9 times the estimate, since estimates are off by up to nine tenths.
const ESTIMATE_DEVIATION: f64 = 0.52;

/// Least share of an estimate that a duration takes.
const LEAST_SHARE: f64 = 0.1;

/// Decides whether to accept a job.
///
/// Queues of priority 0 are the most important ones; their jobs are admitted by reserved work.
pub fn decide_admission(
    account: AdmissionAccount,
    spec: &JobSpec,
    delay: &QueueDelay,
) -> AdmissionDecision {
    if account == AdmissionAccount::ReservedWork || spec.queue.priority == 0 {
        return admit(spec, delay);
    }
    let is_open_ended = spec.is_long_running() || spec.repeat.is_some();
    let delay = delay.delay_for(spec.work());
    // Without a delay the job can start on free capacity.
    if is_open_ended || delay.is_zero() {
        return AdmissionDecision::Accept;
    }
    let limit = spec.objective().saturating_mul(LATE_FACTOR);
    let path = spec.critical_path();
    if earliest_end(delay, path) <= limit {
        return AdmissionDecision::Accept;
    }
    // After this time, the job is expected to end while its result is of use.
    let retry_after = delay.saturating_sub(limit.saturating_sub(path));
    AdmissionDecision::Refuse { retry_after }
}

/// Returns the time by which a job that waits for `delay` and works for `path`, both as
/// estimated, has ended with a probability of one in ten.
///
/// The jobs ahead have no more work than this one, and a job uses no more processors than
/// there are, so at least `delay / path` jobs are ahead. Their errors are independent once the
/// leader has corrected what the callers of a queue have in common, so they partly cancel out:
/// the deviation of the sum grows with the square root of their number.
pub fn earliest_end(delay: Duration, path: Duration) -> Duration {
    let (expected, path) = (delay.saturating_add(path).as_secs_f64(), path.as_secs_f64());
    let deviation = ESTIMATE_DEVIATION * (path * expected).sqrt();
    let earliest = expected - TENTH_DEVIATIONS * deviation;
    // A job ends no earlier than all estimates are too long by the largest error.
    Duration::from_secs_f64(earliest.max(expected * LEAST_SHARE))
}

impl VmCapacity {
    /// Returns the capacity of the VM once a best-effort task of `step` has left it.
    pub(crate) fn without_best_effort(&self, step: &StepSpec, table: &HeadroomTable) -> Self {
        let mut vm = self.clone();
        let image = step.image.clone().unwrap_or_default();
        let less = |cores: CoreCount| {
            let rest = cores
                .as_millicores()
                .saturating_sub(step.need.cores.as_millicores());
            CoreCount::from_millicores(rest)
        };
        let reserved = step.reserved();
        let bytes = |memory: MemorySize| memory.as_bytes();
        let memory = bytes(vm.free.memory).saturating_add(bytes(reserved.memory));
        let accelerators = vm.free.accelerators.get() + reserved.accelerators.get();
        vm.free.memory = MemorySize::new(memory);
        vm.free.accelerators = AcceleratorCount::new(accelerators);
        vm.best_effort_tasks = vm.best_effort_tasks.saturating_sub(1);
        vm.best_effort_demand = less(vm.best_effort_demand);
        if let Some(cores) = vm.best_effort_cores.get_mut(&image) {
            *cores = less(*cores);
        }
        let share = vm.share(step.need.cores);
        for serving in vm.serving_steps.values_mut() {
            serving.headroom += table.interference(&image, &serving.image) * share;
        }
        vm
    }
}
