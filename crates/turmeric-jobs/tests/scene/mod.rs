//! A leader and VMs that report, start and end tasks when a test says so.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use turmeric_jobs::{
    AttemptEnd, AttemptKey, AttemptStatus, EndKind, EndpointIncarnation, EndpointInfo, JobCode,
    JobScheduler, JobSpec, LeaderTimeouts, LeaseLimits, QueuePolicy, StepSpec, VmReport, read_key,
};
use turmeric_schema::{Message, v1};
use turmeric_types::{AcceleratorCount, CoreCount, MemorySize, MonoTime, ResourceSet, WallTime};

/// Time between two reports of an agent, in milliseconds.
pub const REPORT_MILLIS: u64 = 400;

/// Longest time that a worker takes to stop a task, in milliseconds.
pub const STOP_MILLIS: u64 = 900;

/// Time without reports after which a VM does not count as reachable, in milliseconds.
pub const SILENCE_MILLIS: u64 = 1_600;

pub fn resources(cores: u64) -> ResourceSet {
    ResourceSet::new(
        CoreCount::from_millicores(cores * 1000),
        MemorySize::new(cores << 30),
        AcceleratorCount::new(0),
    )
}

/// A VM, of which the leader sees only the reports.
#[derive(Clone)]
pub struct SceneVm {
    pub cores: u64,
    pub is_draining: bool,
    pub is_unresponsive: bool,
    /// Its worker carries out no start.
    pub starts_nothing: bool,
    /// Pace of its tasks, in percent of their full speed.
    pub pace: u32,
    pub running: BTreeSet<AttemptKey>,
    pub ends: Vec<AttemptEnd>,
    /// Attempts that the worker rejected, as its agent reports.
    pub refused: Vec<AttemptKey>,
    /// Its reports may lack ends.
    pub has_more_ends: bool,
    /// Number of the incarnation of its endpoint.
    pub life: u64,
    /// Its agent has fenced the worker.
    pub is_synced: bool,
}

impl SceneVm {
    pub fn new(cores: u64) -> Self {
        Self {
            cores,
            is_draining: false,
            is_unresponsive: false,
            starts_nothing: false,
            pace: 100,
            running: BTreeSet::new(),
            ends: Vec::new(),
            refused: Vec::new(),
            has_more_ends: false,
            life: 1,
            is_synced: true,
        }
    }

    fn status(&self, key: AttemptKey) -> AttemptStatus {
        AttemptStatus {
            key,
            checkpoint: String::new(),
            percent: if self.starts_nothing { 0 } else { 100 },
            pace: self.pace,
            is_confirmed: !self.starts_nothing,
        }
    }
}

/// A leader and VMs that report, start and end tasks when a test says so.
pub struct LeaderScene {
    pub leader: JobScheduler,
    pub vms: BTreeMap<&'static str, SceneVm>,
    pub now: u64,
    epoch: u64,
    specs: BTreeMap<JobCode, JobSpec>,
    /// Progress of the jobs in the store.
    progress: BTreeMap<JobCode, Vec<u8>>,
}

fn timeouts() -> LeaderTimeouts {
    LeaderTimeouts {
        lease: LeaseLimits::new(Duration::from_secs(6)),
        renewal_window: Duration::from_secs(2),
        retention: Duration::from_secs(120),
    }
}

impl LeaderScene {
    pub fn new(vms: &[(&'static str, u64)]) -> Self {
        let at = MonoTime::from_millis(1_000);
        let new_vm = |(name, cores): &(&'static str, u64)| (*name, SceneVm::new(*cores));
        let mut scene = Self {
            leader: JobScheduler::new(timeouts(), 1, "e".to_owned(), String::new(), at),
            vms: vms.iter().map(new_vm).collect(),
            now: 1_000,
            epoch: 1,
            specs: BTreeMap::new(),
            progress: BTreeMap::new(),
        };
        scene.report_all();
        scene
    }

    /// Adds a VM with nothing on it.
    pub fn add_vm(&mut self, name: &'static str, cores: u64) {
        self.vms.insert(name, SceneVm::new(cores));
        self.report(name);
    }

    pub fn mono(&self) -> MonoTime {
        MonoTime::from_millis(self.now)
    }

    pub fn wall(&self) -> WallTime {
        WallTime::from_millis(self.now)
    }

    pub fn submit(&mut self, number: u64, step: StepSpec) -> JobCode {
        self.submit_with_priority(number, 0, step)
    }

    pub fn submit_with_priority(&mut self, number: u64, priority: u32, step: StepSpec) -> JobCode {
        let queue = QueuePolicy {
            priority,
            ..QueuePolicy::default()
        };
        self.submit_with_queue(number, queue, step)
    }

    pub fn submit_with_queue(
        &mut self,
        number: u64,
        queue: QueuePolicy,
        step: StepSpec,
    ) -> JobCode {
        let code = JobCode::new(number);
        let spec = JobSpec {
            queue: QueuePolicy {
                service: "s".to_owned(),
                ..queue
            },
            accepted_at: self.wall(),
            text: String::new(),
            steps: vec![step],
            repeat: None,
        };
        self.specs.insert(code, spec.clone());
        self.leader.add_job(code, spec, self.wall());
        code
    }

    /// Replaces the leader by another one, which knows what the store holds.
    pub fn take_over(&mut self) {
        self.epoch += 1;
        let (epoch, now, wall) = (self.epoch, self.mono(), self.wall());
        self.leader = JobScheduler::new(timeouts(), epoch, "f".to_owned(), String::new(), now);
        for (code, spec) in &self.specs {
            self.leader.add_job(*code, spec.clone(), wall);
        }
        for (code, value) in &self.progress {
            let progress = v1::JobProgress::decode(value.as_slice()).unwrap();
            self.leader.restore_job(*code, progress);
        }
    }

    /// Lets time pass; the store confirms a write then.
    pub fn pass(&mut self, millis: u64) {
        self.now += millis;
        self.commit();
    }

    pub fn commit(&mut self) {
        let (now, wall) = (self.mono(), self.wall());
        if let Some(plan) = self.leader.begin_commit(now, wall) {
            self.progress.extend(plan.progress.iter().cloned());
            self.leader.commit_done(&plan, now);
        }
    }

    pub fn tick(&mut self) {
        self.leader.tick(self.mono());
    }

    pub fn place(&mut self) -> usize {
        self.leader.place(self.mono(), self.wall())
    }

    pub fn report(&mut self, name: &str) {
        let vm = &self.vms[name];
        let report = VmReport {
            vm: name.to_owned(),
            zone: "morava-a".to_owned(),
            epoch: self.epoch,
            stamp_millis: self.now,
            endpoint_info: Some(EndpointInfo {
                incarnation: EndpointIncarnation {
                    endpoint: name.to_owned(),
                    started_at_millis: vm.life,
                },
                service: "s".to_owned(),
                is_draining: vm.is_draining,
                capacity: resources(vm.cores),
                labels: Vec::new(),
            }),
            is_synced: vm.is_synced,
            is_terminated: false,
            is_unresponsive: vm.is_unresponsive,
            attempts: vm.running.iter().map(|key| vm.status(*key)).collect(),
            ends: vm.ends.clone(),
            refused: vm.refused.clone(),
            applied_orders: 0,
            crash: None,
            headroom: None,
            has_more_ends: vm.has_more_ends,
            lease_wait: None,
            own_lease_wait: None,
            is_stopping: false,
            unplanned: Vec::new(),
        };
        let (now, wall) = (self.mono(), self.wall());
        self.leader.handle_report(report, now, wall);
    }

    pub fn report_all(&mut self) {
        for name in self.vms.keys().copied().collect::<Vec<_>>() {
            self.report(name);
        }
    }

    /// Places what waits, and starts it on the VMs.
    pub fn start(&mut self) {
        self.place();
        self.pass(700);
        for name in self.vms.keys().copied().collect::<Vec<_>>() {
            let running = self.kept(name);
            self.vms.get_mut(name).unwrap().running = running;
        }
        self.report_all();
    }

    /// Returns the attempts that the leader's orders for a VM list.
    pub fn kept(&mut self, name: &str) -> BTreeSet<AttemptKey> {
        let orders = self.leader.orders(name, self.mono()).unwrap();
        let keys = orders.keep.iter().map(|key| read_key(Some(key)).unwrap());
        keys.collect()
    }

    /// Returns the jobs of which the leader's orders for a VM list attempts.
    pub fn kept_jobs(&mut self, name: &str) -> Vec<JobCode> {
        let kept = self.kept(name);
        kept.iter().map(|key| key.task.job).collect()
    }

    pub fn drain(&mut self, name: &str) {
        self.vms.get_mut(name).unwrap().is_draining = true;
        self.report(name);
    }

    /// Ends all attempts of a job on a VM, and reports it.
    pub fn end(&mut self, name: &str, job: JobCode, kind: EndKind) {
        let vm = self.vms.get_mut(name).unwrap();
        let ended = vm.running.iter().copied();
        for key in ended.filter(|key| key.task.job == job).collect::<Vec<_>>() {
            vm.running.remove(&key);
            vm.ends.push(AttemptEnd {
                number: vm.ends.len() as u64 + 1,
                key,
                kind,
                checkpoint: String::new(),
            });
        }
        self.report(name);
    }
}

pub fn finite() -> StepSpec {
    StepSpec {
        count: 1,
        need: resources(1),
        estimate: Duration::from_secs(5),
        ..StepSpec::default()
    }
}

pub fn long_running() -> StepSpec {
    StepSpec {
        is_long_running: true,
        ..finite()
    }
}
