//! Handles the reports of agents, expired leases and stalled attempts.

use std::time::Duration;

use turmeric_types::{MonoTime, WallTime};

use super::JobScheduler;
use super::leases::ReportGrant;
use super::notes::{EvictionCause, JobEvent, LossCause};
use super::suspicion::FailedAttempt;
use super::vm::{VmAttempt, VmState};
use crate::{
    AttemptEnd, AttemptKey, AttemptLocation, AttemptStatus, EndKind, JobPhase, JobState, TaskName,
    VmReport,
};

/// Shortest time without progress after which an attempt is stalled.
const MIN_STALL_TIMEOUT: Duration = Duration::from_millis(2500);

/// The same as a share of the run time that is expected of the task, in percent. Progress is
/// reported in steps of one percent, and a task may be slower than expected by as much.
const STALL_PERCENT: u32 = 3;

/// Evictions of a task for a stall after which each further one needs twice the time without
/// progress: it may take longer for a percent than anybody expects.
const FREE_STALLS: u32 = 1;

/// Nothing is evicted when the store has confirmed no write for this long. The leader writes
/// every 700 ms, and a write takes 0.25 s when the store is slow.
const EVICTION_CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(1500);

impl JobScheduler {
    /// Handles a report that arrived over a connection of its agent. Connections are numbered in
    /// the order in which they were opened.
    ///
    /// Returns false for a report that a later connection of the agent has overtaken. It is
    /// ignored: the agent may have been ordered to start attempts since.
    pub fn handle_link_report(
        &mut self,
        link: u64,
        report: VmReport,
        now: MonoTime,
        wall: WallTime,
    ) -> bool {
        let name = report.vm.clone();
        if self.vms.get(&name).is_some_and(|vm| vm.link > link) {
            return false;
        }
        self.handle_report(report, now, wall);
        if let Some(vm) = self.vms.get_mut(&name) {
            vm.link = link;
        }
        true
    }

    /// Handles a report of an agent.
    pub fn handle_report(&mut self, report: VmReport, now: MonoTime, wall: WallTime) {
        let name = report.vm.clone();
        let earlier_end = self.leases.earlier_end_on(&name);
        let known_end = self.known_lease_end(&report, now);
        let lease_wait = self.report_wait(&report, known_end, now);
        let knows_leader = report.epoch == self.epoch;
        let vm = self
            .vms
            .entry(name.clone())
            .or_insert_with(|| VmState::new(now, earlier_end));
        if knows_leader && !vm.knows_leader {
            vm.knows_leader = true;
            let earlier_end = vm.earlier_leases_end_at.min(now.after(lease_wait));
            vm.leases_end_at = vm.leases_end_at.max(earlier_end);
        }
        let was_answering = vm.is_ready && vm.is_reachable(now);
        vm.renewable_wait = Some(report.own_lease_wait.unwrap_or(lease_wait));
        self.leases.withheld.remove(&name);
        vm.zone.clone_from(&report.zone);
        vm.reported_at = now;
        vm.stamp_millis = None;
        vm.lease_stamp_millis = None;
        vm.is_ready = false;
        self.pending_updates.insert(name.clone());
        let crashed_at = vm.unresponsive_since;
        self.record_reachability(&report, now);
        let Some(info) = report.endpoint_info.clone() else {
            return;
        };
        let Some(vm) = self.vms.get_mut(&name) else {
            return;
        };
        let is_other_incarnation = vm
            .info
            .as_ref()
            .is_none_or(|known| known.incarnation != info.incarnation);
        if is_other_incarnation {
            if !report.is_synced && !report.is_terminated {
                return;
            }
            vm.begin_incarnation(info);
            vm.granted_end = known_end.map(|_| now);
        } else {
            vm.info = Some(info);
        }
        if report.is_terminated {
            // A leader that has just taken over may get no other report of this incarnation.
            self.apply_ends(&report, now, wall);
            self.lose_current_incarnation(&report);
            return;
        }
        if !report.is_synced {
            return;
        }
        self.adopt_listed(&report);
        self.lose_other_incarnations(&report, crashed_at, wall);
        self.apply_ends(&report, now, wall);
        for key in &report.refused {
            self.handle_refusal(&name, *key, now);
        }
        self.reconcile_attempts(&name, &report, now, wall);
        if let (Some(vm), Some((number, sample))) = (self.vms.get_mut(&name), &report.headroom)
            && vm.last_measurement != *number
        {
            vm.last_measurement = *number;
            self.headroom.record_sample(sample, now);
        }
        if let Some(vm) = self.vms.get_mut(&name) {
            vm.is_ready = knows_leader && !report.is_stopping;
            vm.stamp_millis = Some(report.stamp_millis);
            if !was_answering {
                vm.answering_since = now;
            }
        }
        // Counts even if the grant is withheld: these leases come from other agents.
        if lease_wait > self.timeouts.lease.wait()
            && let Some(vm) = self.vms.get_mut(&name)
        {
            vm.leases_end_at = vm.leases_end_at.max(now.after(lease_wait));
        }
        // The leases of a worker that does not answer are not renewed, so that they expire.
        if !report.is_unresponsive {
            let grant = ReportGrant {
                stamp_millis: report.stamp_millis,
                lease_end: now.after(lease_wait),
            };
            self.grant_lease(&name, grant, now);
        }
    }

    /// Records whether the worker answers its agent.
    fn record_reachability(&mut self, report: &VmReport, now: MonoTime) {
        let Some(vm) = self.vms.get_mut(&report.vm) else {
            return;
        };
        // The agent of an endpoint that is back reports before it has fenced the worker. When
        // the earlier incarnation was lost is still needed then.
        let is_settled = report.is_unresponsive || report.is_synced;
        if is_settled && report.is_unresponsive != vm.unresponsive_since.is_some() {
            vm.unresponsive_since = report.is_unresponsive.then_some(now);
            self.events.push(JobEvent::Reachability {
                vm: report.vm.clone(),
                is_lost: report.is_unresponsive,
                attempts: vm.attempts.len(),
            });
        }
    }

    fn apply_ends(&mut self, report: &VmReport, now: MonoTime, wall: WallTime) {
        for end in &report.ends {
            self.apply_end(&report.vm, end, now, wall);
        }
    }

    /// Applies the end of an attempt, unless it was applied before.
    fn apply_end(&mut self, name: &str, end: &AttemptEnd, now: MonoTime, wall: WallTime) {
        let is_long_running = self.is_long_running(&end.key);
        let Some(vm) = self.vms.get_mut(name) else {
            return;
        };
        if end.number <= vm.last_end {
            return;
        }
        vm.last_end = end.number;
        let attempt = vm.attempts.remove(&end.key);
        self.record_start(end.key, name, wall);
        let Some(vm) = self.vms.get_mut(name) else {
            return;
        };
        if end.kind != EndKind::Done {
            self.events.push(JobEvent::Ended {
                key: end.key,
                vm: name.to_owned(),
                kind: end.kind,
            });
        }
        match end.kind {
            EndKind::Done => vm.suspicion.record_success(),
            EndKind::Failed => {
                let attempt = attempt.as_ref();
                let failed = FailedAttempt {
                    job: end.key.task.job,
                    is_long_running,
                    placed_at: attempt.map(|attempt| attempt.placed_at).unwrap_or_default(),
                    run_time: attempt.map_or(Duration::ZERO, |attempt| attempt.run_time(now)),
                };
                vm.suspicion.record_failure(&failed, now);
            }
            _ => {}
        }
        let code = end.key.task.job;
        if self.apply_to_job(end, attempt.as_ref(), wall) {
            self.touch(code);
        }
        // The agent keeps an end until the store holds the job's current state, even an end
        // that changed nothing: if this leader fails first, the next one needs the end.
        if let (Some(job), Some(vm)) = (self.jobs.get(&code), self.vms.get_mut(name))
            && job.recorded_revision < job.revision
        {
            vm.unrecorded_ends.insert(end.number, (code, job.revision));
        }
    }

    /// Applies the end of an attempt to its job; returns whether the job changed.
    fn apply_to_job(
        &mut self,
        end: &AttemptEnd,
        attempt: Option<&VmAttempt>,
        wall: WallTime,
    ) -> bool {
        let code = end.key.task.job;
        let Some(job) = self.jobs.get_mut(&code) else {
            return false;
        };
        if job.phase.is_terminal() {
            return false;
        }
        let Some(step) = job.spec.steps.get(end.key.task.step as usize).cloned() else {
            return false;
        };
        let Some(state) = job.tasks.get_mut(&end.key.task) else {
            return false;
        };
        let is_current = state.attempt == end.key.attempt;
        if is_current {
            state.location = None;
        }
        state.has_run = true;
        let saved = Some(&end.checkpoint)
            .filter(|text| !text.is_empty())
            .or_else(|| attempt.map(|attempt| &attempt.checkpoint))
            .filter(|text| !text.is_empty());
        if let Some(saved) = saved
            && (is_current || state.checkpoint.is_empty())
        {
            job.save_checkpoint(&end.key.task, saved);
        }
        if step.is_long_running {
            return true;
        }
        match end.kind {
            EndKind::Done => self.record_success(end.key.task, step.is_gang, wall),
            EndKind::Failed => self.record_failure(end.key, step.is_gang, wall),
            _ => {}
        }
        true
    }

    /// Marks a task as done; for a gang, marks all of its members.
    fn record_success(&mut self, task: TaskName, is_gang: bool, wall: WallTime) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let members = if is_gang {
            task.step_range()
        } else {
            task..=task
        };
        for (_, state) in job.tasks.range_mut(members) {
            state.is_done = true;
            state.checkpoint = String::new();
            if let Some(location) = state.location.take() {
                self.pending_updates.insert(location.vm);
            }
        }
        if job.tasks.values().all(|state| state.is_done) {
            self.finish_job(task.job, JobPhase::Done, wall);
        }
    }

    /// Counts a failed attempt, and fails the job at the queue's limit of attempts.
    fn record_failure(&mut self, key: AttemptKey, is_gang: bool, wall: WallTime) {
        let task = key.task;
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let limit = job.spec.queue.attempt_limit.max(1);
        // A gang fails as a whole, so its failures are counted at its first member.
        let counted = if is_gang {
            TaskName { index: 0, ..task }
        } else {
            task
        };
        let Some(state) = job.tasks.get_mut(&counted) else {
            return;
        };
        state.failed_attempts.insert(key.attempt);
        if state.failed_attempts.len() >= limit as usize {
            self.finish_job(task.job, JobPhase::Failed, wall);
        }
    }

    /// Reconciles the attempts that an agent listed with those placed on the VM.
    fn reconcile_attempts(&mut self, name: &str, report: &VmReport, now: MonoTime, wall: WallTime) {
        // An agent of an earlier version does not tell which attempts are confirmed.
        let has_started = |status: &&AttemptStatus| status.is_confirmed || status.percent > 0;
        for status in report.attempts.iter().filter(has_started) {
            self.record_start(status.key, name, wall);
            let job = self.jobs.get_mut(&status.key.task.job);
            let state = job.and_then(|job| job.tasks.get_mut(&status.key.task));
            if let Some(state) = state.filter(|state| state.attempt == status.key.attempt) {
                state.has_run = true;
                state.is_inherited = false;
            }
        }
        let listed = report.attempts.iter().map(|status| status.key).collect();
        let unknown: Vec<(AttemptKey, VmAttempt)> = report
            .attempts
            .iter()
            .filter(|status| {
                self.vms
                    .get(name)
                    .is_some_and(|vm| !vm.attempts.contains_key(&status.key))
            })
            .filter_map(|status| Some((status.key, self.unknown_attempt(name, status, now)?)))
            .collect();
        let Some(vm) = self.vms.get_mut(name) else {
            return;
        };
        vm.listed = listed;
        vm.unplanned.clone_from(&report.unplanned);
        vm.has_more_ends = report.has_more_ends;
        vm.attempts.extend(unknown);
        for status in &report.attempts {
            let Some(attempt) = vm.attempts.get_mut(&status.key) else {
                continue;
            };
            let task = status.key.task;
            let progress = attempt.record_status(status, now);
            let Some(job) = self.jobs.get_mut(&task.job) else {
                continue;
            };
            if let Some((worked, percent)) = progress {
                job.record_progress(task.step, worked, percent);
            }
            // What kept earlier attempts of a long-running task from starting is over.
            if attempt.is_long_running
                && attempt.is_at_work()
                && let Some(state) = job.tasks.get_mut(&task)
            {
                state.stalls = 0;
            }
        }
        vm.suspicion.review(vm.attempts.values(), now);
        if vm.has_more_ends {
            return;
        }
        // An attempt has ended if the agent has applied orders without it and does not list it.
        let applied_orders = report.applied_orders;
        let listed = &vm.listed;
        let attempts = vm.attempts.iter_mut();
        for (_, attempt) in attempts.filter(|(key, _)| !listed.contains(key)) {
            attempt.record_unlisted(now);
        }
        let dropped_keys: Vec<AttemptKey> = vm
            .attempts
            .iter()
            .filter(|(key, attempt)| {
                !listed.contains(key)
                    && attempt
                        .dropped_in
                        .is_some_and(|number| applied_orders >= number)
            })
            .map(|(key, _)| *key)
            .collect();
        self.remove_attempts(name, dropped_keys, LossCause::Dropped);
    }

    /// Creates the state of a listed attempt that this leader does not know.
    fn unknown_attempt(
        &self,
        name: &str,
        status: &AttemptStatus,
        now: MonoTime,
    ) -> Option<VmAttempt> {
        let vm = self.vms.get(name)?;
        let incarnation = vm.info.as_ref()?.incarnation.clone();
        let location = AttemptLocation {
            vm: name.to_owned(),
            incarnation,
        };
        let step = self
            .jobs
            .get(&status.key.task.job)
            .and_then(|job| job.spec.steps.get(status.key.task.step as usize))
            .cloned()
            .unwrap_or_default();
        let mut attempt = VmAttempt::new(location, &step);
        attempt.record_status(status, now);
        Some(attempt)
    }

    /// Handles expired leases, and evicts attempts that should run on another VM.
    pub fn tick(&mut self, now: MonoTime) {
        let expired: Vec<String> = self
            .vms
            .iter()
            .filter(|(_, vm)| !vm.attempts.is_empty() && now > vm.all_leases_end_at())
            .map(|(name, _)| name.clone())
            .collect();
        for name in expired {
            self.record_expiry(&name, now);
            if let Some(vm) = self.vms.get_mut(&name) {
                vm.is_ready = false;
            }
            self.lose_all(&name);
        }
        self.withdraw_unreachable(now);
        self.expire_reservations(now);
        self.expire_rejections(now);
        self.revoke_moves(now);
        // An evicted task resumes elsewhere only after the store has recorded its new attempt.
        if self.may_evict(now) {
            self.evict_stalled(now);
            self.move_unstarted(now);
            self.evict_draining(now);
            self.evict_slowed(now);
            self.consolidate(now);
        }
        self.review_absences(now);
    }

    /// Returns whether the store has confirmed a write recently enough to evict tasks.
    pub(super) fn may_evict(&self, now: MonoTime) -> bool {
        now <= self.confirmed_at.after(EVICTION_CONFIRMATION_TIMEOUT)
    }

    /// Evicts stalled attempts, so that their tasks resume on another VM.
    fn evict_stalled(&mut self, now: MonoTime) {
        for (name, vm) in &mut self.vms {
            // An attempt whose end is not listed yet makes no progress.
            if !vm.is_ready || !vm.is_reachable(now) || vm.has_more_ends {
                continue;
            }
            let mut stalled = Vec::new();
            let mut stalled_tasks = Vec::new();
            for (key, attempt) in &mut vm.attempts {
                let Some(job) = self.jobs.get(&key.task.job) else {
                    continue;
                };
                let is_movable = job
                    .spec
                    .steps
                    .get(key.task.step as usize)
                    .is_some_and(|step| {
                        !step.is_long_running && !step.is_best_effort && !step.is_gang
                    });
                let is_stalled = attempt.progressed_at != MonoTime::default()
                    && now > attempt.progressed_at.after(stall_timeout(job, &key.task));
                let is_listed = vm.listed.contains(key);
                if is_movable && is_stalled && is_listed && !attempt.is_evicted {
                    attempt.is_evicted = true;
                    self.pending_updates.insert(name.clone());
                    self.events.push(JobEvent::Evicted {
                        key: *key,
                        vm: name.clone(),
                        cause: EvictionCause::Stalled,
                    });
                    stalled_tasks.push(key.task);
                    stalled.push(FailedAttempt {
                        job: key.task.job,
                        is_long_running: false,
                        placed_at: attempt.placed_at,
                        // However long it has worked, it does not work now.
                        run_time: Duration::ZERO,
                    });
                }
            }
            for failed in stalled {
                vm.suspicion.record_failure(&failed, now);
            }
            for task in stalled_tasks {
                let job = self.jobs.get_mut(&task.job);
                if let Some(state) = job.and_then(|job| job.tasks.get_mut(&task)) {
                    state.stalls += 1;
                }
            }
        }
    }

    /// Moves long-running attempts that are not started in time to other VMs with free capacity.
    /// Their VMs are avoided for a while.
    fn move_unstarted(&mut self, now: MonoTime) {
        let answering = self.vms.iter();
        // An attempt whose end is not listed yet may have run.
        let answering =
            answering.filter(|(_, vm)| vm.is_ready && vm.is_reachable(now) && !vm.has_more_ends);
        let overdue: Vec<(String, AttemptKey)> = answering
            .flat_map(|(name, vm)| {
                let attempts = vm.attempts.iter();
                let overdue = attempts.filter(|(key, attempt)| {
                    let job = self.jobs.get(&key.task.job);
                    self.is_wanted(key, attempt)
                        && job.is_some_and(|job| {
                            is_start_overdue(job, key, attempt, vm.answering_since, now)
                        })
                });
                overdue.map(|(key, _)| (name.clone(), *key))
            })
            .collect();
        if overdue.is_empty() {
            return;
        }
        let mut capacities = self.fleet_capacity(now).vms;
        for (name, key) in overdue {
            let Some(target) = self.choose_target(&name, &key.task, &mut capacities, now) else {
                continue;
            };
            self.move_attempt(&name, key, target, EvictionCause::Unstarted, now);
            self.avoid_vm(key.task, &name, now);
            self.record_unstarted(&name, key, now);
        }
    }

    /// Counts an attempt that did not start as a failure on its VM.
    fn record_unstarted(&mut self, name: &str, key: AttemptKey, now: MonoTime) {
        let job = self.jobs.get_mut(&key.task.job);
        if let Some(state) = job.and_then(|job| job.tasks.get_mut(&key.task)) {
            state.stalls += 1;
        }
        let Some(vm) = self.vms.get_mut(name) else {
            return;
        };
        let attempt = vm.attempts.get(&key);
        let failed = FailedAttempt {
            job: key.task.job,
            is_long_running: true,
            placed_at: attempt.map(|attempt| attempt.placed_at).unwrap_or_default(),
            run_time: Duration::ZERO,
        };
        vm.suspicion.record_failure(&failed, now);
    }
}

/// Returns whether a long-running attempt was ordered, and is not known to run in time on a VM that
/// has answered since `answering_since`.
///
/// Load pattern: workers leave starts and stops unanswered for seconds, and other VMs have free
/// capacity. Such an attempt never ends.
fn is_start_overdue(
    job: &JobState,
    key: &AttemptKey,
    attempt: &VmAttempt,
    answering_since: MonoTime,
    now: MonoTime,
) -> bool {
    let step = job.spec.steps.get(key.task.step as usize);
    let is_movable = step.is_some_and(|step| step.is_long_running && !step.is_gang);
    let stalls = job.tasks.get(&key.task).map_or(0, |state| state.stalls);
    // An attempt that an earlier leader ordered counts from the first report that lists it.
    let ordered_at = attempt.first_sent_at.unwrap_or(attempt.progressed_at);
    // One that vanishes without an end is ordered again.
    let ordered_at = ordered_at.max(attempt.unlisted_since.unwrap_or_default());
    let was_listed_started = attempt.is_confirmed || attempt.percent > 0;
    let has_started = was_listed_started && attempt.unlisted_since.is_none();
    is_movable
        && !has_started
        && !attempt.is_unsent()
        && ordered_at != MonoTime::default()
        && now
            > ordered_at
                .max(answering_since)
                .after(lengthened(MIN_STALL_TIMEOUT, stalls))
}

/// Returns a timeout after so many evictions of the task for a stall.
fn lengthened(timeout: Duration, stalls: u32) -> Duration {
    timeout * 2_u32.pow(stalls.saturating_sub(FREE_STALLS).min(16))
}

/// Returns the time without progress after which an attempt of a task is stalled.
///
/// Load pattern: tasks of minutes or hours without checkpoints. One percent of their work takes
/// longer than the shortest timeout, and an eviction loses all of it.
fn stall_timeout(job: &JobState, task: &TaskName) -> Duration {
    let step = task.step as usize;
    let expected = job.spec.steps.get(step).map(|step| step.estimate);
    let stated = job.estimates.get(step).map(|estimate| estimate.stated);
    // What was learned of the queue may shorten the caller's estimate too much.
    let run_time = expected.max(stated).unwrap_or_default();
    let timeout = MIN_STALL_TIMEOUT.max(run_time * STALL_PERCENT / 100);
    let stalls = job.tasks.get(task).map_or(0, |state| state.stalls);
    lengthened(timeout, stalls)
}
