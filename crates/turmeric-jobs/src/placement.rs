//! Choice of the VM for a task.
//!
//! Load pattern: serving tasks whose tail latency suffers from best-effort tasks on the
//! same VM, while most VMs are nearly full. Serving tasks are packed onto few VMs.
//! Best-effort tasks go where processors are idle, and next to serving tasks only where
//! their images cause little interference. All other tasks use what is left of the VMs
//! with serving tasks.

use std::collections::BTreeMap;

use turmeric_types::{CoreCount, ResourceSet};

use crate::{HeadroomTable, StepSpec, TaskName};

/// Latency headroom of a serving step on a VM.
#[derive(Clone, Debug, PartialEq)]
pub struct ServingHeadroom {
    /// Image of the step's tasks.
    pub image: String,
    /// Headroom left when the best-effort tasks on the VM work at full speed.
    pub headroom: f64,
}

/// Current capacity and load of a VM.
#[derive(Clone, Debug)]
pub struct VmCapacity {
    /// Name of the VM.
    pub vm: String,
    /// Service of its endpoint.
    pub service: String,
    /// Labels of the VM.
    pub labels: Vec<String>,
    /// Rack of the VM.
    pub rack: Option<String>,
    /// Resources that no task reserves.
    pub free: ResourceSet,
    /// Processors that the VM's best-effort tasks can use; these are not reserved.
    pub best_effort_demand: CoreCount,
    /// Processors that the VM's serving tasks reserve.
    pub serving_reserved: CoreCount,
    /// Number of serving tasks on the VM.
    pub serving_tasks: usize,
    /// Serving steps on the VM, by the name of the step's first task.
    pub serving_steps: BTreeMap<TaskName, ServingHeadroom>,
    /// Processors that the best-effort tasks on the VM can use, by image.
    pub best_effort_cores: BTreeMap<String, CoreCount>,
    /// All processors of the VM.
    pub cores: CoreCount,
    /// Number of best-effort tasks on the VM.
    pub best_effort_tasks: usize,
    /// Tasks of several jobs failed on the VM recently. It gets one task, or one gang, at a time.
    pub is_suspect: bool,
    /// A task was started on the VM so recently that it would share the blame for a crash.
    pub has_recent_start: bool,
}

/// Part of their reservation that serving tasks are assumed to leave idle, in
/// thousandths.
const SERVING_IDLE_PERMILLE: u64 = 500;

/// Headroom that serving tasks must keep where a best-effort task is placed, because
/// their load can rise again.
const MIN_HEADROOM_AFTER: f64 = 1.5;

/// Granularity in which VMs are compared by headroom.
const HEADROOM_STEP: f64 = 0.1;

/// Why a VM cannot run a waiting task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ExclusionCause {
    /// The VM's endpoint is of another service.
    Service,
    /// The VM lacks the step's label.
    Label,
    /// The VM has as many tasks of the step as the step allows.
    VmLimit,
    /// Too few processors are free.
    Processors,
    /// Too little memory is free.
    Memory,
    /// Too few accelerators are free.
    Accelerators,
    /// Too few processors are idle for a best-effort task.
    Idle,
    /// A serving task on the VM would lose too much headroom to a best-effort task.
    Headroom,
    /// The task was recently evicted from the VM, or its job has just failed there.
    Avoided,
    /// The VM accepts no tasks: it is draining, in a closed zone, not reporting or kept free for
    /// another reason.
    Closed,
}

impl ExclusionCause {
    /// All causes.
    pub const ALL: [Self; 10] = [
        Self::Service,
        Self::Label,
        Self::VmLimit,
        Self::Processors,
        Self::Memory,
        Self::Accelerators,
        Self::Idle,
        Self::Headroom,
        Self::Avoided,
        Self::Closed,
    ];

    /// Returns the cause's name in logs and metrics.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Service => "service",
            Self::Label => "label",
            Self::VmLimit => "vm_limit",
            Self::Processors => "processors",
            Self::Memory => "memory",
            Self::Accelerators => "accelerators",
            Self::Idle => "idle",
            Self::Headroom => "headroom",
            Self::Avoided => "avoided",
            Self::Closed => "closed",
        }
    }
}

/// A check that a VM fails for a task.
#[derive(Clone, Copy, Debug)]
enum FailedCheck {
    /// The free resources are too small.
    Resources,
    /// Any other check, with its cause.
    Cause(ExclusionCause),
}

/// Requirements of a task to be placed.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// Service whose endpoints may run the task.
    pub service: &'a str,
    /// The task's step.
    pub step: &'a StepSpec,
    /// Learned interference between images.
    pub table: &'a HeadroomTable,
    /// No task of the job runs, and it has waited long enough to be placed despite
    /// interference with serving tasks; its speed is limited in that case.
    pub is_starved: bool,
}

impl VmCapacity {
    /// Returns the processors that are used by no task, best-effort or other.
    pub fn idle(&self) -> CoreCount {
        let serving_idle = self.serving_reserved.as_millicores() * SERVING_IDLE_PERMILLE / 1000;
        let free = self.free.cores.as_millicores() + serving_idle;
        CoreCount::from_millicores(free.saturating_sub(self.best_effort_demand.as_millicores()))
    }

    /// Returns `cores` as a fraction of all processors of the VM.
    pub fn share(&self, cores: CoreCount) -> f64 {
        cores.as_millicores() as f64 / self.cores.as_millicores().max(1) as f64
    }

    /// Returns the least headroom of the VM's serving steps; infinite if there are none.
    pub fn least_headroom(&self) -> f64 {
        let serving_steps = self.serving_steps.values();
        serving_steps
            .map(|step| step.headroom)
            .fold(f64::INFINITY, f64::min)
    }

    /// Accounts for a task of `step` that is placed on the VM.
    pub fn add(&mut self, task: &TaskName, step: &StepSpec, table: &HeadroomTable) {
        let image = step.image.clone().unwrap_or_default();
        self.free = self.free.saturating_sub(&step.reserved());
        self.has_recent_start = true;
        if step.latency_target_millis.is_some() {
            self.serving_tasks += 1;
            let serving_reserved =
                self.serving_reserved.as_millicores() + step.need.cores.as_millicores();
            self.serving_reserved = CoreCount::from_millicores(serving_reserved);
            let first = task.first_of_step();
            let interference =
                table.total_interference(&self.best_effort_cores, &image, self.cores);
            let headroom = table.baseline(&first, &image) - interference;
            self.serving_steps.insert(
                first,
                ServingHeadroom {
                    image: image.clone(),
                    headroom,
                },
            );
        }
        if step.is_best_effort {
            self.best_effort_tasks += 1;
            let share = self.share(step.need.cores);
            for serving in self.serving_steps.values_mut() {
                serving.headroom -= table.interference(&image, &serving.image) * share;
            }
            let cores = self.best_effort_cores.entry(image).or_default();
            let sum = cores.as_millicores() + step.need.cores.as_millicores();
            *cores = CoreCount::from_millicores(sum);
            let best_effort_demand =
                self.best_effort_demand.as_millicores() + step.need.cores.as_millicores();
            self.best_effort_demand = CoreCount::from_millicores(best_effort_demand);
        }
    }
}

impl PlacementRequest<'_> {
    /// Returns whether the VM may run the task; `placed` returns how many tasks of the
    /// same step and occurrence are already on it.
    pub fn fits(&self, vm: &VmCapacity, placed: impl FnOnce() -> u32) -> bool {
        self.failed_check(vm, placed).is_none()
    }

    /// Returns why the VM cannot run the task, or [`None`] exactly if the task fits; `placed`
    /// returns how many tasks of the same step and occurrence are already on the VM.
    ///
    /// Load pattern: tasks wait while processors of the cluster are idle. The free capacity
    /// alone does not tell which rule keeps the tasks from it.
    ///
    /// Where several causes apply, one that no free capacity changes comes first.
    pub fn exclusion(
        &self,
        vm: &VmCapacity,
        placed: impl FnOnce() -> u32,
    ) -> Option<ExclusionCause> {
        self.failed_check(vm, placed).map(|check| match check {
            FailedCheck::Resources => self
                .lasting_exclusion(vm)
                .unwrap_or_else(|| self.lacking_resource(vm)),
            FailedCheck::Cause(cause) => cause,
        })
    }

    /// Returns the first check that the VM fails.
    ///
    /// Placement calls this for each task and VM, so the cheapest check comes first; which
    /// resource is short is left to [`Self::exclusion`].
    #[inline]
    fn failed_check(&self, vm: &VmCapacity, placed: impl FnOnce() -> u32) -> Option<FailedCheck> {
        if !self.step.reserved().fits_in(&vm.free) {
            return Some(FailedCheck::Resources);
        }
        if let Some(cause) = self.lasting_exclusion(vm) {
            return Some(FailedCheck::Cause(cause));
        }
        if self.step.is_best_effort {
            if self.step.need.cores > vm.idle() {
                return Some(FailedCheck::Cause(ExclusionCause::Idle));
            }
            // A headroom that is not a number fails the check.
            let keeps_headroom = self.is_starved || self.headroom_after(vm) >= MIN_HEADROOM_AFTER;
            if !keeps_headroom {
                return Some(FailedCheck::Cause(ExclusionCause::Headroom));
            }
        }
        let is_below_limit = self.step.vm_limit.is_none_or(|limit| placed() < limit);
        (!is_below_limit).then_some(FailedCheck::Cause(ExclusionCause::VmLimit))
    }

    /// Returns the cause that excludes the VM whatever its free capacity, if there is one.
    #[inline]
    pub(crate) fn lasting_exclusion(&self, vm: &VmCapacity) -> Option<ExclusionCause> {
        if vm.service != self.service {
            return Some(ExclusionCause::Service);
        }
        let label = self.step.label.as_ref();
        let has_label = label.is_none_or(|label| vm.labels.contains(label));
        (!has_label).then_some(ExclusionCause::Label)
    }

    /// Returns the first resource of which the VM has too little free.
    fn lacking_resource(&self, vm: &VmCapacity) -> ExclusionCause {
        let reserved = self.step.reserved();
        if reserved.cores > vm.free.cores {
            ExclusionCause::Processors
        } else if reserved.memory > vm.free.memory {
            ExclusionCause::Memory
        } else {
            ExclusionCause::Accelerators
        }
    }

    /// Returns the least headroom of the VM's serving steps after a best-effort task is
    /// placed there.
    fn headroom_after(&self, vm: &VmCapacity) -> f64 {
        let serving_steps = vm.serving_steps.values();
        serving_steps
            .map(|serving| serving.headroom - self.interference(vm, serving))
            .fold(f64::INFINITY, f64::min)
    }

    /// Returns the headroom that a best-effort task would take from a serving step.
    fn interference(&self, vm: &VmCapacity, serving: &ServingHeadroom) -> f64 {
        let image = self.step.image.as_deref().unwrap_or_default();
        self.table.interference(image, &serving.image) * vm.share(self.step.need.cores)
    }

    /// Returns the most headroom that a best-effort task would take from any serving step
    /// on the VM, in units of [`HEADROOM_STEP`].
    fn interference_steps(&self, vm: &VmCapacity) -> usize {
        let serving_steps = vm.serving_steps.values();
        let interference = serving_steps.map(|serving| self.interference(vm, serving));
        (interference.fold(0.0, f64::max) / HEADROOM_STEP) as usize
    }

    fn is_outside_rack(&self, vm: &VmCapacity) -> bool {
        self.step
            .rack
            .as_ref()
            .is_some_and(|rack| vm.rack.as_ref() != Some(rack))
    }
}

/// Chooses the VM for a task among those that can run it.
///
/// `placed` returns how many tasks of the same step and occurrence a VM has.
pub fn choose_vm<'a>(
    request: &PlacementRequest<'_>,
    vms: impl Iterator<Item = &'a VmCapacity>,
    placed: impl Fn(&str) -> u32,
) -> Option<&'a VmCapacity> {
    vms.filter(|vm| request.fits(vm, || placed(&vm.vm)))
        .min_by_key(|vm| {
            let cores = vm.free.cores.as_millicores();
            let kind_key = if request.step.latency_target_millis.is_some() {
                // Prefer VMs with serving tasks of the same image: the same best-effort
                // tasks cause little interference for all of them.
                let image = request.step.image.as_deref().unwrap_or_default();
                let serving_steps = vm.serving_steps.values();
                let others = serving_steps
                    .filter(|serving| serving.image != image)
                    .count();
                (vm.serving_tasks == 0, others, cores)
            } else if request.step.is_best_effort {
                // Prefer the least interference, then the most idle processors.
                let interference = request.interference_steps(vm);
                (false, interference, u64::MAX - vm.idle().as_millicores())
            } else {
                (vm.serving_tasks == 0, 0, cores)
            };
            (vm.is_suspect, request.is_outside_rack(vm), kind_key)
        })
}

/// Requirements of a task that fit no VM in the current placement round.
#[derive(Clone, Debug)]
struct FailedPlacement {
    service: String,
    need: ResourceSet,
    is_best_effort: bool,
    image: Option<String>,
    label: Option<String>,
}

/// Tasks that fit no VM in the current placement round.
///
/// Load pattern: hundreds of jobs of a burst are waiting, and nothing fits any longer.
/// Free capacity only shrinks within a round, so a task that needs at least as much does
/// not fit either, and the VMs need not be checked for it.
#[derive(Clone, Debug, Default)]
pub struct PlacementFailures {
    failures: Vec<FailedPlacement>,
}

impl PlacementFailures {
    /// Creates the empty list for a new placement round.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a task of the step fits no VM.
    pub fn record(&mut self, service: &str, step: &StepSpec) {
        // A limit per VM does not apply to other steps.
        if step.vm_limit.is_none() {
            self.failures.push(FailedPlacement {
                service: service.to_owned(),
                need: step.need,
                is_best_effort: step.is_best_effort,
                image: step.image.clone(),
                label: step.label.clone(),
            });
        }
    }

    /// Returns whether a recorded failure implies that a task of the step fits no VM.
    pub fn covers(&self, service: &str, step: &StepSpec) -> bool {
        self.failures.iter().any(|failure| {
            failure.need.fits_in(&step.need)
                && failure.is_best_effort == step.is_best_effort
                && (!step.is_best_effort || failure.image == step.image)
                && failure.service == service
                && failure.label == step.label
        })
    }
}
