//! Latency headroom of serving tasks, and how much of it best-effort tasks take.
//!
//! Headroom is the latency target divided by the tail latency: below one, a task misses
//! its target. Tail latency grows as one over the idle share, so headroom falls linearly
//! with the load, whatever the tail latency of an idle VM is, and the interference of
//! several neighbours adds up.
//!
//! Load pattern: the serving tasks of a job run on several VMs and share one load, which
//! swings within seconds. Best-effort tasks of several images start and stop next to
//! them, and some pairs of images interfere far more than others. A VM without
//! best-effort tasks shows the job's baseline, so what is missing on the other VMs is
//! interference. A Kalman filter for each serving image separates the two.
//!
//! Load pattern: images change with each version of what they run, and many users come at once
//! with images of their own. Pairs that were not measured for long are forgotten, and the number
//! of pairs is limited, because the filters take memory and time by its square.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use turmeric_schema::{Message, v1};
use turmeric_types::{CoreCount, MonoTime};

use crate::TaskName;

/// Assumed interference of a pair of images that was not observed yet: the headroom that
/// best-effort tasks on all processors of a VM take.
pub(crate) const INTERFERENCE_PRIOR: f64 = 4.0;

/// Variance of [`INTERFERENCE_PRIOR`].
const INTERFERENCE_VARIANCE: f64 = 16.0;

/// Variance of the interference of a pair that an earlier leader learned.
const RESTORED_VARIANCE: f64 = 1.0;

/// Variance that each second adds to the interference of a pair.
const INTERFERENCE_DRIFT: f64 = 0.02;

/// Assumed baseline headroom of a step that was not measured yet.
const BASELINE_PRIOR: f64 = 2.0;

/// Variance of [`BASELINE_PRIOR`].
const BASELINE_VARIANCE: f64 = 4.0;

/// Variance that each second adds to the baseline headroom of a step.
const BASELINE_DRIFT: f64 = 0.08;

/// Variance of a measurement.
const MEASUREMENT_VARIANCE: f64 = 0.06;

/// Bound on the innovation of a measurement (its difference from the expected value), in
/// standard deviations.
const INNOVATION_LIMIT: f64 = 3.0;

/// Headroom below which a measurement only shows that there is none.
const SATURATED_HEADROOM: f64 = 0.2;

/// Time without a measurement after which a step is dropped.
const STEP_RETENTION: Duration = Duration::from_secs(10);

/// Time without a measurement after which a pair of images is dropped. A pair that comes back is
/// learned again within seconds.
const PAIR_RETENTION: Duration = Duration::from_secs(3600);

/// Time between two searches for pairs to drop.
const SWEEP_INTERVAL: Duration = Duration::from_secs(60);

/// Most best-effort images that are kept for a serving image.
const BEST_EFFORT_LIMIT: usize = 128;

/// Most serving images that are kept.
const SERVING_LIMIT: usize = 128;

/// Most pairs that a log line names.
const DESCRIBED_PAIR_LIMIT: usize = 64;

/// Most bytes that the encoding of a pair adds to a row beside those of the pair itself.
const PAIR_OVERHEAD: usize = 6;

/// Mean headroom of the tasks of one serving step on one VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StepMeasurement {
    /// Image of the tasks.
    pub image: String,
    /// Latency target over tail latency, in thousandths.
    pub headroom_permille: u32,
}

/// Measurements of the serving steps on one VM.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeadroomSample {
    /// Measurements of serving steps, by the name of the step's first task.
    pub steps: BTreeMap<TaskName, StepMeasurement>,
    /// Processors that best-effort tasks used, by image, in thousandths of the VM's.
    pub best_effort_shares: BTreeMap<String, u32>,
}

/// Variable that a filter estimates.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum FilterVariable {
    /// Headroom of a step without interference.
    Baseline(TaskName),
    /// Headroom that a best-effort image takes when it uses all processors of a VM.
    Interference(String),
}

impl FilterVariable {
    fn prior(&self) -> (f64, f64) {
        match self {
            Self::Baseline(_) => (BASELINE_PRIOR, BASELINE_VARIANCE),
            Self::Interference(_) => (INTERFERENCE_PRIOR, INTERFERENCE_VARIANCE),
        }
    }

    /// Returns the time without a measurement after which the variable is dropped.
    fn retention(&self) -> Duration {
        match self {
            Self::Baseline(_) => STEP_RETENTION,
            Self::Interference(_) => PAIR_RETENTION,
        }
    }

    /// Returns the variance that each second adds.
    fn drift(&self) -> f64 {
        match self {
            Self::Baseline(_) => BASELINE_DRIFT,
            Self::Interference(_) => INTERFERENCE_DRIFT,
        }
    }
}

/// Estimate of one variable of a filter.
#[derive(Clone, Debug)]
struct FilterEstimate {
    variable: FilterVariable,
    mean: f64,
    updated_at: MonoTime,
}

/// Kalman filter of one serving image: its estimates and their covariances.
#[derive(Clone, Debug, Default)]
struct ImageFilter {
    estimates: Vec<FilterEstimate>,
    positions: BTreeMap<FilterVariable, usize>,
    /// One row for each estimate.
    covariance: Vec<Vec<f64>>,
}

impl ImageFilter {
    fn mean(&self, variable: &FilterVariable) -> Option<f64> {
        let position = *self.positions.get(variable)?;
        self.estimates.get(position).map(|estimate| estimate.mean)
    }

    /// Returns the position of a variable; a new one starts with `mean` and `variance`.
    fn position_with(
        &mut self,
        variable: FilterVariable,
        now: MonoTime,
        mean: f64,
        variance: f64,
    ) -> usize {
        if let Some(position) = self.positions.get(&variable) {
            return *position;
        }
        let position = self.estimates.len();
        for row in &mut self.covariance {
            row.push(0.0);
        }
        let mut row = vec![0.0; position + 1];
        row[position] = variance;
        self.covariance.push(row);
        self.positions.insert(variable.clone(), position);
        self.estimates.push(FilterEstimate {
            variable,
            mean,
            updated_at: now,
        });
        position
    }

    /// Returns the position of a variable after adding its drift until `now`.
    fn position(&mut self, variable: FilterVariable, now: MonoTime) -> usize {
        let (mean, variance) = variable.prior();
        let drift = variable.drift();
        let position = self.position_with(variable, now, mean, variance);
        let estimate = &mut self.estimates[position];
        let seconds = now.since(estimate.updated_at).as_secs_f64();
        estimate.updated_at = now;
        let increased = (self.covariance[position][position] + drift * seconds).min(variance);
        self.covariance[position][position] = increased.max(self.covariance[position][position]);
        position
    }

    /// Updates the estimates with the `headroom` measured for a step next to best-effort
    /// tasks that used `shares` of the VM's processors.
    fn update(
        &mut self,
        step: TaskName,
        headroom: f64,
        shares: &BTreeMap<String, u32>,
        now: MonoTime,
    ) {
        let mut factors = vec![(self.position(FilterVariable::Baseline(step), now), 1.0)];
        for (image, permille) in shares {
            let position = self.position(FilterVariable::Interference(image.clone()), now);
            factors.push((position, -f64::from(*permille) / 1000.0));
        }
        let expected: f64 = factors
            .iter()
            .map(|(position, factor)| self.estimates[*position].mean * factor)
            .sum();
        if headroom < SATURATED_HEADROOM && expected < SATURATED_HEADROOM {
            return;
        }
        self.correct(&factors, headroom - expected);
    }

    fn correct(&mut self, factors: &[(usize, f64)], innovation: f64) {
        let weights: Vec<f64> = self
            .covariance
            .iter()
            .map(|row| {
                factors
                    .iter()
                    .map(|(position, factor)| row[*position] * factor)
                    .sum()
            })
            .collect();
        let explained: f64 = factors
            .iter()
            .map(|(position, factor)| weights[*position] * factor)
            .sum();
        let variance = explained + MEASUREMENT_VARIANCE;
        let limit = INNOVATION_LIMIT * variance.sqrt();
        let step = innovation.clamp(-limit, limit) / variance;
        for (estimate, weight) in self.estimates.iter_mut().zip(&weights) {
            estimate.mean += weight * step;
        }
        for (row, weight) in self.covariance.iter_mut().zip(&weights) {
            for (cell, other) in row.iter_mut().zip(&weights) {
                *cell -= weight * other / variance;
            }
        }
    }

    /// Drops the variables that were not measured for their retention time.
    fn drop_unused(&mut self, now: MonoTime) {
        while let Some(position) = self
            .estimates
            .iter()
            .position(|estimate| now.since(estimate.updated_at) > estimate.variable.retention())
        {
            self.remove(position);
        }
    }

    /// Drops the pairs that were measured longest ago, until at most [`BEST_EFFORT_LIMIT`] are
    /// left.
    fn drop_excess(&mut self) {
        loop {
            let pairs = self.estimates.iter().enumerate().filter(|(_, estimate)| {
                matches!(estimate.variable, FilterVariable::Interference(_))
            });
            if pairs.clone().count() <= BEST_EFFORT_LIMIT {
                return;
            }
            let oldest = pairs.min_by_key(|(_, estimate)| estimate.updated_at);
            let Some((position, _)) = oldest else {
                return;
            };
            self.remove(position);
        }
    }

    fn remove(&mut self, position: usize) {
        self.estimates.swap_remove(position);
        self.covariance.swap_remove(position);
        for row in &mut self.covariance {
            row.swap_remove(position);
        }
        let variables = self.estimates.iter().enumerate();
        self.positions = variables
            .map(|(position, estimate)| (estimate.variable.clone(), position))
            .collect();
    }

    /// Returns when a variable was last measured.
    fn updated_at(&self) -> MonoTime {
        let times = self.estimates.iter().map(|estimate| estimate.updated_at);
        times.max().unwrap_or_default()
    }
}

/// Learned baseline headroom of serving steps and interference between images.
#[derive(Clone, Debug, Default)]
pub struct HeadroomTable {
    /// By serving image.
    filters: BTreeMap<String, ImageFilter>,
    /// When the next search for pairs to drop is due.
    sweep_due: MonoTime,
}

/// An observed pair of images.
struct ImagePair<'a> {
    best_effort: &'a str,
    serving: &'a str,
    interference: f64,
    updated_at: MonoTime,
}

impl HeadroomTable {
    /// Creates a table without measurements.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the headroom that a best-effort image takes from a serving image when it
    /// uses all processors of a VM.
    pub fn interference(&self, best_effort: &str, serving: &str) -> f64 {
        let filter = self.filters.get(serving);
        let variable = FilterVariable::Interference(best_effort.to_owned());
        let mean = filter.and_then(|filter| filter.mean(&variable));
        mean.unwrap_or(INTERFERENCE_PRIOR).max(0.0)
    }

    /// Returns the headroom that best-effort tasks with these processors take together
    /// from a serving image on a VM with `capacity`.
    pub fn total_interference(
        &self,
        best_effort_cores: &BTreeMap<String, CoreCount>,
        serving: &str,
        capacity: CoreCount,
    ) -> f64 {
        let capacity = capacity.as_millicores().max(1) as f64;
        best_effort_cores
            .iter()
            .map(|(best_effort, cores)| {
                self.interference(best_effort, serving) * cores.as_millicores() as f64 / capacity
            })
            .sum()
    }

    /// Returns the headroom that a step of a serving image has without interference.
    pub fn baseline(&self, step: &TaskName, serving: &str) -> f64 {
        let filter = self.filters.get(serving);
        let mean = filter.and_then(|filter| filter.mean(&FilterVariable::Baseline(*step)));
        mean.unwrap_or(BASELINE_PRIOR)
    }

    /// Updates the estimates with the measurements of one VM.
    pub fn record_sample(&mut self, sample: &HeadroomSample, now: MonoTime) {
        for (step, measurement) in &sample.steps {
            let filter = self.filters.entry(measurement.image.clone()).or_default();
            let headroom = f64::from(measurement.headroom_permille) / 1000.0;
            filter.drop_unused(now);
            filter.update(*step, headroom, &sample.best_effort_shares, now);
            filter.drop_excess();
        }
        if now >= self.sweep_due {
            self.sweep_due = now.after(SWEEP_INTERVAL);
            self.sweep(now);
        }
        while self.filters.len() > SERVING_LIMIT {
            let filters = self.filters.iter();
            let oldest = filters.min_by_key(|(_, filter)| filter.updated_at());
            let Some(image) = oldest.map(|(image, _)| image.clone()) else {
                return;
            };
            self.filters.remove(&image);
        }
    }

    /// Drops what was not measured for its retention time.
    fn sweep(&mut self, now: MonoTime) {
        for filter in self.filters.values_mut() {
            filter.drop_unused(now);
        }
        self.filters
            .retain(|_, filter| !filter.estimates.is_empty());
    }

    /// Returns the number of observed pairs of images.
    pub fn pair_count(&self) -> usize {
        self.pairs().count()
    }

    /// Returns all observed pairs of images.
    fn pairs(&self) -> impl Iterator<Item = ImagePair<'_>> {
        self.filters.iter().flat_map(|(serving, filter)| {
            filter.estimates.iter().filter_map(move |estimate| {
                let FilterVariable::Interference(best_effort) = &estimate.variable else {
                    return None;
                };
                Some(ImagePair {
                    best_effort,
                    serving,
                    interference: estimate.mean.max(0.0),
                    updated_at: estimate.updated_at,
                })
            })
        })
    }

    /// Encodes the learned interference for the next leader, in at most `limit` bytes. Pairs that
    /// were measured last come first.
    pub fn write(&self, limit: usize) -> v1::HeadroomRow {
        let mut pairs: Vec<ImagePair<'_>> = self.pairs().collect();
        pairs.sort_by_key(|pair| Reverse(pair.updated_at));
        let mut bytes = 0;
        let gains = pairs.into_iter().filter_map(|pair| {
            // Names alone may exceed the limit; they are not copied for a pair that is left out.
            if bytes + pair.best_effort.len() + pair.serving.len() > limit {
                return None;
            }
            let gain = v1::PairGain {
                filling: pair.best_effort.to_owned(),
                serving: pair.serving.to_owned(),
                gain_permille: (pair.interference * 1000.0) as u32,
            };
            let size = gain.encoded_len() + PAIR_OVERHEAD;
            let fits = bytes + size <= limit;
            bytes += if fits { size } else { 0 };
            fits.then_some(gain)
        });
        v1::HeadroomRow {
            gains: gains.collect(),
        }
    }

    /// Decodes the interference that an earlier leader learned.
    pub fn read(row: v1::HeadroomRow, now: MonoTime) -> Self {
        let mut table = Self::new();
        for pair in row.gains {
            let filter = table.filters.entry(pair.serving).or_default();
            let mean = f64::from(pair.gain_permille) / 1000.0;
            let variable = FilterVariable::Interference(pair.filling);
            filter.position_with(variable, now, mean, RESTORED_VARIANCE);
        }
        table
    }

    /// Formats the learned interference for the log.
    pub fn describe(&self) -> String {
        let mut pairs: Vec<ImagePair<'_>> = self.pairs().collect();
        pairs.sort_by_key(|pair| Reverse(pair.updated_at));
        let omitted = pairs.len().saturating_sub(DESCRIBED_PAIR_LIMIT);
        let mut texts: Vec<String> = pairs
            .iter()
            .take(DESCRIBED_PAIR_LIMIT)
            .map(|pair| {
                let ImagePair {
                    best_effort,
                    serving,
                    interference,
                    ..
                } = pair;
                format!("{best_effort} on {serving} {interference:.1}")
            })
            .collect();
        if omitted > 0 {
            texts.push(format!("{omitted} more"));
        }
        texts.join(", ")
    }
}
