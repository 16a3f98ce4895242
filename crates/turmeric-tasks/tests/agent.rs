//! Tests of how an agent handles orders, permits, leases and the worker's status.

#![allow(
    clippy::unwrap_used,
    reason = "a test may panic on an unexpected result"
)]

use std::time::Duration;

use turmeric_schema::v1;
use turmeric_schema::v1::task_order::Action;
use turmeric_schema::v1::task_report::Event;
use turmeric_tasks::{AgentAction, AgentTasks, LeaseTerms, write_resources};
use turmeric_types::{
    AcceleratorCount, AttemptNumber, CoreCount, Incarnation, JobId, MemorySize, MonoTime,
    ResourceSet, TaskClass, TaskId,
};
use turmeric_worker::{StopKind, StopResponse, TaskPhase, TaskUsage, WorkerStatus, WorkerTask};

const INCARNATION: Incarnation = Incarnation::new(7);
const PARTITION: u32 = 3;
const TERMS: LeaseTerms = LeaseTerms::new(Duration::from_secs(15));

fn millis(value: u64) -> MonoTime {
    MonoTime::from_millis(value)
}

fn cores(count: u64) -> ResourceSet {
    ResourceSet::new(
        CoreCount::from_millicores(count * 1000),
        MemorySize::new(1 << 30),
        AcceleratorCount::new(0),
    )
}

fn task() -> TaskId {
    TaskId::new(JobId::new(1), 0)
}

fn status(clock: u64, tasks: Vec<WorkerTask>) -> WorkerStatus {
    WorkerStatus {
        instance: 1,
        clock: millis(clock),
        capacity: cores(8),
        incarnation: INCARNATION,
        tasks,
        used_millicores: 0,
    }
}

fn worker_task(phase: TaskPhase) -> WorkerTask {
    WorkerTask {
        task: task(),
        attempt: AttemptNumber::new(1),
        partition: PARTITION as u16,
        class: TaskClass::Batch,
        resources: cores(4),
        phase,
        lease_until: millis(20_000),
        checkpoint_millis: 600,
        done_millis: 700,
        usage: None,
    }
}

/// Returns an agent with sessions to two entries, when the worker's clock is at
/// 1 s.
fn agent() -> AgentTasks {
    AgentTasks::new(INCARNATION, TERMS, &status(1000, Vec::new()), 2)
}

fn poll(agent: &mut AgentTasks, slot: usize) -> v1::PollRequest {
    agent.begin_poll(slot, &v1::Announcement::default(), 0)
}

/// Returns a reply from the owner of the partition with this epoch.
fn reply(epoch: u64, orders: Vec<v1::TaskOrder>) -> v1::PollReply {
    v1::PollReply {
        entry_incarnation: 5,
        orders,
        owned: vec![v1::OwnedPartition {
            partition: PARTITION,
            epoch,
        }],
        ..v1::PollReply::default()
    }
}

fn with_confirmation(
    mut reply: v1::PollReply,
    age_millis: u64,
    zone_in_service: bool,
) -> v1::PollReply {
    reply.confirmation = Some(v1::Confirmation {
        age_millis,
        settings_version: 1,
        zone_in_service,
        advance_millis: 0,
    });
    reply
}

fn order(number: u64, epoch: u64, action: Action) -> v1::TaskOrder {
    v1::TaskOrder {
        number,
        task: Some(v1::TaskRef {
            job: JobId::new(1).as_bytes().to_vec(),
            index: 0,
        }),
        attempt: 1,
        partition: PARTITION,
        epoch,
        action: Some(action),
    }
}

fn start_order(number: u64, epoch: u64) -> v1::TaskOrder {
    let start = v1::StartTask {
        resources: Some(write_resources(&cores(4))),
        work_millis: 1000,
        ..v1::StartTask::default()
    };
    order(number, epoch, Action::Start(start))
}

/// Returns an agent whose worker holds the task.
fn agent_with_task() -> AgentTasks {
    let mut agent = agent();
    poll(&mut agent, 0);
    let reply = with_confirmation(reply(2, vec![start_order(1, 2)]), 0, true);
    agent.handle_reply(0, &reply).unwrap();
    agent.handle_start_result(task(), AttemptNumber::new(1), &Ok(()));
    agent
}

fn events(poll: &v1::PollRequest) -> Vec<Event> {
    poll.reports
        .iter()
        .filter_map(|report| report.event.clone())
        .collect()
}

#[test]
fn start_deadline_counts_from_before_the_poll() {
    let mut agent = agent();
    poll(&mut agent, 0);
    // The worker's clock advances during the long poll.
    let version = agent.begin_status();
    agent.apply_status(version, &status(1800, Vec::new()));
    let reply = with_confirmation(reply(2, vec![start_order(1, 2)]), 300, true);
    let actions = agent.handle_reply(0, &reply).unwrap();
    let [AgentAction::Start(start)] = actions.as_slice() else {
        panic!("{actions:?}");
    };
    assert_eq!(start.not_after, millis(1000 + 2500 - 300));
    assert_eq!(start.lease_until, millis(1000 + 15_000 - 300));
}

/// Guards against two runs of one task: a reply is delayed, and the agent polls again meanwhile.
/// The entry counts the lease from the poll that it answered.
#[test]
fn lease_counts_from_the_poll_that_was_answered() {
    let mut agent = agent();
    let answered = poll(&mut agent, 0).sequence;
    let version = agent.begin_status();
    agent.apply_status(version, &status(4000, Vec::new()));
    poll(&mut agent, 0);
    let late = v1::PollReply {
        answered_sequence: answered,
        ..with_confirmation(reply(2, vec![start_order(1, 2)]), 0, true)
    };
    let actions = agent.handle_reply(0, &late).unwrap();
    assert!(actions.is_empty(), "the permit has expired: {actions:?}");
}

#[test]
fn start_needs_no_second_poll_if_the_table_was_read_during_the_long_poll() {
    let mut agent = agent();
    poll(&mut agent, 0);
    let version = agent.begin_status();
    agent.apply_status(version, &status(22_000, Vec::new()));
    // The long poll took 21 s, in which a slow worker's clock may have advanced
    // by only 20 s.
    let mut reply = with_confirmation(reply(2, vec![start_order(1, 2)]), 0, true);
    reply.confirmation.as_mut().unwrap().advance_millis = 21_000;
    let actions = agent.handle_reply(0, &reply).unwrap();
    let [AgentAction::Start(start)] = actions.as_slice() else {
        panic!("{actions:?}");
    };
    assert_eq!(start.not_after, millis(1000 + 20_000 + 2500));
    assert_eq!(start.lease_until, millis(1000 + 20_000 + 15_000));
}

#[test]
fn load_is_sent_again_after_an_abandoned_poll() {
    let mut agent = agent();
    for _ in 0..2 {
        poll(&mut agent, 0);
        agent.handle_reply(0, &reply(2, Vec::new())).unwrap();
    }
    assert_eq!(
        poll(&mut agent, 0).load,
        None,
        "the entry already has the load"
    );
    let mut busy = status(2000, Vec::new());
    busy.used_millicores = 500;
    let version = agent.begin_status();
    agent.apply_status(version, &busy);
    assert!(poll(&mut agent, 0).load.is_some());
    // The agent gave up on that poll, but the entry may have received it.
    let version = agent.begin_status();
    agent.apply_status(version, &status(3000, Vec::new()));
    assert!(poll(&mut agent, 0).load.is_some());
}

#[test]
fn renewed_lease_counts_from_before_the_poll() {
    let mut agent = agent_with_task();
    let version = agent.begin_status();
    agent.apply_status(
        version,
        &status(6000, vec![worker_task(TaskPhase::Running)]),
    );
    poll(&mut agent, 0);
    let version = agent.begin_status();
    agent.apply_status(
        version,
        &status(9000, vec![worker_task(TaskPhase::Running)]),
    );
    let actions = agent
        .handle_reply(0, &with_confirmation(reply(2, Vec::new()), 100, true))
        .unwrap();
    let [AgentAction::Renew(renewals)] = actions.as_slice() else {
        panic!("{actions:?}");
    };
    assert_eq!(renewals[0].lease_until, millis(6000 + 15_000 - 100));
}

#[test]
fn start_with_an_expired_permit_requests_a_new_one() {
    let mut agent = agent();
    poll(&mut agent, 0);
    let version = agent.begin_status();
    agent.apply_status(version, &status(4000, Vec::new()));
    let reply = with_confirmation(reply(2, vec![start_order(1, 2)]), 0, true);
    let actions = agent.handle_reply(0, &reply).unwrap();
    assert!(
        actions.is_empty(),
        "the permit had expired, but got {actions:?}"
    );
    assert!(poll(&mut agent, 0).wants_permit);
}

#[test]
fn nothing_starts_in_a_zone_out_of_service() {
    let mut agent = agent();
    poll(&mut agent, 0);
    let reply = with_confirmation(reply(2, vec![start_order(1, 2)]), 0, false);
    assert!(agent.handle_reply(0, &reply).unwrap().is_empty());
    assert!(matches!(
        events(&poll(&mut agent, 0)).as_slice(),
        [Event::Refused(_)]
    ));
    assert_eq!(agent.free(), cores(8));
}

#[test]
fn orders_of_an_earlier_owner_are_ignored_after_the_first_reply_of_a_newer_one() {
    let mut agent = agent();
    poll(&mut agent, 0);
    poll(&mut agent, 1);
    // The new owner has sent no confirmation yet, but its epoch already counts.
    agent.handle_reply(1, &reply(3, Vec::new())).unwrap();
    let late = with_confirmation(reply(2, vec![start_order(1, 2)]), 0, true);
    assert!(agent.handle_reply(0, &late).unwrap().is_empty());
    assert_eq!(agent.held_count(), 0);
}

#[test]
fn task_that_ends_during_its_eviction_is_reported_as_ended() {
    let mut agent = agent_with_task();
    poll(&mut agent, 0);
    let evict = order(2, 2, Action::Evict(v1::EvictTask {}));
    let actions = agent.handle_reply(0, &reply(2, vec![evict])).unwrap();
    assert!(matches!(
        actions.as_slice(),
        [AgentAction::Stop(stop)] if stop.kind == StopKind::Checkpoint
    ));
    let answer = StopResponse {
        phase: Some(TaskPhase::Succeeded),
        checkpoint_millis: 0,
    };
    agent.handle_stop_result(task(), AttemptNumber::new(1), &Ok(answer));
    let version = agent.begin_status();
    agent.apply_status(
        version,
        &status(2000, vec![worker_task(TaskPhase::Succeeded)]),
    );
    let events = events(&poll(&mut agent, 0));
    assert!(
        matches!(
            events.last(),
            Some(Event::Ended(v1::Ended {
                succeeded: true,
                ..
            }))
        ),
        "{events:?}"
    );
    let is_evicted = |event: &Event| matches!(event, Event::Evicted(_));
    assert!(!events.iter().any(is_evicted), "{events:?}");
}

#[test]
fn status_from_before_a_start_does_not_remove_the_task() {
    let mut agent = agent();
    poll(&mut agent, 0);
    let version = agent.begin_status();
    let reply = with_confirmation(reply(2, vec![start_order(1, 2)]), 0, true);
    agent.handle_reply(0, &reply).unwrap();
    agent.handle_start_result(task(), AttemptNumber::new(1), &Ok(()));
    // The worker built this status before it started the task.
    agent.apply_status(version, &status(1100, Vec::new()));
    assert_eq!(agent.held_count(), 1);
}

#[test]
fn announcement_carries_the_load_and_every_report() {
    let mut agent = agent_with_task();
    let version = agent.begin_status();
    agent.apply_status(
        version,
        &status(3000, vec![worker_task(TaskPhase::Succeeded)]),
    );
    poll(&mut agent, 1);
    // An entry that owns no partition known to the agent asks for an announcement.
    let mut asking = reply(2, Vec::new());
    asking.owned.clear();
    asking.wants_announcement = true;
    agent.handle_reply(1, &asking).unwrap();
    // It asks again, because it may have lost what it received.
    poll(&mut agent, 1);
    agent.handle_reply(1, &asking).unwrap();
    let poll = poll(&mut agent, 1);
    assert!(poll.announcement.is_some());
    assert!(poll.load.is_some());
    let has_end = events(&poll)
        .iter()
        .any(|event| matches!(event, Event::Ended(_)));
    assert!(has_end, "{:?}", poll.reports);
}

#[test]
fn urgent_start_reserves_the_capacity_freed_for_it() {
    let mut agent = agent_with_task();
    let version = agent.begin_status();
    agent.apply_status(
        version,
        &status(2000, vec![worker_task(TaskPhase::Running)]),
    );
    poll(&mut agent, 0);
    let start = v1::StartTask {
        resources: Some(write_resources(&cores(8))),
        work_millis: 100,
        class: v1::TaskClass::Urgent.into(),
        ..v1::StartTask::default()
    };
    let mut urgent = order(2, 2, Action::Start(start));
    urgent.task = Some(v1::TaskRef {
        job: JobId::new(2).as_bytes().to_vec(),
        index: 0,
    });
    let reply = with_confirmation(reply(2, vec![urgent]), 0, true);
    let actions = agent.handle_reply(0, &reply).unwrap();
    assert!(matches!(
        actions.as_slice(),
        [AgentAction::Stop(stop)] if stop.kind == StopKind::Checkpoint
    ));
    assert_eq!(agent.free(), ResourceSet::default());
    let answer = StopResponse {
        phase: Some(TaskPhase::Evicted),
        checkpoint_millis: 700,
    };
    agent.handle_stop_result(task(), AttemptNumber::new(1), &Ok(answer));
    assert!(
        poll(&mut agent, 0).wants_permit,
        "the freed capacity is reserved for the urgent task"
    );
}

#[test]
fn earlier_owner_cannot_acknowledge_a_report() {
    let mut agent = agent_with_task();
    let version = agent.begin_status();
    agent.apply_status(
        version,
        &status(2000, vec![worker_task(TaskPhase::Succeeded)]),
    );
    let report = poll(&mut agent, 0).reports.last().unwrap().number;
    // The agent knows the owner of epoch 3. The owner of epoch 2 does not, and
    // its ledger may lack the attempt.
    poll(&mut agent, 1);
    agent.handle_reply(1, &reply(3, Vec::new())).unwrap();
    let stale = v1::PollReply {
        acknowledged_reports: vec![report],
        ..reply(2, Vec::new())
    };
    let actions = agent.handle_reply(0, &stale).unwrap();
    assert!(actions.is_empty(), "the worker keeps the attempt");
    let reports = poll(&mut agent, 1).reports;
    assert!(reports.iter().any(|kept| kept.number == report));
}

/// Returns the task with its usage, measured at this time of the worker's clock.
fn with_usage(phase: TaskPhase, measured_at: u64, millicores: u64) -> WorkerTask {
    WorkerTask {
        usage: Some(TaskUsage {
            measured_at: millis(measured_at),
            cores: CoreCount::from_millicores(millicores),
            memory: MemorySize::new(millicores << 20),
        }),
        ..worker_task(phase)
    }
}

fn apply_task_status(agent: &mut AgentTasks, clock: u64, task: WorkerTask) {
    let version = agent.begin_status();
    agent.apply_status(version, &status(clock, vec![task]));
}

/// Ends the task and returns the millicores that the agent reports as its usage.
fn reported_millicores(agent: &mut AgentTasks) -> Option<u64> {
    apply_task_status(agent, 9000, worker_task(TaskPhase::Succeeded));
    let poll = poll(agent, 0);
    let usage = events(&poll).into_iter().find_map(|event| match event {
        Event::Ended(ended) => Some(ended.usage),
        _ => None,
    });
    usage.unwrap().map(|usage| usage.millicores)
}

#[test]
fn largest_usage_of_an_attempt_is_reported() {
    let mut agent = agent_with_task();
    apply_task_status(&mut agent, 2000, with_usage(TaskPhase::Running, 1500, 700));
    apply_task_status(&mut agent, 3000, with_usage(TaskPhase::Running, 2500, 900));
    apply_task_status(&mut agent, 4000, with_usage(TaskPhase::Running, 3500, 300));
    assert_eq!(reported_millicores(&mut agent), Some(900));
}

#[test]
fn usage_from_before_the_attempt_is_ignored() {
    let mut agent = agent_with_task();
    apply_task_status(&mut agent, 2000, with_usage(TaskPhase::Running, 900, 700));
    assert_eq!(reported_millicores(&mut agent), None);
}

#[test]
fn usage_of_throttled_tasks_is_ignored() {
    let mut agent = agent_with_task();
    agent.set_batch_speed(40);
    apply_task_status(&mut agent, 3000, with_usage(TaskPhase::Running, 2500, 200));
    agent.set_batch_speed(100);
    apply_task_status(&mut agent, 4000, with_usage(TaskPhase::Running, 2600, 200));
    apply_task_status(&mut agent, 5000, with_usage(TaskPhase::Running, 3500, 600));
    assert_eq!(reported_millicores(&mut agent), Some(600));
}

#[test]
fn most_interfering_batch_task_is_evicted_to_protect_the_service() {
    let mut agent = agent();
    poll(&mut agent, 0);
    let small = ResourceSet::new(
        CoreCount::from_millicores(2000),
        MemorySize::new(1 << 20),
        AcceleratorCount::new(0),
    );
    let orders = [(1, 100), (2, 4000), (3, 800)].map(|(number, interference)| {
        let start = v1::StartTask {
            resources: Some(write_resources(&small)),
            work_millis: 60_000,
            harm_permille_cores: interference,
            ..v1::StartTask::default()
        };
        let mut order = order(number, 2, Action::Start(start));
        order.task = Some(v1::TaskRef {
            job: JobId::new(u128::from(number)).as_bytes().to_vec(),
            index: 0,
        });
        order
    });
    let reply = with_confirmation(reply(2, orders.to_vec()), 0, true);
    agent.handle_reply(0, &reply).unwrap();
    let attempt = AttemptNumber::new(1);
    for number in 1..=3 {
        agent.handle_start_result(TaskId::new(JobId::new(number), 0), attempt, &Ok(()));
    }
    assert_eq!(agent.interference_permille(), 12 + 500 + 100);
    let version = agent.begin_status();
    let tasks = (1..=3).map(|number| WorkerTask {
        task: TaskId::new(JobId::new(number), 0),
        ..worker_task(TaskPhase::Running)
    });
    agent.apply_status(version, &status(5000, tasks.collect()));
    let Some(AgentAction::Stop(stop)) = agent.evict_most_interfering() else {
        panic!("no task is evicted");
    };
    assert_eq!(stop.task, TaskId::new(JobId::new(2), 0));
    assert_eq!(stop.kind, StopKind::Checkpoint);
}
