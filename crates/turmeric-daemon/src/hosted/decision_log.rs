//! Log lines of the leader's decisions, and the metrics that count them.
//!
//! Failures are always logged. Successes are sampled beyond a rate, and a line
//! tells how many were left out.

use std::time::Duration;

use spdlog::{info, warn};
use turmeric_jobs::{EndKind, EvictionCause, JobEvent, JobPhase, LossCause};
use turmeric_types::MonoTime;

use super::meters::{ProcessMeters, count};

/// Lines about successes in one interval; a person reads no more.
const SAMPLE_LIMIT: u64 = 20;

/// Interval over which they are counted.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);

/// Attempts that one line names at the most.
const NAME_LIMIT: usize = 8;

/// Logs decisions within a bounded number of lines.
#[derive(Debug, Default)]
pub(crate) struct DecisionLog {
    began_at: MonoTime,
    written: u64,
    left_out: u64,
}

impl DecisionLog {
    /// Returns whether one more line about a success may be written now.
    fn is_sampled(&mut self, now: MonoTime) -> bool {
        if now > self.began_at.after(SAMPLE_INTERVAL) {
            if self.left_out > 0 {
                info!("decisions not logged", kv: { lines = self.left_out });
            }
            *self = Self {
                began_at: now,
                ..Self::default()
            };
        }
        let is_sampled = self.written < SAMPLE_LIMIT;
        if is_sampled {
            self.written += 1;
        } else {
            self.left_out += 1;
        }
        is_sampled
    }

    pub(crate) fn write(&mut self, note: JobEvent, meters: &ProcessMeters, now: MonoTime) {
        match note {
            JobEvent::Placed { .. } => self.write_placed(&note, meters, now),
            JobEvent::Finished { .. } => self.write_over(&note, meters, now),
            JobEvent::Evicted { key, vm, cause } => {
                count(&meters.attempts, "recalled", recall_word(cause));
                info!("attempt recalled", kv: {
                    task = key.task.to_string(), run = key.attempt.get(), vm = vm,
                    cause = recall_word(cause)
                });
            }
            JobEvent::Lost { key, vm, cause } => {
                count(&meters.attempts, "lost", loss_word(cause));
                warn!("attempt lost", kv: {
                    task = key.task.to_string(), run = key.attempt.get(), vm = vm,
                    cause = loss_word(cause)
                });
            }
            JobEvent::Ended { key, vm, kind } => {
                count(&meters.attempts, "ended", end_word(kind));
                info!("attempt ended", kv: {
                    task = key.task.to_string(), run = key.attempt.get(), vm = vm,
                    end = end_word(kind)
                });
            }
        }
    }

    fn write_placed(&mut self, note: &JobEvent, meters: &ProcessMeters, now: MonoTime) {
        let JobEvent::Placed {
            job,
            urgency,
            age,
            attempts,
        } = note
        else {
            return;
        };
        for _ in attempts {
            count(&meters.attempts, "placed", "done");
        }
        if !self.is_sampled(now) {
            return;
        }
        let names: Vec<String> = attempts
            .iter()
            .take(NAME_LIMIT)
            .map(|(key, vm)| format!("{} run {} on {vm}", key.task, key.attempt.get()))
            .collect();
        info!("tasks placed", kv: {
            job = job.to_string(), urgency = format!("{urgency:?}"),
            age_ms = age.as_millis() as u64, tasks = attempts.len(), attempts = names.join(", ")
        });
    }

    fn write_over(&mut self, note: &JobEvent, meters: &ProcessMeters, now: MonoTime) {
        let JobEvent::Finished {
            job,
            phase,
            age,
            objective,
            attempts,
            failures,
        } = note
        else {
            return;
        };
        let is_late = age > objective;
        let outcome = if is_late { "late" } else { "in_time" };
        count(&meters.jobs_over, phase_word(*phase), outcome);
        meters.job_seconds.observe(age.as_secs_f64());
        let is_success = *phase == JobPhase::Done && !is_late;
        if is_success && !self.is_sampled(now) {
            return;
        }
        info!("job over", kv: {
            job = job.to_string(), phase = phase_word(*phase), age_ms = age.as_millis() as u64,
            objective_ms = objective.as_millis() as u64, attempts = *attempts, failures = *failures
        });
    }
}

fn phase_word(phase: JobPhase) -> &'static str {
    match phase {
        JobPhase::Queued => "queued",
        JobPhase::Running => "running",
        JobPhase::Done => "done",
        JobPhase::Failed => "failed",
        JobPhase::Cancelled => "cancelled",
    }
}

fn end_word(kind: EndKind) -> &'static str {
    match kind {
        EndKind::Done => "done",
        EndKind::Failed => "failed",
        EndKind::Stopped => "stopped",
        EndKind::Lapsed => "lapsed",
        EndKind::GangBroken => "gang_broken",
        EndKind::GangIncomplete => "gang_incomplete",
    }
}

fn recall_word(cause: EvictionCause) -> &'static str {
    match cause {
        EvictionCause::Draining => "draining",
        EvictionCause::Slowed => "slowed",
        EvictionCause::Stalled => "stalled",
    }
}

fn loss_word(cause: LossCause) -> &'static str {
    match cause {
        LossCause::LeaseExpired => "lease_over",
        LossCause::OtherIncarnation => "other_life",
        LossCause::IncarnationEnded => "life_over",
        LossCause::Refused => "refused",
        LossCause::Dropped => "dropped",
    }
}
