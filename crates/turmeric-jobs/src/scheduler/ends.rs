//! Reports of agents: lives, ends, refusals and lapsed leases.

use std::time::Duration;

use turmeric_types::{MonoTime, WallTime};

use super::JobScheduler;
use super::notes::{EvictionCause, JobEvent, LossCause};
use super::vm::{HeldRun, VmState};
use crate::{
    AttemptEnd, AttemptKey, AttemptLocation, AttemptStatus, EndKind, JobPhase, TaskName, VmReport,
};

/// An attempt whose share of work done has not risen for this long stands
/// still: with 100 steps to show, a task of 5.4 s shows one every 54 ms.
const STALL_TERM: Duration = Duration::from_millis(2500);

/// Nothing is recalled when the store has confirmed nothing for this long: the
/// leader writes every 700 ms, and one write takes 0.25 s when the store is slow.
const RECALL_CONFIDENCE: Duration = Duration::from_millis(1500);

impl JobScheduler {
    /// Takes in a report of an agent.
    pub fn take_report(&mut self, report: VmReport, now: MonoTime, wall: WallTime) {
        let name = report.vm.clone();
        let earlier_end = self.earlier_end();
        let is_ours = report.epoch == self.epoch;
        let vm = self
            .vms
            .entry(name.clone())
            .or_insert_with(|| VmState::new(now, earlier_end));
        if is_ours && !vm.is_ours {
            vm.is_ours = true;
            vm.leased_at = now;
        }
        vm.zone.clone_from(&report.zone);
        vm.heard_at = now;
        vm.stamp_millis = report.stamp_millis;
        vm.is_ready = false;
        self.news.insert(name.clone());
        let Some(facts) = report.endpoint_info.clone() else {
            return;
        };
        let is_other_life = vm
            .facts
            .as_ref()
            .is_none_or(|known| known.incarnation != facts.incarnation);
        if is_other_life {
            if !report.is_synced && !report.is_terminated {
                return;
            }
            vm.begin_life(facts);
        } else {
            vm.facts = Some(facts);
        }
        if report.is_terminated {
            // A leader that has just taken over may hear only this once.
            self.take_ends(&report, now, wall);
            self.lose_present_life(&name);
            return;
        }
        if !report.is_synced {
            return;
        }
        self.move_listed(&report);
        self.lose_other_lives(&name);
        self.take_ends(&report, now, wall);
        for key in &report.refused {
            self.take_refusal(&name, *key);
        }
        self.take_runs(&name, &report, now);
        if let (Some(vm), Some((number, sample))) = (self.vms.get_mut(&name), &report.headroom)
            && vm.seen_reading != *number
        {
            vm.seen_reading = *number;
            self.headroom.record_sample(sample, now);
        }
        if let Some(vm) = self.vms.get_mut(&name)
            && is_ours
        {
            vm.is_ready = true;
            vm.leased_at = now;
        }
    }

    fn take_ends(&mut self, report: &VmReport, now: MonoTime, wall: WallTime) {
        for end in &report.ends {
            self.take_end(&report.vm, end, now, wall);
        }
    }

    /// Takes in one end, once.
    fn take_end(&mut self, name: &str, end: &AttemptEnd, now: MonoTime, wall: WallTime) {
        let Some(vm) = self.vms.get_mut(name) else {
            return;
        };
        if end.number <= vm.seen_end {
            return;
        }
        vm.seen_end = end.number;
        let held = vm.held.remove(&end.key);
        if end.kind != EndKind::Done {
            self.notes.push(JobEvent::Ended {
                key: end.key,
                vm: name.to_owned(),
                kind: end.kind,
            });
        }
        match end.kind {
            EndKind::Done => vm.note_outcome(end.key.task.job, true, now),
            EndKind::Failed => vm.note_outcome(end.key.task.job, false, now),
            _ => {}
        }
        let code = end.key.task.job;
        if self.apply_end(end, held.as_ref(), wall) {
            self.touch(code);
        }
        // An end that changes nothing may still be all that a later leader learns,
        // if what made the job over is not in the store.
        if let (Some(job), Some(vm)) = (self.jobs.get(&code), self.vms.get_mut(name))
            && job.recorded_revision < job.revision
        {
            vm.unrecorded.insert(end.number, (code, job.revision));
        }
    }

    /// Returns whether the end changed the job.
    fn apply_end(&mut self, end: &AttemptEnd, held: Option<&HeldRun>, wall: WallTime) -> bool {
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
        let is_present = state.attempt == end.key.attempt;
        if is_present {
            state.location = None;
        }
        let saved = Some(&end.checkpoint)
            .filter(|text| !text.is_empty())
            .or_else(|| held.map(|held| &held.checkpoint))
            .filter(|text| !text.is_empty());
        if let Some(saved) = saved
            && (is_present || state.checkpoint.is_empty())
        {
            state.checkpoint.clone_from(saved);
        }
        if step.is_long_running {
            return true;
        }
        match end.kind {
            EndKind::Done => self.note_done(end.key.task, step.is_gang, wall),
            EndKind::Failed => self.note_failed(end.key, step.is_gang, wall),
            _ => {}
        }
        true
    }

    /// Marks a task done, and with a gang all of its members.
    fn note_done(&mut self, task: TaskName, is_gang: bool, wall: WallTime) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let first = TaskName { index: 0, ..task };
        let last = TaskName {
            index: u32::MAX,
            ..task
        };
        let members = if is_gang { first..=last } else { task..=task };
        for (_, state) in job.tasks.range_mut(members) {
            state.is_done = true;
            if let Some(place) = state.location.take() {
                self.news.insert(place.vm);
            }
        }
        if job.tasks.values().all(|state| state.is_done) {
            self.finish_job(task.job, JobPhase::Done, wall);
        }
    }

    /// Counts a failed attempt; the job fails with the last one it may.
    fn note_failed(&mut self, key: AttemptKey, is_gang: bool, wall: WallTime) {
        let task = key.task;
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let limit = job.spec.queue.attempt_limit.max(1);
        // A gang fails as one; its first member keeps the count.
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

    /// Takes back an attempt that the agent will never start.
    fn take_refusal(&mut self, name: &str, key: AttemptKey) {
        let Some(vm) = self.vms.get_mut(name) else {
            return;
        };
        if let Some(held) = vm.held.remove(&key) {
            self.return_task(key, &held, LossCause::Refused);
        }
    }

    /// Lets a task wait again whose attempt is surely over.
    fn return_task(&mut self, key: AttemptKey, held: &HeldRun, cause: LossCause) {
        let Some(job) = self.jobs.get_mut(&key.task.job) else {
            return;
        };
        let Some(state) = job.tasks.get_mut(&key.task) else {
            return;
        };
        if state.attempt != key.attempt || state.location.as_ref() != Some(&held.place) {
            return;
        }
        state.location = None;
        if !held.checkpoint.is_empty() {
            state.checkpoint.clone_from(&held.checkpoint);
        }
        self.touch(key.task.job);
        self.notes.push(JobEvent::Lost {
            key,
            vm: held.place.vm.clone(),
            cause,
        });
    }

    /// Accounts attempts of an earlier life to the present one if it lists them.
    ///
    /// An agent that has not heard of a rebirth yet starts tasks in the new life;
    /// until they are stopped there, they run nowhere else.
    fn move_listed(&mut self, report: &VmReport) {
        let Some(vm) = self.vms.get_mut(&report.vm) else {
            return;
        };
        let Some(incarnation) = vm.facts.as_ref().map(|facts| facts.incarnation.clone()) else {
            return;
        };
        let mut moved = Vec::new();
        for run in &report.attempts {
            let Some(held) = vm.held.get_mut(&run.key) else {
                continue;
            };
            if held.place.incarnation != incarnation {
                let earlier = held.place.clone();
                held.place.incarnation = incarnation.clone();
                moved.push((run.key, earlier, held.place.clone()));
            }
        }
        for (key, earlier, place) in moved {
            let state = self
                .jobs
                .get_mut(&key.task.job)
                .and_then(|job| job.tasks.get_mut(&key.task));
            if let Some(state) = state
                && state.location.as_ref() == Some(&earlier)
            {
                state.location = Some(place);
                self.touch(key.task.job);
            }
        }
    }

    fn lose_other_lives(&mut self, name: &str) {
        self.lose_where(name, LossCause::OtherLife, |vm, held| {
            !vm.is_life(&held.place)
        });
    }

    fn lose_present_life(&mut self, name: &str) {
        self.lose_where(name, LossCause::LifeOver, |vm, held| {
            vm.is_life(&held.place)
        });
    }

    fn lose_all(&mut self, name: &str) {
        self.lose_where(name, LossCause::LeaseOver, |_, _| true);
    }

    fn lose_where(
        &mut self,
        name: &str,
        cause: LossCause,
        is_lost: impl Fn(&VmState, &HeldRun) -> bool,
    ) {
        let Some(vm) = self.vms.get_mut(name) else {
            return;
        };
        let lost: Vec<AttemptKey> = vm
            .held
            .iter()
            .filter(|(_, held)| is_lost(vm, held))
            .map(|(key, _)| *key)
            .collect();
        vm.reported.clear();
        let runs: Vec<(AttemptKey, HeldRun)> = lost
            .into_iter()
            .filter_map(|key| vm.held.remove(&key).map(|held| (key, held)))
            .collect();
        for (key, held) in runs {
            self.return_task(key, &held, cause);
        }
    }

    /// Compares the runs that an agent listed with what the VM was given.
    fn take_runs(&mut self, name: &str, report: &VmReport, now: MonoTime) {
        let reported = report.attempts.iter().map(|run| run.key).collect();
        let unknown: Vec<(AttemptKey, HeldRun)> = report
            .attempts
            .iter()
            .filter(|run| {
                self.vms
                    .get(name)
                    .is_some_and(|vm| !vm.held.contains_key(&run.key))
            })
            .filter_map(|run| Some((run.key, self.unknown_run(name, run, now)?)))
            .collect();
        let Some(vm) = self.vms.get_mut(name) else {
            return;
        };
        vm.reported = reported;
        vm.held.extend(unknown);
        for run in &report.attempts {
            let Some(held) = vm.held.get_mut(&run.key) else {
                continue;
            };
            let task = run.key.task;
            if let Some((worked, percent)) = held.note_status(run, now)
                && let Some(job) = self.jobs.get_mut(&task.job)
            {
                job.record_progress(task.step, worked, percent);
            }
        }
        // What is wanted no more and the agent has not, is over.
        let taken = report.applied_orders;
        let reported = &vm.reported;
        let gone: Vec<AttemptKey> = vm
            .held
            .iter()
            .filter(|(key, held)| {
                !reported.contains(key) && held.dropped_in.is_some_and(|number| taken >= number)
            })
            .map(|(key, _)| *key)
            .collect();
        let runs: Vec<(AttemptKey, HeldRun)> = gone
            .into_iter()
            .filter_map(|key| vm.held.remove(&key).map(|held| (key, held)))
            .collect();
        for (key, held) in runs {
            self.return_task(key, &held, LossCause::Dropped);
        }
    }

    /// Accounts for a run that this leader did not order.
    fn unknown_run(&self, name: &str, run: &AttemptStatus, now: MonoTime) -> Option<HeldRun> {
        let vm = self.vms.get(name)?;
        let incarnation = vm.facts.as_ref()?.incarnation.clone();
        let place = AttemptLocation {
            vm: name.to_owned(),
            incarnation,
        };
        let step = self
            .jobs
            .get(&run.key.task.job)
            .and_then(|job| job.spec.steps.get(run.key.task.step as usize))
            .cloned()
            .unwrap_or_default();
        let mut held = HeldRun::recorded(place, &step);
        held.note_status(run, now);
        Some(held)
    }

    /// Does what is due by time: lapsed leases and attempts that stand still.
    pub fn tick(&mut self, now: MonoTime) {
        let wait = self.terms.lease.wait();
        let silent: Vec<String> = self
            .vms
            .iter()
            .filter(|(_, vm)| !vm.held.is_empty() && now > vm.leased_at.after(wait))
            .map(|(name, _)| name.clone())
            .collect();
        for name in silent {
            if let Some(vm) = self.vms.get_mut(&name) {
                vm.is_ready = false;
            }
            self.lose_all(&name);
        }
        // What is recalled goes on elsewhere only once the store has taken that.
        if now <= self.committed_at.after(RECALL_CONFIDENCE) {
            self.recall_stalled(now);
            self.recall_slowed(now);
            self.recall_draining(now);
        }
    }

    /// Recalls attempts that stand still, to go on elsewhere.
    fn recall_stalled(&mut self, now: MonoTime) {
        for (name, vm) in &mut self.vms {
            if !vm.is_ready {
                continue;
            }
            let mut stalled_jobs = Vec::new();
            for (key, held) in &mut vm.held {
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
                let is_stalled =
                    held.moved_at != MonoTime::default() && now > held.moved_at.after(STALL_TERM);
                let is_listed = vm.reported.contains(key);
                if is_movable && is_stalled && is_listed && !held.is_recalled {
                    held.is_recalled = true;
                    self.news.insert(name.clone());
                    self.notes.push(JobEvent::Recalled {
                        key: *key,
                        vm: name.clone(),
                        cause: EvictionCause::Stalled,
                    });
                    stalled_jobs.push(key.task.job);
                }
            }
            for job in stalled_jobs {
                vm.note_outcome(job, false, now);
            }
        }
    }
}
