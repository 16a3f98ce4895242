//! Which entry takes over the lead, and when.
//!
//! Load pattern: dozens of entries of unequal processors watch one row. When the
//! leader is lost, the entry whose poll comes first is as likely a weak one that
//! then cannot carry the fleet; a conditional write by each of them queues ahead
//! of the first write of the one that won, for seconds when the store is slow. So
//! entries with less processor than has led before wait for the others, entries
//! of equal processor spread their tries over a window that grows with the time
//! the store takes, and a much weaker leader is replaced.

use std::time::Duration;

use turmeric_types::{CoreCount, MonoTime};

/// A leader whose row has not moved for this long is replaced; it writes every
/// 700 ms, and one write takes 0.25 s when the store is slow.
const SILENCE_LIMIT: Duration = Duration::from_millis(2200);

/// Readings further apart than this say nothing about the time between them.
const READING_GAP: Duration = Duration::from_millis(1200);

/// What a leader gets after such a gap until its row counts as silent.
const REGAINED_LIMIT: Duration = Duration::from_millis(1300);

/// The window over which equal entries spread their tries, as a multiple of the
/// time of a reading.
const WINDOW_READINGS: u32 = 16;

/// Shortest and longest window.
const WINDOW_BOUNDS: (Duration, Duration) = (Duration::from_millis(60), Duration::from_secs(3));

/// Head start of entries with as much processor as has led before.
const HEAD_START: Duration = Duration::from_millis(700);

/// An entry counts as weak next to one with this share more processor, in
/// percent of its own.
const WEAK_PERCENT: u64 = 150;

/// A much weaker leader is replaced by an entry that has followed it for this
/// long.
const UPGRADE_TERM: Duration = Duration::from_millis(1500);

/// The leader's row, as a follower reads it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaderObservation {
    /// Version of the row.
    pub version: u64,
    /// The holder has given the lead up.
    pub is_released: bool,
    /// An earlier life of the reading process holds it.
    pub is_own: bool,
    /// Processor of the holder's VM.
    pub holder: CoreCount,
    /// Most processor of any entry that has led.
    pub strongest: CoreCount,
}

/// Why the row may be taken over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakeoverCause {
    /// Nobody has led yet.
    Unclaimed,
    /// The holder gave the lead up.
    Released,
    /// An earlier life of this process held it.
    OwnEarlierLife,
    /// The holder has not written for too long.
    Silent,
    /// The holder has much less processor.
    WeakHolder,
}

/// What a follower does after a reading.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ElectionStep {
    /// Another entry leads.
    Follow,
    /// The row is vacant, and others go first; read it again at this time.
    WaitUntil(MonoTime),
    /// Take the row over now.
    TakeOver(TakeoverCause),
}

/// A follower's view of the leader's row.
#[derive(Clone, Debug)]
pub struct ElectionMonitor {
    own: CoreCount,
    /// This entry's place in the window, in thousandths.
    place_permille: u32,
    began_at: Option<MonoTime>,
    read_at: Option<MonoTime>,
    /// Version last read, and since when it stands.
    seen: Option<(u64, MonoTime)>,
    /// When this entry tries, and for which version and cause.
    due: Option<(u64, TakeoverCause, MonoTime)>,
}

impl ElectionMonitor {
    /// Creates the watch of an entry with `own` processor; `place_permille` is
    /// its place among equals, below 1,000.
    pub fn new(own: CoreCount, place_permille: u32) -> Self {
        Self {
            own,
            place_permille,
            began_at: None,
            read_at: None,
            seen: None,
            due: None,
        }
    }

    /// Takes in a reading of the row that took `term`; [`None`] stands for no row.
    pub fn take_reading(
        &mut self,
        reading: Option<LeaderObservation>,
        term: Duration,
        now: MonoTime,
    ) -> ElectionStep {
        self.began_at.get_or_insert(now);
        let gap = self.read_at.map(|read_at| now.since(read_at));
        self.read_at = Some(now);
        let cause = match reading {
            None => Some(TakeoverCause::Unclaimed),
            Some(reading) => self.vacancy(reading, gap, now),
        };
        let Some(cause) = cause else {
            self.due = None;
            return ElectionStep::Follow;
        };
        let version = reading.map_or(0, |reading| reading.version);
        let due = match self.due {
            Some((seen, known, due)) if seen == version && known == cause => due,
            _ => now.after(self.delay(cause, reading, term)),
        };
        self.due = Some((version, cause, due));
        if now >= due {
            ElectionStep::TakeOver(cause)
        } else {
            ElectionStep::WaitUntil(due)
        }
    }

    fn vacancy(
        &mut self,
        reading: LeaderObservation,
        gap: Option<Duration>,
        now: MonoTime,
    ) -> Option<TakeoverCause> {
        let mut since = match self.seen {
            Some((version, since)) if version == reading.version => since,
            _ => now,
        };
        // While the store answered nobody, the leader could not write either.
        if gap.is_some_and(|gap| gap > READING_GAP) {
            since = since.max(now.before(SILENCE_LIMIT.saturating_sub(REGAINED_LIMIT)));
        }
        self.seen = Some((reading.version, since));
        if reading.is_released {
            Some(TakeoverCause::Released)
        } else if reading.is_own {
            Some(TakeoverCause::OwnEarlierLife)
        } else if now.since(since) > SILENCE_LIMIT {
            Some(TakeoverCause::Silent)
        } else if self.is_upgrade(reading, now) {
            Some(TakeoverCause::WeakHolder)
        } else {
            None
        }
    }

    fn is_upgrade(&self, reading: LeaderObservation, now: MonoTime) -> bool {
        let has_followed = self
            .began_at
            .is_some_and(|began_at| now.since(began_at) >= UPGRADE_TERM);
        has_followed && is_weak(reading.holder, self.own)
    }

    /// Returns how long this entry lets others go first.
    fn delay(
        &self,
        cause: TakeoverCause,
        reading: Option<LeaderObservation>,
        term: Duration,
    ) -> Duration {
        if cause == TakeoverCause::OwnEarlierLife {
            return Duration::ZERO;
        }
        let (least, most) = WINDOW_BOUNDS;
        let window = (term * WINDOW_READINGS).clamp(least, most);
        let place = window * self.place_permille / 1000;
        let is_weak = reading.is_some_and(|reading| is_weak(self.own, reading.strongest));
        if is_weak {
            HEAD_START + window + place
        } else {
            place
        }
    }
}

fn is_weak(one: CoreCount, other: CoreCount) -> bool {
    one.as_millicores() * WEAK_PERCENT / 100 < other.as_millicores()
}
