//! Task sizes and interference learned from reports, and their effect on placement.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod entry;

use entry::{append, context, ended, full_poll, scheduler};
use turmeric_learning::{InterferencePair, InterferenceRate, LoadLevel};
use turmeric_placement::PlacementPolicy;
use turmeric_schema::v1;
use turmeric_schema::v1::task_order::Action;
use turmeric_schema::v1::task_report::Event;
use turmeric_tasks::{SubmitRequest, TaskLedger, TaskScheduler, WaitReason, read_resources};
use turmeric_types::{
    AcceleratorCount, AgentId, CoreCount, JobId, MemorySize, MonoTime, OwnerEpoch, PartitionId,
    ResourceSet, SettingsVersion, TaskClass, TaskId, TaskSpec, TeamName, WallTime,
};

/// A scheduler with one agent of 8 cores, on which it places tasks of 2 cores.
struct LearningEntry {
    scheduler: TaskScheduler,
    partition: PartitionId,
    agent: AgentId,
    sequence: u64,
    last_order: u64,
}

fn team() -> TeamName {
    "leather".parse().unwrap()
}

fn spec() -> TaskSpec {
    TaskSpec {
        team: team(),
        kind: Some("scan".parse().unwrap()),
        class: TaskClass::Batch,
        resources: ResourceSet::new(
            CoreCount::from_millicores(2000),
            MemorySize::new(1 << 26),
            AcceleratorCount::new(0),
        ),
        work_millis: 300,
    }
}

impl LearningEntry {
    fn new(ledger: TaskLedger) -> Self {
        let mut scheduler = scheduler();
        let partition = PartitionId::of_team(&team());
        scheduler.add_partition(
            partition,
            OwnerEpoch::new(1),
            ledger,
            1,
            MonoTime::default(),
        );
        scheduler.confirm(MonoTime::default(), SettingsVersion::new(1));
        let mut entry = Self {
            scheduler,
            partition,
            agent: "w1.00000001".parse().unwrap(),
            sequence: 0,
            last_order: 0,
        };
        entry.poll(Vec::new());
        entry.scheduler.set_agent_open(&entry.agent.clone(), true);
        entry
    }

    fn poll(&mut self, reports: Vec<v1::TaskReport>) {
        self.sequence += 1;
        let mut poll = full_poll(self.sequence, self.last_order);
        poll.reports = reports;
        self.scheduler.receive_poll(&poll, context(10)).unwrap();
        append(&mut self.scheduler, self.partition);
    }

    /// Sends a poll with the slowdown that the agent's service can tolerate.
    fn poll_with_budget(&mut self, permille: u64) {
        self.sequence += 1;
        let mut poll = full_poll(self.sequence, self.last_order);
        poll.announcement.as_mut().unwrap().endpoints = vec![v1::Endpoint {
            service: "verdikt".to_owned(),
            slots: 8,
            ..v1::Endpoint::default()
        }];
        poll.load.as_mut().unwrap().harm_budget_permille = Some(permille);
        self.scheduler.receive_poll(&poll, context(10)).unwrap();
    }

    fn submit(&mut self, job: u128, count: u32) {
        let request = SubmitRequest {
            job: JobId::new(job),
            spec: spec(),
            count,
            submitted_at: WallTime::from_millis(1),
        };
        self.scheduler.submit(&request);
        append(&mut self.scheduler, self.partition);
    }

    /// Places tasks; returns the new orders that the agent receives.
    fn place(&mut self) -> Vec<v1::TaskOrder> {
        self.scheduler.place_waiting();
        append(&mut self.scheduler, self.partition);
        let now = MonoTime::from_millis(20);
        let reply = self.scheduler.reply(&self.agent.clone(), now);
        let orders = reply.map(|reply| reply.orders).unwrap_or_default();
        let fresh = orders
            .into_iter()
            .filter(|order| order.number > self.last_order);
        let fresh: Vec<v1::TaskOrder> = fresh.collect();
        if let Some(order) = fresh.last() {
            self.last_order = order.number;
        }
        fresh
    }

    /// Completes 12 tasks, each of which used half a core and slowed down the verdikt service.
    fn complete_measured_tasks(&mut self) {
        self.submit(1, 12);
        let mut done = 0;
        while done < 12 {
            let reports: Vec<v1::TaskReport> = self.place().iter().map(measured_end).collect();
            assert!(!reports.is_empty(), "no task was placed after {done} tasks");
            done += reports.len();
            self.poll(reports);
        }
    }

    fn ledger(&self) -> &TaskLedger {
        self.scheduler.durable_ledger(self.partition).unwrap().0
    }
}

fn measured_end(order: &v1::TaskOrder) -> v1::TaskReport {
    let mut report = ended(order, true);
    report.number = order.number;
    report.event = Some(Event::Ended(v1::Ended {
        succeeded: true,
        usage: Some(v1::TaskUsage {
            millicores: 500,
            memory_bytes: 1 << 24,
        }),
        harm: Some(v1::ServiceHarm {
            service: "verdikt".to_owned(),
            heavy: true,
            permille_cores: 6000,
        }),
    }));
    report
}

fn allocated(order: &v1::TaskOrder) -> CoreCount {
    match &order.action {
        Some(Action::Start(start)) => read_resources(start.resources.as_ref()).cores,
        other => panic!("{other:?}"),
    }
}

#[test]
fn more_tasks_of_a_kind_fit_once_its_usage_is_learned() {
    let mut entry = LearningEntry::new(TaskLedger::new());
    entry.submit(7, 4);
    let orders = entry.place();
    assert_eq!(orders.len(), 4, "8 cores hold 4 tasks of 2 cores");
    assert!(
        orders
            .iter()
            .all(|order| allocated(order) == CoreCount::from_millicores(2000))
    );
    let mut entry = LearningEntry::new(TaskLedger::new());
    entry.complete_measured_tasks();
    entry.submit(2, 20);
    let orders = entry.place();
    // Half a core plus a margin of 15%: 13 tasks fit on 8 cores.
    assert_eq!(allocated(&orders[0]), CoreCount::from_millicores(575));
    assert_eq!(orders.len(), 13);
}

#[test]
fn learned_usage_is_kept_across_a_snapshot() {
    let mut entry = LearningEntry::new(TaskLedger::new());
    entry.complete_measured_tasks();
    let snapshot = entry.ledger().to_snapshot(9);
    let ledger = TaskLedger::from_snapshot(&snapshot).unwrap();
    assert_eq!(&ledger, entry.ledger());
    let mut next = LearningEntry::new(ledger);
    next.submit(3, 1);
    assert_eq!(allocated(&next.place()[0]), CoreCount::from_millicores(575));
}

#[test]
fn interference_is_learned_per_service_and_load_level() {
    let mut entry = LearningEntry::new(TaskLedger::new());
    entry.complete_measured_tasks();
    let rates = entry.ledger().learned().interference(&spec());
    let pair = InterferencePair {
        service: "verdikt".parse().unwrap(),
        level: LoadLevel::Heavy,
    };
    let rate = rates[&pair];
    let range = InterferenceRate::new(5000)..InterferenceRate::new(6000);
    assert!(range.contains(&rate), "{rate} of 12 samples of 6000");
}

#[test]
fn task_waits_with_a_reason_while_no_service_tolerates_its_interference() {
    let mut entry = LearningEntry::new(TaskLedger::new());
    let mut settings = entry::settings();
    settings.placement = PlacementPolicy::LeastInterference;
    entry.scheduler.set_settings(settings);
    entry.poll_with_budget(100);
    entry.submit(5, 1);
    // For 2 of 8 cores, a slowdown of a quarter is assumed.
    assert_eq!(entry.place().len(), 0);
    let reason = entry.scheduler.wait_reason(TaskId::new(JobId::new(5), 0));
    assert_eq!(reason, Some(WaitReason::ServicesAtLimit));
    entry.poll_with_budget(300);
    assert_eq!(entry.place().len(), 1);
}

#[test]
fn quota_limits_the_allocated_cores_of_a_team() {
    let mut entry = LearningEntry::new(TaskLedger::new());
    entry.complete_measured_tasks();
    let mut settings = entry::settings();
    settings.quotas.insert(team(), 2000);
    entry.scheduler.set_settings(settings);
    entry.submit(4, 20);
    assert_eq!(
        entry.place().len(),
        3,
        "2 cores hold 3 tasks of 0.575 cores"
    );
}
