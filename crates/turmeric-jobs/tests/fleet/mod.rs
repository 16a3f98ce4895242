//! A leader with the store's rows and VMs whose endpoints crash, by rounds of reports.

pub mod pair;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use turmeric_jobs::{
    AttemptEnd, AttemptKey, AttemptStatus, EndKind, EndpointIncarnation, EndpointInfo,
    IncarnationCrash, JobCode, JobPhase, JobScheduler, JobSpec, LeaderTimeouts, LeaseLimits,
    QueuePolicy, StepSpec, TaskName, VmReport, read_key,
};
use turmeric_schema::{Message, v1};
use turmeric_types::{
    AcceleratorCount, CoreCount, MemorySize, MonoTime, ResourceSet, SplitMixRandom, WallTime,
};

/// Time between two reports of an agent, in milliseconds.
pub const ROUND: u64 = 100;

/// Time from a crash of an endpoint until its next incarnation, in rounds.
pub const RESTART_ROUNDS: u64 = 30;

/// Number of starts after three crashes that break the platform's rule.
pub const FORBIDDEN_STARTS: usize = 3;

/// Rounds after which every job of these tests has ended.
pub const ROUND_LIMIT: usize = 600;

/// A VM with its agent and its endpoint, of which the leader sees only the reports.
#[derive(Debug, Default)]
pub struct FakeVm {
    pub incarnation: u64,
    /// Attempts that run, with the work that is left, in rounds.
    pub running: BTreeMap<AttemptKey, u64>,
    /// Round in which each of them was started.
    pub started_at: BTreeMap<AttemptKey, u64>,
    /// Number of attempts that were started.
    pub starts: usize,
    /// Rounds after which every attempt on it fails.
    pub fails_after: Option<u64>,
    /// It works in the first of these rounds of each of the second ones; [`None`]: in all.
    pub pace: Option<(u64, u64)>,
    /// Its endpoint is lost, and its agent has not noticed.
    pub loses_starts: bool,
    /// Its agent has declared the leases of the current incarnation expired.
    pub is_terminated: bool,
    pub ends: Vec<AttemptEnd>,
    /// Round in which the endpoint comes back.
    pub back_at: Option<u64>,
    /// Its agent has not fenced the current incarnation yet.
    pub is_new: bool,
    /// What its agent knows of the last crash, until the leader knows of a later incarnation.
    pub crash: Option<IncarnationCrash>,
}

impl FakeVm {
    /// Ends an attempt, unless it has ended.
    pub fn end(&mut self, key: AttemptKey, kind: EndKind) {
        self.started_at.remove(&key);
        if self.running.remove(&key).is_none() {
            return;
        }
        self.ends.push(AttemptEnd {
            number: self.ends.len() as u64 + 1,
            key,
            kind,
            checkpoint: String::new(),
        });
    }
}

/// A leader with the store's rows and some VMs.
pub struct Fleet {
    pub round: u64,
    pub epoch: u64,
    pub leader: JobScheduler,
    pub specs: BTreeMap<JobCode, JobSpec>,
    pub progress: BTreeMap<JobCode, Vec<u8>>,
    pub vms: Vec<FakeVm>,
    /// Jobs whose tasks of index 0 crash the endpoints that start them.
    pub crashing: BTreeSet<JobCode>,
    /// Crashes of endpoints under each task, whatever their cause.
    pub losses: BTreeMap<TaskName, usize>,
    /// Number of crashes and starts of each crashing job.
    pub crashes: BTreeMap<JobCode, usize>,
    pub starts_after_three: BTreeMap<JobCode, usize>,
    /// Rounds in which no write reaches the store.
    pub store_is_away: bool,
    /// Jobs whose attempts all fail after a round, on whatever VM.
    pub failing: BTreeSet<JobCode>,
    /// The leader's row, as last written.
    pub leader_row: v1::LeaderRow,
}

pub fn resources(cores: u64) -> ResourceSet {
    ResourceSet::new(
        CoreCount::from_millicores(cores * 1000),
        MemorySize::new(cores << 30),
        AcceleratorCount::new(0),
    )
}

pub fn spec(count: u32, seconds: u64, wall: WallTime) -> JobSpec {
    JobSpec {
        queue: QueuePolicy {
            service: "s".to_owned(),
            attempt_limit: 2,
            ..QueuePolicy::default()
        },
        accepted_at: wall,
        text: String::new(),
        steps: vec![StepSpec {
            count,
            need: resources(1),
            estimate: Duration::from_secs(seconds),
            ..StepSpec::default()
        }],
        repeat: None,
    }
}

pub fn leader(epoch: u64, now: MonoTime) -> JobScheduler {
    let terms = LeaderTimeouts {
        lease: LeaseLimits::new(Duration::from_secs(5)),
        renewal_window: Duration::from_secs(5),
        retention: Duration::from_secs(100),
    };
    JobScheduler::new(terms, epoch, "e".to_owned(), String::new(), now)
}

impl Fleet {
    pub fn new(vms: usize) -> Self {
        let new_vm = || FakeVm {
            incarnation: 1,
            ..FakeVm::default()
        };
        Self {
            round: 100,
            epoch: 1,
            leader: leader(1, MonoTime::from_millis(100 * ROUND)),
            specs: BTreeMap::new(),
            progress: BTreeMap::new(),
            vms: (0..vms).map(|_| new_vm()).collect(),
            crashing: BTreeSet::new(),
            losses: BTreeMap::new(),
            crashes: BTreeMap::new(),
            starts_after_three: BTreeMap::new(),
            store_is_away: false,
            failing: BTreeSet::new(),
            leader_row: v1::LeaderRow::default(),
        }
    }

    pub fn now(&self) -> MonoTime {
        MonoTime::from_millis(self.round * ROUND)
    }

    pub fn wall(&self) -> WallTime {
        WallTime::from_millis(self.round * ROUND)
    }

    pub fn submit(&mut self, number: u64, count: u32, seconds: u64) -> JobCode {
        let code = JobCode::new(number);
        let spec = spec(count, seconds, self.wall());
        self.specs.insert(code, spec.clone());
        self.leader.add_job(code, spec, self.wall());
        code
    }

    pub fn submit_crashing(&mut self, number: u64, count: u32) -> JobCode {
        let code = self.submit(number, count, 1);
        self.crashing.insert(code);
        code
    }

    /// Replaces the leader by one that reads the store.
    pub fn take_over(&mut self) {
        self.epoch += 1;
        let loads = self.leader_row.queues.clone();
        self.leader = leader(self.epoch, self.now()).with_loads(loads);
        for (code, spec) in &self.specs {
            self.leader.add_job(*code, spec.clone(), self.wall());
        }
        for (code, value) in &self.progress {
            let progress = v1::JobProgress::decode(value.as_slice()).unwrap();
            self.leader.restore_job(*code, progress);
        }
    }

    /// Crashes an endpoint; it is back some seconds later with nothing running.
    pub fn crash(&mut self, number: usize) {
        let vm = &mut self.vms[number];
        if vm.back_at.is_some() {
            return;
        }
        vm.crash = Some(IncarnationCrash {
            incarnation: EndpointIncarnation {
                endpoint: format!("i-{number}"),
                started_at_millis: vm.incarnation,
            },
            attempts: vm.running.keys().copied().collect(),
            unconfirmed: BTreeSet::new(),
        });
        for key in vm.running.keys() {
            *self.losses.entry(key.task).or_default() += 1;
        }
        vm.running.clear();
        vm.started_at.clear();
        vm.ends.clear();
        vm.back_at = Some(self.round + RESTART_ROUNDS);
    }

    pub fn report(&self, number: usize) -> VmReport {
        let vm = &self.vms[number];
        let percent = |key: &AttemptKey, left: u64| {
            if self.is_long_running(key.task.job) {
                return 100;
            }
            let total = self.specs[&key.task.job].steps[0].estimate.as_millis() as u64 / ROUND;
            let done = total.saturating_sub(left) * 100 / total.max(1);
            done as u32
        };
        let status = |(key, left): (&AttemptKey, &u64)| AttemptStatus {
            key: *key,
            checkpoint: String::new(),
            percent: percent(key, *left),
            pace: 100,
            is_confirmed: true,
        };
        VmReport {
            vm: format!("w{number}"),
            zone: "morava-a".to_owned(),
            epoch: self.epoch,
            stamp_millis: self.round * ROUND,
            endpoint_info: Some(EndpointInfo {
                incarnation: EndpointIncarnation {
                    endpoint: format!("i-{number}"),
                    started_at_millis: vm.incarnation,
                },
                service: "s".to_owned(),
                is_draining: false,
                capacity: resources(8),
                labels: Vec::new(),
            }),
            is_synced: !vm.is_new && !vm.is_terminated,
            is_terminated: vm.is_terminated,
            is_unresponsive: vm.back_at.is_some(),
            attempts: vm.running.iter().map(status).collect(),
            ends: vm.ends.clone(),
            refused: Vec::new(),
            applied_orders: 0,
            crash: vm.crash.clone().filter(|_| vm.back_at.is_none()),
            headroom: None,
            has_more_ends: false,
            lease_wait: None,
            own_lease_wait: None,
            is_stopping: false,
            unplanned: Vec::new(),
        }
    }

    fn is_long_running(&self, job: JobCode) -> bool {
        self.specs[&job].is_long_running()
    }

    /// Fails what runs on a VM for too long, and what fails on every VM.
    fn fail_due(&mut self, number: usize) {
        let (round, failing) = (self.round, &self.failing);
        let vm = &mut self.vms[number];
        let is_due = |(key, started_at): &(&AttemptKey, &u64)| {
            let is_failing = failing.contains(&key.task.job) && round > **started_at;
            is_failing
                || vm
                    .fails_after
                    .is_some_and(|run| round >= **started_at + run)
        };
        let due: Vec<AttemptKey> = vm
            .started_at
            .iter()
            .filter(is_due)
            .map(|(key, _)| *key)
            .collect();
        for key in due {
            vm.end(key, EndKind::Failed);
        }
    }

    pub fn advance_vm(&mut self, number: usize) {
        self.fail_due(number);
        let round = self.round;
        let vm = &mut self.vms[number];
        vm.is_new = false;
        if vm.back_at.is_some_and(|back_at| round >= back_at) {
            vm.back_at = None;
            vm.incarnation += 1;
            vm.is_new = true;
        }
        if vm.pace.is_some_and(|(worked, all)| round % all >= worked) {
            return;
        }
        let mut done = Vec::new();
        for (key, left) in &mut vm.running {
            *left = left.saturating_sub(1);
            if *left == 0 {
                done.push(*key);
            }
        }
        for key in done {
            vm.end(key, EndKind::Done);
        }
    }

    pub fn apply_orders(&mut self, number: usize, orders: &v1::VmOrders) {
        let mut has_crashed = false;
        let vm = &mut self.vms[number];
        if vm.back_at.is_none() && orders.born == vm.incarnation {
            vm.crash = None;
            let kept: BTreeSet<AttemptKey> = orders
                .keep
                .iter()
                .map(|key| read_key(Some(key)).unwrap())
                .collect();
            let dropped = vm.running.keys().filter(|key| !kept.contains(key));
            for key in dropped.copied().collect::<Vec<_>>() {
                vm.end(key, EndKind::Stopped);
            }
        }
        for start in &orders.starts {
            let key = read_key(start.key.as_ref()).unwrap();
            let (job, index) = (key.task.job, key.task.index);
            let vm = &mut self.vms[number];
            if vm.back_at.is_some() || vm.loses_starts || vm.is_new || orders.born != vm.incarnation
            {
                continue;
            }
            let step = &self.specs[&job].steps[0];
            let rounds = if step.is_long_running {
                u64::MAX
            } else {
                step.estimate.as_secs() * 1000 / ROUND
            };
            vm.running.insert(key, rounds);
            vm.started_at.insert(key, self.round);
            vm.starts += 1;
            if index == 0 && self.crashing.contains(&job) {
                let crashes = self.crashes.entry(job).or_default();
                if *crashes >= 3 {
                    *self.starts_after_three.entry(job).or_default() += 1;
                }
                *crashes += 1;
                has_crashed = true;
            }
        }
        if has_crashed {
            self.crash(number);
        }
    }

    pub fn play_round(&mut self) {
        self.round += 1;
        let (now, wall) = (self.now(), self.wall());
        for number in 0..self.vms.len() {
            self.advance_vm(number);
            let report = self.report(number);
            self.leader.handle_report(report, now, wall);
        }
        self.leader.tick(now);
        self.leader.place(now, wall);
        if !self.store_is_away
            && let Some(plan) = self.leader.begin_commit(now, wall)
        {
            self.progress.extend(plan.progress.iter().cloned());
            self.leader_row = v1::LeaderRow::decode(plan.leader_row.as_slice()).unwrap();
            self.leader.commit_done(&plan, now);
        }
        for number in 0..self.vms.len() {
            if let Some(orders) = self.leader.orders(&format!("w{number}"), now) {
                self.apply_orders(number, &orders);
            }
        }
    }

    pub fn play(&mut self, rounds: usize) {
        for _ in 0..rounds {
            self.play_round();
        }
    }

    /// Plays with crashes of each VM at random moments until every job has ended.
    pub fn play_with_crashes(&mut self, random: &mut SplitMixRandom, rounds_between: usize) {
        for _ in 0..ROUND_LIMIT {
            for number in 0..self.vms.len() {
                if random.next_below(rounds_between) == 0 {
                    self.crash(number);
                }
            }
            self.play_round();
            let is_over = |code: &JobCode| self.phase(*code).is_terminal();
            if self.specs.keys().all(is_over) {
                break;
            }
        }
    }

    /// Checks that a job has failed before its task broke the platform's rule.
    pub fn check_failed(&self, code: JobCode) {
        let starts = self.starts_after_three.get(&code).copied();
        let starts = starts.unwrap_or_default();
        assert!(starts < FORBIDDEN_STARTS, "{code}: {starts} starts");
        assert_eq!(self.phase(code), JobPhase::Failed, "{code}");
    }

    pub fn phase(&self, code: JobCode) -> JobPhase {
        self.leader.job(code).unwrap().phase
    }
}
