//! Decides which heartbeats describe the endpoint.
//!
//! Another program may send odd heartbeats, and a heartbeat of an earlier incarnation may
//! arrive late. The worker itself knows its incarnation, so only its answers replace the known
//! one. Within an incarnation, a heartbeat that does not continue the earlier ones counts only
//! once the next one continues it.

use super::AttemptTable;
use crate::{EndpointIncarnation, EndpointInfo};
use turmeric_types::ResourceSet;

/// Largest step between the numbers of two heartbeats, some of which may be lost or delayed.
const STEP_LIMIT: u64 = 100;

/// What became of a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatVerdict {
    /// It is the first heartbeat of any endpoint.
    Registered,
    /// It describes the known incarnation.
    Applied,
    /// It is older than one that was applied.
    Late,
    /// It names another incarnation, which holds once the worker confirms it.
    Unconfirmed {
        /// No earlier heartbeat that still waits for the worker names this incarnation.
        is_first: bool,
    },
    /// It does not fit the earlier heartbeats, and holds only if the next one continues it.
    Odd {
        /// What is odd about it.
        reason: &'static str,
    },
}

/// Heartbeats of one incarnation, each of which continues the last.
#[derive(Clone, Debug)]
pub(super) struct HeartbeatRun {
    service: String,
    last: u64,
    /// It has more than one heartbeat.
    is_continued: bool,
}

impl HeartbeatRun {
    fn new(service: &str, number: u64) -> Self {
        Self {
            service: service.to_owned(),
            last: number,
            is_continued: false,
        }
    }

    /// Returns whether a heartbeat is the next one. The service of an incarnation is fixed.
    fn is_continued_by(&self, service: &str, number: u64) -> bool {
        let step = number.saturating_sub(self.last);
        service == self.service && (1..=STEP_LIMIT).contains(&step)
    }

    /// Returns whether a heartbeat was delayed. A single one says nothing of those before it.
    fn has_passed(&self, service: &str, number: u64) -> bool {
        let is_near = number <= self.last && self.last - number <= STEP_LIMIT;
        service == self.service && is_near && (self.is_continued || number == self.last)
    }
}

/// An incarnation that heartbeats name and the worker has not confirmed.
#[derive(Clone, Debug)]
pub(super) struct EndpointCandidate {
    info: EndpointInfo,
    number: u64,
    /// Change counter when the first heartbeat arrived.
    named_at: u64,
}

impl AttemptTable {
    /// Handles a heartbeat with its number in its incarnation.
    pub fn handle_heartbeat(&mut self, info: EndpointInfo, number: u64) -> HeartbeatVerdict {
        let Some(known) = &self.endpoint_info else {
            self.begin_incarnation(info, Some(number));
            return HeartbeatVerdict::Registered;
        };
        if info.incarnation != known.incarnation {
            return self.add_candidate(info, number);
        }
        let is_continued = |run: &HeartbeatRun| run.is_continued_by(&info.service, number);
        // An announced end stays announced, unless a single odd heartbeat announced it.
        let mut was_draining = known.is_draining;
        match &mut self.heartbeats {
            None => {
                was_draining = false;
                self.heartbeats = Some(HeartbeatRun::new(&info.service, number));
            }
            Some(run) if is_continued(run) => {
                if run.is_continued {
                    self.outlier = None;
                }
                run.last = number;
                run.is_continued = true;
            }
            Some(run) if run.has_passed(&info.service, number) => return HeartbeatVerdict::Late,
            Some(run) if self.outlier.as_ref().is_some_and(is_continued) => {
                was_draining &= run.is_continued;
                run.clone_from(&HeartbeatRun::new(&info.service, number));
                run.is_continued = true;
                self.outlier = None;
            }
            Some(run) => {
                let reason = if run.service == info.service {
                    "the number is out of sequence"
                } else {
                    "the service has changed"
                };
                self.outlier = Some(HeartbeatRun::new(&info.service, number));
                return HeartbeatVerdict::Odd { reason };
            }
        }
        // An endpoint that sends heartbeats has not left.
        self.has_departed = false;
        self.endpoint_info = Some(EndpointInfo {
            is_draining: info.is_draining || was_draining,
            ..info
        });
        HeartbeatVerdict::Applied
    }

    fn add_candidate(&mut self, info: EndpointInfo, number: u64) -> HeartbeatVerdict {
        let is_stated = |incarnation: &EndpointIncarnation| incarnation.started_at_millis > 0;
        if self.incarnation().is_some_and(is_stated) && !is_stated(&info.incarnation) {
            let reason = "the start of the incarnation is missing";
            return HeartbeatVerdict::Odd { reason };
        }
        let earlier = self.candidate.take();
        let earlier = earlier.filter(|earlier| earlier.info.incarnation == info.incarnation);
        let is_first = earlier.is_none();
        let named_at = earlier.map_or_else(
            || {
                self.changes += 1;
                self.changes
            },
            |earlier| earlier.named_at,
        );
        self.candidate = Some(EndpointCandidate {
            info,
            number,
            named_at,
        });
        HeartbeatVerdict::Unconfirmed { is_first }
    }

    /// Returns whether a heartbeat names a later incarnation of the endpoint that the worker has
    /// not confirmed. A start for the known one could be carried out there under a lease that
    /// this agent does not count.
    pub(super) fn may_have_restarted(&self) -> bool {
        let (Some(known), Some(candidate)) = (self.incarnation(), &self.candidate) else {
            return false;
        };
        let named = &candidate.info.incarnation;
        named.endpoint == known.endpoint && named.started_at_millis > known.started_at_millis
    }

    /// Handles the incarnation that an answer of the worker states, to a call to the known
    /// endpoint that was sent when [`Self::list_mark`] returned `mark`; zero if it states none.
    ///
    /// Returns whether a new incarnation began, of which nothing is known yet.
    pub fn confirm_incarnation(&mut self, mark: u64, started_at_millis: u64) -> bool {
        let Some(known) = &self.endpoint_info else {
            return false;
        };
        let candidate = self.candidate.take();
        let known_start = known.incarnation.started_at_millis;
        if started_at_millis == known_start || started_at_millis == 0 {
            let is_later = |candidate: &EndpointCandidate| {
                let named = &candidate.info.incarnation;
                named.endpoint == known.incarnation.endpoint
                    && named.started_at_millis > known_start
            };
            return match candidate {
                // The answer may be older than the other incarnation.
                Some(candidate) if candidate.named_at > mark => {
                    self.candidate = Some(candidate);
                    false
                }
                // A worker that does not state its start cannot confirm a heartbeat.
                Some(candidate) if started_at_millis == 0 && is_later(&candidate) => {
                    self.begin_incarnation(candidate.info, Some(candidate.number));
                    true
                }
                _ => false,
            };
        }
        let incarnation = EndpointIncarnation {
            started_at_millis,
            ..known.incarnation.clone()
        };
        match candidate.filter(|candidate| candidate.info.incarnation == incarnation) {
            Some(candidate) => self.begin_incarnation(candidate.info, Some(candidate.number)),
            None => {
                let info = EndpointInfo {
                    incarnation,
                    // What it has now is not known before its first heartbeat.
                    capacity: ResourceSet::default(),
                    labels: Vec::new(),
                    ..known.clone()
                };
                self.begin_incarnation(info, None);
            }
        }
        true
    }

    /// Handles the answer that another endpoint now has the worker's address.
    ///
    /// Returns whether a new incarnation began, of which nothing is known yet.
    pub fn refute_endpoint(&mut self) -> bool {
        self.is_synced = false;
        let Some(known) = self.incarnation() else {
            return false;
        };
        let endpoint = known.endpoint.clone();
        let candidate = self.candidate.take();
        match candidate.filter(|candidate| candidate.info.incarnation.endpoint != endpoint) {
            Some(candidate) => {
                self.begin_incarnation(candidate.info, Some(candidate.number));
                true
            }
            None => false,
        }
    }

    fn begin_incarnation(&mut self, info: EndpointInfo, number: Option<u64>) {
        self.record_crash();
        self.reset_incarnation();
        self.expects_stale_attempts = self.endpoint_info.is_some();
        self.heartbeats = number.map(|number| HeartbeatRun::new(&info.service, number));
        self.outlier = None;
        self.candidate = None;
        self.endpoint_info = Some(info);
    }
}
