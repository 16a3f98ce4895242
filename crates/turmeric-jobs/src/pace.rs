//! Pace of best-effort tasks: how fast they may work next to serving tasks.
//!
//! Load pattern: the load of serving tasks swings within seconds, and the best-effort
//! tasks next to them use up the rest of their latency headroom. The interference between
//! pairs of images is known, so the pace that leaves enough headroom until the next
//! measurement is computed instead of found by trial. Images with little interference
//! continue while those with much interference are stopped.
//!
//! Load pattern: the tasks of a serving step differ in their load, so that one of them may
//! miss its target for seconds while their mean keeps enough headroom. So a little headroom
//! is also left to the task that has the least.

use std::collections::BTreeMap;

use crate::headroom::INTERFERENCE_PRIOR;

/// Least headroom that is left, including what may be lost until the next measurement.
const MIN_HEADROOM: f64 = 1.2;

/// Least headroom that is left to each single task. It is just above one, where a task misses
/// its target, because tasks of one step differ by more than [`MIN_HEADROOM`] allows for.
const MIN_TASK_HEADROOM: f64 = 1.05;

/// Smallest pace of a best-effort task, in percent; below it, the task is stopped.
const MIN_PACE_PERCENT: u32 = 8;

/// Latest measurement of a serving step on a VM.
#[derive(Clone, Debug, PartialEq)]
pub struct ServingNeighbour {
    /// Image of the tasks.
    pub image: String,
    /// Latency target over tail latency, as the mean of the step's tasks on the VM.
    pub headroom: f64,
    /// The same of the task with the least.
    pub least_headroom: f64,
}

/// Processors that a best-effort image can use and has used on a VM.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BestEffortNeighbour {
    /// Fraction of the VM's processors that its tasks use at full speed.
    pub wanted: f64,
    /// Fraction of the VM's processors that its tasks used while the serving tasks were
    /// measured.
    pub used: f64,
}

/// Interference between pairs of images: headroom that a best-effort image takes from a
/// serving image when it uses all processors of a VM.
#[derive(Clone, Debug, Default)]
pub struct InterferenceTable {
    /// By serving image, then by best-effort image.
    interferences: BTreeMap<String, BTreeMap<String, f64>>,
}

impl InterferenceTable {
    /// Creates a table without known pairs.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the headroom that a best-effort image takes from a serving image.
    pub fn set(&mut self, best_effort: String, serving: String, interference: f64) {
        let interferences = self.interferences.entry(serving).or_default();
        interferences.insert(best_effort, interference);
    }

    /// Returns the headroom that a best-effort image takes from a serving image.
    pub fn interference(&self, best_effort: &str, serving: &str) -> f64 {
        let interferences = self.interferences.get(serving);
        let interference = interferences.and_then(|interferences| interferences.get(best_effort));
        interference.copied().unwrap_or(INTERFERENCE_PRIOR)
    }
}

/// Returns the pace of each best-effort image, in percent of its full speed.
///
/// Images with the least interference get headroom first, which allows the most work.
pub fn choose_paces(
    serving: &[ServingNeighbour],
    best_effort: &BTreeMap<String, BestEffortNeighbour>,
    table: &InterferenceTable,
) -> BTreeMap<String, u32> {
    let mut spare: Vec<(f64, &str)> = serving
        .iter()
        .map(|step| {
            let interference: f64 = best_effort
                .iter()
                .map(|(image, neighbour)| table.interference(image, &step.image) * neighbour.used)
                .sum();
            let spare = (step.headroom - MIN_HEADROOM).min(step.least_headroom - MIN_TASK_HEADROOM);
            (spare + interference, step.image.as_str())
        })
        .collect();
    let max_interference = |image: &str| {
        let interferences = serving
            .iter()
            .map(|step| table.interference(image, &step.image));
        interferences.fold(0.0, f64::max)
    };
    let mut order: Vec<(&String, &BestEffortNeighbour)> = best_effort.iter().collect();
    order.sort_by(|(left, _), (right, _)| {
        max_interference(left).total_cmp(&max_interference(right))
    });
    let mut paces = BTreeMap::new();
    for (image, neighbour) in order {
        let share = spare
            .iter()
            .map(|(spare, serving)| {
                let interference = table.interference(image, serving) * neighbour.wanted;
                if *spare <= 0.0 {
                    0.0
                } else if interference <= *spare {
                    1.0
                } else {
                    *spare / interference
                }
            })
            .fold(1.0, f64::min);
        let percent = (share * 100.0) as u32;
        let percent = if percent < MIN_PACE_PERCENT {
            0
        } else {
            percent
        };
        for (spare, serving) in &mut spare {
            *spare -=
                table.interference(image, serving) * neighbour.wanted * f64::from(percent) / 100.0;
        }
        paces.insert(image.clone(), percent);
    }
    paces
}
