//! Draining and departed endpoints, leader changes, and leaders that lose the store.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::collections::BTreeMap;
use std::time::Duration;

use turmeric_jobs::{
    AttemptEnd, AttemptKey, AttemptStatus, AttemptTable, CommitPlan, EndKind, EndpointIncarnation,
    EndpointInfo, JobCode, JobScheduler, JobSpec, LeaderTimeouts, LeaseLimits, QueuePolicy,
    StepSpec, VmReport, read_key,
};
use turmeric_schema::{Message, v1};
use turmeric_types::{AcceleratorCount, CoreCount, MemorySize, MonoTime, ResourceSet, WallTime};

fn resources(cores: u64) -> ResourceSet {
    ResourceSet::new(
        CoreCount::from_millicores(cores * 1000),
        MemorySize::new(64 << 30),
        AcceleratorCount::new(0),
    )
}

fn report(vm: &str, is_draining: bool, at: u64, runs: Vec<AttemptStatus>) -> VmReport {
    VmReport {
        vm: vm.to_owned(),
        zone: "morava-a".to_owned(),
        epoch: 1,
        stamp_millis: at,
        endpoint_info: Some(EndpointInfo {
            incarnation: EndpointIncarnation {
                endpoint: vm.to_owned(),
                started_at_millis: 1,
            },
            service: "s".to_owned(),
            is_draining,
            capacity: resources(8),
            labels: Vec::new(),
        }),
        is_synced: true,
        is_terminated: false,
        is_unresponsive: false,
        attempts: runs,
        ends: Vec::new(),
        refused: Vec::new(),
        applied_orders: 0,
        crash: None,
        headroom: None,
        has_more_ends: false,
        lease_wait: None,
        own_lease_wait: None,
        is_stopping: false,
        unplanned: Vec::new(),
    }
}

fn job(is_long_running: bool) -> JobSpec {
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
            is_long_running,
            ..StepSpec::default()
        }],
        repeat: None,
    }
}

fn leader(epoch: u64, now: MonoTime) -> JobScheduler {
    let terms = LeaderTimeouts {
        lease: LeaseLimits::new(Duration::from_secs(5)),
        renewal_window: Duration::from_secs(5),
        retention: Duration::from_secs(100),
    };
    JobScheduler::new(terms, epoch, "e".to_owned(), String::new(), now)
}

fn status(key: AttemptKey) -> AttemptStatus {
    AttemptStatus {
        key,
        checkpoint: String::new(),
        percent: 1,
        pace: 100,
        is_confirmed: true,
    }
}

/// A leader with a long-running job and a finite job whose attempts on VM `a` are recorded.
struct RunningPair {
    leader: JobScheduler,
    plan: CommitPlan,
    long_running: JobCode,
    finite: JobCode,
    runs: Vec<AttemptStatus>,
    now: MonoTime,
    wall: WallTime,
}

impl RunningPair {
    fn new() -> Self {
        let (now, wall) = (MonoTime::from_millis(1000), WallTime::from_millis(1000));
        let mut leader = leader(1, now);
        let (long_running, finite) = (JobCode::new(1), JobCode::new(2));
        leader.add_job(long_running, job(true), wall);
        leader.add_job(finite, job(false), wall);
        leader.handle_report(report("a", false, 1000, Vec::new()), now, wall);
        assert_eq!(leader.place(now, wall), 2);
        let now = now.after(Duration::from_millis(100));
        let plan = leader.begin_commit(now, wall).unwrap();
        leader.commit_done(&plan, now);
        let orders = leader.orders("a", now).unwrap();
        assert_eq!(orders.starts.len(), 2);
        let keys = orders.keep.iter().map(|key| read_key(Some(key)).unwrap());
        let runs = keys.map(status).collect();
        Self {
            leader,
            plan,
            long_running,
            finite,
            runs,
            now,
            wall,
        }
    }

    /// Returns a leader that has taken over and restored the recorded progress.
    fn successor(&self) -> JobScheduler {
        let mut next = leader(2, self.now);
        next.add_job(self.long_running, job(true), self.wall);
        next.add_job(self.finite, job(false), self.wall);
        for (code, value) in &self.plan.progress {
            let progress = v1::JobProgress::decode(value.as_slice()).unwrap();
            next.restore_job(*code, progress);
        }
        next
    }

    fn attempt_of(&self, code: JobCode) -> AttemptKey {
        let mut keys = self.runs.iter().map(|run| run.key);
        keys.find(|key| key.task.job == code).unwrap()
    }
}

fn kept_jobs(leader: &mut JobScheduler, vm: &str, now: MonoTime) -> Vec<JobCode> {
    let keep = leader.orders(vm, now).unwrap().keep;
    keep.iter()
        .map(|key| read_key(Some(key)).unwrap().task.job)
        .collect()
}

#[test]
fn long_running_tasks_move_off_a_draining_endpoint_and_others_finish_there() {
    let mut pair = RunningPair::new();
    let (now, wall) = (pair.now, pair.wall);

    // No other VM has reported, so both tasks stay.
    let draining = report("a", true, 1200, pair.runs.clone());
    pair.leader.handle_report(draining, now, wall);
    pair.leader.tick(now);
    assert_eq!(kept_jobs(&mut pair.leader, "a", now).len(), 2);

    let other = report("b", false, 1300, Vec::new());
    pair.leader.handle_report(other, now, wall);
    pair.leader.tick(now);
    assert_eq!(kept_jobs(&mut pair.leader, "a", now), [pair.finite]);
}

/// Operators have routed the queue to another service since the job was accepted. Its task
/// would not be placed on a VM of the earlier service, so it is not evicted for one.
#[test]
fn nothing_is_evicted_for_a_vm_of_a_service_that_the_queue_has_left() {
    let mut pair = RunningPair::new();
    let (now, wall) = (pair.now, pair.wall);
    let queue = QueuePolicy {
        service: "t".to_owned(),
        ..QueuePolicy::default()
    };
    let queues = BTreeMap::from([(queue.route.clone(), queue)]);
    pair.leader.set_queues(queues);
    let draining = report("a", true, 1200, pair.runs.clone());
    pair.leader.handle_report(draining, now, wall);
    let other = report("b", false, 1300, Vec::new());
    pair.leader.handle_report(other, now, wall);
    pair.leader.tick(now);
    assert_eq!(kept_jobs(&mut pair.leader, "a", now).len(), 2);
}

/// A leader that cannot reach the store cannot restart an evicted task elsewhere.
#[test]
fn nothing_is_evicted_while_the_store_does_not_answer() {
    let mut pair = RunningPair::new();
    let wall = pair.wall;
    let now = pair.now.after(Duration::from_secs(2));
    let draining = report("a", true, 3100, pair.runs.clone());
    pair.leader.handle_report(draining, now, wall);
    let other = report("b", false, 3100, Vec::new());
    pair.leader.handle_report(other, now, wall);
    pair.leader.tick(now);
    assert_eq!(kept_jobs(&mut pair.leader, "a", now).len(), 2);

    let plan = pair.leader.begin_commit(now, wall).unwrap();
    pair.leader.commit_done(&plan, now);
    pair.leader.tick(now);
    assert_eq!(kept_jobs(&mut pair.leader, "a", now), [pair.finite]);
}

/// A leader that has just taken over gets the last report of a stopping agent. The endpoint
/// has left, so its tasks must not wait until their lease expires.
#[test]
fn new_leader_places_tasks_of_a_departed_endpoint_at_once() {
    let pair = RunningPair::new();
    let (now, wall) = (pair.now, pair.wall);
    let mut next = pair.successor();
    let last = VmReport {
        is_synced: false,
        is_terminated: true,
        is_unresponsive: false,
        ends: vec![AttemptEnd {
            number: 1,
            key: pair.attempt_of(pair.finite),
            kind: EndKind::Done,
            checkpoint: String::new(),
        }],
        ..report("a", true, 1200, Vec::new())
    };
    next.handle_report(last, now, wall);
    let other = VmReport {
        epoch: 2,
        ..report("b", false, 1300, Vec::new())
    };
    next.handle_report(other, now, wall);
    assert_eq!(next.place(now, wall), 1, "the reported end is applied");
    let now = now.after(Duration::from_millis(100));
    let plan = next.begin_commit(now, wall).unwrap();
    next.commit_done(&plan, now);
    assert_eq!(kept_jobs(&mut next, "b", now), [pair.long_running]);
}

/// An attempt that the store lists under another incarnation may still be running there.
#[test]
fn end_of_one_incarnation_frees_no_task_of_another() {
    let pair = RunningPair::new();
    let (now, wall) = (pair.now, pair.wall);
    let mut next = pair.successor();
    let mut last = VmReport {
        is_synced: false,
        is_terminated: true,
        is_unresponsive: false,
        ..report("a", true, 1200, Vec::new())
    };
    if let Some(info) = &mut last.endpoint_info {
        info.incarnation.started_at_millis = 2;
    }
    next.handle_report(last, now, wall);
    let other = VmReport {
        epoch: 2,
        ..report("b", false, 1300, Vec::new())
    };
    next.handle_report(other, now, wall);
    assert_eq!(next.place(now, wall), 0);
}

/// Before any VM has reported, a new leader cannot compute the delay of an existing backlog. It knows
/// which jobs wait.
#[test]
fn new_leader_publishes_the_earlier_delays_until_vms_have_reported() {
    let (now, wall) = (MonoTime::from_millis(1000), WallTime::from_millis(1000));
    let found = vec![v1::QueueLoad {
        route: "r".to_owned(),
        waiting: 3,
        delay_millis: 900,
        ..v1::QueueLoad::default()
    }];
    let mut next = leader(2, now).with_loads(found.clone());
    let mut spec = job(false);
    spec.queue.route = "r".to_owned();
    next.add_job(JobCode::new(1), spec, wall);
    let mut loads = |at: MonoTime| {
        let plan = next.begin_commit(at, wall).unwrap();
        next.commit_done(&plan, at);
        v1::LeaderRow::decode(plan.leader_row.as_slice())
            .unwrap()
            .queues
    };
    let published = v1::QueueLoad {
        waiting: 1,
        ..found[0].clone()
    };
    assert_eq!(loads(now.after(Duration::from_millis(800))), [published]);
    let own = loads(now.after(Duration::from_millis(1600)));
    assert_eq!((own[0].waiting, own[0].delay_millis), (1, 0));
}

/// A leader that cannot reach the store, but still reaches its agents, tells them so in time
/// for them to find the next leader.
#[test]
fn agents_doubt_a_leader_without_confirmation_from_the_store() {
    let mut pair = RunningPair::new();
    let info = report("a", false, 1000, Vec::new()).endpoint_info.unwrap();
    let mut table = AttemptTable::new();
    table.handle_heartbeat(info, 1);
    table.set_synced();
    let mut doubts = |leader: &mut JobScheduler, now: MonoTime| {
        let orders = leader.orders("a", now).unwrap();
        assert!(table.apply_orders(&orders, now).unwrap());
        table.doubts_leader()
    };
    let calm = pair.now.after(Duration::from_millis(1000));
    assert!(!doubts(&mut pair.leader, calm));
    let late = pair.now.after(Duration::from_millis(1600));
    assert!(doubts(&mut pair.leader, late));
    let plan = pair.leader.begin_commit(late, pair.wall).unwrap();
    pair.leader.commit_done(&plan, late);
    assert!(!doubts(&mut pair.leader, late));
}

/// The success of one gang member completes the gang, so the ends of the others change nothing.
/// Agents must still keep them until the store has recorded the first.
#[test]
fn agents_keep_every_end_of_a_gang_until_one_is_recorded() {
    let (now, wall) = (MonoTime::from_millis(1000), WallTime::from_millis(1000));
    let mut leader = leader(1, now);
    let mut spec = job(false);
    spec.steps[0].count = 2;
    spec.steps[0].is_gang = true;
    spec.steps[0].need.cores = CoreCount::from_millicores(5000);
    leader.add_job(JobCode::new(1), spec, wall);
    for vm in ["a", "b"] {
        leader.handle_report(report(vm, false, 1000, Vec::new()), now, wall);
    }
    assert_eq!(leader.place(now, wall), 2);
    let now = now.after(Duration::from_millis(100));
    let plan = leader.begin_commit(now, wall).unwrap();
    leader.commit_done(&plan, now);
    let members = ["a", "b"].map(|vm| {
        let keep = leader.orders(vm, now).unwrap().keep;
        (vm, read_key(keep.first()).unwrap())
    });
    for (vm, key) in members {
        let done = VmReport {
            ends: vec![AttemptEnd {
                number: 1,
                key,
                kind: EndKind::Done,
                checkpoint: String::new(),
            }],
            ..report(vm, false, 1200, Vec::new())
        };
        leader.handle_report(done, now, wall);
        assert_eq!(leader.orders(vm, now).unwrap().recorded_end, 0, "{vm}");
    }
    let now = now.after(Duration::from_millis(100));
    let plan = leader.begin_commit(now, wall).unwrap();
    leader.commit_done(&plan, now);
    for vm in ["a", "b"] {
        assert_eq!(leader.orders(vm, now).unwrap().recorded_end, 1, "{vm}");
    }
}

/// With a busy or slow store, VMs report and get orders before a placement is recorded. These
/// orders must not cancel the placement.
#[test]
fn placement_survives_orders_sent_before_it_is_recorded() {
    let (now, wall) = (MonoTime::from_millis(1000), WallTime::from_millis(1000));
    let mut leader = leader(1, now);
    leader.add_job(JobCode::new(1), job(false), wall);
    leader.handle_report(report("a", false, 1000, Vec::new()), now, wall);
    assert_eq!(leader.place(now, wall), 1);
    let early = leader.orders("a", now).unwrap();
    assert!(
        early.keep.is_empty(),
        "no attempt is ordered before it is recorded"
    );
    let taken = VmReport {
        applied_orders: early.sequence,
        ..report("a", false, 1050, Vec::new())
    };
    leader.handle_report(taken, now, wall);
    assert_eq!(leader.place(now, wall), 0, "the task is already placed");

    let now = now.after(Duration::from_millis(100));
    let plan = leader.begin_commit(now, wall).unwrap();
    leader.commit_done(&plan, now);
    let starts = leader.orders("a", now).unwrap().starts;
    assert_eq!(read_key(starts[0].key.as_ref()).unwrap().attempt.get(), 1);
}

/// The load of a queue must be computed without overflow while many jobs of the largest
/// allowed size wait in it.
#[test]
fn largest_allowed_jobs_do_not_overflow_the_queue_load() {
    let (now, wall) = (MonoTime::from_millis(10_000), WallTime::from_millis(10_000));
    let mut scheduler = leader(1, MonoTime::from_millis(0));
    for code in 1..40 {
        let mut spec = job(false);
        for step in &mut spec.steps {
            step.count = 250;
            step.need.cores = CoreCount::from_millicores(100_000_000);
            step.estimate = Duration::from_secs(366 * 24 * 3600);
        }
        spec.check().unwrap();
        scheduler.add_job(JobCode::new(code), spec, wall);
    }
    let plan = scheduler.begin_commit(now, wall).unwrap();
    scheduler.commit_done(&plan, now);
    assert!(!scheduler.describe_load(now, wall).is_empty());
}

/// A leader that is suspended while the answer to its write is on its way may have been replaced
/// when it reads the answer. It must not order anything on the strength of it.
#[test]
fn answer_read_after_a_suspension_confirms_no_leader() {
    let mut pair = RunningPair::new();
    let begun_at = pair.now.after(Duration::from_secs(1));
    let plan = pair.leader.begin_commit(begun_at, pair.wall).unwrap();
    let now = begun_at.after(Duration::from_secs(14));
    pair.leader.commit_done(&plan, now);
    assert_eq!(pair.leader.confirmed_at(), begun_at);
    let orders = pair.leader.orders("a", now).unwrap();
    assert_eq!(orders.store_silence_millis, 14_000);
}
