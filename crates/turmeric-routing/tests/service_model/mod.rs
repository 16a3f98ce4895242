//! A model in virtual time of one service with a queue at each endpoint.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use turmeric_routing::{RouteTable, RoutingPolicy};
use turmeric_types::{AgentId, MonoTime, SplitMixRandom};

/// Time within which an answer is in time.
const TARGET: Duration = Duration::from_millis(250);

/// Time after which an entry detects that an endpoint has crashed.
const CRASH_DETECTION_TIME: Duration = Duration::from_millis(500);

pub struct ModelPlan {
    pub policy: RoutingPolicy,
    pub endpoints: usize,
    pub slots: usize,
    /// Mean service time of an undisturbed endpoint.
    pub service: Duration,
    /// Number of endpoints with noisy batch work on their VMs.
    pub noisy: usize,
    /// Factor by which a wave of batch work slows them.
    pub noise_factor: f64,
    /// Load as a share of the undisturbed capacity.
    pub load: f64,
    pub seconds: u64,
    /// Time at which the last endpoint crashes without notice.
    pub crashes_at: Option<Duration>,
    pub seed: u64,
}

#[derive(Default)]
pub struct ModelResult {
    times: Vec<(MonoTime, Duration)>,
    /// Answers within the target.
    pub in_time: u64,
    /// Requests that arrived until 3 s after the crash and were lost.
    pub lost: u64,
    /// Requests lost later, when the crashed endpoint was tried again.
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

/// A request; every policy gets the same requests.
#[derive(Clone, Copy)]
struct Request {
    arrived: MonoTime,
    /// Service time of the request on an undisturbed endpoint.
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
    /// Draws arrivals and service times, the same for every policy.
    arrivals: SplitMixRandom,
    /// Random source of the policy.
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
        // Requests that have arrived are finished after the end.
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

    /// Returns an exponentially distributed time with this mean, in seconds.
    fn exponential(&mut self, mean: f64) -> Duration {
        Duration::from_secs_f64(-(1.0 - self.arrivals.next_unit()).ln() * mean)
    }

    /// Returns whether a wave of batch work slows the endpoint; waves start and
    /// end every five seconds.
    fn is_noisy(&self, endpoint: usize, now: MonoTime) -> bool {
        endpoint < self.plan.noisy && (now.as_millis() / 5000) % 2 == 1
    }

    fn is_crashed(&self, endpoint: usize, now: MonoTime) -> bool {
        let crashes_at = self
            .plan
            .crashes_at
            .map(|after| MonoTime::default().after(after));
        endpoint + 1 == self.plan.endpoints
            && crashes_at.is_some_and(|crashes_at| now >= crashes_at)
    }

    fn handle(&mut self, now: MonoTime, event: Event) {
        match event {
            Event::Arrival => {
                let slots = (self.plan.endpoints * self.plan.slots) as f64;
                let rate = slots / self.plan.service.as_secs_f64() * self.plan.load;
                let next = self.exponential(1.0 / rate);
                self.push(now.after(next), Event::Arrival);
                // Service times are within a tenth of the mean, as those of the
                // stand-in endpoint are.
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
                let crashes_at = MonoTime::default().after(self.plan.crashes_at.unwrap());
                if arrived < crashes_at.after(Duration::from_secs(3)) {
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
        if self.is_crashed(endpoint, now) {
            let detection_time = if self.endpoints[endpoint].running == 0 {
                // The VM refuses connections or its address no longer exists:
                // the connection attempt ends at its own timeout.
                CRASH_DETECTION_TIME
            } else {
                CRASH_DETECTION_TIME / 10
            };
            self.push(
                now.after(detection_time),
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
        if self.is_crashed(endpoint, now) {
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
