//! A model in virtual time of services and batch tasks on the same VMs.
//!
//! The decisions come from the product's own code; the needs of the tasks and
//! the queueing of requests are modelled.

mod vm;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use turmeric_learning::{InterferenceRate, LearnedTable, SizingPolicy, UsageSample};
use turmeric_placement::{
    AgentSlot, EvictionPolicy, NeedInterference, PlacementIndex, PlacementNeed, PlacementPolicy,
};
use turmeric_types::{
    AcceleratorCount, AgentId, CoreCount, JobId, MemorySize, MonoTime, ResourceSet, SplitMixRandom,
    TaskClass, TaskId, TaskSpec,
};
use vm::{ModelVm, RunningTask};

/// Length of one step.
pub const STEP: Duration = Duration::from_millis(100);

/// Steps between two reports of a VM.
const REPORT_STEPS: u64 = 5;

/// Steps between two urgent tasks.
const URGENT_STEPS: u64 = 40;

/// Number of batch tasks kept waiting.
const WAITING_TASKS: usize = 300;

/// Number of VMs, as in Pravost.
const VMS: usize = 11;

pub const VM_CORES: u64 = 64;

/// What tasks of one kind declare, and what they actually need and do.
pub struct ModelKind {
    pub name: &'static str,
    pub declared: u64,
    pub needed: u64,
    /// Slowdown of a service, in thousandths times cores.
    pub interference: u64,
    /// Run time with all the cores that it needs.
    pub work: Duration,
}

const fn kind(name: &'static str, sizes: (u64, u64), interference: u64, seconds: u64) -> ModelKind {
    ModelKind {
        name,
        declared: sizes.0,
        needed: sizes.1,
        interference,
        work: Duration::from_secs(seconds),
    }
}

/// The batch kinds: most declare too many processors, one too few, and two
/// slow services much more than their processors suggest.
pub const KINDS: [ModelKind; 6] = [
    kind("stitches", (8_000, 2_000), 500, 60),
    kind("hardware", (8_000, 6_000), 1_500, 90),
    kind("report", (4_000, 4_000), 1_000, 40),
    kind("leather", (8_000, 4_000), 8_000, 60),
    kind("archive", (4_000, 1_000), 2_000, 50),
    kind("grain", (4_000, 6_000), 1_500, 40),
];

/// Settings of one run of the model.
#[derive(Clone, Copy)]
pub struct ModelPlan {
    pub placement: PlacementPolicy,
    pub sizing: SizingPolicy,
    pub interference_limit_permille: u64,
    /// Time within which 99 of 100 requests must be answered.
    pub target: Duration,
    /// Multiplies the interference of all kinds.
    pub interference_factor: f64,
    /// Whether agents slow batch tasks while requests are late.
    pub has_throttle: bool,
    /// Whether urgent tasks evict as in a plain priority scheduler: on the
    /// first VM with enough evictable resources, the newest tasks first.
    pub is_plain_priority: bool,
    pub tasks: usize,
    pub seed: u64,
}

pub struct ModelResult {
    /// Time from the end of the first quarter of the tasks to that of the
    /// ninth tenth: the first tasks teach sizes and interference, and during
    /// the last ones the VMs run empty.
    pub steady_time: Duration,
    pub p99: Duration,
    pub evictions: u64,
    pub urgent: u64,
    /// Urgent tasks that could not be placed at once.
    pub urgent_late: u64,
}

pub fn cores(millicores: u64) -> ResourceSet {
    ResourceSet::new(
        CoreCount::from_millicores(millicores),
        MemorySize::new(millicores << 20),
        AcceleratorCount::new(0),
    )
}

/// A task that waits for placement, for the first time or after an eviction.
struct WaitingTask {
    task: TaskId,
    kind: usize,
    done: Duration,
    evictions: u32,
}

struct Model {
    plan: ModelPlan,
    now: MonoTime,
    step: u64,
    index: PlacementIndex,
    learned: LearnedTable,
    vms: BTreeMap<AgentId, ModelVm>,
    waiting: VecDeque<WaitingTask>,
    next_task: usize,
    finished: usize,
    kinds: SplitMixRandom,
    random: SplitMixRandom,
    latencies: Vec<u32>,
    evictions: u64,
    urgent: u64,
    urgent_late: u64,
}

fn agent(number: usize) -> AgentId {
    format!("w{number:02}").parse().unwrap()
}

pub fn spec_of(kind: usize) -> TaskSpec {
    TaskSpec {
        team: "leather".parse().unwrap(),
        kind: Some(KINDS[kind].name.parse().unwrap()),
        class: TaskClass::Batch,
        resources: cores(KINDS[kind].declared),
        work_millis: 1000,
    }
}

/// Runs until all tasks are done.
pub fn run(plan: ModelPlan) -> ModelResult {
    let mut model = Model::new(plan);
    let (mut steady_from, mut steady_until) = (None, None);
    while model.finished < plan.tasks {
        model.advance();
        if model.finished * 4 >= plan.tasks {
            steady_from.get_or_insert(model.now);
        }
        if model.finished * 10 >= plan.tasks * 9 {
            steady_until.get_or_insert(model.now);
        }
    }
    model.latencies.sort_unstable();
    let p99 = model.latencies[model.latencies.len() * 99 / 100];
    ModelResult {
        steady_time: steady_until.unwrap().since(steady_from.unwrap()),
        p99: Duration::from_micros(u64::from(p99)),
        evictions: model.evictions,
        urgent: model.urgent,
        urgent_late: model.urgent_late,
    }
}

impl Model {
    fn new(plan: ModelPlan) -> Self {
        let vms = (0..VMS).map(|number| (agent(number), ModelVm::new(number, plan)));
        let mut model = Self {
            plan,
            now: MonoTime::default(),
            step: 0,
            index: PlacementIndex::new(),
            learned: LearnedTable::new(),
            vms: vms.collect(),
            waiting: VecDeque::new(),
            next_task: 0,
            finished: 0,
            kinds: SplitMixRandom::new(plan.seed),
            random: SplitMixRandom::new(plan.seed + 1),
            latencies: Vec::new(),
            evictions: 0,
            urgent: 0,
            urgent_late: 0,
        };
        model.report();
        model
    }

    fn advance(&mut self) {
        self.now = self.now.after(STEP);
        self.step += 1;
        for vm in self.vms.values_mut() {
            vm.serve(self.now, &mut self.latencies);
            for task in vm.work(self.now) {
                self.finished += usize::from(task.kind.is_some());
                learn(&mut self.learned, &task);
            }
        }
        if self.step.is_multiple_of(REPORT_STEPS) {
            self.throttle_batch();
            self.report();
        }
        if self.step.is_multiple_of(URGENT_STEPS) {
            self.place_urgent();
        }
        self.submit();
        self.place();
    }

    /// Updates the index with the state of the VMs.
    fn report(&mut self) {
        for (agent, vm) in &self.vms {
            let slot = AgentSlot {
                zone: "morava-a".parse().unwrap(),
                rack: "r1".to_owned(),
                capacity: cores(VM_CORES * 1000),
                free: vm.free(),
                evictable: vm.evictable(self.now),
                service: Some(vm::service()),
                request_slots: vm::REQUEST_SLOTS as u32,
                outstanding: vm.outstanding(),
                interference_permille: vm.expected_interference(),
                interference_budget_permille: vm.interference_budget(self.plan.target),
                is_open: true,
            };
            self.index.insert(agent.clone(), slot);
        }
    }

    /// Lets the agents throttle and evict batch tasks.
    fn throttle_batch(&mut self) {
        if !self.plan.has_throttle {
            return;
        }
        for vm in self.vms.values_mut() {
            if let Some(task) = vm.throttle_batch(self.now) {
                self.evictions += 1;
                learn(&mut self.learned, &task);
                self.waiting.push_front(requeue(task));
            }
        }
    }

    /// Keeps a fixed number of tasks waiting, the same tasks in every run.
    fn submit(&mut self) {
        while self.waiting.len() < WAITING_TASKS && self.next_task < self.plan.tasks {
            self.waiting.push_back(WaitingTask {
                task: TaskId::new(JobId::new(self.next_task as u128), 0),
                kind: self.kinds.next_below(KINDS.len()),
                done: Duration::ZERO,
                evictions: 0,
            });
            self.next_task += 1;
        }
    }

    fn need_of(&self, kind: usize) -> PlacementNeed {
        let spec = spec_of(kind);
        let size = self.learned.size(&spec, self.plan.sizing, false);
        let interference = NeedInterference {
            known: self.learned.interference(&spec),
            assumed: InterferenceRate::assumed(spec.resources.cores),
        };
        PlacementNeed::new(size)
            .with_interference(interference)
            .with_interference_limit(self.plan.interference_limit_permille)
    }

    /// Places the waiting tasks that fit, the oldest first; once a task does
    /// not fit, no other task of its kind is tried.
    fn place(&mut self) {
        let mut blocked = [false; KINDS.len()];
        let waiting = std::mem::take(&mut self.waiting);
        for task in waiting {
            let need = self.need_of(task.kind);
            let chosen = if blocked[task.kind] {
                None
            } else {
                self.index
                    .choose(&need, self.plan.placement, &mut self.random)
            };
            match chosen {
                Some(agent) => self.start(&agent, &need, task),
                None => {
                    blocked[task.kind] = true;
                    self.waiting.push_back(task);
                }
            }
        }
    }

    fn start(&mut self, agent: &AgentId, need: &PlacementNeed, task: WaitingTask) {
        let slot = self.index.get(agent).unwrap();
        let interference_rate = need.interference_on(slot);
        let allocated = *need.resources();
        let free = slot.free.saturating_sub(&allocated);
        let interference =
            slot.interference_permille + interference_rate.slowdown_permille(slot.capacity.cores);
        self.index.set_free(agent, free);
        self.index.set_interference(agent, interference);
        let running = RunningTask {
            task: task.task,
            kind: Some(task.kind),
            allocated,
            interference_rate,
            done: task.done,
            evictions: task.evictions,
            started_at: self.now,
            interference: None,
        };
        let vm = self.vms.get_mut(agent).unwrap();
        assert!(
            allocated.fits_in(&vm.free()),
            "a VM is allocated more than its capacity"
        );
        vm.start(running);
    }

    /// Starts an urgent task of 8 cores, with evictions if necessary.
    fn place_urgent(&mut self) {
        self.urgent += 1;
        let need = PlacementNeed::new(cores(8_000));
        let chosen = self
            .index
            .choose(&need, self.plan.placement, &mut self.random)
            .or_else(|| self.choose_with_eviction(&need));
        let Some(agent) = chosen else {
            self.urgent_late += 1;
            return;
        };
        let vm = self.vms.get_mut(&agent).unwrap();
        let is_plain = self.plan.is_plain_priority;
        let policy = (!is_plain).then_some(EvictionPolicy::LeastWorkLost);
        let Some(evicted) = vm.evict_for(need.resources(), policy, self.now) else {
            self.urgent_late += 1;
            return;
        };
        self.evictions += evicted.len() as u64;
        vm.start_urgent(self.urgent, *need.resources(), self.now);
        for task in evicted {
            self.waiting.push_front(requeue(task));
        }
        self.report();
    }

    fn choose_with_eviction(&mut self, need: &PlacementNeed) -> Option<AgentId> {
        if !self.plan.is_plain_priority {
            return self.index.choose_with_eviction(need, &mut self.random);
        }
        let fits = |slot: &AgentSlot| {
            let total = slot.free.checked_add(&slot.evictable);
            total.is_some_and(|total| need.resources().fits_in(&total))
        };
        let mut slots = self.index.iter();
        let (agent, _) = slots.find(|(_, slot)| fits(slot))?;
        Some(agent.clone())
    }
}

fn requeue(task: RunningTask) -> WaitingTask {
    WaitingTask {
        task: task.task,
        kind: task.kind.unwrap(),
        done: task.done,
        evictions: task.evictions + 1,
    }
}

/// Records the measurements of a task that ended or was evicted.
fn learn(learned: &mut LearnedTable, task: &RunningTask) {
    let Some(kind) = task.kind else {
        return;
    };
    let spec = spec_of(kind);
    if task.is_done() {
        let used = KINDS[kind].needed.min(task.allocated.cores.as_millicores());
        let peak = UsageSample::new(
            CoreCount::from_millicores(used),
            MemorySize::new(used << 19),
        );
        learned.record_usage(&spec, &task.allocated, peak);
    }
    if let Some(sample) = &task.interference {
        learned.record_interference(&spec, sample);
    }
}
