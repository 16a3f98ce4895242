//! The queue of requests before an endpoint's slots.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use turmeric_types::{CallerName, MonoTime};

/// Service time assumed before the first answer.
const INITIAL_SERVICE_MICROS: f64 = 5_000.0;

/// Weight of a new service time in the mean.
const SERVICE_WEIGHT: f64 = 0.1;

/// Shortest time after which a refused caller is asked to come back.
const RETRY_FLOOR: Duration = Duration::from_millis(50);

/// Longest time after which a refused caller is asked to come back.
const RETRY_CEILING: Duration = Duration::from_secs(10);

/// Number of a request in a [`RequestQueue`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TicketId(pub u64);

/// Bounds of a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueLimits {
    /// Requests that the endpoint works on at a time.
    pub slots: u32,
    /// Requests that may wait.
    pub waiting: usize,
}

/// What the queue says to a request that has arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueDecision {
    /// A slot is free; the request runs now.
    Run,
    /// The request waits.
    Wait,
    /// The request is given up on; it did not run.
    Refused {
        /// When the caller should come back, from now.
        retry_after: Duration,
    },
}

/// What became of a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueEvent {
    /// A slot became free; the request runs now.
    Run(TicketId),
    /// The request can no longer meet its deadline; it did not run.
    Expired {
        /// The request.
        ticket: TicketId,
        /// When the caller should come back, from now.
        retry_after: Duration,
    },
}

#[derive(Debug)]
struct WaitingRequest {
    ticket: TicketId,
    deadline: MonoTime,
}

/// Requests that wait for a slot, in turn among their callers.
///
/// Each caller has a queue of its own and callers take turns, so that one
/// caller's wave delays only itself.
#[derive(Debug)]
pub struct RequestQueue {
    limits: QueueLimits,
    running: u32,
    callers: BTreeMap<CallerName, VecDeque<WaitingRequest>>,
    turns: VecDeque<CallerName>,
    waiting: usize,
    service_micros: f64,
}

impl RequestQueue {
    /// Creates an empty queue.
    pub fn new(limits: QueueLimits) -> Self {
        Self {
            limits,
            running: 0,
            callers: BTreeMap::new(),
            turns: VecDeque::new(),
            waiting: 0,
            service_micros: INITIAL_SERVICE_MICROS,
        }
    }

    /// Changes the bounds; requests that wait are kept.
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

    /// Decides on a request that has arrived.
    ///
    /// `spread` is from 0 up to 1 and differs between requests, so that
    /// refused callers do not all come back at once.
    pub fn push(
        &mut self,
        ticket: TicketId,
        caller: &CallerName,
        deadline: MonoTime,
        spread: f64,
        now: MonoTime,
    ) -> QueueDecision {
        if self.running < self.limits.slots && self.waiting == 0 {
            self.running += 1;
            return QueueDecision::Run;
        }
        let wait = self.expected_wait(caller);
        if now.after(wait).after(self.service_time()) > deadline || self.is_over_share(caller) {
            return QueueDecision::Refused {
                retry_after: self.retry_after(spread),
            };
        }
        self.enqueue(ticket, caller, deadline);
        QueueDecision::Wait
    }

    fn enqueue(&mut self, ticket: TicketId, caller: &CallerName, deadline: MonoTime) {
        let queue = self.callers.entry(caller.clone()).or_default();
        if queue.is_empty() {
            self.turns.push_back(caller.clone());
        }
        queue.push_back(WaitingRequest { ticket, deadline });
        self.waiting += 1;
    }

    /// Returns whether the caller has its share of the waiting places.
    ///
    /// Shares are equal among the callers that wait, the new one included.
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

    /// Expected wait of one more request of `caller`.
    fn expected_wait(&self, caller: &CallerName) -> Duration {
        let own = self.callers.get(caller).map_or(0, VecDeque::len);
        // Callers take turns: each other caller passes at most as many
        // requests as this one has waiting.
        let ahead: usize = self
            .callers
            .iter()
            .filter(|(name, _)| *name != caller)
            .map(|(_, queue)| queue.len().min(own + 1))
            .sum();
        let rounds = (own + ahead + 1) as f64 / f64::from(self.limits.slots.max(1));
        Duration::from_micros((rounds * self.service_micros) as u64)
    }

    /// Time in which half of the backlog is done, spread over as much again.
    fn retry_after(&self, spread: f64) -> Duration {
        let rounds = self.outstanding() as f64 / f64::from(self.limits.slots.max(1));
        let drain = Duration::from_micros((rounds * self.service_micros / 2.0) as u64);
        let base = drain.clamp(RETRY_FLOOR, RETRY_CEILING);
        base.mul_f64(1.0 + spread)
    }

    /// Records the end of a running request and starts waiting ones.
    pub fn finish(
        &mut self,
        service_micros: Option<f64>,
        spread: f64,
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
                    retry_after: self.retry_after(spread),
                });
                continue;
            }
            self.running += 1;
            events.push(QueueEvent::Run(request.ticket));
        }
        events
    }

    fn pop(&mut self) -> Option<WaitingRequest> {
        let caller = self.turns.pop_front()?;
        let queue = self.callers.get_mut(&caller)?;
        let request = queue.pop_front()?;
        self.waiting -= 1;
        if queue.is_empty() {
            self.callers.remove(&caller);
        } else {
            self.turns.push_back(caller);
        }
        Some(request)
    }

    /// Removes a waiting request whose caller is gone; returns whether it waited.
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
                self.turns.retain(|turn| *turn != caller);
            }
        }
        self.waiting -= 1;
        true
    }
}
