//! How much slowdown a service tolerates within its latency target.

use std::time::Duration;

use turmeric_types::{LatencyHistogram, MonoTime};

/// Length of each of the two halves of the window of recorded latencies.
const HALF_WINDOW: Duration = Duration::from_secs(10);

/// Requests needed to estimate the 99th percentile.
const REQUEST_FLOOR: u64 = 200;

/// Share of all requests that may miss the target.
const LATE_SHARE: f64 = 0.01;

/// Time over which the mean request rate is taken.
const MEAN_RATE_WINDOW: Duration = Duration::from_secs(900);

/// Range of the factor by which [`LATE_SHARE`] is multiplied.
const LATE_SHARE_FACTOR_RANGE: (f64, f64) = (0.3, 4.0);

/// Range of the fraction of the latency target that the budget aims at.
const TARGET_FRACTION_RANGE: (f64, f64) = (0.8, 1.1);

/// Change of the fraction of the target after half a window without late requests
/// (up), or with twice as many as allowed (down).
const TARGET_FRACTION_STEP: f64 = 0.02;

/// Step to which the reported budget is rounded down, so that it changes rarely.
const BUDGET_STEP_PERMILLE: u64 = 25;

/// Estimates how much slowdown a service tolerates within its latency target.
///
/// Each latency is divided by the slowdown that was expected when it was
/// measured. The result is the latency without interference at the current
/// load. The budget is the slowdown that lifts a high percentile of it to the
/// target.
///
/// One in a hundred of all requests may be late, on any VM and at any time. A VM
/// may thus have the same number of late requests per second at all times, which
/// is a larger share of the requests at low traffic, when slowing them affects
/// the fewest callers. The number of requests that were actually late adjusts the
/// fraction of the target that the budget aims at, so that errors of the
/// estimates cancel out.
#[derive(Debug)]
pub struct InterferenceBudget {
    /// Latencies without interference in the newer half of the window.
    current: LatencyHistogram,
    /// The same in the older half.
    previous: LatencyHistogram,
    rotated_at: MonoTime,
    /// Requests per second in the last complete half of the window.
    request_rate: f64,
    /// Mean of the requests per second over [`MEAN_RATE_WINDOW`].
    mean_request_rate: f64,
    /// Time over which the mean has been taken so far.
    observed_time: Duration,
    /// Late requests in the newer half of the window.
    late_requests: u64,
    /// Fraction of the latency target that the budget aims at.
    target_fraction: f64,
}

impl Default for InterferenceBudget {
    fn default() -> Self {
        Self::new()
    }
}

impl InterferenceBudget {
    /// Creates a budget without recorded requests.
    pub fn new() -> Self {
        Self {
            current: LatencyHistogram::default(),
            previous: LatencyHistogram::default(),
            rotated_at: MonoTime::default(),
            request_rate: 0.0,
            mean_request_rate: 0.0,
            observed_time: Duration::ZERO,
            late_requests: 0,
            target_fraction: 1.0,
        }
    }

    /// Records a request that ran while tasks were expected to slow the service by
    /// `interference_permille` thousandths.
    pub fn record_request(
        &mut self,
        latency: Duration,
        target: Duration,
        interference_permille: u64,
        now: MonoTime,
    ) {
        let passed = now.since(self.rotated_at);
        if passed >= HALF_WINDOW {
            self.rotate(passed);
            self.rotated_at = now;
        }
        self.late_requests += u64::from(latency > target);
        let micros = latency.as_micros() as u64;
        self.current
            .record(micros * 1000 / (1000 + interference_permille));
    }

    /// Makes the current half of the window the previous one, and updates the
    /// rates and the fraction of the target.
    fn rotate(&mut self, passed: Duration) {
        self.previous = std::mem::take(&mut self.current);
        self.request_rate = self.previous.total() as f64 / passed.as_secs_f64();
        self.observed_time = (self.observed_time + passed).min(MEAN_RATE_WINDOW);
        let weight = (passed.as_secs_f64() / self.observed_time.as_secs_f64()).min(1.0);
        self.mean_request_rate += (self.request_rate - self.mean_request_rate) * weight;
        let late = std::mem::take(&mut self.late_requests) as f64;
        let tolerable = self.mean_request_rate * passed.as_secs_f64() * LATE_SHARE;
        let unused_share = ((tolerable - late) / tolerable.max(1.0)).clamp(-1.0, 1.0);
        let (min, max) = TARGET_FRACTION_RANGE;
        self.target_fraction =
            (self.target_fraction + unused_share * TARGET_FRACTION_STEP).clamp(min, max);
    }

    /// Returns the share of requests that may miss the target at the current load.
    pub fn late_share(&self) -> f64 {
        if self.request_rate <= 0.0 {
            return LATE_SHARE;
        }
        let (min, max) = LATE_SHARE_FACTOR_RANGE;
        LATE_SHARE * (self.mean_request_rate / self.request_rate).clamp(min, max)
    }

    /// Returns the slowdown, in thousandths, that the service tolerates within
    /// `target`.
    ///
    /// Returns [`None`] while too few requests are recorded.
    pub fn permille(&self, target: Duration) -> Option<u64> {
        let mut latencies = self.previous.clone();
        latencies.merge(&self.current);
        if latencies.total() < REQUEST_FLOOR {
            return None;
        }
        let undisturbed_micros = latencies.quantile(1.0 - self.late_share())? as u64;
        let adjusted_target = (target.as_micros() as f64 * self.target_fraction) as u64;
        let tolerable = adjusted_target * 1000 / undisturbed_micros.max(1);
        let budget = tolerable.saturating_sub(1000);
        Some(budget / BUDGET_STEP_PERMILLE * BUDGET_STEP_PERMILLE)
    }
}
