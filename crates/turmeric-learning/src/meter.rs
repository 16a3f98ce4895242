//! Measuring what tasks do to the service beside them.

use std::collections::BTreeMap;
use std::time::Duration;

use turmeric_types::{CoreCount, JobKind, MonoTime, PartitionId, ServiceName};

use crate::regression::LinearRegression;
use crate::{InterferencePair, InterferenceRate, InterferenceSample, LoadLevel};

/// Shortest time over which requests are averaged.
const WINDOW_TIME: Duration = Duration::from_secs(1);

/// Requests that an average needs.
const REQUEST_FLOOR: u64 = 10;

/// Kinds that one meter tells apart; tasks of others count as unnamed.
const KIND_LIMIT: usize = 24;

/// How uncertain an expected harm is at first, as a share of it.
const HARM_UNCERTAINTY: f64 = 1.0;

/// The least uncertainty of an expected harm, as a share of the time of a
/// request.
const UNCERTAINTY_FLOOR: f64 = 0.1;

/// How uncertain the time beside no tasks is at first, as a share of it.
const BASE_UNCERTAINTY: f64 = 0.5;

/// Certainty from which a kind's harm is told.
const CERTAINTY_FLOOR: f64 = 0.75;

/// The most that an average may differ from what is expected and still
/// count, as a share of it: a stall of the service says nothing of tasks.
const DEVIATION_LIMIT: f64 = 2.0;

/// A kind of task on a VM; tasks without one count together.
pub type MeterKind = Option<(PartitionId, JobKind)>;

/// Tasks of one kind that run on the VM.
#[derive(Clone, Debug)]
pub struct MeterTasks {
    /// The kind.
    pub kind: MeterKind,
    /// Number of tasks.
    pub count: u32,
    /// Harm that is expected of all of them together.
    pub expected: InterferenceRate,
}

/// The service beside the tasks, and what runs there.
#[derive(Clone, Debug)]
pub struct MeterContext<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// Requests that it works on at a time.
    pub slots: u32,
    /// Processors of the VM.
    pub capacity: CoreCount,
    /// What runs there.
    pub tasks: &'a [MeterTasks],
    /// Whether the tasks run at full speed.
    pub is_full_speed: bool,
}

/// Sums over the requests since the last average.
#[derive(Clone, Copy, Debug, Default)]
struct RequestSum {
    count: u64,
    micros: u64,
    outstanding: u64,
}

/// What is known of the service at one load.
#[derive(Debug, Default)]
struct LevelModel {
    regression: LinearRegression,
    /// Places of the kinds in the regression; the base has the first one.
    places: BTreeMap<MeterKind, usize>,
    /// Time in microseconds that counts as 1 in the regression.
    unit_micros: f64,
}

/// Measures what tasks do to the service beside them.
///
/// Each second gives one equation: the mean time of requests is the time
/// beside no tasks and what each kind of task there adds to it. Kinds meet in
/// ever new mixes, so a regression over the seconds tells them apart.
#[derive(Debug, Default)]
pub struct ServiceMeter {
    sum: RequestSum,
    began_at: MonoTime,
    models: BTreeMap<LoadLevel, LevelModel>,
}

impl ServiceMeter {
    /// Creates a meter that has seen nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a request that the service worked on for `service_micros`,
    /// while `outstanding` were in progress.
    pub fn note_request(&mut self, service_micros: u64, outstanding: u32) {
        self.sum.count += 1;
        self.sum.micros += service_micros;
        self.sum.outstanding += u64::from(outstanding);
    }

    /// Takes in the requests since the last look.
    ///
    /// Returns what is known well of the kinds that run there.
    pub fn look(
        &mut self,
        context: &MeterContext<'_>,
        now: MonoTime,
    ) -> Vec<(MeterKind, InterferenceSample)> {
        let is_over = now >= self.began_at.after(WINDOW_TIME);
        if !is_over || self.sum.count < REQUEST_FLOOR {
            return Vec::new();
        }
        let sum = std::mem::take(&mut self.sum);
        self.began_at = now;
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
    fn observe(&mut self, sum: &RequestSum, context: &MeterContext<'_>) {
        let mean_micros = sum.micros as f64 / sum.count as f64;
        let capacity = context.capacity.as_millicores().max(1) as f64;
        if self.is_full_for(context.tasks) {
            // Kinds that went take all places. What was learned of the others
            // comes back as what is expected of them.
            *self = Self::default();
        }
        if self.places.is_empty() {
            let expected: i64 = context.tasks.iter().map(|tasks| tasks.expected.get()).sum();
            self.unit_micros = mean_micros.max(1.0);
            let base = 1.0 / (1.0 + expected.max(0) as f64 / capacity);
            self.add(None, base, BASE_UNCERTAINTY * base);
        }
        let features = self.features(context, capacity);
        let observed = mean_micros / self.unit_micros;
        let predicted = self.regression.predict(&features).max(f64::MIN_POSITIVE);
        let observed = observed.min(predicted * (1.0 + DEVIATION_LIMIT));
        // Times of requests vary about as much as they are long.
        let variance = predicted * predicted / sum.count as f64;
        self.regression.observe(&features, observed, variance);
    }

    /// Returns whether kinds that run have no place, though they could have
    /// one if those that went gave theirs up.
    fn is_full_for(&self, tasks: &[MeterTasks]) -> bool {
        let named = || tasks.iter().filter(|tasks| tasks.kind.is_some());
        let fresh = named().filter(|tasks| !self.places.contains_key(&tasks.kind));
        let wanted = self.places.len().saturating_sub(1) + fresh.count();
        wanted > KIND_LIMIT && named().count() <= KIND_LIMIT
    }

    fn add(&mut self, kind: MeterKind, mean: f64, deviation: f64) -> usize {
        let place = self.regression.add(mean, deviation * deviation);
        self.places.insert(kind, place);
        place
    }

    /// Returns how many tasks of each kind run, in the regression's order.
    ///
    /// Tasks without a kind are no feature of their own: what is expected of
    /// them counts as a part of the base.
    fn features(&mut self, context: &MeterContext<'_>, capacity: f64) -> Vec<f64> {
        let mut counts: Vec<(usize, f64)> = Vec::new();
        let mut unnamed = 0.0;
        for tasks in context.tasks {
            let expected = tasks.expected.get().max(0) as f64 / capacity;
            match self.place_of(tasks, expected) {
                Some(place) => counts.push((place, f64::from(tasks.count))),
                None => unnamed += expected,
            }
        }
        let mut features = vec![0.0; self.places.len()];
        features[0] = 1.0 + unnamed;
        for (place, count) in counts {
            features[place] = count;
        }
        features
    }

    fn place_of(&mut self, tasks: &MeterTasks, expected: f64) -> Option<usize> {
        tasks.kind.as_ref()?;
        if let Some(place) = self.places.get(&tasks.kind) {
            return Some(*place);
        }
        if self.places.len() > KIND_LIMIT {
            return None;
        }
        let base = self.regression.mean(0);
        let mean = base * expected / f64::from(tasks.count.max(1));
        let deviation = (mean * HARM_UNCERTAINTY).max(base * UNCERTAINTY_FLOOR);
        Some(self.add(tasks.kind.clone(), mean, deviation))
    }

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
            .filter_map(|tasks| Some((&tasks.kind, *self.places.get(&tasks.kind)?)))
            .filter(|(_, place)| self.regression.certainty(*place) >= CERTAINTY_FLOOR)
            .map(|(kind, place)| {
                let added = self.regression.mean(place) / base;
                let rate = InterferenceRate::new((added * capacity) as i64);
                let pair = pair.clone();
                (kind.clone(), InterferenceSample { pair, rate })
            })
            .collect()
    }
}
