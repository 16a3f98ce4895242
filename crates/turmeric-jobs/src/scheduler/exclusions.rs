//! Counts why waiting tasks are not placed, for the log and the metrics.
//!
//! Load pattern: hundreds of best-effort tasks wait while half of the cluster's processors are
//! idle. Free and idle processors alone don't show that the serving tasks' headroom keeps the
//! tasks from them.

use std::collections::BTreeMap;
use std::fmt;

use turmeric_types::{MonoTime, WallTime};

use super::JobScheduler;
use super::moves::FleetCapacity;
use super::place::{ServiceUsage, is_due};
use crate::{ExclusionCause, JobCode, JobState, PlacementRequest, StepSpec, TaskName};

/// Most waiting steps for which the VMs are checked, so that the summary takes under 1% of the
/// leader's time: 64 steps on 160 VMs are 10,240 checks a second.
const STEP_LIMIT: usize = 64;

/// Number of VMs excluded by each cause.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ExclusionCounts {
    counts: BTreeMap<ExclusionCause, usize>,
}

impl ExclusionCounts {
    /// Returns the number of VMs that a cause excludes.
    pub fn get(&self, cause: ExclusionCause) -> usize {
        self.counts.get(&cause).copied().unwrap_or_default()
    }

    /// Returns the cause that excludes the most VMs, the first in the order of
    /// [`ExclusionCause::ALL`] among equals; [`None`] if no VM is excluded.
    pub fn main_cause(&self) -> Option<ExclusionCause> {
        self.by_count().first().map(|(cause, _)| *cause)
    }

    fn add(&mut self, cause: ExclusionCause, vms: usize) {
        if vms > 0 {
            *self.counts.entry(cause).or_default() += vms;
        }
    }

    fn by_count(&self) -> Vec<(ExclusionCause, usize)> {
        let mut counts: Vec<_> = self
            .counts
            .iter()
            .map(|(cause, vms)| (*cause, *vms))
            .collect();
        counts.sort_by_key(|(_, vms)| std::cmp::Reverse(*vms));
        counts
    }
}

impl fmt::Display for ExclusionCounts {
    /// Writes the causes and their numbers of VMs, the largest number first.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.counts.is_empty() {
            return formatter.write_str("none");
        }
        for (position, (cause, vms)) in self.by_count().into_iter().enumerate() {
            let separator = if position == 0 { "" } else { ", " };
            write!(formatter, "{separator}{} {vms}", cause.label())?;
        }
        Ok(())
    }
}

/// A step whose tasks wait, and why each VM is excluded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitingStep {
    /// The step, by the name of its first task.
    pub first: TaskName,
    /// Number of waiting tasks.
    pub tasks: usize,
    /// VMs excluded by each cause for one of these tasks.
    pub causes: ExclusionCounts,
}

/// Why the tasks of ready jobs wait.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ExclusionSummary {
    /// The step that has waited longest.
    pub longest: Option<WaitingStep>,
    /// Number of steps that are counted.
    pub steps: usize,
    /// Excluded VMs, summed over the counted steps.
    pub totals: ExclusionCounts,
    /// Waiting tasks of the counted steps, by the step's main cause.
    pub tasks: BTreeMap<ExclusionCause, usize>,
}

impl fmt::Display for ExclusionSummary {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let tasks: usize = self.tasks.values().sum();
        write!(
            formatter,
            "{} steps, {tasks} tasks, VMs excluded: {}",
            self.steps, self.totals
        )
    }
}

impl ExclusionSummary {
    fn record(&mut self, step: WaitingStep) {
        self.steps += 1;
        for (cause, vms) in &step.causes.counts {
            self.totals.add(*cause, *vms);
        }
        if let Some(cause) = step.causes.main_cause() {
            *self.tasks.entry(cause).or_default() += step.tasks;
        }
        self.longest.get_or_insert(step);
    }
}

/// A step that is ready and has waiting tasks.
struct ReadyStep<'a> {
    job: &'a JobState,
    step: &'a StepSpec,
    first: TaskName,
    /// When its job was accepted or its occurrence was due; when the step became ready is not
    /// recorded.
    waiting_since: WallTime,
    /// The waiting task for which the VMs are checked.
    representative: TaskName,
    tasks: usize,
}

impl JobScheduler {
    /// Counts why the tasks of ready jobs wait, for one task of each of at most 64 steps, those
    /// of the oldest jobs.
    ///
    /// A step counts if no VM can run its task, and a gang's step until all of it is placed.
    /// Checks the VMs for each step, so it is meant to be called at most once a second.
    pub fn summarize_exclusions(&self, now: MonoTime, wall: WallTime) -> ExclusionSummary {
        let mut summary = ExclusionSummary::default();
        if self.is_releasing {
            return summary;
        }
        let fleet = self.fleet_capacity(now);
        let usage = ServiceUsage::new(fleet.vms.values());
        let mut ready: Vec<ReadyStep<'_>> = self
            .jobs
            .iter()
            .filter(|(_, job)| !job.phase.is_terminal() && !self.is_gathering(job, wall))
            .flat_map(|(code, job)| ready_steps(*code, job, &fleet, wall))
            .collect();
        ready.sort_by_key(|step| (step.waiting_since, step.first));
        for step in ready.iter().take(STEP_LIMIT) {
            if let Some(waiting) = self.explain_step(step, &fleet, &usage, now, wall) {
                summary.record(waiting);
            }
        }
        summary
    }

    /// Counts the excluded VMs for a step; returns [`None`] if its task can be placed.
    fn explain_step(
        &self,
        ready: &ReadyStep<'_>,
        fleet: &FleetCapacity,
        usage: &ServiceUsage,
        now: MonoTime,
        wall: WallTime,
    ) -> Option<WaitingStep> {
        let service = self.service(ready.job);
        let request = PlacementRequest {
            service,
            step: ready.step,
            table: &self.headroom,
            is_starved: self.is_starved(ready.job, service, usage, wall),
        };
        let avoided = self.avoided_vm(&ready.representative, now);
        let mut causes = ExclusionCounts::default();
        causes.add(ExclusionCause::Closed, self.vms.len() - fleet.vms.len());
        let mut has_room = false;
        for vm in fleet.vms.values() {
            let code = ready.first.job;
            let cause = if avoided == Some(vm.vm.as_str()) || !self.may_retry(code, vm, now) {
                Some(ExclusionCause::Avoided)
            } else {
                request.exclusion(vm, || self.count_step(&vm.vm, &ready.first))
            };
            match cause {
                Some(cause) => causes.add(cause, 1),
                None => has_room = true,
            }
            if has_room && !ready.step.is_gang {
                return None;
            }
        }
        Some(WaitingStep {
            first: ready.first,
            tasks: ready.tasks,
            causes,
        })
    }
}

/// Returns the steps of a job whose waiting tasks a round of placement would try to place.
fn ready_steps<'a>(
    code: JobCode,
    job: &'a JobState,
    fleet: &FleetCapacity,
    wall: WallTime,
) -> Vec<ReadyStep<'a>> {
    let mut ready = Vec::new();
    for occurrence in 0..job.spec.occurrences() {
        if !is_due(job, occurrence, wall) {
            break;
        }
        let waiting_since = job.spec.repeat.map_or(job.spec.accepted_at, |repeat| {
            repeat.first_due_at.after(repeat.interval * occurrence)
        });
        for (number, step) in (0..).zip(&job.spec.steps) {
            let first = TaskName {
                job: code,
                occurrence,
                step: number,
                index: 0,
            };
            let mut representative = None;
            let mut tasks = 0;
            let range = job.tasks.range(first.step_range());
            for (name, _) in range.filter(|(_, state)| state.is_waiting()) {
                // A task that is being moved has space reserved and waits only for its stop.
                if !fleet.reserved.contains_key(name) {
                    representative.get_or_insert(*name);
                    tasks += 1;
                }
            }
            let Some(representative) = representative else {
                continue;
            };
            // A gang with a task that may still be running does not wait for capacity.
            let is_incomplete = step.is_gang && tasks < step.count as usize;
            if !is_incomplete && job.is_ready(&first) {
                ready.push(ReadyStep {
                    job,
                    step,
                    first,
                    waiting_since,
                    representative,
                    tasks,
                });
            }
        }
    }
    ready
}
