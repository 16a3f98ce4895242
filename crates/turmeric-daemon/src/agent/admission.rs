//! The gate before the endpoint's slots.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::oneshot;
use turmeric_admission::{QueueDecision, QueueEvent, QueueLimits, RequestQueue, TicketId};
use turmeric_types::{CallerName, MonoTime, SplitMixRandom};

use crate::clock::ProcessClock;

/// Bounds before the endpoint has announced its slots.
const INITIAL_LIMITS: QueueLimits = QueueLimits {
    slots: 8,
    waiting: 64,
};

/// What a waiting request is told.
#[derive(Clone, Copy, Debug)]
enum TicketOutcome {
    Run,
    Expired(Duration),
}

#[derive(Debug)]
struct GateState {
    queue: RequestQueue,
    limits: QueueLimits,
    waiters: BTreeMap<TicketId, oneshot::Sender<TicketOutcome>>,
    /// Requests that were given a slot and have not taken it.
    granted: BTreeSet<TicketId>,
    random: SplitMixRandom,
}

/// The gate before the endpoint's slots.
#[derive(Clone, Debug)]
pub(crate) struct AdmissionGate {
    state: Arc<Mutex<GateState>>,
    next_ticket: Arc<AtomicU64>,
    clock: ProcessClock,
}

/// The right to use one slot; dropping it gives the slot to the next request.
#[derive(Debug)]
pub(crate) struct SlotPermit {
    gate: AdmissionGate,
    service_micros: Option<f64>,
}

/// A waiting request, which gives up its place when its caller is gone.
struct WaitingTicket {
    gate: AdmissionGate,
    ticket: TicketId,
    is_settled: bool,
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

    pub(crate) fn outstanding(&self) -> usize {
        self.lock().queue.outstanding()
    }

    pub(crate) fn set_slots(&self, slots: u32) {
        let mut state = self.lock();
        state.limits.slots = slots;
        let limits = state.limits;
        state.queue.set_limits(limits);
    }

    pub(crate) fn set_waiting(&self, waiting: usize) {
        let mut state = self.lock();
        state.limits.waiting = waiting;
        let limits = state.limits;
        state.queue.set_limits(limits);
    }

    /// Waits for a slot.
    ///
    /// # Errors
    ///
    /// Returns at once, with the time after which to come back, when the
    /// request cannot be served within `timeout`.
    pub(crate) async fn enter(
        &self,
        caller: &CallerName,
        timeout: Duration,
    ) -> Result<SlotPermit, Duration> {
        let ticket = TicketId(self.next_ticket.fetch_add(1, Ordering::Relaxed));
        let now = self.clock.now();
        let deadline = now.after(timeout);
        let receiver = match self.push(ticket, caller, deadline, now) {
            PushOutcome::Run => return Ok(self.permit()),
            PushOutcome::Refused(retry_after) => return Err(retry_after),
            PushOutcome::Wait(receiver) => receiver,
        };
        let mut waiting = WaitingTicket {
            gate: self.clone(),
            ticket,
            is_settled: false,
        };
        let outcome = tokio::time::timeout(timeout, receiver).await;
        match outcome {
            Ok(Ok(TicketOutcome::Run)) => {
                waiting.is_settled = true;
                self.lock().granted.remove(&ticket);
                Ok(self.permit())
            }
            Ok(Ok(TicketOutcome::Expired(retry_after))) => {
                waiting.is_settled = true;
                Err(retry_after)
            }
            // The deadline came first, or the gate is closing.
            Ok(Err(_)) | Err(_) => Err(Duration::from_millis(100)),
        }
    }

    fn push(
        &self,
        ticket: TicketId,
        caller: &CallerName,
        deadline: MonoTime,
        now: MonoTime,
    ) -> PushOutcome {
        let mut state = self.lock();
        let spread = state.random.next_unit();
        match state.queue.push(ticket, caller, deadline, spread, now) {
            QueueDecision::Run => PushOutcome::Run,
            QueueDecision::Refused { retry_after } => PushOutcome::Refused(retry_after),
            QueueDecision::Wait => {
                let (sender, receiver) = oneshot::channel();
                state.waiters.insert(ticket, sender);
                PushOutcome::Wait(receiver)
            }
        }
    }

    fn permit(&self) -> SlotPermit {
        SlotPermit {
            gate: self.clone(),
            service_micros: None,
        }
    }

    fn finish(&self, service_micros: Option<f64>) {
        let now = self.clock.now();
        let mut state = self.lock();
        let spread = state.random.next_unit();
        let events = state.queue.finish(service_micros, spread, now);
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
            let is_told = sender.is_some_and(|sender| sender.send(outcome).is_ok());
            match outcome {
                TicketOutcome::Run if is_told => {
                    state.granted.insert(ticket);
                }
                TicketOutcome::Run => abandoned += 1,
                TicketOutcome::Expired(_) => {}
            }
        }
        drop(state);
        // A caller that left just now does not keep its slot.
        for _ in 0..abandoned {
            self.finish(None);
        }
    }

    fn abandon(&self, ticket: TicketId) {
        let mut state = self.lock();
        state.queue.cancel(ticket);
        state.waiters.remove(&ticket);
        let is_granted = state.granted.remove(&ticket);
        drop(state);
        if is_granted {
            // The slot was given just as the caller left.
            self.finish(None);
        }
    }
}

enum PushOutcome {
    Run,
    Wait(oneshot::Receiver<TicketOutcome>),
    Refused(Duration),
}

impl Drop for WaitingTicket {
    fn drop(&mut self) {
        if !self.is_settled {
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
        self.gate.finish(self.service_micros);
    }
}
