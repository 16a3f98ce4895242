//! Estimates of task run times, corrected by the observed progress of tasks.
//!
//! Load pattern: callers' estimates are off by up to several times in both directions,
//! while the tasks of one step take nearly the same time. A job that is ranked by such an
//! estimate counts as late although it is in time, or the reverse. The progress of the
//! first tasks of a step predicts how long the others take; finished steps show how the
//! estimates of their queue deviate.

use std::collections::BTreeMap;
use std::time::Duration;

/// Weight of the prior estimate, as progress in percent of one task.
const PRIOR_PERCENT: f64 = 15.0;

/// Least progress of a step at which its observed run time is used to correct its queue,
/// in percent of one task.
const MIN_OBSERVED_PERCENT: u32 = 60;

/// Number of observed steps of a queue from which its estimates are corrected.
const MIN_STEPS: f64 = 6.0;

/// Weight of the assumption that run times are proportional to estimates, in steps.
const PROPORTION_WEIGHT: f64 = 2.0;

/// Bounds of the factor by which an estimate is corrected.
const CORRECTION_BOUNDS: (f64, f64) = (0.2, 5.0);

/// Stated and observed run time of the tasks of one step.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StepEstimate {
    /// Run time that the caller stated.
    pub stated: Duration,
    /// Estimate before any progress of the step's tasks is observed.
    pub prior: Duration,
    worked: Duration,
    percent: u32,
}

impl StepEstimate {
    /// Creates the estimate of a step of which no task has run.
    pub fn new(stated: Duration, prior: Duration) -> Self {
        Self {
            stated,
            prior,
            worked: Duration::ZERO,
            percent: 0,
        }
    }

    /// Records that a task worked for `worked` at full speed and progressed by `percent`.
    pub fn record_progress(&mut self, worked: Duration, percent: u32) {
        self.worked = self.worked.saturating_add(worked);
        self.percent = self.percent.saturating_add(percent);
    }

    /// Returns the expected run time of a task, by the prior and the observed progress.
    pub fn expected(&self) -> Duration {
        let prior = self.prior.as_secs_f64() * PRIOR_PERCENT;
        let observed = self.worked.as_secs_f64() * 100.0;
        Duration::from_secs_f64((prior + observed) / (PRIOR_PERCENT + f64::from(self.percent)))
    }

    /// Returns the observed run time of a task, once there is enough progress.
    pub fn observed(&self) -> Option<Duration> {
        (self.percent >= MIN_OBSERVED_PERCENT).then(|| self.worked * 100 / self.percent)
    }
}

/// Sums for a regression of observed on stated run times, as logarithms.
#[derive(Clone, Copy, Debug, Default)]
struct EstimateFit {
    count: f64,
    stated: f64,
    observed: f64,
    stated_square: f64,
    product: f64,
}

impl EstimateFit {
    fn record(&mut self, stated: f64, observed: f64) {
        self.count += 1.0;
        self.stated += stated;
        self.observed += observed;
        self.stated_square += stated * stated;
        self.product += stated * observed;
    }

    /// Returns the logarithm of the run time that the regression predicts.
    fn predict(&self, stated: f64) -> f64 {
        if self.count < MIN_STEPS {
            return stated;
        }
        let (mean, mean_observed) = (self.stated / self.count, self.observed / self.count);
        let variance = (self.stated_square - self.count * mean * mean).max(0.0);
        let covariance = self.product - self.count * mean * mean_observed;
        let weight = PROPORTION_WEIGHT * variance / self.count;
        let slope = (covariance + weight) / (variance + weight).max(f64::MIN_POSITIVE);
        mean_observed + slope.clamp(0.0, 1.0) * (stated - mean)
    }
}

/// Corrections of callers' estimates, learned for each queue.
#[derive(Clone, Debug, Default)]
pub struct EstimateTable {
    /// By route of the queue.
    fits: BTreeMap<String, EstimateFit>,
}

impl EstimateTable {
    /// Creates a table without corrections.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the observed run time of a finished step.
    pub fn record_step(&mut self, route: &str, step: &StepEstimate) {
        let (Some(observed), false) = (step.observed(), step.stated.is_zero()) else {
            return;
        };
        let fit = self.fits.entry(route.to_owned()).or_default();
        fit.record(
            step.stated.as_secs_f64().ln(),
            observed.as_secs_f64().max(0.001).ln(),
        );
    }

    /// Returns the corrected run time of a task whose caller stated `stated`.
    pub fn correct(&self, route: &str, stated: Duration) -> Duration {
        let Some(fit) = self.fits.get(route).filter(|_| !stated.is_zero()) else {
            return stated;
        };
        let seconds = stated.as_secs_f64();
        let factor = fit.predict(seconds.ln()).exp() / seconds;
        stated.mul_f64(factor.clamp(CORRECTION_BOUNDS.0, CORRECTION_BOUNDS.1))
    }
}
