//! Names of the routing policies.

use std::fmt;
use std::str::FromStr;

/// How an entry chooses among the endpoints of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoutingPolicy {
    /// Each endpoint in turn.
    RoundRobin,
    /// Any endpoint.
    Random,
    /// The endpoint with the fewest requests of this entry outstanding.
    ///
    /// Looks at every endpoint: a baseline for few endpoints.
    LeastOutstanding,
    /// The less loaded of two endpoints taken at random.
    PowerOfTwo,
    /// The endpoint with the earliest expected answer of several samples.
    ExpectedLatency,
}

impl RoutingPolicy {
    /// All policies, the default last.
    pub const ALL: [Self; 5] = [
        Self::RoundRobin,
        Self::Random,
        Self::LeastOutstanding,
        Self::PowerOfTwo,
        Self::ExpectedLatency,
    ];
}

impl fmt::Display for RoutingPolicy {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::RoundRobin => "round-robin",
            Self::Random => "random",
            Self::LeastOutstanding => "least-outstanding",
            Self::PowerOfTwo => "power-of-two",
            Self::ExpectedLatency => "expected-latency",
        })
    }
}

impl FromStr for RoutingPolicy {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        Self::ALL
            .into_iter()
            .find(|policy| policy.to_string() == text)
            .ok_or_else(|| {
                let names: Vec<String> = Self::ALL.iter().map(Self::to_string).collect();
                format!(
                    "{text:?} is not a routing policy; expected {}",
                    names.join(", ")
                )
            })
    }
}
