//! Which VM gets a task.
//!
//! Load pattern: serving tasks whose tail latency suffers from filling tasks
//! on the same VM, beside nearly full VMs. Serving tasks are packed onto few
//! VMs; filling tasks go where processors are idle, and beside serving tasks
//! only as far as their images press little; all others use the rest of the
//! VMs that serve.

use std::collections::BTreeMap;

use turmeric_types::{CoreCount, ResourceSet};

use crate::pressure::SERVING_LOAD;
use crate::{PressureTable, StepSpec};

/// What a VM offers at this moment.
#[derive(Clone, Debug)]
pub struct VmRoom {
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
    /// Load that the filling tasks there add to each serving image there.
    pub pressure: BTreeMap<String, f64>,
    /// Processors of each filling image there.
    pub fillers: BTreeMap<String, CoreCount>,
    /// All processors of the VM.
    pub cores: CoreCount,
    /// Tasks on it that fill.
    pub filling: usize,
    /// The VM failed tasks of several jobs lately.
    pub is_suspect: bool,
}

/// Part of their reservation that serving tasks leave idle, in thousandths, by
/// the load that they have on the published deployments (45%).
const SERVING_IDLE_PERMILLE: u64 = 450;

/// Load up to which filling tasks bring the serving tasks of a VM on average:
/// a target of five times the idle tail latency is reached at 0.8, and the
/// load swings.
const LOAD_LIMIT: f64 = 0.65;

/// What a task asks for.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// Service whose endpoints may run the task.
    pub service: &'a str,
    /// The task's step.
    pub step: &'a StepSpec,
    /// What is known of pairs of images.
    pub table: &'a PressureTable,
    /// Nothing of the job runs, and it has waited long enough to press on
    /// others; it is paced then.
    pub is_starved: bool,
}

impl VmRoom {
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

    /// Takes a task of a step into account.
    pub fn add(&mut self, step: &StepSpec, table: &PressureTable) {
        let image = step.image.clone().unwrap_or_default();
        self.free = self.free.saturating_sub(&step.reserved());
        if step.latency_target_millis.is_some() {
            self.serving += 1;
            let served = self.served.as_millicores() + step.need.cores.as_millicores();
            self.served = CoreCount::from_millicores(served);
            let pressure = self
                .fillers
                .iter()
                .map(|(filling, cores)| table.gain(filling, &image) * self.share(*cores))
                .sum();
            self.pressure.insert(image.clone(), pressure);
        }
        if step.is_filling {
            self.filling += 1;
            let share = self.share(step.need.cores);
            for (serving, pressure) in &mut self.pressure {
                *pressure += table.gain(&image, serving) * share;
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
    pub fn fits(&self, room: &VmRoom, placed: impl FnOnce() -> u32) -> bool {
        self.step.reserved().fits_in(&room.free)
            && room.service == self.service
            && self
                .step
                .label
                .as_ref()
                .is_none_or(|label| room.labels.contains(label))
            && (!self.step.is_filling || self.fills_in(room))
            && self.step.vm_limit.is_none_or(|limit| placed() < limit)
    }

    /// Returns whether a filling task would find idle processors there and
    /// disturb nobody.
    fn fills_in(&self, room: &VmRoom) -> bool {
        self.step.need.cores <= room.idle()
            && (self.is_starved || self.pressed_load(room) <= LOAD_LIMIT)
    }

    /// Returns the mean load of the serving image that a filling task would
    /// press on most; zero where nothing serves.
    fn pressed_load(&self, room: &VmRoom) -> f64 {
        let image = self.step.image.as_deref().unwrap_or_default();
        let share = room.share(self.step.need.cores);
        room.pressure
            .iter()
            .map(|(serving, pressure)| {
                SERVING_LOAD + pressure + self.table.gain(image, serving) * share
            })
            .fold(0.0, f64::max)
    }

    fn is_far(&self, room: &VmRoom) -> bool {
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
    rooms: impl Iterator<Item = &'a VmRoom>,
    placed: impl Fn(&str) -> u32,
) -> Option<&'a VmRoom> {
    rooms
        .filter(|room| request.fits(room, || placed(&room.vm)))
        .min_by_key(|room| {
            let cores = room.free.cores.as_millicores();
            let by_kind = if request.step.latency_target_millis.is_some() {
                // Beside serving tasks of the same image, which the same filling
                // tasks leave alone.
                let image = request.step.image.as_deref().unwrap_or_default();
                let others = room.pressure.keys().filter(|key| *key != image).count();
                (room.serving == 0, others, cores)
            } else if request.step.is_filling {
                // Where it presses least, so that VMs that serve nothing are left
                // to the images that press everywhere.
                let added = request.pressed_load(room) - SERVING_LOAD;
                let step = (added.max(0.0) * 10.0) as usize;
                let is_empty = room.serving == 0;
                (is_empty, step, u64::MAX - room.idle().as_millicores())
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
    is_filling: bool,
    image: Option<String>,
    label: Option<String>,
}

/// Tasks for which a round of placement has found no room.
///
/// Load pattern: hundreds of jobs of a burst wait, and nothing fits any more. Rooms
/// only shrink within a round, so what asks for as much finds none either, and
/// the VMs need not be walked for each of them.
#[derive(Clone, Debug, Default)]
pub struct MissList {
    misses: Vec<TaskMiss>,
}

impl MissList {
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
                is_filling: step.is_filling,
                image: step.image.clone(),
                label: step.label.clone(),
            });
        }
    }

    /// Returns whether a task of the step surely fits nowhere.
    pub fn covers(&self, service: &str, step: &StepSpec) -> bool {
        self.misses.iter().any(|miss| {
            miss.need.fits_in(&step.need)
                && miss.is_filling == step.is_filling
                && (!step.is_filling || miss.image == step.image)
                && miss.service == service
                && miss.label == step.label
        })
    }
}
