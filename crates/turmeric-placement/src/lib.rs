//! The capacity ledger of a VM and the policies that place and evict tasks.
//!
//! All code here is pure: it takes the state of the agents and returns
//! decisions, without I/O.

mod eviction;
mod index;
mod ledger;
mod need;
mod policy;

pub use eviction::{EvictionCandidate, EvictionPolicy, choose_victims, is_evictable};
pub use index::{AgentSlot, PlacementIndex};
pub use ledger::{CapacityLedger, LedgerError, LedgerReady, LedgerUninitialized};
pub use need::{NeedInterference, PlacementNeed};
pub use policy::PlacementPolicy;
