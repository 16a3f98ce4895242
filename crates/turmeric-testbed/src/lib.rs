//! Starts real processes for tests and reads the stand-ins' records.
//!
//! Does not ship. A [`TestBed`] holds the processes of one test and ends
//! exactly those, by their ids, when it is dropped.

mod bed;
mod http;
mod plan;
mod process;
mod records;
mod traffic;

pub use bed::{TestBed, free_address};
pub use http::{HttpAnswer, LoadClient};
pub use plan::{AgentPlan, BedPlan};
pub use process::{TestProcess, run_program};
pub use records::{EndpointRecord, RunInterval, StandinRecords, WorkerRecord};
pub use traffic::{RequestForm, digest_of, new_job_id, new_key, wall_time};
