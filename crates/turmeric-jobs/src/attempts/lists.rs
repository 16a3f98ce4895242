//! Applies the worker's lists of running and ended attempts.

use std::collections::BTreeSet;

use turmeric_types::MonoTime;

use super::tracked::{AttemptPlan, AttemptState, TrackedAttempt};
use super::{AttemptTable, WorkerLists};
use crate::{AttemptKey, AttemptStatus};

impl AttemptTable {
    /// Returns the number of changes so far, which marks the state that a request for the
    /// worker's lists is sent in; pass it to [`Self::apply_lists`] with the answer.
    pub fn list_mark(&self) -> u64 {
        self.changes
    }

    /// Applies lists of the current incarnation that were requested when [`Self::list_mark`]
    /// returned `mark`.
    ///
    /// Returns whether something changed that must be reported to the leader.
    pub fn apply_lists(&mut self, mark: u64, lists: WorkerLists) -> bool {
        let mut has_changes = false;
        for end in lists.ends {
            if end.number <= self.recorded_end || self.ends.contains_key(&end.number) {
                continue;
            }
            self.attempts.remove(&end.key);
            self.refused.remove(&end.key);
            self.ends.insert(end.number, end);
            has_changes = true;
        }
        self.has_more_ends = lists.has_more_ends;
        let listed: BTreeSet<AttemptKey> = lists.running.iter().map(|status| status.key).collect();
        for status in lists.running {
            has_changes |= self.apply_status(status);
        }
        for attempt in self.attempts.values_mut() {
            attempt.unanswered_at = attempt.unanswered_at.filter(|at| mark < *at);
        }
        self.expects_stale_attempts = false;
        if self.has_more_ends {
            self.mark_unlisted(mark, &listed);
            return has_changes;
        }
        has_changes | self.drop_unlisted(mark, &listed)
    }

    /// Marks the attempts that an incomplete list requested at `mark` does not show.
    ///
    /// Load pattern: the store is away while hundreds of tasks end at one worker. Ends are
    /// acknowledged once the store holds them, and a worker lists only the first ones that are not
    /// acknowledged. An attempt that is missing from the lists may have succeeded.
    fn mark_unlisted(&mut self, mark: u64, listed: &BTreeSet<AttemptKey>) {
        for (key, attempt) in &mut self.attempts {
            attempt.is_unlisted = attempt.was_sent
                && attempt.state != AttemptState::Starting
                && mark >= attempt.changed_at
                && !listed.contains(key);
            attempt.status.is_confirmed &= !attempt.is_unlisted;
        }
    }

    fn apply_status(&mut self, status: AttemptStatus) -> bool {
        let key = status.key;
        if self.ends.values().any(|end| end.key == key) {
            return false;
        }
        if let Some(attempt) = self.attempts.get_mut(&key) {
            attempt.status = AttemptStatus {
                pace: attempt.status.pace,
                ..status
            };
            attempt.was_sent = true;
            attempt.may_have_run = true;
            if matches!(
                attempt.state,
                AttemptState::StartDue | AttemptState::Starting
            ) {
                attempt.state = AttemptState::Running;
                attempt.changed_at = self.changes;
            }
            return false;
        }
        // The attempt was started by an earlier agent, or by a call carried out late.
        self.refused.remove(&key);
        let attempt = TrackedAttempt {
            state: if self.expects_stale_attempts {
                AttemptState::StopDue
            } else {
                AttemptState::Running
            },
            plan: AttemptPlan::Unknown,
            was_sent: true,
            may_have_run: true,
            awaits_probe: false,
            retry_at: MonoTime::default(),
            unanswered_at: None,
            changed_at: self.changes,
            is_unlisted: false,
            status,
            is_pace_known: false,
        };
        self.attempts.insert(key, attempt);
        true
    }

    /// Drops or stops attempts that a list requested at `mark` should contain but doesn't.
    ///
    /// Returns whether any attempt was dropped.
    fn drop_unlisted(&mut self, mark: u64, listed: &BTreeSet<AttemptKey>) -> bool {
        let mut terminated = Vec::new();
        for (key, attempt) in &mut self.attempts {
            attempt.is_unlisted = false;
            if listed.contains(key) {
                continue;
            }
            match attempt.state {
                AttemptState::Stopped { mark: stopped } if mark >= stopped => terminated.push(*key),
                // An attempt that is missing is stopped, so that it can't start again.
                AttemptState::Running if mark >= attempt.changed_at && attempt.changed_at > 0 => {
                    attempt.state = AttemptState::StopDue;
                }
                _ => {}
            }
        }
        for key in &terminated {
            self.attempts.remove(key);
            self.refused.insert(*key);
        }
        !terminated.is_empty()
    }
}
