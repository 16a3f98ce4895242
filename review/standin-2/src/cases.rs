//! The cases, one module each.

pub mod large_progress;
pub mod many_ends;
pub mod scheduled;
