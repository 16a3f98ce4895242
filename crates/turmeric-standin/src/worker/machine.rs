//! The VM of a worker: its tasks, their leases and their progress.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use turmeric_types::{AttemptNumber, Incarnation, MonoTime, ResourceSet, TaskId, WallTime};
use turmeric_worker::{
    RenewRequest, StartRequest, StopKind, StopRequest, StopResponse, TaskPhase, ThrottleRequest,
    WorkerStatus, WorkerTask,
};

use super::profile::{KindProfile, TaskBehaviour};
use super::record::WorkerRecord;

struct MachineTask {
    shown: WorkerTask,
    work_millis: u64,
    done_micros: u64,
    started_at: MonoTime,
    behaviour: TaskBehaviour,
}

/// The state of a worker's VM.
pub(crate) struct WorkerMachine {
    instance: u32,
    capacity: ResourceSet,
    incarnation: Incarnation,
    tasks: BTreeMap<TaskId, MachineTask>,
    /// Last attempt seen of each task, also of forgotten ones.
    last_attempts: BTreeMap<TaskId, AttemptNumber>,
    speed_percent: u64,
    advanced_to: MonoTime,
    usage_lag: Duration,
    usage: VecDeque<(MonoTime, u64)>,
    profiles: Vec<KindProfile>,
    record: WorkerRecord,
}

impl WorkerMachine {
    pub(crate) fn new(
        name: String,
        instance: u32,
        capacity: ResourceSet,
        usage_lag: Duration,
    ) -> Self {
        Self {
            instance,
            capacity,
            incarnation: Incarnation::default(),
            tasks: BTreeMap::new(),
            last_attempts: BTreeMap::new(),
            speed_percent: 100,
            advanced_to: MonoTime::default(),
            usage_lag,
            usage: VecDeque::new(),
            profiles: Vec::new(),
            record: WorkerRecord {
                worker: name,
                ..WorkerRecord::default()
            },
        }
    }

    /// Changes what tasks of some kinds really need and do.
    pub(crate) fn set_profiles(&mut self, profiles: Vec<KindProfile>) {
        self.profiles = profiles;
    }

    pub(crate) fn record(&self) -> &WorkerRecord {
        &self.record
    }

    /// Lets the tasks run up to `now`.
    pub(crate) fn advance(&mut self, now: MonoTime, wall: WallTime) {
        let elapsed = now.since(self.advanced_to).as_micros() as u64;
        self.advanced_to = now;
        for entry in self.tasks.values_mut() {
            if entry.shown.phase != TaskPhase::Running {
                continue;
            }
            let micros = elapsed * self.speed_percent / 100;
            entry.done_micros += entry.behaviour.progress(&entry.shown.resources, micros);
            entry.shown.done_millis = entry.done_micros / 1000;
            if entry.behaviour.is_starved(&entry.shown.resources) {
                entry.shown.phase = TaskPhase::Failed;
                self.record.failed += 1;
                self.record.end(entry.shown.task, entry.shown.attempt, wall);
            } else if entry.shown.done_millis >= entry.work_millis {
                entry.shown.phase = TaskPhase::Succeeded;
                self.record.succeeded += 1;
                self.record.end(entry.shown.task, entry.shown.attempt, wall);
            } else if now >= entry.shown.lease_until {
                entry.shown.phase = TaskPhase::Suspended;
                self.record.suspended += 1;
                self.record.end(entry.shown.task, entry.shown.attempt, wall);
            }
        }
        self.note_usage(now);
    }

    fn note_usage(&mut self, now: MonoTime) {
        self.usage.push_back((now, self.used_millicores()));
        let horizon = now.before(self.usage_lag);
        while self.usage.len() > 1 && self.usage[1].0 <= horizon {
            self.usage.pop_front();
        }
    }

    fn running(&self) -> impl Iterator<Item = &MachineTask> {
        self.tasks
            .values()
            .filter(|entry| entry.shown.phase == TaskPhase::Running)
    }

    fn used_millicores(&self) -> u64 {
        self.running()
            .map(|entry| {
                let allocated = &entry.shown.resources;
                entry
                    .behaviour
                    .used_millicores(allocated, self.speed_percent)
            })
            .sum()
    }

    /// Resources that tasks hold; a suspended task keeps its memory.
    fn held_sum(&self) -> ResourceSet {
        self.tasks
            .values()
            .filter(|entry| matches!(entry.shown.phase, TaskPhase::Running | TaskPhase::Suspended))
            .fold(ResourceSet::default(), |sum, entry| {
                sum.checked_add(&entry.shown.resources).unwrap_or(sum)
            })
    }

    /// Slowdown of the service on the VM, in percent.
    pub(crate) fn noise_percent(&self) -> u64 {
        let interference: u64 = self
            .running()
            .map(|entry| entry.behaviour.interference(self.speed_percent))
            .sum();
        interference * 100 / self.capacity.cores.as_millicores().max(1)
    }

    /// Shows an attempt with its use some time ago.
    fn shown(&self, entry: &MachineTask, now: MonoTime) -> WorkerTask {
        let measured_at = now.before(self.usage_lag);
        let allocated = &entry.shown.resources;
        let usage = entry
            .behaviour
            .usage(allocated, self.speed_percent, measured_at);
        WorkerTask {
            usage: (measured_at >= entry.started_at).then_some(usage),
            ..entry.shown.clone()
        }
    }

    pub(crate) fn status(&self, now: MonoTime) -> WorkerStatus {
        WorkerStatus {
            instance: self.instance,
            clock: now,
            capacity: self.capacity,
            incarnation: self.incarnation,
            tasks: self
                .tasks
                .values()
                .map(|entry| self.shown(entry, now))
                .collect(),
            used_millicores: self.usage.front().map_or(0, |(_, used)| *used),
        }
    }

    fn obey(&self, incarnation: Incarnation) -> Result<(), String> {
        if incarnation == self.incarnation {
            return Ok(());
        }
        Err(format!("incarnation {incarnation} is not attached"))
    }

    pub(crate) fn attach(&mut self, incarnation: Incarnation) -> Result<(), String> {
        if incarnation < self.incarnation {
            return Err(format!("incarnation {} is later", self.incarnation));
        }
        self.incarnation = incarnation;
        Ok(())
    }

    pub(crate) fn start(
        &mut self,
        request: &StartRequest,
        now: MonoTime,
        wall: WallTime,
        is_failing: bool,
    ) -> Result<(), String> {
        let refusal = self.check_start(request, now);
        if let Err(reason) = refusal {
            self.record.refused_starts += 1;
            return Err(reason);
        }
        if self.last_attempts.get(&request.task) == Some(&request.attempt) {
            return Ok(());
        }
        self.last_attempts.insert(request.task, request.attempt);
        let phase = if is_failing {
            self.record.failed += 1;
            TaskPhase::Failed
        } else {
            self.record.begin(
                request.task,
                request.attempt,
                request.checkpoint_millis,
                wall,
                true,
            );
            TaskPhase::Running
        };
        let shown = WorkerTask {
            task: request.task,
            attempt: request.attempt,
            partition: request.partition,
            class: request.class,
            resources: request.resources,
            phase,
            lease_until: request.lease_until,
            checkpoint_millis: request.checkpoint_millis,
            done_millis: request.checkpoint_millis,
            usage: None,
        };
        let profile = self
            .profiles
            .iter()
            .find(|profile| Some(&profile.kind) == request.kind.as_ref());
        let entry = MachineTask {
            behaviour: TaskBehaviour::new(profile, &request.resources),
            started_at: now,
            shown,
            work_millis: request.work_millis,
            done_micros: request.checkpoint_millis * 1000,
        };
        self.tasks.insert(request.task, entry);
        if !self.held_sum().fits_in(&self.capacity) {
            self.record.overcommitted += 1;
        }
        Ok(())
    }

    fn check_start(&self, request: &StartRequest, now: MonoTime) -> Result<(), String> {
        self.obey(request.incarnation)?;
        if now > request.not_after {
            return Err("the time for the start has passed".to_owned());
        }
        match self.last_attempts.get(&request.task) {
            Some(last) if *last > request.attempt => Err(format!("attempt {last} is later")),
            _ => Ok(()),
        }
    }

    pub(crate) fn renew(&mut self, request: &RenewRequest, wall: WallTime) -> Result<(), String> {
        self.obey(request.incarnation)?;
        let now = self.advanced_to;
        for renewal in &request.renewals {
            let Some(entry) = self.tasks.get_mut(&renewal.task) else {
                continue;
            };
            if entry.shown.attempt != renewal.attempt {
                continue;
            }
            entry.shown.lease_until = entry.shown.lease_until.max(renewal.lease_until);
            if entry.shown.phase == TaskPhase::Suspended && entry.shown.lease_until > now {
                entry.shown.phase = TaskPhase::Running;
                let done = entry.shown.done_millis;
                self.record
                    .begin(renewal.task, renewal.attempt, done, wall, false);
            }
        }
        Ok(())
    }

    /// Returns the work done by a task that can still be checkpointed.
    pub(crate) fn progress(&self, request: &StopRequest) -> Result<Option<u64>, String> {
        self.obey(request.incarnation)?;
        let entry = self
            .tasks
            .get(&request.task)
            .filter(|entry| entry.shown.attempt == request.attempt)
            .ok_or("no such attempt")?;
        let is_live = matches!(entry.shown.phase, TaskPhase::Running | TaskPhase::Suspended);
        Ok(is_live.then_some(entry.shown.done_millis))
    }

    pub(crate) fn checkpoint(&mut self, request: &StopRequest, done_millis: u64) {
        if let Some(entry) = self.tasks.get_mut(&request.task) {
            entry.shown.checkpoint_millis = done_millis;
        }
    }

    pub(crate) fn stop(
        &mut self,
        request: &StopRequest,
        wall: WallTime,
    ) -> Result<StopResponse, String> {
        self.obey(request.incarnation)?;
        let held = self
            .tasks
            .get_mut(&request.task)
            .filter(|entry| entry.shown.attempt == request.attempt);
        let Some(entry) = held else {
            return Ok(StopResponse {
                phase: None,
                checkpoint_millis: 0,
            });
        };
        let checkpoint_millis = entry.shown.checkpoint_millis;
        let is_live = matches!(entry.shown.phase, TaskPhase::Running | TaskPhase::Suspended);
        match request.kind {
            StopKind::Checkpoint if is_live => {
                entry.shown.phase = TaskPhase::Evicted;
                self.record.evicted += 1;
            }
            StopKind::Checkpoint => {}
            StopKind::Forget if is_live => return Err("the attempt has not ended".to_owned()),
            StopKind::Forget | StopKind::Discard => {
                self.tasks.remove(&request.task);
            }
        }
        self.record.end(request.task, request.attempt, wall);
        Ok(StopResponse {
            phase: self.tasks.get(&request.task).map(|entry| entry.shown.phase),
            checkpoint_millis,
        })
    }

    pub(crate) fn throttle(&mut self, request: &ThrottleRequest) -> Result<(), String> {
        self.obey(request.incarnation)?;
        self.speed_percent = u64::from(request.speed_percent.min(100));
        Ok(())
    }
}
