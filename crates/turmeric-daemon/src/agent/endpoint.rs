//! The endpoint beside the agent, which announces itself.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use turmeric_schema::v1;
use turmeric_types::{MonoTime, ServiceName};

/// An endpoint that has not announced itself for this long is gone.
const ENDPOINT_TERM: Duration = Duration::from_millis(2000);

/// What an endpoint says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub(crate) struct EndpointAnnouncement {
    pub(crate) service: ServiceName,
    pub(crate) address: SocketAddr,
    pub(crate) slots: u32,
    pub(crate) connections: u32,
    pub(crate) draining: bool,
}

/// The endpoint beside the agent.
#[derive(Debug, Default)]
pub(crate) struct EndpointRegistry {
    present: Option<EndpointAnnouncement>,
    valid_until: MonoTime,
}

impl EndpointRegistry {
    /// Takes in an announcement; returns whether it says something new.
    pub(crate) fn announce(&mut self, announcement: EndpointAnnouncement, now: MonoTime) -> bool {
        let is_new = self.at(now) != Some(&announcement);
        self.present = Some(announcement);
        self.valid_until = now.after(ENDPOINT_TERM);
        is_new
    }

    /// Returns the endpoint, if it has announced itself lately.
    pub(crate) fn at(&self, now: MonoTime) -> Option<&EndpointAnnouncement> {
        self.present.as_ref().filter(|_| now < self.valid_until)
    }

    /// Returns the endpoint, if it takes new requests.
    pub(crate) fn open_at(&self, now: MonoTime) -> Option<&EndpointAnnouncement> {
        self.at(now).filter(|endpoint| !endpoint.draining)
    }

    /// Takes no new request until the next announcement that is not a stop.
    pub(crate) fn set_draining(&mut self) {
        if let Some(endpoint) = &mut self.present {
            endpoint.draining = true;
        }
    }

    /// Returns what the agent tells entries of its endpoint.
    pub(crate) fn announced(&self, now: MonoTime) -> Vec<v1::Endpoint> {
        self.at(now)
            .map(|endpoint| v1::Endpoint {
                service: endpoint.service.to_string(),
                slots: endpoint.slots,
                connections: endpoint.connections,
                draining: endpoint.draining,
            })
            .into_iter()
            .collect()
    }
}
