//! The endpoints of one service and the choice among them.

use std::collections::BTreeMap;
use std::time::Duration;

use turmeric_types::{AgentId, MonoTime, SplitMixRandom, ZoneName};

use crate::{RouteId, RouteState, RoutingPolicy};

/// Endpoints that [`RoutingPolicy::ExpectedLatency`] compares.
pub const SAMPLE_COUNT: usize = 4;

/// Extra time to another availability zone and back, in microseconds.
const ZONE_DISTANCE_MICROS: f64 = 2000.0;

/// Share of the service time by which an endpoint that returned looks slower.
const WARM_UP_FACTOR: f64 = 2.0;

/// Pause after the first failure; it doubles with each further one.
const FAILURE_PAUSE: Duration = Duration::from_millis(200);

/// Longest pause after failures.
const FAILURE_PAUSE_LIMIT: Duration = Duration::from_secs(5);

/// Time over which an endpoint that returned is eased in.
const WARM_UP_TERM: Duration = Duration::from_secs(2);

/// Weight of a new sample in the service's overall service time.
const PRIOR_WEIGHT: f64 = 0.02;

/// The endpoints of one service as one entry sees them.
#[derive(Debug)]
pub struct RouteTable {
    home_zone: ZoneName,
    routes: Vec<RouteState>,
    by_agent: BTreeMap<AgentId, usize>,
    prior_micros: f64,
    next: usize,
}

impl RouteTable {
    /// Creates an empty table for an entry in `home_zone`.
    pub fn new(home_zone: ZoneName) -> Self {
        Self {
            home_zone,
            routes: Vec::new(),
            by_agent: BTreeMap::new(),
            prior_micros: 0.0,
            next: 0,
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

    /// Returns the endpoint beside `agent`.
    pub fn get(&self, agent: &AgentId) -> Option<&RouteState> {
        self.by_agent.get(agent).map(|place| &self.routes[*place])
    }

    /// Adds an endpoint or updates where it is and what it can do.
    pub fn announce(&mut self, agent: AgentId, zone: ZoneName, slots: u32, now: MonoTime) {
        if let Some(place) = self.by_agent.get(&agent) {
            let route = &mut self.routes[*place];
            if !route.is_open {
                route.warm_at = now.after(WARM_UP_TERM);
            }
            route.zone = zone;
            route.slots = slots.max(1);
            route.is_open = true;
            return;
        }
        self.by_agent.insert(agent.clone(), self.routes.len());
        let mut route = RouteState::new(agent, zone, slots);
        route.warm_at = now.after(WARM_UP_TERM);
        self.routes.push(route);
    }

    /// Sends no further request to the endpoint until it is announced again.
    pub fn close(&mut self, agent: &AgentId) {
        if let Some(route) = self.route_mut(agent) {
            route.is_open = false;
        }
    }

    /// Forgets the endpoint.
    pub fn remove(&mut self, agent: &AgentId) {
        let Some(place) = self.by_agent.remove(agent) else {
            return;
        };
        self.routes.swap_remove(place);
        if let Some(moved) = self.routes.get(place) {
            self.by_agent.insert(moved.agent.clone(), place);
        }
    }

    /// Takes in the load that the agent reported.
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

    /// Records an answer after `service_micros` of work at the endpoint.
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

    /// Records that the endpoint gave no answer.
    pub fn fail(&mut self, agent: &AgentId, now: MonoTime) {
        if let Some(route) = self.route_mut(agent) {
            route.outstanding = route.outstanding.saturating_sub(1);
            let pause = FAILURE_PAUSE * 2_u32.pow(route.failures.min(8));
            route.failures += 1;
            route.closed_until = now.after(pause.min(FAILURE_PAUSE_LIMIT));
            route.warm_at = route.closed_until.after(WARM_UP_TERM);
        }
    }

    /// Records that the request was given back without blame.
    pub fn release(&mut self, agent: &AgentId) {
        if let Some(route) = self.route_mut(agent) {
            route.outstanding = route.outstanding.saturating_sub(1);
        }
    }

    fn route_mut(&mut self, agent: &AgentId) -> Option<&mut RouteState> {
        let place = *self.by_agent.get(agent)?;
        self.routes.get_mut(place)
    }

    /// Returns the endpoint of a choice.
    pub fn route(&self, id: RouteId) -> &RouteState {
        &self.routes[id.0]
    }

    /// Chooses an endpoint that takes requests and is not in `excluded`.
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
            RoutingPolicy::RoundRobin => self.next_in_turn(excluded, now),
            RoutingPolicy::Random => self.sample(excluded, random, now),
            RoutingPolicy::LeastOutstanding => self.least_outstanding(excluded, now),
            RoutingPolicy::PowerOfTwo => {
                self.best_sample(2, excluded, random, now, |route| f64::from(route.load()))
            }
            RoutingPolicy::ExpectedLatency => {
                let prior = self.prior_micros;
                let home_zone = self.home_zone.clone();
                self.best_sample(SAMPLE_COUNT, excluded, random, now, |route| {
                    expected_micros(route, prior, &home_zone, now)
                })
            }
        };
        // A sample can miss the few that are usable; then each is looked at.
        chosen
            .or_else(|| self.next_in_turn(excluded, now))
            .map(RouteId)
    }

    fn is_candidate(&self, place: usize, excluded: &[AgentId], now: MonoTime) -> bool {
        let route = &self.routes[place];
        route.is_usable(now) && !excluded.contains(&route.agent)
    }

    fn next_in_turn(&mut self, excluded: &[AgentId], now: MonoTime) -> Option<usize> {
        let count = self.routes.len();
        let place = (0..count)
            .map(|step| (self.next + step) % count)
            .find(|place| self.is_candidate(*place, excluded, now))?;
        self.next = place + 1;
        Some(place)
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
        let place = random.next_below(self.routes.len());
        self.is_candidate(place, excluded, now).then_some(place)
    }

    fn least_outstanding(&self, excluded: &[AgentId], now: MonoTime) -> Option<usize> {
        (0..self.routes.len())
            .filter(|place| self.is_candidate(*place, excluded, now))
            .min_by_key(|place| self.routes[*place].load())
    }

    /// Draws places that all differ, so that among few endpoints a slow one
    /// is never compared with itself alone.
    fn distinct_places(&self, count: usize, random: &mut SplitMixRandom) -> Vec<usize> {
        let mut places = Vec::with_capacity(count);
        for taken in 0..count.min(self.routes.len()) {
            let mut place = random.next_below(self.routes.len() - taken);
            // Count past the places drawn before, which are in order.
            for earlier in &places {
                place += usize::from(place >= *earlier);
            }
            let position = places.partition_point(|earlier| *earlier < place);
            places.insert(position, place);
        }
        places
    }

    fn best_sample(
        &self,
        count: usize,
        excluded: &[AgentId],
        random: &mut SplitMixRandom,
        now: MonoTime,
        cost: impl Fn(&RouteState) -> f64,
    ) -> Option<usize> {
        self.distinct_places(count, random)
            .into_iter()
            .filter(|place| self.is_candidate(*place, excluded, now))
            .map(|place| (place, cost(&self.routes[place])))
            .min_by(|left, right| left.1.total_cmp(&right.1))
            .map(|(place, _)| place)
    }
}

/// Expected time until the endpoint would answer one more request.
fn expected_micros(route: &RouteState, prior: f64, home_zone: &ZoneName, now: MonoTime) -> f64 {
    let service = route.estimate.expected(prior, now);
    let load = f64::from(route.load());
    let slots = f64::from(route.slots);
    // Work waits only once all slots are taken; below that, prefer the
    // emptier endpoint by a fraction of its service time.
    let waiting = (load + 1.0 - slots).max(0.0) / slots * service;
    let crowding = load / slots * service * 0.5;
    let warm_up = if now < route.warm_at {
        service * WARM_UP_FACTOR * load / slots
    } else {
        0.0
    };
    let distance = if route.zone == *home_zone {
        0.0
    } else {
        ZONE_DISTANCE_MICROS
    };
    service + waiting + crowding + warm_up + distance
}
