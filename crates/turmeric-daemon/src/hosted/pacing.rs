//! The share of full speed at which best-effort tasks work beside the serving tasks of the
//! same worker.

use std::collections::BTreeMap;
use std::time::Duration;

use spdlog::info;
use turmeric_jobs::{
    AttemptKey, BestEffortNeighbour, HeadroomSample, PacingPolicy, ServingNeighbour,
    StepMeasurement, TaskName, choose_paces,
};
use turmeric_platform::{WorkerAnswer, WorkerRun};
use turmeric_types::MonoTime;

use super::agent::{AgentCore, AgentState};

/// Minimum time between two measurements; each covers the last half second.
const MEASUREMENT_INTERVAL: Duration = Duration::from_millis(230);

/// Most bytes of a sample in a report. What exceeds it is left out; only names of images that are
/// far longer than usual do.
const SAMPLE_LIMIT: usize = 256 << 10;

/// Bytes of a measurement beside the name of its image.
const MEASUREMENT_BYTES: usize = 64;

/// Progress that the worker lists for a long-running job's task while it works, in percent.
const WORKING_PERCENT: u32 = 100;

impl AgentCore {
    /// Updates the measurements from the worker's list of running attempts.
    ///
    /// Returns the attempts whose share must be set at the worker, with the share in percent.
    pub(crate) fn update_paces(
        &mut self,
        running: &[WorkerRun],
        now: MonoTime,
    ) -> Vec<(AttemptKey, u32)> {
        if now < self.measured_at.after(MEASUREMENT_INTERVAL) {
            return Vec::new();
        }
        self.measured_at = now;
        self.neighbours = self.measure_neighbours(running);
        self.log_basis();
        self.record_headroom();
        let mut shares = self.choose_shares();
        // A delayed call may have set another share at the worker, so shares below 100 are
        // set again each time.
        shares.retain(|(key, share)| self.table.set_pace(key, *share) || *share < 100);
        shares
    }

    /// Recomputes the shares after a best-effort task has started.
    ///
    /// Returns the attempts whose share changes, with the new share in percent.
    ///
    /// Load pattern: several best-effort tasks start at once beside serving tasks near
    /// their latency target, and the next measurement of the interference is half a second
    /// away.
    ///
    /// What an earlier agent paced keeps its share until the first measurement beside it.
    pub(crate) fn update_paces_after_start(&mut self) -> Vec<(AttemptKey, u32)> {
        let mut shares = self.choose_shares();
        shares
            .retain(|(key, share)| self.table.knows_pace(key) && self.table.set_pace(key, *share));
        shares
    }

    /// Chooses the share of each best-effort attempt from the newest measurements, in percent.
    fn choose_shares(&self) -> Vec<(AttemptKey, u32)> {
        let best_effort = self.best_effort_neighbours();
        let serving = self.neighbours.serving(self.policies.pacing);
        let paces = choose_paces(&serving, &best_effort, self.table.interferences());
        let attempts = self.table.loads().filter(|(_, load)| load.is_best_effort);
        attempts
            .map(|(key, load)| (*key, paces.get(&load.image).copied().unwrap_or(100)))
            .collect()
    }

    /// Returns, by best-effort image, the demand now and the usage as last measured.
    fn best_effort_neighbours(&self) -> BTreeMap<String, BestEffortNeighbour> {
        let mut best_effort = BTreeMap::new();
        for (_, load) in self.table.loads().filter(|(_, load)| load.is_best_effort) {
            let used = self.neighbours.used.get(&load.image).copied();
            let neighbour = best_effort
                .entry(load.image.clone())
                .or_insert(BestEffortNeighbour {
                    wanted: 0.0,
                    used: used.unwrap_or(0.0),
                });
            neighbour.wanted += self.processor_fraction(load.cores.as_millicores());
        }
        best_effort
    }

    /// Returns `millicores` as a fraction of the VM's processors.
    fn processor_fraction(&self, millicores: u64) -> f64 {
        let capacity = self
            .table
            .endpoint_info()
            .map_or(0, |info| info.capacity.cores.as_millicores());
        millicores as f64 / capacity.max(1) as f64
    }

    /// Aggregates the worker's measurements by serving step and best-effort image.
    fn measure_neighbours(&self, running: &[WorkerRun]) -> NeighbourMeasurements {
        let mut measurements = NeighbourMeasurements::default();
        for (key, load) in self.table.loads() {
            let run = running.iter().find(|run| run.status.key == *key);
            let measurement = run.and_then(|run| run.reading);
            if load.is_best_effort {
                let used = measurements.used.entry(load.image.clone()).or_default();
                *used += self.processor_fraction(measurement.unwrap_or(0));
            } else if let (Some(target), Some(tail), true) = (
                load.latency_target_millis,
                measurement,
                run.is_some_and(|run| run.status.percent == WORKING_PERCENT),
            ) {
                let step = key.task.first_of_step();
                let (_, headrooms) = measurements
                    .steps
                    .entry(step)
                    .or_insert_with(|| (load.image.clone(), Vec::new()));
                headrooms.push(target as f64 / tail.max(1) as f64);
            }
        }
        measurements
    }

    /// Logs what the shares are chosen from, if it has changed.
    fn log_basis(&mut self) {
        let basis = PacingBasis {
            serving_steps: self.neighbours.steps.len(),
            unplanned: self.table.unplanned().count(),
        };
        if basis == self.pacing_basis {
            return;
        }
        let best_effort = self.table.loads().filter(|(_, load)| load.is_best_effort);
        info!("basis of pacing changed", kv: {
            serving_steps = basis.serving_steps, best_effort = best_effort.count(),
            unplanned = basis.unplanned
        });
        self.pacing_basis = basis;
    }

    /// Stores the newest headroom sample for the next report, if there are serving tasks.
    fn record_headroom(&mut self) {
        if self.neighbours.steps.is_empty() {
            return;
        }
        let mut bytes = 0;
        let mut fits = |image: &str| {
            bytes += image.len() + MEASUREMENT_BYTES;
            bytes <= SAMPLE_LIMIT
        };
        let means = self.neighbours.means().filter(|(_, image, _)| fits(image));
        let steps = means.map(|(step, image, headroom)| {
            let measurement = StepMeasurement {
                image: image.clone(),
                headroom_permille: (headroom * 1000.0) as u32,
            };
            (*step, measurement)
        });
        let steps = steps.collect();
        let used = self.neighbours.used.iter().filter(|(image, _)| fits(image));
        let best_effort_shares = used
            .map(|(image, used)| (image.clone(), (used * 1000.0) as u32))
            .collect();
        self.measurement_number += 1;
        self.headroom = Some(HeadroomSample {
            steps,
            best_effort_shares,
        });
    }
}

/// What the shares of best-effort tasks are chosen from, as last logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct PacingBasis {
    /// Number of serving steps that were measured.
    serving_steps: usize,
    /// Number of running attempts whose loads the agent does not know; they are neither measured
    /// nor paced.
    unplanned: usize,
}

/// Headroom of the serving tasks and usage of the best-effort tasks of a VM, as last measured.
#[derive(Debug, Default)]
pub(crate) struct NeighbourMeasurements {
    /// Image and headrooms of the tasks of each serving step, keyed by the step's first task.
    steps: BTreeMap<TaskName, (String, Vec<f64>)>,
    /// Fraction of the VM's processors that each best-effort image used.
    used: BTreeMap<String, f64>,
}

impl NeighbourMeasurements {
    /// Returns the mean headroom of each serving step, with its image.
    fn means(&self) -> impl Iterator<Item = (&TaskName, &String, f64)> {
        self.steps.iter().map(|(step, (image, headrooms))| {
            let sum: f64 = headrooms.iter().sum();
            (step, image, sum / headrooms.len().max(1) as f64)
        })
    }

    /// Returns the serving steps as neighbours of the best-effort tasks.
    fn serving(&self, policy: PacingPolicy) -> Vec<ServingNeighbour> {
        self.means()
            .map(|(step, image, headroom)| ServingNeighbour {
                image: image.clone(),
                headroom,
                least_headroom: match policy {
                    PacingPolicy::Mean => headroom,
                    PacingPolicy::EachTask => self.least(step),
                },
            })
            .collect()
    }

    /// Returns the headroom of the task of a step that has the least.
    fn least(&self, step: &TaskName) -> f64 {
        let headrooms = self.steps.get(step).map(|(_, headrooms)| headrooms.iter());
        let headrooms = headrooms.into_iter().flatten().copied();
        headrooms.fold(f64::INFINITY, f64::min)
    }
}

/// Sets the share of its full speed at which an attempt works, in percent.
pub(crate) fn pace(
    state: &AgentState,
    endpoint: String,
    fence: u64,
    key: AttemptKey,
    percent: u32,
) {
    let worker = state.worker.clone();
    tokio::spawn(async move {
        let answer = worker.pace(&endpoint, fence, &key, percent).await;
        if answer != WorkerAnswer::Done {
            info!("setting the speed of an attempt failed", kv: {
                task = key.task.to_string(), percent = percent, answer = format!("{answer:?}")
            });
        }
    });
}
