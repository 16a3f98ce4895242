//! The paths between regions, and how they are cut.

use std::net::SocketAddr;

use serde_json::json;

use super::{TestBed, arguments, free_address};
use crate::TestProcess;
use crate::plan::HOME_REGION;

/// A relay on a path between regions.
#[derive(Debug)]
pub(super) struct RegionLink {
    listen: SocketAddr,
    control: SocketAddr,
    _process: TestProcess,
}

/// The relays on all paths between regions.
#[derive(Debug, Default)]
pub(super) struct RegionLinks {
    platform: Option<RegionLink>,
    /// One an entry, for agents of other regions.
    controls: Vec<RegionLink>,
}

impl TestBed {
    /// Puts a relay on each path between regions, if there are several.
    pub(super) fn link_regions(&mut self) {
        if self
            .plan
            .entry_regions
            .iter()
            .all(|region| region == HOME_REGION)
        {
            return;
        }
        self.links.platform = Some(self.spawn_link(self.platform_address));
        for entry in 0..self.plan.entries {
            let link = self.spawn_link(self.control_addresses[entry]);
            self.links.controls.push(link);
        }
    }

    /// Starts a relay to `target`.
    fn spawn_link(&self, target: SocketAddr) -> RegionLink {
        let (listen, control) = (free_address(), free_address());
        let mut all = vec!["relay".to_owned()];
        all.extend(arguments(&[
            ("listen", listen.to_string()),
            ("target", target.to_string()),
            ("control", control.to_string()),
        ]));
        let label = format!("link-{target}");
        RegionLink {
            listen,
            control,
            _process: TestProcess::start("turmeric-standin", &self.directory, &label, &all),
        }
    }

    /// Returns where processes of a region reach the platform.
    pub(super) fn platform_for(&self, region: &str) -> String {
        let link = self.links.platform.as_ref();
        let link = link.filter(|_| region != HOME_REGION);
        link.map_or(self.platform_address, |link| link.listen)
            .to_string()
    }

    /// Returns where agents of a region reach an entry.
    pub(super) fn control_for(&self, entry: usize, region: &str) -> String {
        let link = self.links.controls.get(entry);
        let link = link.filter(|_| self.plan.entry_regions[entry] != region);
        link.map_or(self.control_addresses[entry], |link| link.listen)
            .to_string()
    }

    /// Lets the regions lose each other, or find each other again.
    ///
    /// Cut are the paths to the platform and between agents and entries, not
    /// those of requests.
    pub async fn cut_regions(&self, is_cut: bool) {
        let links = self.links.platform.iter().chain(&self.links.controls);
        for link in links {
            let answer = self.post(link.control, "/cut", &json!(is_cut)).await;
            let answer = answer.expect("the relay answers");
            assert!(answer.status.is_success(), "the relay was not set");
        }
    }
}
