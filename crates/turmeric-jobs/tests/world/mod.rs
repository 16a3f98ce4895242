//! Simulates the leader, the agents, their workers and the store, with the faults that may
//! occur between them.

mod conditions;
pub mod full_fleets;
pub mod recovery;
pub mod removal;
pub mod restarts;
mod room;
pub mod worker;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use conditions::DisturbanceLog;
use proptest::prelude::*;
use proptest::test_runner::TestCaseError;
use recovery::AbsenceLog;
use removal::{AgentSuspension, DRAIN_NOTICE, RemovalOrder, VmRemoval};
use restarts::RestartLog;
use turmeric_jobs::{
    AttemptKey, AttemptTable, ClockReading, CommitPlan, EndpointInfo, ForgottenJobs, JobCode,
    JobPhase, JobScheduler, JobSpec, JobState, LeaderTimeouts, LeaseGrant, LeaseLimits,
    LeasePromise, LongRunningRestart, PolicySet, PollFailure, ProgressPart, QueuePolicy, RowOwner,
    StartAnswer, StepSpec, StoreBounds, TaskName, VmReport, WorkerCommand, WorkerLease,
};
use turmeric_schema::{Message, v1};
use turmeric_types::{
    AcceleratorCount, CoreCount, MemorySize, MonoTime, ResourceSet, SplitMixRandom, WallTime,
};
use worker::{
    CRASHING_TEXT, ModelWorker, PollAnswer, SAVING_TEXT, TASK_MILLICORES, WORKER_MILLICORES,
    WorkerSilence,
};

const LEASE: LeaseLimits = LeaseLimits::new(Duration::from_secs(4));

/// Leases that are shorter than those of the workers.
const SHORT_LEASE: LeaseLimits = LeaseLimits::new(Duration::from_secs(1));

pub const TERMS: LeaderTimeouts = LeaderTimeouts {
    lease: LEASE,
    renewal_window: Duration::from_millis(1400),
    retention: Duration::from_secs(120),
};

/// Rate by which a worker's clock may run slow by the platform's contract, in percent.
const CLOCK_SLOW_PERCENT: u64 = 2;

/// A rate that no lease allows for.
const EXCESSIVE_CLOCK_SLOW_PERCENT: u64 = 20;

/// Time that leaders wait for leases with `WorldFault::LongWait`, in milliseconds: as long as they
/// did before issue 72 where workers accept leases of 10 s.
const LONG_WAIT: u64 = 10_700;

/// Failed attempts after which a task fails in the simulation.
const ATTEMPT_LIMIT: usize = 4;

/// Crashes under a task that the platform tolerates: it may be started twice more after three.
const CRASH_LIMIT: usize = 5;

/// Crashes under a task after which it may be given up.
const FATAL_CRASHES: usize = 2;

/// Most tasks of a long-running step on one VM.
const VM_LIMIT: u32 = 2;

/// Share of the rounds in which an agent connects to a leader again while messages are delayed.
const RECONNECT_PERCENT: u64 = 5;

/// Length of a simulated round, in milliseconds.
const ROUND: u64 = 50;

/// Time after which an unanswered poll of a worker fails, in milliseconds.
const POLL_TIMEOUT: u64 = 900;

/// Time after which an agent leaves a leader that does not answer, in milliseconds.
const LEADER_TIMEOUT: u64 = 1_400;

#[derive(Clone, Debug)]
pub enum WorldEvent {
    /// A caller submits a job of two steps, or a long-running job.
    Submit { long_running: bool },
    /// A caller submits a long-running job that allows two of its tasks on a VM.
    SubmitLimited,
    /// A caller submits a long-running job of so many tasks, which need so many thousandths of
    /// processors each. A VM may run two of them if the job is limited.
    SubmitServing {
        tasks: u32,
        millicores: u64,
        is_limited: bool,
    },
    /// A caller submits a job whose first task crashes each worker that starts it.
    SubmitCrashing,
    /// A caller submits a job whose tasks save checkpoints.
    SubmitSaving,
    /// The store begins or stops to refuse all rows of the newest job, for good.
    RefuseRows { on: bool },
    /// The newest job is cancelled.
    Cancel,
    /// A caller gives up a job whose row is on its way, and cancels it at an entry that does not
    /// know it. The caller submits it again as well, so that its row appears so many rounds later.
    CancelUnknown { rounds: u64 },
    /// An entry takes over leadership, and the earlier leader stops.
    TakeOver(usize),
    /// An entry takes over leadership, and the earlier leader continues without knowing it.
    TakeOverUnseen(usize),
    /// An agent is terminated and restarts with empty memory.
    KillAgent(usize),
    /// An agent is replaced by one of an earlier version, or by one of this version.
    ReplaceAgent { agent: usize, is_earlier: bool },
    /// An entry does nothing for so many rounds; reports to it wait.
    PauseEntry { entry: usize, rounds: u64 },
    /// A worker restarts under the same identifier.
    RestartWorker(usize),
    /// A worker leaves; its agent learns of it, and may stop with it.
    Leave { worker: usize, with_agent: bool },
    /// A VM is removed for good, without a last report; with an announced end 2 s before, or
    /// without. A new VM may take its place so many rounds later, with another endpoint.
    Remove {
        worker: usize,
        drains_before: bool,
        order: RemovalOrder,
        returns_after: Option<u64>,
    },
    /// A VM announces its end, and is gone so many rounds later.
    Retire { worker: usize, rounds: u64 },
    /// A VM that is gone returns as a new one.
    Register { worker: usize },
    /// A worker leaves all starts unanswered for so many rounds, and carries out none of them.
    IgnoreStarts { worker: usize, rounds: u64 },
    /// An agent is suspended for so many rounds: it neither polls, reports nor handles orders, and
    /// then goes on with what it had received.
    SuspendAgent { agent: usize, rounds: u64 },
    /// A worker begins or stops to fail every attempt that it runs.
    FailAll { worker: usize, on: bool },
    /// So many of the long-running attempts on a worker fail at once, those of the oldest jobs first.
    FailLongRunning { worker: usize, count: usize },
    /// The store forgets its history: each entry reads all rows of the jobs, and handles them so many
    /// rounds later.
    ForgetHistory { rounds: u64 },
    /// Workers list at most so many ends at a time.
    LimitEnds { page: usize },
    /// A worker answers no call for so many rounds.
    Silence {
        worker: usize,
        rounds: u64,
        silence: WorkerSilence,
    },
    /// The capacity of a worker shrinks or grows to this many tasks while tasks run.
    Resize { worker: usize, tasks: u64 },
    /// From now on, this share of the rounds delivers no message between an agent and a leader;
    /// agents connect again now and then, and what they had sent before arrives later.
    Delay { percent: u64 },
    /// Rounds in which messages are lost, an agent is partitioned from the leaders, and orders
    /// are carried out seconds late.
    Rounds {
        count: usize,
        loss_percent: u64,
        late_percent: u64,
        cut_agent: Option<usize>,
        store_down: bool,
        seed: u64,
    },
}

/// A deliberate fault that shows that the checks can fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorldFault {
    /// The leader assumes, and the agents report, that leases are shorter than they are.
    ShortLease,
    /// Agents report more processors than there are, and workers accept every start.
    CapacityLie,
    /// A new leader does not read the recorded progress.
    ForgetProgress,
    /// Workers forget which attempts they have run.
    ForgetAttempts,
    /// A leader does not know the limits of the store.
    UnknownLimits,
    /// A leader handles rows of jobs that it has deleted since they were read.
    StaleRows,
    /// Workers do not tell that they have more ends than they list.
    HiddenEnds,
    /// Agents declare leases expired as soon as their workers do not answer.
    HastyExpiry,
    /// A new leader takes all leases of earlier leaders for expired.
    IgnoredPromise,
    /// Entries do not store the cancellation of a job that has no row.
    LostCancels,
    /// Agents go on renewing for a worker after they have reported it as unresponsive.
    SilentRenewal,
    /// Leaders count the leases as over at once, whatever an agent states.
    IgnoredLeaseWait,
    /// Agents count a grant from when they handle it, not from their report.
    LateGrant,
    /// The clocks of workers are slower than the platform allows.
    SlowClock,
    /// Leaders wait for leases that are longer than any that an agent gives.
    LongWait,
    /// Agents do not report that their workers are unresponsive, so that leaders go on granting.
    HiddenSilence,
    /// Leaders place nothing while a long-running task that has run does not run.
    IdlePlacement,
    /// The store goes on refusing rows that it is said to accept again.
    HiddenRefusal,
    /// Leaders keep what is free for tasks that still run on endpoints that leave.
    RestartAsNew,
}

/// Contents of the simulated store.
#[derive(Default)]
struct ModelStore {
    epoch: u64,
    sequence: u64,
    /// The leader's row, and when it was written.
    leader_row: v1::LeaderRow,
    row_written_at: u64,
    /// Number of the last change.
    version: u64,
    intake: BTreeMap<JobCode, JobSpec>,
    /// Version at which each job was accepted.
    accepted_at: BTreeMap<JobCode, u64>,
    cancelled: BTreeSet<JobCode>,
    progress: BTreeMap<JobCode, Vec<u8>>,
    parts: BTreeMap<(JobCode, ProgressPart), Vec<u8>>,
    /// Jobs of which it refuses all rows.
    refused: BTreeSet<JobCode>,
    /// The same of jobs whose rows it is said to accept again.
    refused_unseen: BTreeSet<JobCode>,
}

impl ModelStore {
    fn accept(&mut self, code: JobCode, spec: JobSpec) {
        self.version += 1;
        self.accepted_at.insert(code, self.version);
        self.intake.insert(code, spec);
    }

    fn delete(&mut self, code: JobCode) {
        self.intake.remove(&code);
        self.accepted_at.remove(&code);
        self.cancelled.remove(&code);
        self.progress.remove(&code);
        self.parts.retain(|(job, _), _| *job != code);
    }

    fn refuses(&self, plan: &CommitPlan) -> bool {
        let is_refused = |owner: &RowOwner| match owner {
            RowOwner::Job(code) => {
                self.refused.contains(code) || self.refused_unseen.contains(code)
            }
            RowOwner::Interference => false,
        };
        plan.owners().iter().any(is_refused)
    }
}

/// Returns how a write exceeds the limits of the store.
fn excess(plan: &CommitPlan, bounds: &StoreBounds) -> Option<String> {
    let values = plan.progress.iter().map(|(_, value)| value.len());
    let values = values.chain(plan.parts.iter().map(|(_, _, value)| value.len()));
    let sizes: Vec<usize> = values.collect();
    if let Some(size) = sizes.iter().find(|size| **size > bounds.value_bytes) {
        return Some(format!("a row has {size} bytes"));
    }
    let bytes: usize = sizes.iter().sum();
    let removed = 3 * plan.forgotten.len() + plan.forgotten_parts.len();
    let rows = sizes.len() + removed;
    let exceeds = bytes > bounds.transaction_bytes || rows > bounds.transaction_rows;
    exceeds.then(|| format!("a write has {rows} rows of {bytes} bytes"))
}

/// All rows of the jobs, as an entry read them, until it handles them.
struct IntakeRead {
    entry: usize,
    due_at: u64,
    /// Version of the store at the read.
    version: u64,
    jobs: Vec<(JobCode, JobSpec, u64)>,
    cancelled: BTreeSet<JobCode>,
}

/// A report that waits for a paused entry.
struct WaitingReport {
    agent: usize,
    /// Which of the agents of this number sent it.
    agent_start: u64,
    sent_at: u64,
    report: VmReport,
}

struct ModelAgent {
    table: AttemptTable,
    /// Tells it from the earlier agents of its VM.
    start: u64,
    /// It does not know the newer fields of messages.
    is_earlier: bool,
    declares_expiry_early: bool,
    limits: LeaseLimits,
    fence: u64,
    lease: WorkerLease,
    is_unresponsive: bool,
    /// When the poll fails that the worker has not answered so far.
    poll_fails_at: Option<u64>,
}

impl ModelAgent {
    /// Returns the deadline of the current lease by the worker's clock, in milliseconds.
    fn lease_deadline(&self) -> Option<u64> {
        let grant = self.table.grant()?;
        Some(grant.worker_deadline(&self.limits, &self.lease.reading()?))
    }

    /// Returns the deadline of a lease that counts from now, although no leader has granted it.
    fn ungranted_deadline(&self, now: MonoTime) -> Option<u64> {
        let grant = LeaseGrant { reported_at: now };
        self.table.grant()?;
        Some(grant.worker_deadline(&self.limits, &self.lease.reading()?))
    }

    fn begin_incarnation(&mut self) {
        self.lease = self.lease.next_incarnation();
        self.is_unresponsive = false;
        self.poll_fails_at = None;
        self.table.clear_synced();
    }

    /// Handles a poll that the worker has not answered.
    fn fail_poll(&mut self, failure: PollFailure, now: MonoTime) {
        self.poll_fails_at = None;
        self.is_unresponsive = true;
        let has_expired = self.lease.has_expired(now) || self.declares_expiry_early;
        self.table.handle_poll_failure(failure, has_expired, now);
    }
}

/// Connection of an agent to a leader, with the messages that are on their way.
struct ModelLink {
    entry: usize,
    agent: usize,
    number: u64,
    reports: VecDeque<VmReport>,
    orders: VecDeque<v1::VmOrders>,
}

pub struct World {
    now: u64,
    delay_percent: u64,
    link_count: u64,
    /// The connections that agents use, by entry and agent.
    links: BTreeMap<(usize, usize), ModelLink>,
    /// Connections that agents have replaced, with reports that have not arrived.
    replaced_links: Vec<ModelLink>,
    store: ModelStore,
    leaders: Vec<Option<JobScheduler>>,
    /// Jobs that the leader of each entry has deleted.
    forgotten: Vec<ForgottenJobs>,
    /// Jobs of which a worker has started a task.
    started_jobs: BTreeSet<JobCode>,
    /// Jobs that were cancelled before their rows appear, with the time when each does.
    late_jobs: Vec<(u64, JobCode)>,
    /// All such jobs so far.
    given_up: BTreeSet<JobCode>,
    /// Reads that are not handled yet, in their order.
    intake_reads: VecDeque<IntakeRead>,
    /// How long the state of an ended job is kept.
    retention: Duration,
    bounds: StoreBounds,
    /// Until when each entry is paused.
    paused_until: Vec<u64>,
    waiting_reports: Vec<Vec<WaitingReport>>,
    agents: Vec<ModelAgent>,
    workers: Vec<ModelWorker>,
    /// Limits of the workers' leases.
    limits: LeaseLimits,
    /// VMs that are being removed, or have been.
    removals: Vec<VmRemoval>,
    /// Agents that are suspended.
    suspensions: BTreeMap<usize, AgentSuspension>,
    absences: AbsenceLog,
    disturbances: DisturbanceLog,
    restarts: RestartLog,
    next_job: u64,
    next_fence: u64,
    next_heartbeat: u64,
    recorded_done: BTreeSet<TaskName>,
    /// Successful attempts whose ends were not acknowledged when their tasks started again.
    repeated: BTreeSet<AttemptKey>,
    /// Crashes of workers under each task.
    crashes: BTreeMap<TaskName, usize>,
    /// Attempts of each task that ran as a worker crashed or restarted.
    crashed_attempts: BTreeMap<TaskName, BTreeSet<AttemptKey>>,
    /// Violations of invariants that `check` cannot see in the current state.
    violations: Vec<String>,
    fault: Option<WorldFault>,
}

fn spec(now: u64, long_running: bool) -> JobSpec {
    let step = StepSpec {
        count: 3,
        need: ResourceSet::new(
            CoreCount::from_millicores(TASK_MILLICORES),
            MemorySize::new(1 << 30),
            AcceleratorCount::new(0),
        ),
        estimate: Duration::from_millis(worker::TASK_WORK),
        is_long_running: long_running,
        latency_target_millis: long_running.then_some(100),
        ..StepSpec::default()
    };
    let second = StepSpec {
        count: 2,
        after: vec![0],
        ..step.clone()
    };
    JobSpec {
        queue: QueuePolicy {
            route: "scan".to_owned(),
            service: "verdikt".to_owned(),
            priority: 0,
            attempt_limit: ATTEMPT_LIMIT as u32,
            stretch_permille: 2_000,
            objective: Duration::from_secs(1),
        },
        accepted_at: WallTime::from_millis(now),
        text: "text".to_owned(),
        steps: if long_running {
            vec![step]
        } else {
            vec![step, second]
        },
        repeat: None,
    }
}

/// Returns a heartbeat that another writer sends, or that arrives late.
fn odd_heartbeat(
    info: &EndpointInfo,
    last: u64,
    random: &mut SplitMixRandom,
) -> (EndpointInfo, u64) {
    let mut odd = info.clone();
    odd.capacity.cores = CoreCount::from_millicores(80 * TASK_MILLICORES);
    let far = 1_000_000 + random.next_bits() % (1 << 50);
    let number = match random.next_bits() % 6 {
        0 => {
            odd.incarnation.started_at_millis = far;
            1
        }
        1 => {
            odd.incarnation.started_at_millis -= 1;
            last
        }
        2 => {
            odd.incarnation.endpoint = format!("i-{far}");
            1
        }
        3 => {
            odd.service = "another".to_owned();
            last + 1
        }
        4 => {
            odd.is_draining = true;
            far
        }
        _ => far,
    };
    (odd, number)
}

impl World {
    pub fn new() -> Self {
        Self::with_fault(None)
    }

    pub fn with_fault(fault: Option<WorldFault>) -> Self {
        let names = ["w0", "w1", "w2"];
        let mut world = Self {
            now: 100_000,
            delay_percent: 0,
            link_count: 0,
            links: BTreeMap::new(),
            replaced_links: Vec::new(),
            store: ModelStore::default(),
            leaders: vec![None, None],
            forgotten: vec![ForgottenJobs::new(), ForgottenJobs::new()],
            started_jobs: BTreeSet::new(),
            late_jobs: Vec::new(),
            given_up: BTreeSet::new(),
            intake_reads: VecDeque::new(),
            retention: TERMS.retention,
            bounds: StoreBounds::default(),
            paused_until: vec![0, 0],
            waiting_reports: vec![Vec::new(), Vec::new()],
            agents: Vec::new(),
            workers: names.iter().map(|name| ModelWorker::new(name)).collect(),
            limits: LEASE,
            removals: Vec::new(),
            suspensions: BTreeMap::new(),
            absences: AbsenceLog::default(),
            disturbances: DisturbanceLog::default(),
            restarts: RestartLog::default(),
            next_job: 0,
            next_fence: 1,
            next_heartbeat: 0,
            recorded_done: BTreeSet::new(),
            repeated: BTreeSet::new(),
            crashes: BTreeMap::new(),
            crashed_attempts: BTreeMap::new(),
            violations: Vec::new(),
            fault,
        };
        for worker in &mut world.workers {
            worker.lies = fault == Some(WorldFault::CapacityLie);
            worker.forgets_attempts = fault == Some(WorldFault::ForgetAttempts);
            worker.hides_ends = fault == Some(WorldFault::HiddenEnds);
            if fault == Some(WorldFault::SlowClock) {
                worker.clock_slow_percent = EXCESSIVE_CLOCK_SLOW_PERCENT;
            }
        }
        if fault != Some(WorldFault::SlowClock) {
            world.workers[2].clock_slow_percent = CLOCK_SLOW_PERCENT;
        }
        // Two of the workers reject nothing for want of capacity.
        for worker in &mut world.workers[1..] {
            worker.accepts_all = true;
        }
        for number in 0..names.len() {
            let agent = world.new_agent(number);
            world.agents.push(agent);
        }
        world.take_over(0, false);
        world
    }

    fn mono(&self) -> MonoTime {
        MonoTime::from_millis(self.now)
    }

    fn wall(&self) -> WallTime {
        WallTime::from_millis(self.now)
    }

    fn new_agent(&mut self, number: usize) -> ModelAgent {
        let mut table = AttemptTable::new();
        self.send_heartbeats(number, &mut table);
        self.next_fence += 1;
        ModelAgent {
            table,
            start: self.next_fence,
            is_earlier: false,
            declares_expiry_early: self.fault == Some(WorldFault::HastyExpiry),
            limits: self.limits,
            fence: self.next_fence,
            lease: WorkerLease::new(),
            is_unresponsive: false,
            poll_fails_at: None,
        }
    }

    /// Sends the worker's heartbeat to a table, now and then after an odd one by another writer.
    fn send_heartbeats(&mut self, number: usize, table: &mut AttemptTable) {
        let worker = &self.workers[number];
        if worker.has_left {
            return;
        }
        let info = worker.info();
        let mut random = SplitMixRandom::new(self.now * 3 + number as u64);
        if random.next_bits().is_multiple_of(4) {
            let (odd, odd_number) = odd_heartbeat(&info, self.next_heartbeat, &mut random);
            // Decoding rejects numbers that no endpoint can have reached; a first heartbeat with a
            // possible one cannot be told from the endpoint's.
            if table.incarnation().is_some() || odd_number <= self.next_heartbeat + 1 {
                table.handle_heartbeat(odd, odd_number);
            }
        }
        self.next_heartbeat += 1;
        table.handle_heartbeat(info, self.next_heartbeat);
    }

    pub fn apply(&mut self, event: &WorldEvent) {
        match event {
            WorldEvent::Submit { long_running } => {
                self.next_job += 1;
                let code = JobCode::new(self.next_job);
                self.store.accept(code, spec(self.now, *long_running));
            }
            WorldEvent::SubmitLimited => {
                self.next_job += 1;
                let mut spec = spec(self.now, true);
                spec.steps[0].vm_limit = Some(VM_LIMIT);
                self.store.accept(JobCode::new(self.next_job), spec);
            }
            WorldEvent::SubmitServing {
                tasks,
                millicores,
                is_limited,
            } => {
                self.next_job += 1;
                let mut spec = spec(self.now, true);
                spec.steps[0].count = *tasks;
                spec.steps[0].need.cores = CoreCount::from_millicores(*millicores);
                spec.steps[0].vm_limit = is_limited.then_some(VM_LIMIT);
                self.store.accept(JobCode::new(self.next_job), spec);
            }
            WorldEvent::SubmitCrashing => {
                self.next_job += 1;
                let mut spec = spec(self.now, false);
                spec.text = CRASHING_TEXT.to_owned();
                self.store.accept(JobCode::new(self.next_job), spec);
            }
            WorldEvent::SubmitSaving => {
                self.next_job += 1;
                let mut spec = spec(self.now, false);
                spec.text = SAVING_TEXT.to_owned();
                self.store.accept(JobCode::new(self.next_job), spec);
            }
            WorldEvent::RefuseRows { on } => {
                let newest = on.then_some(JobCode::new(self.next_job));
                if self.fault == Some(WorldFault::HiddenRefusal) {
                    self.store.refused_unseen = std::mem::take(&mut self.store.refused);
                }
                self.store.refused = newest.into_iter().collect();
            }
            WorldEvent::ForgetHistory { rounds } => self.read_intake(*rounds),
            WorldEvent::Cancel => {
                let newest = JobCode::new(self.next_job);
                // A job that has been deleted can no longer be cancelled.
                if self.store.intake.contains_key(&newest) {
                    self.store.cancelled.insert(newest);
                }
            }
            WorldEvent::CancelUnknown { rounds } => {
                self.next_job += 1;
                let code = JobCode::new(self.next_job);
                if self.fault != Some(WorldFault::LostCancels) {
                    self.store.cancelled.insert(code);
                }
                self.given_up.insert(code);
                self.late_jobs.push((self.now + rounds * ROUND, code));
            }
            WorldEvent::TakeOver(entry) => self.take_over(*entry, false),
            WorldEvent::TakeOverUnseen(entry) => self.take_over(*entry, true),
            WorldEvent::ReplaceAgent { agent, is_earlier } => {
                self.suspensions.remove(agent);
                self.agents[*agent] = ModelAgent {
                    is_earlier: *is_earlier,
                    ..self.new_agent(*agent)
                };
                for entry in 0..self.leaders.len() {
                    self.replace_link(entry, *agent);
                }
            }
            WorldEvent::PauseEntry { entry, rounds } => {
                self.paused_until[*entry] = self.now + rounds * ROUND;
            }
            WorldEvent::KillAgent(number) => {
                self.suspensions.remove(number);
                self.agents[*number] = self.new_agent(*number);
                for entry in 0..self.leaders.len() {
                    self.replace_link(entry, *number);
                }
            }
            WorldEvent::Delay { percent } => self.delay_percent = *percent,
            WorldEvent::RestartWorker(number) => {
                let now = self.now;
                if !self.is_worker_lost(*number) {
                    self.workers[*number].restart(now);
                }
            }
            WorldEvent::Remove {
                worker,
                drains_before,
                order,
                returns_after,
            } => {
                let notice = if *drains_before { DRAIN_NOTICE } else { 0 };
                self.remove_vm(*worker, notice, *order, *returns_after);
            }
            WorldEvent::Retire { worker, rounds } => {
                self.remove_vm(*worker, rounds * ROUND, RemovalOrder::Together, None);
            }
            WorldEvent::Register { worker } => self.register_vm(*worker),
            WorldEvent::IgnoreStarts { worker, rounds } => {
                self.workers[*worker].ignore_starts(self.now + rounds * ROUND);
            }
            WorldEvent::SuspendAgent { agent, rounds } => self.suspend_agent(*agent, *rounds),
            WorldEvent::Leave { worker, with_agent } => self.leave(*worker, *with_agent),
            WorldEvent::Resize { worker, tasks } => {
                let now = self.now;
                self.workers[*worker].resize(*tasks, now);
            }
            WorldEvent::Silence {
                worker,
                rounds,
                silence,
            } => {
                let until = self.now + rounds * ROUND;
                if !self.is_worker_lost(*worker) {
                    self.workers[*worker].set_silence(until, *silence);
                }
            }
            WorldEvent::LimitEnds { page } => {
                for worker in &mut self.workers {
                    worker.end_page = *page;
                }
            }
            WorldEvent::FailLongRunning { worker, count } => {
                self.workers[*worker].fail_long_running(*count);
            }
            WorldEvent::FailAll { worker, on } => self.workers[*worker].fail_all = *on,
            WorldEvent::Rounds {
                count,
                loss_percent,
                late_percent,
                cut_agent,
                store_down,
                seed,
            } => {
                let mut random = SplitMixRandom::new(*seed);
                let is_shared = *loss_percent > 0 || *late_percent > 0 || *store_down;
                for _ in 0..*count {
                    if is_shared {
                        self.disturb_shared();
                    }
                    self.round(
                        &mut random,
                        *loss_percent,
                        *late_percent,
                        *cut_agent,
                        *store_down,
                    );
                }
                if is_shared {
                    self.disturb_shared();
                }
            }
        }
    }

    fn leave(&mut self, number: usize, with_agent: bool) {
        // A crashed worker sends nothing, so it cannot deregister.
        if self.workers[number].down_until.is_some() || self.is_worker_lost(number) {
            return;
        }
        self.workers[number].leave();
        // A suspended agent does not learn of it.
        if self.is_agent_idle(number) {
            return;
        }
        let now = self.mono();
        let agent = &mut self.agents[number];
        agent.table.announce_departure();
        agent.fail_poll(PollFailure::Refused, now);
        if with_agent {
            // Its last report reaches every leader.
            for entry in 0..self.leaders.len() {
                self.exchange(entry, number);
            }
            self.agents[number] = self.new_agent(number);
        }
    }

    /// Keeps the state of ended jobs for this time only.
    pub fn with_retention(mut self, retention: Duration) -> Self {
        self.retention = retention;
        self.take_over(0, false);
        self
    }

    /// Limits the rows and writes of the store.
    pub fn with_store_bounds(mut self, bounds: StoreBounds) -> Self {
        self.bounds = bounds;
        self.take_over(0, false);
        self
    }

    /// Has workers accept leases of `accepted`, and agents and leaders count with these.
    pub fn with_leases(mut self, accepted: Duration) -> Self {
        self.limits = LeaseLimits::new(accepted);
        for worker in &mut self.workers {
            // A worker accepts a little more than agents count with.
            worker.longest_lease = accepted.as_millis() as u64 + 100;
        }
        for agent in &mut self.agents {
            agent.limits = self.limits;
        }
        self.take_over(0, false);
        self
    }

    fn read_intake(&mut self, rounds: u64) {
        for entry in 0..self.leaders.len() {
            // An entry reads again only after it has handled the rows of the last read.
            let earlier = self.intake_reads.iter().map(|read| read.due_at).max();
            let due_at = (self.now + rounds * ROUND).max(earlier.unwrap_or_default());
            let jobs = self.store.intake.iter().map(|(code, spec)| {
                let version = self.store.accepted_at[code];
                (*code, spec.clone(), version)
            });
            self.intake_reads.push_back(IntakeRead {
                entry,
                due_at,
                version: self.store.version,
                jobs: jobs.collect(),
                cancelled: self.store.cancelled.clone(),
            });
        }
    }

    /// Writes the rows of jobs that were cancelled before, on condition that the cancellation is
    /// still there: no write is on its way for longer than it is kept.
    fn accept_late_jobs(&mut self) {
        let now = self.now;
        let (due, rest) = self.late_jobs.drain(..).partition(|(at, _)| *at <= now);
        self.late_jobs = rest;
        for (_, code) in due {
            let is_kept = self.store.cancelled.contains(&code);
            if is_kept || self.fault == Some(WorldFault::LostCancels) {
                self.store.accept(code, spec(now, false));
            }
        }
    }

    /// Returns the number of cancellations in the store whose jobs are not there.
    pub fn early_cancels(&self) -> usize {
        let cancelled = self.store.cancelled.iter();
        let unknown = cancelled.filter(|code| !self.store.intake.contains_key(code));
        unknown.count()
    }

    /// Has an entry handle the rows that it has read.
    fn handle_intake(&mut self, entry: usize, leader: &mut JobScheduler) {
        let wall = self.wall();
        let is_due = |read: &IntakeRead| read.entry == entry && read.due_at <= self.now;
        while let Some(position) = self.intake_reads.iter().position(is_due)
            && let Some(read) = self.intake_reads.remove(position)
        {
            let forgotten = &mut self.forgotten[entry];
            let ignores = self.fault == Some(WorldFault::StaleRows);
            for (code, spec, version) in read.jobs {
                if ignores || forgotten.deleted_after(code, version).is_none() {
                    leader.add_job(code, spec, wall);
                    if read.cancelled.contains(&code) {
                        leader.cancel_job(code, wall);
                    }
                }
            }
            forgotten.prune(read.version);
        }
    }

    fn take_over(&mut self, entry: usize, is_unseen: bool) {
        self.disturb_shared();
        if !is_unseen {
            self.leaders[1 - entry] = None;
        }
        self.waiting_reports[entry].clear();
        // The connections end with the leadership that they were opened to.
        self.links.retain(|(known, _), _| *known != entry);
        self.replaced_links.retain(|link| link.entry != entry);
        self.forgotten[entry] = ForgottenJobs::new();
        self.intake_reads.retain(|read| read.entry != entry);
        let is_first = self.store.epoch == 0;
        self.store.epoch += 1;
        self.store.sequence = 0;
        let mut terms = LeaderTimeouts {
            retention: self.retention,
            lease: self.limits,
            ..TERMS
        };
        if self.fault == Some(WorldFault::ShortLease) {
            terms.lease = SHORT_LEASE;
        }
        let written_at = MonoTime::from_millis(self.store.row_written_at);
        let earlier = LeasePromise::read(&self.store.leader_row, &terms.lease, written_at);
        let now = self.mono();
        let earlier = match self.fault {
            Some(WorldFault::IgnoredPromise) => LeasePromise::new(now),
            _ if is_first => LeasePromise::none(),
            _ => earlier,
        };
        let own = earlier.take_over(&terms.lease, terms.renewal_window, now);
        own.write(&mut self.store.leader_row, now);
        self.store.row_written_at = self.now;
        let mut scheduler = JobScheduler::new(
            terms,
            self.store.epoch,
            format!("entry-{entry}"),
            String::new(),
            self.mono(),
        )
        .with_promises(earlier, own);
        if self.fault == Some(WorldFault::RestartAsNew) {
            scheduler = scheduler.with_policies(PolicySet {
                long_running_restart: LongRunningRestart::AsNew,
                ..PolicySet::default()
            });
        }
        if self.fault != Some(WorldFault::UnknownLimits) {
            scheduler = scheduler.with_store_bounds(self.bounds);
        }
        for (code, spec) in &self.store.intake {
            scheduler.add_job(*code, spec.clone(), self.wall());
        }
        let recorded = self
            .store
            .progress
            .iter()
            .filter(|_| self.fault != Some(WorldFault::ForgetProgress));
        for (code, value) in recorded {
            let progress = v1::JobProgress::decode(value.as_slice()).unwrap();
            scheduler.restore_job(*code, progress);
        }
        for ((code, part), value) in &self.store.parts {
            let progress = v1::JobProgress::decode(value.as_slice()).unwrap();
            scheduler.restore_part(*code, *part, progress);
        }
        self.leaders[entry] = Some(scheduler);
    }

    fn round(
        &mut self,
        random: &mut SplitMixRandom,
        loss_percent: u64,
        late_percent: u64,
        cut_agent: Option<usize>,
        store_down: bool,
    ) {
        let from = self.now;
        self.now += ROUND;
        self.accept_late_jobs();
        self.advance_removals();
        self.advance_suspensions();
        for number in 0..self.workers.len() {
            let started = self.workers[number].advance(from, self.now);
            self.record_starts(&started);
        }
        for number in 0..self.agents.len() {
            let is_lost = random.next_bits() % 100 < loss_percent;
            if self.is_agent_idle(number) {
                continue;
            }
            if !is_lost {
                self.poll_worker(number);
            }
            self.send_commands(number, random, late_percent);
        }
        // Two runs of a task may overlap for a few rounds only.
        self.violations.extend(self.violation());
        for entry in 0..self.leaders.len() {
            self.run_leader(entry, store_down);
            for number in 0..self.agents.len() {
                let is_lost = random.next_bits() % 100 < loss_percent;
                if cut_agent == Some(number) || is_lost || self.is_agent_idle(number) {
                    continue;
                }
                if self.delay_percent == 0 {
                    self.exchange(entry, number);
                } else {
                    self.exchange_delayed(entry, number, random);
                }
            }
        }
        self.deliver_replaced(random);
        self.record_absences();
        self.record_disturbances(cut_agent);
        self.check_restarts();
    }

    /// Replaces an agent's connection: no orders arrive over the earlier one any more, but
    /// what the agent had sent may.
    fn replace_link(&mut self, entry: usize, agent: usize) {
        if let Some(mut link) = self.links.remove(&(entry, agent)) {
            link.orders.clear();
            self.replaced_links.push(link);
        }
    }

    /// Sends an agent's report to an entry, and delivers what is on its way unless that is
    /// delayed in this round.
    fn exchange_delayed(&mut self, entry: usize, number: usize, random: &mut SplitMixRandom) {
        let mut happens = |percent: u64| random.next_bits() % 100 < percent;
        if happens(RECONNECT_PERCENT) {
            self.replace_link(entry, number);
        }
        let (reports_pass, orders_pass) =
            (!happens(self.delay_percent), !happens(self.delay_percent));
        let Some(epoch) = self.leaders[entry].as_ref().map(JobScheduler::epoch) else {
            return;
        };
        // The agent reports only to the newest leader that it knows of.
        if epoch < self.agents[number].table.epoch() {
            self.replace_link(entry, number);
            return;
        }
        let report = self.build_report(number);
        self.link_count += 1;
        let mut link = self
            .links
            .remove(&(entry, number))
            .unwrap_or_else(|| ModelLink {
                entry,
                agent: number,
                number: self.link_count,
                reports: VecDeque::new(),
                orders: VecDeque::new(),
            });
        link.reports.push_back(report);
        if reports_pass && !self.is_paused(entry) {
            self.deliver_reports(&mut link);
        }
        if orders_pass {
            for orders in link.orders.drain(..) {
                self.deliver_orders(number, orders);
            }
        }
        self.links.insert((entry, number), link);
    }

    /// Delivers the reports of a connection, and adds the leader's orders to it.
    fn deliver_reports(&mut self, link: &mut ModelLink) {
        let (now, wall) = (self.mono(), self.wall());
        let Some(leader) = &mut self.leaders[link.entry] else {
            return;
        };
        let vm = format!("w{}", link.agent);
        for report in link.reports.drain(..) {
            if leader.handle_link_report(link.number, report, now, wall) {
                link.orders.extend(leader.orders(&vm, now));
            }
        }
    }

    /// Delivers the reports of some of the connections that agents have replaced.
    fn deliver_replaced(&mut self, random: &mut SplitMixRandom) {
        if self.replaced_links.is_empty() {
            return;
        }
        let links = std::mem::take(&mut self.replaced_links);
        for mut link in links {
            let is_delayed = random.next_bits() % 100 < self.delay_percent;
            if is_delayed || self.is_paused(link.entry) {
                self.replaced_links.push(link);
            } else {
                self.deliver_reports(&mut link);
            }
        }
    }

    fn build_report(&self, number: usize) -> VmReport {
        let agent = &self.agents[number];
        let mut message = agent
            .table
            .report(&format!("w{number}"), "morava-a", self.mono())
            .write();
        message.unresponsive =
            agent.is_unresponsive && self.fault != Some(WorldFault::HiddenSilence);
        let (grant, now) = (agent.table.grant(), self.mono());
        let lease_wait = match self.fault {
            Some(WorldFault::ShortLease) => SHORT_LEASE.wait(),
            Some(WorldFault::IgnoredLeaseWait) => Duration::from_millis(1),
            Some(WorldFault::LongWait) => Duration::from_millis(LONG_WAIT),
            _ => {
                let limits = &agent.limits;
                agent.lease.wait(limits, grant, agent.is_unresponsive, now)
            }
        };
        message.lease_wait_millis = lease_wait.as_millis() as u64;
        let own_wait = match self.fault {
            Some(WorldFault::LongWait) => lease_wait,
            _ => {
                let limits = &agent.limits;
                agent
                    .lease
                    .own_wait(limits, grant, agent.is_unresponsive, now)
            }
        };
        message.own_lease_wait_millis = (own_wait.as_millis() as u64).max(1);
        if agent.is_earlier {
            message.unresponsive = false;
            message.crash = None;
            message.lease_wait_millis = 0;
            message.own_lease_wait_millis = 0;
            for run in &mut message.runs {
                run.confirmed = false;
            }
        }
        VmReport::read(message).unwrap()
    }

    /// Polls a worker once, as its agent's loop does.
    fn poll_worker(&mut self, number: usize) {
        let now = self.mono();
        let mut table = std::mem::take(&mut self.agents[number].table);
        self.send_heartbeats(number, &mut table);
        let worker = &mut self.workers[number];
        let agent = &mut self.agents[number];
        agent.table = table;
        match agent.poll_fails_at {
            Some(at) if self.now < at => return,
            Some(_) => agent.fail_poll(PollFailure::Unanswered, now),
            None => {}
        }
        if agent.table.incarnation().is_none() {
            return;
        }
        if !agent.table.is_synced() {
            self.next_fence += 1;
            agent.fence = self.next_fence.max(worker.fence());
        }
        // The leases of an unresponsive worker are not renewed, so that they expire.
        let deadline = match self.fault {
            _ if !agent.is_unresponsive => {
                let grant = agent.table.grant().filter(|_| agent.table.is_synced());
                grant.and_then(|grant| agent.lease.renewal(&agent.limits, grant, now))
            }
            Some(WorldFault::SilentRenewal) => agent.ungranted_deadline(now),
            _ => None,
        };
        agent.lease.record_deadline(deadline.unwrap_or_default());
        let mark = agent.table.list_mark();
        let info = worker.info().incarnation;
        let known = agent.table.incarnation().map(|known| &known.endpoint);
        if known != Some(&info.endpoint) {
            if worker.answers(self.now) && agent.table.refute_endpoint() {
                agent.begin_incarnation();
            }
            return;
        }
        match worker.renew(agent.fence, agent.table.recorded_end(), deadline, self.now) {
            PollAnswer::Lists(lists) => {
                if agent
                    .table
                    .confirm_incarnation(mark, info.started_at_millis)
                {
                    agent.begin_incarnation();
                    return;
                }
                agent.is_unresponsive = false;
                agent.lease.record_reading(ClockReading {
                    received_at: now,
                    worker_millis: worker.clock(self.now),
                });
                if !agent.table.is_synced() {
                    agent.lease.record_fencing(&agent.limits, now);
                }
                agent.lease.record_renewal(deadline.unwrap_or_default());
                agent.table.set_synced();
                agent.table.apply_lists(mark, lists);
            }
            PollAnswer::Fenced => agent.table.clear_synced(),
            PollAnswer::Closed => agent.fail_poll(PollFailure::Refused, now),
            PollAnswer::Unknown => {
                if deadline.is_some() {
                    agent.lease.record_unanswered(now);
                }
                agent.poll_fails_at = Some(self.now + POLL_TIMEOUT);
            }
        }
    }

    fn send_commands(&mut self, number: usize, random: &mut SplitMixRandom, late_percent: u64) {
        let now = self.mono();
        let agent = &mut self.agents[number];
        let Some(deadline) = agent.lease_deadline() else {
            return;
        };
        let fence = agent.fence;
        let mut started = Vec::new();
        let commands = agent.table.take_commands(now);
        if !commands.is_empty() {
            agent.lease.record_deadline(deadline);
        }
        for call in commands {
            let is_late = random.next_bits() % 100 < late_percent;
            let late_at = is_late.then(|| self.now + 2_000 + random.next_bits() % 10_000);
            let worker = &mut self.workers[number];
            match call {
                WorkerCommand::Start(plan) => {
                    // A start is sent only to a worker that answers in the known incarnation.
                    let is_known = agent.table.incarnation() == Some(&worker.info().incarnation);
                    let is_due = worker.answers(self.now)
                        && is_known
                        && (!plan.is_suspect || agent.table.record_probe_answer(&plan.key));
                    let (answer, key) = if is_due {
                        worker.start(fence, &plan, deadline, self.now, late_at)
                    } else {
                        (StartAnswer::NotSent, None)
                    };
                    started.extend(key);
                    if answer == StartAnswer::Unknown {
                        agent.lease.record_unanswered(now);
                    }
                    agent.table.handle_start_answer(plan.key, answer, now);
                }
                WorkerCommand::Stop(key) => {
                    let answer = worker.stop(fence, key, self.now, late_at);
                    agent.table.handle_stop_answer(key, answer, now);
                }
            }
        }
        self.record_starts(&started);
    }

    fn record_starts(&mut self, started: &[AttemptKey]) {
        for worker in &mut self.workers {
            for key in worker.noted.drain(..) {
                if self.repeated.contains(&key) {
                    let text = format!("{} started again after it had succeeded", key.task);
                    self.violations.push(text);
                }
            }
            for key in worker.crashed_under.drain(..) {
                self.crashed_attempts
                    .entry(key.task)
                    .or_default()
                    .insert(key);
            }
            for task in worker.crashed_by.drain(..) {
                let crashes = self.crashes.entry(task).or_default();
                *crashes += 1;
                if *crashes > CRASH_LIMIT {
                    self.violations
                        .push(format!("{task} has crashed {crashes} workers"));
                }
            }
        }
        for key in started {
            self.started_jobs.insert(key.task.job);
            if self.given_up.contains(&key.task.job) {
                let text = format!("{} started although it was cancelled before", key.task);
                self.violations.push(text);
            }
            let earlier = self.workers.iter();
            let earlier = earlier.filter_map(|worker| worker.earlier_success(key));
            self.repeated.extend(earlier);
            let is_completed = self
                .workers
                .iter()
                .any(|worker| worker.succeeded.contains(&key.task));
            if is_completed && self.recorded_done.contains(&key.task) {
                self.violations
                    .push(format!("{} started after its end was recorded", key.task));
            }
        }
    }

    /// Runs a leader once: reads the store, places tasks and writes.
    fn run_leader(&mut self, entry: usize, store_down: bool) {
        let (now, wall) = (self.mono(), self.wall());
        if self.is_paused(entry) {
            return;
        }
        self.handle_waiting_reports(entry);
        let Some(mut leader) = self.leaders[entry].take() else {
            return;
        };
        if !store_down {
            for (code, spec) in &self.store.intake {
                leader.add_job(*code, spec.clone(), wall);
            }
            for code in &self.store.cancelled {
                leader.cancel_job(*code, wall);
            }
        }
        self.handle_intake(entry, &mut leader);
        leader.tick(now);
        let is_idle = self.fault == Some(WorldFault::IdlePlacement) && self.has_absences();
        if !is_idle {
            leader.place(now, wall);
        }
        if store_down {
            self.leaders[entry] = Some(leader);
            return;
        }
        if let Some(plan) = leader.begin_commit(now, wall) {
            if leader.epoch() != self.store.epoch {
                // Another entry is the leader; this one learns of it here and stops.
                return;
            }
            if self.store.refuses(&plan) {
                leader.commit_refused(&plan, now);
                self.leaders[entry] = Some(leader);
                return;
            }
            self.write(&plan);
            for code in &plan.forgotten {
                self.forgotten[entry].record(*code, self.store.version);
            }
            leader.commit_done(&plan, now);
        }
        self.leaders[entry] = Some(leader);
    }

    fn write(&mut self, plan: &CommitPlan) {
        self.violations.extend(excess(plan, &self.bounds));
        self.store.sequence = plan.sequence;
        self.store.leader_row = v1::LeaderRow::decode(plan.leader_row.as_slice()).unwrap();
        self.store.row_written_at = self.now;
        for (code, part, value) in &plan.parts {
            self.store.parts.insert((*code, *part), value.clone());
        }
        for (code, value) in &plan.progress {
            let progress = v1::JobProgress::decode(value.as_slice()).unwrap();
            for task in &progress.tasks {
                if task.done {
                    self.recorded_done.insert(TaskName {
                        job: *code,
                        occurrence: task.occurrence,
                        step: task.step,
                        index: task.index,
                    });
                }
                if task.failed_runs.len() > ATTEMPT_LIMIT {
                    self.violations.push(format!("{code} failed too often"));
                }
            }
            let has_cause = progress.tasks.iter().any(|task| {
                let name = TaskName {
                    job: *code,
                    occurrence: task.occurrence,
                    step: task.step,
                    index: task.index,
                };
                let crashes = self.crashed_attempts.get(&name).map(BTreeSet::len);
                task.failed_runs.len() >= ATTEMPT_LIMIT
                    || crashes.unwrap_or_default() >= FATAL_CRASHES
            });
            if JobPhase::read(progress.phase) == Some(JobPhase::Failed) && !has_cause {
                self.violations.push(format!("{code} failed without cause"));
            }
            self.store.progress.insert(*code, value.clone());
        }
        self.store.version += 1;
        for code in &plan.forgotten {
            self.store.delete(*code);
        }
    }

    fn is_paused(&self, entry: usize) -> bool {
        self.now < self.paused_until[entry]
    }

    /// Sends an agent's report to an entry and applies the orders it returns.
    fn exchange(&mut self, entry: usize, number: usize) {
        let agent = &self.agents[number];
        // The agent reports only to the newest leader that it knows of.
        let is_newest = |leader: &JobScheduler| leader.epoch() >= agent.table.epoch();
        if !self.leaders[entry].as_ref().is_some_and(is_newest) {
            return;
        }
        let report = WaitingReport {
            agent: number,
            agent_start: agent.start,
            sent_at: self.now,
            report: self.build_report(number),
        };
        if self.is_paused(entry) {
            self.waiting_reports[entry].push(report);
        } else {
            self.handle_report(entry, report);
        }
    }

    fn handle_waiting_reports(&mut self, entry: usize) {
        for report in std::mem::take(&mut self.waiting_reports[entry]) {
            self.handle_report(entry, report);
        }
    }

    /// Has an entry handle a report, and sends the orders that answer it.
    fn handle_report(&mut self, entry: usize, waiting: WaitingReport) {
        let (now, wall) = (self.mono(), self.wall());
        self.replace_link(entry, waiting.agent);
        self.link_count += 1;
        let Some(leader) = &mut self.leaders[entry] else {
            return;
        };
        let vm = waiting.report.vm.clone();
        leader.handle_link_report(self.link_count, waiting.report, now, wall);
        let agent = &self.agents[waiting.agent];
        let is_connected =
            agent.start == waiting.agent_start && self.now <= waiting.sent_at + LEADER_TIMEOUT;
        if let (true, Some(orders)) = (is_connected, leader.orders(&vm, now)) {
            self.deliver_orders(waiting.agent, orders);
        }
    }

    /// Returns a job that a leader counts as begun although no worker has started a task of it.
    fn wrongly_begun_job(&self) -> Option<JobCode> {
        let leaders = self.leaders.iter().flatten();
        let mut jobs = leaders.flat_map(|leader| {
            let codes = self.store.intake.keys();
            codes.filter_map(|code| leader.job(*code))
        });
        let job = jobs
            .find(|job| job.phase == JobPhase::Running && !self.started_jobs.contains(&job.code()));
        job.map(JobState::code)
    }

    /// Returns a violation of the invariants on what the workers actually run.
    fn violation(&self) -> Option<String> {
        if let Some(code) = self.wrongly_begun_job() {
            return Some(format!(
                "{code} counts as begun, and nothing of it was started"
            ));
        }
        let mut seen = BTreeSet::new();
        for worker in &self.workers {
            let name = &worker.name;
            if let Some(task) = worker.tasks().into_iter().find(|task| !seen.insert(*task)) {
                return Some(format!("{task} runs in two places"));
            }
            if worker.is_overfilled() {
                return Some(format!("{name} is overfilled"));
            }
            if let Some(text) = worker.wrong_starts.first() {
                return Some(text.clone());
            }
            let mut counts: BTreeMap<TaskName, u32> = BTreeMap::new();
            for task in worker.tasks() {
                *counts.entry(task.first_of_step()).or_default() += 1;
            }
            for (first, count) in counts {
                let job = self.store.intake.get(&first.job);
                let limit = job.and_then(|spec| spec.steps[first.step as usize].vm_limit);
                if limit.is_some_and(|limit| count > limit) {
                    return Some(format!("{name} has {count} tasks of the step of {first}"));
                }
            }
        }
        None
    }

    /// Checks the invariants in all rounds so far and in the current state.
    pub fn check(&self) -> Result<(), TestCaseError> {
        let violation = self.violations.first().cloned().or(self.violation());
        prop_assert!(violation.is_none(), "{:?}", violation);
        // A deliberate fault may delay restarts as well.
        let late = self.late_restart().filter(|_| self.fault.is_none());
        prop_assert!(late.is_none(), "{:?}", late);
        Ok(())
    }

    /// Restores all processes, and runs 1,600 rounds without faults.
    pub fn run_without_faults(&mut self) {
        self.take_over(0, false);
        self.run_calmly(1_600);
    }

    /// Restores all processes but the leader, and runs without faults.
    pub fn run_calmly(&mut self, rounds: usize) {
        self.delay_percent = 0;
        self.store.refused.clear();
        let now = self.now;
        self.paused_until.fill(now);
        self.restore_vms();
        for worker in &mut self.workers {
            worker.fail_all = false;
            worker.set_silence(now, WorkerSilence::Deaf);
            worker.resize(WORKER_MILLICORES / TASK_MILLICORES, now);
            if worker.has_left {
                worker.restart(now);
            }
        }
        self.apply(&WorldEvent::Rounds {
            count: rounds,
            loss_percent: 0,
            late_percent: 0,
            cut_agent: None,
            store_down: false,
            seed: 1,
        });
    }

    /// Returns whether any task of the newest job runs.
    pub fn runs_newest_job(&self) -> bool {
        let newest = JobCode::new(self.next_job);
        let mut running = self.workers.iter().flat_map(ModelWorker::running);
        running.any(|key| key.task.job == newest)
    }

    /// Returns the jobs with tasks that run now and that the leader counts as waiting.
    pub fn wrongly_waiting(&self) -> Vec<JobCode> {
        let leader = self.leaders[0].as_ref().unwrap();
        let running = self.workers.iter().flat_map(ModelWorker::running);
        let codes: BTreeSet<JobCode> = running.map(|key| key.task.job).collect();
        let is_waiting = |code: &JobCode| {
            let job = leader.job(*code);
            job.is_some_and(|job| job.phase == JobPhase::Queued)
        };
        codes.into_iter().filter(is_waiting).collect()
    }

    /// Returns the finite jobs that have not ended.
    pub fn unfinished(&self) -> Vec<JobCode> {
        let leader = self.leaders[0].as_ref().unwrap();
        self.store
            .intake
            .iter()
            .filter(|(_, spec)| !spec.is_long_running())
            .filter(|(code, _)| {
                leader
                    .job(**code)
                    .is_none_or(|job| !job.phase.is_terminal())
            })
            .map(|(code, _)| *code)
            .collect()
    }

    /// Returns how many long-running jobs are wanted, and how many of their tasks run.
    pub fn long_running_counts(&self) -> (usize, usize) {
        let wanted = self
            .store
            .intake
            .iter()
            .filter(|(code, spec)| spec.is_long_running() && !self.store.cancelled.contains(code))
            .count();
        let running = self
            .workers
            .iter()
            .flat_map(ModelWorker::running)
            .filter(|key| {
                let job = self.store.intake.get(&key.task.job);
                job.is_some_and(JobSpec::is_long_running)
            })
            .count();
        (wanted, running)
    }
}
