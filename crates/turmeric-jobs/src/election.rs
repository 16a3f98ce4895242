//! Leader election: which entry takes over the leadership, and when.
//!
//! Load pattern: dozens of entries with different numbers of processors poll one row.
//! When the leader fails, the entry that polls first may well be too weak to serve the
//! whole fleet. If every entry tries a conditional write, these writes queue ahead of
//! the winner's first write, for seconds when the store is slow. So entries with
//! fewer processors than an earlier leader wait for the others, entries with equal
//! processors spread their attempts over a window that grows with the response time of
//! the store, and a much weaker leader is replaced.

use std::time::Duration;

use turmeric_types::{CoreCount, MonoTime};

/// A leader whose row has not changed for this long is replaced. A leader writes every
/// 700 ms, and a write takes 0.25 s when the store is slow.
const SILENCE_LIMIT: Duration = Duration::from_millis(2200);

/// Observations further apart than this don't show whether the leader was active between
/// them.
const OBSERVATION_GAP: Duration = Duration::from_millis(1200);

/// Time that a leader has after such a gap to write its row before it is replaced.
const RECOVERY_LIMIT: Duration = Duration::from_millis(1300);

/// Window over which equal entries spread their takeover attempts, as a multiple of the
/// time that a read of the row takes.
const WINDOW_READS: u32 = 16;

/// Shortest and longest takeover window.
const WINDOW_BOUNDS: (Duration, Duration) = (Duration::from_millis(60), Duration::from_secs(3));

/// Head start of entries with at least as many processors as any earlier leader.
const HEAD_START: Duration = Duration::from_millis(700);

/// An entry counts as weak compared to one that has more than this many processors, in
/// percent of its own.
const WEAK_PERCENT: u64 = 150;

/// An entry replaces a much weaker leader after following for this long.
const UPGRADE_DELAY: Duration = Duration::from_millis(1500);

/// No leader reaches a higher epoch; another program wrote such a row.
pub const EPOCH_LIMIT: u64 = 1 << 53;

/// State of the leader's row, as read by a follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaderObservation {
    /// Version of the row.
    pub version: u64,
    /// The holder has released the leadership.
    pub is_released: bool,
    /// The holder is an earlier incarnation of the reading process.
    pub is_own: bool,
    /// Processors of the holder's VM.
    pub holder: CoreCount,
    /// Largest number of processors of any entry that has led.
    pub strongest: CoreCount,
}

/// Reason for which the leadership may be taken over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakeoverCause {
    /// No entry has led yet.
    Unclaimed,
    /// The holder released the leadership.
    Released,
    /// The holder was an earlier incarnation of this process.
    OwnEarlierLife,
    /// The holder has not written for too long.
    Silent,
    /// The holder has far fewer processors.
    WeakHolder,
}

/// What a follower does after it has read the leader's row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ElectionStep {
    /// Another entry leads.
    Follow,
    /// The row may be taken over, but other entries go first; read it again at this time.
    WaitUntil(MonoTime),
    /// Take over the leadership now.
    TakeOver(TakeoverCause),
}

/// Observes the leader's row for one follower and decides when it takes over.
#[derive(Clone, Debug)]
pub struct ElectionMonitor {
    own: CoreCount,
    /// This entry's position in the takeover window, in thousandths.
    position_permille: u32,
    started_at: Option<MonoTime>,
    observed_at: Option<MonoTime>,
    /// Version last read, and when it was first read.
    seen: Option<(u64, MonoTime)>,
    /// Version last read, and the time since which it counts as unchanged.
    last_version: Option<(u64, MonoTime)>,
    /// Version and cause of the planned takeover, and when this entry attempts it.
    due: Option<(u64, TakeoverCause, MonoTime)>,
}

impl ElectionMonitor {
    /// Creates the monitor of an entry with `own` processors. `position_permille` is its
    /// position among entries with equal processors, below 1,000.
    pub fn new(own: CoreCount, position_permille: u32) -> Self {
        Self {
            own,
            position_permille,
            started_at: None,
            observed_at: None,
            seen: None,
            last_version: None,
            due: None,
        }
    }

    /// Handles a read of the row that took `read_duration`; [`None`] if there is no row.
    pub fn observe(
        &mut self,
        observation: Option<LeaderObservation>,
        read_duration: Duration,
        now: MonoTime,
    ) -> ElectionStep {
        self.started_at.get_or_insert(now);
        let version = observation.map_or(0, |observation| observation.version);
        if self.seen.is_none_or(|(known, _)| known != version) {
            self.seen = Some((version, now));
        }
        let gap = self.observed_at.map(|observed_at| now.since(observed_at));
        self.observed_at = Some(now);
        let cause = match observation {
            None => Some(TakeoverCause::Unclaimed),
            Some(observation) => self.takeover_cause(observation, gap, now),
        };
        let Some(cause) = cause else {
            self.due = None;
            return ElectionStep::Follow;
        };
        let due = match self.due {
            Some((last_version, known, due)) if last_version == version && known == cause => due,
            _ => now.after(self.delay(cause, observation, read_duration)),
        };
        self.due = Some((version, cause, due));
        if now >= due {
            ElectionStep::TakeOver(cause)
        } else {
            ElectionStep::WaitUntil(due)
        }
    }

    /// Returns when the row was first read with `version`, if that is the last one read.
    pub fn seen_at(&self, version: u64) -> Option<MonoTime> {
        let (known, seen_at) = self.seen?;
        (known == version).then_some(seen_at)
    }

    fn takeover_cause(
        &mut self,
        observation: LeaderObservation,
        gap: Option<Duration>,
        now: MonoTime,
    ) -> Option<TakeoverCause> {
        let mut unchanged_since = match self.last_version {
            Some((version, unchanged_since)) if version == observation.version => unchanged_since,
            _ => now,
        };
        // During an outage of the store the leader could not write either.
        if gap.is_some_and(|gap| gap > OBSERVATION_GAP) {
            unchanged_since =
                unchanged_since.max(now.before(SILENCE_LIMIT.saturating_sub(RECOVERY_LIMIT)));
        }
        self.last_version = Some((observation.version, unchanged_since));
        if observation.is_released {
            Some(TakeoverCause::Released)
        } else if observation.is_own {
            Some(TakeoverCause::OwnEarlierLife)
        } else if now.since(unchanged_since) > SILENCE_LIMIT {
            Some(TakeoverCause::Silent)
        } else if self.is_upgrade(observation, now) {
            Some(TakeoverCause::WeakHolder)
        } else {
            None
        }
    }

    fn is_upgrade(&self, observation: LeaderObservation, now: MonoTime) -> bool {
        let has_followed = self
            .started_at
            .is_some_and(|started_at| now.since(started_at) >= UPGRADE_DELAY);
        has_followed && is_weak(observation.holder, self.own)
    }

    /// Returns how long this entry waits for others to take over first.
    fn delay(
        &self,
        cause: TakeoverCause,
        observation: Option<LeaderObservation>,
        read_duration: Duration,
    ) -> Duration {
        if cause == TakeoverCause::OwnEarlierLife {
            return Duration::ZERO;
        }
        let (least, most) = WINDOW_BOUNDS;
        let window = (read_duration * WINDOW_READS).clamp(least, most);
        let offset = window * self.position_permille / 1000;
        let is_weak =
            observation.is_some_and(|observation| is_weak(self.own, observation.strongest));
        if is_weak {
            HEAD_START + window + offset
        } else {
            offset
        }
    }
}

fn is_weak(entry: CoreCount, other: CoreCount) -> bool {
    entry.as_millicores().saturating_mul(WEAK_PERCENT) / 100 < other.as_millicores()
}

/// Returns the epoch of the next leader, after the epochs of the leader's row and of the last
/// announcement of a leader; either is zero if there is none that can be read.
///
/// Agents reject an epoch that is lower than one that they know.
pub fn next_epoch(recorded: u64, announced: u64) -> u64 {
    let valid = [recorded, announced]
        .into_iter()
        .filter(|epoch| *epoch <= EPOCH_LIMIT);
    valid.max().unwrap_or_default() + 1
}
