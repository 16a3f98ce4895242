//! The capacity ledger of a VM and the policies that place and evict tasks.
//!
//! All code here is pure: it takes the state of agents and returns decisions.

mod eviction;
mod index;
mod ledger;
mod need;
mod policy;

pub use eviction::{EvictionPolicy, VictimTask, choose_victims, is_victim};
pub use index::{AgentSlot, PlacementIndex};
pub use ledger::{CapacityLedger, LedgerError, LedgerReady, LedgerUnbuilt};
pub use need::{NeedInterference, PlacementNeed};
pub use policy::PlacementPolicy;
