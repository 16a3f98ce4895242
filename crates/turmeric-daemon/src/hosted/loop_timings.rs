//! Time that the leader's event loop spends on each kind of work, for the log.

use std::time::Duration;

/// Time that the event loop spent on each kind of work since the last log line about load.
#[derive(Debug, Default)]
pub(crate) struct LoopTimings {
    pub(crate) reports: TimingTotal,
    pub(crate) orders: TimingTotal,
    pub(crate) placements: TimingTotal,
    pub(crate) writes: TimingTotal,
    /// Expired leases, evictions and moves.
    pub(crate) ticks: TimingTotal,
    /// Causes for which tasks wait.
    pub(crate) exclusions: TimingTotal,
}

/// Number of calls and their total time.
#[derive(Debug, Default)]
pub(crate) struct TimingTotal {
    count: u32,
    elapsed: Duration,
}

impl TimingTotal {
    pub(crate) fn add(&mut self, elapsed: Duration) {
        self.count += 1;
        self.elapsed += elapsed;
    }

    pub(crate) fn describe(&self) -> String {
        format!(
            "{} in {:.1} ms",
            self.count,
            self.elapsed.as_secs_f64() * 1e3
        )
    }
}
