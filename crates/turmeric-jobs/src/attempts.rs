//! The agent's table of its worker's attempts, and the commands that are due.
//!
//! A worker may carry out a call seconds after the call timed out. So an attempt counts as
//! refused only once a stop of it was answered and a later list of the worker shows it
//! neither running nor ended: a stopped attempt can never start.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use turmeric_schema::v1;
use turmeric_types::{AcceleratorCount, CoreCount, MemorySize, MonoTime, ResourceSet};

use crate::{
    AttemptEnd, AttemptKey, AttemptStatus, EndpointIncarnation, EndpointInfo, IncarnationCrash,
    InterferenceTable, LeaseGrant, NameError, VmReport, read_key,
};

/// Age at which orders no longer start attempts, because a zone may have been taken out of
/// service since. The platform's bound is 5 s, of which 3 s are left for the other hops.
const ORDER_EXPIRY: Duration = Duration::from_millis(1500);

/// A leader that has had no confirmation from the store for this long may have been
/// replaced: it writes every 700 ms, and other entries take over after 2.2 s.
const STORE_TIMEOUT: Duration = Duration::from_millis(1500);

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

/// Attempts that the worker lists.
#[derive(Clone, Debug, Default)]
pub struct WorkerLists {
    /// Attempts that are running.
    pub running: Vec<AttemptStatus>,
    /// Ends of attempts that the worker still keeps.
    pub ends: Vec<AttemptEnd>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AttemptState {
    /// A start is due.
    StartDue,
    /// A start was sent and not answered yet.
    Starting,
    /// The worker runs the attempt, as far as the agent knows.
    Running,
    /// A stop is due.
    StopDue,
    /// A stop was sent and not answered yet.
    Stopping,
    /// A stop was answered; lists requested at `mark` or later are final.
    Stopped { mark: u64 },
}

#[derive(Clone, Debug)]
struct TrackedAttempt {
    state: AttemptState,
    plan: Option<StartPlan>,
    /// A start was sent, so the worker may have the attempt.
    was_sent: bool,
    /// The worker may have carried out a start.
    may_have_run: bool,
    retry_at: MonoTime,
    /// Change counter when the attempt became running.
    changed_at: u64,
    status: AttemptStatus,
}

/// Capacity of a worker that no attempt reserves.
struct FreeCapacity {
    left: ResourceSet,
    /// The attempts reserve more than the capacity.
    is_exceeded: bool,
}

impl FreeCapacity {
    fn take(&mut self, reserved: &ResourceSet) {
        self.is_exceeded |= !reserved.fits_in(&self.left);
        self.left = self.left.saturating_sub(reserved);
    }

    /// Returns whether an attempt may be started. One that was sent before is accounted for.
    fn can_start(&self, attempt: &TrackedAttempt, plan: &StartPlan) -> bool {
        if attempt.was_sent {
            !self.is_exceeded
        } else {
            plan.reserved.fits_in(&self.left)
        }
    }
}

/// The attempts of one worker, as known to its agent.
#[derive(Debug, Default)]
pub struct AttemptTable {
    endpoint_info: Option<EndpointInfo>,
    is_synced: bool,
    is_terminated: bool,
    /// The endpoint deregistered in its current incarnation.
    has_departed: bool,
    /// The last incarnation that crashed, until the leader knows of a later one.
    crash: Option<IncarnationCrash>,
    attempts: BTreeMap<AttemptKey, TrackedAttempt>,
    ends: BTreeMap<u64, AttemptEnd>,
    recorded_end: u64,
    refused: BTreeSet<AttemptKey>,
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

    /// Updates the endpoint info.
    ///
    /// Returns whether a new incarnation began, of which nothing is known yet. Info from
    /// an earlier incarnation is ignored.
    pub fn update_endpoint(&mut self, endpoint_info: EndpointInfo) -> bool {
        let known = self
            .endpoint_info
            .as_ref()
            .map(|known| known.incarnation.clone());
        if let Some(known) = &known {
            if endpoint_info.incarnation.started_at_millis < known.started_at_millis {
                return false;
            }
            if endpoint_info.incarnation == *known {
                self.endpoint_info = Some(endpoint_info);
                return false;
            }
        }
        self.record_crash();
        self.reset_incarnation();
        self.expects_stale_attempts = known.is_some();
        self.endpoint_info = Some(endpoint_info);
        true
    }

    /// Records that the current incarnation crashed, unless it has announced its end.
    fn record_crash(&mut self) {
        let Some(info) = &self.endpoint_info else {
            return;
        };
        let is_known = |crash: &IncarnationCrash| crash.incarnation == info.incarnation;
        if self.has_departed || info.is_draining || self.crash.as_ref().is_some_and(is_known) {
            return;
        }
        let may_have_run = |attempt: &TrackedAttempt| {
            attempt.may_have_run || attempt.state == AttemptState::Starting
        };
        let attempts = self.attempts.iter();
        self.crash = Some(IncarnationCrash {
            incarnation: info.incarnation.clone(),
            attempts: attempts
                .filter(|(_, attempt)| may_have_run(attempt))
                .map(|(key, _)| *key)
                .collect(),
        });
    }

    fn reset_incarnation(&mut self) {
        self.is_synced = false;
        self.is_terminated = false;
        self.has_departed = false;
        self.attempts.clear();
        self.ends.clear();
        self.refused.clear();
        self.recorded_end = 0;
        self.changes += 1;
    }

    /// Records that the worker has accepted this agent's fence.
    pub fn set_synced(&mut self) {
        self.is_synced = true;
        self.is_terminated = false;
    }

    /// Records that the worker must be fenced again.
    pub fn clear_synced(&mut self) {
        self.is_synced = false;
    }

    /// Records that the endpoint has deregistered, which ends all of its attempts.
    pub fn set_departed(&mut self) {
        self.has_departed = true;
        self.set_terminated();
    }

    /// Records that the worker has crashed: it does not answer, and the leases of all its
    /// attempts have expired.
    pub fn set_crashed(&mut self) {
        self.record_crash();
        self.set_terminated();
    }

    fn set_terminated(&mut self) {
        self.is_terminated = true;
        self.is_synced = false;
    }

    /// Returns the number of attempts that have not ended.
    pub fn attempt_count(&self) -> usize {
        self.attempts.len()
    }

    /// Applies orders of a leader.
    ///
    /// Returns whether the orders were applied. Orders of an earlier epoch or for another
    /// incarnation of the endpoint are ignored.
    ///
    /// # Errors
    ///
    /// Returns [`NameError`] if an order does not name a task; no order is applied then.
    pub fn apply_orders(
        &mut self,
        orders: &v1::VmOrders,
        now: MonoTime,
    ) -> Result<bool, NameError> {
        let starts = orders
            .starts
            .iter()
            .map(read_start)
            .collect::<Result<Vec<_>, _>>()?;
        let keep = orders
            .keep
            .iter()
            .map(|key| read_key(Some(key)))
            .collect::<Result<BTreeSet<_>, _>>()?;
        if orders.epoch < self.epoch {
            return Ok(false);
        }
        self.epoch = orders.epoch;
        self.since_store_answer = Duration::from_millis(orders.store_silence_millis);
        let is_present = self.incarnation().is_some_and(|incarnation| {
            incarnation.endpoint == orders.endpoint && incarnation.started_at_millis == orders.born
        });
        if !is_present || !self.is_synced {
            return Ok(false);
        }
        self.applied_orders = orders.sequence;
        // The orders are for the current incarnation, so the leader knows how the last one ended.
        self.crash = None;
        for pair in &orders.gains {
            let value = f64::from(pair.gain_permille) / 1000.0;
            let (best_effort, serving) = (pair.filling.clone(), pair.serving.clone());
            self.interferences.set(best_effort, serving, value);
        }
        let reported_at = MonoTime::from_millis(orders.stamp_millis);
        if self
            .grant
            .is_none_or(|grant| grant.reported_at < reported_at)
        {
            self.grant = Some(LeaseGrant { reported_at });
        }
        self.recorded_end = self.recorded_end.max(orders.recorded_end);
        self.ends = self.ends.split_off(&(self.recorded_end + 1));
        self.refused.retain(|key| keep.contains(key));
        self.drop_revoked(&keep, now);
        for plan in starts {
            if keep.contains(&plan.key) {
                self.add_attempt(plan, now);
            }
        }
        Ok(true)
    }

    fn drop_revoked(&mut self, keep: &BTreeSet<AttemptKey>, now: MonoTime) {
        self.attempts.retain(|key, attempt| {
            let is_kept = keep.contains(key);
            is_kept || attempt.was_sent || attempt.state != AttemptState::StartDue
        });
        for (key, attempt) in &mut self.attempts {
            let is_stoppable = matches!(
                attempt.state,
                AttemptState::StartDue | AttemptState::Starting | AttemptState::Running
            );
            if !keep.contains(key) && is_stoppable {
                attempt.state = AttemptState::StopDue;
                attempt.retry_at = now;
            }
        }
    }

    fn add_attempt(&mut self, plan: StartPlan, now: MonoTime) {
        let key = plan.key;
        let has_ended = self.ends.values().any(|end| end.key == key);
        if self.attempts.contains_key(&key) || self.refused.contains(&key) || has_ended {
            return;
        }
        let status = AttemptStatus {
            key,
            checkpoint: String::new(),
            percent: 0,
            pace: FULL_PACE,
        };
        let attempt = TrackedAttempt {
            state: AttemptState::StartDue,
            plan: Some(plan),
            was_sent: false,
            may_have_run: false,
            retry_at: now,
            changed_at: 0,
            status,
        };
        self.attempts.insert(key, attempt);
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
        for plan in sent.filter_map(|attempt| attempt.plan.as_ref()) {
            free.take(&plan.reserved);
        }
        free
    }

    /// Returns the commands that are due, each once until it is answered.
    pub fn take_commands(&mut self, now: MonoTime) -> Vec<WorkerCommand> {
        if !self.is_synced {
            return Vec::new();
        }
        let is_fresh = self
            .grant
            .is_some_and(|grant| now <= grant.reported_at.after(ORDER_EXPIRY));
        let is_draining = self.is_stopping
            || self
                .endpoint_info
                .as_ref()
                .is_some_and(|endpoint_info| endpoint_info.is_draining);
        let mut free = self.free_capacity();
        let mut commands = Vec::new();
        let mut refused = Vec::new();
        for (key, attempt) in &mut self.attempts {
            if now < attempt.retry_at {
                continue;
            }
            match (attempt.state, &attempt.plan) {
                (AttemptState::StartDue, _) if is_draining && !attempt.was_sent => {
                    refused.push(*key)
                }
                (AttemptState::StartDue, _) if is_draining => attempt.state = AttemptState::StopDue,
                // The capacity has shrunk since the leader placed the attempt.
                (AttemptState::StartDue, Some(plan)) if !free.can_start(attempt, plan) => {
                    if attempt.was_sent {
                        attempt.state = AttemptState::StopDue;
                    } else {
                        refused.push(*key);
                    }
                }
                (AttemptState::StartDue, Some(plan)) if is_fresh => {
                    if !attempt.was_sent {
                        free.take(&plan.reserved);
                    }
                    attempt.state = AttemptState::Starting;
                    attempt.was_sent = true;
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
        attempt.may_have_run |= matches!(answer, StartAnswer::Started | StartAnswer::Unknown);
        match answer {
            StartAnswer::Started => {
                attempt.state = AttemptState::Running;
                attempt.changed_at = changes;
            }
            StartAnswer::Rejected => attempt.state = AttemptState::StopDue,
            StartAnswer::NotSent | StartAnswer::Unknown => {
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
        let listed: BTreeSet<AttemptKey> = lists.running.iter().map(|status| status.key).collect();
        for status in lists.running {
            has_changes |= self.apply_status(status);
        }
        self.expects_stale_attempts = false;
        has_changes | self.drop_unlisted(mark, &listed)
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
            plan: None,
            was_sent: true,
            may_have_run: true,
            retry_at: MonoTime::default(),
            changed_at: self.changes,
            status,
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

    /// Records the pace at which an attempt may work, in percent of its full speed.
    pub fn set_pace(&mut self, key: &AttemptKey, percent: u32) {
        if let Some(attempt) = self.attempts.get_mut(key) {
            attempt.status.pace = percent;
        }
    }

    /// Returns the interference between images, as last sent by the leader.
    pub fn interferences(&self) -> &InterferenceTable {
        &self.interferences
    }

    /// Returns the running attempts that this agent was ordered to start, with their plans.
    pub fn plans(&self) -> impl Iterator<Item = (&AttemptKey, &StartPlan)> {
        self.attempts
            .iter()
            .filter(|(_, attempt)| attempt.state == AttemptState::Running)
            .filter_map(|(key, attempt)| attempt.plan.as_ref().map(|plan| (key, plan)))
    }

    /// Builds the report to the leader.
    pub fn report(&self, vm: &str, zone: &str, now: MonoTime) -> VmReport {
        VmReport {
            vm: vm.to_owned(),
            zone: zone.to_owned(),
            epoch: self.epoch,
            stamp_millis: now.as_millis(),
            endpoint_info: self.endpoint_info.clone(),
            is_synced: self.is_synced,
            is_terminated: self.is_terminated,
            is_unresponsive: false,
            attempts: self
                .attempts
                .values()
                .map(|attempt| attempt.status.clone())
                .collect(),
            ends: self.ends.values().cloned().collect(),
            refused: self.refused.iter().copied().collect(),
            applied_orders: self.applied_orders,
            crash: self.crash.clone(),
            headroom: None,
        }
    }
}

fn read_start(order: &v1::StartOrder) -> Result<StartPlan, NameError> {
    Ok(StartPlan {
        key: read_key(order.key.as_ref())?,
        text: order.text.clone(),
        checkpoint: order.checkpoint.clone(),
        is_best_effort: order.fills,
        latency_target_millis: (order.latency_target_millis > 0)
            .then_some(order.latency_target_millis),
        image: order.image.clone(),
        cores: CoreCount::from_millicores(order.millicores),
        reserved: ResourceSet::new(
            CoreCount::from_millicores(order.reserved_millicores),
            MemorySize::new(order.reserved_memory_bytes),
            AcceleratorCount::new(order.reserved_accelerators),
        ),
    })
}
