//! Policies that choose a worker for a task.

use std::fmt;
use std::str::FromStr;

/// How an entry chooses among the workers on which a task fits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementPolicy {
    /// The first worker in name order.
    FirstFit,
    /// The worker that keeps the fewest free processors.
    BestFit,
    /// A random one of the sampled workers.
    Random,
    /// The worker whose service is slowed least, then the best fit.
    LeastInterference,
}

impl fmt::Display for PlacementPolicy {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::FirstFit => "first-fit",
            Self::BestFit => "best-fit",
            Self::Random => "random",
            Self::LeastInterference => "least-interference",
        })
    }
}

impl FromStr for PlacementPolicy {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "first-fit" => Ok(Self::FirstFit),
            "best-fit" => Ok(Self::BestFit),
            "random" => Ok(Self::Random),
            "least-interference" => Ok(Self::LeastInterference),
            _ => Err(format!(
                "{text:?} is not a placement policy; expected first-fit, best-fit, random or least-interference"
            )),
        }
    }
}
