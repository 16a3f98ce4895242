//! How much the filling tasks of an image press on the serving tasks beside
//! them.
//!
//! Load pattern: filling tasks of several images come and go beside serving
//! tasks whose own load swings; some images multiply the tail latency, others
//! leave it alone. A running regression over the coarse readings of all VMs
//! tells them apart within a few seconds, whatever else runs beside them.

use std::collections::BTreeMap;

/// Tail latency of an idle serving task as a share of its target: the targets
/// of the published deployments are five times that.
const IDLE_SHARE: f64 = 0.2;

/// Mean load of serving tasks by themselves on the published deployments.
pub(crate) const SERVING_LOAD: f64 = 0.45;

/// Load that an image adds with all processors of a VM, before it was seen.
/// Cautious: images that press were seen to add 1.3 to 2.
const GAIN_PRIOR: f64 = 1.0;

/// Bounds of what an image can be held to add.
const GAIN_BOUNDS: (f64, f64) = (0.0, 3.0);

/// Part of the error that one reading corrects. The load swings by a half with
/// a period of 14 to 20 s, and eleven VMs give 22 readings a second.
const LEARNING_RATE: f64 = 0.06;

/// Keeps readings with little filling work from counting for much; the square
/// of a share of 0.14, which one filling task has.
const SHARE_FLOOR: f64 = 0.02;

/// Below this gain an image is light: even a VM full of it adds less than the
/// swing of the serving load.
const LIGHT_GAIN: f64 = 0.35;

/// One reading of a VM on which tasks fill and serve.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PressureSample {
    /// Mean load of the serving tasks, by their tail latencies, in thousandths.
    pub load_permille: u32,
    /// Processors with which each image filled, in thousandths of the VM's.
    pub images: BTreeMap<String, u32>,
}

/// Returns the load of a serving task whose tail latency is `permille`
/// thousandths of its target; the tail grows as one over the idle share.
pub fn load_of(permille: u64) -> f64 {
    let ratio = permille as f64 / 1000.0;
    if ratio <= IDLE_SHARE {
        return 0.0;
    }
    1.0 - IDLE_SHARE / ratio
}

/// How much the filling tasks of each image press.
#[derive(Clone, Debug, Default)]
pub struct PressureTable {
    gains: BTreeMap<String, f64>,
}

impl PressureTable {
    /// Creates a table without evidence.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the load that an image adds with all processors of a VM.
    pub fn gain(&self, image: &str) -> f64 {
        self.gains.get(image).copied().unwrap_or(GAIN_PRIOR)
    }

    /// Takes in a reading.
    pub fn take_sample(&mut self, sample: &PressureSample) {
        let shares: Vec<(&String, f64)> = sample
            .images
            .iter()
            .map(|(image, permille)| (image, f64::from(*permille) / 1000.0))
            .collect();
        let expected: f64 = shares
            .iter()
            .map(|(image, share)| self.gain(image) * share)
            .sum();
        let square: f64 = shares.iter().map(|(_, share)| share * share).sum();
        let seen = f64::from(sample.load_permille) / 1000.0 - SERVING_LOAD;
        let correction = LEARNING_RATE * (seen - expected) / (SHARE_FLOOR + square);
        for (image, share) in shares {
            let gain = self.gain(image) + correction * share;
            self.gains
                .insert(image.clone(), gain.clamp(GAIN_BOUNDS.0, GAIN_BOUNDS.1));
        }
    }

    /// Describes the gains, for the log.
    pub fn describe(&self) -> String {
        let gains = self
            .gains
            .iter()
            .map(|(image, gain)| format!("{image} {gain:.2}"));
        gains.collect::<Vec<_>>().join(", ")
    }

    /// Returns the images that leave the tasks beside them alone.
    pub fn light_images(&self) -> impl Iterator<Item = &str> {
        self.gains
            .iter()
            .filter(|(_, gain)| **gain < LIGHT_GAIN)
            .map(|(image, _)| image.as_str())
    }
}
