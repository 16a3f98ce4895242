//! Which tasks are to blame for the crash of an endpoint.
//!
//! Load pattern: one task crashes each endpoint that starts it, within milliseconds. What runs
//! beside it is lost with the endpoint, time and again, and looks no different at first. What
//! was started last before a crash is suspected, and is started alone the next time; a second
//! crash then tells whether it is to blame. A task that had been running for a while when its
//! endpoint crashed is hardly to blame, and only many such crashes count.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::{AttemptKey, AttemptNumber};

/// An attempt that was started at most this long before a crash may have caused it.
pub const BLAME_WINDOW: Duration = Duration::from_millis(1000);

/// Attempts that were started at most this long before the last one share the blame with it:
/// orders to one VM arrive in any order, and a crash follows its cause at some distance.
pub const SHARED_WINDOW: Duration = Duration::from_millis(200);

/// Crashes after which a task is given up if it was started alone before the last one. The
/// platform allows to give up a task after two.
const ALONE_CRASH_LIMIT: usize = 2;

/// Crashes after which a task is given up in any case. The platform forbids a third start
/// after three crashes; one of the two allowed is left for a crash that the leader never
/// learned of.
const CRASH_LIMIT: usize = 4;

/// How likely it is that an attempt caused the crash of its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashEvidence {
    /// It was started last before the crash, and no other within [`SHARED_WINDOW`] of it.
    Alone,
    /// It was one of several attempts that were started last.
    Shared,
    /// It was started earlier, or its start is unknown.
    Unclear,
}

/// Weighs the attempts that a crash ended. For each, the time from its start to the crash is
/// given if it is known.
pub fn weigh_crash(
    ages: &BTreeMap<AttemptKey, Option<Duration>>,
) -> BTreeMap<AttemptKey, CrashEvidence> {
    let recent = ages.values().flatten().filter(|age| **age <= BLAME_WINDOW);
    let oldest = recent.min().map(|youngest| *youngest + SHARED_WINDOW);
    let is_last = |age: &Option<Duration>| age.is_some_and(|age| Some(age) <= oldest);
    let last_count = ages.values().filter(|age| is_last(age)).count();
    let weigh = |age: &Option<Duration>| match (is_last(age), last_count) {
        (true, 1) => CrashEvidence::Alone,
        (true, _) => CrashEvidence::Shared,
        (false, _) => CrashEvidence::Unclear,
    };
    ages.iter().map(|(key, age)| (*key, weigh(age))).collect()
}

/// What follows from a crash for one of the tasks that it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashVerdict {
    /// The crash was counted before.
    Known,
    /// The task is started again.
    Retry,
    /// The task is given up, and its job fails.
    GiveUp,
}

/// The crashes of endpoints under the attempts of a task.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CrashRecord {
    /// Attempts during which the endpoint crashed. A set, because a crash may be reported
    /// more than once.
    pub attempts: BTreeSet<AttemptNumber>,
    /// The task may have caused one of the crashes, so that it is started alone on a VM.
    pub is_suspect: bool,
}

impl CrashRecord {
    /// Counts a crash during an attempt.
    pub fn record(&mut self, attempt: AttemptNumber, evidence: CrashEvidence) -> CrashVerdict {
        if !self.attempts.insert(attempt) {
            return CrashVerdict::Known;
        }
        let was_suspect = self.is_suspect;
        let count = self.attempts.len();
        self.is_suspect |= evidence != CrashEvidence::Unclear || count >= ALONE_CRASH_LIMIT;
        let is_proven =
            was_suspect && evidence == CrashEvidence::Alone && count >= ALONE_CRASH_LIMIT;
        if is_proven || count >= CRASH_LIMIT {
            CrashVerdict::GiveUp
        } else {
            CrashVerdict::Retry
        }
    }

    /// Takes a crash back for which another task turned out to be to blame.
    ///
    /// Returns whether it had been counted.
    pub fn forgive(&mut self, attempt: AttemptNumber) -> bool {
        self.attempts.remove(&attempt)
    }
}
