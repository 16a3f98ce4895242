//! Percentiles of measured durations.

use std::time::Duration;

/// Durations of one measurement, sorted when a percentile is read.
#[derive(Clone, Debug, Default)]
pub(crate) struct DurationSample {
    durations: Vec<Duration>,
}

impl DurationSample {
    pub(crate) fn push(&mut self, duration: Duration) {
        self.durations.push(duration);
    }

    pub(crate) fn len(&self) -> usize {
        self.durations.len()
    }

    /// Returns the duration below which `permille` thousandths of the sample lie, or zero
    /// when there are none.
    pub(crate) fn permille(&mut self, permille: usize) -> Duration {
        if self.durations.is_empty() {
            return Duration::ZERO;
        }
        self.durations.sort_unstable();
        let index = (self.durations.len() * permille / 1000).min(self.durations.len() - 1);
        self.durations[index]
    }

    /// Formats the 50th, 99th and 99.9th percentiles, in milliseconds.
    pub(crate) fn summary(&mut self) -> String {
        let millis = |duration: Duration| duration.as_secs_f64() * 1000.0;
        format!(
            "p50 {:.2} ms, p99 {:.2} ms, p99.9 {:.2} ms",
            millis(self.permille(500)),
            millis(self.permille(990)),
            millis(self.permille(999)),
        )
    }
}
