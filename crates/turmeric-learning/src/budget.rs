//! How much slowdown a service can bear within its latency target.

use std::time::Duration;

use turmeric_types::{LatencyHistogram, MonoTime};

/// Time after which the older half of the requests is forgotten.
const HALF_WINDOW: Duration = Duration::from_secs(10);

/// Requests that are needed to know a 99th percentile.
const REQUEST_FLOOR: u64 = 200;

/// Share of all requests that may miss the target.
const LATE_SHARE: f64 = 0.01;

/// Time over which the mean rate of requests is taken.
const RATE_TIME: Duration = Duration::from_secs(900);

/// The least and the most that the late share is multiplied with.
const SHARE_RANGE: (f64, f64) = (0.3, 4.0);

/// The least and the most of the target that is planned with.
const PLAN_RANGE: (f64, f64) = (0.8, 1.1);

/// By how much the planned part changes in a half of the window in which no
/// request, or twice as many as may be, were late.
const PLAN_STEP: f64 = 0.02;

/// Step in which the budget is told, so that it changes seldom.
const BUDGET_STEP_PERMILLE: u64 = 25;

/// Estimates how much slowdown a service can bear within its latency target.
///
/// Each latency is divided by the slowdown that was expected when it was
/// measured. What is left is the latency beside no tasks, at the load of
/// now; how far its high percentile is from the target is the budget.
///
/// Of all requests together one in a hundred may be late, wherever and
/// whenever that is. So the VM may be late with the same number of requests
/// a second at all times: with a larger share of them while they are few,
/// when slowing them harms fewest callers. What is planned with follows from
/// how many were really late, so that errors of the estimates cancel out.
#[derive(Debug)]
pub struct InterferenceBudget {
    newer: LatencyHistogram,
    older: LatencyHistogram,
    turned_at: MonoTime,
    /// Requests a second in the last whole half of the window.
    rate: f64,
    /// The same in the long run.
    mean_rate: f64,
    /// Time over which the mean was taken so far.
    seen: Duration,
    /// Late requests in the newer half of the window.
    late: u64,
    /// Part of the target that is planned with.
    planned_part: f64,
}

impl Default for InterferenceBudget {
    fn default() -> Self {
        Self::new()
    }
}

impl InterferenceBudget {
    /// Creates an estimate without requests.
    pub fn new() -> Self {
        Self {
            newer: LatencyHistogram::default(),
            older: LatencyHistogram::default(),
            turned_at: MonoTime::default(),
            rate: 0.0,
            mean_rate: 0.0,
            seen: Duration::ZERO,
            late: 0,
            planned_part: 1.0,
        }
    }

    /// Records a request while tasks were expected to slow the service by
    /// `interference_permille` thousandths.
    pub fn note_request(
        &mut self,
        latency: Duration,
        target: Duration,
        interference_permille: u64,
        now: MonoTime,
    ) {
        let passed = now.since(self.turned_at);
        if passed >= HALF_WINDOW {
            self.turn(passed);
            self.turned_at = now;
        }
        self.late += u64::from(latency > target);
        let micros = latency.as_micros() as u64;
        self.newer
            .record(micros * 1000 / (1000 + interference_permille));
    }

    fn turn(&mut self, passed: Duration) {
        self.older = std::mem::take(&mut self.newer);
        self.rate = self.older.total() as f64 / passed.as_secs_f64();
        self.seen = (self.seen + passed).min(RATE_TIME);
        let weight = (passed.as_secs_f64() / self.seen.as_secs_f64()).min(1.0);
        self.mean_rate += (self.rate - self.mean_rate) * weight;
        let late = std::mem::take(&mut self.late) as f64;
        let bearable = self.mean_rate * passed.as_secs_f64() * LATE_SHARE;
        let spared = ((bearable - late) / bearable.max(1.0)).clamp(-1.0, 1.0);
        let (least, most) = PLAN_RANGE;
        self.planned_part = (self.planned_part + spared * PLAN_STEP).clamp(least, most);
    }

    /// Returns the share of the requests of now that may miss the target.
    pub fn late_share(&self) -> f64 {
        if self.rate <= 0.0 {
            return LATE_SHARE;
        }
        let (least, most) = SHARE_RANGE;
        LATE_SHARE * (self.mean_rate / self.rate).clamp(least, most)
    }

    /// Returns the slowdown, in thousandths, that the service can bear within
    /// `target`; [`None`] while too few requests are known.
    pub fn permille(&self, target: Duration) -> Option<u64> {
        let mut all = self.older.clone();
        all.merge(&self.newer);
        if all.total() < REQUEST_FLOOR {
            return None;
        }
        let undisturbed_micros = all.quantile(1.0 - self.late_share())? as u64;
        let planned = (target.as_micros() as f64 * self.planned_part) as u64;
        let bearable = planned * 1000 / undisturbed_micros.max(1);
        let budget = bearable.saturating_sub(1000);
        Some(budget / BUDGET_STEP_PERMILLE * BUDGET_STEP_PERMILLE)
    }
}
