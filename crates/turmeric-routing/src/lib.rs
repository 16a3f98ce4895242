//! Policies that choose an endpoint for a request.
//!
//! A [`RouteTable`] holds the endpoints of one service and what this entry has
//! observed of them. A decision compares a fixed number of endpoints, so its
//! cost does not grow with their number.

mod estimate;
mod policy;
mod route;
mod table;

pub use estimate::LatencyEstimate;
pub use policy::RoutingPolicy;
pub use route::{RouteId, RouteState};
pub use table::{RouteTable, SAMPLE_COUNT};
