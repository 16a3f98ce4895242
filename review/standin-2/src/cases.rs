//! The cases, one module each.

pub mod forgotten;
pub mod four_crashes;
mod judge;
pub mod large_progress;
pub mod many_ends;
pub mod scheduled;
