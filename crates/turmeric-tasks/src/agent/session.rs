//! An agent's session with one entry.

use turmeric_schema::v1;
use turmeric_types::MonoTime;

/// What an agent tells an entry only when it changes.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct SentState {
    pub(crate) announcement: Option<v1::Announcement>,
    pub(crate) load: Option<v1::AgentLoad>,
}

/// An agent's session with one entry.
#[derive(Clone, Debug)]
pub(crate) struct EntrySession {
    /// Life of the entry; zero before the first reply.
    pub(crate) entry_incarnation: u64,
    pub(crate) generation: u64,
    /// Number of the last poll that was built.
    pub(crate) sequence: u64,
    /// Last order that was taken in.
    pub(crate) last_order: u64,
    pub(crate) wants_announcement: bool,
    /// What the entry has been told, without the tasks.
    pub(crate) known: SentState,
    /// What the present poll tells it.
    pub(crate) sent: SentState,
    /// The present poll asks for a permit.
    pub(crate) asked_permit: bool,
    /// Number of the last report that was sent.
    pub(crate) sent_report: u64,
    /// The worker's clock, as read before the last poll was sent.
    pub(crate) clock_at_poll: MonoTime,
}

impl Default for EntrySession {
    fn default() -> Self {
        Self {
            entry_incarnation: 0,
            generation: 0,
            sequence: 0,
            last_order: 0,
            wants_announcement: true,
            known: SentState::default(),
            sent: SentState::default(),
            asked_permit: false,
            sent_report: 0,
            clock_at_poll: MonoTime::default(),
        }
    }
}
