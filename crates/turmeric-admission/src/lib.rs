//! Request admission: idempotency keys, queues, fences, retry budgets and limits on connections.
//!
//! The code does no I/O and reads no clock: it takes events and the time and
//! returns decisions.

mod budget;
mod connections;
mod fence;
mod keys;
mod queue;

pub use budget::RetryBudget;
pub use connections::{
    CloseAction, CloseCause, ConnectionBudget, ConnectionBuffer, ConnectionId, ConnectionLedger,
    ConnectionPhase, ConnectionTimeouts, ConnectionVictim,
};
pub use fence::{AdmitDecision, FENCE_RETENTION, ProbeAnswer, RequestFence};
pub use keys::{
    CLOCK_SKEW, ClaimDecision, KEY_WINDOW, KeyLedger, RecordedAnswer, RequestFingerprint,
};
pub use queue::{QueueDecision, QueueEvent, QueueLimits, RequestQueue, TicketId};
