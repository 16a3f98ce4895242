//! Suspicion that a VM is faulty, because attempts of several jobs have failed on it.
//!
//! Load pattern: a VM on which everything fails is free more often than any other, and attracts
//! all tasks that wait. Long-running tasks, which fail now and then and never succeed, run on
//! sound VMs and must not close them. So a suspected VM is used last, and for a few tasks at a
//! time, but no event is needed for it to get the next one.

use std::collections::BTreeMap;
use std::time::Duration;

use turmeric_types::MonoTime;

use super::vm::VmAttempt;
use crate::JobCode;

/// Number of jobs with failed attempts on a VM, without a sign of health in between, from which
/// on the VM is suspected to be faulty.
const FAILED_JOB_LIMIT: usize = 2;

/// Time after which a failure no longer counts.
const FAILURE_RETENTION: Duration = Duration::from_secs(60);

/// A failure of a long-running task after a run of this length tells nothing about the VM.
const SOUND_RUN: Duration = Duration::from_secs(10);

/// Shortest time for which a long-running attempt has to be at work to be a sign of health.
const MIN_TRIAL: Duration = Duration::from_secs(1);

/// Time between two tasks that are placed on a suspected VM. It doubles with each of them that
/// fails, up to the maximum: the users' limit for the start of work that has capacity is 3 s.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Longest time between two such tasks.
const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// Time after which the interval is the shortest again if none of them has failed.
const PROBE_FAILURE_RETENTION: Duration = Duration::from_secs(5);

/// Time for which a job is not placed again on a suspected VM on which it failed.
const JOB_RETRY_INTERVAL: Duration = Duration::from_millis(1500);

/// The same for a long-running job, whose failures no limit ends: it doubles with each failure, up
/// to this time. A long-running task may be away for 9 s.
const MAX_JOB_RETRY_INTERVAL: Duration = Duration::from_secs(6);

/// Failures of one job on one VM.
#[derive(Debug, Default)]
struct JobFailures {
    count: u32,
    /// When the last attempt failed.
    failed_at: MonoTime,
    /// Earliest time at which the job is placed on the VM again while the VM is suspected.
    retry_due: MonoTime,
}

impl JobFailures {
    fn is_recent(&self, now: MonoTime) -> bool {
        now < self.failed_at.after(FAILURE_RETENTION)
    }

    fn record(&mut self, is_long_running: bool, now: MonoTime) {
        let interval = if is_long_running {
            let doubled = JOB_RETRY_INTERVAL * 2_u32.pow(self.count.min(8));
            doubled.min(MAX_JOB_RETRY_INTERVAL)
        } else {
            JOB_RETRY_INTERVAL
        };
        self.count += 1;
        self.failed_at = now;
        self.retry_due = now.after(interval);
    }
}

/// An attempt that has failed, or has made no progress.
pub(crate) struct FailedAttempt {
    pub(crate) job: JobCode,
    pub(crate) is_long_running: bool,
    /// When this leader placed it; the default if an earlier one did.
    pub(crate) placed_at: MonoTime,
    /// For how long it had been at work.
    pub(crate) run_time: Duration,
}

/// Failures on one VM since the last sign of its health.
#[derive(Debug, Default)]
pub(crate) struct VmSuspicion {
    failures: BTreeMap<JobCode, JobFailures>,
    /// When the first of them failed.
    failed_since: MonoTime,
    /// Longest run of any of the attempts.
    longest_run: Duration,
    /// When the VM became suspected.
    suspected_since: MonoTime,
    /// Number of jobs that failed in attempts which were placed since then.
    failed_probes: u32,
    /// When the last of these failed.
    probe_failed_at: MonoTime,
    /// Earliest time at which another task is placed on the VM while it is suspected.
    probe_due: MonoTime,
}

impl VmSuspicion {
    /// Returns whether the VM is suspected to be faulty.
    pub(crate) fn is_suspect(&self, now: MonoTime) -> bool {
        let failures = self.failures.values();
        failures.filter(|failure| failure.is_recent(now)).count() >= FAILED_JOB_LIMIT
    }

    /// Returns whether no task may be placed on the VM yet.
    pub(crate) fn is_closed(&self, now: MonoTime) -> bool {
        now < self.probe_due && self.is_suspect(now)
    }

    /// Returns the jobs that have failed on the VM.
    pub(crate) fn failing_jobs(&self) -> impl Iterator<Item = JobCode> {
        self.failures.keys().copied()
    }

    /// Returns whether a job has failed on the VM.
    pub(crate) fn has_failed(&self, job: JobCode) -> bool {
        self.failures.contains_key(&job)
    }

    /// Returns whether a job may be placed on the VM, which is suspected, as far as its own
    /// failures there tell.
    pub(crate) fn may_retry(&self, job: JobCode, now: MonoTime) -> bool {
        let failures = self.failures.get(&job);
        failures.is_none_or(|failures| now >= failures.retry_due)
    }

    /// Records that a task was placed on the VM.
    pub(crate) fn record_placement(&mut self, now: MonoTime) {
        if self.is_suspect(now) {
            self.probe_due = now.after(self.probe_interval(now));
        }
    }

    /// Records that an attempt has failed, or has made no progress.
    pub(crate) fn record_failure(&mut self, failed: &FailedAttempt, now: MonoTime) {
        if failed.is_long_running && failed.run_time >= SOUND_RUN {
            return;
        }
        let was_suspect = self.is_suspect(now);
        self.failures.retain(|_, failures| failures.is_recent(now));
        if self.failures.is_empty() {
            *self = Self {
                failed_since: now,
                ..Self::default()
            };
        }
        let failures = self.failures.entry(failed.job).or_default();
        // A job that fails again and again tells little about the VM.
        let is_first = failures.count == 0;
        failures.record(failed.is_long_running, now);
        self.longest_run = self.longest_run.max(failed.run_time);
        if !was_suspect && self.is_suspect(now) {
            self.suspected_since = now;
            self.probe_due = now.after(self.probe_interval(now));
        } else if was_suspect && is_first && failed.placed_at >= self.suspected_since {
            self.failed_probes = self.recent_failed_probes(now) + 1;
            self.probe_failed_at = now;
        }
    }

    /// Records that an attempt has succeeded.
    pub(crate) fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Ends the suspicion if a long-running attempt that began after the first failure has been at
    /// work for clearly longer than those that failed. Other attempts show by their ends whether they
    /// succeed.
    ///
    /// Load pattern: only long-running tasks run on a VM, which never succeed.
    pub(crate) fn review<'a>(
        &mut self,
        mut attempts: impl Iterator<Item = &'a VmAttempt>,
        now: MonoTime,
    ) {
        if self.failures.is_empty() {
            return;
        }
        let trial = (self.longest_run * 2).clamp(MIN_TRIAL, FAILURE_RETENTION);
        let is_healthy = |attempt: &VmAttempt| {
            attempt.is_long_running
                && attempt.is_at_work()
                && attempt
                    .confirmed_since
                    .is_some_and(|since| since > self.failed_since && now >= since.after(trial))
        };
        if attempts.any(is_healthy) {
            *self = Self::default();
        }
    }

    fn recent_failed_probes(&self, now: MonoTime) -> u32 {
        if now < self.probe_failed_at.after(PROBE_FAILURE_RETENTION) {
            self.failed_probes
        } else {
            0
        }
    }

    fn probe_interval(&self, now: MonoTime) -> Duration {
        let doubled = PROBE_INTERVAL * 2_u32.pow(self.recent_failed_probes(now).min(8));
        doubled.min(MAX_PROBE_INTERVAL)
    }
}
