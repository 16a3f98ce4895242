//! Interference: how much tasks of a kind slow a service on the same VM.

use std::fmt;
use std::str::FromStr;

use turmeric_types::{CoreCount, ServiceName};

/// Samples after which older ones count less with each new one.
const SAMPLE_WINDOW: u32 = 64;

/// Number of samples that the assumed rate counts for.
const PRIOR_WEIGHT: i64 = 2;

/// Slowdown of a service by one task, in thousandths, times the cores of the VM.
///
/// A rate of 8000 means that one task makes each request take one half longer on
/// a VM with 16 cores, and one eighth longer on a VM with 64.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct InterferenceRate(i64);

impl InterferenceRate {
    /// Creates a rate from thousandths times cores.
    pub const fn new(permille_cores: i64) -> Self {
        Self(permille_cores)
    }

    /// Returns the rate in thousandths times cores.
    pub const fn get(self) -> i64 {
        self.0
    }

    /// Returns the rate that is assumed before any sample.
    ///
    /// It assumes that a task as large as the VM doubles the time of a request.
    pub const fn assumed(cores: CoreCount) -> Self {
        Self(cores.as_millicores() as i64)
    }

    /// Adds two rates.
    pub const fn plus(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    /// Returns the slowdown on a VM, in thousandths; never below zero.
    pub fn slowdown_permille(self, capacity: CoreCount) -> u64 {
        let interference = self.0.max(0) as u64;
        interference * 1000 / capacity.as_millicores().max(1)
    }
}

impl fmt::Display for InterferenceRate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

impl FromStr for InterferenceRate {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        text.parse()
            .map(Self)
            .map_err(|_| format!("{text:?} is not a whole number of thousandths times cores"))
    }
}

/// How busy a service was on the VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LoadLevel {
    /// Less than half of its slots were taken.
    Light,
    /// Half of its slots or more were taken.
    Heavy,
}

impl LoadLevel {
    /// Returns the level of a service with `outstanding` requests and `slots`
    /// slots.
    pub fn new(outstanding: u32, slots: u32) -> Self {
        if outstanding * 2 < slots {
            Self::Light
        } else {
            Self::Heavy
        }
    }

    /// Returns the other level.
    pub fn other(self) -> Self {
        match self {
            Self::Light => Self::Heavy,
            Self::Heavy => Self::Light,
        }
    }
}

/// A service that tasks slow, and how busy it is.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct InterferencePair {
    /// The service.
    pub service: ServiceName,
    /// How busy it is on the VM.
    pub level: LoadLevel,
}

/// Interference that one agent measured while a task of the kind ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InterferenceSample {
    /// The service that was measured.
    pub pair: InterferencePair,
    /// The slowdown; below zero when requests became faster by chance.
    pub rate: InterferenceRate,
}

/// The mean of the samples of all agents.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InterferenceEstimate {
    /// Mean of the samples.
    pub mean: InterferenceRate,
    /// Number of samples.
    pub count: u32,
}

impl InterferenceEstimate {
    /// Adds a sample.
    pub fn push(&mut self, rate: InterferenceRate) {
        self.count = self.count.saturating_add(1);
        let weight = i64::from(self.count.min(SAMPLE_WINDOW));
        let step = (rate.0 - self.mean.0) / weight;
        self.mean = InterferenceRate(self.mean.0 + step);
    }

    /// Returns the expected rate, a weighted mean of the samples and `assumed`.
    pub fn rate(&self, assumed: InterferenceRate) -> InterferenceRate {
        let weight = i64::from(self.count.min(SAMPLE_WINDOW));
        let sum = self.mean.0 * weight + assumed.0 * PRIOR_WEIGHT;
        InterferenceRate(sum / (weight + PRIOR_WEIGHT))
    }
}
