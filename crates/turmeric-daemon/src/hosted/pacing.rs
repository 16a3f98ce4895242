//! How fast filling tasks work beside the serving tasks of the same worker.

use std::collections::BTreeMap;
use std::time::Duration;

use spdlog::info;
use turmeric_jobs::{ImagePair, PaceSample, PressureSample, RunKey, load_of};
use turmeric_platform::{WorkerAnswer, WorkerRun};
use turmeric_types::MonoTime;

use super::agent::{AgentCore, AgentState};

/// Readings of the worker cover half a second each.
const READING_INTERVAL: Duration = Duration::from_millis(450);

impl AgentCore {
    /// Returns the attempts to pace, and at which share.
    pub(crate) fn control_pace(
        &mut self,
        running: &[WorkerRun],
        now: MonoTime,
    ) -> Vec<(RunKey, u32)> {
        if now < self.paced_at.after(READING_INTERVAL) {
            return Vec::new();
        }
        self.paced_at = now;
        let readings = self.read_neighbours(running);
        self.note_pressure(&readings);
        self.paces
            .retain(|image, _| readings.tails.contains_key(image));
        for (image, tails) in &readings.tails {
            let worst = tails.iter().copied().max().unwrap_or(0);
            let control = self.paces.entry(image.clone()).or_default();
            control.take_worst(worst);
        }
        let shares: BTreeMap<RunKey, u32> = self
            .table
            .plans()
            .filter(|(_, plan)| plan.is_filling)
            .map(|(key, plan)| (*key, self.share_of(&plan.image)))
            .collect();
        // A call that was carried out late may have set another share, so those
        // below the full one are set anew each time.
        let paced = shares
            .iter()
            .filter(|(key, share)| **share < 100 || self.paced.contains_key(key))
            .map(|(key, share)| (*key, *share))
            .collect();
        for (key, share) in &shares {
            self.table.set_pace(key, *share);
        }
        self.paced = shares
            .into_iter()
            .filter(|(_, share)| *share < 100)
            .collect();
        paced
    }

    /// Returns the share at which tasks of a filling image work, in percent.
    fn share_of(&self, filling: &str) -> u32 {
        let shares = self.paces.iter().map(|(serving, control)| {
            let pair = ImagePair {
                filling: filling.to_owned(),
                serving: serving.clone(),
            };
            match (self.table.is_light(&pair), control.slows_light()) {
                (false, _) => control.percent(),
                (true, true) => 0,
                (true, false) => 100,
            }
        });
        shares.min().unwrap_or(100)
    }

    fn read_neighbours(&self, running: &[WorkerRun]) -> NeighbourReadings {
        let mut readings = NeighbourReadings::default();
        for (key, plan) in self.table.plans() {
            if plan.is_filling {
                let share = self.paced.get(key).copied().unwrap_or(100);
                let cores = plan.cores.as_millicores() * u64::from(share) / 100;
                *readings.filled.entry(plan.image.clone()).or_default() += cores;
                continue;
            }
            let run = running.iter().find(|run| run.status.key == *key);
            if let (Some(target_millis), Some(tail_millis)) =
                (plan.latency_target_millis, run.and_then(|run| run.reading))
            {
                let sample = PaceSample {
                    tail_millis,
                    target_millis,
                };
                let tails = readings.tails.entry(plan.image.clone()).or_default();
                tails.push(sample.permille());
            }
        }
        readings
    }

    /// Keeps a reading for the leader, if tasks fill and serve.
    fn note_pressure(&mut self, readings: &NeighbourReadings) {
        let capacity = self
            .table
            .facts()
            .map_or(0, |facts| facts.capacity.cores.as_millicores());
        if readings.tails.is_empty() || readings.filled.is_empty() || capacity == 0 {
            return;
        }
        let number = self.pressure.as_ref().map_or(0, |(number, _)| *number);
        let loads = readings.tails.iter().map(|(image, tails)| {
            let load: f64 = tails.iter().map(|tail| load_of(*tail)).sum();
            (image.clone(), (load * 1000.0 / tails.len() as f64) as u32)
        });
        let images = readings
            .filled
            .iter()
            .map(|(image, cores)| (image.clone(), (cores * 1000 / capacity) as u32));
        let sample = PressureSample {
            loads: loads.collect(),
            images: images.collect(),
        };
        self.pressure = Some((number + 1, sample));
    }
}

/// What the tasks of a VM do to each other.
#[derive(Default)]
struct NeighbourReadings {
    /// Tail latencies of the tasks of each serving image, in thousandths of
    /// their targets.
    tails: BTreeMap<String, Vec<u64>>,
    /// Processors with which each image fills, in thousandths of a core.
    filled: BTreeMap<String, u64>,
}

/// Tells the worker the share at which an attempt works, in percent.
pub(crate) fn pace(state: &AgentState, endpoint: String, fence: u64, key: RunKey, percent: u32) {
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
