//! How much the filling tasks of an image press on the serving tasks of another.
//!
//! Load pattern: filling tasks of several images come and go beside serving
//! tasks whose own load swings; some pairs of images multiply the tail latency,
//! others leave it alone. A running regression over the coarse readings of all
//! VMs tells the pairs apart within seconds, whatever else runs beside them.

use std::collections::BTreeMap;

use turmeric_schema::v1;

/// Tail latency of an idle serving task as a share of its target: the targets
/// of the published deployments are five times that.
const IDLE_SHARE: f64 = 0.2;

/// Mean load of serving tasks by themselves on the published deployments.
pub(crate) const SERVING_LOAD: f64 = 0.45;

/// Load that a pair of images adds with all processors of a VM, before it was seen.
/// Cautious: images that press were seen to add 1.3 to 2.
const GAIN_PRIOR: f64 = 1.0;

/// Bounds of what a pair can be held to add.
const GAIN_BOUNDS: (f64, f64) = (0.0, 3.0);

/// Part of the error that one reading corrects. The load swings by a half with
/// a period of 14 to 20 s, and eleven VMs give 22 readings a second.
const LEARNING_RATE: f64 = 0.12;

/// Keeps readings with little filling work from counting for much; the square
/// of a share of 0.14, which one filling task has.
const SHARE_FLOOR: f64 = 0.02;

/// Below this gain a pair is light: even a VM full of the filling image adds
/// less than the swing of the serving load.
const LIGHT_GAIN: f64 = 0.4;

/// An image that fills and one that serves.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ImagePair {
    /// Image of the filling tasks.
    pub filling: String,
    /// Image of the serving tasks.
    pub serving: String,
}

/// One reading of a VM on which tasks fill and serve.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PressureSample {
    /// Mean load of the tasks of each serving image, by their tail latencies, in
    /// thousandths.
    pub loads: BTreeMap<String, u32>,
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

/// How much each pair of images presses.
#[derive(Clone, Debug, Default)]
pub struct PressureTable {
    /// By serving image, then by filling image.
    gains: BTreeMap<String, BTreeMap<String, f64>>,
}

impl PressureTable {
    /// Creates a table without evidence.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the load that a filling image adds to a serving one with all
    /// processors of a VM.
    pub fn gain(&self, filling: &str, serving: &str) -> f64 {
        let gains = self.gains.get(serving);
        let gain = gains.and_then(|gains| gains.get(filling));
        gain.copied().unwrap_or(GAIN_PRIOR)
    }

    /// Takes in a reading.
    pub fn take_sample(&mut self, sample: &PressureSample) {
        for (serving, load) in &sample.loads {
            self.take_load(serving, f64::from(*load) / 1000.0, &sample.images);
        }
    }

    fn take_load(&mut self, serving: &str, load: f64, images: &BTreeMap<String, u32>) {
        let shares: Vec<(&String, f64)> = images
            .iter()
            .map(|(image, permille)| (image, f64::from(*permille) / 1000.0))
            .collect();
        let expected: f64 = shares
            .iter()
            .map(|(image, share)| self.gain(image, serving) * share)
            .sum();
        let square: f64 = shares.iter().map(|(_, share)| share * share).sum();
        let correction = LEARNING_RATE * (load - SERVING_LOAD - expected) / (SHARE_FLOOR + square);
        for (image, share) in shares {
            let gain = self.gain(image, serving) + correction * share;
            self.set_gain(image.clone(), serving.to_owned(), gain);
        }
    }

    fn set_gain(&mut self, filling: String, serving: String, gain: f64) {
        let gains = self.gains.entry(serving).or_default();
        gains.insert(filling, gain.clamp(GAIN_BOUNDS.0, GAIN_BOUNDS.1));
    }

    /// Returns all pairs that were seen, with their gains.
    fn pairs(&self) -> impl Iterator<Item = (&String, &String, f64)> {
        self.gains.iter().flat_map(|(serving, gains)| {
            let gains = gains.iter();
            gains.map(move |(filling, gain)| (filling, serving, *gain))
        })
    }

    /// Writes what was learned, for the next leader.
    pub fn write(&self) -> v1::PressureRow {
        let gains = self.pairs().map(|(filling, serving, gain)| v1::PairGain {
            filling: filling.clone(),
            serving: serving.clone(),
            gain_permille: (gain * 1000.0) as u32,
        });
        v1::PressureRow {
            gains: gains.collect(),
        }
    }

    /// Reads what an earlier leader learned.
    pub fn read(row: v1::PressureRow) -> Self {
        let mut table = Self::new();
        for gain in row.gains {
            let value = f64::from(gain.gain_permille) / 1000.0;
            table.set_gain(gain.filling, gain.serving, value);
        }
        table
    }

    /// Describes the gains, for the log.
    pub fn describe(&self) -> String {
        let gains = self
            .pairs()
            .map(|(filling, serving, gain)| format!("{filling} on {serving} {gain:.2}"));
        gains.collect::<Vec<_>>().join(", ")
    }

    /// Returns the filling images that leave a serving one alone.
    pub fn light_images(&self, serving: &str) -> impl Iterator<Item = &String> {
        let gains = self.gains.get(serving).into_iter().flatten();
        gains
            .filter(|(_, gain)| **gain < LIGHT_GAIN)
            .map(|(filling, _)| filling)
    }
}
