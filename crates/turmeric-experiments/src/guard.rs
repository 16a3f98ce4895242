//! Stopping an arm that does harm.

use std::fmt;

use crate::{ArmSamples, PairSamples};

/// Pairs in a row in which arm B must break its bound.
const GUARD_PAIRS: usize = 2;

/// Fewest requests of each arm in a pair that the guard judges.
const GUARD_REQUESTS: u64 = 20;

/// Share of failed requests by which arm B may exceed arm A.
const FAILURE_MARGIN: f64 = 0.05;

/// Bounds that arm B has to keep.
#[derive(Clone, Copy, Debug)]
pub struct GuardRule {
    /// Latency target of the service, in microseconds.
    pub target_micros: f64,
    /// Share by which arm B may exceed the target, in percent.
    pub margin_percent: u64,
}

/// Why an arm was stopped.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum GuardReason {
    /// Its latency broke the target by more than the margin; arm A's did not.
    Latency {
        /// 99% of the last pair's requests of arm B took at most this long.
        p99_micros: f64,
        /// What they were allowed.
        bound_micros: f64,
    },
    /// It failed more requests than arm A by more than the margin.
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
                "arm b broke the latency target in {GUARD_PAIRS} pairs in a row: p99 {:.1} ms, bound {:.1} ms",
                p99_micros / 1000.0,
                bound_micros / 1000.0
            ),
            Self::Failures { share } => write!(
                formatter,
                "arm b failed more requests than arm a in {GUARD_PAIRS} pairs in a row: {:.1}%",
                share * 100.0
            ),
        }
    }
}

impl GuardRule {
    /// Returns why arm B must be stopped, if it must.
    ///
    /// `pairs` are in the order of time. The guard also looks at pairs that
    /// the analysis leaves out: harm is harm.
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
        let is_load = p99(&pair.a).is_some_and(|micros| micros > bound_micros);
        (!is_load).then_some(GuardReason::Latency {
            p99_micros,
            bound_micros,
        })
    }
}
