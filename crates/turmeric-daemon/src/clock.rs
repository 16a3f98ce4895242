//! The clocks of a process, read only by the shell.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};
use turmeric_types::{Incarnation, MonoTime, WallTime};

/// The monotonic clock of a process, and its wall clock.
///
/// The monotonic clock counts the time for which the VM was suspended: a process
/// that wakes must find what it was granted expired.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProcessClock {
    started_at: ClockStart,
}

/// When a process started, by the clock that it reads.
#[derive(Clone, Copy, Debug)]
enum ClockStart {
    /// Time since the VM started, suspensions included.
    Boot(Duration),
    /// Without suspensions; only where the system has no such clock.
    Steady(Instant),
}

fn boot_time() -> Option<Duration> {
    clock_gettime(ClockId::CLOCK_BOOTTIME)
        .ok()
        .map(Duration::from)
}

impl ProcessClock {
    pub(crate) fn new() -> Self {
        let started_at = match boot_time() {
            Some(time) => ClockStart::Boot(time),
            None => {
                spdlog::warn!("no clock counts suspensions of the VM; using the steady clock");
                ClockStart::Steady(Instant::now())
            }
        };
        Self { started_at }
    }

    pub(crate) fn now(&self) -> MonoTime {
        let elapsed = match self.started_at {
            ClockStart::Boot(start) => boot_time().unwrap_or(start).saturating_sub(start),
            ClockStart::Steady(start) => start.elapsed(),
        };
        MonoTime::from_micros(elapsed.as_micros() as u64)
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
