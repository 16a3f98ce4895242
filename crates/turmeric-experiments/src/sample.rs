//! What was seen of the arms in one pair of slots.

use turmeric_types::LatencyHistogram;

use crate::{ArmName, PairNumber};

/// Latency of a request without an answer, in microseconds: the longest time
/// that a caller may ask for.
const NO_ANSWER_MICROS: f64 = 120e6;

/// What was seen of one arm in one pair of slots.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ArmSamples {
    /// Latencies of answered requests.
    pub latency: LatencyHistogram,
    /// Requests refused as not run.
    pub refused: u64,
    /// Requests of which it is unknown whether they ran.
    pub unknown: u64,
}

impl ArmSamples {
    /// Returns the number of requests.
    pub fn requests(&self) -> u64 {
        self.latency.total() + self.refused + self.unknown
    }

    /// Returns the latency in microseconds that this share of all requests,
    /// from 0 to 1, keeps; [`None`] without any.
    ///
    /// A request without an answer is slower than every answer, so that an
    /// arm gains nothing from refusing.
    pub fn quantile(&self, share: f64) -> Option<f64> {
        let rank = (share * self.requests() as f64).ceil();
        if rank > self.latency.total() as f64 {
            return Some(NO_ANSWER_MICROS);
        }
        self.latency
            .quantile(rank / self.latency.total().max(1) as f64)
    }

    /// Returns the share of requests that got no answer, from 0 to 1.
    pub fn failure_share(&self) -> f64 {
        let failures = (self.refused + self.unknown) as f64;
        failures / (self.requests() as f64).max(1.0)
    }

    /// Adds what another entry saw.
    pub fn merge(&mut self, other: &Self) {
        self.latency.merge(&other.latency);
        self.refused += other.refused;
        self.unknown += other.unknown;
    }
}

/// What was seen of both arms in one pair of slots.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PairSamples {
    /// Number of the pair.
    pub pair: PairNumber,
    /// Samples of arm A.
    pub a: ArmSamples,
    /// Samples of arm B.
    pub b: ArmSamples,
    /// Arm that the entry had serve the first slot; [`None`] unless time
    /// slots are assigned.
    pub first_arm: Option<ArmName>,
    /// Why the pair does not count, if it does not.
    pub disturbance: Option<String>,
}

impl PairSamples {
    /// Creates samples of a pair of which nothing was seen yet.
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

    /// Returns the samples of an arm.
    pub fn arm_mut(&mut self, arm: ArmName) -> &mut ArmSamples {
        match arm {
            ArmName::A => &mut self.a,
            ArmName::B => &mut self.b,
        }
    }

    /// Adds what another entry saw of the same pair.
    ///
    /// A pair that one entry found disturbed counts for none.
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
