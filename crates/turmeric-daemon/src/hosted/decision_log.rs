//! Log lines and metrics for the leader's decisions.
//!
//! Failures are always logged. Lines about successes are rate-limited, and a line states how
//! many were omitted.

use std::time::Duration;

use spdlog::{info, warn};
use turmeric_jobs::{
    CrashEvidence, EndKind, EvictionCause, JobEvent, JobPhase, LeaseOrigin, LossCause, RestartStage,
};
use turmeric_types::MonoTime;

use super::metrics::{ProcessMetrics, ShedCause, count};

/// Maximum number of lines about successes in one interval, as many as a person can read.
const SAMPLE_LIMIT: u64 = 20;

/// Interval over which lines about successes are counted.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of attempts that one line names.
const NAME_LIMIT: usize = 8;

/// Logs decisions and limits the rate of lines about successes.
#[derive(Debug, Default)]
pub(crate) struct DecisionLog {
    window_started_at: MonoTime,
    written: u64,
    omitted: u64,
}

impl DecisionLog {
    /// Counts a line about a success; returns whether it may be written now.
    fn is_sampled(&mut self, now: MonoTime) -> bool {
        if now > self.window_started_at.after(SAMPLE_INTERVAL) {
            if self.omitted > 0 {
                info!("decisions not logged", kv: { lines = self.omitted });
            }
            *self = Self {
                window_started_at: now,
                ..Self::default()
            };
        }
        let is_sampled = self.written < SAMPLE_LIMIT;
        if is_sampled {
            self.written += 1;
        } else {
            self.omitted += 1;
        }
        is_sampled
    }

    /// Logs a decision and updates the metrics.
    pub(crate) fn log(&mut self, event: JobEvent, metrics: &ProcessMetrics, now: MonoTime) {
        match event {
            JobEvent::Placed { .. } => self.log_placed(&event, metrics, now),
            JobEvent::Finished { .. } => self.log_finished(&event, metrics, now),
            JobEvent::Started { key, vm, age } => {
                if self.is_sampled(now) {
                    info!("job started", kv: {
                        job = key.task.job.to_string(), task = key.task.to_string(),
                        run = key.attempt.get(), vm = vm, age_ms = age.as_millis() as u64
                    });
                }
            }
            JobEvent::Evicted { key, vm, cause } => {
                count(&metrics.attempts, "recalled", eviction_label(cause));
                if cause == EvictionCause::Overdue {
                    metrics.count_shed(ShedCause::EvictedOverdue);
                }
                info!("attempt evicted", kv: {
                    task = key.task.to_string(), run = key.attempt.get(), vm = vm,
                    cause = eviction_label(cause)
                });
            }
            JobEvent::Lost { key, vm, cause } => {
                count(&metrics.attempts, "lost", loss_label(cause));
                warn!("attempt lost", kv: {
                    task = key.task.to_string(), run = key.attempt.get(), vm = vm,
                    cause = loss_label(cause)
                });
            }
            JobEvent::Crashed {
                key,
                vm,
                evidence,
                is_certain,
                crashes,
                is_fatal,
            } => {
                let outcome = if is_fatal { "given_up" } else { "retried" };
                count(&metrics.attempts, "crashed", outcome);
                warn!("endpoint crashed under a task", kv: {
                    task = key.task.to_string(), run = key.attempt.get(), vm = vm,
                    evidence = evidence_label(evidence), certain = is_certain, crashes = crashes,
                    given_up = is_fatal
                });
            }
            JobEvent::Reachability {
                vm,
                is_lost,
                attempts,
            } => {
                let outcome = if is_lost { "lost" } else { "regained" };
                count(&metrics.workers, "worker", outcome);
                info!("reachability of a worker changed", kv: {
                    vm = vm, is_lost = is_lost, attempts = attempts
                });
            }
            JobEvent::LeasesExpired {
                vm,
                attempts,
                origin,
                report_silence,
                worker_silence,
                tenure,
            } => {
                let origin = origin_label(origin);
                metrics.record_lease_wait(origin, worker_silence.max(report_silence));
                warn!("leases on a VM have expired", kv: {
                    vm = vm, attempts = attempts, origin = origin,
                    report_silence_ms = report_silence.as_millis() as u64,
                    worker_silence_ms = worker_silence.as_millis() as u64,
                    tenure_ms = tenure.as_millis() as u64
                });
            }
            JobEvent::Absent {
                task,
                has_run,
                stage,
                absence,
            } => {
                warn!("long-running task does not run", kv: {
                    task = task.to_string(), has_run = has_run, stage = stage.label(),
                    absent_ms = absence.as_millis() as u64
                });
            }
            JobEvent::Resumed {
                task,
                has_run,
                absence,
                stages,
                is_long,
            } => {
                metrics.record_absence(has_run, longest_stage(&stages), absence);
                if is_long {
                    info!("long-running task runs again", kv: {
                        task = task.to_string(), has_run = has_run,
                        absent_ms = absence.as_millis() as u64,
                        stages = describe_stages(&stages)
                    });
                }
            }
            JobEvent::Ended { key, vm, kind } => {
                count(&metrics.attempts, "ended", end_label(kind));
                info!("attempt ended", kv: {
                    task = key.task.to_string(), run = key.attempt.get(), vm = vm,
                    end = end_label(kind)
                });
            }
        }
    }

    fn log_placed(&mut self, event: &JobEvent, metrics: &ProcessMetrics, now: MonoTime) {
        let JobEvent::Placed {
            job,
            urgency,
            age,
            attempts,
        } = event
        else {
            return;
        };
        for _ in attempts {
            count(&metrics.attempts, "placed", "done");
        }
        if !self.is_sampled(now) {
            return;
        }
        let names: Vec<String> = attempts
            .iter()
            .take(NAME_LIMIT)
            .map(|(key, vm)| format!("{} attempt {} on {vm}", key.task, key.attempt.get()))
            .collect();
        info!("tasks placed", kv: {
            job = job.to_string(), urgency = format!("{urgency:?}"),
            age_ms = age.as_millis() as u64, tasks = attempts.len(), attempts = names.join(", ")
        });
    }

    fn log_finished(&mut self, event: &JobEvent, metrics: &ProcessMetrics, now: MonoTime) {
        let JobEvent::Finished {
            job,
            phase,
            age,
            objective,
            attempts,
            failures,
        } = event
        else {
            return;
        };
        let is_late = age > objective;
        let outcome = if is_late { "late" } else { "in_time" };
        count(&metrics.jobs_over, phase_label(*phase), outcome);
        metrics.job_seconds.observe(age.as_secs_f64());
        let is_success = *phase == JobPhase::Done && !is_late;
        if is_success && !self.is_sampled(now) {
            return;
        }
        info!("job over", kv: {
            job = job.to_string(), phase = phase_label(*phase), age_ms = age.as_millis() as u64,
            objective_ms = objective.as_millis() as u64, attempts = *attempts, failures = *failures
        });
    }
}

/// Returns the label of the stage that took longest.
fn longest_stage(stages: &[(RestartStage, Duration)]) -> &'static str {
    let longest = stages.iter().max_by_key(|(_, spent)| *spent);
    longest.map_or("", |(stage, _)| stage.label())
}

fn describe_stages(stages: &[(RestartStage, Duration)]) -> String {
    let texts = stages
        .iter()
        .map(|(stage, spent)| format!("{} {} ms", stage.label(), spent.as_millis()));
    texts.collect::<Vec<_>>().join(", ")
}

fn phase_label(phase: JobPhase) -> &'static str {
    match phase {
        JobPhase::Queued => "queued",
        JobPhase::Running => "running",
        JobPhase::Done => "done",
        JobPhase::Failed => "failed",
        JobPhase::Cancelled => "cancelled",
    }
}

fn end_label(kind: EndKind) -> &'static str {
    match kind {
        EndKind::Done => "done",
        EndKind::Failed => "failed",
        EndKind::Stopped => "stopped",
        EndKind::Lapsed => "lapsed",
        EndKind::GangBroken => "gang_broken",
        EndKind::GangIncomplete => "gang_incomplete",
    }
}

fn eviction_label(cause: EvictionCause) -> &'static str {
    match cause {
        EvictionCause::Draining => "draining",
        EvictionCause::Slowed => "slowed",
        EvictionCause::Stalled => "stalled",
        EvictionCause::Unstarted => "unstarted",
        EvictionCause::Consolidated => "consolidated",
        EvictionCause::Overdue => "overdue",
    }
}

fn evidence_label(evidence: CrashEvidence) -> &'static str {
    match evidence {
        CrashEvidence::Alone => "alone",
        CrashEvidence::Shared => "shared",
        CrashEvidence::Earlier => "earlier",
        CrashEvidence::Unclear => "unclear",
    }
}

fn origin_label(origin: LeaseOrigin) -> &'static str {
    match origin {
        LeaseOrigin::Own => "own",
        LeaseOrigin::EarlierLeader => "earlier_leader",
    }
}

fn loss_label(cause: LossCause) -> &'static str {
    match cause {
        LossCause::LeaseExpired => "lease_over",
        LossCause::Crashed => "crashed",
        LossCause::LeasesExpired => "leases_expired",
        LossCause::OtherIncarnation => "other_life",
        LossCause::IncarnationEnded => "life_over",
        LossCause::Refused => "refused",
        LossCause::Withdrawn => "withdrawn",
        LossCause::Dropped => "dropped",
    }
}
