//! Task records, the partition log, and both ends of the session between an agent and an entry.
//!
//! All code here is free of I/O: it takes events, messages and the time, and
//! returns messages, log appends and calls for the caller to make.
mod agent;
mod convert;
mod error;
mod learned;
mod ledger;
mod measurement;
mod scheduler;
mod term;
mod transition;
mod writer;

pub use agent::{AgentAction, AgentTasks, StatusVersion};
pub use convert::{read_resources, write_resources};
pub use error::DecodeError;
pub use ledger::{TaskLedger, TaskPhase, TaskRecord, TransitionError};
pub use measurement::AttemptMeasurement;
pub use scheduler::{
    AgentView, PollContext, SchedulerSettings, SubmitDecision, SubmitRequest, TaskScheduler,
    WaitReason,
};
pub use term::{LeaseTerms, ReadTime};
pub use transition::{ReturnReason, TaskChange, TaskTransition};
pub use writer::{AppendOutcome, AppendPlan, PartitionWriter, WriterError};
