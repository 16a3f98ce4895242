//! A token bucket for the rates of the platform.

use std::time::Instant;

/// Operations that may be taken at a steady rate, with one second of burst.
pub(crate) struct RateBucket {
    per_second: f64,
    tokens: f64,
    filled_at: Instant,
}

impl RateBucket {
    pub(crate) fn new(per_second: u64, now: Instant) -> Self {
        Self {
            per_second: per_second as f64,
            tokens: per_second as f64,
            filled_at: now,
        }
    }

    /// Takes one operation; returns whether there was one to take.
    pub(crate) fn take(&mut self, now: Instant) -> bool {
        let elapsed = now.duration_since(self.filled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.per_second).min(self.per_second);
        self.filled_at = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
