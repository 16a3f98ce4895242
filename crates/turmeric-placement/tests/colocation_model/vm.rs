//! One VM with a service, its request queue and tasks.

use std::collections::BTreeMap;
use std::time::Duration;

use turmeric_learning::{
    InterferenceBudget, InterferenceRate, InterferenceSample, MeterContext, MeterKind, MeterTasks,
    ServiceMeter, ThrottleContext, ThrottleController, ThrottleStep,
};
use turmeric_placement::{EvictionCandidate, EvictionPolicy, choose_victims, is_evictable};
use turmeric_types::{
    CoreCount, JobId, MonoTime, PartitionId, ResourceSet, ServiceName, SplitMixRandom, TaskClass,
    TaskId,
};

use super::{KINDS, ModelPlan, STEP, VM_CORES, cores};

/// Requests that the service handles concurrently.
pub const REQUEST_SLOTS: f64 = 8.0;

/// Mean service time of a request on an idle VM, in seconds.
const SERVICE_SECONDS: f64 = 0.08;

/// Run time of an urgent task.
const URGENT_TIME: Duration = Duration::from_secs(5);

/// Mean load as a share of what an idle VM could answer.
const MEAN_LOAD: f64 = 0.4;

/// Period in which the load of a VM rises and falls, in seconds.
const LOAD_PERIOD: f64 = 300.0;

pub fn service() -> ServiceName {
    "verdikt".parse().unwrap()
}

#[derive(Clone)]
pub struct RunningTask {
    pub task: TaskId,
    /// The batch kind; none for an urgent task.
    pub kind: Option<usize>,
    pub allocated: ResourceSet,
    /// Interference that the entry expected of it.
    pub interference_rate: InterferenceRate,
    /// Work done, as run time with all the cores that it needs.
    pub done: Duration,
    pub evictions: u32,
    pub started_at: MonoTime,
    /// Interference that was measured at its start.
    pub interference: Option<InterferenceSample>,
}

impl RunningTask {
    pub fn is_done(&self) -> bool {
        let work = self.kind.map_or(URGENT_TIME, |kind| KINDS[kind].work);
        self.done >= work
    }

    fn meter_kind(&self) -> MeterKind {
        let kind = KINDS[self.kind?].name.parse().unwrap();
        Some((PartitionId::new(0).unwrap(), kind))
    }

    fn true_interference(&self) -> f64 {
        self.kind
            .map_or(0.0, |kind| KINDS[kind].interference as f64)
    }

    /// Lets the task work for one step.
    fn work(&mut self, speed: f64) {
        let share = self.kind.map_or(1.0, |kind| {
            let allocated = self.allocated.cores.as_millicores() as f64;
            speed * (allocated / KINDS[kind].needed as f64).min(1.0)
        });
        self.done += STEP.mul_f64(share);
    }
}

pub struct ModelVm {
    number: usize,
    plan: ModelPlan,
    budget: InterferenceBudget,
    tasks: Vec<RunningTask>,
    meter: ServiceMeter,
    throttle: ThrottleController,
    /// Work that waits for a slot, in seconds.
    backlog: f64,
    /// Requests that are due, including a fraction of one.
    due: f64,
    outstanding: u32,
    random: SplitMixRandom,
}

impl ModelVm {
    pub fn new(number: usize, plan: ModelPlan) -> Self {
        Self {
            number,
            plan,
            budget: InterferenceBudget::new(),
            tasks: Vec::new(),
            meter: ServiceMeter::new(),
            throttle: ThrottleController::new(),
            backlog: 0.0,
            due: 0.0,
            outstanding: 0,
            random: SplitMixRandom::new(plan.seed * 100 + number as u64),
        }
    }

    pub fn free(&self) -> ResourceSet {
        self.tasks
            .iter()
            .fold(cores(VM_CORES * 1000), |free, task| {
                free.saturating_sub(&task.allocated)
            })
    }

    pub fn outstanding(&self) -> u32 {
        self.outstanding
    }

    pub fn expected_interference(&self) -> u64 {
        let capacity = CoreCount::from_millicores(VM_CORES * 1000);
        let interferences = self.tasks.iter().map(|task| task.interference_rate);
        interferences
            .map(|interference| interference.slowdown_permille(capacity))
            .sum()
    }

    pub fn interference_budget(&self, target: Duration) -> Option<u64> {
        self.budget.permille(target)
    }

    /// Returns the slowdown of the service by the tasks on the VM; the same
    /// tasks slow a busy service more.
    fn slowdown(&self, load: f64) -> f64 {
        let speed = f64::from(self.throttle.speed_percent()) / 100.0;
        let interference: f64 = self.tasks.iter().map(RunningTask::true_interference).sum();
        let interference = interference * self.plan.interference_factor * load / MEAN_LOAD;
        1.0 + speed * interference / (VM_CORES * 1000) as f64
    }

    /// Returns the load as a share of what an idle VM could answer.
    fn load(&self, now: MonoTime) -> f64 {
        let seconds = now.since(MonoTime::default()).as_secs_f64();
        let phase = seconds / LOAD_PERIOD + self.number as f64 / 11.0;
        MEAN_LOAD + 0.2 * (phase * std::f64::consts::TAU).sin()
    }

    /// Answers the requests of one step and adds their latencies, in
    /// microseconds.
    pub fn serve(&mut self, now: MonoTime, latencies: &mut Vec<u32>) {
        let load = self.load(now);
        let slowdown = self.slowdown(load);
        let rate = load * REQUEST_SLOTS / SERVICE_SECONDS;
        self.due += rate * STEP.as_secs_f64();
        self.backlog = (self.backlog - REQUEST_SLOTS * STEP.as_secs_f64()).max(0.0);
        while self.due >= 1.0 {
            self.due -= 1.0;
            let draw = (1.0 - self.random.next_unit()).ln();
            let service = -draw * SERVICE_SECONDS * slowdown;
            let latency = service + self.waiting_time();
            self.backlog += service;
            latencies.push((latency * 1e6) as u32);
            let micros = (service * 1e6) as u64;
            self.meter.record_request(micros, self.outstanding);
            let latency = Duration::from_secs_f64(latency);
            self.throttle.record_request(latency, self.plan.target);
            let speed = u64::from(self.throttle.speed_percent());
            let expected = self.expected_interference() * speed / 100;
            self.budget
                .record_request(latency, self.plan.target, expected, now);
        }
        let running = (rate * SERVICE_SECONDS * slowdown).min(REQUEST_SLOTS);
        self.outstanding = (running + self.waiting_time() * rate) as u32;
    }

    /// Returns the queueing time, in seconds: work beyond what the slots do in a
    /// step waits.
    fn waiting_time(&self) -> f64 {
        let step_capacity = REQUEST_SLOTS * STEP.as_secs_f64();
        (self.backlog - step_capacity).max(0.0) / REQUEST_SLOTS
    }

    /// Lets the tasks work for one step; returns those that are done.
    pub fn work(&mut self, now: MonoTime) -> Vec<RunningTask> {
        let speed = f64::from(self.throttle.speed_percent()) / 100.0;
        for task in &mut self.tasks {
            task.work(speed);
        }
        let (done, running) = self.tasks.drain(..).partition(RunningTask::is_done);
        self.tasks = running;
        self.measure(now);
        done
    }

    fn measure(&mut self, now: MonoTime) {
        let mut by_kind: BTreeMap<MeterKind, MeterTasks> = BTreeMap::new();
        for task in &self.tasks {
            let tasks = by_kind
                .entry(task.meter_kind())
                .or_insert_with(|| MeterTasks {
                    kind: task.meter_kind(),
                    count: 0,
                    expected: InterferenceRate::default(),
                });
            tasks.count += 1;
            tasks.expected =
                InterferenceRate::new(tasks.expected.get() + task.interference_rate.get());
        }
        let tasks: Vec<MeterTasks> = by_kind.into_values().collect();
        let context = MeterContext {
            service: &service(),
            slots: REQUEST_SLOTS as u32,
            capacity: CoreCount::from_millicores(VM_CORES * 1000),
            tasks: &tasks,
            is_full_speed: self.throttle.speed_percent() == 100,
        };
        for (kind, sample) in self.meter.collect_samples(&context, now) {
            for task in &mut self.tasks {
                if task.meter_kind() == kind {
                    task.interference = Some(sample.clone());
                }
            }
        }
    }

    pub fn start(&mut self, task: RunningTask) {
        self.tasks.push(task);
    }

    pub fn start_urgent(&mut self, number: u64, allocated: ResourceSet, now: MonoTime) {
        let task = RunningTask {
            task: TaskId::new(JobId::new(u128::MAX - u128::from(number)), 0),
            kind: None,
            allocated,
            interference_rate: InterferenceRate::default(),
            done: Duration::ZERO,
            evictions: 0,
            started_at: now,
            interference: None,
        };
        self.start(task);
    }

    fn victims(&self, now: MonoTime) -> Vec<EvictionCandidate> {
        self.tasks
            .iter()
            .filter(|task| task.kind.is_some())
            .map(|task| {
                let run_millis = now.since(task.started_at).as_millis() as u64;
                EvictionCandidate {
                    task: task.task,
                    class: TaskClass::Batch,
                    resources: task.allocated,
                    lost_millis: run_millis,
                    run_millis,
                    evictions: task.evictions,
                }
            })
            .collect()
    }

    pub fn evictable(&self, now: MonoTime) -> ResourceSet {
        self.victims(now)
            .iter()
            .filter(|victim| is_evictable(victim, TaskClass::Urgent))
            .fold(ResourceSet::default(), |sum, victim| {
                sum.checked_add(&victim.resources).unwrap()
            })
    }

    /// Chooses the newest tasks until `need` fits, as in a plain priority
    /// scheduler.
    fn newest_victims(
        &self,
        need: &ResourceSet,
        victims: Vec<EvictionCandidate>,
    ) -> Option<Vec<TaskId>> {
        let mut free = self.free();
        let mut eligible: Vec<EvictionCandidate> = victims
            .into_iter()
            .filter(|victim| is_evictable(victim, TaskClass::Urgent))
            .collect();
        eligible.sort_by_key(|victim| victim.run_millis);
        let mut chosen = Vec::new();
        for victim in eligible {
            if need.fits_in(&free) {
                break;
            }
            free = free.checked_add(&victim.resources)?;
            chosen.push(victim.task);
        }
        need.fits_in(&free).then_some(chosen)
    }

    /// Evicts tasks until `need` fits; without a policy the newest ones.
    pub fn evict_for(
        &mut self,
        need: &ResourceSet,
        policy: Option<EvictionPolicy>,
        now: MonoTime,
    ) -> Option<Vec<RunningTask>> {
        let victims = self.victims(now);
        let chosen = match policy {
            Some(policy) => {
                choose_victims(need, TaskClass::Urgent, &self.free(), &victims, policy)?
            }
            None => self.newest_victims(need, victims)?,
        };
        let is_chosen = |task: &RunningTask| chosen.contains(&task.task);
        let (evicted, running) = self.tasks.drain(..).partition(is_chosen);
        self.tasks = running;
        Some(evicted)
    }

    /// Throttles batch tasks while requests are late, and evicts the one with
    /// the highest expected interference if that is not enough.
    pub fn throttle_batch(&mut self, now: MonoTime) -> Option<RunningTask> {
        let has_batch = self.tasks.iter().any(|task| task.kind.is_some());
        let context = ThrottleContext {
            ceiling: 100,
            late_share: self.budget.late_share(),
            has_batch,
            interference_permille: self.expected_interference(),
        };
        match self.throttle.step(&context, now) {
            ThrottleStep::Keep | ThrottleStep::Speed(_) => None,
            ThrottleStep::Evict => {
                let batch = self.tasks.iter().enumerate();
                let (position, _) = batch
                    .filter(|(_, task)| task.kind.is_some())
                    .max_by_key(|(_, task)| task.interference_rate)?;
                Some(self.tasks.remove(position))
            }
        }
    }
}
