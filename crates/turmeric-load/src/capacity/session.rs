//! Simulated agent that uses the real control protocol and keeps its worker's tasks in memory.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use eyre::Result;
use turmeric_daemon::ControlClient;
use turmeric_schema::{Message, v1};
use turmeric_tasks::{AgentAction, AgentTasks, LeaseTerms, write_resources};
use turmeric_types::{
    AcceleratorCount, AttemptNumber, CoreCount, Incarnation, MemorySize, MonoTime, ResourceSet,
    TaskId, WallTime,
};
use turmeric_worker::{StopKind, StopResponse, TaskPhase, WorkerStatus, WorkerTask};

/// Maximum wait for a reply beyond the entry's long-poll timeout.
const REPLY_SLACK: Duration = Duration::from_secs(5);

/// Time for which a task keeps running without a lease renewal from its owner.
const TASK_LEASE: Duration = Duration::from_secs(120);

/// Interval between checks of the worker status.
const STATUS_INTERVAL: Duration = Duration::from_millis(500);

/// Counters shared by all sessions of a measurement.
#[derive(Default)]
pub(crate) struct SessionTotals {
    pub(crate) polls: u64,
    pub(crate) poll_bytes: u64,
    pub(crate) reply_bytes: u64,
    /// Start time of each started task.
    pub(crate) starts: Vec<(TaskId, Instant)>,
}

/// Totals that all sessions of a measurement update.
pub(crate) type SharedTotals = Arc<Mutex<SessionTotals>>;

/// Locks the totals, also after a session panicked while it held the lock.
pub(crate) fn lock(totals: &SharedTotals) -> MutexGuard<'_, SessionTotals> {
    totals.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Task of the in-memory worker, which succeeds at `ends_at`.
struct MemoryTask {
    status: WorkerTask,
    ends_at: MonoTime,
}

/// Simulated agent with an in-memory worker; its session with the entry is a real one.
pub(crate) struct SessionAgent {
    name: String,
    started_at: Instant,
    tasks: AgentTasks,
    worker: BTreeMap<(TaskId, AttemptNumber), MemoryTask>,
    client: ControlClient,
    totals: SharedTotals,
    poll_timeout: Duration,
}

fn capacity() -> ResourceSet {
    ResourceSet::new(
        CoreCount::from_millicores(64_000),
        MemorySize::new(250 << 30),
        AcceleratorCount::new(2),
    )
}

impl SessionAgent {
    /// Creates agent `number`, which connects to the entry at `control`.
    pub(crate) fn new(number: usize, control: SocketAddr, totals: SharedTotals) -> Result<Self> {
        let started_at = Instant::now();
        let incarnation = Incarnation::new(wall_time().as_millis());
        let status = WorkerStatus {
            instance: number as u32,
            clock: MonoTime::default(),
            capacity: capacity(),
            incarnation,
            tasks: Vec::new(),
            used_millicores: 0,
        };
        Ok(Self {
            name: format!("w{number:04}.{number:08x}"),
            started_at,
            tasks: AgentTasks::new(incarnation, LeaseTerms::new(TASK_LEASE), &status, 1),
            worker: BTreeMap::new(),
            client: ControlClient::open(control)?,
            totals,
            poll_timeout: Duration::from_secs(1),
        })
    }

    fn clock(&self) -> MonoTime {
        MonoTime::from_micros(self.started_at.elapsed().as_micros() as u64)
    }

    fn announcement(&self) -> v1::Announcement {
        v1::Announcement {
            worker: self.name.split('.').next().unwrap_or_default().to_owned(),
            region: "morava".to_owned(),
            zone: "morava-a".to_owned(),
            rack: "r1".to_owned(),
            address: "127.0.0.1:9".to_owned(),
            capacity: Some(write_resources(&capacity())),
            endpoints: vec![v1::Endpoint {
                service: "verdikt".to_owned(),
                slots: 8,
                connections: 64,
                draining: false,
            }],
            ..v1::Announcement::default()
        }
    }

    /// Polls the entry until a connection or protocol error occurs.
    pub(crate) async fn run(mut self) -> Result<()> {
        loop {
            self.update_worker_status();
            let mut poll = self.tasks.begin_poll(0, &self.announcement(), 0);
            poll.agent.clone_from(&self.name);
            let bytes = poll.encode_to_vec();
            {
                let mut totals = lock(&self.totals);
                totals.polls += 1;
                totals.poll_bytes += bytes.len() as u64;
            }
            self.client.send(&bytes).await?;
            self.wait_for_reply().await?;
        }
    }

    /// Waits for the reply; returns early when there are pending updates to send.
    ///
    /// Resets the session if no reply arrives in time.
    async fn wait_for_reply(&mut self) -> Result<()> {
        let deadline = Instant::now() + self.poll_timeout + REPLY_SLACK;
        while Instant::now() < deadline {
            match tokio::time::timeout(STATUS_INTERVAL, self.client.receive()).await {
                Ok(reply) => {
                    let bytes = reply?;
                    lock(&self.totals).reply_bytes += bytes.len() as u64;
                    let reply = v1::PollReply::decode(bytes.as_slice())?;
                    self.poll_timeout = Duration::from_millis(u64::from(reply.hold_millis));
                    let actions = self.tasks.handle_reply(0, &reply)?;
                    self.perform(actions);
                    return Ok(());
                }
                Err(_) => {
                    if !self.worker.is_empty() {
                        self.update_worker_status();
                    }
                    if self.tasks.has_pending_updates(0) {
                        return Ok(());
                    }
                }
            }
        }
        self.tasks.reset_session(0);
        Ok(())
    }

    fn update_worker_status(&mut self) {
        let clock = self.clock();
        for task in self.worker.values_mut() {
            if task.status.phase == TaskPhase::Running && clock >= task.ends_at {
                task.status.phase = TaskPhase::Succeeded;
            }
        }
        let status = WorkerStatus {
            instance: 0,
            clock,
            capacity: capacity(),
            incarnation: Incarnation::new(u64::MAX),
            tasks: self
                .worker
                .values()
                .map(|task| task.status.clone())
                .collect(),
            used_millicores: 0,
        };
        let version = self.tasks.begin_status();
        let actions = self.tasks.apply_status(version, &status);
        self.perform(actions);
    }

    fn perform(&mut self, actions: Vec<AgentAction>) {
        for action in actions {
            match action {
                AgentAction::Start(request) => {
                    let ends_at = self
                        .clock()
                        .after(Duration::from_millis(request.work_millis));
                    let status = WorkerTask {
                        task: request.task,
                        attempt: request.attempt,
                        partition: request.partition,
                        class: request.class,
                        resources: request.resources,
                        phase: TaskPhase::Running,
                        lease_until: request.lease_until,
                        checkpoint_millis: 0,
                        done_millis: 0,
                        usage: None,
                    };
                    let key = (request.task, request.attempt);
                    self.worker.insert(key, MemoryTask { status, ends_at });
                    lock(&self.totals)
                        .starts
                        .push((request.task, Instant::now()));
                    self.tasks
                        .handle_start_result(request.task, request.attempt, &Ok(()));
                }
                AgentAction::Stop(request) => {
                    let key = (request.task, request.attempt);
                    if request.kind != StopKind::Checkpoint {
                        self.worker.remove(&key);
                    }
                    let answer = StopResponse {
                        phase: None,
                        checkpoint_millis: 0,
                    };
                    self.tasks
                        .handle_stop_result(request.task, request.attempt, &Ok(answer));
                }
                AgentAction::Renew(_) | AgentAction::Attach => {}
            }
        }
    }
}

fn wall_time() -> WallTime {
    turmeric_testbed::wall_time()
}
