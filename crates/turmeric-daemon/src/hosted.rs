//! The roles on the users' platform: entries that accept jobs, one of which
//! leads, and agents beside the endpoints.

mod agent;
mod callers;
mod decision_log;
mod entry;
mod forward;
mod intake;
mod leader;
mod leadership;
mod link;
mod meters;
mod operator_feed;
mod pacing;
mod registry;
mod view;
mod worker_loop;

use eyre::{Result, WrapErr};
use tokio::signal::unix::{Signal, SignalKind, signal};

pub(crate) use agent::run_agent;
pub(crate) use entry::run_entry;

/// Signals that a process of the platform gets.
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

    /// Waits for SIGTERM. SIGHUP changes nothing: whatever may change while a
    /// process runs comes from the operators' table.
    async fn terminated(&mut self) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.hangup.recv() => spdlog::info!("reload asked for; nothing to reload"),
            }
        }
    }
}
