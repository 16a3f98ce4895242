//! A latency estimate that forgets what is old.

use std::time::Duration;

use turmeric_types::MonoTime;

/// Time after which half of an estimate's deviation from the prior is gone.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Weight of a new sample when samples come often.
const SAMPLE_WEIGHT: f64 = 0.2;

/// Weight of a new sample that is slower than the estimate.
const SLOW_SAMPLE_WEIGHT: f64 = 0.4;

/// What is expected of an unknown endpoint, as a share of the mean.
const UNKNOWN_SHARE: f64 = 0.5;

/// A moving estimate of one endpoint's service time, in microseconds.
///
/// Slow samples count more than fast ones, so that interference is noticed
/// early. Without new samples the estimate falls back to the prior, so that
/// an endpoint which was slow once is tried again.
#[derive(Clone, Copy, Debug, Default)]
pub struct LatencyEstimate {
    micros: f64,
    sampled_at: MonoTime,
}

impl LatencyEstimate {
    /// Creates an estimate that knows nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in a service time of `micros` microseconds seen at `now`.
    pub fn add_sample(&mut self, micros: f64, prior: f64, now: MonoTime) {
        let current = self.at(prior, now);
        let weight = if micros > current {
            SLOW_SAMPLE_WEIGHT
        } else {
            SAMPLE_WEIGHT
        };
        self.micros = current + (micros - current) * weight;
        self.sampled_at = now;
    }

    /// Returns what is expected at `now`, in microseconds.
    ///
    /// `prior` is the mean over all endpoints. One of which nothing is known
    /// is expected to be better than that, so that it is tried even if the
    /// mean comes from a single slow one.
    pub fn expected(&self, prior: f64, now: MonoTime) -> f64 {
        if self.micros == 0.0 {
            prior * UNKNOWN_SHARE
        } else {
            self.at(prior, now)
        }
    }

    /// Returns the estimate at `now`, in microseconds.
    pub fn at(&self, prior: f64, now: MonoTime) -> f64 {
        if self.micros == 0.0 {
            return prior;
        }
        let age = now.since(self.sampled_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        prior + (self.micros - prior) * (-age).exp2()
    }
}
