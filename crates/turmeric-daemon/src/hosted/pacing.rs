//! How fast filling tasks work beside the serving tasks of the same worker.

use std::collections::BTreeMap;
use std::time::Duration;

use spdlog::info;
use turmeric_jobs::{
    AttemptKey, BestEffortNeighbour, HeadroomSample, ServingNeighbour, StepMeasurement, TaskName,
    choose_paces,
};
use turmeric_platform::{WorkerAnswer, WorkerRun};
use turmeric_types::MonoTime;

use super::agent::{AgentCore, AgentState};

/// Time between two readings at the least; each covers the last half second.
const READING_INTERVAL: Duration = Duration::from_millis(230);

/// Progress of a lasting task that is at work, in percent.
const AT_WORK_PERCENT: u32 = 100;

impl AgentCore {
    /// Takes in a list of the worker; returns the attempts to pace, and at which share.
    pub(crate) fn control_pace(
        &mut self,
        running: &[WorkerRun],
        now: MonoTime,
    ) -> Vec<(AttemptKey, u32)> {
        if now < self.paced_at.after(READING_INTERVAL) {
            return Vec::new();
        }
        self.paced_at = now;
        self.neighbours = self.read_neighbours(running);
        self.note_headroom();
        let earlier = self.paced.clone();
        let shares = self.set_shares();
        // A call that was carried out late may have set another share, so those
        // below the full one are set anew each time.
        shares
            .into_iter()
            .filter(|(key, share)| *share < 100 || earlier.contains_key(key))
            .collect()
    }

    /// Takes in that a task has started; returns the attempts whose share changes.
    ///
    /// Load pattern: several filling tasks start at once beside serving tasks near
    /// their target, and a reading that shows what they take is half a second away.
    pub(crate) fn pace_started(&mut self) -> Vec<(AttemptKey, u32)> {
        let earlier = self.paced.clone();
        let shares = self.set_shares();
        shares
            .into_iter()
            .filter(|(key, share)| earlier.get(key).copied().unwrap_or(100) != *share)
            .collect()
    }

    /// Chooses the share of each filling task by the newest readings.
    fn set_shares(&mut self) -> BTreeMap<AttemptKey, u32> {
        let filling = self.filling_neighbours();
        let serving = self.neighbours.serving();
        let paces = choose_paces(&serving, &filling, self.table.interferences());
        let fillers = self.table.plans().filter(|(_, plan)| plan.is_best_effort);
        let shares: BTreeMap<AttemptKey, u32> = fillers
            .map(|(key, plan)| (*key, paces.get(&plan.image).copied().unwrap_or(100)))
            .collect();
        for (key, share) in &shares {
            self.table.set_pace(key, *share);
        }
        let below = shares.iter().filter(|(_, share)| **share < 100);
        self.paced = below.map(|(key, share)| (*key, *share)).collect();
        shares
    }

    /// Returns what the filling images want now and have used.
    fn filling_neighbours(&self) -> BTreeMap<String, BestEffortNeighbour> {
        let mut filling = BTreeMap::new();
        for (_, plan) in self.table.plans().filter(|(_, plan)| plan.is_best_effort) {
            let used = self.neighbours.used.get(&plan.image).copied();
            let neighbour = filling
                .entry(plan.image.clone())
                .or_insert(BestEffortNeighbour {
                    wanted: 0.0,
                    used: used.unwrap_or(0.0),
                });
            neighbour.wanted += self.part_of(plan.cores.as_millicores());
        }
        filling
    }

    /// Returns what part `millicores` are of the VM's processors.
    fn part_of(&self, millicores: u64) -> f64 {
        let capacity = self
            .table
            .endpoint_info()
            .map_or(0, |facts| facts.capacity.cores.as_millicores());
        millicores as f64 / capacity.max(1) as f64
    }

    fn read_neighbours(&self, running: &[WorkerRun]) -> NeighbourReadings {
        let mut readings = NeighbourReadings::default();
        for (key, plan) in self.table.plans() {
            let run = running.iter().find(|run| run.status.key == *key);
            let reading = run.and_then(|run| run.reading);
            if plan.is_best_effort {
                let used = readings.used.entry(plan.image.clone()).or_default();
                *used += self.part_of(reading.unwrap_or(0));
            } else if let (Some(target), Some(tail), true) = (
                plan.latency_target_millis,
                reading,
                run.is_some_and(|run| run.status.percent == AT_WORK_PERCENT),
            ) {
                let step = key.task.first_of_step();
                let (_, headrooms) = readings
                    .steps
                    .entry(step)
                    .or_insert_with(|| (plan.image.clone(), Vec::new()));
                headrooms.push(target as f64 / tail.max(1) as f64);
            }
        }
        readings
    }

    /// Keeps the newest reading for the leader, if tasks serve.
    fn note_headroom(&mut self) {
        if self.neighbours.steps.is_empty() {
            return;
        }
        let steps = self.neighbours.means().map(|(step, image, headroom)| {
            let reading = StepMeasurement {
                image: image.clone(),
                headroom_permille: (headroom * 1000.0) as u32,
            };
            (*step, reading)
        });
        let used = self.neighbours.used.iter();
        self.reading_number += 1;
        self.headroom = Some(HeadroomSample {
            steps: steps.collect(),
            best_effort_shares: used
                .map(|(image, used)| (image.clone(), (used * 1000.0) as u32))
                .collect(),
        });
    }
}

/// What the tasks of a VM do to each other, as last read.
#[derive(Debug, Default)]
pub(crate) struct NeighbourReadings {
    /// Image and headrooms of the tasks of each serving step, by its first task.
    steps: BTreeMap<TaskName, (String, Vec<f64>)>,
    /// Part of the VM's processors that each filling image used.
    used: BTreeMap<String, f64>,
}

impl NeighbourReadings {
    fn means(&self) -> impl Iterator<Item = (&TaskName, &String, f64)> {
        self.steps.iter().map(|(step, (image, headrooms))| {
            let sum: f64 = headrooms.iter().sum();
            (step, image, sum / headrooms.len().max(1) as f64)
        })
    }

    fn serving(&self) -> Vec<ServingNeighbour> {
        self.means()
            .map(|(_, image, headroom)| ServingNeighbour {
                image: image.clone(),
                headroom,
            })
            .collect()
    }
}

/// Tells the worker the share at which an attempt works, in percent.
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
            info!("attempt not paced", kv: {
                task = key.task.to_string(), percent = percent, answer = format!("{answer:?}")
            });
        }
    });
}
