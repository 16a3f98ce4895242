//! The agent's table of its worker's attempts, and the commands that are due.
//!
//! A worker may carry out a call seconds after the call timed out. So an attempt counts as
//! refused only once a stop of it was answered and a later list of the worker shows it
//! neither running nor ended: a stopped attempt can never start.

mod heartbeats;
mod lists;
mod orders;
mod tracked;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use turmeric_types::{CoreCount, MonoTime, ResourceSet};

use crate::{
    AttemptEnd, AttemptKey, AttemptStatus, EndpointIncarnation, EndpointInfo, IncarnationCrash,
    InterferenceTable, LeaseGrant, VmReport,
};
pub use heartbeats::HeartbeatVerdict;
use heartbeats::{EndpointCandidate, HeartbeatRun};
use tracked::{AttemptPlan, AttemptState, FreeCapacity, TrackedAttempt};

/// Age at which orders no longer start attempts, because a zone may have been taken out of
/// service since. The platform's bound is 5 s, of which 3 s are left for the other hops.
const ORDER_EXPIRY: Duration = Duration::from_millis(1500);

/// A leader that has had no confirmation from the store for this long may have been
/// replaced: it writes every 700 ms, and other entries take over after 2.2 s.
const STORE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Most bytes of the ends in a report, which has at most 2 MiB.
const REPORT_ENDS_LIMIT: usize = 512 << 10;

/// Bytes of an end beside its checkpoint.
const END_BYTES: usize = 64;

/// Most bytes of the checkpoints of running attempts in a report.
const REPORT_CHECKPOINTS_LIMIT: usize = 768 << 10;

/// Time after which a report holds the checkpoints of other attempts.
const CHECKPOINT_TURN: Duration = Duration::from_millis(400);

/// Attempts by which they move on; as many of the longest checkpoints fit a report.
const CHECKPOINTS_PER_TURN: usize = 128;

/// Pace at which a task starts, in percent of its full speed.
const FULL_PACE: u32 = 100;

/// Delay before a call without an answer is retried.
const RETRY_INTERVAL: Duration = Duration::from_millis(400);

/// Parameters with which an attempt is started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartPlan {
    /// The attempt.
    pub key: AttemptKey,
    /// Text of the job, which is passed to the task.
    pub text: String,
    /// Checkpoint to resume from; empty if there is none.
    pub checkpoint: String,
    /// Load of the task on its VM.
    pub load: TaskLoad,
    /// The task may have crashed another endpoint. Its start is sent only right after the worker
    /// has answered another call, so that hardly any is ordered at a worker that is gone.
    pub is_suspect: bool,
}

/// Load of a task on its VM, by which the agent paces tasks and counts what they reserve.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskLoad {
    /// The task is best-effort: it uses only idle processors.
    pub is_best_effort: bool,
    /// Tail latency that a serving task must keep, in milliseconds.
    pub latency_target_millis: Option<u64>,
    /// Image that the task runs; empty if unknown.
    pub image: String,
    /// Processors that the task uses at full speed.
    pub cores: CoreCount,
    /// Resources that the task reserves on the VM; none from an earlier version of the leader.
    pub reserved: ResourceSet,
}

/// Command to send to the worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerCommand {
    /// Start an attempt.
    Start(StartPlan),
    /// Stop an attempt, or prevent it from starting.
    Stop(AttemptKey),
}

/// The worker's answer to a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartAnswer {
    /// The worker has the attempt.
    Started,
    /// The worker rejected the start and did nothing.
    Rejected,
    /// The start never reached the worker.
    NotSent,
    /// The worker did nothing: it has seen a higher fencing token, or is another endpoint.
    Fenced,
    /// The worker did not answer; it may still carry out the start.
    Unknown,
}

/// The worker's answer to a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopAnswer {
    /// The worker stops the attempt, or will never start it.
    Accepted,
    /// The worker did nothing, or did not answer.
    Unknown,
}

/// How a poll of the worker failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollFailure {
    /// The worker's address accepts no connection.
    Refused,
    /// No answer arrived in time, or the connection broke. The worker may be running: an agent
    /// that was suspended finds its own calls timed out.
    Unanswered,
}

/// Attempts that the worker lists.
#[derive(Clone, Debug, Default)]
pub struct WorkerLists {
    /// Attempts that are running.
    pub running: Vec<AttemptStatus>,
    /// Ends of attempts that the worker still keeps, in ascending order of their numbers.
    pub ends: Vec<AttemptEnd>,
    /// The worker may keep later ends that it does not list. An attempt that is missing from both
    /// lists may then have ended in any way.
    pub has_more_ends: bool,
}

/// The attempts of one worker, as known to its agent.
#[derive(Debug, Default)]
pub struct AttemptTable {
    endpoint_info: Option<EndpointInfo>,
    /// The heartbeats of the current incarnation; [`None`] before the first one.
    heartbeats: Option<HeartbeatRun>,
    /// The last heartbeat that did not continue them.
    outlier: Option<HeartbeatRun>,
    /// Another incarnation that the last heartbeat names.
    candidate: Option<EndpointCandidate>,
    is_synced: bool,
    /// The worker has accepted this agent's fence in the current incarnation.
    was_synced: bool,
    is_terminated: bool,
    /// When all attempts of the current incarnation were last declared terminated.
    terminated_at: Option<MonoTime>,
    /// The endpoint deregistered in its current incarnation.
    has_departed: bool,
    /// The last incarnation that crashed, until the leader knows of a later one.
    crash: Option<IncarnationCrash>,
    attempts: BTreeMap<AttemptKey, TrackedAttempt>,
    ends: BTreeMap<u64, AttemptEnd>,
    recorded_end: u64,
    refused: BTreeSet<AttemptKey>,
    /// The last list of ends was incomplete.
    has_more_ends: bool,
    epoch: u64,
    applied_orders: u64,
    interferences: InterferenceTable,
    /// Time since the store last confirmed a write of the leader, as of the latest orders.
    since_store_answer: Duration,
    grant: Option<LeaseGrant>,
    /// The agent knew an earlier incarnation of the endpoint and has not seen a list of the
    /// current one. Unknown attempts there were ordered for the earlier incarnation.
    expects_stale_attempts: bool,
    /// Change counter that tells old lists from new ones.
    changes: u64,
    is_stopping: bool,
}

impl AttemptTable {
    /// Creates the empty table of an agent that has just started.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the newest known epoch.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns whether another entry may have taken over the leadership.
    ///
    /// Load pattern: a leader loses its connection to the store and to nothing else. Its
    /// agents would stay with it, and nothing new would start, until it steps down.
    pub fn doubts_leader(&self) -> bool {
        self.since_store_answer > STORE_TIMEOUT
    }

    /// Returns the latest endpoint info.
    pub fn endpoint_info(&self) -> Option<&EndpointInfo> {
        self.endpoint_info.as_ref()
    }

    /// Returns the current incarnation of the endpoint.
    pub fn incarnation(&self) -> Option<&EndpointIncarnation> {
        self.endpoint_info
            .as_ref()
            .map(|endpoint_info| &endpoint_info.incarnation)
    }

    /// Returns whether the agent has fenced the current incarnation for itself.
    pub fn is_synced(&self) -> bool {
        self.is_synced
    }

    /// Returns the newest lease that the leader granted.
    pub fn grant(&self) -> Option<LeaseGrant> {
        self.grant
    }

    /// Returns the number of the last end that the leader has recorded.
    pub fn recorded_end(&self) -> u64 {
        self.recorded_end
    }

    /// Refuses new attempts from now on, because the agent is shutting down.
    pub fn set_stopping(&mut self) {
        self.is_stopping = true;
    }

    /// Records that the current incarnation crashed, unless it has announced its end; another
    /// one has begun.
    fn record_crash(&mut self) {
        let Some(info) = &self.endpoint_info else {
            return;
        };
        // A crash that the leader does not know of outlasts an incarnation that no worker has
        // confirmed.
        let is_known =
            |crash: &IncarnationCrash| crash.incarnation == info.incarnation || !self.was_synced;
        if self.has_departed || info.is_draining || self.crash.as_ref().is_some_and(is_known) {
            return;
        }
        let running = self.attempts.iter();
        let running = running.filter(|(_, attempt)| attempt.may_be_running());
        let unconfirmed = running.clone();
        let unconfirmed = unconfirmed.filter(|(_, attempt)| !self.is_known_to_run(attempt));
        self.crash = Some(IncarnationCrash {
            incarnation: info.incarnation.clone(),
            attempts: running.map(|(key, _)| *key).collect(),
            unconfirmed: unconfirmed.map(|(key, _)| *key).collect(),
        });
    }

    /// Returns whether an attempt runs unless the worker has crashed. Attempts whose leases have
    /// expired may have ended.
    fn is_known_to_run(&self, attempt: &TrackedAttempt) -> bool {
        !self.is_terminated && attempt.status.is_confirmed
    }

    fn reset_incarnation(&mut self) {
        self.is_synced = false;
        self.was_synced = false;
        self.is_terminated = false;
        self.has_departed = false;
        self.attempts.clear();
        self.ends.clear();
        self.refused.clear();
        self.has_more_ends = false;
        self.recorded_end = 0;
        self.changes += 1;
    }

    /// Records that the worker has accepted this agent's fence.
    pub fn set_synced(&mut self) {
        self.is_synced = true;
        self.was_synced = true;
        self.is_terminated = false;
    }

    /// Records that the worker must be fenced again.
    pub fn clear_synced(&mut self) {
        self.is_synced = false;
    }

    /// Records that the endpoint has deregistered: it ends, and its attempts with it.
    ///
    /// The message does not name the incarnation and may be late, so the attempts count as
    /// terminated only once the worker accepts no connection; see [`Self::handle_poll_failure`].
    pub fn announce_departure(&mut self) {
        self.has_departed = true;
    }

    /// Returns whether the endpoint has deregistered and may still be there.
    fn is_leaving(&self) -> bool {
        self.has_departed && !self.is_terminated
    }

    /// Handles a failed poll of the worker, all of whose leases may have expired by now.
    ///
    /// Returns whether all attempts count as terminated now: the endpoint has left as it
    /// announced, or the leases at a worker that this agent has fenced have expired. In the second
    /// case the worker may be alive, and answer again in the same incarnation; only a later
    /// incarnation tells that it has crashed.
    pub fn handle_poll_failure(
        &mut self,
        failure: PollFailure,
        has_expired: bool,
        now: MonoTime,
    ) -> bool {
        let has_left = self.is_leaving() && failure == PollFailure::Refused;
        let is_over = has_left || (self.is_synced && has_expired);
        if is_over {
            self.set_terminated(now);
        }
        is_over
    }

    /// Handles the answer that another endpoint now has the worker's address.
    ///
    /// Returns whether the known endpoint has left as it announced.
    pub fn handle_replacement(&mut self, now: MonoTime) -> bool {
        let has_left = self.is_leaving();
        if has_left {
            self.set_terminated(now);
        }
        has_left
    }

    /// Revokes all orders so far: on this news the leader starts the tasks elsewhere, and the
    /// same incarnation may answer again.
    fn set_terminated(&mut self, now: MonoTime) {
        self.is_terminated = true;
        self.is_synced = false;
        self.terminated_at = Some(now);
        self.grant = None;
        self.drop_revoked(&BTreeSet::new(), now);
    }

    /// Returns whether the worker may keep ends that it has not listed.
    pub fn has_more_ends(&self) -> bool {
        self.has_more_ends
    }

    /// Returns the attempts that may have ended without a listed end.
    pub fn unlisted_attempts(&self) -> impl Iterator<Item = &AttemptKey> {
        let unlisted = self
            .attempts
            .iter()
            .filter(|(_, attempt)| attempt.is_unlisted);
        unlisted.map(|(key, _)| key)
    }

    /// Returns the number of attempts that have not ended.
    pub fn attempt_count(&self) -> usize {
        self.attempts.len()
    }

    /// Returns the number of starts that have not been sent, or were sent and not answered.
    pub fn pending_start_count(&self) -> usize {
        let is_pending = |attempt: &&TrackedAttempt| {
            matches!(
                attempt.state,
                AttemptState::StartDue | AttemptState::Starting
            )
        };
        self.attempts.values().filter(is_pending).count()
    }

    /// Returns the capacity that is left by all attempts that may be at the worker.
    fn free_capacity(&self) -> FreeCapacity {
        let info = self.endpoint_info.as_ref();
        let capacity = info.map_or(ResourceSet::default(), |info| info.capacity);
        let mut free = FreeCapacity {
            left: capacity,
            is_exceeded: false,
        };
        let sent = self.attempts.values().filter(|attempt| attempt.was_sent);
        for load in sent.filter_map(|attempt| attempt.plan.load()) {
            free.take(&load.reserved);
        }
        free
    }

    /// Returns the commands that are due, each once until it is answered.
    pub fn take_commands(&mut self, now: MonoTime) -> Vec<WorkerCommand> {
        if !self.is_synced || self.may_have_restarted() {
            return Vec::new();
        }
        let is_fresh = self
            .grant
            .is_some_and(|grant| now <= grant.reported_at.after(ORDER_EXPIRY));
        let is_draining = self.is_stopping
            || self.has_departed
            || self
                .endpoint_info
                .as_ref()
                .is_some_and(|endpoint_info| endpoint_info.is_draining);
        let mut free = self.free_capacity();
        let mut commands = Vec::new();
        let mut refused = Vec::new();
        for (key, attempt) in &mut self.attempts {
            let is_waiting =
                attempt.state == AttemptState::StartDue && attempt.unanswered_at.is_some();
            if now < attempt.retry_at || is_waiting {
                continue;
            }
            match (attempt.state, &attempt.plan) {
                (AttemptState::StartDue, _) if is_draining && !attempt.was_sent => {
                    refused.push(*key)
                }
                (AttemptState::StartDue, _) if is_draining => attempt.state = AttemptState::StopDue,
                // The capacity has shrunk since the leader placed the attempt.
                (AttemptState::StartDue, AttemptPlan::Ordered(plan))
                    if !free.can_start(attempt, &plan.load) =>
                {
                    if attempt.was_sent {
                        attempt.state = AttemptState::StopDue;
                    } else {
                        refused.push(*key);
                    }
                }
                (AttemptState::StartDue, AttemptPlan::Ordered(plan)) if is_fresh => {
                    if !attempt.was_sent {
                        free.take(&plan.load.reserved);
                    }
                    attempt.state = AttemptState::Starting;
                    attempt.was_sent = true;
                    attempt.awaits_probe = plan.is_suspect;
                    commands.push(WorkerCommand::Start(plan.clone()));
                }
                (AttemptState::StopDue, _) => {
                    attempt.state = AttemptState::Stopping;
                    commands.push(WorkerCommand::Stop(*key));
                }
                _ => {}
            }
        }
        for key in refused {
            self.attempts.remove(&key);
            self.refused.insert(key);
        }
        commands
    }

    /// Records that the worker has answered the probe that precedes the start of a suspect.
    ///
    /// Returns whether the start is to be sent now; it may have been revoked.
    pub fn record_probe_answer(&mut self, key: &AttemptKey) -> bool {
        let attempt = self.attempts.get_mut(key);
        let Some(attempt) = attempt.filter(|attempt| attempt.state == AttemptState::Starting)
        else {
            return false;
        };
        attempt.awaits_probe = false;
        true
    }

    /// Handles the worker's answer to a start.
    pub fn handle_start_answer(&mut self, key: AttemptKey, answer: StartAnswer, now: MonoTime) {
        self.changes += 1;
        let changes = self.changes;
        let Some(attempt) = self.attempts.get_mut(&key) else {
            return;
        };
        if attempt.state != AttemptState::Starting {
            return;
        }
        attempt.status.is_confirmed |= answer == StartAnswer::Started;
        attempt.may_have_run |= matches!(answer, StartAnswer::Started | StartAnswer::Unknown);
        match answer {
            StartAnswer::Started => {
                attempt.state = AttemptState::Running;
                attempt.changed_at = changes;
            }
            StartAnswer::Rejected => attempt.state = AttemptState::StopDue,
            StartAnswer::NotSent | StartAnswer::Fenced | StartAnswer::Unknown => {
                attempt.unanswered_at = (answer != StartAnswer::NotSent).then_some(changes);
                attempt.state = AttemptState::StartDue;
                attempt.retry_at = now.after(RETRY_INTERVAL);
            }
        }
    }

    /// Handles the worker's answer to a stop.
    pub fn handle_stop_answer(&mut self, key: AttemptKey, answer: StopAnswer, now: MonoTime) {
        self.changes += 1;
        let mark = self.changes;
        let Some(attempt) = self.attempts.get_mut(&key) else {
            return;
        };
        if attempt.state != AttemptState::Stopping {
            return;
        }
        match answer {
            StopAnswer::Accepted => attempt.state = AttemptState::Stopped { mark },
            StopAnswer::Unknown => {
                attempt.state = AttemptState::StopDue;
                attempt.retry_at = now.after(RETRY_INTERVAL);
            }
        }
    }

    /// Records the pace at which an attempt may work, in percent of its full speed.
    ///
    /// Returns whether the worker may have another pace.
    pub fn set_pace(&mut self, key: &AttemptKey, percent: u32) -> bool {
        let Some(attempt) = self.attempts.get_mut(key) else {
            return false;
        };
        let is_new = !attempt.is_pace_known || attempt.status.pace != percent;
        attempt.status.pace = percent;
        attempt.is_pace_known = true;
        is_new
    }

    /// Returns whether this agent knows the pace of an attempt at the worker; an earlier agent may
    /// have set it.
    pub fn knows_pace(&self, key: &AttemptKey) -> bool {
        let attempt = self.attempts.get(key);
        attempt.is_some_and(|attempt| attempt.is_pace_known)
    }

    /// Returns the interference between images, as last sent by the leader.
    pub fn interferences(&self) -> &InterferenceTable {
        &self.interferences
    }

    /// Returns the running attempts whose loads this agent knows.
    pub fn loads(&self) -> impl Iterator<Item = (&AttemptKey, &TaskLoad)> {
        let running = self.running_attempts();
        running.filter_map(|(key, attempt)| attempt.plan.load().map(|load| (key, load)))
    }

    /// Returns the running attempts whose loads this agent does not know, because an earlier agent
    /// started them.
    pub fn unplanned(&self) -> impl Iterator<Item = &AttemptKey> {
        let running = self.running_attempts();
        let unplanned = running.filter(|(_, attempt)| attempt.plan.load().is_none());
        unplanned.map(|(key, _)| key)
    }

    fn running_attempts(&self) -> impl Iterator<Item = (&AttemptKey, &TrackedAttempt)> {
        let attempts = self.attempts.iter();
        attempts.filter(|(_, attempt)| attempt.state == AttemptState::Running)
    }

    /// Builds the report to the leader. What exceeds its limits follows in later reports.
    pub fn report(&self, vm: &str, zone: &str, now: MonoTime) -> VmReport {
        let ends = self.reported_ends();
        let has_more_ends = self.has_more_ends || ends.len() < self.ends.len();
        VmReport {
            vm: vm.to_owned(),
            zone: zone.to_owned(),
            epoch: self.epoch,
            stamp_millis: now.as_millis(),
            endpoint_info: self.endpoint_info.clone().map(|info| EndpointInfo {
                is_draining: info.is_draining || self.has_departed,
                ..info
            }),
            is_synced: self.is_synced,
            is_terminated: self.is_terminated,
            is_unresponsive: false,
            attempts: self.reported_attempts(now),
            ends,
            refused: self.refused.iter().copied().collect(),
            applied_orders: self.applied_orders,
            crash: self.crash.clone(),
            headroom: None,
            has_more_ends,
            lease_wait: None,
            own_lease_wait: None,
            is_stopping: self.is_stopping,
            unplanned: self.unplanned().copied().collect(),
        }
    }

    /// Returns the first ends, as far as their checkpoints fit a report.
    fn reported_ends(&self) -> Vec<AttemptEnd> {
        let mut bytes = 0;
        let ends = self.ends.values().take_while(|end| {
            let is_first = bytes == 0;
            bytes += end.checkpoint.len() + END_BYTES;
            is_first || bytes <= REPORT_ENDS_LIMIT
        });
        ends.cloned().collect()
    }

    /// Returns all attempts. If their checkpoints do not fit a report together, each report holds
    /// those of other attempts; a missing one leaves the leader with the one before.
    ///
    /// Load pattern: a worker runs hundreds of tasks with long checkpoints.
    fn reported_attempts(&self, now: MonoTime) -> Vec<AttemptStatus> {
        let mut statuses: Vec<AttemptStatus> = self
            .attempts
            .values()
            .map(|attempt| AttemptStatus {
                is_confirmed: self.is_known_to_run(attempt),
                ..attempt.status.clone()
            })
            .collect();
        let bytes: usize = statuses.iter().map(|status| status.checkpoint.len()).sum();
        if bytes <= REPORT_CHECKPOINTS_LIMIT {
            return statuses;
        }
        let turn = now.as_millis() / CHECKPOINT_TURN.as_millis() as u64;
        let first = turn as usize * CHECKPOINTS_PER_TURN % statuses.len();
        statuses.rotate_left(first);
        let mut left = REPORT_CHECKPOINTS_LIMIT;
        for status in &mut statuses {
            match left.checked_sub(status.checkpoint.len()) {
                Some(rest) => left = rest,
                None => status.checkpoint = String::new(),
            }
        }
        statuses
    }
}
