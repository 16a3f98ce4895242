//! The queue of requests that wait for a slot of an endpoint.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use turmeric_types::{CallerName, MonoTime};

/// Mean service time assumed before the first answer.
const INITIAL_SERVICE_MICROS: f64 = 5_000.0;

/// Weight of a new service time in the moving average.
const SERVICE_WEIGHT: f64 = 0.1;

/// Shortest delay after which a refused caller is asked to retry, before jitter.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Longest delay after which a refused caller is asked to retry, before jitter.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

/// Number of a request in a [`RequestQueue`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TicketId(pub u64);

/// Limits of a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueLimits {
    /// Requests that the endpoint processes at a time.
    pub slots: u32,
    /// Requests that may wait.
    pub waiting: usize,
}

/// Decision on a request that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueDecision {
    /// A slot is free; the request runs now.
    Run,
    /// The request waits.
    Wait,
    /// The request is refused; it did not run.
    Refused {
        /// Delay after which the caller should retry.
        retry_after: Duration,
    },
}

/// A waiting request that leaves the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueEvent {
    /// A slot became free; the request runs now.
    Run(TicketId),
    /// The request can no longer meet its deadline; it did not run.
    Expired {
        /// The request.
        ticket: TicketId,
        /// Delay after which the caller should retry.
        retry_after: Duration,
    },
}

#[derive(Debug)]
struct WaitingRequest {
    ticket: TicketId,
    deadline: MonoTime,
}

/// Requests that wait for a slot, served round-robin by caller.
///
/// Each caller has a queue of its own, so that a burst of requests from one
/// caller delays only that caller.
#[derive(Debug)]
pub struct RequestQueue {
    limits: QueueLimits,
    running: u32,
    callers: BTreeMap<CallerName, VecDeque<WaitingRequest>>,
    /// Callers with waiting requests, next one first.
    round_robin: VecDeque<CallerName>,
    waiting: usize,
    /// Moving average of the service time, in microseconds.
    service_micros: f64,
}

impl RequestQueue {
    /// Creates an empty queue.
    pub fn new(limits: QueueLimits) -> Self {
        Self {
            limits,
            running: 0,
            callers: BTreeMap::new(),
            round_robin: VecDeque::new(),
            waiting: 0,
            service_micros: INITIAL_SERVICE_MICROS,
        }
    }

    /// Changes the limits; requests that already wait are kept.
    pub fn set_limits(&mut self, limits: QueueLimits) {
        self.limits = limits;
    }

    /// Returns the number of requests that run or wait.
    pub fn outstanding(&self) -> usize {
        self.running as usize + self.waiting
    }

    /// Returns the number of requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Decides on a request that arrives.
    ///
    /// `jitter` is a number from 0 up to 1 that differs between requests, so
    /// that refused callers do not all retry at once.
    pub fn push(
        &mut self,
        ticket: TicketId,
        caller: &CallerName,
        deadline: MonoTime,
        jitter: f64,
        now: MonoTime,
    ) -> QueueDecision {
        if self.running < self.limits.slots && self.waiting == 0 {
            self.running += 1;
            return QueueDecision::Run;
        }
        let wait = self.expected_wait(caller);
        if now.after(wait).after(self.service_time()) > deadline || self.is_over_share(caller) {
            return QueueDecision::Refused {
                retry_after: self.retry_after(jitter),
            };
        }
        self.enqueue(ticket, caller, deadline);
        QueueDecision::Wait
    }

    fn enqueue(&mut self, ticket: TicketId, caller: &CallerName, deadline: MonoTime) {
        let queue = self.callers.entry(caller.clone()).or_default();
        if queue.is_empty() {
            self.round_robin.push_back(caller.clone());
        }
        queue.push_back(WaitingRequest { ticket, deadline });
        self.waiting += 1;
    }

    /// Returns whether the caller has used up its share of the queue.
    ///
    /// Callers with waiting requests, this one included, have equal shares.
    fn is_over_share(&self, caller: &CallerName) -> bool {
        let own = self.callers.get(caller).map_or(0, VecDeque::len);
        let others = self
            .callers
            .iter()
            .filter(|(name, queue)| *name != caller && !queue.is_empty())
            .count();
        let share = (self.limits.waiting / (others + 1)).max(1);
        own >= share || (self.waiting >= 2 * self.limits.waiting)
    }

    fn service_time(&self) -> Duration {
        Duration::from_micros(self.service_micros as u64)
    }

    /// Returns the expected wait of one more request of `caller`.
    fn expected_wait(&self, caller: &CallerName) -> Duration {
        let own = self.callers.get(caller).map_or(0, VecDeque::len);
        // Callers are served round-robin: of each other caller, at most as many
        // requests go first as this one has waiting, the new one included.
        let ahead: usize = self
            .callers
            .iter()
            .filter(|(name, _)| *name != caller)
            .map(|(_, queue)| queue.len().min(own + 1))
            .sum();
        let rounds = (own + ahead + 1) as f64 / f64::from(self.limits.slots.max(1));
        Duration::from_micros((rounds * self.service_micros) as u64)
    }

    /// Returns the time to process half of the backlog, with jitter of up to as
    /// much again.
    fn retry_after(&self, jitter: f64) -> Duration {
        let rounds = self.outstanding() as f64 / f64::from(self.limits.slots.max(1));
        let half_drain_time = Duration::from_micros((rounds * self.service_micros / 2.0) as u64);
        let base = half_drain_time.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        base.mul_f64(1.0 + jitter)
    }

    /// Records the end of a running request and starts waiting ones.
    ///
    /// `service_micros` is the service time of the ended request, if known.
    pub fn finish(
        &mut self,
        service_micros: Option<f64>,
        jitter: f64,
        now: MonoTime,
    ) -> Vec<QueueEvent> {
        if let Some(micros) = service_micros {
            self.service_micros += (micros - self.service_micros) * SERVICE_WEIGHT;
        }
        self.running = self.running.saturating_sub(1);
        let mut events = Vec::new();
        while self.running < self.limits.slots {
            let Some(request) = self.pop() else {
                break;
            };
            if now.after(self.service_time()) > request.deadline {
                events.push(QueueEvent::Expired {
                    ticket: request.ticket,
                    retry_after: self.retry_after(jitter),
                });
                continue;
            }
            self.running += 1;
            events.push(QueueEvent::Run(request.ticket));
        }
        events
    }

    fn pop(&mut self) -> Option<WaitingRequest> {
        let caller = self.round_robin.pop_front()?;
        let queue = self.callers.get_mut(&caller)?;
        let request = queue.pop_front()?;
        self.waiting -= 1;
        if queue.is_empty() {
            self.callers.remove(&caller);
        } else {
            self.round_robin.push_back(caller);
        }
        Some(request)
    }

    /// Removes a waiting request whose caller has disconnected; returns whether
    /// it was waiting.
    pub fn cancel(&mut self, ticket: TicketId) -> bool {
        let holder = self
            .callers
            .iter()
            .find(|(_, queue)| queue.iter().any(|request| request.ticket == ticket))
            .map(|(caller, _)| caller.clone());
        let Some(caller) = holder else {
            return false;
        };
        if let Some(queue) = self.callers.get_mut(&caller) {
            queue.retain(|request| request.ticket != ticket);
            if queue.is_empty() {
                self.callers.remove(&caller);
                self.round_robin.retain(|name| *name != caller);
            }
        }
        self.waiting -= 1;
        true
    }
}
