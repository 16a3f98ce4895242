//! Names of the routing policies.

use std::fmt;
use std::str::FromStr;

/// How an entry chooses among the endpoints of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoutingPolicy {
    /// The endpoints in turn.
    RoundRobin,
    /// A random endpoint.
    Random,
    /// The endpoint with the fewest outstanding requests.
    ///
    /// Looks at every endpoint; serves as a baseline for few endpoints.
    LeastOutstanding,
    /// The less loaded of two random endpoints.
    PowerOfTwo,
    /// The endpoint with the earliest expected response among several random
    /// ones.
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
