//! Percentiles of measured times.

use std::time::Duration;

/// Times that were measured, sorted on demand.
#[derive(Clone, Debug, Default)]
pub(crate) struct TimeSample {
    times: Vec<Duration>,
}

impl TimeSample {
    pub(crate) fn push(&mut self, time: Duration) {
        self.times.push(time);
    }

    pub(crate) fn len(&self) -> usize {
        self.times.len()
    }

    /// Returns the time below which `permille` of the times lie.
    pub(crate) fn permille(&mut self, permille: usize) -> Duration {
        if self.times.is_empty() {
            return Duration::ZERO;
        }
        self.times.sort_unstable();
        let place = (self.times.len() * permille / 1000).min(self.times.len() - 1);
        self.times[place]
    }

    /// Returns the 50th, 99th and 99.9th percentile, in milliseconds.
    pub(crate) fn summary(&mut self) -> String {
        let millis = |time: Duration| time.as_secs_f64() * 1000.0;
        format!(
            "p50 {:.2} ms, p99 {:.2} ms, p99.9 {:.2} ms",
            millis(self.permille(500)),
            millis(self.permille(990)),
            millis(self.permille(999)),
        )
    }
}
