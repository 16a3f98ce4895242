//! Measures the legs of each job's way to its first start.

use std::collections::BTreeMap;
use std::time::Duration;

use turmeric_types::MonoTime;

use crate::JobCode;

/// A leg of a job's way to its first start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartLeg {
    /// Write of the accepted job to the store.
    Store,
    /// From the acceptance until the leader knows the job.
    Intake,
    /// Until the first task is placed.
    Placement,
    /// Until the store has confirmed the placement.
    Record,
    /// Until an agent reports a task of the job as running.
    Order,
}

impl StartLeg {
    /// Returns the leg's name in metrics.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Intake => "intake",
            Self::Placement => "placement",
            Self::Record => "record",
            Self::Order => "order",
        }
    }
}

/// The legs that jobs have not finished yet, at the leader.
///
/// Only jobs that this leader sees arrive are measured: of others it does not know when their
/// legs began.
#[derive(Debug, Default)]
pub struct StartTracker {
    legs: BTreeMap<JobCode, (StartLeg, MonoTime)>,
}

impl StartTracker {
    /// Begins to measure a job that the leader has just learned of.
    pub fn begin(&mut self, job: JobCode, now: MonoTime) {
        let begun = (StartLeg::Placement, now);
        self.legs.entry(job).or_insert(begun);
    }

    /// Records that a job has finished `leg`; returns the leg's duration if the job was on it.
    pub fn finish(&mut self, job: JobCode, leg: StartLeg, now: MonoTime) -> Option<Duration> {
        let (current, since) = *self.legs.get(&job)?;
        if current != leg {
            return None;
        }
        let next = match leg {
            StartLeg::Placement => Some(StartLeg::Record),
            StartLeg::Record => Some(StartLeg::Order),
            _ => None,
        };
        match next {
            Some(next) => self.legs.insert(job, (next, now)),
            None => self.legs.remove(&job),
        };
        Some(now.since(since))
    }

    /// Stops measuring a job, which has ended.
    pub fn remove(&mut self, job: JobCode) {
        self.legs.remove(&job);
    }

    /// Returns whether no job is on a leg.
    pub fn is_empty(&self) -> bool {
        self.legs.is_empty()
    }
}
