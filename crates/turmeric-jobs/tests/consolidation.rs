//! Moves of serving tasks: which VMs are cleared, and what is kept while tasks move.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rstest::rstest;
use turmeric_jobs::{
    AttemptEnd, AttemptKey, AttemptStatus, ConsolidationPolicy, EndKind, EndpointIncarnation,
    EndpointInfo, JobCode, JobScheduler, JobSpec, LeaderTimeouts, LeaseLimits, LongRunningOrder,
    LongRunningStart, PolicySet, QueuePolicy, StepSpec, TaskName, VmReport, read_key,
};
use turmeric_types::{
    AcceleratorCount, CoreCount, MemorySize, MonoTime, ResourceSet, SplitMixRandom, WallTime,
};

/// Time between two reports of an agent, in milliseconds.
const REPORT_MILLIS: u64 = 400;

/// Time that a task takes to stop, and to be at work after its start, in milliseconds.
const STOP_MILLIS: u64 = 300;
const STARTUP_MILLIS: u64 = 250;

fn resources(millicores: u64) -> ResourceSet {
    ResourceSet::new(
        CoreCount::from_millicores(millicores),
        MemorySize::new(millicores << 20),
        AcceleratorCount::new(0),
    )
}

/// A VM whose agent carries out the leader's orders.
struct ModelVm {
    name: String,
    capacity: ResourceSet,
    /// Time that a task takes to stop.
    stop_millis: u64,
    /// Attempts that run, with their start.
    running: BTreeMap<AttemptKey, u64>,
    /// Attempts that are stopping, with the end of their stop.
    stopping: BTreeMap<AttemptKey, u64>,
    ends: Vec<AttemptEnd>,
    last_end: u64,
    applied_orders: u64,
}

/// A leader and its VMs, in simulated time.
struct ModelFleet {
    leader: JobScheduler,
    vms: Vec<ModelVm>,
    specs: BTreeMap<JobCode, JobSpec>,
    cancelled: BTreeSet<JobCode>,
    /// Steps of which all tasks have been at work at one time.
    complete: BTreeSet<TaskName>,
    now: u64,
    /// Attempts stopped so far.
    stops: u64,
}

impl ModelFleet {
    /// Creates `count` VMs of 32 cores, each third one of 48.
    fn new(count: usize, policies: PolicySet) -> Self {
        let timeouts = LeaderTimeouts {
            lease: LeaseLimits::new(Duration::from_secs(6)),
            renewal_window: Duration::from_secs(12),
            retention: Duration::from_secs(120),
        };
        let leader = JobScheduler::new(
            timeouts,
            1,
            "e".to_owned(),
            String::new(),
            MonoTime::from_millis(1000),
        );
        let vms = (0..count).map(|number| ModelVm {
            name: format!("vm-{number:02}"),
            capacity: resources(if number % 3 == 2 { 48_000 } else { 32_000 }),
            stop_millis: STOP_MILLIS,
            running: BTreeMap::new(),
            stopping: BTreeMap::new(),
            ends: Vec::new(),
            last_end: 0,
            applied_orders: 0,
        });
        Self {
            leader: leader.with_policies(policies),
            vms: vms.collect(),
            specs: BTreeMap::new(),
            cancelled: BTreeSet::new(),
            complete: BTreeSet::new(),
            now: 1000,
            stops: 0,
        }
    }

    /// Submits a long-running job of `count` tasks of an image, at most `limit` on a VM.
    fn submit(&mut self, count: u32, image: u64, limit: Option<u32>) {
        let code = JobCode::new(self.specs.len() as u64 + 1);
        let spec = JobSpec {
            queue: QueuePolicy {
                service: "s".to_owned(),
                ..QueuePolicy::default()
            },
            accepted_at: WallTime::from_millis(self.now),
            text: String::new(),
            steps: vec![StepSpec {
                count,
                need: resources(6_400),
                estimate: Duration::from_secs(70),
                is_long_running: true,
                image: Some(format!("image-{image}")),
                latency_target_millis: Some(50),
                vm_limit: limit,
                away_limit: 1,
                ..StepSpec::default()
            }],
            repeat: None,
        };
        self.leader
            .add_job(code, spec.clone(), WallTime::from_millis(self.now));
        self.specs.insert(code, spec);
    }

    fn cancel(&mut self, code: JobCode) {
        self.leader
            .cancel_job(code, WallTime::from_millis(self.now));
        self.cancelled.insert(code);
    }

    /// Runs the fleet for `millis`, in rounds of 20 ms, and checks each round.
    fn run(&mut self, millis: u64) {
        for _ in 0..millis / 20 {
            self.now += 20;
            let (now, wall) = (
                MonoTime::from_millis(self.now),
                WallTime::from_millis(self.now),
            );
            for number in 0..self.vms.len() {
                // Agents report at different times.
                if (self.now / 20 + number as u64).is_multiple_of(REPORT_MILLIS / 20) {
                    let report = self.vms[number].report(self.now);
                    self.leader.handle_report(report, now, wall);
                }
            }
            self.leader.tick(now);
            self.leader.place(now, wall);
            if let Some(plan) = self.leader.begin_commit(now, wall) {
                self.leader.commit_done(&plan, now);
            }
            let updated: BTreeSet<String> = self.leader.take_pending_updates();
            for vm in self.vms.iter_mut().filter(|vm| updated.contains(&vm.name)) {
                let orders = self.leader.orders(&vm.name, now).unwrap();
                self.stops += vm.apply(&orders, self.now);
            }
            self.check();
        }
    }

    /// Checks the capacity and the limit on each VM, and that at most one task of a step is
    /// away once all have been at work.
    fn check(&mut self) {
        let mut at_work: BTreeMap<TaskName, u32> = BTreeMap::new();
        for vm in &self.vms {
            let keys = vm.running.keys().chain(vm.stopping.keys());
            let mut steps: BTreeMap<TaskName, u32> = BTreeMap::new();
            let mut used = 0;
            for key in keys {
                let spec = &self.specs[&key.task.job].steps[0];
                used += spec.need.cores.as_millicores();
                let count = steps.entry(key.task.first_of_step()).or_default();
                *count += 1;
                assert!(
                    spec.vm_limit.is_none_or(|limit| *count <= limit),
                    "{} has {count} tasks of {}",
                    vm.name,
                    key.task
                );
            }
            assert!(used <= vm.capacity.cores.as_millicores(), "{}", vm.name);
            for (key, started_at) in &vm.running {
                if self.now >= started_at + STARTUP_MILLIS {
                    *at_work.entry(key.task.first_of_step()).or_default() += 1;
                }
            }
        }
        let count = |first: &TaskName| at_work.get(first).copied().unwrap_or_default();
        for (code, spec) in &self.specs {
            let first = TaskName {
                job: *code,
                occurrence: 0,
                step: 0,
                index: 0,
            };
            let all = spec.steps[0].count;
            if count(&first) == all {
                self.complete.insert(first);
            }
            let is_expected = self.complete.contains(&first) && !self.cancelled.contains(code);
            assert!(
                !is_expected || count(&first) + 1 >= all,
                "{} of {all} tasks of {first} are at work at {}",
                count(&first),
                self.now
            );
        }
    }

    /// Returns the VMs whose tasks all fit on VMs that have at least as many.
    fn clearable_vms(&self) -> Vec<String> {
        let sources = self.vms.iter().filter(|vm| !vm.running.is_empty());
        let clearable = sources.filter(|source| {
            let mut targets: Vec<(u64, BTreeMap<TaskName, u32>)> = self
                .vms
                .iter()
                .filter(|vm| vm.name != source.name && vm.running.len() >= source.running.len())
                .map(|vm| {
                    let mut steps: BTreeMap<TaskName, u32> = BTreeMap::new();
                    for key in vm.running.keys() {
                        *steps.entry(key.task.first_of_step()).or_default() += 1;
                    }
                    let used = 6_400 * vm.running.len() as u64;
                    (vm.capacity.cores.as_millicores() - used, steps)
                })
                .collect();
            source.running.keys().all(|key| {
                let limit = self.specs[&key.task.job].steps[0].vm_limit;
                let first = key.task.first_of_step();
                let target = targets.iter_mut().find(|(free, steps)| {
                    let count = steps.get(&first).copied().unwrap_or_default();
                    *free >= 6_400 && limit.is_none_or(|limit| count < limit)
                });
                target.is_some_and(|(free, steps)| {
                    *free -= 6_400;
                    *steps.entry(first).or_default() += 1;
                    true
                })
            })
        });
        clearable.map(|vm| vm.name.clone()).collect()
    }

    fn vms_without_serving_tasks(&self) -> usize {
        let free = |vm: &&ModelVm| vm.running.is_empty() && vm.stopping.is_empty();
        self.vms.iter().filter(free).count()
    }
}

impl ModelVm {
    fn report(&mut self, now: u64) -> VmReport {
        let ended: Vec<AttemptKey> = self
            .stopping
            .iter()
            .filter(|(_, at)| now >= **at)
            .map(|(key, _)| *key)
            .collect();
        for key in ended {
            self.stopping.remove(&key);
            self.last_end += 1;
            self.ends.push(AttemptEnd {
                number: self.last_end,
                key,
                kind: EndKind::Stopped,
                checkpoint: String::new(),
            });
        }
        let statuses = self.running.iter().map(|(key, started_at)| AttemptStatus {
            key: *key,
            checkpoint: String::new(),
            percent: if now >= started_at + STARTUP_MILLIS {
                100
            } else {
                0
            },
            pace: 100,
            is_confirmed: true,
        });
        let stopping = self.stopping.keys().map(|key| AttemptStatus {
            key: *key,
            checkpoint: String::new(),
            percent: 100,
            pace: 100,
            is_confirmed: true,
        });
        VmReport {
            vm: self.name.clone(),
            zone: "morava-a".to_owned(),
            epoch: 1,
            stamp_millis: now,
            endpoint_info: Some(EndpointInfo {
                incarnation: EndpointIncarnation {
                    endpoint: self.name.clone(),
                    started_at_millis: 1,
                },
                service: "s".to_owned(),
                is_draining: false,
                capacity: self.capacity,
                labels: Vec::new(),
            }),
            is_synced: true,
            is_terminated: false,
            is_unresponsive: false,
            attempts: statuses.chain(stopping).collect(),
            ends: self.ends.clone(),
            refused: Vec::new(),
            applied_orders: self.applied_orders,
            crash: None,
            headroom: None,
            has_more_ends: false,
            lease_wait: None,
            own_lease_wait: None,
            is_stopping: false,
            unplanned: Vec::new(),
        }
    }

    /// Carries out orders; returns how many attempts it begins to stop.
    fn apply(&mut self, orders: &turmeric_schema::v1::VmOrders, now: u64) -> u64 {
        self.applied_orders = orders.sequence;
        self.ends.retain(|end| end.number > orders.recorded_end);
        let read = |key| read_key(key).unwrap();
        let kept: BTreeSet<AttemptKey> = orders.keep.iter().map(|key| read(Some(key))).collect();
        let mut stops = 0;
        let running = std::mem::take(&mut self.running);
        for (key, started_at) in running {
            if kept.contains(&key) {
                self.running.insert(key, started_at);
            } else {
                stops += 1;
                self.stopping.insert(key, now + self.stop_millis);
            }
        }
        for start in &orders.starts {
            self.running.insert(read(start.key.as_ref()), now);
        }
        stops
    }
}

/// Returns policies that place each job as it arrives.
fn scattering(consolidation: ConsolidationPolicy) -> PolicySet {
    PolicySet {
        consolidation,
        long_running_order: LongRunningOrder::LeastWork,
        long_running_start: LongRunningStart::AtOnce,
        ..PolicySet::default()
    }
}

/// Twenty-two jobs arrive within a second, every other one with a limit of one task on a VM,
/// and reserve three quarters of 66 VMs. Then every third job is cancelled.
fn scattered_fleet(seed: u64, consolidation: ConsolidationPolicy) -> ModelFleet {
    let mut fleet = ModelFleet::new(66, scattering(consolidation));
    fleet.run(800);
    let mut random = SplitMixRandom::new(seed);
    for number in 0..22 {
        let count = 8 + random.next_below(13) as u32;
        let limit = (number % 2 == 0).then_some(1);
        fleet.submit(count, random.next_below(10) as u64, limit);
        fleet.run(40);
    }
    fleet.run(3_000);
    for code in fleet.specs.keys().copied().step_by(3).collect::<Vec<_>>() {
        fleet.cancel(code);
    }
    // One task of a step moves at a time, and a move takes less than 2 s; a job has at most
    // 20 tasks.
    fleet.run(40_000);
    fleet
}

#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
#[case(4)]
fn serving_tasks_are_moved_off_vms_that_can_be_cleared(#[case] seed: u64) {
    let scattered = scattered_fleet(seed, ConsolidationPolicy::None);
    assert_ne!(
        scattered.clearable_vms(),
        Vec::<String>::new(),
        "seed {seed}"
    );

    let mut fleet = scattered_fleet(seed, ConsolidationPolicy::ClearVms);
    assert_eq!(fleet.leader.describe_unplaced(8), "", "seed {seed}");
    assert_eq!(fleet.clearable_vms(), Vec::<String>::new(), "seed {seed}");
    assert!(
        fleet.vms_without_serving_tasks() > scattered.vms_without_serving_tasks(),
        "seed {seed}"
    );

    // Once the tasks are together, they stay where they are.
    let stops = fleet.stops;
    fleet.run(6_000);
    assert_eq!(fleet.stops, stops, "seed {seed}");
}

/// Twenty-two jobs arrive within 40 ms; the job that needs the most VMs comes last.
#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn jobs_that_arrive_together_are_packed_widest_first(#[case] seed: u64) {
    let used = |order, start| {
        let policies = PolicySet {
            consolidation: ConsolidationPolicy::None,
            long_running_order: order,
            long_running_start: start,
            ..PolicySet::default()
        };
        let mut fleet = ModelFleet::new(66, policies);
        fleet.run(800);
        let mut random = SplitMixRandom::new(seed);
        for number in 0..22 {
            let (count, limit) = if number % 2 == 0 {
                (10 + number, Some(1))
            } else {
                (8 + random.next_below(6) as u32, None)
            };
            fleet.submit(count, random.next_below(10) as u64, limit);
            if number % 11 == 10 {
                fleet.run(20);
            }
        }
        fleet.run(3_000);
        66 - fleet.vms_without_serving_tasks()
    };
    let standing = used(LongRunningOrder::LeastWork, LongRunningStart::AtOnce);
    let packed = used(LongRunningOrder::WidestFirst, LongRunningStart::Gathered);
    // 220 tasks with a limit and some 115 without need 59 of the VMs, with 5.67 each.
    assert!(packed <= 62, "seed {seed}: {standing} VMs, then {packed}");
    assert!(
        packed < standing,
        "seed {seed}: {standing} VMs, then {packed}"
    );
}

/// A VM with room only for some of another one's tasks.
#[test]
fn a_vm_that_cannot_be_cleared_keeps_its_tasks() {
    let mut fleet = ModelFleet::new(2, scattering(ConsolidationPolicy::ClearVms));
    fleet.run(800);
    fleet.submit(6, 1, None);
    fleet.run(5_000);
    assert_eq!(fleet.stops, 0);
    assert_eq!(fleet.vms_without_serving_tasks(), 0);
}

/// A VM has fewer processors than when space on it was reserved for a task on its way.
#[test]
fn a_task_is_not_placed_on_a_vm_that_has_shrunk_meanwhile() {
    let mut fleet = ModelFleet::new(2, scattering(ConsolidationPolicy::ClearVms));
    fleet.run(800);
    fleet.submit(4, 1, None);
    fleet.submit(1, 1, None);
    fleet.run(2_000);
    fleet.submit(1, 2, None);
    fleet.run(2_000);
    assert_eq!(fleet.vms[0].running.len(), 5);
    assert_eq!(fleet.vms[1].running.len(), 1);

    // The leader hears of the smaller VM before the end of the task on its way.
    fleet.vms[1].stop_millis = 2 * REPORT_MILLIS;
    fleet.cancel(JobCode::new(2));
    while fleet.stops < 2 {
        fleet.run(20);
    }
    fleet.vms[0].capacity = resources(30_000);
    fleet.run(5_000);
    // `check` has compared the tasks of each VM with its capacity in each round.
    assert_eq!(fleet.vms[0].running.len(), 4);
    assert_eq!(fleet.vms[1].running.len(), 1);
}
