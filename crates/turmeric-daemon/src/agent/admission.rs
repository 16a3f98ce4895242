//! Admission control for the request slots of the endpoint.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::oneshot;
use turmeric_admission::{QueueDecision, QueueEvent, QueueLimits, RequestQueue, TicketId};
use turmeric_types::{CallerName, MonoTime, SplitMixRandom};

use crate::clock::ProcessClock;

/// Queue limits in force until the endpoint has announced its slots.
const INITIAL_LIMITS: QueueLimits = QueueLimits {
    slots: 8,
    waiting: 64,
};

/// How the wait of a queued request ended.
#[derive(Clone, Copy, Debug)]
enum TicketOutcome {
    Run,
    /// The request cannot be served in time; retry after this delay.
    Expired(Duration),
}

#[derive(Debug)]
struct GateState {
    queue: RequestQueue,
    limits: QueueLimits,
    waiters: BTreeMap<TicketId, oneshot::Sender<TicketOutcome>>,
    /// Requests that were granted a slot and have not resumed yet.
    granted: BTreeSet<TicketId>,
    random: SplitMixRandom,
}

/// Admission control for the request slots of the endpoint, shared by all requests.
#[derive(Clone, Debug)]
pub(crate) struct AdmissionGate {
    state: Arc<Mutex<GateState>>,
    next_ticket: Arc<AtomicU64>,
    clock: ProcessClock,
}

/// The right to use one slot; dropping it releases the slot to the next request.
#[derive(Debug)]
pub(crate) struct SlotPermit {
    gate: AdmissionGate,
    service_micros: Option<f64>,
}

/// A queued request, which leaves the queue if its caller disconnects or it times out.
struct WaitingTicket {
    gate: AdmissionGate,
    ticket: TicketId,
    is_resolved: bool,
}

impl AdmissionGate {
    pub(crate) fn new() -> Self {
        let clock = ProcessClock::new();
        Self {
            state: Arc::new(Mutex::new(GateState {
                queue: RequestQueue::new(INITIAL_LIMITS),
                limits: INITIAL_LIMITS,
                waiters: BTreeMap::new(),
                granted: BTreeSet::new(),
                random: SplitMixRandom::new(clock.wall().as_millis()),
            })),
            next_ticket: Arc::new(AtomicU64::new(0)),
            clock,
        }
    }

    fn lock(&self) -> MutexGuard<'_, GateState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of requests that are queued or running.
    pub(crate) fn outstanding(&self) -> usize {
        self.lock().queue.outstanding()
    }

    /// Sets the number of requests that may run at once.
    pub(crate) fn set_slots(&self, slots: u32) {
        let mut state = self.lock();
        state.limits.slots = slots;
        let limits = state.limits;
        state.queue.set_limits(limits);
    }

    /// Sets the maximum number of queued requests.
    pub(crate) fn set_queue_limit(&self, waiting: usize) {
        let mut state = self.lock();
        state.limits.waiting = waiting;
        let limits = state.limits;
        state.queue.set_limits(limits);
    }

    /// Waits for a slot for at most `timeout`.
    ///
    /// # Errors
    ///
    /// Returns the delay after which to retry, as soon as the request cannot be
    /// served within `timeout`, and at the latest when `timeout` expires.
    pub(crate) async fn acquire_slot(
        &self,
        caller: &CallerName,
        timeout: Duration,
    ) -> Result<SlotPermit, Duration> {
        let ticket = TicketId(self.next_ticket.fetch_add(1, Ordering::Relaxed));
        let now = self.clock.now();
        let deadline = now.after(timeout);
        let receiver = match self.enqueue(ticket, caller, deadline, now) {
            EnqueueOutcome::Run => return Ok(self.permit()),
            EnqueueOutcome::Refused(retry_after) => return Err(retry_after),
            EnqueueOutcome::Wait(receiver) => receiver,
        };
        let mut waiting_ticket = WaitingTicket {
            gate: self.clone(),
            ticket,
            is_resolved: false,
        };
        let outcome = tokio::time::timeout(timeout, receiver).await;
        match outcome {
            Ok(Ok(TicketOutcome::Run)) => {
                waiting_ticket.is_resolved = true;
                self.lock().granted.remove(&ticket);
                Ok(self.permit())
            }
            Ok(Ok(TicketOutcome::Expired(retry_after))) => {
                waiting_ticket.is_resolved = true;
                Err(retry_after)
            }
            // The deadline passed first, or the gate was dropped.
            Ok(Err(_)) | Err(_) => Err(Duration::from_millis(100)),
        }
    }

    fn enqueue(
        &self,
        ticket: TicketId,
        caller: &CallerName,
        deadline: MonoTime,
        now: MonoTime,
    ) -> EnqueueOutcome {
        let mut state = self.lock();
        let jitter = state.random.next_unit();
        match state.queue.push(ticket, caller, deadline, jitter, now) {
            QueueDecision::Run => EnqueueOutcome::Run,
            QueueDecision::Refused { retry_after } => EnqueueOutcome::Refused(retry_after),
            QueueDecision::Wait => {
                let (sender, receiver) = oneshot::channel();
                state.waiters.insert(ticket, sender);
                EnqueueOutcome::Wait(receiver)
            }
        }
    }

    fn permit(&self) -> SlotPermit {
        SlotPermit {
            gate: self.clone(),
            service_micros: None,
        }
    }

    /// Releases a slot and hands it to the next queued request.
    fn release_slot(&self, service_micros: Option<f64>) {
        let now = self.clock.now();
        let mut state = self.lock();
        let jitter = state.random.next_unit();
        let events = state.queue.finish(service_micros, jitter, now);
        let mut abandoned = 0;
        for event in events {
            let (ticket, outcome) = match event {
                QueueEvent::Run(ticket) => (ticket, TicketOutcome::Run),
                QueueEvent::Expired {
                    ticket,
                    retry_after,
                } => (ticket, TicketOutcome::Expired(retry_after)),
            };
            let sender = state.waiters.remove(&ticket);
            let is_delivered = sender.is_some_and(|sender| sender.send(outcome).is_ok());
            match outcome {
                TicketOutcome::Run if is_delivered => {
                    state.granted.insert(ticket);
                }
                TicketOutcome::Run => abandoned += 1,
                TicketOutcome::Expired(_) => {}
            }
        }
        drop(state);
        // Releases the slots granted to requests whose callers have just disconnected.
        for _ in 0..abandoned {
            self.release_slot(None);
        }
    }

    /// Removes a request that no longer waits, and releases its slot if it was granted one.
    fn abandon(&self, ticket: TicketId) {
        let mut state = self.lock();
        state.queue.cancel(ticket);
        state.waiters.remove(&ticket);
        let is_granted = state.granted.remove(&ticket);
        drop(state);
        if is_granted {
            // The slot was granted just as the request stopped waiting.
            self.release_slot(None);
        }
    }
}

/// Result of adding a request to the queue.
enum EnqueueOutcome {
    Run,
    Wait(oneshot::Receiver<TicketOutcome>),
    Refused(Duration),
}

impl Drop for WaitingTicket {
    fn drop(&mut self) {
        if !self.is_resolved {
            self.gate.abandon(self.ticket);
        }
    }
}

impl SlotPermit {
    /// Records how long the endpoint worked on the request.
    pub(crate) fn set_service_micros(&mut self, micros: f64) {
        self.service_micros = Some(micros);
    }
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        self.gate.release_slot(self.service_micros);
    }
}
