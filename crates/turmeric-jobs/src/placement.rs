//! Which VM gets a task.
//!
//! Load pattern: serving tasks whose tail latency suffers from filling tasks
//! on the same VM, beside nearly full VMs. Serving tasks are packed onto few
//! VMs; filling tasks go where processors are idle, and beside serving tasks
//! only as far as their images press little; all others use the rest of the
//! VMs that serve.

use std::collections::BTreeMap;

use turmeric_types::{CoreCount, ResourceSet};

use crate::{HeadroomTable, StepSpec, TaskName};

/// A serving step on a VM.
#[derive(Clone, Debug, PartialEq)]
pub struct ServingHeadroom {
    /// Image of its tasks.
    pub image: String,
    /// Headroom that the filling tasks there leave at full speed.
    pub headroom: f64,
}

/// What a VM offers at this moment.
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
    /// What is left.
    pub free: ResourceSet,
    /// Processors that filling tasks there want; nobody else counts them.
    pub filled: CoreCount,
    /// Processors that serving tasks reserve.
    pub served: CoreCount,
    /// Tasks on it that serve their own users.
    pub serving: usize,
    /// Serving steps there, by their first tasks.
    pub steps: BTreeMap<TaskName, ServingHeadroom>,
    /// Processors of each filling image there.
    pub fillers: BTreeMap<String, CoreCount>,
    /// All processors of the VM.
    pub cores: CoreCount,
    /// Tasks on it that fill.
    pub filling: usize,
    /// The VM failed tasks of several jobs lately.
    pub is_suspect: bool,
}

/// Part of their reservation that serving tasks are taken to leave idle, in
/// thousandths.
const SERVING_IDLE_PERMILLE: u64 = 500;

/// Headroom that a filling task leaves where it is placed, since the load of the
/// serving tasks rises again.
const HEADROOM_LEFT: f64 = 1.5;

/// Steps of headroom in which VMs are compared.
const HEADROOM_STEP: f64 = 0.1;

/// What a task asks for.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// Service whose endpoints may run the task.
    pub service: &'a str,
    /// The task's step.
    pub step: &'a StepSpec,
    /// What is known of pairs of images.
    pub table: &'a HeadroomTable,
    /// Nothing of the job runs, and it has waited long enough to press on
    /// others; it is paced then.
    pub is_starved: bool,
}

impl VmCapacity {
    /// Returns the processors that neither other tasks nor filling ones use.
    pub fn idle(&self) -> CoreCount {
        let spared = self.served.as_millicores() * SERVING_IDLE_PERMILLE / 1000;
        let free = self.free.cores.as_millicores() + spared;
        CoreCount::from_millicores(free.saturating_sub(self.filled.as_millicores()))
    }

    /// Returns what `cores` are of all processors of the VM.
    pub fn share(&self, cores: CoreCount) -> f64 {
        cores.as_millicores() as f64 / self.cores.as_millicores().max(1) as f64
    }

    /// Returns the least headroom of the steps that serve there; infinite where
    /// nothing serves.
    pub fn least_headroom(&self) -> f64 {
        let steps = self.steps.values();
        steps
            .map(|step| step.headroom)
            .fold(f64::INFINITY, f64::min)
    }

    /// Takes a task of a step into account.
    pub fn add(&mut self, task: &TaskName, step: &StepSpec, table: &HeadroomTable) {
        let image = step.image.clone().unwrap_or_default();
        self.free = self.free.saturating_sub(&step.reserved());
        if step.latency_target_millis.is_some() {
            self.serving += 1;
            let served = self.served.as_millicores() + step.need.cores.as_millicores();
            self.served = CoreCount::from_millicores(served);
            let first = task.first_of_step();
            let taken = table.taken(&self.fillers, &image, self.cores);
            let headroom = table.own(&first, &image) - taken;
            self.steps.insert(
                first,
                ServingHeadroom {
                    image: image.clone(),
                    headroom,
                },
            );
        }
        if step.is_best_effort {
            self.filling += 1;
            let share = self.share(step.need.cores);
            for serving in self.steps.values_mut() {
                serving.headroom -= table.gain(&image, &serving.image) * share;
            }
            let cores = self.fillers.entry(image).or_default();
            let sum = cores.as_millicores() + step.need.cores.as_millicores();
            *cores = CoreCount::from_millicores(sum);
            let filled = self.filled.as_millicores() + step.need.cores.as_millicores();
            self.filled = CoreCount::from_millicores(filled);
        }
    }
}

impl PlacementRequest<'_> {
    /// Returns whether the VM may run the task; `placed` tells how many tasks of the
    /// same step and occurrence are there already.
    pub fn fits(&self, room: &VmCapacity, placed: impl FnOnce() -> u32) -> bool {
        self.step.reserved().fits_in(&room.free)
            && room.service == self.service
            && self
                .step
                .label
                .as_ref()
                .is_none_or(|label| room.labels.contains(label))
            && (!self.step.is_best_effort || self.fills_in(room))
            && self.step.vm_limit.is_none_or(|limit| placed() < limit)
    }

    /// Returns whether a filling task would find idle processors there and
    /// disturb nobody.
    fn fills_in(&self, room: &VmCapacity) -> bool {
        self.step.need.cores <= room.idle()
            && (self.is_starved || self.headroom_left(room) >= HEADROOM_LEFT)
    }

    /// Returns the least headroom that a filling task would leave there.
    fn headroom_left(&self, room: &VmCapacity) -> f64 {
        let steps = room.steps.values();
        steps
            .map(|serving| serving.headroom - self.headroom_taken(room, serving))
            .fold(f64::INFINITY, f64::min)
    }

    /// Returns the headroom that a filling task would take from a serving step.
    fn headroom_taken(&self, room: &VmCapacity, serving: &ServingHeadroom) -> f64 {
        let image = self.step.image.as_deref().unwrap_or_default();
        self.table.gain(image, &serving.image) * room.share(self.step.need.cores)
    }

    /// Returns the most headroom that a filling task would take from any step there,
    /// in steps.
    fn steps_taken(&self, room: &VmCapacity) -> usize {
        let steps = room.steps.values();
        let taken = steps.map(|serving| self.headroom_taken(room, serving));
        (taken.fold(0.0, f64::max) / HEADROOM_STEP) as usize
    }

    fn is_far(&self, room: &VmCapacity) -> bool {
        self.step
            .rack
            .as_ref()
            .is_some_and(|rack| room.rack.as_ref() != Some(rack))
    }
}

/// Chooses the VM for a task among those with room.
///
/// `placed` tells how many tasks of the same step and occurrence a VM has.
pub fn choose_vm<'a>(
    request: &PlacementRequest<'_>,
    rooms: impl Iterator<Item = &'a VmCapacity>,
    placed: impl Fn(&str) -> u32,
) -> Option<&'a VmCapacity> {
    rooms
        .filter(|room| request.fits(room, || placed(&room.vm)))
        .min_by_key(|room| {
            let cores = room.free.cores.as_millicores();
            let by_kind = if request.step.latency_target_millis.is_some() {
                // Beside serving tasks of the same image, which the same filling
                // tasks leave alone.
                let image = request.step.image.as_deref().unwrap_or_default();
                let steps = room.steps.values();
                let others = steps.filter(|serving| serving.image != image).count();
                (room.serving == 0, others, cores)
            } else if request.step.is_best_effort {
                // Where it takes least headroom, and there where most is idle.
                let taken = request.steps_taken(room);
                (false, taken, u64::MAX - room.idle().as_millicores())
            } else {
                (room.serving == 0, 0, cores)
            };
            (room.is_suspect, request.is_far(room), by_kind)
        })
}

/// A task for which a round of placement has found no room.
#[derive(Clone, Debug)]
struct TaskMiss {
    service: String,
    need: ResourceSet,
    is_best_effort: bool,
    image: Option<String>,
    label: Option<String>,
}

/// Tasks for which a round of placement has found no room.
///
/// Load pattern: hundreds of jobs of a burst wait, and nothing fits any more. Rooms
/// only shrink within a round, so what asks for as much finds none either, and
/// the VMs need not be walked for each of them.
#[derive(Clone, Debug, Default)]
pub struct PlacementFailures {
    misses: Vec<TaskMiss>,
}

impl PlacementFailures {
    /// Creates the list of a round that begins.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a task of the step fits nowhere.
    pub fn note(&mut self, service: &str, step: &StepSpec) {
        // A limit for each VM says nothing about other steps.
        if step.vm_limit.is_none() {
            self.misses.push(TaskMiss {
                service: service.to_owned(),
                need: step.need,
                is_best_effort: step.is_best_effort,
                image: step.image.clone(),
                label: step.label.clone(),
            });
        }
    }

    /// Returns whether a task of the step surely fits nowhere.
    pub fn covers(&self, service: &str, step: &StepSpec) -> bool {
        self.misses.iter().any(|miss| {
            miss.need.fits_in(&step.need)
                && miss.is_best_effort == step.is_best_effort
                && (!step.is_best_effort || miss.image == step.image)
                && miss.service == service
                && miss.label == step.label
        })
    }
}
