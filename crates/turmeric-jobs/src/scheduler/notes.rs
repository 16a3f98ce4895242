//! What the leader decided, for the log: each decision once, with what decided it.

use std::time::Duration;

use turmeric_types::WallTime;

use super::JobScheduler;
use crate::{AttemptKey, EndKind, JobCode, JobPhase, JobUrgency};

/// Decisions kept until they are taken; what comes beyond is only counted.
const NOTE_LIMIT: usize = 512;

/// Why an attempt was recalled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvictionCause {
    /// Its endpoint drains.
    Draining,
    /// It was slowed for the sake of serving tasks, and others have room.
    Slowed,
    /// Its share of work done stood still.
    Stalled,
}

/// Why an attempt counts as over without an end of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossCause {
    /// The VM was silent until its leases had surely ended.
    LeaseOver,
    /// The endpoint has begun another life.
    OtherLife,
    /// The agent said that the endpoint's life is over.
    LifeOver,
    /// The agent will never start it.
    Refused,
    /// It was not wanted any more, and the agent does not have it.
    Dropped,
}

/// One decision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobEvent {
    /// Tasks of a job were given to VMs.
    Placed {
        /// The job.
        job: JobCode,
        /// How far it is from its objective.
        urgency: JobUrgency,
        /// Time since it was accepted.
        age: Duration,
        /// Each attempt with its VM.
        attempts: Vec<(AttemptKey, String)>,
    },
    /// An attempt is to end and go on elsewhere.
    Recalled {
        /// The attempt.
        key: AttemptKey,
        /// Its VM.
        vm: String,
        /// Why.
        cause: EvictionCause,
    },
    /// An attempt counts as over.
    Lost {
        /// The attempt.
        key: AttemptKey,
        /// Its VM.
        vm: String,
        /// Why.
        cause: LossCause,
    },
    /// An attempt has ended otherwise than by success.
    Ended {
        /// The attempt.
        key: AttemptKey,
        /// Its VM.
        vm: String,
        /// How.
        kind: EndKind,
    },
    /// A job is over.
    Over {
        /// The job.
        job: JobCode,
        /// How it ended.
        phase: JobPhase,
        /// Time since it was accepted.
        age: Duration,
        /// Time within which its caller wanted it.
        objective: Duration,
        /// Attempts begun, over all tasks.
        attempts: u64,
        /// Attempts that failed by themselves.
        failures: usize,
    },
}

/// Decisions that were not logged yet.
#[derive(Debug, Default)]
pub(super) struct EventList {
    notes: Vec<JobEvent>,
    left_out: u64,
}

impl EventList {
    pub(super) fn push(&mut self, note: JobEvent) {
        if self.notes.len() < NOTE_LIMIT {
            self.notes.push(note);
        } else {
            self.left_out += 1;
        }
    }
}

impl JobScheduler {
    /// Returns the decisions since the last call, and how many were left out.
    pub fn take_notes(&mut self) -> (Vec<JobEvent>, u64) {
        let list = std::mem::take(&mut self.notes);
        (list.notes, list.left_out)
    }

    pub(super) fn note_over(&mut self, code: JobCode, now: WallTime) {
        let Some(job) = self.jobs.get(&code) else {
            return;
        };
        let states = job.tasks.values();
        self.notes.push(JobEvent::Over {
            job: code,
            phase: job.phase,
            age: now.since(job.spec.accepted_at),
            objective: job.spec.objective(),
            attempts: states.clone().map(|state| state.attempt.get()).sum(),
            failures: states.map(|state| state.failed_attempts.len()).sum(),
        });
    }
}
