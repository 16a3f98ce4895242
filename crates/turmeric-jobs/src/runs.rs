//! The agent's side: what its worker runs, and which calls are due.
//!
//! A worker may carry out a call seconds after it gave no answer. So an
//! attempt counts as refused only once a stop of it was answered and a later
//! list of the worker shows it neither running nor ended: a stopped attempt
//! can never start.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use turmeric_schema::v1;
use turmeric_types::{CoreCount, MonoTime};

use crate::{
    AttemptEnd, AttemptKey, AttemptStatus, EndpointIncarnation, EndpointInfo, InterferenceTable,
    LeaseGrant, NameError, VmReport, read_key,
};

/// Orders older than this start nothing: a zone may have been taken out since
/// (bound of the platform: 5 s, of which 3 s are left for the rest of the way).
const ORDER_TERM: Duration = Duration::from_millis(1500);

/// A leader to which the store has confirmed nothing for this long may have been
/// replaced: it writes every 700 ms, and others take over after 2.2 s.
const STORE_SILENCE_LIMIT: Duration = Duration::from_millis(1500);

/// Share of its speed at which a task starts, in percent.
const FULL_PACE: u32 = 100;

/// Time between two tries of a call that got no answer.
const RETRY_INTERVAL: Duration = Duration::from_millis(400);

/// What a task is started with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartPlan {
    /// The attempt.
    pub key: AttemptKey,
    /// Text of the job.
    pub text: String,
    /// Checkpoint to resume from; empty if there is none.
    pub checkpoint: String,
    /// The task uses what others leave idle.
    pub is_best_effort: bool,
    /// Tail latency that a serving task must keep, in milliseconds.
    pub latency_target_millis: Option<u64>,
    /// What the task runs; empty if that is not told.
    pub image: String,
    /// Processors that it wants.
    pub cores: CoreCount,
}

/// A call to make to the worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerCommand {
    /// Start an attempt.
    Start(StartPlan),
    /// Stop an attempt, or make sure that it never starts.
    Stop(AttemptKey),
}

/// The worker's answer to a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartAnswer {
    /// The attempt is there.
    Started,
    /// The worker did nothing and says so.
    Rejected,
    /// No answer: the call may be carried out later.
    Unknown,
}

/// The worker's answer to a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopResponse {
    /// The attempt is being stopped, or will never start.
    Taken,
    /// The worker did nothing, or gave no answer.
    Unknown,
}

/// What the worker lists.
#[derive(Clone, Debug, Default)]
pub struct WorkerLists {
    /// What runs.
    pub running: Vec<AttemptStatus>,
    /// Ends that the worker has not been told to forget.
    pub ends: Vec<AttemptEnd>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RunState {
    /// A start is due.
    Wanted,
    /// A start was sent and not answered yet.
    Starting,
    /// The worker runs it, as far as is known.
    Running,
    /// A stop is due.
    Unwanted,
    /// A stop was sent and not answered yet.
    Stopping,
    /// A stop was answered; lists asked for after `mark` are final.
    Stopped { mark: u64 },
}

#[derive(Clone, Debug)]
struct HeldRun {
    state: RunState,
    plan: Option<StartPlan>,
    /// A start was sent, so that the attempt may be at the worker.
    was_sent: bool,
    retry_at: MonoTime,
    /// Number of the change that made it running.
    changed_at: u64,
    status: AttemptStatus,
}

/// What an agent knows of its worker's attempts.
#[derive(Debug, Default)]
pub struct AttemptTable {
    facts: Option<EndpointInfo>,
    is_synced: bool,
    is_over: bool,
    runs: BTreeMap<AttemptKey, HeldRun>,
    ends: BTreeMap<u64, AttemptEnd>,
    recorded_end: u64,
    refused: BTreeSet<AttemptKey>,
    epoch: u64,
    taken_orders: u64,
    gains: InterferenceTable,
    /// For how long the store had confirmed nothing to the leader.
    store_silence: Duration,
    grant: Option<LeaseGrant>,
    /// This agent knew an earlier life of the endpoint and has not seen a list of
    /// the present one: what runs there answers an order for the earlier life.
    is_foreign: bool,
    /// Counts changes, so that old lists are told from new ones.
    changes: u64,
    is_stopping: bool,
}

impl AttemptTable {
    /// Creates the table of an agent that has just started.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the newest epoch heard of.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns whether another entry may lead by now.
    ///
    /// Load pattern: a leader that is cut off from the store and from nothing else.
    /// Its agents would keep to it, and nothing new would start, until it gives up.
    pub fn doubts_leader(&self) -> bool {
        self.store_silence > STORE_SILENCE_LIMIT
    }

    /// Returns what the endpoint last said of itself.
    pub fn facts(&self) -> Option<&EndpointInfo> {
        self.facts.as_ref()
    }

    /// Returns the present life of the endpoint.
    pub fn incarnation(&self) -> Option<&EndpointIncarnation> {
        self.facts.as_ref().map(|facts| &facts.incarnation)
    }

    /// Returns whether the agent holds the present life under its own fence.
    pub fn is_synced(&self) -> bool {
        self.is_synced
    }

    /// Returns the newest lease that the leader granted.
    pub fn grant(&self) -> Option<LeaseGrant> {
        self.grant
    }

    /// Returns the number of the last end that is recorded.
    pub fn recorded_end(&self) -> u64 {
        self.recorded_end
    }

    /// Starts nothing from now on; the process is about to stop.
    pub fn set_stopping(&mut self) {
        self.is_stopping = true;
    }

    /// Takes in what the endpoint says of itself.
    ///
    /// Returns whether a new life began, of which nothing is known yet. Word
    /// from an earlier life is ignored.
    pub fn take_facts(&mut self, facts: EndpointInfo) -> bool {
        let known = self.facts.as_ref().map(|known| known.incarnation.clone());
        if let Some(known) = &known {
            if facts.incarnation.started_at_millis < known.started_at_millis {
                return false;
            }
            if facts.incarnation == *known {
                self.facts = Some(facts);
                return false;
            }
        }
        self.begin_life();
        self.is_foreign = known.is_some();
        self.facts = Some(facts);
        true
    }

    fn begin_life(&mut self) {
        self.is_synced = false;
        self.is_over = false;
        self.runs.clear();
        self.ends.clear();
        self.refused.clear();
        self.recorded_end = 0;
        self.changes += 1;
    }

    /// Records that this agent's fence holds at the worker.
    pub fn set_synced(&mut self) {
        self.is_synced = true;
        self.is_over = false;
    }

    /// Records that the fence has to be taken anew.
    pub fn lose_sync(&mut self) {
        self.is_synced = false;
    }

    /// Records that whatever the worker ran is over: its leases have ended and
    /// it does not answer.
    pub fn set_over(&mut self) {
        self.is_over = true;
        self.is_synced = false;
    }

    /// Returns the number of attempts that are not over.
    pub fn run_count(&self) -> usize {
        self.runs.len()
    }

    /// Takes in orders of a leader.
    ///
    /// Returns whether they were taken: those of an earlier epoch and those
    /// for another life of the endpoint change nothing.
    ///
    /// # Errors
    ///
    /// Returns [`NameError`] where an order names no task; nothing is taken in.
    pub fn take_orders(&mut self, orders: &v1::VmOrders, now: MonoTime) -> Result<bool, NameError> {
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
        self.store_silence = Duration::from_millis(orders.store_silence_millis);
        let is_present = self.incarnation().is_some_and(|incarnation| {
            incarnation.endpoint == orders.endpoint && incarnation.started_at_millis == orders.born
        });
        if !is_present || !self.is_synced {
            return Ok(false);
        }
        self.taken_orders = orders.sequence;
        for gain in &orders.gains {
            let value = f64::from(gain.gain_permille) / 1000.0;
            let (filling, serving) = (gain.filling.clone(), gain.serving.clone());
            self.gains.set(filling, serving, value);
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
        self.drop_unkept(&keep, now);
        for plan in starts {
            if keep.contains(&plan.key) {
                self.want(plan, now);
            }
        }
        Ok(true)
    }

    fn drop_unkept(&mut self, keep: &BTreeSet<AttemptKey>, now: MonoTime) {
        self.runs.retain(|key, run| {
            let is_kept = keep.contains(key);
            is_kept || run.was_sent || run.state != RunState::Wanted
        });
        for (key, run) in &mut self.runs {
            let is_stoppable = matches!(
                run.state,
                RunState::Wanted | RunState::Starting | RunState::Running
            );
            if !keep.contains(key) && is_stoppable {
                run.state = RunState::Unwanted;
                run.retry_at = now;
            }
        }
    }

    fn want(&mut self, plan: StartPlan, now: MonoTime) {
        let key = plan.key;
        let has_ended = self.ends.values().any(|end| end.key == key);
        if self.runs.contains_key(&key) || self.refused.contains(&key) || has_ended {
            return;
        }
        let status = AttemptStatus {
            key,
            checkpoint: String::new(),
            percent: 0,
            pace: FULL_PACE,
        };
        let run = HeldRun {
            state: RunState::Wanted,
            plan: Some(plan),
            was_sent: false,
            retry_at: now,
            changed_at: 0,
            status,
        };
        self.runs.insert(key, run);
    }

    /// Returns the calls that are due, each once until it is answered.
    pub fn take_calls(&mut self, now: MonoTime) -> Vec<WorkerCommand> {
        if !self.is_synced {
            return Vec::new();
        }
        let is_fresh = self
            .grant
            .is_some_and(|grant| now <= grant.reported_at.after(ORDER_TERM));
        let is_leaving =
            self.is_stopping || self.facts.as_ref().is_some_and(|facts| facts.is_draining);
        let mut calls = Vec::new();
        let mut refused = Vec::new();
        for (key, run) in &mut self.runs {
            if now < run.retry_at {
                continue;
            }
            match (run.state, &run.plan) {
                (RunState::Wanted, _) if is_leaving && !run.was_sent => refused.push(*key),
                (RunState::Wanted, _) if is_leaving => run.state = RunState::Unwanted,
                (RunState::Wanted, Some(plan)) if is_fresh => {
                    run.state = RunState::Starting;
                    run.was_sent = true;
                    calls.push(WorkerCommand::Start(plan.clone()));
                }
                (RunState::Unwanted, _) => {
                    run.state = RunState::Stopping;
                    calls.push(WorkerCommand::Stop(*key));
                }
                _ => {}
            }
        }
        for key in refused {
            self.runs.remove(&key);
            self.refused.insert(key);
        }
        calls
    }

    /// Takes in the answer to a start.
    pub fn start_answered(&mut self, key: AttemptKey, answer: StartAnswer, now: MonoTime) {
        self.changes += 1;
        let changes = self.changes;
        let Some(run) = self.runs.get_mut(&key) else {
            return;
        };
        if run.state != RunState::Starting {
            return;
        }
        match answer {
            StartAnswer::Started => {
                run.state = RunState::Running;
                run.changed_at = changes;
            }
            StartAnswer::Rejected => run.state = RunState::Unwanted,
            StartAnswer::Unknown => {
                run.state = RunState::Wanted;
                run.retry_at = now.after(RETRY_INTERVAL);
            }
        }
    }

    /// Takes in the answer to a stop.
    pub fn stop_answered(&mut self, key: AttemptKey, answer: StopResponse, now: MonoTime) {
        self.changes += 1;
        let mark = self.changes;
        let Some(run) = self.runs.get_mut(&key) else {
            return;
        };
        if run.state != RunState::Stopping {
            return;
        }
        match answer {
            StopResponse::Taken => run.state = RunState::Stopped { mark },
            StopResponse::Unknown => {
                run.state = RunState::Unwanted;
                run.retry_at = now.after(RETRY_INTERVAL);
            }
        }
    }

    /// Returns a mark for lists that are asked for now.
    pub fn begin_lists(&self) -> u64 {
        self.changes
    }

    /// Takes in lists of the present life that were asked for at `mark`.
    ///
    /// Returns whether something changed that the leader has to know.
    pub fn take_lists(&mut self, mark: u64, lists: WorkerLists) -> bool {
        let mut has_news = false;
        for end in lists.ends {
            if end.number <= self.recorded_end || self.ends.contains_key(&end.number) {
                continue;
            }
            self.runs.remove(&end.key);
            self.refused.remove(&end.key);
            self.ends.insert(end.number, end);
            has_news = true;
        }
        let listed: BTreeSet<AttemptKey> = lists.running.iter().map(|status| status.key).collect();
        for status in lists.running {
            has_news |= self.take_status(status);
        }
        self.is_foreign = false;
        has_news | self.drop_missing(mark, &listed)
    }

    fn take_status(&mut self, status: AttemptStatus) -> bool {
        let key = status.key;
        if self.ends.values().any(|end| end.key == key) {
            return false;
        }
        if let Some(run) = self.runs.get_mut(&key) {
            run.status = AttemptStatus {
                pace: run.status.pace,
                ..status
            };
            run.was_sent = true;
            if matches!(run.state, RunState::Wanted | RunState::Starting) {
                run.state = RunState::Running;
                run.changed_at = self.changes;
            }
            return false;
        }
        // A call of an earlier agent, or one that was carried out late.
        self.refused.remove(&key);
        let run = HeldRun {
            state: if self.is_foreign {
                RunState::Unwanted
            } else {
                RunState::Running
            },
            plan: None,
            was_sent: true,
            retry_at: MonoTime::default(),
            changed_at: self.changes,
            status,
        };
        self.runs.insert(key, run);
        true
    }

    /// Gives up attempts that a list asked for at `mark` would show.
    fn drop_missing(&mut self, mark: u64, listed: &BTreeSet<AttemptKey>) -> bool {
        let mut gone = Vec::new();
        for (key, run) in &mut self.runs {
            if listed.contains(key) {
                continue;
            }
            match run.state {
                RunState::Stopped { mark: stopped } if mark >= stopped => gone.push(*key),
                // An attempt that vanished is stopped, so that it stays away.
                RunState::Running if mark >= run.changed_at && run.changed_at > 0 => {
                    run.state = RunState::Unwanted;
                }
                _ => {}
            }
        }
        for key in &gone {
            self.runs.remove(key);
            self.refused.insert(*key);
        }
        !gone.is_empty()
    }

    /// Records the share of its speed at which an attempt may work, in percent.
    pub fn set_pace(&mut self, key: &AttemptKey, percent: u32) {
        if let Some(run) = self.runs.get_mut(key) {
            run.status.pace = percent;
        }
    }

    /// Returns the headroom that pairs of images take, as the leader knows it.
    pub fn gains(&self) -> &InterferenceTable {
        &self.gains
    }

    /// Returns what runs and fills, and the targets of what runs and serves.
    pub fn plans(&self) -> impl Iterator<Item = (&AttemptKey, &StartPlan)> {
        self.runs
            .iter()
            .filter(|(_, run)| run.state == RunState::Running)
            .filter_map(|(key, run)| run.plan.as_ref().map(|plan| (key, plan)))
    }

    /// Builds the report to the leader.
    pub fn report(&self, vm: &str, zone: &str, now: MonoTime) -> VmReport {
        VmReport {
            vm: vm.to_owned(),
            zone: zone.to_owned(),
            epoch: self.epoch,
            stamp_millis: now.as_millis(),
            facts: self.facts.clone(),
            is_synced: self.is_synced,
            is_over: self.is_over,
            runs: self.runs.values().map(|run| run.status.clone()).collect(),
            ends: self.ends.values().cloned().collect(),
            refused: self.refused.iter().copied().collect(),
            taken_orders: self.taken_orders,
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
    })
}
