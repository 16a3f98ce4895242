//! Times that are passed in, never read here.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A reading of one process's monotonic clock, in microseconds from its start.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct MonoTime(u64);

impl MonoTime {
    /// Creates a reading of `micros` microseconds.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Creates a reading of `millis` milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1000)
    }

    /// Returns the reading in microseconds.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the reading in whole milliseconds, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1000
    }

    /// Returns the time `term` later.
    pub const fn after(self, term: Duration) -> Self {
        Self(self.0.saturating_add(term.as_micros() as u64))
    }

    /// Returns the time `term` earlier, or the start of the clock.
    pub const fn before(self, term: Duration) -> Self {
        Self(self.0.saturating_sub(term.as_micros() as u64))
    }

    /// Returns how much later this is than `earlier`, or zero.
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

/// A reading of a wall clock, in milliseconds since 1970.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct WallTime(u64);

impl WallTime {
    /// Creates a reading of `millis` milliseconds since 1970.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Returns the reading in milliseconds since 1970.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Returns the time `term` later.
    pub const fn after(self, term: Duration) -> Self {
        Self(self.0.saturating_add(term.as_millis() as u64))
    }

    /// Returns the time since an earlier reading; zero if the clock went back.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl fmt::Display for WallTime {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} ms since 1970", self.0)
    }
}

/// A time of a hybrid logical clock: wall milliseconds and a counter.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct HybridTime(u64);

/// Bits of a [`HybridTime`] that hold the counter.
const COUNTER_BITS: u32 = 16;

impl HybridTime {
    /// Creates a time from its 64 bits, as sent in messages.
    pub const fn from_bits(bits: u64) -> Self {
        Self(bits)
    }

    /// Returns the 64 bits that messages carry.
    pub const fn to_bits(self) -> u64 {
        self.0
    }

    /// Returns the wall part.
    pub const fn wall(self) -> WallTime {
        WallTime(self.0 >> COUNTER_BITS)
    }
}

/// A hybrid logical clock: it orders cause before effect across processes.
#[derive(Clone, Debug, Default)]
pub struct HybridClock {
    last: HybridTime,
}

impl HybridClock {
    /// Creates a clock that has seen no event.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the time of a local event at wall time `now`.
    pub fn tick(&mut self, now: WallTime) -> HybridTime {
        let wall = HybridTime(now.0 << COUNTER_BITS);
        self.last = wall.max(HybridTime(self.last.0 + 1));
        self.last
    }

    /// Takes in the time of a received message.
    pub fn observe(&mut self, received: HybridTime) {
        self.last = self.last.max(received);
    }
}
