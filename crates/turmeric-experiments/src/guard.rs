//! Guard that stops an experiment if arm B degrades the service.

use std::fmt;

use crate::{ArmSamples, PairSamples};

/// Number of consecutive pairs with a violation by arm B that stop the experiment.
const GUARD_PAIRS: usize = 2;

/// Minimum number of requests of each arm for the guard to judge a pair.
const GUARD_REQUESTS: u64 = 20;

/// Difference by which the share of failed requests of arm B may exceed that of arm A.
const FAILURE_MARGIN: f64 = 0.05;

/// Bounds that arm B must not exceed.
#[derive(Clone, Copy, Debug)]
pub struct GuardRule {
    /// Latency target of the service, in microseconds.
    pub target_micros: f64,
    /// Margin by which arm B may exceed the target, in percent.
    pub margin_percent: u64,
}

/// Reason why arm B was stopped.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum GuardReason {
    /// Its latency exceeded the target by more than the margin; that of arm A did not.
    Latency {
        /// 99th percentile of the latency of arm B in the last pair, in microseconds.
        p99_micros: f64,
        /// Target plus margin, in microseconds.
        bound_micros: f64,
    },
    /// Its share of failed requests exceeded that of arm A by more than the margin.
    Failures {
        /// Share of failed requests of arm B in the last pair, from 0 to 1.
        share: f64,
    },
}

impl fmt::Display for GuardReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Latency {
                p99_micros,
                bound_micros,
            } => write!(
                formatter,
                "arm b exceeded the latency target in {GUARD_PAIRS} consecutive pairs: p99 {:.1} ms, bound {:.1} ms",
                p99_micros / 1000.0,
                bound_micros / 1000.0
            ),
            Self::Failures { share } => write!(
                formatter,
                "arm b failed more requests than arm a in {GUARD_PAIRS} consecutive pairs: {:.1}%",
                share * 100.0
            ),
        }
    }
}

impl GuardRule {
    /// Returns the reason why arm B must be stopped, if there is one.
    ///
    /// `pairs` are in the order of time. The guard also judges pairs that the
    /// analysis excludes, because the service is degraded in these too.
    pub fn judge(&self, pairs: &[PairSamples]) -> Option<GuardReason> {
        let first = pairs.len().checked_sub(GUARD_PAIRS)?;
        let reasons: Option<Vec<GuardReason>> = pairs[first..]
            .iter()
            .map(|pair| self.judge_pair(pair))
            .collect();
        reasons?.pop()
    }

    fn judge_pair(&self, pair: &PairSamples) -> Option<GuardReason> {
        if pair.a.requests().min(pair.b.requests()) < GUARD_REQUESTS {
            return None;
        }
        let share = pair.b.failure_share();
        if share > pair.a.failure_share() + FAILURE_MARGIN {
            return Some(GuardReason::Failures { share });
        }
        let bound_micros = self.target_micros * (1.0 + self.margin_percent as f64 / 100.0);
        let p99 = |samples: &ArmSamples| samples.quantile(0.99);
        let p99_micros = p99(&pair.b).filter(|micros| *micros > bound_micros)?;
        let is_overloaded = p99(&pair.a).is_some_and(|micros| micros > bound_micros);
        (!is_overloaded).then_some(GuardReason::Latency {
            p99_micros,
            bound_micros,
        })
    }
}
