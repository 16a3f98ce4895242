//! Budgets and deadlines of the connections of a listener.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use turmeric_types::{MemorySize, MonoTime};

/// Number of a connection in a [`ConnectionLedger`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionPhase {
    /// No request is in progress.
    Idle,
    /// A request head is being received, or empty lines before it.
    Head,
    /// A request body is being received.
    Body,
    /// A request is complete, and its response is not yet sent.
    Serving,
}

/// Buffer of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionBuffer {
    /// Buffer into which the socket is read.
    Read,
    /// Buffer of a request body.
    Body,
}

/// Budgets of all connections together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionBudget {
    /// Memory of all buffers.
    pub memory: MemorySize,
    /// Number of open connections.
    pub connections: usize,
}

/// Memory of callers' buffers if the process has no limit of memory.
const DEFAULT_MEMORY: MemorySize = MemorySize::new(64 << 20);

/// Smallest memory of callers' buffers: enough for a few requests of the largest size, also
/// where a quarter of the memory is less.
const MIN_MEMORY: MemorySize = MemorySize::new(1 << 20);

/// Descriptors that callers' connections cannot use: 200 that the platform reserves, and 312
/// for the store, agents, other entries and files.
const RESERVED_DESCRIPTORS: u64 = 512;

/// Smallest number of callers' connections.
const MIN_CONNECTIONS: usize = 64;

/// Number of callers' connections if the process has no limit of descriptors: 4,096 less the
/// reserved ones.
const DEFAULT_CONNECTIONS: usize = 3584;

impl ConnectionBudget {
    /// Returns the budget of callers' connections in a process with these limits.
    ///
    /// Addresses requests that together exceed the memory: the rest of the process, decoded
    /// jobs and the connections themselves take what a quarter of it leaves.
    pub fn new(memory: Option<MemorySize>, descriptors: Option<u64>) -> Self {
        let quarter = |memory: MemorySize| MemorySize::new(memory.as_bytes() / 4);
        let memory = memory.map_or(DEFAULT_MEMORY, quarter);
        let connections = descriptors.map_or(DEFAULT_CONNECTIONS, |count| {
            count.saturating_sub(RESERVED_DESCRIPTORS) as usize
        });
        Self {
            memory: memory.max(MIN_MEMORY),
            connections: connections.max(MIN_CONNECTIONS),
        }
    }
}

/// Timeouts of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionTimeouts {
    /// Time to receive a request head, from its first byte.
    pub header: Duration,
    /// Time between two requests, and time without progress while a body is received.
    pub idle: Duration,
}

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CloseCause {
    /// Too many connections are open.
    ConnectionLimit,
    /// The buffers of all connections exceed their budget.
    ByteBudget,
    /// A head was not received in time.
    HeadTimeout,
    /// No request arrived in time.
    IdleTimeout,
    /// A body made no progress.
    BodyStalled,
    /// A head exceeds its limit.
    HeadTooLarge,
    /// A body exceeds its limit.
    BodyTooLarge,
}

/// How a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseAction {
    /// Closed at once; the ledger has already removed it.
    Close,
    /// The request is refused first; the body's buffer is no longer charged. The connection
    /// stays in the ledger until it is closed.
    Refuse,
}

/// A connection that the ledger selected to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionVictim {
    /// The connection.
    pub connection: ConnectionId,
    /// How it is closed.
    pub action: CloseAction,
    /// Why it is closed; [`None`] for the end of a connection that was already refused.
    pub cause: Option<CloseCause>,
}

#[derive(Clone, Copy, Debug)]
struct OpenConnection {
    phase: ConnectionPhase,
    read_bytes: u64,
    body_bytes: u64,
    last_progress: MonoTime,
    /// When the connection is closed unless it makes progress; [`None`] while it is served.
    deadline: Option<MonoTime>,
    /// Time by which progress extends the deadline; zero if it does not.
    extension: Duration,
    /// The request was refused; the connection only waits for its response to be sent.
    is_refused: bool,
}

/// Position in the order in which connections are selected: idle ones first, then by the time
/// of the last progress, then by the bytes held.
type VictimRank = (bool, MonoTime, Reverse<u64>, ConnectionId);

impl OpenConnection {
    fn bytes(&self) -> u64 {
        self.read_bytes + self.body_bytes
    }

    /// Returns the connection's rank, or [`None`] if it must not be selected.
    fn rank(&self, id: ConnectionId) -> Option<VictimRank> {
        let is_active = self.phase != ConnectionPhase::Idle;
        (self.phase != ConnectionPhase::Serving).then_some((
            is_active,
            self.last_progress,
            Reverse(self.bytes()),
            id,
        ))
    }
}

/// Open connections of a listener, and which of them are closed when a budget is exceeded or a
/// deadline has passed.
///
/// Addresses clients that open many connections and never finish their requests: endless or
/// oversized heads, endless empty lines, and many bodies of legal size that stop short of their
/// end. Such a client is silent for longer than a caller that is sending its request, so it is
/// selected first. A connection whose request is complete is never selected, because the
/// request may already have taken effect.
#[derive(Debug)]
pub struct ConnectionLedger {
    budget: ConnectionBudget,
    connections: BTreeMap<ConnectionId, OpenConnection>,
    ranks: BTreeSet<VictimRank>,
    bytes: u64,
}

impl ConnectionLedger {
    /// Creates a ledger without connections.
    pub fn new(budget: ConnectionBudget) -> Self {
        Self {
            budget,
            connections: BTreeMap::new(),
            ranks: BTreeSet::new(),
            bytes: 0,
        }
    }

    /// Returns the memory of all buffers.
    pub fn memory(&self) -> MemorySize {
        MemorySize::new(self.bytes)
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.connections.len()
    }

    /// Returns the phase of a connection, or [`None`] if it is not open.
    pub fn phase(&self, id: ConnectionId) -> Option<ConnectionPhase> {
        self.connections.get(&id).map(|connection| connection.phase)
    }

    /// Adds an idle connection. Returns the connections to close, among which is the new one
    /// if no other can be closed.
    ///
    /// Addresses floods of connections.
    pub fn open(
        &mut self,
        id: ConnectionId,
        timeouts: ConnectionTimeouts,
        now: MonoTime,
    ) -> Vec<ConnectionVictim> {
        let connection = OpenConnection {
            phase: ConnectionPhase::Idle,
            read_bytes: 0,
            body_bytes: 0,
            last_progress: now,
            deadline: Some(now.after(timeouts.idle)),
            extension: Duration::ZERO,
            is_refused: false,
        };
        self.insert(id, connection);
        let mut victims = Vec::new();
        while self.connections.len() > self.budget.connections {
            let other = self.ranks.iter().find(|rank| rank.3 != id);
            let victim = other.map_or(id, |rank| rank.3);
            self.close(victim);
            victims.push(ConnectionVictim {
                connection: victim,
                action: CloseAction::Close,
                cause: Some(CloseCause::ConnectionLimit),
            });
        }
        victims
    }

    /// Removes a connection that is closed.
    pub fn close(&mut self, id: ConnectionId) {
        self.remove(id);
    }

    /// Records that a connection begins a phase.
    pub fn begin(
        &mut self,
        id: ConnectionId,
        phase: ConnectionPhase,
        timeouts: ConnectionTimeouts,
        now: MonoTime,
    ) {
        self.change(id, |connection| {
            if connection.is_refused {
                return;
            }
            connection.phase = phase;
            connection.last_progress = now;
            (connection.deadline, connection.extension) = match phase {
                ConnectionPhase::Idle => (Some(now.after(timeouts.idle)), Duration::ZERO),
                ConnectionPhase::Head => (Some(now.after(timeouts.header)), Duration::ZERO),
                ConnectionPhase::Body => (Some(now.after(timeouts.idle)), timeouts.idle),
                ConnectionPhase::Serving => (None, Duration::ZERO),
            };
        });
    }

    /// Records that the request of a connection was refused: the connection is closed at
    /// `deadline` at the latest, and its body's buffer is no longer charged. The deadline of an
    /// earlier refusal stays.
    pub fn refuse(&mut self, id: ConnectionId, deadline: MonoTime) {
        self.change(id, |connection| {
            connection.phase = ConnectionPhase::Idle;
            connection.body_bytes = 0;
            if !connection.is_refused {
                connection.deadline = Some(deadline);
            }
            connection.extension = Duration::ZERO;
            connection.is_refused = true;
        });
    }

    /// Records that bytes of a connection were received.
    pub fn record_progress(&mut self, id: ConnectionId, now: MonoTime) {
        self.change(id, |connection| {
            connection.last_progress = now;
            if !connection.extension.is_zero() {
                connection.deadline = Some(now.after(connection.extension));
            }
        });
    }

    /// Sets the size of a connection's buffer. Returns the connections to close or refuse,
    /// among which is this one if the others hold too little.
    ///
    /// `refusal_deadline` is when a connection that is refused is closed at the latest.
    ///
    /// Addresses many bodies that together exceed the memory, sent whole or stopping short of
    /// their end.
    pub fn charge(
        &mut self,
        id: ConnectionId,
        buffer: ConnectionBuffer,
        size: MemorySize,
        refusal_deadline: MonoTime,
    ) -> Vec<ConnectionVictim> {
        let size = size.as_bytes();
        let is_larger = self.change(id, |connection| {
            let field = match buffer {
                ConnectionBuffer::Read => &mut connection.read_bytes,
                ConnectionBuffer::Body => &mut connection.body_bytes,
            };
            let is_larger = size > *field;
            *field = size;
            is_larger
        });
        let mut victims = Vec::new();
        if is_larger != Some(true) {
            return victims;
        }
        while self.bytes > self.budget.memory.as_bytes() {
            let holds_bytes = |rank: &&VictimRank| rank.2.0 > 0 && rank.3 != id;
            let other = self.ranks.iter().find(holds_bytes);
            let victim = other.map_or(id, |rank| rank.3);
            victims.push(self.evict(victim, CloseCause::ByteBudget, refusal_deadline));
            if victim == id {
                break;
            }
        }
        victims
    }

    /// Returns the connections whose deadline has passed.
    ///
    /// Addresses heads that never end and bodies that stop short of their end.
    pub fn take_overdue(
        &mut self,
        now: MonoTime,
        refusal_deadline: MonoTime,
    ) -> Vec<ConnectionVictim> {
        let is_overdue =
            |connection: &OpenConnection| connection.deadline.is_some_and(|at| at <= now);
        let overdue: Vec<(ConnectionId, ConnectionPhase)> = self
            .connections
            .iter()
            .filter(|(_, connection)| is_overdue(connection))
            .map(|(id, connection)| (*id, connection.phase))
            .collect();
        let cause = |phase| match phase {
            ConnectionPhase::Head => CloseCause::HeadTimeout,
            ConnectionPhase::Body => CloseCause::BodyStalled,
            ConnectionPhase::Idle | ConnectionPhase::Serving => CloseCause::IdleTimeout,
        };
        overdue
            .into_iter()
            .map(|(id, phase)| self.evict(id, cause(phase), refusal_deadline))
            .collect()
    }

    /// Closes a connection, or refuses its request if a body is being received.
    fn evict(
        &mut self,
        id: ConnectionId,
        cause: CloseCause,
        refusal_deadline: MonoTime,
    ) -> ConnectionVictim {
        let connection = self.connections.get(&id);
        let is_body = connection.is_some_and(|it| it.phase == ConnectionPhase::Body);
        let was_refused = connection.is_some_and(|it| it.is_refused);
        let action = if is_body {
            self.refuse(id, refusal_deadline);
            // The read buffer stays until the connection is closed, but it is about to be.
            self.change(id, |connection| connection.read_bytes = 0);
            CloseAction::Refuse
        } else {
            self.close(id);
            CloseAction::Close
        };
        ConnectionVictim {
            connection: id,
            action,
            cause: (!was_refused).then_some(cause),
        }
    }

    fn insert(&mut self, id: ConnectionId, connection: OpenConnection) {
        self.ranks.extend(connection.rank(id));
        self.bytes += connection.bytes();
        self.connections.insert(id, connection);
    }

    fn remove(&mut self, id: ConnectionId) -> Option<OpenConnection> {
        let connection = self.connections.remove(&id)?;
        if let Some(rank) = connection.rank(id) {
            self.ranks.remove(&rank);
        }
        self.bytes -= connection.bytes();
        Some(connection)
    }

    /// Changes a connection and its rank; returns [`None`] if it is not open.
    fn change<T>(
        &mut self,
        id: ConnectionId,
        change: impl FnOnce(&mut OpenConnection) -> T,
    ) -> Option<T> {
        let connection = self.connections.get_mut(&id)?;
        let earlier_rank = connection.rank(id);
        let earlier_bytes = connection.bytes();
        let result = change(connection);
        let rank = connection.rank(id);
        self.bytes = self.bytes - earlier_bytes + connection.bytes();
        if rank != earlier_rank {
            if let Some(rank) = earlier_rank {
                self.ranks.remove(&rank);
            }
            self.ranks.extend(rank);
        }
        Some(result)
    }
}
