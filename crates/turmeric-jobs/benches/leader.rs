//! Benchmarks of the parts of one round of the leader, with 160 VMs.

use std::collections::BTreeMap;
use std::hint::black_box;
use std::time::Duration;

use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use turmeric_jobs::{
    AttemptStatus, EndpointIncarnation, EndpointInfo, JobCode, JobScheduler, JobSpec,
    LeaderTimeouts, LeaseLimits, QueuePolicy, StepSpec, VmReport, read_key,
};
use turmeric_types::{AcceleratorCount, CoreCount, MemorySize, MonoTime, ResourceSet, WallTime};

const VMS: usize = 160;
const NOW: u64 = 10_000;

fn terms() -> LeaderTimeouts {
    LeaderTimeouts {
        lease: LeaseLimits::new(Duration::from_secs(6)),
        renewal_window: Duration::from_secs(12),
        retention: Duration::from_secs(120),
    }
}

fn resources(millicores: u64) -> ResourceSet {
    ResourceSet::new(
        CoreCount::from_millicores(millicores),
        MemorySize::new(millicores << 20),
        AcceleratorCount::new(0),
    )
}

fn report(vm: usize, epoch: u64, runs: Vec<AttemptStatus>) -> VmReport {
    VmReport {
        vm: format!("side-morava-a-{vm}"),
        zone: "morava-a".to_owned(),
        epoch,
        stamp_millis: NOW,
        endpoint_info: Some(EndpointInfo {
            incarnation: EndpointIncarnation {
                endpoint: format!("i-{vm}"),
                started_at_millis: 7,
            },
            service: "verdikt".to_owned(),
            is_draining: false,
            capacity: resources(64_000),
            labels: vec!["a".to_owned(), format!("r1-{}", vm / 13)],
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

fn job_spec(steps: Vec<StepSpec>) -> JobSpec {
    JobSpec {
        queue: QueuePolicy {
            route: "scan".to_owned(),
            service: "verdikt".to_owned(),
            stretch_permille: 2000,
            objective: Duration::from_secs(1),
            attempt_limit: 3,
            ..QueuePolicy::default()
        },
        accepted_at: WallTime::from_millis(NOW),
        text: "text".to_owned(),
        steps,
        repeat: None,
    }
}

/// Creates the scheduler of a fleet on which long-running tasks reserve nearly all
/// processors, with 60 best-effort jobs of two steps of 39 tasks, as in a burst on the large
/// deployment.
fn loaded_scheduler() -> JobScheduler {
    let mut scheduler = JobScheduler::new(
        terms(),
        1,
        "entry".to_owned(),
        "10.0.0.1:7720".to_owned(),
        MonoTime::from_millis(NOW),
    );
    let now = MonoTime::from_millis(NOW);
    let wall = WallTime::from_millis(NOW);
    let queue = job_spec(Vec::new()).queue;
    scheduler.set_queues(BTreeMap::from([("scan".to_owned(), queue)]));
    for vm in 0..VMS {
        scheduler.handle_report(report(vm, 1, Vec::new()), now, wall);
    }
    for number in 0..34 {
        let step = StepSpec {
            count: 24,
            need: resources(13_000),
            is_long_running: true,
            image: Some(format!("serving-{}", number % 16)),
            latency_target_millis: Some(50),
            ..StepSpec::default()
        };
        scheduler.add_job(JobCode::new(number), job_spec(vec![step]), wall);
    }
    scheduler.place(now, wall);
    for number in 100..160 {
        let first = StepSpec {
            count: 39,
            need: resources(7_000),
            estimate: Duration::from_millis(2200),
            is_best_effort: true,
            checkpoints: true,
            image: Some(format!("filling-{}", number % 30)),
            ..StepSpec::default()
        };
        let second = StepSpec {
            after: vec![0],
            ..first.clone()
        };
        scheduler.add_job(JobCode::new(number), job_spec(vec![first, second]), wall);
    }
    scheduler
}

fn listed_attempts(scheduler: &mut JobScheduler, vm: usize) -> Vec<AttemptStatus> {
    let name = format!("side-morava-a-{vm}");
    let Some(plan) = scheduler.begin_commit(
        MonoTime::from_millis(NOW + 1000),
        WallTime::from_millis(NOW),
    ) else {
        return Vec::new();
    };
    scheduler.commit_done(&plan, MonoTime::from_millis(NOW + 1000));
    let orders = scheduler.orders(&name, MonoTime::from_millis(NOW + 1000));
    let keys = orders.map(|orders| orders.keep).unwrap_or_default();
    keys.iter()
        .filter_map(|key| read_key(Some(key)).ok())
        .map(|key| AttemptStatus {
            key,
            checkpoint: "00000bb87a21d94b".to_owned(),
            percent: 41,
            pace: 100,
            is_confirmed: true,
        })
        .collect()
}

fn bench(criterion: &mut Criterion) {
    let now = MonoTime::from_millis(NOW + 1000);
    let wall = WallTime::from_millis(NOW + 1000);
    let make = || {
        let mut scheduler = loaded_scheduler();
        for vm in 0..VMS {
            scheduler.handle_report(report(vm, 1, Vec::new()), now, wall);
        }
        scheduler
    };
    criterion.bench_function("placement that fills the fleet", |bencher| {
        bencher.iter_batched(
            make,
            |mut scheduler| scheduler.place(now, wall),
            BatchSize::LargeInput,
        );
    });
    let mut full = make();
    full.place(now, wall);
    criterion.bench_function("placement without free capacity", |bencher| {
        bencher.iter(|| full.place(now, wall));
    });
    criterion.bench_function("causes for which tasks wait", |bencher| {
        bencher.iter(|| full.summarize_exclusions(now, wall));
    });
    for _ in 0..8 {
        if let Some(plan) = full.begin_commit(now, wall) {
            full.commit_done(&plan, MonoTime::from_millis(NOW));
        }
    }
    let attempts = listed_attempts(&mut full, 3);
    println!("{} attempts listed", attempts.len());
    let message = report(3, 1, attempts).write();
    criterion.bench_function("report read", |bencher| {
        bencher.iter(|| VmReport::read(black_box(message.clone())));
    });
    if let Ok(read) = VmReport::read(message) {
        criterion.bench_function("report applied", |bencher| {
            bencher.iter(|| full.handle_report(black_box(read.clone()), now, wall));
        });
    }
    criterion.bench_function("orders", |bencher| {
        bencher.iter(|| full.orders("side-morava-a-3", now));
    });
    criterion.bench_function("commit prepared and done", |bencher| {
        bencher.iter(|| {
            let later = MonoTime::from_millis(NOW + 5000);
            if let Some(plan) = full.begin_commit(later, wall) {
                full.commit_done(&plan, now);
            }
        });
    });
    criterion.bench_function("tick", |bencher| bencher.iter(|| full.tick(now)));
}

criterion_group! {
    name = benches;
    config = Criterion::default().measurement_time(Duration::from_secs(2)).warm_up_time(Duration::from_millis(300)).sample_size(20);
    targets = bench
}
criterion_main!(benches);
