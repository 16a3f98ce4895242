//! Events that report the leader's decisions to the log, one for each decision.

use std::time::Duration;

use turmeric_types::{MonoTime, WallTime};

use super::JobScheduler;
use super::absences::RestartStage;
use crate::{AttemptKey, CrashEvidence, EndKind, JobCode, JobPhase, JobUrgency, TaskName};

/// Most events kept until they are taken; further ones are only counted.
const EVENT_LIMIT: usize = 512;

/// Why an attempt was evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvictionCause {
    /// Its endpoint is draining.
    Draining,
    /// It was slowed down to protect serving tasks, and another VM has free capacity.
    Slowed,
    /// It made no progress.
    Stalled,
    /// It is long-running and was not started in time, and another VM has free capacity.
    Unstarted,
    /// It is a serving task, moved to a VM with others so that its VM has none.
    Consolidated,
    /// Its job is overdue, and a waiting task in time needs its processors.
    Overdue,
}

/// Why an attempt counts as ended although its worker reported no end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossCause {
    /// The agent sent no report until the leases on its VM had certainly expired.
    LeaseExpired,
    /// The endpoint crashed: it has another incarnation than the attempt's, and was not draining.
    Crashed,
    /// The agent reported that the worker does not answer, and that its leases have expired.
    LeasesExpired,
    /// The endpoint was draining, and has another incarnation than the attempt's.
    OtherIncarnation,
    /// The agent reported that the endpoint's incarnation has ended.
    IncarnationEnded,
    /// The agent reported that it will never start the attempt.
    Refused,
    /// It was never ordered, and its VM may not run it any longer.
    Withdrawn,
    /// It was no longer wanted, and the agent does not list it.
    Dropped,
}

/// Which leases a leader waits for before it runs the tasks of a silent VM elsewhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseOrigin {
    /// Those that it granted itself.
    Own,
    /// Those that an earlier leader may have granted.
    EarlierLeader,
}

/// A decision of the leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobEvent {
    /// Tasks of a job were placed on VMs.
    Placed {
        /// The job.
        job: JobCode,
        /// Its urgency, by how far it is from its objective.
        urgency: JobUrgency,
        /// Time since the job was accepted.
        age: Duration,
        /// Each attempt with its VM.
        attempts: Vec<(AttemptKey, String)>,
    },
    /// A worker is first known to have started a task of a job.
    Started {
        /// The attempt.
        key: AttemptKey,
        /// Its VM.
        vm: String,
        /// Time since the job was accepted.
        age: Duration,
    },
    /// An attempt is to stop, so that its task resumes on another VM.
    Evicted {
        /// The attempt.
        key: AttemptKey,
        /// Its VM.
        vm: String,
        /// The cause.
        cause: EvictionCause,
    },
    /// An attempt counts as ended although its worker reported no end.
    Lost {
        /// The attempt.
        key: AttemptKey,
        /// Its VM.
        vm: String,
        /// The cause.
        cause: LossCause,
    },
    /// A crash of an endpoint counts towards a task that was running there.
    Crashed {
        /// The attempt.
        key: AttemptKey,
        /// Its VM.
        vm: String,
        /// How likely it is that the attempt caused the crash.
        evidence: CrashEvidence,
        /// The attempt is known to have run as the endpoint crashed.
        is_certain: bool,
        /// Crashes that count towards the task.
        crashes: usize,
        /// The task is given up, and its job fails.
        is_fatal: bool,
    },
    /// The worker on a VM does not answer its agent, or answers again.
    Reachability {
        /// The VM.
        vm: String,
        /// The worker does not answer.
        is_lost: bool,
        /// Attempts that may be running on the VM.
        attempts: usize,
    },
    /// The leases on a VM have certainly expired.
    LeasesExpired {
        /// The VM.
        vm: String,
        /// Attempts that may have been running on it until then.
        attempts: usize,
        /// Which leases ended last.
        origin: LeaseOrigin,
        /// Time since the agent's last report, or since the takeover if there was none.
        report_silence: Duration,
        /// Time since the agent first reported that the worker does not answer; zero if it did.
        worker_silence: Duration,
        /// Time since this leader took over.
        tenure: Duration,
    },
    /// An attempt ended without success.
    Ended {
        /// The attempt.
        key: AttemptKey,
        /// Its VM.
        vm: String,
        /// How it ended.
        kind: EndKind,
    },
    /// A long-running task has not run for longer than the platform allows soon, or waits for
    /// something else since. One that has never run is named once, while a VM has room for it.
    Absent {
        /// The task.
        task: TaskName,
        /// An attempt of it has run, or may have.
        has_run: bool,
        /// What it waits for.
        stage: RestartStage,
        /// Time since its last run, or since its turn.
        absence: Duration,
    },
    /// A long-running task runs again, or for the first time.
    Resumed {
        /// The task.
        task: TaskName,
        /// An earlier attempt of it has run, or may have.
        has_run: bool,
        /// Time since its last run, or since its turn.
        absence: Duration,
        /// Time that it waited in each stage.
        stages: Vec<(RestartStage, Duration)>,
        /// The absence was reported.
        is_long: bool,
    },
    /// A job ended.
    Finished {
        /// The job.
        job: JobCode,
        /// How it ended.
        phase: JobPhase,
        /// Time since the job was accepted.
        age: Duration,
        /// Time within which its caller wanted it done.
        objective: Duration,
        /// Number of attempts of all its tasks.
        attempts: u64,
        /// Number of attempts that ended as failed.
        failures: usize,
    },
}

/// Events that have not been logged yet.
#[derive(Debug, Default)]
pub(super) struct EventList {
    events: Vec<JobEvent>,
    left_out: u64,
}

impl EventList {
    pub(super) fn push(&mut self, event: JobEvent) {
        if self.events.len() < EVENT_LIMIT {
            self.events.push(event);
        } else {
            self.left_out += 1;
        }
    }
}

impl JobScheduler {
    /// Returns the events since the last call and the number of events that were dropped.
    pub fn take_events(&mut self) -> (Vec<JobEvent>, u64) {
        let list = std::mem::take(&mut self.events);
        (list.events, list.left_out)
    }

    /// Records that a worker has started an attempt.
    pub(super) fn record_start(&mut self, key: AttemptKey, vm: &str, now: WallTime) {
        let code = key.task.job;
        let Some(job) = self.jobs.get_mut(&code) else {
            return;
        };
        if job.record_start() {
            self.unrecorded_starts.insert(code);
            self.events.push(JobEvent::Started {
                key,
                vm: vm.to_owned(),
                age: now.since(job.spec.accepted_at),
            });
        }
    }

    /// Reports that the leases on a VM have expired.
    pub(super) fn record_expiry(&mut self, name: &str, now: MonoTime) {
        let Some(vm) = self.vms.get(name) else {
            return;
        };
        let origin = if vm.knows_leader {
            LeaseOrigin::Own
        } else {
            LeaseOrigin::EarlierLeader
        };
        self.events.push(JobEvent::LeasesExpired {
            vm: name.to_owned(),
            attempts: vm.attempts.len(),
            origin,
            report_silence: now.since(vm.reported_at),
            worker_silence: now.since(vm.unresponsive_since.unwrap_or(now)),
            tenure: now.since(self.took_over_at),
        });
    }

    /// Reports the end of a job.
    pub(super) fn record_job_end(&mut self, code: JobCode, now: WallTime) {
        let Some(job) = self.jobs.get(&code) else {
            return;
        };
        let states = job.tasks.values();
        self.events.push(JobEvent::Finished {
            job: code,
            phase: job.phase,
            age: now.since(job.spec.accepted_at),
            objective: job.spec.objective(),
            attempts: states.clone().map(|state| state.attempt.get()).sum(),
            failures: states.map(|state| state.failed_attempts.len()).sum(),
        });
    }
}
