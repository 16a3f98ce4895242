//! The endpoints of one service and the choice among them.

use std::collections::BTreeMap;
use std::time::Duration;

use turmeric_types::{AgentId, MonoTime, SplitMixRandom, ZoneName};

use crate::{RouteId, RouteState, RoutingPolicy};

/// Number of endpoints that [`RoutingPolicy::ExpectedLatency`] compares.
pub const SAMPLE_COUNT: usize = 4;

/// Extra round-trip time to another availability zone, in microseconds.
const CROSS_ZONE_EXTRA_MICROS: f64 = 2000.0;

/// Penalty on an endpoint that warms up, as a multiple of its service time
/// when all its slots are in use.
const WARM_UP_FACTOR: f64 = 2.0;

/// Backoff after the first failure; doubles with each consecutive one.
const FAILURE_BACKOFF: Duration = Duration::from_millis(200);

/// Longest backoff after failures.
const FAILURE_BACKOFF_LIMIT: Duration = Duration::from_secs(5);

/// Time during which a new or returning endpoint warms up.
const WARM_UP_DURATION: Duration = Duration::from_secs(2);

/// Weight of a new sample in the mean service time over all endpoints.
const PRIOR_WEIGHT: f64 = 0.02;

/// The endpoints of one service as one entry knows them.
#[derive(Debug)]
pub struct RouteTable {
    home_zone: ZoneName,
    routes: Vec<RouteState>,
    by_agent: BTreeMap<AgentId, usize>,
    prior_micros: f64,
    next_index: usize,
}

impl RouteTable {
    /// Creates an empty table for an entry in `home_zone`.
    pub fn new(home_zone: ZoneName) -> Self {
        Self {
            home_zone,
            routes: Vec::new(),
            by_agent: BTreeMap::new(),
            prior_micros: 0.0,
            next_index: 0,
        }
    }

    /// Returns the number of endpoints.
    pub fn len(&self) -> usize {
        self.routes.len()
    }

    /// Returns whether there are no endpoints.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }

    /// Returns the endpoints in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &RouteState> {
        self.routes.iter()
    }

    /// Returns the endpoint on the VM of `agent`.
    pub fn get(&self, agent: &AgentId) -> Option<&RouteState> {
        self.by_agent.get(agent).map(|index| &self.routes[*index])
    }

    /// Adds an endpoint or updates its zone and slots, and opens it.
    pub fn announce(&mut self, agent: AgentId, zone: ZoneName, slots: u32, now: MonoTime) {
        if let Some(index) = self.by_agent.get(&agent) {
            let route = &mut self.routes[*index];
            if !route.is_open {
                route.warm_up_until = now.after(WARM_UP_DURATION);
            }
            route.zone = zone;
            route.slots = slots.max(1);
            route.is_open = true;
            return;
        }
        self.by_agent.insert(agent.clone(), self.routes.len());
        let mut route = RouteState::new(agent, zone, slots);
        route.warm_up_until = now.after(WARM_UP_DURATION);
        self.routes.push(route);
    }

    /// Stops choosing the endpoint until it is announced again.
    pub fn close(&mut self, agent: &AgentId) {
        if let Some(route) = self.route_mut(agent) {
            route.is_open = false;
        }
    }

    /// Removes the endpoint.
    pub fn remove(&mut self, agent: &AgentId) {
        let Some(index) = self.by_agent.remove(agent) else {
            return;
        };
        self.routes.swap_remove(index);
        if let Some(moved) = self.routes.get(index) {
            self.by_agent.insert(moved.agent.clone(), index);
        }
    }

    /// Records the number of outstanding requests that the agent reported.
    pub fn report_load(&mut self, agent: &AgentId, outstanding: u32) {
        if let Some(route) = self.route_mut(agent) {
            route.reported_outstanding = outstanding;
        }
    }

    /// Records that a request was sent to the endpoint.
    pub fn begin(&mut self, agent: &AgentId) {
        if let Some(route) = self.route_mut(agent) {
            route.outstanding += 1;
        }
    }

    /// Records a response whose service time was `service_micros`.
    pub fn finish(&mut self, agent: &AgentId, service_micros: f64, now: MonoTime) {
        if self.prior_micros == 0.0 {
            self.prior_micros = service_micros;
        }
        self.prior_micros += (service_micros - self.prior_micros) * PRIOR_WEIGHT;
        let prior = self.prior_micros;
        if let Some(route) = self.route_mut(agent) {
            route.outstanding = route.outstanding.saturating_sub(1);
            route.estimate.add_sample(service_micros, prior, now);
            route.failures = 0;
        }
    }

    /// Records that a request to the endpoint failed and starts a backoff.
    pub fn fail(&mut self, agent: &AgentId, now: MonoTime) {
        if let Some(route) = self.route_mut(agent) {
            route.outstanding = route.outstanding.saturating_sub(1);
            let backoff = FAILURE_BACKOFF * 2_u32.pow(route.failures.min(8));
            route.failures += 1;
            route.backoff_until = now.after(backoff.min(FAILURE_BACKOFF_LIMIT));
            route.warm_up_until = route.backoff_until.after(WARM_UP_DURATION);
        }
    }

    /// Records that a request ended without counting for or against the
    /// endpoint.
    pub fn release(&mut self, agent: &AgentId) {
        if let Some(route) = self.route_mut(agent) {
            route.outstanding = route.outstanding.saturating_sub(1);
        }
    }

    fn route_mut(&mut self, agent: &AgentId) -> Option<&mut RouteState> {
        let index = *self.by_agent.get(agent)?;
        self.routes.get_mut(index)
    }

    /// Returns the endpoint that was chosen.
    pub fn route(&self, id: RouteId) -> &RouteState {
        &self.routes[id.0]
    }

    /// Chooses a usable endpoint that is not in `excluded`.
    ///
    /// Returns [`None`] when there is none.
    pub fn choose(
        &mut self,
        policy: RoutingPolicy,
        excluded: &[AgentId],
        random: &mut SplitMixRandom,
        now: MonoTime,
    ) -> Option<RouteId> {
        let chosen = match policy {
            RoutingPolicy::RoundRobin => self.next_round_robin(excluded, now),
            RoutingPolicy::Random => self.sample(excluded, random, now),
            RoutingPolicy::LeastOutstanding => self.least_outstanding(excluded, now),
            RoutingPolicy::PowerOfTwo => {
                self.best_of_sample(2, excluded, random, now, |route| f64::from(route.load()))
            }
            RoutingPolicy::ExpectedLatency => {
                let prior = self.prior_micros;
                let home_zone = self.home_zone.clone();
                self.best_of_sample(SAMPLE_COUNT, excluded, random, now, |route| {
                    expected_micros(route, prior, &home_zone, now)
                })
            }
        };
        // A sample can miss the few usable endpoints; then search them all.
        chosen
            .or_else(|| self.next_round_robin(excluded, now))
            .map(RouteId)
    }

    fn is_candidate(&self, index: usize, excluded: &[AgentId], now: MonoTime) -> bool {
        let route = &self.routes[index];
        route.is_usable(now) && !excluded.contains(&route.agent)
    }

    fn next_round_robin(&mut self, excluded: &[AgentId], now: MonoTime) -> Option<usize> {
        let count = self.routes.len();
        let index = (0..count)
            .map(|step| (self.next_index + step) % count)
            .find(|index| self.is_candidate(*index, excluded, now))?;
        self.next_index = index + 1;
        Some(index)
    }

    fn sample(
        &self,
        excluded: &[AgentId],
        random: &mut SplitMixRandom,
        now: MonoTime,
    ) -> Option<usize> {
        if self.routes.is_empty() {
            return None;
        }
        let index = random.next_below(self.routes.len());
        self.is_candidate(index, excluded, now).then_some(index)
    }

    fn least_outstanding(&self, excluded: &[AgentId], now: MonoTime) -> Option<usize> {
        (0..self.routes.len())
            .filter(|index| self.is_candidate(*index, excluded, now))
            .min_by_key(|index| self.routes[*index].load())
    }

    /// Draws distinct indexes, so that among few endpoints a slow one is never
    /// compared only with itself.
    fn distinct_indexes(&self, count: usize, random: &mut SplitMixRandom) -> Vec<usize> {
        let mut indexes = Vec::with_capacity(count);
        for drawn in 0..count.min(self.routes.len()) {
            let mut index = random.next_below(self.routes.len() - drawn);
            // Skip the indexes drawn before, which are sorted.
            for earlier in &indexes {
                index += usize::from(index >= *earlier);
            }
            let position = indexes.partition_point(|earlier| *earlier < index);
            indexes.insert(position, index);
        }
        indexes
    }

    fn best_of_sample(
        &self,
        count: usize,
        excluded: &[AgentId],
        random: &mut SplitMixRandom,
        now: MonoTime,
        cost: impl Fn(&RouteState) -> f64,
    ) -> Option<usize> {
        self.distinct_indexes(count, random)
            .into_iter()
            .filter(|index| self.is_candidate(*index, excluded, now))
            .map(|index| (index, cost(&self.routes[index])))
            .min_by(|left, right| left.1.total_cmp(&right.1))
            .map(|(index, _)| index)
    }
}

/// Returns the expected time until the endpoint would answer one more request,
/// in microseconds.
fn expected_micros(route: &RouteState, prior: f64, home_zone: &ZoneName, now: MonoTime) -> f64 {
    let service = route.estimate.expected(prior, now);
    let load = f64::from(route.load());
    let slots = f64::from(route.slots);
    // Requests wait only once all slots are in use. Below that, the load
    // penalty prefers the less loaded endpoint by a fraction of its service
    // time.
    let waiting = (load + 1.0 - slots).max(0.0) / slots * service;
    let load_penalty = load / slots * service * 0.5;
    let warm_up_penalty = if now < route.warm_up_until {
        service * WARM_UP_FACTOR * load / slots
    } else {
        0.0
    };
    let zone_penalty = if route.zone == *home_zone {
        0.0
    } else {
        CROSS_ZONE_EXTRA_MICROS
    };
    service + waiting + load_penalty + warm_up_penalty + zone_penalty
}
