//! Task records, the partition log, and both ends of the agent's session.
//!
//! All code here is pure: it takes events, messages and the time, and
//! returns messages, log appends and calls for the shell to make.

mod agent;
mod book;
mod convert;
mod error;
mod learned;
mod reading;
mod scheduler;
mod term;
mod transition;
mod writer;

pub use agent::{AgentAction, AgentTasks, StatusVersion};
pub use book::{TaskLedger, TaskPhase, TaskRecord, TransitionError};
pub use convert::{read_resources, write_resources};
pub use error::DecodeError;
pub use reading::AttemptMeasurement;
pub use scheduler::{
    AgentView, PollContext, SchedulerSettings, SubmitDecision, SubmitRequest, TaskScheduler,
    WaitReason,
};
pub use term::{LeaseTerms, ReadTime};
pub use transition::{ReturnReason, TaskChange, TaskTransition};
pub use writer::{AppendOutcome, AppendPlan, PartitionWriter, WriterError};
