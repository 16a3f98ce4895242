//! The state of one endpoint as an entry knows it.

use turmeric_types::{AgentId, MonoTime, ZoneName};

use crate::LatencyEstimate;

/// Index of an endpoint in its [`RouteTable`](crate::RouteTable).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RouteId(pub(crate) usize);

/// The state of one endpoint as an entry knows it.
#[derive(Clone, Debug)]
pub struct RouteState {
    /// The agent on the endpoint's VM.
    pub agent: AgentId,
    /// Availability zone of the endpoint.
    pub zone: ZoneName,
    /// Requests that the endpoint handles concurrently.
    pub slots: u32,
    /// Whether the endpoint accepts new requests.
    pub is_open: bool,
    /// Requests of this entry that the endpoint has not answered yet.
    pub outstanding: u32,
    /// Requests of all entries at the endpoint, as its agent last reported.
    pub reported_outstanding: u32,
    /// Estimated service time of one request.
    pub estimate: LatencyEstimate,
    /// Consecutive failures.
    pub failures: u32,
    /// End of the backoff after a failure; no request is sent before it.
    pub backoff_until: MonoTime,
    /// End of the warm-up after the endpoint was announced or failed; until
    /// then it looks slower under load, so that it gets fewer requests.
    pub warm_up_until: MonoTime,
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
            backoff_until: MonoTime::default(),
            warm_up_until: MonoTime::default(),
        }
    }

    /// Returns the number of requests assumed to be at the endpoint.
    pub fn load(&self) -> u32 {
        self.outstanding.max(self.reported_outstanding)
    }

    /// Returns whether a request may be sent at `now`.
    pub fn is_usable(&self, now: MonoTime) -> bool {
        self.is_open && now >= self.backoff_until
    }
}
