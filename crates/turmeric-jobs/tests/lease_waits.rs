//! How long the tasks of a VM that is gone wait until they run elsewhere.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::time::Duration;

use rstest::rstest;
use turmeric_jobs::{
    EndpointIncarnation, EndpointInfo, JobCode, JobScheduler, JobSpec, LeaderTimeouts, LeaseLimits,
    QueuePolicy, StepSpec, VmReport,
};
use turmeric_types::{AcceleratorCount, CoreCount, MemorySize, MonoTime, ResourceSet, WallTime};

/// Time after its last run within which a long-running task must run again, by the platform's
/// rules: 6 s, and 3 s more before its absence counts.
const LOSS_BOUND: Duration = Duration::from_secs(9);

/// Time between two reports of an agent, and between two steps of the leader.
const REPORT_INTERVAL: Duration = Duration::from_millis(400);

fn resources(cores: u64) -> ResourceSet {
    ResourceSet::new(
        CoreCount::from_millicores(cores * 1000),
        MemorySize::new(64 << 30),
        AcceleratorCount::new(0),
    )
}

fn spec() -> JobSpec {
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
            is_long_running: true,
            ..StepSpec::default()
        }],
        repeat: None,
    }
}

/// A leader with a long-running task on VM `a`, and VM `b` with room for it.
struct LossScene {
    leader: JobScheduler,
    limits: LeaseLimits,
    job: JobCode,
    now: MonoTime,
}

impl LossScene {
    fn new(limits: LeaseLimits) -> Self {
        let mut scene = Self {
            leader: new_leader(limits, 1, MonoTime::from_millis(1_000)),
            limits,
            job: JobCode::new(1),
            now: MonoTime::from_millis(1_000),
        };
        scene.leader.add_job(scene.job, spec(), WallTime::default());
        scene.report("a", false);
        scene.step();
        assert_eq!(scene.vm().as_deref(), Some("a"));
        scene.report("a", false);
        scene
    }

    fn wall(&self) -> WallTime {
        WallTime::from_millis(self.now.as_millis())
    }

    fn report(&mut self, vm: &str, is_unresponsive: bool) {
        let report = VmReport {
            vm: vm.to_owned(),
            zone: "morava-a".to_owned(),
            epoch: self.leader.epoch(),
            stamp_millis: self.now.as_millis(),
            endpoint_info: Some(EndpointInfo {
                incarnation: EndpointIncarnation {
                    endpoint: vm.to_owned(),
                    started_at_millis: 1,
                },
                service: "s".to_owned(),
                capacity: resources(8),
                ..EndpointInfo::default()
            }),
            is_synced: true,
            is_unresponsive,
            lease_wait: Some(self.limits.wait()),
            ..VmReport::default()
        };
        let wall = self.wall();
        self.leader.handle_report(report, self.now, wall);
    }

    /// Has the leader decide and write.
    fn step(&mut self) {
        let wall = self.wall();
        self.leader.tick(self.now);
        self.leader.place(self.now, wall);
        if let Some(plan) = self.leader.begin_commit(self.now, wall) {
            self.leader.commit_done(&plan, self.now);
        }
    }

    /// Passes time in which the agents of `vms` report.
    fn pass(&mut self, duration: Duration, vms: &[(&str, bool)]) {
        let end = self.now.after(duration);
        while self.now < end {
            self.now = self.now.after(REPORT_INTERVAL);
            for (vm, is_unresponsive) in vms {
                self.report(vm, *is_unresponsive);
            }
            self.step();
        }
    }

    /// Returns the VM on which the task is placed.
    fn vm(&self) -> Option<String> {
        let job = self.leader.job(self.job)?;
        let location = job.tasks.values().next()?.location.clone();
        location.map(|location| location.vm)
    }

    /// Passes time until the task is placed on VM `b`; returns when.
    fn moved_at(&mut self) -> MonoTime {
        for _ in 0..200 {
            if self.vm().as_deref() == Some("b") {
                return self.now;
            }
            self.pass(REPORT_INTERVAL, &[("b", false)]);
        }
        self.now
    }
}

fn new_leader(limits: LeaseLimits, epoch: u64, now: MonoTime) -> JobScheduler {
    let timeouts = LeaderTimeouts {
        lease: limits,
        confirmation_timeout: Duration::from_secs(12),
        retention: Duration::from_secs(100),
    };
    JobScheduler::new(timeouts, epoch, "e".to_owned(), String::new(), now)
}

/// Guards against waits for the longest lease that a worker accepts, where agents never renew that
/// long.
#[rstest]
#[case::short(2_000)]
#[case::usual(6_000)]
#[case::long(10_000)]
#[case::longest(60_000)]
fn task_of_a_silent_vm_runs_elsewhere_in_time(#[case] accepted_millis: u64) {
    let mut scene = LossScene::new(LeaseLimits::new(Duration::from_millis(accepted_millis)));
    let lost_at = scene.now;
    assert!(scene.moved_at() < lost_at.after(LOSS_BOUND));
}

/// Guards against a wait that starts again with each report that the worker is gone, although such
/// a report renews no lease.
#[rstest]
#[case::usual(6_000)]
#[case::long(10_000)]
fn task_of_a_silent_worker_runs_elsewhere_in_time(#[case] accepted_millis: u64) {
    let mut scene = LossScene::new(LeaseLimits::new(Duration::from_millis(accepted_millis)));
    let lost_at = scene.now;
    let reports = [("a", true), ("b", false)];
    scene.pass(Duration::from_millis(2_800), &reports);
    assert!(scene.moved_at() < lost_at.after(LOSS_BOUND));
}
