//! The clocks of a process, read only by the shell.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use turmeric_types::{Incarnation, MonoTime, WallTime};

/// The monotonic clock of a process, and its wall clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProcessClock {
    started_at: Instant,
}

impl ProcessClock {
    pub(crate) fn new() -> Self {
        Self {
            started_at: Instant::now(),
        }
    }

    pub(crate) fn now(&self) -> MonoTime {
        MonoTime::from_micros(self.started_at.elapsed().as_micros() as u64)
    }

    pub(crate) fn wall(&self) -> WallTime {
        let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
        WallTime::from_millis(elapsed.unwrap_or_default().as_millis() as u64)
    }

    /// Returns the incarnation of a process that starts now.
    pub(crate) fn incarnation(&self) -> Incarnation {
        Incarnation::new(self.wall().as_millis())
    }
}
