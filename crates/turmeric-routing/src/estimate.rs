//! A latency estimate in which old samples lose their weight.

use std::time::Duration;

use turmeric_types::MonoTime;

/// Time after which an estimate's deviation from the prior has halved.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Weight of a new sample that is not slower than the estimate.
const SAMPLE_WEIGHT: f64 = 0.2;

/// Weight of a new sample that is slower than the estimate.
const SLOW_SAMPLE_WEIGHT: f64 = 0.4;

/// Expected service time of an endpoint without samples, as a share of the
/// mean.
const UNKNOWN_SHARE: f64 = 0.5;

/// A moving estimate of one endpoint's service time, in microseconds.
///
/// Slow samples have more weight than fast ones, so that interference is
/// detected early. Without new samples the estimate decays to the prior, so
/// that an endpoint that was slow once is tried again.
#[derive(Clone, Copy, Debug, Default)]
pub struct LatencyEstimate {
    micros: f64,
    sampled_at: MonoTime,
}

impl LatencyEstimate {
    /// Creates an estimate without samples.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a service time of `micros` microseconds measured at `now`.
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

    /// Returns the expected service time at `now`, in microseconds.
    ///
    /// `prior` is the mean over all endpoints. An endpoint without samples is
    /// expected to be faster than the mean, so that it is tried even if the
    /// mean comes from a single slow endpoint.
    pub fn expected(&self, prior: f64, now: MonoTime) -> f64 {
        if self.micros == 0.0 {
            prior * UNKNOWN_SHARE
        } else {
            self.at(prior, now)
        }
    }

    /// Returns the estimate at `now`, in microseconds; `prior` without
    /// samples.
    pub fn at(&self, prior: f64, now: MonoTime) -> f64 {
        if self.micros == 0.0 {
            return prior;
        }
        let age = now.since(self.sampled_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        prior + (self.micros - prior) * (-age).exp2()
    }
}
