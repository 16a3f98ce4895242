//! An agent's session over the real protocol, with a worker in memory.

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

/// Longest wait for an answer beyond the entry's hold.
const ANSWER_SLACK: Duration = Duration::from_secs(5);

/// Time a task runs on without word from its owner.
const TASK_LEASE: Duration = Duration::from_secs(120);

/// Pause between two looks at the worker.
const STATUS_PAUSE: Duration = Duration::from_millis(500);

/// What all sessions of a measurement count.
#[derive(Default)]
pub(crate) struct SessionTotals {
    pub(crate) polls: u64,
    pub(crate) poll_bytes: u64,
    pub(crate) reply_bytes: u64,
    /// When each task started.
    pub(crate) starts: Vec<(TaskId, Instant)>,
}

pub(crate) type SharedTotals = Arc<Mutex<SessionTotals>>;

pub(crate) fn lock(totals: &SharedTotals) -> MutexGuard<'_, SessionTotals> {
    totals.lock().unwrap_or_else(PoisonError::into_inner)
}

struct MemoryTask {
    shown: WorkerTask,
    ends_at: MonoTime,
}

/// An agent's session over the real protocol, with a worker in memory.
pub(crate) struct SessionAgent {
    name: String,
    started_at: Instant,
    tasks: AgentTasks,
    worker: BTreeMap<(TaskId, AttemptNumber), MemoryTask>,
    client: ControlClient,
    totals: SharedTotals,
    hold: Duration,
}

fn capacity() -> ResourceSet {
    ResourceSet::new(
        CoreCount::from_millicores(64_000),
        MemorySize::new(250 << 30),
        AcceleratorCount::new(2),
    )
}

impl SessionAgent {
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
            hold: Duration::from_secs(1),
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

    /// Polls the entry for good.
    pub(crate) async fn run(mut self) -> Result<()> {
        loop {
            self.look_at_worker();
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

    /// Waits for the reply, but polls again when there is something to say.
    async fn wait_for_reply(&mut self) -> Result<()> {
        let limit = Instant::now() + self.hold + ANSWER_SLACK;
        while Instant::now() < limit {
            match tokio::time::timeout(STATUS_PAUSE, self.client.receive()).await {
                Ok(reply) => {
                    let bytes = reply?;
                    lock(&self.totals).reply_bytes += bytes.len() as u64;
                    let reply = v1::PollReply::decode(bytes.as_slice())?;
                    self.hold = Duration::from_millis(u64::from(reply.hold_millis));
                    let actions = self.tasks.handle_reply(0, &reply)?;
                    self.act(actions);
                    return Ok(());
                }
                Err(_) => {
                    if !self.worker.is_empty() {
                        self.look_at_worker();
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

    fn look_at_worker(&mut self) {
        let clock = self.clock();
        for task in self.worker.values_mut() {
            if task.shown.phase == TaskPhase::Running && clock >= task.ends_at {
                task.shown.phase = TaskPhase::Succeeded;
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
                .map(|task| task.shown.clone())
                .collect(),
            used_millicores: 0,
        };
        let mark = self.tasks.begin_status();
        let actions = self.tasks.apply_status(mark, &status);
        self.act(actions);
    }

    fn act(&mut self, actions: Vec<AgentAction>) {
        for action in actions {
            match action {
                AgentAction::Start(request) => {
                    let ends_at = self
                        .clock()
                        .after(Duration::from_millis(request.work_millis));
                    let shown = WorkerTask {
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
                    self.worker.insert(key, MemoryTask { shown, ends_at });
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
