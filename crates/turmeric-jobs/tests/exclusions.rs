//! Why a task waits: the cause that excludes a VM, and the sums over waiting steps.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use proptest::prelude::*;
use rstest::rstest;
use turmeric_jobs::{
    AttemptEnd, AttemptKey, AttemptNumber, AttemptStatus, EndKind, EndpointIncarnation,
    EndpointInfo, ExclusionCause, HeadroomTable, JobCode, JobEvent, JobScheduler, JobSpec,
    LeaderTimeouts, LeaseLimits, PlacementRequest, QueuePolicy, ServingHeadroom, StepSpec,
    TaskName, VmCapacity, VmReport,
};
use turmeric_types::{AcceleratorCount, CoreCount, MemorySize, MonoTime, ResourceSet, WallTime};

/// Headroom that serving tasks keep beside best-effort tasks.
const KEPT_HEADROOM: f64 = 1.5;

fn resources(cores: u64, gigabytes: u64, accelerators: u32) -> ResourceSet {
    ResourceSet::new(
        CoreCount::from_millicores(cores * 1000),
        MemorySize::new(gigabytes << 30),
        AcceleratorCount::new(accelerators),
    )
}

fn task_name(job: u64, step: u32, index: u32) -> TaskName {
    TaskName {
        job: JobCode::new(job),
        occurrence: 0,
        step,
        index,
    }
}

/// A VM of 16 cores with a serving task of 8 cores, half of which count as idle.
fn vm_capacity(headroom: f64) -> VmCapacity {
    let serving = ServingHeadroom {
        image: "serving".to_owned(),
        headroom,
    };
    VmCapacity {
        vm: "vm-1".to_owned(),
        service: "s".to_owned(),
        labels: vec!["a".to_owned()],
        rack: None,
        free: resources(8, 32, 1),
        best_effort_demand: CoreCount::default(),
        serving_reserved: CoreCount::from_millicores(8_000),
        serving_tasks: 1,
        serving_steps: BTreeMap::from([(task_name(1, 0, 0), serving)]),
        best_effort_cores: BTreeMap::new(),
        cores: CoreCount::from_millicores(16_000),
        best_effort_tasks: 0,
        is_suspect: false,
        has_recent_start: false,
    }
}

fn step(need: ResourceSet) -> StepSpec {
    StepSpec {
        count: 1,
        need,
        estimate: Duration::from_secs(2),
        image: Some("image".to_owned()),
        ..StepSpec::default()
    }
}

fn best_effort(need: ResourceSet) -> StepSpec {
    StepSpec {
        is_best_effort: true,
        checkpoints: true,
        ..step(need)
    }
}

fn labelled(label: &str, vm_limit: Option<u32>, step: StepSpec) -> StepSpec {
    StepSpec {
        label: Some(label.to_owned()),
        vm_limit,
        ..step
    }
}

/// Guards against a cause that names another rule than the one that excludes the VM. Rules that
/// no free capacity changes come first: a full VM of another service is not short of processors.
#[rstest]
#[case::fits("s", labelled("a", Some(3), step(resources(8, 32, 1))), 9.0, None)]
#[case::best_effort_fits("s", best_effort(resources(12, 32, 1)), 9.0, None)]
#[case::service("t", step(resources(1, 1, 0)), 9.0, Some(ExclusionCause::Service))]
#[case::full_of_another_service("t", step(resources(9, 33, 2)), 9.0, Some(ExclusionCause::Service))]
#[case::label(
    "s",
    labelled("b", Some(1), step(resources(1, 1, 0))),
    9.0,
    Some(ExclusionCause::Label)
)]
#[case::full_without_label(
    "s",
    labelled("b", None, step(resources(9, 1, 0))),
    9.0,
    Some(ExclusionCause::Label)
)]
#[case::vm_limit(
    "s",
    labelled("a", Some(2), step(resources(1, 1, 0))),
    9.0,
    Some(ExclusionCause::VmLimit)
)]
#[case::processors("s", step(resources(9, 33, 2)), 9.0, Some(ExclusionCause::Processors))]
#[case::memory("s", step(resources(8, 33, 2)), 9.0, Some(ExclusionCause::Memory))]
#[case::best_effort_memory(
    "s",
    best_effort(resources(99, 33, 0)),
    0.1,
    Some(ExclusionCause::Memory)
)]
#[case::accelerators(
    "s",
    step(resources(8, 32, 2)),
    9.0,
    Some(ExclusionCause::Accelerators)
)]
#[case::idle("s", best_effort(resources(13, 1, 0)), 0.1, Some(ExclusionCause::Idle))]
#[case::headroom(
    "s",
    best_effort(resources(4, 1, 0)),
    2.0,
    Some(ExclusionCause::Headroom)
)]
fn each_rule_has_its_cause(
    #[case] service: &str,
    #[case] step: StepSpec,
    #[case] headroom: f64,
    #[case] expected: Option<ExclusionCause>,
) {
    let table = HeadroomTable::new();
    let request = PlacementRequest {
        service,
        step: &step,
        table: &table,
        is_starved: false,
    };
    let vm = vm_capacity(headroom);
    assert_eq!(request.exclusion(&vm, || 2), expected);
    assert_eq!(request.fits(&vm, || 2), expected.is_none());
}

/// Returns the rules that a VM violates, in the order in which a cause is chosen.
fn violated_rules(
    request: &PlacementRequest<'_>,
    vm: &VmCapacity,
    placed: u32,
) -> Vec<ExclusionCause> {
    let step = request.step;
    let need = step.need;
    let half_of_serving = vm.serving_reserved.as_millicores() / 2;
    let unused = (vm.free.cores.as_millicores() + half_of_serving)
        .saturating_sub(vm.best_effort_demand.as_millicores());
    let share = need.cores.as_millicores() as f64 / vm.cores.as_millicores() as f64;
    let loses_too_much = vm.serving_steps.values().any(|serving| {
        let taken = request.table.interference("image", &serving.image) * share;
        serving.headroom - taken < KEPT_HEADROOM
    });
    let lacks_label = |label: &String| !vm.labels.iter().any(|other| other == label);
    let rules = [
        (ExclusionCause::Service, vm.service != request.service),
        (
            ExclusionCause::Label,
            step.label.as_ref().is_some_and(lacks_label),
        ),
        (
            ExclusionCause::Processors,
            !step.is_best_effort && need.cores > vm.free.cores,
        ),
        (ExclusionCause::Memory, need.memory > vm.free.memory),
        (
            ExclusionCause::Accelerators,
            need.accelerators > vm.free.accelerators,
        ),
        (
            ExclusionCause::Idle,
            step.is_best_effort && need.cores.as_millicores() > unused,
        ),
        (
            ExclusionCause::Headroom,
            step.is_best_effort && !request.is_starved && loses_too_much,
        ),
        (
            ExclusionCause::VmLimit,
            step.vm_limit.is_some_and(|limit| placed >= limit),
        ),
    ];
    let violated = rules.into_iter().filter(|(_, is_violated)| *is_violated);
    violated.map(|(cause, _)| cause).collect()
}

proptest! {
    /// Guards against an exclusion that differs from the rules of placement, or from `fits`.
    #[test]
    fn exclusion_and_fits_agree_with_the_rules(
        (service, label, vm_limit, placed) in (
            prop::sample::select(vec!["s", "s", "s", "t"]),
            prop::option::of(prop::sample::select(vec!["a", "a", "b"])),
            prop::option::of(1_u32..4),
            0_u32..4,
        ),
        (cores, gigabytes, accelerators) in (0_u64..20, 0_u64..40, 0_u32..3),
        (is_best_effort, is_starved) in any::<(bool, bool)>(),
        (free_cores, demand, reserved) in (0_u64..17, 0_u64..17, 0_u64..17),
        headrooms in prop::collection::vec(0.0_f64..9.0, 0..3),
    ) {
        let step = StepSpec {
            label: label.map(str::to_owned),
            vm_limit,
            is_best_effort,
            ..step(resources(cores, gigabytes, accelerators))
        };
        let serving = (0..).zip(headrooms).map(|(number, headroom)| {
            let serving = ServingHeadroom { image: "serving".to_owned(), headroom };
            (task_name(number, 0, 0), serving)
        });
        let vm = VmCapacity {
            free: resources(free_cores, 32, 1),
            best_effort_demand: CoreCount::from_millicores(demand * 1000),
            serving_reserved: CoreCount::from_millicores(reserved * 1000),
            serving_steps: serving.collect(),
            ..vm_capacity(9.0)
        };
        let table = HeadroomTable::new();
        let request = PlacementRequest { service, step: &step, table: &table, is_starved };
        let violated = violated_rules(&request, &vm, placed);
        prop_assert_eq!(request.exclusion(&vm, || placed), violated.first().copied());
        prop_assert_eq!(request.fits(&vm, || placed), violated.is_empty());
    }
}

/// A leader in simulated time.
struct ModelLeader {
    scheduler: JobScheduler,
    millis: u64,
}

impl ModelLeader {
    fn new() -> Self {
        let timeouts = LeaderTimeouts {
            lease: LeaseLimits::new(Duration::from_secs(6)),
            renewal_window: Duration::from_secs(12),
            retention: Duration::from_secs(120),
        };
        let now = MonoTime::from_millis(10_000);
        Self {
            scheduler: JobScheduler::new(timeouts, 1, "e".to_owned(), String::new(), now),
            millis: 10_000,
        }
    }

    fn now(&self) -> (MonoTime, WallTime) {
        (
            MonoTime::from_millis(self.millis),
            WallTime::from_millis(self.millis),
        )
    }

    fn report(&mut self, report: VmReport) {
        let (now, wall) = self.now();
        self.scheduler.handle_report(report, now, wall);
    }

    fn submit(&mut self, job: u64, steps: Vec<StepSpec>) {
        let (_, wall) = self.now();
        let queue = QueuePolicy {
            service: "s".to_owned(),
            objective: Duration::from_secs(1),
            stretch_permille: 2000,
            attempt_limit: 3,
            ..QueuePolicy::default()
        };
        let spec = JobSpec {
            queue,
            accepted_at: wall,
            text: String::new(),
            steps,
            repeat: None,
        };
        self.scheduler.add_job(JobCode::new(job), spec, wall);
    }

    /// Places tasks and records that in the store.
    fn place(&mut self) -> usize {
        let (now, wall) = self.now();
        let placed = self.scheduler.place(now, wall);
        if let Some(plan) = self.scheduler.begin_commit(now, wall) {
            self.scheduler.commit_done(&plan, now);
        }
        placed
    }

    fn longest(&self) -> Option<(TaskName, usize, String)> {
        let (now, wall) = self.now();
        let summary = self.scheduler.summarize_exclusions(now, wall);
        let step = summary.longest;
        step.map(|step| (step.first, step.tasks, step.causes.to_string()))
    }
}

fn report(vm: &str, capacity: ResourceSet, stamp_millis: u64) -> VmReport {
    VmReport {
        vm: vm.to_owned(),
        zone: "morava-a".to_owned(),
        epoch: 1,
        stamp_millis,
        endpoint_info: Some(EndpointInfo {
            incarnation: EndpointIncarnation {
                endpoint: vm.to_owned(),
                started_at_millis: 1,
            },
            service: "s".to_owned(),
            is_draining: false,
            capacity,
            labels: vec!["a".to_owned()],
        }),
        is_synced: true,
        is_terminated: false,
        is_unresponsive: false,
        attempts: Vec::new(),
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

fn serving(count: u32, need: ResourceSet) -> StepSpec {
    StepSpec {
        count,
        is_long_running: true,
        latency_target_millis: Some(50),
        ..step(need)
    }
}

/// A backlog of best-effort tasks while more than half of the processors are idle. Guards
/// against a report that names no cause, or the processors that are not what lacks.
#[test]
fn best_effort_backlog_beside_idle_processors_waits_for_headroom() {
    let mut leader = ModelLeader::new();
    for vm in 0..6 {
        leader.report(report(&format!("vm-{vm}"), resources(16, 64, 0), 10_000));
    }
    leader.submit(1, vec![serving(6, resources(12, 1, 0))]);
    leader.millis += 200;
    assert_eq!(leader.place(), 6);
    for job in 2..22 {
        let tasks = StepSpec {
            count: 30,
            ..best_effort(resources(4, 1, 0))
        };
        // The second step is not ready, so it does not wait for capacity.
        let second = StepSpec {
            after: vec![0],
            ..tasks.clone()
        };
        leader.submit(job, vec![tasks, second]);
        leader.millis += 10;
    }
    assert_eq!(leader.place(), 0);
    let (now, wall) = leader.now();
    let load = leader.scheduler.describe_load(now, wall);
    assert!(load.contains("24000 millicores free, 60000 idle"), "{load}");

    let summary = leader.scheduler.summarize_exclusions(now, wall);
    assert_eq!(
        leader.longest(),
        Some((task_name(2, 0, 0), 30, "headroom 6".to_owned()))
    );
    assert_eq!(
        summary.tasks,
        BTreeMap::from([(ExclusionCause::Headroom, 600)])
    );
    assert_eq!(
        summary.to_string(),
        "20 steps, 600 tasks, VMs excluded: headroom 120"
    );
}

/// VMs of uneven size whose memory is used up while their processors are not. Guards against
/// processors that are named because a load report shows them alone.
#[test]
fn memory_is_named_where_it_binds_on_vms_of_uneven_size() {
    let mut leader = ModelLeader::new();
    let sizes = [(16, 24), (32, 24), (48, 40), (48, 8), (4, 64)];
    for (vm, (cores, gigabytes)) in (0..).zip(sizes) {
        let capacity = resources(cores, gigabytes, 0);
        leader.report(report(&format!("vm-{vm}"), capacity, 10_000));
    }
    let tasks = StepSpec {
        count: 20,
        ..step(resources(5, 12, 0))
    };
    leader.submit(1, vec![tasks]);
    // Two tasks each on the first two VMs, three on the third, none on the others.
    assert_eq!(leader.place(), 7);
    let (now, wall) = leader.now();
    let load = leader.scheduler.describe_load(now, wall);
    assert!(load.contains("113000 millicores free"), "{load}");
    assert_eq!(
        leader.longest(),
        Some((task_name(1, 0, 0), 13, "memory 4, processors 1".to_owned()))
    );
}

/// Guards against VMs that accept no tasks and are missing from the counts.
#[test]
fn vms_that_accept_no_tasks_are_closed() {
    let mut leader = ModelLeader::new();
    let capacity = resources(4, 16, 0);
    leader.report(report("silent", capacity, 10_000));
    leader.millis += 5_000;
    let millis = leader.millis;
    let mut draining = report("draining", capacity, millis);
    draining.endpoint_info.as_mut().unwrap().is_draining = true;
    leader.report(draining);
    let mut outside = report("outside", capacity, millis);
    outside.zone = "morava-b".to_owned();
    leader.report(outside);
    let mut unresponsive = report("unresponsive", capacity, millis);
    unresponsive.is_unresponsive = true;
    leader.report(unresponsive);
    leader.report(report("open", capacity, millis));
    leader
        .scheduler
        .set_closed_zones(BTreeSet::from(["morava-b".to_owned()]));
    leader.submit(1, vec![step(resources(8, 1, 0))]);
    assert_eq!(leader.place(), 0);
    assert_eq!(
        leader.longest(),
        Some((task_name(1, 0, 0), 1, "closed 4, processors 1".to_owned()))
    );
}

/// A slowed task is evicted, and the VM that had room for it is taken meanwhile. Guards against
/// a task that waits although its earlier VM shows room.
#[test]
fn vm_that_a_task_was_evicted_from_is_avoided() {
    let mut leader = ModelLeader::new();
    let capacity = resources(8, 64, 0);
    leader.report(report("vm-a", capacity, 10_000));
    leader.submit(1, vec![best_effort(resources(6, 1, 0))]);
    assert_eq!(leader.place(), 1);
    let key = AttemptKey {
        task: task_name(1, 0, 0),
        attempt: AttemptNumber::new(1),
    };
    for _ in 0..5 {
        leader.millis += 400;
        let (now, _) = leader.now();
        leader.scheduler.orders("vm-a", now);
        let mut slowed = report("vm-a", capacity, leader.millis);
        slowed.attempts.push(AttemptStatus {
            key,
            checkpoint: "c".to_owned(),
            percent: 10,
            pace: 20,
            is_confirmed: true,
        });
        leader.report(slowed);
        let mut other = report("vm-b", capacity, leader.millis);
        other.endpoint_info.as_mut().unwrap().labels = vec!["b".to_owned()];
        leader.report(other);
        // The leader evicts only while the store confirms its leadership.
        leader.place();
        leader.scheduler.tick(now);
    }
    let (events, _) = leader.scheduler.take_events();
    let is_evicted = |event: &JobEvent| matches!(event, JobEvent::Evicted { .. });
    assert!(events.iter().any(is_evicted), "{events:?}");
    leader.submit(2, vec![labelled("b", None, step(resources(8, 1, 0)))]);
    assert_eq!(leader.place(), 1);
    leader.millis += 100;
    let mut ended = report("vm-a", capacity, leader.millis);
    ended.ends.push(AttemptEnd {
        number: 1,
        key,
        kind: EndKind::Stopped,
        checkpoint: "c".to_owned(),
    });
    leader.report(ended);
    assert_eq!(leader.place(), 0);
    assert_eq!(
        leader.longest(),
        Some((task_name(1, 0, 0), 1, "idle 1, avoided 1".to_owned()))
    );
}

/// Guards against a task that has just arrived, or whose VM is free, and counts as waiting; and
/// against a gang that waits for room for all its tasks and does not count.
#[test]
fn only_steps_without_room_are_counted() {
    let mut leader = ModelLeader::new();
    for vm in 0..3 {
        leader.report(report(&format!("vm-{vm}"), resources(8, 64, 0), 10_000));
    }
    leader.submit(1, vec![step(resources(8, 1, 0))]);
    assert_eq!(leader.longest(), None);
    assert_eq!(leader.place(), 1);
    assert_eq!(leader.longest(), None);
    let gang = StepSpec {
        count: 3,
        is_gang: true,
        ..step(resources(8, 1, 0))
    };
    leader.submit(2, vec![gang]);
    assert_eq!(leader.place(), 0);
    assert_eq!(
        leader.longest(),
        Some((task_name(2, 0, 0), 3, "processors 1".to_owned()))
    );
}

/// Guards against a cost that grows with the backlog: only the steps of the oldest jobs are
/// checked.
#[test]
fn at_most_64_steps_are_checked() {
    let mut leader = ModelLeader::new();
    leader.report(report("vm-a", resources(8, 64, 0), 10_000));
    // The youngest jobs have the lowest codes.
    for job in (1..=100).rev() {
        leader.submit(job, vec![step(resources(9, 1, 0))]);
        leader.millis += 1;
    }
    let (now, wall) = leader.now();
    let summary = leader.scheduler.summarize_exclusions(now, wall);
    assert_eq!(summary.steps, 64);
    assert_eq!(summary.longest.unwrap().first, task_name(100, 0, 0));
    assert_eq!(
        summary.tasks,
        BTreeMap::from([(ExclusionCause::Processors, 64)])
    );
}
