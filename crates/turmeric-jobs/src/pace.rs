//! How fast filling tasks may work beside serving ones.
//!
//! Load pattern: the load of serving tasks swings within seconds, and the filling
//! tasks beside them take the rest of their latency headroom. What the filling tasks
//! take is known by pairs of images, so the speed that leaves enough for the next
//! reading is reckoned instead of found by trial; images that press little work on
//! while those that press much stand still.

use std::collections::BTreeMap;

use crate::headroom::GAIN_PRIOR;

/// Headroom that is left at least, with what may be lost until the next reading.
const HEADROOM_KEPT: f64 = 1.2;

/// Below this share, in percent, a filling task stands still instead.
const SHARE_FLOOR: u32 = 8;

/// A serving step on a VM as last read.
#[derive(Clone, Debug, PartialEq)]
pub struct ServingNeighbour {
    /// Image of the tasks.
    pub image: String,
    /// Latency target over tail latency.
    pub headroom: f64,
}

/// A filling image on a VM.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BestEffortNeighbour {
    /// Part of the VM's processors that its tasks want at full speed.
    pub wanted: f64,
    /// Part of the VM's processors that its tasks used while the serving tasks were
    /// read.
    pub used: f64,
}

/// Headroom that pairs of images take with all processors of a VM.
#[derive(Clone, Debug, Default)]
pub struct InterferenceTable {
    /// By serving image, then by filling image.
    gains: BTreeMap<String, BTreeMap<String, f64>>,
}

impl InterferenceTable {
    /// Creates a table in which no pair is known.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records what a filling image takes from a serving one.
    pub fn set(&mut self, filling: String, serving: String, gain: f64) {
        let gains = self.gains.entry(serving).or_default();
        gains.insert(filling, gain);
    }

    /// Returns what a filling image takes from a serving one.
    pub fn gain(&self, filling: &str, serving: &str) -> f64 {
        let gains = self.gains.get(serving);
        let gain = gains.and_then(|gains| gains.get(filling));
        gain.copied().unwrap_or(GAIN_PRIOR)
    }
}

/// Returns the share of its speed at which each filling image works, in percent.
///
/// Headroom goes to the images that press least first, so that it carries the most work.
pub fn choose_paces(
    serving: &[ServingNeighbour],
    filling: &BTreeMap<String, BestEffortNeighbour>,
    table: &InterferenceTable,
) -> BTreeMap<String, u32> {
    let mut spare: Vec<(f64, &str)> = serving
        .iter()
        .map(|step| {
            let taken: f64 = filling
                .iter()
                .map(|(image, neighbour)| table.gain(image, &step.image) * neighbour.used)
                .sum();
            (step.headroom + taken - HEADROOM_KEPT, step.image.as_str())
        })
        .collect();
    let pressing = |image: &str| {
        let gains = serving.iter().map(|step| table.gain(image, &step.image));
        gains.fold(0.0, f64::max)
    };
    let mut order: Vec<(&String, &BestEffortNeighbour)> = filling.iter().collect();
    order.sort_by(|(left, _), (right, _)| pressing(left).total_cmp(&pressing(right)));
    let mut paces = BTreeMap::new();
    for (image, neighbour) in order {
        let share = spare
            .iter()
            .map(|(spare, serving)| {
                let taken = table.gain(image, serving) * neighbour.wanted;
                if *spare <= 0.0 {
                    0.0
                } else if taken <= *spare {
                    1.0
                } else {
                    *spare / taken
                }
            })
            .fold(1.0, f64::min);
        let percent = (share * 100.0) as u32;
        let percent = if percent < SHARE_FLOOR { 0 } else { percent };
        for (spare, serving) in &mut spare {
            *spare -= table.gain(image, serving) * neighbour.wanted * f64::from(percent) / 100.0;
        }
        paces.insert(image.clone(), percent);
    }
    paces
}
