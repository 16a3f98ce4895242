//! The timeline of a process: a bounded ring of events, stamped with a hybrid logical clock.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};
use turmeric_types::{HybridClock, HybridTime};

use crate::clock::ProcessClock;

/// Number of events that a process keeps.
const RING_LENGTH: usize = 4096;

/// One event of a process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TimelineEvent {
    /// Hybrid logical time of the event.
    pub time: u64,
    /// Kind of the event; a stable name.
    pub kind: String,
    /// Details for people.
    pub text: String,
    /// Request that the event is about.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request: Option<String>,
    /// Task that the event is about.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub task: Option<String>,
    /// Agent that the event is about.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub agent: Option<String>,
    /// Availability zone that the event is about.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
}

impl TimelineEvent {
    pub(crate) fn new(kind: &str, text: impl Into<String>) -> Self {
        Self {
            kind: kind.to_owned(),
            text: text.into(),
            ..Self::default()
        }
    }

    pub(crate) fn with_request(mut self, request: impl ToString) -> Self {
        self.request = Some(request.to_string());
        self
    }

    pub(crate) fn with_task(mut self, task: impl ToString) -> Self {
        self.task = Some(task.to_string());
        self
    }

    pub(crate) fn with_agent(mut self, agent: impl ToString) -> Self {
        self.agent = Some(agent.to_string());
        self
    }

    pub(crate) fn with_zone(mut self, zone: impl ToString) -> Self {
        self.zone = Some(zone.to_string());
        self
    }
}

/// The events of one process, as returned to operators.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct TimelinePage {
    /// Name of the process.
    pub process: String,
    /// Number of events that the ring has dropped.
    pub dropped: u64,
    /// Events in the ring, oldest first.
    pub events: Vec<TimelineEvent>,
}

#[derive(Debug, Default)]
struct TimelineRing {
    clock: HybridClock,
    events: VecDeque<TimelineEvent>,
    dropped: u64,
}

/// The timeline of this process.
#[derive(Debug)]
pub(crate) struct Timeline {
    process: String,
    clock: ProcessClock,
    ring: Mutex<TimelineRing>,
}

impl Timeline {
    pub(crate) fn new(process: String, clock: ProcessClock) -> Self {
        Self {
            process,
            clock,
            ring: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, TimelineRing> {
        self.ring.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds an event and returns its time.
    pub(crate) fn add(&self, mut event: TimelineEvent) -> HybridTime {
        let wall = self.clock.wall();
        let mut ring = self.lock();
        let time = ring.clock.tick(wall);
        event.time = time.to_bits();
        if ring.events.len() == RING_LENGTH {
            ring.events.pop_front();
            ring.dropped += 1;
        }
        ring.events.push_back(event);
        time
    }

    /// Returns the hybrid time to send with a message.
    pub(crate) fn stamp(&self) -> u64 {
        let wall = self.clock.wall();
        self.lock().clock.tick(wall).to_bits()
    }

    /// Advances the clock past the hybrid time of a received message.
    pub(crate) fn observe(&self, bits: u64) {
        self.lock().clock.observe(HybridTime::from_bits(bits));
    }

    /// Returns the events in the ring.
    pub(crate) fn page(&self) -> TimelinePage {
        let ring = self.lock();
        TimelinePage {
            process: self.process.clone(),
            dropped: ring.dropped,
            events: ring.events.iter().cloned().collect(),
        }
    }
}
