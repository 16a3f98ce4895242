//! A simulation of the table, the workers and the network around the task
//! schedulers and agents under test.

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
    /// Time advances by this many milliseconds.
    AdvanceTime(u64),
    /// The entry replies to a poll and the reply is lost.
    LoseReply { entry: usize, agent: usize },
    /// The entry appends to its logs.
    Append(usize),
    /// The entry appends to its logs and the results are lost.
    AppendLostResult(usize),
    /// The entry checks for expired leases and places tasks.
    PlaceTasks(usize),
    /// The agent reads its worker's status.
    Status(usize),
    /// The agent makes its pending calls to the worker.
    MakeCalls(usize),
    /// The agent makes its pending calls and the results are lost.
    MakeCallsLostResult(usize),
    /// A team submits a job.
    Submit { entry: usize, urgent: bool },
    /// The entry takes over a partition, whichever entry owns it.
    TakeOver { entry: usize, partition: usize },
    /// The entry crashes and restarts with empty memory.
    RestartEntry(usize),
    /// The agent crashes and restarts with empty memory.
    RestartAgent(usize),
    /// The VM reboots and loses its tasks.
    Reboot(usize),
    /// An operator puts the agent's zone in or out of service.
    SetInService { agent: usize, in_service: bool },
    /// The newest job is cancelled.
    CancelNewest,
    /// Runs `count` rounds of 50 ms with steps in random order. Each step is
    /// skipped or loses its result with this probability.
    Lossy {
        count: usize,
        loss_percent: u64,
        seed: u64,
    },
    /// Runs `count` rounds of 100 ms in which everything works, except for an
    /// agent that is paused and an entry that is isolated, if given.
    Rounds {
        count: usize,
        paused_agent: Option<usize>,
        isolated_entry: Option<usize>,
    },
}

/// A fault injected to show that the checks can fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorldFault {
    /// Agents assume leases longer than those of the entries.
    OverlongLease,
    /// Workers report twice their capacity.
    OverstatedCapacity,
    /// Entries do not learn that a zone went out of service.
    StaleZoneState,
}

/// A partition as stored in the table.
#[derive(Default)]
struct ModelPartition {
    epoch: u64,
    owner: Option<usize>,
    log: Vec<Vec<u8>>,
}

/// The table, with partition owners, logs and the zones out of service.
#[derive(Default)]
struct ModelTable {
    partitions: BTreeMap<PartitionId, ModelPartition>,
    /// When the zone of each agent went out of service, by agent number.
    out_of_service_since: BTreeMap<usize, MonoTime>,
}

/// An entry, with its view of the zones.
struct ModelEntry {
    scheduler: TaskScheduler,
    /// Agents whose zones were out of service at its last read of the table.
    out_of_service: BTreeSet<usize>,
}

/// An agent, with its pending calls and its polls.
struct ModelAgent {
    tasks: AgentTasks,
    id: AgentId,
    incarnation: u64,
    actions: Vec<AgentAction>,
    /// Entries that have not yet replied to a poll of the agent.
    open_polls: BTreeSet<usize>,
    /// Polls in flight, which later ones may overtake.
    delayed_polls: Vec<(usize, v1::PollRequest)>,
}

/// Two entries, three agents with their workers, and the table.
pub struct World {
    now: MonoTime,
    table: ModelTable,
    entries: Vec<ModelEntry>,
    agents: Vec<ModelAgent>,
    workers: Vec<ModelWorker>,
    jobs: u128,
    next_incarnation: u64,
    /// Starts more than 3 s after the zone went out of service.
    late_starts: usize,
    /// Tasks whose end is in the log.
    ended: BTreeSet<TaskId>,
    /// Tasks that started after their end was in the log.
    started_after_end: usize,
    /// Tasks returned to the queue while a worker held them under a valid lease.
    returned_early: Vec<TaskId>,
    /// Tasks whose submission is in the log.
    acknowledged: BTreeSet<TaskId>,
    fault: Option<WorldFault>,
}

/// Returns two teams with different partitions.
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
        interference_limit_permille: 1000,
    }
}

impl World {
    /// Creates a world without an injected fault.
    pub fn new() -> Self {
        Self::with_fault(None)
    }

    /// Creates a world with the given injected fault, if any.
    pub fn with_fault(fault: Option<WorldFault>) -> Self {
        let mut world = Self {
            now: MonoTime::from_millis(1000),
            table: ModelTable::default(),
            entries: Vec::new(),
            agents: Vec::new(),
            workers: Vec::new(),
            jobs: 0,
            next_incarnation: 1,
            late_starts: 0,
            ended: BTreeSet::new(),
            started_after_end: 0,
            returned_early: Vec::new(),
            acknowledged: BTreeSet::new(),
            fault,
        };
        for number in 0..3 {
            let mut worker = ModelWorker::new(resources(8), number);
            worker.overstates_capacity = fault == Some(WorldFault::OverstatedCapacity);
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

    fn next_incarnation(&mut self) -> u64 {
        self.next_incarnation += 1;
        self.next_incarnation
    }

    fn new_entry(&mut self) -> ModelEntry {
        let incarnation = self.next_incarnation();
        let scheduler = TaskScheduler::new(
            Incarnation::new(incarnation),
            TERMS,
            settings(),
            incarnation,
        );
        ModelEntry {
            scheduler,
            out_of_service: self.table.out_of_service_since.keys().copied().collect(),
        }
    }

    fn new_agent(&mut self, number: usize) -> ModelAgent {
        let incarnation = self.next_incarnation();
        let worker = &mut self.workers[number];
        worker.attach(incarnation);
        let status = worker.status(self.now);
        let terms = if self.fault == Some(WorldFault::OverlongLease) {
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
            open_polls: BTreeSet::new(),
            delayed_polls: Vec::new(),
        }
    }

    /// Runs one step of a schedule.
    pub fn apply(&mut self, event: &WorldEvent) {
        match event {
            WorldEvent::AdvanceTime(millis) => self.advance_time(*millis),
            WorldEvent::LoseReply { entry, agent } => self.reply(*entry, *agent, false),
            WorldEvent::Append(entry) => self.append(*entry, true),
            WorldEvent::AppendLostResult(entry) => self.append(*entry, false),
            WorldEvent::Lossy {
                count,
                loss_percent,
                seed,
            } => self.run_lossy_rounds(*count, *loss_percent, *seed),
            WorldEvent::PlaceTasks(entry) => {
                let scheduler = &mut self.entries[*entry].scheduler;
                scheduler.tick(self.now);
                scheduler.place_waiting();
            }
            WorldEvent::Status(agent) => self.status(*agent),
            WorldEvent::MakeCalls(agent) => self.make_calls(*agent, true),
            WorldEvent::MakeCallsLostResult(agent) => self.make_calls(*agent, false),
            WorldEvent::Submit { entry, urgent } => self.submit(*entry, *urgent),
            WorldEvent::TakeOver { entry, partition } => self.take_over(*entry, *partition),
            WorldEvent::RestartEntry(entry) => {
                self.entries[*entry] = self.new_entry();
                self.forget_polls(*entry);
            }
            WorldEvent::RestartAgent(agent) => self.agents[*agent] = self.new_agent(*agent),
            WorldEvent::Reboot(agent) => {
                let instance = self.next_incarnation() as u32;
                self.workers[*agent].reboot(instance, self.now);
                self.agents[*agent] = self.new_agent(*agent);
            }
            WorldEvent::SetInService { agent, in_service } => {
                self.set_in_service(*agent, *in_service)
            }
            WorldEvent::CancelNewest => self.cancel(),
            WorldEvent::Rounds {
                count,
                paused_agent,
                isolated_entry,
            } => {
                for _ in 0..*count {
                    self.run_round(*paused_agent, *isolated_entry);
                }
            }
        }
    }

    fn advance_time(&mut self, millis: u64) {
        self.now = self.now.after(Duration::from_millis(millis));
        for worker in &mut self.workers {
            worker.advance(self.now);
        }
    }

    fn forget_polls(&mut self, entry: usize) {
        for agent in &mut self.agents {
            agent.open_polls.remove(&entry);
        }
    }

    fn announcement(&self, agent: usize) -> v1::Announcement {
        v1::Announcement {
            worker: format!("w{agent}"),
            zone: "morava-a".to_owned(),
            capacity: Some(write_resources(&self.workers[agent].reported_capacity())),
            ..v1::Announcement::default()
        }
    }

    fn poll(&mut self, entry: usize, agent: usize) {
        let poll = self.build_poll(entry, agent);
        if self.deliver(entry, agent, &poll) {
            self.agents[agent].open_polls.insert(entry);
        }
    }

    fn build_poll(&mut self, entry: usize, agent: usize) -> v1::PollRequest {
        let announcement = self.announcement(agent);
        let agent_state = &mut self.agents[agent];
        let mut poll = agent_state.tasks.begin_poll(entry, &announcement, 0);
        poll.agent = agent_state.id.to_string();
        poll
    }

    /// Sends a poll that stays in flight until a later step delivers it.
    fn delay_poll(&mut self, entry: usize, agent: usize) {
        let poll = self.build_poll(entry, agent);
        self.agents[agent].open_polls.remove(&entry);
        self.agents[agent].delayed_polls.push((entry, poll));
    }

    /// Delivers the polls in flight; the agent no longer waits for their replies.
    fn deliver_delayed(&mut self, agent: usize) {
        for (entry, poll) in std::mem::take(&mut self.agents[agent].delayed_polls) {
            if self.deliver(entry, agent, &poll) {
                self.agents[agent].open_polls.remove(&entry);
            }
        }
    }

    /// Delivers a poll and returns whether the entry accepted it.
    fn deliver(&mut self, entry: usize, agent: usize, poll: &v1::PollRequest) -> bool {
        let agent_state = &self.agents[agent];
        let context = PollContext {
            received_at: self.now,
            wall_time: WallTime::from_millis(self.now.as_millis()),
        };
        let is_in_service = !self.entries[entry].out_of_service.contains(&agent);
        let scheduler = &mut self.entries[entry].scheduler;
        let accepted = scheduler.receive_poll(poll, context).unwrap();
        // An entry knows the settings as of its last read of the table.
        scheduler.set_agent_open(&agent_state.id, is_in_service);
        accepted.is_some()
    }

    fn reply(&mut self, entry: usize, agent: usize, arrives: bool) {
        if !self.agents[agent].open_polls.contains(&entry) {
            return;
        }
        let id = self.agents[agent].id.clone();
        let reply = self.entries[entry].scheduler.reply(&id, self.now);
        let Some(reply) = reply else { return };
        let agent_state = &mut self.agents[agent];
        agent_state.open_polls.remove(&entry);
        if arrives {
            let actions = agent_state.tasks.handle_reply(entry, &reply).unwrap();
            agent_state.actions.extend(actions);
        } else {
            agent_state.tasks.reset_session(entry);
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
        let service_states: Vec<(AgentId, bool)> = self
            .agents
            .iter()
            .enumerate()
            .map(|(number, agent)| {
                let is_in_service = !self.table.out_of_service_since.contains_key(&number);
                (agent.id.clone(), is_in_service)
            })
            .collect();
        if self.fault == Some(WorldFault::StaleZoneState) {
            self.entries[entry]
                .scheduler
                .confirm(began_at, SettingsVersion::new(1));
            return;
        }
        self.entries[entry].out_of_service =
            self.table.out_of_service_since.keys().copied().collect();
        let scheduler = &mut self.entries[entry].scheduler;
        for partition in lost {
            scheduler.remove_partition(partition);
        }
        for (agent, is_in_service) in service_states {
            scheduler.set_agent_open(&agent, is_in_service);
        }
        scheduler.confirm(began_at, SettingsVersion::new(1));
    }

    fn append(&mut self, entry: usize, result_arrives: bool) {
        for partition in partitions() {
            self.append_to(partition, entry, result_arrives);
        }
    }

    fn append_to(&mut self, partition: PartitionId, entry: usize, result_arrives: bool) {
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
        let position = plan.index as usize - 1;
        let outcome = if !is_owner {
            AppendOutcome::Fenced
        } else if let Some(occupant) = in_table.log.get(position) {
            AppendOutcome::Occupied(occupant.clone())
        } else {
            in_table.log.push(plan.record.clone());
            self.record_written(&plan.record);
            AppendOutcome::Written
        };
        let outcome = if result_arrives {
            outcome
        } else {
            AppendOutcome::Unknown
        };
        let scheduler = &mut self.entries[entry].scheduler;
        let handled = scheduler.handle_append_outcome(partition, &plan, outcome);
        if let Ok((transitions, errors)) = handled {
            assert_eq!(errors, [], "a transition does not fit the ledger");
            for transition in transitions {
                if let TaskChange::Submitted { .. } = transition.change {
                    self.acknowledged.insert(transition.task);
                }
            }
        }
    }

    /// Records tasks that ended, and tasks that were returned although a worker
    /// holds them under a valid lease.
    fn record_written(&mut self, record: &[u8]) {
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
                        self.returned_early.push(transition.task);
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
        let agent_state = &mut self.agents[agent];
        let version = agent_state.tasks.begin_status();
        let actions = agent_state.tasks.apply_status(version, &status);
        agent_state.actions.extend(actions);
    }

    fn make_calls(&mut self, agent: usize, result_arrives: bool) {
        let actions = std::mem::take(&mut self.agents[agent].actions);
        let is_late_start = self.is_late_start(agent);
        for action in actions {
            let worker = &mut self.workers[agent];
            let agent_state = &mut self.agents[agent];
            match action {
                AgentAction::Start(request) => {
                    let result = worker.start(&request, self.now);
                    if result.is_ok() && is_late_start {
                        self.late_starts += 1;
                    }
                    if result.is_ok() && self.ended.contains(&request.task) {
                        self.started_after_end += 1;
                    }
                    let result = deliver_result(result, result_arrives);
                    agent_state
                        .tasks
                        .handle_start_result(request.task, request.attempt, &result);
                }
                AgentAction::Stop(request) => {
                    let result = deliver_result(worker.stop(&request, self.now), result_arrives);
                    agent_state
                        .tasks
                        .handle_stop_result(request.task, request.attempt, &result);
                }
                AgentAction::Renew(renewals) => {
                    worker.renew(agent_state.incarnation, &renewals, self.now);
                }
                AgentAction::Attach => worker.attach(agent_state.incarnation),
            }
        }
    }

    /// Returns whether the agent's zone went out of service more than 3 s ago.
    fn is_late_start(&self, agent: usize) -> bool {
        self.table
            .out_of_service_since
            .get(&agent)
            .is_some_and(|since| self.now > since.after(Duration::from_secs(3)))
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
                // Only a task that runs longer than the leases shows a fault in them.
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

    fn set_in_service(&mut self, agent: usize, in_service: bool) {
        if in_service {
            self.table.out_of_service_since.remove(&agent);
        } else {
            self.table
                .out_of_service_since
                .entry(agent)
                .or_insert(self.now);
        }
    }

    /// Checks all invariants against what the workers did.
    pub fn check_invariants(&self) -> Result<(), TestCaseError> {
        self.check_worker_invariants()?;
        prop_assert_eq!(
            self.late_starts,
            0,
            "a task started in a zone out of service"
        );
        prop_assert_eq!(self.started_after_end, 0, "a task started after its end");
        prop_assert_eq!(
            &self.returned_early,
            &[],
            "a task was returned under a valid lease"
        );
        Ok(())
    }

    /// Checks the invariants on what the workers currently hold.
    pub fn check_worker_invariants(&self) -> Result<(), TestCaseError> {
        let mut running: BTreeSet<TaskId> = BTreeSet::new();
        for worker in &self.workers {
            for task in worker.running() {
                prop_assert!(running.insert(task), "task {} runs at two locations", task);
            }
            prop_assert!(
                !worker.is_overfilled,
                "the tasks of a VM exceed its capacity"
            );
            prop_assert!(!worker.has_repeated_start, "an attempt started twice");
        }
        Ok(())
    }

    /// Returns the number of acknowledged tasks that have not ended.
    pub fn unfinished(&self) -> usize {
        let scheduler = &self.entries[1].scheduler;
        self.acknowledged
            .iter()
            .filter(|task| {
                scheduler
                    .tasks()
                    .find(|(id, _)| id == *task)
                    .is_none_or(|(_, record)| !record.phase.is_terminal())
            })
            .count()
    }
}

/// Returns the result of a call, or an unknown outcome if the result is lost.
fn deliver_result<T>(
    result: Result<T, turmeric_worker::WorkerError>,
    result_arrives: bool,
) -> Result<T, turmeric_worker::WorkerError> {
    if result_arrives {
        return result;
    }
    Err(turmeric_worker::WorkerError::Unknown {
        message: "the result of the call was lost".to_owned(),
    })
}
