//! The process roles on the users' platform: entries, which accept jobs and elect a leader
//! among themselves, and agents, one beside each endpoint.

mod agent;
mod callers;
mod decision_log;
mod entry;
mod forward;
mod intake;
mod leader;
mod leader_commit;
mod leadership;
mod link;
mod loop_timings;
mod metrics;
mod operator_feed;
mod pacing;
mod registry;
mod view;
mod worker_loop;

use eyre::{Result, WrapErr};
use tokio::signal::unix::{Signal, SignalKind, signal};

pub(crate) use agent::run_agent;
pub(crate) use entry::run_entry;

/// Signals that a process on the platform receives.
struct ProcessSignals {
    terminate: Signal,
    hangup: Signal,
}

impl ProcessSignals {
    fn new() -> Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate()).wrap_err("listening for SIGTERM")?,
            hangup: signal(SignalKind::hangup()).wrap_err("listening for SIGHUP")?,
        })
    }

    /// Waits for SIGTERM. Ignores SIGHUP, because every setting that may change while a
    /// process runs is read from the operators' table.
    async fn terminated(&mut self) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.hangup.recv() => spdlog::info!("SIGHUP ignored; settings are read from the operators' table"),
            }
        }
    }
}
