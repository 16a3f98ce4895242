//! Client for the interface through which an agent runs tasks on a worker.
//!
//! All times in the messages are on the worker's own monotonic clock, so that
//! a pause of the agent between reading a deadline and using it cannot extend
//! the deadline.

mod client;
mod error;
mod messages;

pub use client::WorkerClient;
pub use error::WorkerError;
pub use messages::{
    AttachRequest, LeaseRenewal, RenewRequest, StartRequest, StopKind, StopRequest, StopResponse,
    TaskPhase, TaskUsage, ThrottleRequest, WorkerStatus, WorkerTask,
};
