//! Which tasks are to blame for the crash of an endpoint.
//!
//! Load pattern: one task crashes each endpoint that starts it, within milliseconds. What runs
//! beside it is lost with the endpoint, time and again, and looks no different at first. What
//! was started last before a crash is suspected, and is started alone the next time; a second
//! crash then tells whether it is to blame. A task that had been running for a while when its
//! endpoint crashed is hardly to blame, and only many such crashes count.
//!
//! Load pattern: endpoints lose power one after the other. Tasks that were
//! ordered there and never ran look like the first pattern, time and again. An order makes a
//! task a suspect; only crashes under attempts that are known to have run prove anything.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::{AttemptKey, AttemptNumber};

/// An attempt that was started at most this long before a crash may have caused it.
pub const ATTRIBUTION_WINDOW: Duration = Duration::from_millis(300);

/// Attempts that were started at most this long before the last one share the blame with it:
/// orders to one VM arrive in any order, and a crash follows its cause at some distance.
pub const SHARED_WINDOW: Duration = Duration::from_millis(200);

/// Certain crashes after which a task is given up if it was started alone before the last one.
/// The platform allows to give up a task after two.
const CERTAIN_CRASH_LIMIT: usize = 2;

/// Possible crashes after which a task is given up in any case. The platform forbids a third
/// start after three crashes; one of the two allowed is left for a crash that the leader never
/// learned of.
const CRASH_LIMIT: usize = 4;

/// Most crashes that are remembered for a task, the last ones.
const RECORD_LIMIT: usize = 32;

/// How likely it is that an attempt caused the crash of its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashEvidence {
    /// No other attempt can have been started as late, within [`SHARED_WINDOW`].
    Alone,
    /// It was one of several attempts that may have been started last.
    Shared,
    /// It had been running for a while.
    Earlier,
    /// The time of its start or of the crash is unknown.
    Unclear,
}

/// When an attempt was started, seen from a crash of its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartTime {
    /// This long before the crash.
    Before(Duration),
    /// At any time before the crash, or never: the worker did not confirm the start.
    Unconfirmed,
    /// Nobody knows; probably long before.
    Unknown,
}

/// Weighs the attempts that a crash ended.
pub fn weigh_crash(
    starts: &BTreeMap<AttemptKey, StartTime>,
) -> BTreeMap<AttemptKey, CrashEvidence> {
    let ages = starts.values().filter_map(|start| match start {
        StartTime::Before(age) if *age <= ATTRIBUTION_WINDOW => Some(*age),
        _ => None,
    });
    let oldest = ages.min().map(|youngest| youngest + SHARED_WINDOW);
    let may_be_last = |start: &StartTime| match start {
        StartTime::Before(age) => Some(*age) <= oldest,
        StartTime::Unconfirmed => true,
        StartTime::Unknown => false,
    };
    let last_count = starts.values().filter(|start| may_be_last(start)).count();
    let weigh = |start: &StartTime| match (may_be_last(start), start) {
        (true, _) if last_count == 1 => CrashEvidence::Alone,
        (true, _) => CrashEvidence::Shared,
        (false, StartTime::Before(_)) => CrashEvidence::Earlier,
        (false, _) => CrashEvidence::Unclear,
    };
    starts
        .iter()
        .map(|(key, start)| (*key, weigh(start)))
        .collect()
}

/// What follows from a crash for one of the tasks that it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashVerdict {
    /// The crash was counted before.
    Known,
    /// The task is started again.
    Retry,
    /// The task counts as failed, and its job with it.
    Fail,
}

/// The crashes of endpoints under the attempts of a task.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CrashRecord {
    /// Attempts during which the endpoint crashed, or may have crashed. A set, because a crash
    /// may be reported more than once.
    pub attempts: BTreeSet<AttemptNumber>,
    /// Those of them that were ordered and are not known to have run as the endpoint crashed.
    pub uncertain: BTreeSet<AttemptNumber>,
    /// The task may have caused one of the crashes, so that it is started alone on a VM.
    pub is_suspect: bool,
}

impl CrashRecord {
    /// Counts a crash during an attempt, which is certain if the attempt is known to have run as
    /// the endpoint crashed.
    ///
    /// The count alone fails no long-running task: such a task is on a VM all the time, so it
    /// loses its VM to other tasks again and again.
    pub fn record(
        &mut self,
        attempt: AttemptNumber,
        evidence: CrashEvidence,
        is_certain: bool,
        is_long_running: bool,
    ) -> CrashVerdict {
        if !self.attempts.insert(attempt) {
            return CrashVerdict::Known;
        }
        if !is_certain {
            self.uncertain.insert(attempt);
        }
        // A long-running task may lose its VM any number of times.
        while self.attempts.len() > RECORD_LIMIT
            && let Some(oldest) = self.attempts.pop_first()
        {
            self.uncertain.remove(&oldest);
        }
        let was_suspect = self.is_suspect;
        let may_be_cause = matches!(evidence, CrashEvidence::Alone | CrashEvidence::Shared);
        self.is_suspect |= may_be_cause;
        let count = self.attempts.len();
        let certain_count = count - self.uncertain.len();
        let is_proven = was_suspect
            && is_certain
            && evidence == CrashEvidence::Alone
            && certain_count >= CERTAIN_CRASH_LIMIT;
        if is_proven || (count >= CRASH_LIMIT && !is_long_running) {
            CrashVerdict::Fail
        } else {
            CrashVerdict::Retry
        }
    }

    /// Takes a crash back for which another task turned out to be to blame.
    ///
    /// Returns whether it had been counted.
    pub fn discount(&mut self, attempt: AttemptNumber) -> bool {
        self.uncertain.remove(&attempt);
        self.attempts.remove(&attempt)
    }
}
