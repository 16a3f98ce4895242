//! The clocks of a process. Only the daemon reads them, not the crates that decide.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};
use turmeric_types::{Incarnation, MonoTime, WallTime};

/// The monotonic clock of a process, and its wall clock.
///
/// The monotonic clock includes the time for which the VM was suspended, so that
/// after a suspension a process finds its leases expired.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProcessClock {
    started_at: ClockStart,
}

/// Start time of a process, on the clock that it reads.
#[derive(Clone, Copy, Debug)]
enum ClockStart {
    /// Time since the VM booted, including suspensions.
    Boot(Duration),
    /// Time without suspensions; used only where the system lacks a boot-time clock.
    Monotonic(Instant),
}

/// Returns the time since the VM booted, including suspensions.
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
                spdlog::warn!("boot-time clock unavailable; using one that omits VM suspensions");
                ClockStart::Monotonic(Instant::now())
            }
        };
        Self { started_at }
    }

    /// Returns the monotonic time since the start of the process.
    pub(crate) fn now(&self) -> MonoTime {
        let elapsed = match self.started_at {
            ClockStart::Boot(start) => boot_time().unwrap_or(start).saturating_sub(start),
            ClockStart::Monotonic(start) => start.elapsed(),
        };
        MonoTime::from_micros(elapsed.as_micros() as u64)
    }

    /// Returns the wall-clock time.
    pub(crate) fn wall(&self) -> WallTime {
        let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
        WallTime::from_millis(elapsed.unwrap_or_default().as_millis() as u64)
    }

    /// Returns the incarnation of a process that starts now.
    pub(crate) fn incarnation(&self) -> Incarnation {
        Incarnation::new(self.wall().as_millis())
    }
}
