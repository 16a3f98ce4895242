//! Workers that answer nothing for longer than their leases, and then answer again.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::time::Duration;

use rstest::rstest;
use turmeric_jobs::{
    AttemptKey, AttemptNumber, AttemptTable, ClockReading, EndpointIncarnation, EndpointInfo,
    JobCode, JobScheduler, JobSpec, LeaderTimeouts, LeaseLimits, PollFailure, QueuePolicy,
    StartAnswer, StepSpec, StopAnswer, VmReport, WorkerCommand, WorkerLease, WorkerLists, read_key,
};
use turmeric_schema::v1;
use turmeric_types::{AcceleratorCount, CoreCount, MemorySize, MonoTime, ResourceSet, WallTime};

const LEASE_TERM: Duration = Duration::from_secs(5);

fn resources(cores: u64) -> ResourceSet {
    ResourceSet::new(
        CoreCount::from_millicores(cores * 1000),
        MemorySize::new(64 << 30),
        AcceleratorCount::new(0),
    )
}

fn job() -> JobSpec {
    JobSpec {
        queue: QueuePolicy {
            service: "s".to_owned(),
            ..QueuePolicy::default()
        },
        accepted_at: WallTime::default(),
        text: String::new(),
        steps: vec![StepSpec {
            count: 1,
            need: ResourceSet {
                memory: MemorySize::new(1 << 30),
                ..resources(1)
            },
            estimate: Duration::from_secs(5),
            ..StepSpec::default()
        }],
        repeat: None,
    }
}

/// A leader that has placed one task, and the agent of its VM `a`.
struct SilentPair {
    leader: JobScheduler,
    table: AttemptTable,
    key: AttemptKey,
    now: MonoTime,
}

impl SilentPair {
    fn new() -> Self {
        let now = MonoTime::from_millis(1000);
        let terms = LeaderTimeouts {
            lease: LeaseLimits::new(LEASE_TERM),
            renewal_window: Duration::from_secs(5),
            retention: Duration::from_secs(100),
        };
        let mut leader = JobScheduler::new(terms, 1, "e".to_owned(), String::new(), now);
        leader.add_job(JobCode::new(1), job(), WallTime::default());
        let mut table = AttemptTable::new();
        let info = EndpointInfo {
            incarnation: EndpointIncarnation {
                endpoint: "i-a".to_owned(),
                started_at_millis: 1,
            },
            service: "s".to_owned(),
            is_draining: false,
            capacity: resources(8),
            labels: Vec::new(),
        };
        table.handle_heartbeat(info, 1);
        table.set_synced();
        let mut pair = Self {
            leader,
            table,
            key: AttemptKey {
                task: "0000000000000001.0.0.0".parse().unwrap(),
                attempt: AttemptNumber::default(),
            },
            now,
        };
        // The leader accepts VMs whose agents know its epoch.
        pair.exchange(Duration::ZERO);
        pair.exchange(Duration::from_millis(20));
        assert_eq!(pair.place(), 1);
        pair
    }

    /// Lets the agent send the start once, with this answer of the worker.
    fn with_start(mut self, answer: StartAnswer) -> Self {
        let orders = self.exchange(Duration::from_millis(20));
        self.key = read_key(orders.starts[0].key.as_ref()).unwrap();
        assert_eq!(self.take_starts(), vec![self.key]);
        self.table.handle_start_answer(self.key, answer, self.now);
        self
    }

    fn report(&self) -> VmReport {
        self.table.report("a", "morava-a", self.now)
    }

    /// Passes `after`, then reports to the leader and applies its orders.
    fn exchange(&mut self, after: Duration) -> v1::VmOrders {
        self.now = self.now.after(after);
        let report = self.report();
        let wall = WallTime::default();
        self.leader.handle_report(report, self.now, wall);
        let orders = self.leader.orders("a", self.now).unwrap();
        self.table.apply_orders(&orders, self.now).unwrap();
        orders
    }

    /// Places what waits, and records it in the store.
    fn place(&mut self) -> usize {
        let wall = WallTime::default();
        let count = self.leader.place(self.now, wall);
        self.now = self.now.after(Duration::from_secs(1));
        self.commit();
        count
    }

    fn commit(&mut self) {
        let plan = self.leader.begin_commit(self.now, WallTime::default());
        let plan = plan.unwrap();
        self.leader.commit_done(&plan, self.now);
    }

    fn take_starts(&mut self) -> Vec<AttemptKey> {
        let commands = self.table.take_commands(self.now).into_iter();
        commands
            .filter_map(|command| match command {
                WorkerCommand::Start(plan) => Some(plan.key),
                WorkerCommand::Stop(_) => None,
            })
            .collect()
    }

    /// The worker answers again and lists nothing.
    fn regain(&mut self) {
        let mark = self.table.list_mark();
        self.table.set_synced();
        self.table.apply_lists(mark, WorkerLists::default());
    }
}

/// Guards against two runs of one task: the leader has taken the task back, and it may run
/// elsewhere, when the worker answers again under the same incarnation.
#[rstest]
#[case::unanswered(StartAnswer::Unknown)]
#[case::not_sent(StartAnswer::NotSent)]
fn start_from_before_the_leases_expired_is_not_repeated(#[case] answer: StartAnswer) {
    let mut pair = SilentPair::new().with_start(answer);
    pair.exchange(Duration::from_millis(400));
    pair.table
        .handle_poll_failure(PollFailure::Unanswered, true, pair.now);
    pair.leader
        .handle_report(pair.report(), pair.now, WallTime::default());
    pair.now = pair.now.after(Duration::from_millis(900));
    pair.regain();
    assert_eq!(pair.take_starts(), vec![]);
}

/// Guards against the same through orders that were on their way when the leases expired.
#[test]
fn orders_from_before_the_leases_expired_start_nothing() {
    let mut pair = SilentPair::new();
    let wall = WallTime::default();
    pair.leader.handle_report(pair.report(), pair.now, wall);
    let orders = pair.leader.orders("a", pair.now).unwrap();
    assert_eq!(orders.starts.len(), 1);
    pair.now = pair.now.after(Duration::from_millis(100));
    pair.table
        .handle_poll_failure(PollFailure::Unanswered, true, pair.now);
    pair.leader.handle_report(pair.report(), pair.now, wall);
    pair.now = pair.now.after(Duration::from_millis(100));
    pair.regain();
    pair.table.apply_orders(&orders, pair.now).unwrap();
    assert_eq!(pair.take_starts(), vec![]);
}

/// The VM is of use again as soon as the leader has heard of it.
#[test]
fn worker_that_answers_again_gets_new_attempts() {
    let mut pair = SilentPair::new().with_start(StartAnswer::Unknown);
    pair.table
        .handle_poll_failure(PollFailure::Unanswered, true, pair.now);
    pair.exchange(Duration::from_millis(20));
    pair.regain();
    pair.exchange(Duration::from_millis(20));
    // Of an attempt that may yet start, the worker has to be told first that it must not.
    let stop = pair.table.take_commands(pair.now);
    assert_eq!(stop, vec![WorkerCommand::Stop(pair.key)]);
    pair.table
        .handle_stop_answer(pair.key, StopAnswer::Accepted, pair.now);
    pair.regain();
    pair.exchange(Duration::from_millis(20));
    assert_eq!(pair.place(), 1);
    pair.exchange(Duration::from_millis(20));
    let next = AttemptKey {
        attempt: pair.key.attempt.next(),
        ..pair.key
    };
    assert_eq!(pair.take_starts(), vec![next]);
}

/// Guards against two runs of one task: an agent that has just started knows nothing of the
/// leases that its earlier incarnation renewed, and its worker stops answering at once.
#[test]
fn leases_of_an_earlier_agent_outlast_the_worker_s_silence() {
    let limits = LeaseLimits::new(Duration::from_secs(6));
    let mut lease = WorkerLease::new();
    assert!(!lease.has_expired(MonoTime::from_millis(60_000)));
    lease.record_reading(ClockReading {
        received_at: MonoTime::from_millis(1_000),
        worker_millis: 500_000,
    });
    lease.record_fencing(&limits, MonoTime::from_millis(1_000));
    assert!(!lease.has_expired(MonoTime::from_millis(7_000)));
    assert!(lease.has_expired(MonoTime::from_millis(9_000)));
}

/// Guards against two runs of one task: the answer to a report that the leader counts no lease
/// from arrives when the agent has fenced the worker, and nothing later reaches the leader.
#[test]
fn report_before_the_worker_was_fenced_grants_no_longer_lease_than_the_leader_waits_for() {
    let mut pair = SilentPair::new().with_start(StartAnswer::Started);
    pair.exchange(Duration::from_millis(20));
    pair.table.clear_synced();
    pair.now = pair.now.after(Duration::from_secs(4));
    let wall = WallTime::default();
    pair.leader.handle_report(pair.report(), pair.now, wall);
    let orders = pair.leader.orders("a", pair.now).unwrap();
    pair.table.set_synced();
    pair.table.apply_orders(&orders, pair.now).unwrap();
    let lease = LeaseLimits::new(LEASE_TERM);
    let lease_end = pair.table.grant().unwrap().reported_at.after(lease.term);
    pair.leader.tick(lease_end);
    let job = pair.leader.job(pair.key.task.job).unwrap();
    assert!(job.tasks[&pair.key.task].location.is_some());
}

/// Guards against two runs of one task: the agent has connected again, and what it had sent over
/// the earlier connection arrives after it was ordered to start the task.
#[test]
fn report_overtaken_by_a_later_connection_takes_no_task_back() {
    let mut pair = SilentPair::new();
    let wall = WallTime::default();
    pair.table
        .handle_poll_failure(PollFailure::Unanswered, true, pair.now);
    let overtaken = pair.report();
    pair.now = pair.now.after(Duration::from_millis(100));
    pair.regain();
    let report = pair.report();
    assert!(pair.leader.handle_link_report(2, report, pair.now, wall));
    // The last row promised that no lease is granted to the VM.
    pair.commit();
    let orders = pair.leader.orders("a", pair.now).unwrap();
    pair.table.apply_orders(&orders, pair.now).unwrap();
    let starts = pair.take_starts();
    assert_eq!(starts.len(), 1);
    assert!(!pair.leader.handle_link_report(1, overtaken, pair.now, wall));
    let job = pair.leader.job(starts[0].task.job).unwrap();
    assert!(job.tasks[&starts[0].task].location.is_some());
}

/// Guards against attempts that a new leader forgets before the agent has heard that they are no
/// longer wanted: the agent confirms orders of the earlier leader, which had higher numbers.
#[test]
fn orders_of_an_earlier_leader_confirm_nothing_to_the_next() {
    let mut pair = SilentPair::new().with_start(StartAnswer::Started);
    assert!(pair.report().applied_orders > 0);
    pair.table.clear_synced();
    let orders = v1::VmOrders {
        epoch: 2,
        sequence: 1,
        ..v1::VmOrders::default()
    };
    assert!(!pair.table.apply_orders(&orders, pair.now).unwrap());
    pair.regain();
    let report = pair.report();
    assert_eq!((report.epoch, report.applied_orders), (2, 0));
}

/// A worker's clock may be slow, so its leases last longer than they say.
#[test]
fn lease_of_a_worker_with_a_slow_clock_has_not_expired_early() {
    let mut lease = WorkerLease::new();
    lease.record_reading(ClockReading {
        received_at: MonoTime::from_millis(0),
        worker_millis: 0,
    });
    lease.record_deadline(5_000);
    lease.record_deadline(4_000);
    assert!(!lease.has_expired(MonoTime::from_millis(5_000 * 102 / 100)));
    assert!(lease.has_expired(MonoTime::from_millis(6_000)));
}

/// Guards against two runs of one task: a deregistration that was sent by an earlier incarnation
/// arrives late, and the endpoint of now goes on with what it runs.
#[test]
fn deregistration_of_an_endpoint_that_answers_terminates_nothing() {
    let mut pair = SilentPair::new().with_start(StartAnswer::Started);
    pair.table.announce_departure();
    let report = pair.report();
    assert!(!report.is_terminated);
    // Until the next heartbeat, nothing more is placed there.
    assert!(report.endpoint_info.clone().unwrap().is_draining);
    let info = EndpointInfo {
        is_draining: false,
        ..report.endpoint_info.unwrap()
    };
    pair.table.handle_heartbeat(info, 2);
    assert!(!pair.report().endpoint_info.unwrap().is_draining);
}

/// Guards against two runs of one task: an agent that was suspended while its endpoint
/// deregistered finds its own poll timed out, and the endpoint works on until it ends.
#[test]
fn endpoint_that_deregistered_may_work_on_while_it_is_silent() {
    let mut pair = SilentPair::new().with_start(StartAnswer::Started);
    pair.table.announce_departure();
    assert!(
        !pair
            .table
            .handle_poll_failure(PollFailure::Unanswered, false, pair.now)
    );
    assert!(!pair.report().is_terminated);
    // Its leases bound what it runs.
    assert!(
        pair.table
            .handle_poll_failure(PollFailure::Unanswered, true, pair.now)
    );
    assert!(pair.report().is_terminated);
}

/// A worker that has not announced its end may refuse connections and go on.
#[test]
fn worker_that_refuses_connections_unannounced_terminates_nothing() {
    let mut pair = SilentPair::new().with_start(StartAnswer::Started);
    let failure = PollFailure::Refused;
    assert!(!pair.table.handle_poll_failure(failure, false, pair.now));
    assert!(!pair.report().is_terminated);
}

/// An endpoint that has deregistered and accepts no connection has left with all that it ran.
#[test]
fn endpoint_that_left_as_announced_has_terminated_its_attempts() {
    let mut pair = SilentPair::new().with_start(StartAnswer::Started);
    pair.table.announce_departure();
    let failure = PollFailure::Refused;
    assert!(pair.table.handle_poll_failure(failure, false, pair.now));
    let wall = WallTime::default();
    pair.leader.handle_report(pair.report(), pair.now, wall);
    let job = pair.leader.job(pair.key.task.job).unwrap();
    assert!(job.tasks[&pair.key.task].location.is_none());
}
