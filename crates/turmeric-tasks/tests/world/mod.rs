//! A small model of everything around the pure state machines.

mod rounds;
mod worker;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::TestCaseError;
use turmeric_learning::SizingPolicy;
use turmeric_placement::PlacementPolicy;
use turmeric_schema::v1;
use turmeric_tasks::{
    AgentAction, AgentTasks, AppendOutcome, LeaseTerms, PartitionWriter, PollContext, ReturnReason,
    SchedulerSettings, SubmitRequest, TaskChange, TaskLedger, TaskScheduler, write_resources,
};
use turmeric_types::{
    AcceleratorCount, AgentId, CoreCount, Incarnation, JobId, MemorySize, MonoTime, OwnerEpoch,
    PartitionId, ResourceSet, SettingsVersion, TaskClass, TaskId, TaskSpec, TeamName, WallTime,
};
use worker::ModelWorker;

const TERMS: LeaseTerms = LeaseTerms::new(Duration::from_secs(4));

/// One step of a schedule.
#[derive(Clone, Debug)]
pub enum WorldEvent {
    /// Time passes, in milliseconds.
    Pass(u64),
    /// The entry answers and the answer is lost.
    LoseReply { entry: usize, agent: usize },
    /// The entry appends to its logs.
    Append(usize),
    /// The entry appends and the answers are lost.
    AppendLostAnswer(usize),
    /// The entry looks for lapsed leases and places tasks.
    Place(usize),
    /// The agent reads its worker's status.
    Status(usize),
    /// The agent makes the calls that are due.
    Act(usize),
    /// The agent makes the calls and the answers are lost.
    ActLostAnswer(usize),
    /// A team submits a job.
    Submit { entry: usize, urgent: bool },
    /// The entry takes a partition, whoever owns it.
    TakeOver { entry: usize, partition: usize },
    /// The entry dies and starts with empty memory.
    KillEntry(usize),
    /// The agent dies and starts with empty memory.
    KillAgent(usize),
    /// The VM reboots; its tasks are gone.
    Reboot(usize),
    /// Operators open or close the agent's place.
    SetOpen { agent: usize, open: bool },
    /// The newest job is cancelled.
    CancelSome,
    /// So many rounds of 50 ms in which each step happens in any order, and
    /// is left out or loses its answer with this probability.
    Lossy {
        count: usize,
        loss_percent: u64,
        seed: u64,
    },
    /// Everything works for so many rounds of 100 ms, but one agent is
    /// paused if one is named, and one entry cut off if one is named.
    Rounds {
        count: usize,
        paused_agent: Option<usize>,
        cut_entry: Option<usize>,
    },
}

/// A deliberate fault, to see that the checks can fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorldFault {
    /// Agents take leases for longer than they are.
    LongLease,
    /// Workers tell of twice the capacity that they have.
    CapacityLie,
    /// Entries do not learn that a place was closed.
    DeafEntries,
}

/// One partition as the table has it.
#[derive(Default)]
struct ModelPartition {
    epoch: u64,
    owner: Option<usize>,
    log: Vec<Vec<u8>>,
}

/// The table: owners, logs and which places are closed.
#[derive(Default)]
struct ModelTable {
    partitions: BTreeMap<PartitionId, ModelPartition>,
    closed_since: BTreeMap<usize, MonoTime>,
}

struct ModelEntry {
    scheduler: TaskScheduler,
    /// Places that were closed at its last reading of the table.
    closed: BTreeSet<usize>,
}

struct ModelAgent {
    tasks: AgentTasks,
    id: AgentId,
    incarnation: u64,
    actions: Vec<AgentAction>,
    /// Entries that have a poll of the agent to answer.
    polled: BTreeSet<usize>,
    /// Polls on their way, which later ones may overtake.
    late: Vec<(usize, v1::PollRequest)>,
}

pub struct World {
    now: MonoTime,
    table: ModelTable,
    entries: Vec<ModelEntry>,
    agents: Vec<ModelAgent>,
    workers: Vec<ModelWorker>,
    jobs: u128,
    next_life: u64,
    late_starts: usize,
    /// Tasks whose end is in the log.
    ended: BTreeSet<TaskId>,
    /// Tasks that started after their end was in the log.
    started_after_end: usize,
    /// Attempts taken back while the worker held them under a lease.
    taken_early: Vec<TaskId>,
    acknowledged: BTreeSet<TaskId>,
    fault: Option<WorldFault>,
}

/// Two teams whose partitions differ.
fn teams() -> [TeamName; 2] {
    ["leather", "hardware"].map(|name| name.parse().unwrap())
}

fn partitions() -> [PartitionId; 2] {
    let partitions = teams().map(|team| PartitionId::of_team(&team));
    assert_ne!(partitions[0], partitions[1]);
    partitions
}

fn resources(cores: u64) -> ResourceSet {
    ResourceSet::new(
        CoreCount::from_millicores(cores * 1000),
        MemorySize::new(cores << 30),
        AcceleratorCount::new(0),
    )
}

fn settings() -> SchedulerSettings {
    SchedulerSettings {
        placement: PlacementPolicy::BestFit,
        quotas: BTreeMap::new(),
        sizing: SizingPolicy::Learned { margin_percent: 15 },
        harm_limit_permille: 1000,
    }
}

impl World {
    pub fn new() -> Self {
        Self::with_fault(None)
    }

    pub fn with_fault(fault: Option<WorldFault>) -> Self {
        let mut world = Self {
            now: MonoTime::from_millis(1000),
            table: ModelTable::default(),
            entries: Vec::new(),
            agents: Vec::new(),
            workers: Vec::new(),
            jobs: 0,
            next_life: 1,
            late_starts: 0,
            ended: BTreeSet::new(),
            started_after_end: 0,
            taken_early: Vec::new(),
            acknowledged: BTreeSet::new(),
            fault,
        };
        for number in 0..3 {
            let mut worker = ModelWorker::new(resources(8), number);
            worker.lies = fault == Some(WorldFault::CapacityLie);
            world.workers.push(worker);
        }
        for _ in 0..2 {
            let entry = world.new_entry();
            world.entries.push(entry);
        }
        for number in 0..3 {
            let agent = world.new_agent(number);
            world.agents.push(agent);
        }
        world.take_over(0, 0);
        world.take_over(1, 1);
        world
    }

    fn next_life(&mut self) -> u64 {
        self.next_life += 1;
        self.next_life
    }

    fn new_entry(&mut self) -> ModelEntry {
        let incarnation = self.next_life();
        let scheduler = TaskScheduler::new(
            Incarnation::new(incarnation),
            TERMS,
            settings(),
            incarnation,
        );
        ModelEntry {
            scheduler,
            closed: self.table.closed_since.keys().copied().collect(),
        }
    }

    fn new_agent(&mut self, number: usize) -> ModelAgent {
        let incarnation = self.next_life();
        let worker = &mut self.workers[number];
        worker.attach(incarnation);
        let status = worker.status(self.now);
        let terms = if self.fault == Some(WorldFault::LongLease) {
            LeaseTerms::new(Duration::from_secs(30))
        } else {
            TERMS
        };
        let id: AgentId = format!("w{number}.{}", status.instance).parse().unwrap();
        ModelAgent {
            tasks: AgentTasks::new(Incarnation::new(incarnation), terms, &status, 2),
            id,
            incarnation,
            actions: Vec::new(),
            polled: BTreeSet::new(),
            late: Vec::new(),
        }
    }

    pub fn apply(&mut self, event: &WorldEvent) {
        match event {
            WorldEvent::Pass(millis) => self.pass(*millis),
            WorldEvent::LoseReply { entry, agent } => self.reply(*entry, *agent, false),
            WorldEvent::Append(entry) => self.append(*entry, true),
            WorldEvent::AppendLostAnswer(entry) => self.append(*entry, false),
            WorldEvent::Lossy {
                count,
                loss_percent,
                seed,
            } => self.lossy(*count, *loss_percent, *seed),
            WorldEvent::Place(entry) => {
                let scheduler = &mut self.entries[*entry].scheduler;
                scheduler.tick(self.now);
                scheduler.place_waiting();
            }
            WorldEvent::Status(agent) => self.status(*agent),
            WorldEvent::Act(agent) => self.act(*agent, true),
            WorldEvent::ActLostAnswer(agent) => self.act(*agent, false),
            WorldEvent::Submit { entry, urgent } => self.submit(*entry, *urgent),
            WorldEvent::TakeOver { entry, partition } => self.take_over(*entry, *partition),
            WorldEvent::KillEntry(entry) => {
                self.entries[*entry] = self.new_entry();
                self.forget_polls(*entry);
            }
            WorldEvent::KillAgent(agent) => self.agents[*agent] = self.new_agent(*agent),
            WorldEvent::Reboot(agent) => {
                let instance = self.next_life() as u32;
                self.workers[*agent].reboot(instance, self.now);
                self.agents[*agent] = self.new_agent(*agent);
            }
            WorldEvent::SetOpen { agent, open } => self.set_open(*agent, *open),
            WorldEvent::CancelSome => self.cancel(),
            WorldEvent::Rounds {
                count,
                paused_agent,
                cut_entry,
            } => {
                for _ in 0..*count {
                    self.round(*paused_agent, *cut_entry);
                }
            }
        }
    }

    fn pass(&mut self, millis: u64) {
        self.now = self.now.after(Duration::from_millis(millis));
        for worker in &mut self.workers {
            worker.advance(self.now);
        }
    }

    fn forget_polls(&mut self, entry: usize) {
        for agent in &mut self.agents {
            agent.polled.remove(&entry);
        }
    }

    fn announcement(&self, agent: usize) -> v1::Announcement {
        v1::Announcement {
            worker: format!("w{agent}"),
            zone: "morava-a".to_owned(),
            capacity: Some(write_resources(&self.workers[agent].told_capacity())),
            ..v1::Announcement::default()
        }
    }

    fn poll(&mut self, entry: usize, agent: usize) {
        let poll = self.build_poll(entry, agent);
        if self.deliver(entry, agent, &poll) {
            self.agents[agent].polled.insert(entry);
        }
    }

    fn build_poll(&mut self, entry: usize, agent: usize) -> v1::PollRequest {
        let announcement = self.announcement(agent);
        let held = &mut self.agents[agent];
        let mut poll = held.tasks.begin_poll(entry, &announcement, 0);
        poll.agent = held.id.to_string();
        poll
    }

    /// Sends a poll that stays on its way until another step delivers it.
    fn delay_poll(&mut self, entry: usize, agent: usize) {
        let poll = self.build_poll(entry, agent);
        self.agents[agent].polled.remove(&entry);
        self.agents[agent].late.push((entry, poll));
    }

    /// Delivers the polls on their way; the agent waits for no answer.
    fn deliver_late(&mut self, agent: usize) {
        for (entry, poll) in std::mem::take(&mut self.agents[agent].late) {
            if self.deliver(entry, agent, &poll) {
                self.agents[agent].polled.remove(&entry);
            }
        }
    }

    /// Returns whether the entry holds the poll now.
    fn deliver(&mut self, entry: usize, agent: usize, poll: &v1::PollRequest) -> bool {
        let held = &self.agents[agent];
        let context = PollContext {
            received_at: self.now,
            wall: WallTime::from_millis(self.now.as_millis()),
        };
        let is_open = !self.entries[entry].closed.contains(&agent);
        let scheduler = &mut self.entries[entry].scheduler;
        let taken = scheduler.receive_poll(poll, context).unwrap();
        // An entry knows the settings as of its last reading.
        scheduler.set_agent_open(&held.id, is_open);
        taken.is_some()
    }

    fn reply(&mut self, entry: usize, agent: usize, arrives: bool) {
        if !self.agents[agent].polled.contains(&entry) {
            return;
        }
        let id = self.agents[agent].id.clone();
        let reply = self.entries[entry].scheduler.reply(&id, self.now);
        let Some(reply) = reply else { return };
        let held = &mut self.agents[agent];
        held.polled.remove(&entry);
        if arrives {
            let actions = held.tasks.handle_reply(entry, &reply).unwrap();
            held.actions.extend(actions);
        } else {
            held.tasks.reset_session(entry);
        }
    }

    fn confirm(&mut self, entry: usize) {
        let began_at = self.now;
        let lost: Vec<PartitionId> = self
            .table
            .partitions
            .iter()
            .filter(|(_, partition)| partition.owner != Some(entry))
            .map(|(id, _)| *id)
            .collect();
        let open: Vec<(AgentId, bool)> = self
            .agents
            .iter()
            .enumerate()
            .map(|(number, agent)| {
                let is_open = !self.table.closed_since.contains_key(&number);
                (agent.id.clone(), is_open)
            })
            .collect();
        if self.fault == Some(WorldFault::DeafEntries) {
            self.entries[entry]
                .scheduler
                .confirm(began_at, SettingsVersion::new(1));
            return;
        }
        self.entries[entry].closed = self.table.closed_since.keys().copied().collect();
        let scheduler = &mut self.entries[entry].scheduler;
        for partition in lost {
            scheduler.remove_partition(partition);
        }
        for (agent, is_open) in open {
            scheduler.set_agent_open(&agent, is_open);
        }
        scheduler.confirm(began_at, SettingsVersion::new(1));
    }

    fn append(&mut self, entry: usize, answered: bool) {
        for partition in partitions() {
            self.append_to(partition, entry, answered);
        }
    }

    fn append_to(&mut self, partition: PartitionId, entry: usize, answered: bool) {
        let scheduler = &mut self.entries[entry].scheduler;
        let Some(plan) = scheduler.next_append(partition) else {
            return;
        };
        let in_table = self.table.partitions.get_mut(&partition).unwrap();
        let epoch = OwnerEpoch::new(in_table.epoch);
        let is_owner = in_table.owner == Some(entry)
            && scheduler
                .owned_partitions()
                .any(|owned| owned == (partition, epoch));
        let place = plan.index as usize - 1;
        let outcome = if !is_owner {
            AppendOutcome::Fenced
        } else if let Some(occupant) = in_table.log.get(place) {
            AppendOutcome::Occupied(occupant.clone())
        } else {
            in_table.log.push(plan.record.clone());
            self.note_written(&plan.record);
            AppendOutcome::Written
        };
        let outcome = if answered {
            outcome
        } else {
            AppendOutcome::Unknown
        };
        let scheduler = &mut self.entries[entry].scheduler;
        let settled = scheduler.settle_append(partition, &plan, outcome);
        if let Ok((transitions, errors)) = settled {
            assert_eq!(errors, [], "a transition does not fit the book");
            for transition in transitions {
                if let TaskChange::Submitted { .. } = transition.change {
                    self.acknowledged.insert(transition.task);
                }
            }
        }
    }

    /// Compares what was written with what the workers hold.
    fn note_written(&mut self, record: &[u8]) {
        for transition in PartitionWriter::read_append(record).unwrap() {
            match transition.change {
                TaskChange::Ended { .. } => {
                    self.ended.insert(transition.task);
                }
                TaskChange::Returned {
                    attempt,
                    reason: ReturnReason::LeaseLapsed,
                    ..
                } => {
                    let is_leased = self
                        .workers
                        .iter()
                        .any(|worker| worker.is_leased(transition.task, attempt, self.now));
                    if is_leased {
                        self.taken_early.push(transition.task);
                    }
                }
                _ => {}
            }
        }
    }

    fn take_over(&mut self, entry: usize, number: usize) {
        let partition = partitions()[number];
        let in_table = self.table.partitions.entry(partition).or_default();
        in_table.epoch += 1;
        in_table.owner = Some(entry);
        let mut ledger = TaskLedger::new();
        for record in &in_table.log {
            for transition in PartitionWriter::read_append(record).unwrap() {
                ledger.apply(&transition).unwrap();
            }
        }
        let scheduler = &mut self.entries[entry].scheduler;
        scheduler.remove_partition(partition);
        let epoch = OwnerEpoch::new(in_table.epoch);
        let next_index = in_table.log.len() as u64 + 1;
        scheduler.add_partition(partition, epoch, ledger, next_index, self.now);
    }

    fn status(&mut self, agent: usize) {
        let status = self.workers[agent].status(self.now);
        let held = &mut self.agents[agent];
        let mark = held.tasks.begin_status();
        let actions = held.tasks.apply_status(mark, &status);
        held.actions.extend(actions);
    }

    fn act(&mut self, agent: usize, answered: bool) {
        let actions = std::mem::take(&mut self.agents[agent].actions);
        let is_late = self.is_late(agent);
        for action in actions {
            let worker = &mut self.workers[agent];
            let held = &mut self.agents[agent];
            match action {
                AgentAction::Start(request) => {
                    let result = worker.start(&request, self.now);
                    if result.is_ok() && is_late {
                        self.late_starts += 1;
                    }
                    if result.is_ok() && self.ended.contains(&request.task) {
                        self.started_after_end += 1;
                    }
                    let result = lose(result, answered);
                    held.tasks
                        .handle_start_result(request.task, request.attempt, &result);
                }
                AgentAction::Stop(request) => {
                    let result = lose(worker.stop(&request, self.now), answered);
                    held.tasks
                        .handle_stop_result(request.task, request.attempt, &result);
                }
                AgentAction::Renew(renewals) => {
                    worker.renew(held.incarnation, &renewals, self.now);
                }
                AgentAction::Attach => worker.attach(held.incarnation),
            }
        }
    }

    /// Returns whether the place was closed more than 3 s ago.
    fn is_late(&self, agent: usize) -> bool {
        self.table
            .closed_since
            .get(&agent)
            .is_some_and(|closed| self.now > closed.after(Duration::from_secs(3)))
    }

    fn submit(&mut self, entry: usize, urgent: bool) {
        self.jobs += 1;
        let request = SubmitRequest {
            job: JobId::new(self.jobs),
            spec: TaskSpec {
                team: teams()[(self.jobs % 2) as usize].clone(),
                kind: Some("scan".parse().unwrap()),
                class: if urgent {
                    TaskClass::Urgent
                } else {
                    TaskClass::Batch
                },
                resources: resources(3),
                // A task that outlasts the leases shows a fault in them.
                work_millis: if self.fault.is_some() { 20_000 } else { 2_000 },
            },
            count: 2,
            submitted_at: WallTime::from_millis(self.now.as_millis()),
        };
        self.entries[entry].scheduler.submit(&request);
    }

    fn cancel(&mut self) {
        let now = WallTime::from_millis(self.now.as_millis());
        for entry in &mut self.entries {
            entry.scheduler.cancel(JobId::new(self.jobs), now);
        }
    }

    fn set_open(&mut self, agent: usize, open: bool) {
        if open {
            self.table.closed_since.remove(&agent);
        } else {
            self.table.closed_since.entry(agent).or_insert(self.now);
        }
    }

    /// Checks every promise on what the workers really did.
    pub fn check(&self) -> Result<(), TestCaseError> {
        self.check_workers()?;
        prop_assert_eq!(self.late_starts, 0, "a task started in a closed place");
        prop_assert_eq!(self.started_after_end, 0, "a task started after its end");
        prop_assert_eq!(
            &self.taken_early,
            &[],
            "a task was taken back under a lease"
        );
        Ok(())
    }

    /// Checks what the workers run at this moment.
    pub fn check_workers(&self) -> Result<(), TestCaseError> {
        let mut running: BTreeSet<TaskId> = BTreeSet::new();
        for worker in &self.workers {
            for task in worker.running() {
                prop_assert!(running.insert(task), "task {} runs in two places", task);
            }
            prop_assert!(!worker.is_overfilled, "a VM was given more than it has");
            prop_assert!(!worker.has_repeated_start, "an attempt started twice");
        }
        Ok(())
    }

    /// Returns the number of acknowledged tasks that are not over.
    pub fn unfinished(&self) -> usize {
        let scheduler = &self.entries[1].scheduler;
        self.acknowledged
            .iter()
            .filter(|task| {
                scheduler
                    .tasks()
                    .find(|(id, _)| id == *task)
                    .is_none_or(|(_, record)| !record.phase.is_over())
            })
            .count()
    }
}

fn lose<T>(
    result: Result<T, turmeric_worker::WorkerError>,
    answered: bool,
) -> Result<T, turmeric_worker::WorkerError> {
    if answered {
        return result;
    }
    Err(turmeric_worker::WorkerError::Unknown {
        message: "lost".to_owned(),
    })
}
