//! One service with a queue before each endpoint, in virtual time.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use turmeric_routing::{RouteTable, RoutingPolicy};
use turmeric_types::{AgentId, MonoTime, SplitMixRandom};

/// Time within which an answer counts.
const TARGET: Duration = Duration::from_millis(250);

/// Time after which a caller learns that an endpoint is dead.
const DEATH_NOTICE: Duration = Duration::from_millis(500);

pub struct ModelPlan {
    pub policy: RoutingPolicy,
    pub endpoints: usize,
    pub slots: usize,
    /// Mean time of an undisturbed endpoint for one request.
    pub service: Duration,
    /// Endpoints beside noisy batch work.
    pub noisy: usize,
    /// How much slower they are while a wave lasts.
    pub noise_factor: f64,
    /// Share of the undisturbed capacity that is asked for.
    pub load: f64,
    pub seconds: u64,
    /// When the last endpoint dies without a word.
    pub dies_at: Option<Duration>,
    pub seed: u64,
}

#[derive(Default)]
pub struct ModelResult {
    times: Vec<(MonoTime, Duration)>,
    /// Answers within the target.
    pub in_time: u64,
    /// Requests lost within 3 s of the death.
    pub lost: u64,
    /// Requests lost later, by trying the dead endpoint again.
    pub lost_later: u64,
}

impl ModelResult {
    pub fn p99(&self) -> Duration {
        self.p99_after(Duration::ZERO)
    }

    pub fn p99_after(&self, start: Duration) -> Duration {
        let start = MonoTime::default().after(start);
        let mut times: Vec<Duration> = self
            .times
            .iter()
            .filter(|(arrived, _)| *arrived >= start)
            .map(|(_, time)| *time)
            .collect();
        times.sort_unstable();
        times[times.len() * 99 / 100]
    }
}

/// A request, the same for every policy.
#[derive(Clone, Copy)]
struct Request {
    arrived: MonoTime,
    /// Work of the request on an undisturbed endpoint.
    work: Duration,
}

struct Endpoint {
    queue: VecDeque<Request>,
    running: usize,
}

enum Event {
    Arrival,
    End {
        endpoint: usize,
        arrived: MonoTime,
        service: Duration,
    },
    Lost {
        endpoint: usize,
        arrived: MonoTime,
    },
}

struct Model<'a> {
    plan: &'a ModelPlan,
    table: RouteTable,
    endpoints: Vec<Endpoint>,
    events: BTreeMap<(MonoTime, u64), Event>,
    next_event: u64,
    /// Decides arrivals and service times, the same for every policy.
    arrivals: SplitMixRandom,
    /// Serves the policy.
    random: SplitMixRandom,
    result: ModelResult,
}

pub fn run(plan: &ModelPlan) -> ModelResult {
    let zone = "morava-a";
    let mut table = RouteTable::new(zone.parse().unwrap());
    for number in 0..plan.endpoints {
        let slots = plan.slots as u32;
        table.announce(
            agent(number),
            zone.parse().unwrap(),
            slots,
            MonoTime::default(),
        );
    }
    let endpoints = (0..plan.endpoints).map(|_| Endpoint {
        queue: VecDeque::new(),
        running: 0,
    });
    let mut model = Model {
        plan,
        table,
        endpoints: endpoints.collect(),
        events: BTreeMap::new(),
        next_event: 0,
        arrivals: SplitMixRandom::new(plan.seed),
        random: SplitMixRandom::new(!plan.seed),
        result: ModelResult::default(),
    };
    model.push(MonoTime::default(), Event::Arrival);
    let end = MonoTime::default().after(Duration::from_secs(plan.seconds));
    while let Some(((now, _), event)) = model.events.pop_first() {
        // Requests that have arrived are served to their end.
        if now <= end || !matches!(event, Event::Arrival) {
            model.handle(now, event);
        }
    }
    model.result
}

fn agent(number: usize) -> AgentId {
    format!("w{number}").parse().unwrap()
}

impl Model<'_> {
    fn push(&mut self, at: MonoTime, event: Event) {
        self.next_event += 1;
        self.events.insert((at, self.next_event), event);
    }

    /// Returns an exponential time with this mean.
    fn exponential(&mut self, mean: f64) -> Duration {
        Duration::from_secs_f64(-(1.0 - self.arrivals.next_unit()).ln() * mean)
    }

    /// Batch waves come and go every five seconds.
    fn is_noisy(&self, endpoint: usize, now: MonoTime) -> bool {
        endpoint < self.plan.noisy && (now.as_millis() / 5000) % 2 == 1
    }

    fn is_dead(&self, endpoint: usize, now: MonoTime) -> bool {
        let dies_at = self
            .plan
            .dies_at
            .map(|after| MonoTime::default().after(after));
        endpoint + 1 == self.plan.endpoints && dies_at.is_some_and(|dies_at| now >= dies_at)
    }

    fn handle(&mut self, now: MonoTime, event: Event) {
        match event {
            Event::Arrival => {
                let slots = (self.plan.endpoints * self.plan.slots) as f64;
                let rate = slots / self.plan.service.as_secs_f64() * self.plan.load;
                let next = self.exponential(1.0 / rate);
                self.push(now.after(next), Event::Arrival);
                // The stand-in endpoint takes the same time for each request,
                // within a tenth.
                let factor = 0.9 + 0.2 * self.arrivals.next_unit();
                self.route(Request {
                    arrived: now,
                    work: self.plan.service.mul_f64(factor),
                });
            }
            Event::End {
                endpoint,
                arrived,
                service,
            } => self.end(now, endpoint, arrived, service),
            Event::Lost { endpoint, arrived } => {
                self.table.fail(&agent(endpoint), now);
                let dies_at = MonoTime::default().after(self.plan.dies_at.unwrap());
                if arrived < dies_at.after(Duration::from_secs(3)) {
                    self.result.lost += 1;
                } else {
                    self.result.lost_later += 1;
                }
            }
        }
    }

    fn route(&mut self, request: Request) {
        let now = request.arrived;
        let policy = self.plan.policy;
        let id = self.table.choose(policy, &[], &mut self.random, now);
        let chosen = self.table.route(id.unwrap()).agent.clone();
        self.table.begin(&chosen);
        let endpoint: usize = chosen.as_str()[1..].parse().unwrap();
        if self.is_dead(endpoint, now) {
            let notice = if self.endpoints[endpoint].running == 0 {
                // The VM refuses at once or its address is gone: a connection
                // attempt ends by its own limit.
                DEATH_NOTICE
            } else {
                DEATH_NOTICE / 10
            };
            self.push(
                now.after(notice),
                Event::Lost {
                    endpoint,
                    arrived: now,
                },
            );
            return;
        }
        if self.endpoints[endpoint].running < self.plan.slots {
            self.start(now, endpoint, request);
        } else {
            self.endpoints[endpoint].queue.push_back(request);
        }
    }

    fn start(&mut self, now: MonoTime, endpoint: usize, request: Request) {
        self.endpoints[endpoint].running += 1;
        let arrived = request.arrived;
        let mut service = request.work;
        if self.is_noisy(endpoint, now) {
            service = service.mul_f64(self.plan.noise_factor);
        }
        self.push(
            now.after(service),
            Event::End {
                endpoint,
                arrived,
                service,
            },
        );
    }

    fn end(&mut self, now: MonoTime, endpoint: usize, arrived: MonoTime, service: Duration) {
        self.endpoints[endpoint].running -= 1;
        if self.is_dead(endpoint, now) {
            self.push(now, Event::Lost { endpoint, arrived });
            return;
        }
        let micros = service.as_micros() as f64;
        self.table.finish(&agent(endpoint), micros, now);
        let time = now.since(arrived);
        self.result.times.push((arrived, time));
        self.result.in_time += u64::from(time <= TARGET);
        if let Some(request) = self.endpoints[endpoint].queue.pop_front() {
            self.start(now, endpoint, request);
        }
    }
}
