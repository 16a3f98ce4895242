//! The cases, one module each.

pub mod forgotten;
mod judge;
pub mod large_progress;
pub mod many_ends;
pub mod many_images;
pub mod scheduled;
