//! What an entry knows of one endpoint.

use turmeric_types::{AgentId, MonoTime, ZoneName};

use crate::LatencyEstimate;

/// Number of an endpoint in its [`RouteTable`](crate::RouteTable).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RouteId(pub(crate) usize);

/// What an entry knows of one endpoint.
#[derive(Clone, Debug)]
pub struct RouteState {
    /// The agent beside the endpoint.
    pub agent: AgentId,
    /// Availability zone of the endpoint.
    pub zone: ZoneName,
    /// Requests that the endpoint works on at a time.
    pub slots: u32,
    /// Whether the endpoint takes new requests.
    pub is_open: bool,
    /// Requests of this entry that the endpoint has not answered.
    pub outstanding: u32,
    /// Requests of other entries, as the agent last reported.
    pub reported_outstanding: u32,
    /// Time in which the endpoint works on one request.
    pub estimate: LatencyEstimate,
    /// Failures in a row.
    pub failures: u32,
    /// No request is sent before this time after a failure.
    pub closed_until: MonoTime,
    /// Requests are eased in until this time after a return.
    pub warm_at: MonoTime,
}

impl RouteState {
    /// Creates the state of an endpoint that was just announced.
    pub fn new(agent: AgentId, zone: ZoneName, slots: u32) -> Self {
        Self {
            agent,
            zone,
            slots: slots.max(1),
            is_open: true,
            outstanding: 0,
            reported_outstanding: 0,
            estimate: LatencyEstimate::new(),
            failures: 0,
            closed_until: MonoTime::default(),
            warm_at: MonoTime::default(),
        }
    }

    /// Returns all requests believed to be at the endpoint.
    pub fn load(&self) -> u32 {
        self.outstanding.max(self.reported_outstanding)
    }

    /// Returns whether a request may be sent at `now`.
    pub fn is_usable(&self, now: MonoTime) -> bool {
        self.is_open && now >= self.closed_until
    }
}
