//! Measures the interference of tasks with the service on the same VM.

use std::collections::BTreeMap;
use std::time::Duration;

use turmeric_types::{CoreCount, JobKind, MonoTime, PartitionId, ServiceName};

use crate::regression::LinearRegression;
use crate::{InterferencePair, InterferenceRate, InterferenceSample, LoadLevel};

/// Shortest time over which requests are averaged.
const MIN_WINDOW: Duration = Duration::from_secs(1);

/// Requests needed for an average.
const REQUEST_FLOOR: u64 = 10;

/// Kinds that one meter distinguishes; tasks of further kinds count as
/// tasks without a kind.
const KIND_LIMIT: usize = 24;

/// Initial standard deviation of an expected interference, as a share of it.
const INTERFERENCE_UNCERTAINTY: f64 = 1.0;

/// Lower limit of that standard deviation, as a share of the time of a request
/// without tasks.
const UNCERTAINTY_FLOOR: f64 = 0.1;

/// Initial standard deviation of the time of a request without tasks, as a share
/// of it.
const BASE_UNCERTAINTY: f64 = 0.5;

/// Certainty from which the interference of a kind is reported.
const CERTAINTY_FLOOR: f64 = 0.75;

/// Largest excess of an average over its predicted value that is used, as a share of the
/// prediction.
///
/// A larger excess indicates a stall of the service, not an effect of tasks.
const DEVIATION_LIMIT: f64 = 2.0;

/// A kind of task on a VM; all tasks without a kind count as [`None`].
pub type MeterKind = Option<(PartitionId, JobKind)>;

/// Tasks of one kind that run on the VM.
#[derive(Clone, Debug)]
pub struct MeterTasks {
    /// The kind.
    pub kind: MeterKind,
    /// Number of tasks.
    pub count: u32,
    /// Interference that is expected of all of them together.
    pub expected: InterferenceRate,
}

/// The service on a VM and the tasks that run there.
#[derive(Clone, Debug)]
pub struct MeterContext<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// Requests that it processes at a time.
    pub slots: u32,
    /// Cores of the VM.
    pub capacity: CoreCount,
    /// The tasks, by kind.
    pub tasks: &'a [MeterTasks],
    /// Whether the tasks run at full speed.
    pub is_full_speed: bool,
}

/// Sums over the requests of the current window.
#[derive(Clone, Copy, Debug, Default)]
struct RequestSum {
    count: u64,
    micros: u64,
    outstanding: u64,
}

/// The model of a service at one load level.
#[derive(Debug, Default)]
struct LevelModel {
    regression: LinearRegression,
    /// Index of the coefficient of each kind in the regression.
    ///
    /// The first one, with kind [`None`], is the time of a request without tasks.
    indexes: BTreeMap<MeterKind, usize>,
    /// Time in microseconds that counts as 1 in the regression.
    unit_micros: f64,
}

/// Measures the interference of tasks with the service on the same VM.
///
/// Each window of a second or more gives one equation: the mean time of a request
/// is the time without tasks plus what each kind of running task adds to it. The
/// mix of kinds changes over time, so a regression over the windows separates
/// their effects.
#[derive(Debug, Default)]
pub struct ServiceMeter {
    sum: RequestSum,
    window_started_at: MonoTime,
    models: BTreeMap<LoadLevel, LevelModel>,
}

impl ServiceMeter {
    /// Creates a meter without recorded requests.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a request that the service processed in `service_micros`, while
    /// `outstanding` requests were in progress.
    pub fn record_request(&mut self, service_micros: u64, outstanding: u32) {
        self.sum.count += 1;
        self.sum.micros += service_micros;
        self.sum.outstanding += u64::from(outstanding);
    }

    /// Evaluates the requests of the current window, once it is complete.
    ///
    /// Returns a sample for each running kind whose interference is known with
    /// enough certainty.
    pub fn collect_samples(
        &mut self,
        context: &MeterContext<'_>,
        now: MonoTime,
    ) -> Vec<(MeterKind, InterferenceSample)> {
        let is_window_complete = now >= self.window_started_at.after(MIN_WINDOW);
        if !is_window_complete || self.sum.count < REQUEST_FLOOR {
            return Vec::new();
        }
        let sum = std::mem::take(&mut self.sum);
        self.window_started_at = now;
        if !context.is_full_speed {
            return Vec::new();
        }
        let outstanding = (sum.outstanding / sum.count) as u32;
        let level = LoadLevel::new(outstanding, context.slots);
        let model = self.models.entry(level).or_default();
        model.observe(&sum, context);
        model.samples(level, context)
    }
}

impl LevelModel {
    /// Adds the observation of one window to the regression.
    fn observe(&mut self, sum: &RequestSum, context: &MeterContext<'_>) {
        let mean_micros = sum.micros as f64 / sum.count as f64;
        let capacity = context.capacity.as_millicores().max(1) as f64;
        if self.must_reset_for(context.tasks) {
            // Kinds that no longer run occupy the coefficients. What was learned of
            // the running kinds is not lost: it comes back as their expected
            // interference.
            *self = Self::default();
        }
        if self.indexes.is_empty() {
            let expected: i64 = context.tasks.iter().map(|tasks| tasks.expected.get()).sum();
            self.unit_micros = mean_micros.max(1.0);
            let base = 1.0 / (1.0 + expected.max(0) as f64 / capacity);
            self.add(None, base, BASE_UNCERTAINTY * base);
        }
        let features = self.features(context, capacity);
        let observed = mean_micros / self.unit_micros;
        let predicted = self.regression.predict(&features).max(f64::MIN_POSITIVE);
        let observed = observed.min(predicted * (1.0 + DEVIATION_LIMIT));
        // The standard deviation of the time of a request is about its mean.
        let variance = predicted * predicted / sum.count as f64;
        self.regression.observe(&features, observed, variance);
    }

    /// Returns whether running kinds lack a coefficient that they could have if
    /// those of kinds that no longer run were dropped.
    fn must_reset_for(&self, tasks: &[MeterTasks]) -> bool {
        let named = || tasks.iter().filter(|tasks| tasks.kind.is_some());
        let unindexed = named().filter(|tasks| !self.indexes.contains_key(&tasks.kind));
        let required = self.indexes.len().saturating_sub(1) + unindexed.count();
        required > KIND_LIMIT && named().count() <= KIND_LIMIT
    }

    fn add(&mut self, kind: MeterKind, mean: f64, deviation: f64) -> usize {
        let index = self.regression.add(mean, deviation * deviation);
        self.indexes.insert(kind, index);
        index
    }

    /// Returns how many tasks of each kind run, in the order of the coefficients.
    ///
    /// Tasks without a kind are not a feature of their own: their expected
    /// slowdown is added to the feature of the time without tasks.
    fn features(&mut self, context: &MeterContext<'_>, capacity: f64) -> Vec<f64> {
        let mut counts: Vec<(usize, f64)> = Vec::new();
        let mut unnamed_slowdown = 0.0;
        for tasks in context.tasks {
            let expected = tasks.expected.get().max(0) as f64 / capacity;
            match self.index_of(tasks, expected) {
                Some(index) => counts.push((index, f64::from(tasks.count))),
                None => unnamed_slowdown += expected,
            }
        }
        let mut features = vec![0.0; self.indexes.len()];
        features[0] = 1.0 + unnamed_slowdown;
        for (index, count) in counts {
            features[index] = count;
        }
        features
    }

    /// Returns the index of the coefficient of a kind, which is added if there is
    /// space for it.
    fn index_of(&mut self, tasks: &MeterTasks, expected: f64) -> Option<usize> {
        tasks.kind.as_ref()?;
        if let Some(index) = self.indexes.get(&tasks.kind) {
            return Some(*index);
        }
        if self.indexes.len() > KIND_LIMIT {
            return None;
        }
        let base = self.regression.mean(0);
        let mean = base * expected / f64::from(tasks.count.max(1));
        let deviation = (mean * INTERFERENCE_UNCERTAINTY).max(base * UNCERTAINTY_FLOOR);
        Some(self.add(tasks.kind.clone(), mean, deviation))
    }

    /// Returns a sample for each running kind whose coefficient is certain enough.
    fn samples(
        &self,
        level: LoadLevel,
        context: &MeterContext<'_>,
    ) -> Vec<(MeterKind, InterferenceSample)> {
        let base = self.regression.mean(0).max(f64::MIN_POSITIVE);
        let capacity = context.capacity.as_millicores() as f64;
        let pair = InterferencePair {
            service: context.service.clone(),
            level,
        };
        let named = context.tasks.iter().filter(|tasks| tasks.kind.is_some());
        named
            .filter_map(|tasks| Some((&tasks.kind, *self.indexes.get(&tasks.kind)?)))
            .filter(|(_, index)| self.regression.certainty(*index) >= CERTAINTY_FLOOR)
            .map(|(kind, index)| {
                let added = self.regression.mean(index) / base;
                let rate = InterferenceRate::new((added * capacity) as i64);
                let pair = pair.clone();
                (kind.clone(), InterferenceSample { pair, rate })
            })
            .collect()
    }
}
