//! A simulated worker with the interface that agents use.

use std::collections::{BTreeMap, BTreeSet};

use turmeric_types::{
    AttemptNumber, CoreCount, Incarnation, MemorySize, MonoTime, ResourceSet, TaskId,
};
use turmeric_worker::{
    LeaseRenewal, StartRequest, StopKind, StopRequest, StopResponse, TaskPhase, TaskUsage,
    WorkerError, WorkerStatus, WorkerTask,
};

/// A worker with its clock and attempts, and the violations that it observed.
pub struct ModelWorker {
    pub capacity: ResourceSet,
    instance: u32,
    incarnation: u64,
    booted_at: MonoTime,
    advanced_to: MonoTime,
    /// Tasks with their amount of work, in milliseconds.
    tasks: BTreeMap<TaskId, (WorkerTask, u64)>,
    last_attempts: BTreeMap<TaskId, AttemptNumber>,
    started: BTreeSet<(TaskId, AttemptNumber)>,
    /// The worker reports twice its capacity.
    pub overstates_capacity: bool,
    /// Its tasks have exceeded its capacity.
    pub is_overfilled: bool,
    /// An attempt has started twice.
    pub has_repeated_start: bool,
}

fn refused(reason: &str) -> WorkerError {
    WorkerError::Refused {
        reason: reason.to_owned(),
    }
}

impl ModelWorker {
    /// Creates a worker without tasks.
    pub fn new(capacity: ResourceSet, instance: u32) -> Self {
        Self {
            capacity,
            instance,
            incarnation: 0,
            booted_at: MonoTime::default(),
            advanced_to: MonoTime::default(),
            tasks: BTreeMap::new(),
            last_attempts: BTreeMap::new(),
            started: BTreeSet::new(),
            overstates_capacity: false,
            is_overfilled: false,
            has_repeated_start: false,
        }
    }

    /// Returns the capacity that the worker reports.
    pub fn reported_capacity(&self) -> ResourceSet {
        if self.overstates_capacity {
            return self.capacity.checked_add(&self.capacity).unwrap();
        }
        self.capacity
    }

    /// Reboots the VM as the given instance, without its tasks.
    pub fn reboot(&mut self, instance: u32, now: MonoTime) {
        self.instance = instance;
        self.incarnation = 0;
        self.booted_at = now;
        self.tasks.clear();
        self.last_attempts.clear();
    }

    /// Returns the clock of the VM, which starts at zero when it boots.
    fn clock(&self, now: MonoTime) -> MonoTime {
        MonoTime::default().after(now.since(self.booted_at))
    }

    /// Attaches an incarnation of the agent, unless a later one is attached.
    pub fn attach(&mut self, incarnation: u64) {
        self.incarnation = self.incarnation.max(incarnation);
    }

    /// Advances the work of the running tasks to the given time.
    pub fn advance(&mut self, now: MonoTime) {
        let clock = self.clock(now);
        let elapsed = now.since(self.advanced_to).as_millis() as u64;
        self.advanced_to = now;
        for (task, work) in self.tasks.values_mut() {
            if task.phase != TaskPhase::Running {
                continue;
            }
            // Work stops when the lease expires, even between two calls.
            let overdue = clock.since(task.lease_until).as_millis() as u64;
            task.done_millis += elapsed.saturating_sub(overdue);
            if task.done_millis >= *work {
                task.phase = TaskPhase::Succeeded;
            } else if clock >= task.lease_until {
                task.phase = TaskPhase::Suspended;
            }
        }
    }

    /// Returns the tasks that run.
    pub fn running(&self) -> impl Iterator<Item = TaskId> + '_ {
        self.tasks
            .values()
            .filter(|(task, _)| task.phase == TaskPhase::Running)
            .map(|(task, _)| task.task)
    }

    /// Returns whether the worker holds the attempt under a lease.
    pub fn is_leased(&self, task: TaskId, attempt: AttemptNumber, now: MonoTime) -> bool {
        self.tasks
            .get(&task)
            .is_some_and(|(held, _)| held.attempt == attempt && self.clock(now) < held.lease_until)
    }

    /// Returns the status that the agent reads.
    pub fn status(&self, now: MonoTime) -> WorkerStatus {
        WorkerStatus {
            instance: self.instance,
            clock: self.clock(now),
            capacity: self.reported_capacity(),
            incarnation: Incarnation::new(self.incarnation),
            tasks: self
                .tasks
                .values()
                .map(|(task, _)| self.with_usage(task, now))
                .collect(),
            used_millicores: 0,
        }
    }

    /// Returns an attempt with its usage: a core and a GiB, or all that it is
    /// allocated if that is less.
    fn with_usage(&self, task: &WorkerTask, now: MonoTime) -> WorkerTask {
        let usage = TaskUsage {
            measured_at: self.clock(now),
            cores: task.resources.cores.min(CoreCount::from_millicores(1000)),
            memory: task.resources.memory.min(MemorySize::new(1 << 30)),
        };
        WorkerTask {
            usage: Some(usage),
            ..task.clone()
        }
    }

    /// Starts an attempt, or refuses to.
    pub fn start(&mut self, request: &StartRequest, now: MonoTime) -> Result<(), WorkerError> {
        if request.incarnation.get() != self.incarnation {
            return Err(refused(
                "the request is from another incarnation of the agent",
            ));
        }
        if self.clock(now) > request.not_after {
            return Err(refused("the start arrived after its deadline"));
        }
        match self.last_attempts.get(&request.task) {
            Some(last) if *last > request.attempt => {
                return Err(refused("a later attempt has started"));
            }
            Some(last) if *last == request.attempt => return Ok(()),
            _ => {}
        }
        self.last_attempts.insert(request.task, request.attempt);
        if !self.started.insert((request.task, request.attempt)) {
            self.has_repeated_start = true;
        }
        let task = WorkerTask {
            task: request.task,
            attempt: request.attempt,
            partition: request.partition,
            class: request.class,
            resources: request.resources,
            phase: TaskPhase::Running,
            lease_until: request.lease_until,
            checkpoint_millis: request.checkpoint_millis,
            done_millis: request.checkpoint_millis,
            usage: None,
        };
        self.tasks.insert(request.task, (task, request.work_millis));
        self.advance(now);
        let held = self
            .tasks
            .values()
            .filter(|(task, _)| matches!(task.phase, TaskPhase::Running | TaskPhase::Suspended))
            .fold(ResourceSet::default(), |sum, (task, _)| {
                sum.checked_add(&task.resources).unwrap()
            });
        self.is_overfilled |= !held.fits_in(&self.capacity);
        Ok(())
    }

    /// Renews leases and resumes tasks that were suspended without one.
    pub fn renew(&mut self, incarnation: u64, renewals: &[LeaseRenewal], now: MonoTime) {
        if incarnation != self.incarnation {
            return;
        }
        let clock = self.clock(now);
        for renewal in renewals {
            let Some((task, _)) = self.tasks.get_mut(&renewal.task) else {
                continue;
            };
            if task.attempt != renewal.attempt {
                continue;
            }
            task.lease_until = task.lease_until.max(renewal.lease_until);
            if task.phase == TaskPhase::Suspended && task.lease_until > clock {
                task.phase = TaskPhase::Running;
            }
        }
    }

    /// Stops or forgets an attempt.
    pub fn stop(
        &mut self,
        request: &StopRequest,
        now: MonoTime,
    ) -> Result<StopResponse, WorkerError> {
        self.advance(now);
        if request.incarnation.get() != self.incarnation {
            return Err(refused(
                "the request is from another incarnation of the agent",
            ));
        }
        let held = self
            .tasks
            .get_mut(&request.task)
            .filter(|(task, _)| task.attempt == request.attempt);
        let Some((task, _)) = held else {
            return Ok(StopResponse {
                phase: None,
                checkpoint_millis: 0,
            });
        };
        let is_active = matches!(task.phase, TaskPhase::Running | TaskPhase::Suspended);
        match request.kind {
            StopKind::Checkpoint if is_active => {
                task.checkpoint_millis = task.done_millis;
                task.phase = TaskPhase::Evicted;
            }
            StopKind::Checkpoint => {}
            StopKind::Forget if is_active => return Err(refused("the attempt has not ended")),
            StopKind::Forget | StopKind::Discard => {
                self.tasks.remove(&request.task);
            }
        }
        let shown = self.tasks.get(&request.task).map(|(task, _)| task);
        Ok(StopResponse {
            phase: shown.map(|task| task.phase),
            checkpoint_millis: shown.map_or(0, |task| task.checkpoint_millis),
        })
    }
}
