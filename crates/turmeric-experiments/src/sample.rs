//! Measurements of the arms in one pair of slots.

use turmeric_types::LatencyHistogram;

use crate::{ArmName, PairNumber};

/// Latency that is assumed for an unanswered request, in microseconds: the longest
/// timeout that a caller may set.
const NO_ANSWER_MICROS: f64 = 120e6;

/// Measurements of one arm in one pair of slots.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ArmSamples {
    /// Latencies of answered requests.
    pub latency: LatencyHistogram,
    /// Number of requests that were refused and did not run.
    pub refused: u64,
    /// Number of requests for which it is unknown whether they ran.
    pub unknown: u64,
}

impl ArmSamples {
    /// Returns the number of requests, answered or not.
    pub fn requests(&self) -> u64 {
        self.latency.total() + self.refused + self.unknown
    }

    /// Returns the quantile of the latency at `share` (from 0 to 1), in microseconds.
    ///
    /// Returns [`None`] if there are no requests. An unanswered request counts as
    /// slower than every answered one, so that an arm does not look faster by
    /// refusing requests.
    pub fn quantile(&self, share: f64) -> Option<f64> {
        let rank = (share * self.requests() as f64).ceil();
        if rank > self.latency.total() as f64 {
            return Some(NO_ANSWER_MICROS);
        }
        self.latency
            .quantile(rank / self.latency.total().max(1) as f64)
    }

    /// Returns the share of unanswered requests, from 0 to 1.
    pub fn failure_share(&self) -> f64 {
        let failures = (self.refused + self.unknown) as f64;
        failures / (self.requests() as f64).max(1.0)
    }

    /// Adds the measurements of another entry.
    pub fn merge(&mut self, other: &Self) {
        self.latency.merge(&other.latency);
        self.refused += other.refused;
        self.unknown += other.unknown;
    }
}

/// Measurements of both arms in one pair of slots.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PairSamples {
    /// Number of the pair.
    pub pair: PairNumber,
    /// Samples of arm A.
    pub a: ArmSamples,
    /// Samples of arm B.
    pub b: ArmSamples,
    /// Arm that served the first slot at the entry; [`None`] unless the units are
    /// time slots.
    pub first_arm: Option<ArmName>,
    /// Reason why the pair is excluded, if it is.
    pub disturbance: Option<String>,
}

impl PairSamples {
    /// Creates empty samples of a pair.
    pub fn new(pair: PairNumber) -> Self {
        Self {
            pair,
            ..Self::default()
        }
    }

    /// Returns the samples of an arm.
    pub fn arm(&self, arm: ArmName) -> &ArmSamples {
        match arm {
            ArmName::A => &self.a,
            ArmName::B => &self.b,
        }
    }

    /// Returns the samples of an arm, for changes.
    pub fn arm_mut(&mut self, arm: ArmName) -> &mut ArmSamples {
        match arm {
            ArmName::A => &mut self.a,
            ArmName::B => &mut self.b,
        }
    }

    /// Adds the measurements of another entry of the same pair.
    ///
    /// A pair that was disturbed at one entry is excluded for all entries.
    pub fn merge(&mut self, other: &Self) {
        self.a.merge(&other.a);
        self.b.merge(&other.b);
        if self.first_arm.is_none() {
            self.first_arm = other.first_arm;
        } else if other.first_arm.is_some() && other.first_arm != self.first_arm {
            self.disturbance = Some("entries disagree on the arm".to_owned());
        }
        if self.disturbance.is_none() {
            self.disturbance.clone_from(&other.disturbance);
        }
    }
}
