//! Client of the interface through which a worker runs tasks.
//!
//! All times in the messages are readings of the worker's own monotonic
//! clock, so that a pause of the agent between reading a deadline and using
//! it cannot lengthen the deadline.

mod client;
mod error;
mod messages;

pub use client::WorkerClient;
pub use error::WorkerError;
pub use messages::{
    AttachRequest, LeaseRenewal, RenewRequest, StartRequest, StopAnswer, StopKind, StopRequest,
    TaskPhase, TaskUsage, ThrottleRequest, WorkerStatus, WorkerTask,
};
