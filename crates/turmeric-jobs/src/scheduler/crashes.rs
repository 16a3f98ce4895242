//! Counts the crashes of endpoints towards the tasks that may have caused them.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use turmeric_types::{MonoTime, WallTime};

use super::JobScheduler;
use super::moves::AT_WORK_PERCENT;
use super::notes::JobEvent;
use super::vm::VmAttempt;
use crate::{
    ATTRIBUTION_WINDOW, AttemptKey, CrashEvidence, CrashVerdict, IncarnationCrash, JobPhase,
    SHARED_WINDOW, StartTime, TaskName, weigh_crash,
};

/// A crash of an endpoint, as the leader learns of it.
pub(super) struct CrashNotice<'a> {
    /// Attempts that the leader had placed on the endpoint, with their state there.
    pub(super) lost: &'a [(AttemptKey, VmAttempt)],
    /// What the agent says of the crash; [`None`] from an agent that was not there.
    pub(super) report: Option<&'a IncarnationCrash>,
    /// When the agent reported that the endpoint does not answer. Unknown after a restart so
    /// short that nobody noticed; an order may then have reached the next incarnation.
    pub(super) at: Option<MonoTime>,
}

impl CrashNotice<'_> {
    /// Returns the attempts that may have run at the endpoint, with the times of their starts.
    fn starts(&self) -> BTreeMap<AttemptKey, StartTime> {
        let placed = self
            .lost
            .iter()
            .filter(|(key, attempt)| self.may_have_run(key, attempt));
        let mut starts: BTreeMap<AttemptKey, StartTime> = placed
            .map(|(key, attempt)| (*key, self.start_time(key, attempt)))
            .collect();
        for key in self.report.iter().flat_map(|report| &report.attempts) {
            starts.entry(*key).or_insert(StartTime::Unknown);
        }
        starts
    }

    fn start_time(&self, key: &AttemptKey, attempt: &VmAttempt) -> StartTime {
        let Some(at) = self.at else {
            return StartTime::Unknown;
        };
        let is_unconfirmed = |report: &IncarnationCrash| report.unconfirmed.contains(key);
        if self.report.is_some_and(is_unconfirmed) {
            return StartTime::Unconfirmed;
        }
        let Some(age) = attempt.age_at(at) else {
            return StartTime::Unknown;
        };
        let was_there =
            |report: &IncarnationCrash| report.incarnation == attempt.location.incarnation;
        // An agent that was not there cannot tell which starts the worker had confirmed.
        if age > ATTRIBUTION_WINDOW
            && !attempt.is_confirmed
            && attempt.percent == 0
            && !self.report.is_some_and(was_there)
        {
            return StartTime::Unconfirmed;
        }
        StartTime::Before(age)
    }

    fn may_have_run(&self, key: &AttemptKey, attempt: &VmAttempt) -> bool {
        match self.report {
            Some(report) if report.incarnation == attempt.location.incarnation => {
                report.attempts.contains(key)
            }
            // An earlier leader may have sent the order.
            _ if attempt.placed_at == MonoTime::default() => true,
            _ => attempt
                .first_sent_at
                .is_some_and(|sent| self.at.is_none_or(|at| sent <= at)),
        }
    }

    /// Returns whether an attempt is known to have run as the endpoint crashed: by its agent, or
    /// by its last report if the agent has been replaced.
    fn is_certain(&self, key: &AttemptKey) -> bool {
        let lost = self.lost.iter().find(|(lost, _)| lost == key);
        let names_incarnation = |report: &&IncarnationCrash| {
            lost.is_none_or(|(_, attempt)| report.incarnation == attempt.location.incarnation)
        };
        match self.report.filter(names_incarnation) {
            Some(report) => report.attempts.contains(key) && !report.unconfirmed.contains(key),
            None => lost.is_some_and(|(_, attempt)| attempt.is_confirmed),
        }
    }

    /// Returns whether a long-running attempt had been at work before the crash. It would not
    /// have survived its own start otherwise.
    fn was_at_work(&self, key: &AttemptKey) -> bool {
        let attempt = self.lost.iter().find(|(lost, _)| lost == key);
        attempt.is_none_or(|(_, attempt)| attempt.percent == AT_WORK_PERCENT)
    }
}

/// Most crashes of which the leader remembers which attempts they ended.
const CRASH_HISTORY_LIMIT: usize = 256;

/// The attempts that each of the last crashes ended.
#[derive(Debug, Default)]
pub(super) struct CrashHistory {
    crashes: VecDeque<BTreeMap<AttemptKey, CrashEvidence>>,
}

impl CrashHistory {
    fn add(&mut self, evidence: BTreeMap<AttemptKey, CrashEvidence>) {
        if self.crashes.len() == CRASH_HISTORY_LIMIT {
            self.crashes.pop_front();
        }
        self.crashes.push_back(evidence);
    }

    /// Returns the attempts of other tasks that crashes under a task ended, and that had
    /// been running for a while. Of two tasks that were started together, both may be the cause.
    fn neighbours(&self, task: &TaskName) -> Vec<AttemptKey> {
        let is_under = |crash: &&BTreeMap<AttemptKey, CrashEvidence>| {
            crash.keys().any(|key| key.task == *task)
        };
        let neighbours = self.crashes.iter().filter(is_under).flatten();
        neighbours
            .filter(|(key, evidence)| key.task != *task && **evidence == CrashEvidence::Earlier)
            .map(|(key, _)| *key)
            .collect()
    }
}

impl JobScheduler {
    /// Counts a crash towards the tasks that were running, and gives up those to blame.
    pub(super) fn record_crash(&mut self, name: &str, notice: &CrashNotice<'_>, wall: WallTime) {
        let mut weighed: Vec<(AttemptKey, CrashEvidence)> =
            weigh_crash(&notice.starts()).into_iter().collect();
        weighed.retain(|(key, evidence)| {
            matches!(evidence, CrashEvidence::Alone | CrashEvidence::Shared)
                || !self.is_long_running(key)
                || !notice.was_at_work(key)
        });
        if weighed.is_empty() {
            return;
        }
        self.crash_history.add(weighed.iter().copied().collect());
        // Once a task is proven to be to blame, the crash says nothing of the others.
        weighed.sort_by_key(|(_, evidence)| *evidence != CrashEvidence::Alone);
        for (key, evidence) in weighed {
            let is_certain = notice.is_certain(&key);
            let is_fatal = self.record_task_crash(name, key, evidence, is_certain);
            let is_proven = is_fatal && is_certain && evidence == CrashEvidence::Alone;
            if is_proven {
                self.discount_crashes(&key.task);
                break;
            }
        }
        self.fail_crashed_jobs(wall);
    }

    /// Fails the jobs of tasks that were given up since the last round of placement.
    pub(super) fn fail_crashed_jobs(&mut self, wall: WallTime) {
        for code in std::mem::take(&mut self.crashed_jobs) {
            let job = self.jobs.get(&code);
            if job.is_some_and(|job| !job.phase.is_terminal()) {
                self.finish_job(code, JobPhase::Failed, wall);
            }
        }
    }

    /// Takes back the crashes that were counted towards the neighbours of a task to blame, except
    /// towards suspects: one may crash endpoints as well.
    fn discount_crashes(&mut self, task: &TaskName) {
        for key in self.crash_history.neighbours(task) {
            let job = self.jobs.get_mut(&key.task.job);
            let job = job.filter(|job| !job.phase.is_terminal());
            let state = job.and_then(|job| job.tasks.get_mut(&key.task));
            let crashes = state.map(|state| &mut state.crashes);
            let crashes = crashes.filter(|crashes| !crashes.is_suspect);
            if crashes.is_some_and(|crashes| crashes.discount(key.attempt)) {
                self.touch(key.task.job);
            }
        }
    }

    /// Counts a crash towards one task; returns whether the task is given up.
    fn record_task_crash(
        &mut self,
        name: &str,
        key: AttemptKey,
        evidence: CrashEvidence,
        is_certain: bool,
    ) -> bool {
        let is_long_running = self.is_long_running(&key);
        let job = self.jobs.get_mut(&key.task.job);
        let Some(job) = job.filter(|job| !job.phase.is_terminal()) else {
            return false;
        };
        let Some(state) = job.tasks.get_mut(&key.task).filter(|state| !state.is_done) else {
            return false;
        };
        let crashes = &mut state.crashes;
        let verdict = crashes.record(key.attempt, evidence, is_certain, is_long_running);
        let crashes = state.crashes.attempts.len();
        if verdict == CrashVerdict::Known {
            return false;
        }
        let is_fatal = verdict == CrashVerdict::Fail;
        if is_fatal {
            self.crashed_jobs.insert(key.task.job);
        }
        self.touch(key.task.job);
        self.events.push(JobEvent::Crashed {
            key,
            vm: name.to_owned(),
            evidence,
            is_certain,
            crashes,
            is_fatal,
        });
        is_fatal
    }

    pub(super) fn is_long_running(&self, key: &AttemptKey) -> bool {
        let job = self.jobs.get(&key.task.job);
        let step = job.and_then(|job| job.spec.steps.get(key.task.step as usize));
        step.is_some_and(|step| step.is_long_running)
    }
}

impl VmAttempt {
    /// Returns the time from the last order to start it before `at` until then.
    fn age_at(&self, at: MonoTime) -> Option<Duration> {
        let sent = self.sent_at.filter(|sent| *sent <= at);
        sent.or(self.first_sent_at).map(|sent| at.since(sent))
    }

    /// Returns whether no other task may be started beside the attempt, so that a crash tells
    /// whether its task is to blame.
    pub(super) fn is_isolated(&self, now: MonoTime) -> bool {
        self.is_suspect
            && self
                .sent_at
                .is_none_or(|sent| now <= sent.after(ATTRIBUTION_WINDOW))
    }

    /// Returns whether the attempt would share the blame for a crash now, or soon.
    pub(super) fn is_recent(&self, now: MonoTime) -> bool {
        let is_unsent = self.placed_at != MonoTime::default() && !self.is_confirmed;
        self.sent_at
            .map_or(is_unsent, |sent| now <= sent.after(SHARED_WINDOW))
    }
}
