//! The routes of all services and the links to their agents.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use turmeric_admission::RetryBudget;
use turmeric_routing::{RouteTable, RoutingPolicy};
use turmeric_tasks::AgentView;
use turmeric_types::{AgentId, CallerName, MonoTime, ServiceName, SplitMixRandom, ZoneName};

use crate::http::RenewableClient;

/// Maximum number of idle connections to each agent.
const AGENT_CONNECTIONS: usize = 64;

/// Maximum number of callers whose retry budgets are kept.
const CALLER_LIMIT: usize = 4096;

/// The address and the HTTP client of one agent.
#[derive(Clone)]
pub(crate) struct AgentLink {
    pub(crate) agent: AgentId,
    pub(crate) address: SocketAddr,
    pub(crate) client: Arc<RenewableClient>,
}

/// The routes of all services and the links to their agents.
pub(crate) struct RouteDirectory {
    home_zone: ZoneName,
    services: BTreeMap<ServiceName, RouteTable>,
    links: BTreeMap<AgentId, AgentLink>,
    budgets: BTreeMap<CallerName, RetryBudget>,
    random: SplitMixRandom,
}

impl RouteDirectory {
    /// Returns an empty directory of an entry in `home_zone`.
    pub(crate) fn new(home_zone: ZoneName, seed: u64) -> Self {
        Self {
            home_zone,
            services: BTreeMap::new(),
            links: BTreeMap::new(),
            budgets: BTreeMap::new(),
            random: SplitMixRandom::new(seed),
        }
    }

    /// Updates the link and the routes of an agent from its view.
    pub(crate) fn update(&mut self, view: &AgentView, now: MonoTime) {
        let Ok(address) = view.address.parse() else {
            return;
        };
        let is_same = self
            .links
            .get(&view.agent)
            .is_some_and(|link| link.address == address);
        if !is_same {
            let link = AgentLink {
                agent: view.agent.clone(),
                address,
                client: Arc::new(RenewableClient::new(AGENT_CONNECTIONS)),
            };
            self.links.insert(view.agent.clone(), link);
        }
        let accepts_requests = view.is_open && !view.is_draining && view.is_reachable;
        for table in self.services.values_mut() {
            // This also closes the routes of endpoints that are no longer announced.
            table.close(&view.agent);
        }
        for endpoint in &view.endpoints {
            let Ok(service) = endpoint.service.parse::<ServiceName>() else {
                continue;
            };
            if accepts_requests && !endpoint.draining {
                let table = self
                    .services
                    .entry(service)
                    .or_insert_with(|| RouteTable::new(self.home_zone.clone()));
                let zone = view.zone.clone();
                table.announce(view.agent.clone(), zone, endpoint.slots, now);
                table.report_load(&view.agent, view.outstanding);
            }
        }
    }

    /// Records the load that an agent reported, in requests queued and running.
    pub(crate) fn report_load(&mut self, service: &ServiceName, agent: &AgentId, load: u32) {
        if let Some(table) = self.services.get_mut(service) {
            table.report_load(agent, load);
        }
    }

    /// Removes agents that are not in `present`, which is sorted by agent.
    pub(crate) fn retain(&mut self, present: &[AgentView]) {
        let is_present = |agent: &AgentId| {
            present
                .binary_search_by(|view| view.agent.cmp(agent))
                .is_ok()
        };
        let removed: Vec<AgentId> = self
            .links
            .keys()
            .filter(|agent| !is_present(agent))
            .cloned()
            .collect();
        for agent in removed {
            self.links.remove(&agent);
            for table in self.services.values_mut() {
                table.remove(&agent);
            }
        }
    }

    /// Returns all services that an endpoint has announced.
    pub(crate) fn services(&self) -> Vec<ServiceName> {
        self.services.keys().cloned().collect()
    }

    /// Returns whether an endpoint has announced the service.
    pub(crate) fn has_service(&self, service: &ServiceName) -> bool {
        self.services.contains_key(service)
    }

    /// Chooses an endpoint that is not in `excluded` and counts a request to it.
    pub(crate) fn begin(
        &mut self,
        service: &ServiceName,
        policy: RoutingPolicy,
        excluded: &[AgentId],
        now: MonoTime,
    ) -> Option<AgentLink> {
        let table = self.services.get_mut(service)?;
        let id = table.choose(policy, excluded, &mut self.random, now)?;
        let agent = table.route(id).agent.clone();
        let link = self.links.get(&agent)?.clone();
        table.begin(&agent);
        Some(link)
    }

    /// Returns the routes of a service.
    pub(crate) fn table(&mut self, service: &ServiceName) -> Option<&mut RouteTable> {
        self.services.get_mut(service)
    }

    /// Returns a random number from 0 (included) to 1 (excluded).
    pub(crate) fn next_unit(&mut self) -> f64 {
        self.random.next_unit()
    }

    /// Returns the retry budget of a caller.
    pub(crate) fn budget(&mut self, caller: &CallerName) -> &mut RetryBudget {
        if self.budgets.len() >= CALLER_LIMIT && !self.budgets.contains_key(caller) {
            self.budgets.pop_first();
        }
        self.budgets.entry(caller.clone()).or_default()
    }
}
