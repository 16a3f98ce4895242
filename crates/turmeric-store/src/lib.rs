//! Client for the platform's table service and object store.
//!
//! A [`PlatformClient`] uses the published HTTP interface of both services. It
//! never retries, because only callers know which operations are idempotent.

mod client;
mod encoding;
mod error;
mod row;

pub use client::{PlatformClient, REQUEST_TIMEOUT};
pub use error::StoreError;
pub use row::{RowChange, RowCondition, RowTag, TableRow};
