//! An agent's session with one entry.

use std::collections::BTreeMap;

use turmeric_schema::v1;
use turmeric_types::MonoTime;

/// The parts of a poll that an agent sends only when they change.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct SentState {
    pub(crate) announcement: Option<v1::Announcement>,
    pub(crate) load: Option<v1::AgentLoad>,
}

/// An agent's session with one entry.
#[derive(Clone, Debug)]
pub(crate) struct EntrySession {
    /// Incarnation of the entry; zero before the first reply.
    pub(crate) entry_incarnation: u64,
    /// Ownership generation that the entry last sent.
    pub(crate) generation: u64,
    /// Number of the last poll that was built.
    pub(crate) sequence: u64,
    /// Number of the last order that was handled.
    pub(crate) last_order: u64,
    /// The entry needs an announcement with the next poll.
    pub(crate) wants_announcement: bool,
    /// What the entry is known to have received, without the tasks.
    pub(crate) acknowledged: SentState,
    /// What the current poll contains or refers to.
    pub(crate) sent: SentState,
    /// The current poll asks for a permit.
    pub(crate) requested_permit: bool,
    /// Number of the last report that was sent.
    pub(crate) last_sent_report: u64,
    /// The worker's clock, as read before each poll that is not answered yet was sent.
    pub(crate) poll_clocks: BTreeMap<u64, MonoTime>,
}

impl Default for EntrySession {
    fn default() -> Self {
        Self {
            entry_incarnation: 0,
            generation: 0,
            sequence: 0,
            last_order: 0,
            wants_announcement: true,
            acknowledged: SentState::default(),
            sent: SentState::default(),
            requested_permit: false,
            last_sent_report: 0,
            poll_clocks: BTreeMap::new(),
        }
    }
}

impl EntrySession {
    /// Returns the worker's clock as read before the poll was sent that a reply answers.
    pub(crate) fn take_poll_clock(&mut self, reply: &v1::PollReply) -> Option<MonoTime> {
        // Earlier versions of the entry do not say which poll they answer.
        let answered = match reply.answered_sequence {
            0 => self.sequence,
            number => number,
        };
        let clock = self.poll_clocks.remove(&answered);
        self.poll_clocks = self.poll_clocks.split_off(&answered);
        clock
    }
}
