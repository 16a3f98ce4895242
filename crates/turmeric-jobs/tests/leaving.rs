//! Endpoints that drain or have left, and leaders that change or lose the store.

#![allow(clippy::unwrap_used, reason = "a test stops at the first surprise")]

use std::time::Duration;

use turmeric_jobs::{
    AttemptEnd, AttemptKey, AttemptStatus, AttemptTable, CommitPlan, EndKind, EndpointIncarnation,
    EndpointInfo, JobCode, JobScheduler, JobSpec, LeaderTerms, LeaseLimits, QueuePolicy, StepSpec,
    VmReport, read_key,
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
        attempts: runs,
        ends: Vec::new(),
        refused: Vec::new(),
        applied_orders: 0,
        headroom: None,
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
    let terms = LeaderTerms {
        lease: LeaseLimits::new(Duration::from_secs(5)),
        confidence: Duration::from_secs(5),
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
    }
}

/// A leader whose lasting and ending job run on VM `a`, as the store knows.
struct RunningPair {
    leader: JobScheduler,
    plan: CommitPlan,
    lasting: JobCode,
    ending: JobCode,
    runs: Vec<AttemptStatus>,
    now: MonoTime,
    wall: WallTime,
}

impl RunningPair {
    fn new() -> Self {
        let (now, wall) = (MonoTime::from_millis(1000), WallTime::from_millis(1000));
        let mut leader = leader(1, now);
        let (lasting, ending) = (JobCode::new(1), JobCode::new(2));
        leader.add_job(lasting, job(true), wall);
        leader.add_job(ending, job(false), wall);
        leader.take_report(report("a", false, 1000, Vec::new()), now, wall);
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
            lasting,
            ending,
            runs,
            now,
            wall,
        }
    }

    /// Returns a leader that has taken over and read the records.
    fn successor(&self) -> JobScheduler {
        let mut next = leader(2, self.now);
        next.add_job(self.lasting, job(true), self.wall);
        next.add_job(self.ending, job(false), self.wall);
        for (code, value) in &self.plan.progress {
            let progress = v1::JobProgress::decode(value.as_slice()).unwrap();
            next.restore_job(*code, progress);
        }
        next
    }

    fn run_of(&self, code: JobCode) -> AttemptKey {
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
fn lasting_tasks_leave_a_draining_endpoint_and_others_end_there() {
    let mut pair = RunningPair::new();
    let (now, wall) = (pair.now, pair.wall);

    // Nowhere to go: both stay.
    let draining = report("a", true, 1200, pair.runs.clone());
    pair.leader.take_report(draining, now, wall);
    pair.leader.tick(now);
    assert_eq!(kept_jobs(&mut pair.leader, "a", now).len(), 2);

    let other = report("b", false, 1300, Vec::new());
    pair.leader.take_report(other, now, wall);
    pair.leader.tick(now);
    assert_eq!(kept_jobs(&mut pair.leader, "a", now), [pair.ending]);
}

/// A leader cut off from the store cannot start elsewhere what it recalls.
#[test]
fn nothing_is_recalled_while_the_store_does_not_answer() {
    let mut pair = RunningPair::new();
    let wall = pair.wall;
    let now = pair.now.after(Duration::from_secs(2));
    let draining = report("a", true, 3100, pair.runs.clone());
    pair.leader.take_report(draining, now, wall);
    let other = report("b", false, 3100, Vec::new());
    pair.leader.take_report(other, now, wall);
    pair.leader.tick(now);
    assert_eq!(kept_jobs(&mut pair.leader, "a", now).len(), 2);

    let plan = pair.leader.begin_commit(now, wall).unwrap();
    pair.leader.commit_done(&plan, now);
    pair.leader.tick(now);
    assert_eq!(kept_jobs(&mut pair.leader, "a", now), [pair.ending]);
}

/// The agent's last word before it stops, as heard by a leader that has just
/// taken over: the endpoint has left, so its tasks wait for no lease.
#[test]
fn a_new_leader_places_at_once_what_ran_on_an_endpoint_that_has_left() {
    let pair = RunningPair::new();
    let (now, wall) = (pair.now, pair.wall);
    let mut next = pair.successor();
    let last = VmReport {
        is_synced: false,
        is_terminated: true,
        ends: vec![AttemptEnd {
            number: 1,
            key: pair.run_of(pair.ending),
            kind: EndKind::Done,
            checkpoint: String::new(),
        }],
        ..report("a", true, 1200, Vec::new())
    };
    next.take_report(last, now, wall);
    let other = VmReport {
        epoch: 2,
        ..report("b", false, 1300, Vec::new())
    };
    next.take_report(other, now, wall);
    assert_eq!(next.place(now, wall), 1, "the end that was reported counts");
    let now = now.after(Duration::from_millis(100));
    let plan = next.begin_commit(now, wall).unwrap();
    next.commit_done(&plan, now);
    assert_eq!(kept_jobs(&mut next, "b", now), [pair.lasting]);
}

/// What the store lists under another life may still run there.
#[test]
fn the_end_of_one_life_frees_nothing_of_another() {
    let pair = RunningPair::new();
    let (now, wall) = (pair.now, pair.wall);
    let mut next = pair.successor();
    let mut last = VmReport {
        is_synced: false,
        is_terminated: true,
        ..report("a", true, 1200, Vec::new())
    };
    if let Some(facts) = &mut last.endpoint_info {
        facts.incarnation.started_at_millis = 2;
    }
    next.take_report(last, now, wall);
    let other = VmReport {
        epoch: 2,
        ..report("b", false, 1300, Vec::new())
    };
    next.take_report(other, now, wall);
    assert_eq!(next.place(now, wall), 0);
}

/// A backlog of ten objectives, of which a leader with no VM yet knows nothing.
#[test]
fn a_new_leader_repeats_the_delays_it_found_until_it_has_heard_the_vms() {
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
    assert_eq!(loads(now.after(Duration::from_millis(800))), found);
    let own = loads(now.after(Duration::from_millis(1600)));
    assert_eq!((own[0].waiting, own[0].delay_millis), (1, 0));
}

/// A leader that is cut off from the store, but not from its agents, says so in
/// time for them to find the next one.
#[test]
fn agents_doubt_a_leader_to_which_the_store_confirms_nothing() {
    let mut pair = RunningPair::new();
    let facts = report("a", false, 1000, Vec::new()).endpoint_info.unwrap();
    let mut table = AttemptTable::new();
    table.update_endpoint(facts);
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

/// The end of one member is the end of all, so the ends of the others change
/// nothing; agents keep them all the same until the store knows of the first.
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
        leader.take_report(report(vm, false, 1000, Vec::new()), now, wall);
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
        leader.take_report(done, now, wall);
        assert_eq!(leader.orders(vm, now).unwrap().recorded_end, 0, "{vm}");
    }
    let now = now.after(Duration::from_millis(100));
    let plan = leader.begin_commit(now, wall).unwrap();
    leader.commit_done(&plan, now);
    for vm in ["a", "b"] {
        assert_eq!(leader.orders(vm, now).unwrap().recorded_end, 1, "{vm}");
    }
}

/// A busy or slow store: VMs report and get orders while a placement waits for its
/// record. The placement stands.
#[test]
fn a_placement_outlives_the_orders_before_its_record() {
    let (now, wall) = (MonoTime::from_millis(1000), WallTime::from_millis(1000));
    let mut leader = leader(1, now);
    leader.add_job(JobCode::new(1), job(false), wall);
    leader.take_report(report("a", false, 1000, Vec::new()), now, wall);
    assert_eq!(leader.place(now, wall), 1);
    let early = leader.orders("a", now).unwrap();
    assert!(
        early.keep.is_empty(),
        "nothing is ordered before its record"
    );
    let taken = VmReport {
        applied_orders: early.sequence,
        ..report("a", false, 1050, Vec::new())
    };
    leader.take_report(taken, now, wall);
    assert_eq!(leader.place(now, wall), 0, "the task has its place");

    let now = now.after(Duration::from_millis(100));
    let plan = leader.begin_commit(now, wall).unwrap();
    leader.commit_done(&plan, now);
    let starts = leader.orders("a", now).unwrap().starts;
    assert_eq!(read_key(starts[0].key.as_ref()).unwrap().attempt.get(), 1);
}

/// Jobs of absurd size, each within what a job may ask for, wait together; the load
/// of their queue must still be reckoned.
#[test]
fn absurd_jobs_do_not_end_the_leader() {
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
