//! The daemon of turmericlb, with its roles, entry and agent.
//!
//! An entry runs on an entry VM: it serves callers and operators, routes
//! requests, owns partitions of the tasks and places them. An agent runs
//! beside an endpoint on its worker: it admits requests, keeps the ledger of
//! the VM and runs tasks under leases.

mod agent;
mod clock;
mod config;
mod connections;
mod control;
mod entry;
mod headers;
mod hosted;
mod http;
mod lifecycle;
mod logging;
mod metrics;
mod run;
mod timeline;

pub use control::{ControlClient, ControlServer, IncomingMessage, Responder};
pub use run::{EXIT_CONFIG, EXIT_FAILED, EXIT_PORT_TAKEN, run_from_command_line};
pub use timeline::{TimelineEvent, TimelinePage};
