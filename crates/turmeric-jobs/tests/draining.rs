//! An endpoint that drains while it runs lasting tasks and others.

#![allow(clippy::unwrap_used, reason = "a test stops at the first surprise")]

use std::time::Duration;

use turmeric_jobs::{
    EndpointFacts, EndpointLife, JobCode, JobScheduler, JobSpec, LeaderTerms, LeaseLimits,
    QueuePolicy, RunStatus, StepSpec, VmReport, read_key,
};
use turmeric_types::{AcceleratorCount, CoreCount, MemorySize, MonoTime, ResourceSet, WallTime};

fn resources(cores: u64) -> ResourceSet {
    ResourceSet::new(
        CoreCount::from_millicores(cores * 1000),
        MemorySize::new(64 << 30),
        AcceleratorCount::new(0),
    )
}

fn report(vm: &str, is_draining: bool, at: u64, runs: Vec<RunStatus>) -> VmReport {
    VmReport {
        vm: vm.to_owned(),
        zone: "morava-a".to_owned(),
        epoch: 1,
        stamp_millis: at,
        facts: Some(EndpointFacts {
            life: EndpointLife {
                endpoint: vm.to_owned(),
                born: 1,
            },
            service: "s".to_owned(),
            is_draining,
            capacity: resources(8),
            labels: Vec::new(),
        }),
        is_synced: true,
        is_over: false,
        runs,
        ends: Vec::new(),
        refused: Vec::new(),
        taken_orders: 0,
        pressure: None,
    }
}

fn job(is_lasting: bool) -> JobSpec {
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
            is_lasting,
            ..StepSpec::default()
        }],
        repeat: None,
    }
}

#[test]
fn lasting_tasks_leave_a_draining_endpoint_and_others_end_there() {
    let terms = LeaderTerms {
        lease: LeaseLimits::new(Duration::from_secs(5)),
        confidence: Duration::from_secs(5),
        retention: Duration::from_secs(100),
    };
    let (mut now, wall) = (MonoTime::from_millis(1000), WallTime::from_millis(1000));
    let mut leader = JobScheduler::new(terms, 1, "e".to_owned(), String::new(), now);
    let (lasting, ending) = (JobCode::new(1), JobCode::new(2));
    leader.add_job(lasting, job(true), wall);
    leader.add_job(ending, job(false), wall);
    leader.take_report(report("a", false, 1000, Vec::new()), now, wall);
    assert_eq!(leader.place(now, wall), 2);
    now = now.after(Duration::from_millis(100));
    let plan = leader.begin_commit(now, wall).unwrap();
    leader.commit_done(&plan, now);
    let orders = leader.orders("a", now).unwrap();
    assert_eq!(orders.starts.len(), 2);
    let runs: Vec<RunStatus> = orders
        .keep
        .iter()
        .map(|key| RunStatus {
            key: read_key(Some(key)).unwrap(),
            checkpoint: String::new(),
            percent: 1,
            pace: 100,
        })
        .collect();

    // Nowhere to go: both stay.
    leader.take_report(report("a", true, 1200, runs.clone()), now, wall);
    leader.tick(now);
    assert_eq!(leader.orders("a", now).unwrap().keep.len(), 2);

    leader.take_report(report("b", false, 1300, Vec::new()), now, wall);
    leader.tick(now);
    let keep = leader.orders("a", now).unwrap().keep;
    let kept: Vec<JobCode> = keep
        .iter()
        .map(|key| read_key(Some(key)).unwrap().task.job)
        .collect();
    assert_eq!(kept, [ending]);
}
