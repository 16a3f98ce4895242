//! Time types; callers read the clocks and pass the times in.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A time of one process's monotonic clock, in microseconds since the clock's start.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct MonoTime(u64);

impl MonoTime {
    /// Creates a time `micros` microseconds after the clock's start.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Creates a time `millis` milliseconds after the clock's start.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1000)
    }

    /// Returns the time in microseconds.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time in whole milliseconds, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1000
    }

    /// Returns the time `duration` later.
    pub const fn after(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(duration.as_micros() as u64))
    }

    /// Returns the time `duration` earlier, but not before the clock's start.
    pub const fn before(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(duration.as_micros() as u64))
    }

    /// Returns the duration since `earlier`; zero if this time is not later.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl fmt::Display for MonoTime {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}.{:06} s",
            self.0 / 1_000_000,
            self.0 % 1_000_000
        )
    }
}

/// A time of a wall clock, in milliseconds since 1970.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct WallTime(u64);

impl WallTime {
    /// Creates a time `millis` milliseconds after the start of 1970.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Returns the time in milliseconds since 1970.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Returns the time `duration` later.
    pub const fn after(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(duration.as_millis() as u64))
    }

    /// Returns the duration since `earlier`; zero if the clock was set back.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl fmt::Display for WallTime {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} ms since 1970", self.0)
    }
}

/// A time of a hybrid logical clock: wall time in milliseconds and a counter.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct HybridTime(u64);

/// Bits of a [`HybridTime`] that hold the counter.
const COUNTER_BITS: u32 = 16;

impl HybridTime {
    /// Creates a time from its 64-bit form, as sent in messages.
    pub const fn from_bits(bits: u64) -> Self {
        Self(bits)
    }

    /// Returns the 64-bit form, as sent in messages.
    pub const fn to_bits(self) -> u64 {
        self.0
    }

    /// Returns the wall time.
    pub const fn wall(self) -> WallTime {
        WallTime(self.0 >> COUNTER_BITS)
    }
}

/// A hybrid logical clock, which orders causes before their effects across processes.
#[derive(Clone, Debug, Default)]
pub struct HybridClock {
    last: HybridTime,
}

impl HybridClock {
    /// Creates a clock that has recorded no event.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the time of a local event at wall time `now`.
    pub fn tick(&mut self, now: WallTime) -> HybridTime {
        let wall = HybridTime(now.0 << COUNTER_BITS);
        self.last = wall.max(HybridTime(self.last.0 + 1));
        self.last
    }

    /// Advances the clock to at least the time of a received message.
    pub fn observe(&mut self, received: HybridTime) {
        self.last = self.last.max(received);
    }
}
