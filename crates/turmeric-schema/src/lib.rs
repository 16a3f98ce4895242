//! Messages between processes and records in the platform's services.
//!
//! The types in [`v1`] are generated from the files in `proto/` and stay at
//! the border: crates convert them to their own types on entry.

/// Generated types of version 1 of the schema.
#[allow(
    missing_docs,
    clippy::all,
    rustdoc::all,
    reason = "the comments and shapes come from the schema"
)]
pub mod v1 {
    include!("generated/turmeric.v1.rs");
}

pub use prost::Message;
