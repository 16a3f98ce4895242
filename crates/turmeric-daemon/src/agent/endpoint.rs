//! The endpoint beside the agent, known from its announcements.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use turmeric_schema::v1;
use turmeric_types::{MonoTime, ServiceName};

/// Time after which an endpoint that has not announced itself counts as stopped.
const ANNOUNCEMENT_TTL: Duration = Duration::from_millis(2000);

/// State that an endpoint announces about itself.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub(crate) struct EndpointAnnouncement {
    pub(crate) service: ServiceName,
    pub(crate) address: SocketAddr,
    pub(crate) slots: u32,
    pub(crate) connections: u32,
    pub(crate) draining: bool,
}

/// The latest announcement of the endpoint beside the agent.
#[derive(Debug, Default)]
pub(crate) struct EndpointRecord {
    latest: Option<EndpointAnnouncement>,
    valid_until: MonoTime,
}

impl EndpointRecord {
    /// Records an announcement; returns whether it differs from the current one.
    pub(crate) fn announce(&mut self, announcement: EndpointAnnouncement, now: MonoTime) -> bool {
        let is_new = self.at(now) != Some(&announcement);
        self.latest = Some(announcement);
        self.valid_until = now.after(ANNOUNCEMENT_TTL);
        is_new
    }

    /// Returns the endpoint if its latest announcement has not expired.
    pub(crate) fn at(&self, now: MonoTime) -> Option<&EndpointAnnouncement> {
        self.latest.as_ref().filter(|_| now < self.valid_until)
    }

    /// Returns the endpoint if it accepts new requests.
    pub(crate) fn open_at(&self, now: MonoTime) -> Option<&EndpointAnnouncement> {
        self.at(now).filter(|endpoint| !endpoint.draining)
    }

    /// Refuses new requests until the endpoint announces that it is not draining.
    pub(crate) fn set_draining(&mut self) {
        if let Some(endpoint) = &mut self.latest {
            endpoint.draining = true;
        }
    }

    /// Returns the endpoint as the agent announces it to entries.
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
