//! Messages between processes, and records in the platform's services.
//!
//! The types in [`v1`] are generated from the files in `proto/` and are used only
//! for encoding and decoding: crates convert them to their own types on receipt.

/// Types generated from version 1 of the schema.
#[allow(
    missing_docs,
    clippy::all,
    rustdoc::all,
    reason = "the comments and types are generated from the schema"
)]
pub mod v1 {
    include!("generated/turmeric.v1.rs");
}

pub use prost::Message;
