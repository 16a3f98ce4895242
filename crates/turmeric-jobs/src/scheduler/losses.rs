//! Returns the tasks of attempts to the queue that ended without a report of their end.

use turmeric_types::{MonoTime, WallTime};

use super::JobScheduler;
use super::crashes::CrashNotice;
use super::notes::{JobEvent, LossCause};
use super::relieve::AVOID_DURATION;
use super::vm::{VmAttempt, VmState};
use crate::{AttemptKey, TaskName, VmReport};

impl JobScheduler {
    /// Handles an attempt that the agent reports it will never start.
    ///
    /// Load pattern: a worker rejects all starts, and stays the VM with the best fit for the task.
    pub(super) fn handle_refusal(&mut self, name: &str, key: AttemptKey, now: MonoTime) {
        if !self
            .remove_attempts(name, vec![key], LossCause::Refused)
            .is_empty()
        {
            let vms = self.rejections.entry(key.task).or_default();
            vms.insert(name.to_owned(), now.after(AVOID_DURATION));
        }
    }

    /// Returns whether a start of a task was rejected on a VM recently.
    pub(super) fn has_rejected(&self, task: &TaskName, vm: &str) -> bool {
        let vms = self.rejections.get(task);
        vms.is_some_and(|vms| vms.contains_key(vm))
    }

    /// Forgets the rejections that no longer count.
    pub(super) fn expire_rejections(&mut self, now: MonoTime) {
        self.rejections.retain(|_, vms| {
            vms.retain(|_, until| now < *until);
            !vms.is_empty()
        });
    }

    /// Returns a task to the queue whose attempt can no longer be running.
    fn requeue_task(&mut self, key: AttemptKey, attempt: &VmAttempt, cause: LossCause) {
        let Some(job) = self.jobs.get_mut(&key.task.job) else {
            return;
        };
        let Some(state) = job.tasks.get_mut(&key.task) else {
            return;
        };
        if state.attempt != key.attempt || state.location.as_ref() != Some(&attempt.location) {
            return;
        }
        state.location = None;
        let is_unstarted = matches!(
            cause,
            LossCause::Refused | LossCause::Withdrawn | LossCause::Dropped
        );
        state.has_run |= !is_unstarted && !attempt.is_unsent();
        if !attempt.checkpoint.is_empty() {
            job.save_checkpoint(&key.task, &attempt.checkpoint);
        }
        self.touch(key.task.job);
        self.events.push(JobEvent::Lost {
            key,
            vm: attempt.location.vm.clone(),
            cause,
        });
    }

    /// Moves attempts of an earlier incarnation to the current one if the report lists them.
    ///
    /// An agent that does not know yet that the endpoint was restarted starts tasks of the
    /// earlier incarnation in the new one. They must not run elsewhere before they are stopped
    /// there.
    pub(super) fn adopt_listed(&mut self, report: &VmReport) {
        let Some(vm) = self.vms.get_mut(&report.vm) else {
            return;
        };
        let Some(incarnation) = vm.info.as_ref().map(|info| info.incarnation.clone()) else {
            return;
        };
        let mut moved = Vec::new();
        for status in &report.attempts {
            let Some(attempt) = vm.attempts.get_mut(&status.key) else {
                continue;
            };
            if attempt.location.incarnation != incarnation {
                let earlier = attempt.location.clone();
                attempt.location.incarnation = incarnation.clone();
                moved.push((status.key, earlier, attempt.location.clone()));
            }
        }
        for (key, earlier, location) in moved {
            let state = self
                .jobs
                .get_mut(&key.task.job)
                .and_then(|job| job.tasks.get_mut(&key.task));
            if let Some(state) = state
                && state.location.as_ref() == Some(&earlier)
            {
                state.location = Some(location);
                self.touch(key.task.job);
            }
        }
    }

    pub(super) fn lose_other_incarnations(
        &mut self,
        report: &VmReport,
        at: Option<MonoTime>,
        wall: WallTime,
    ) {
        let name = &report.vm;
        let was_draining = self.vms.get(name).is_some_and(|vm| vm.was_draining);
        let is_lost =
            |vm: &VmState, attempt: &VmAttempt| !vm.is_current_incarnation(&attempt.location);
        let expired = self.take_expired(name);
        if was_draining {
            self.lose_where(name, LossCause::OtherIncarnation, is_lost);
        } else {
            let mut lost = self.lose_where(name, LossCause::Crashed, is_lost);
            lost.extend(expired);
            self.record_reported_crash(report, &lost, at, wall);
        }
    }

    /// Loses the attempts of an incarnation that has left, or that does not answer while their
    /// leases have expired.
    pub(super) fn lose_current_incarnation(&mut self, report: &VmReport) {
        let info = report.endpoint_info.as_ref();
        let has_left = !report.is_unresponsive || info.is_some_and(|info| info.is_draining);
        let cause = if has_left {
            LossCause::IncarnationEnded
        } else {
            LossCause::LeasesExpired
        };
        self.lose_where(&report.vm, cause, |vm, attempt| {
            vm.is_current_incarnation(&attempt.location)
        });
    }

    fn record_reported_crash(
        &mut self,
        report: &VmReport,
        lost: &[(AttemptKey, VmAttempt)],
        at: Option<MonoTime>,
        wall: WallTime,
    ) {
        // An earlier version of the agent takes an incarnation that does not answer for one that
        // has crashed.
        let current = report.endpoint_info.as_ref().map(|info| &info.incarnation);
        let crash = report.crash.as_ref();
        let crash = crash.filter(|crash| current != Some(&crash.incarnation));
        let notice = CrashNotice {
            lost,
            report: crash,
            at,
        };
        // An agent repeats the news of a crash until it hears from the leader.
        let incarnation = crash.map(|crash| &crash.incarnation);
        let Some(vm) = self.vms.get_mut(&report.vm) else {
            return;
        };
        if lost.is_empty() && vm.last_crash.as_ref() == incarnation {
            return;
        }
        if let Some(incarnation) = incarnation {
            vm.last_crash = Some(incarnation.clone());
        }
        self.record_crash(&report.vm, &notice, wall);
    }

    /// Loses all attempts on a VM that has not reported until their leases have expired.
    pub(super) fn lose_all(&mut self, name: &str) {
        let mut lost = self.lose_where(name, LossCause::LeaseExpired, |_, _| true);
        for (_, attempt) in &mut lost {
            // It may have ended before a crash that is reported later.
            attempt.is_confirmed = false;
        }
        if let Some(vm) = self.vms.get_mut(name) {
            vm.expired.extend(lost);
        }
    }

    /// Returns the attempts of earlier incarnations whose leases expired before the VM reported
    /// again.
    ///
    /// Load pattern: a task crashes endpoints whose agents are cut off. An agent that is replaced
    /// meanwhile takes the news of the crash with it.
    fn take_expired(&mut self, name: &str) -> Vec<(AttemptKey, VmAttempt)> {
        let Some(vm) = self.vms.get_mut(name) else {
            return Vec::new();
        };
        let mut expired = std::mem::take(&mut vm.expired);
        expired.retain(|(_, attempt)| !vm.is_current_incarnation(&attempt.location));
        expired
    }

    /// Removes the attempts for which `is_lost` holds and returns their tasks to the queue.
    ///
    /// Returns the attempts.
    fn lose_where(
        &mut self,
        name: &str,
        cause: LossCause,
        is_lost: impl Fn(&VmState, &VmAttempt) -> bool,
    ) -> Vec<(AttemptKey, VmAttempt)> {
        let Some(vm) = self.vms.get_mut(name) else {
            return Vec::new();
        };
        let lost_keys: Vec<AttemptKey> = vm
            .attempts
            .iter()
            .filter(|(_, attempt)| is_lost(vm, attempt))
            .map(|(key, _)| *key)
            .collect();
        vm.listed.clear();
        vm.unplanned.clear();
        self.remove_attempts(name, lost_keys, cause)
    }

    /// Removes attempts that can no longer be running, and returns their tasks to the queue.
    ///
    /// Returns the attempts.
    pub(super) fn remove_attempts(
        &mut self,
        name: &str,
        keys: Vec<AttemptKey>,
        cause: LossCause,
    ) -> Vec<(AttemptKey, VmAttempt)> {
        let Some(vm) = self.vms.get_mut(name) else {
            return Vec::new();
        };
        let attempts: Vec<(AttemptKey, VmAttempt)> = keys
            .into_iter()
            .filter_map(|key| vm.attempts.remove(&key).map(|attempt| (key, attempt)))
            .collect();
        for (key, attempt) in &attempts {
            self.requeue_task(*key, attempt, cause);
        }
        attempts
    }
}
