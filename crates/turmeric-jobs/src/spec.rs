//! Specification of a job: its steps, their tasks, and the policy of its queue.

use std::fmt;
use std::time::Duration;

use turmeric_schema::v1;
use turmeric_types::{AcceleratorCount, CoreCount, MemorySize, ResourceSet, WallTime};

/// One step of a job: `count` tasks with the same requirements.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u32,
    /// Resources that each task needs.
    pub need: ResourceSet,
    /// The caller's rough estimate of a task's run time.
    pub estimate: Duration,
    /// Earlier steps whose tasks must all succeed first.
    pub after: Vec<u32>,
    /// The tasks form a gang: they work only together and end together.
    pub is_gang: bool,
    /// The tasks are slow unless they all run in one rack.
    pub wants_one_rack: bool,
    /// Label that the VM must carry.
    pub label: Option<String>,
    /// Rack that holds the data; tasks are slow elsewhere.
    pub rack: Option<String>,
    /// Largest number of tasks of the step on one VM.
    pub vm_limit: Option<u32>,
    /// The tasks checkpoint their work.
    pub checkpoints: bool,
    /// Copies of a task may run in parallel.
    pub allows_copies: bool,
    /// The tasks run until the job is cancelled.
    pub is_long_running: bool,
    /// Image that the tasks run; tasks of the same image behave alike.
    pub image: Option<String>,
    /// Tail latency that a serving task must keep, in milliseconds.
    pub latency_target_millis: Option<u64>,
    /// The tasks are best-effort: they use idle processors and reserve none.
    pub is_best_effort: bool,
    /// Number of tasks of a long-running step that may be interrupted at the same time.
    pub away_limit: u32,
}

impl StepSpec {
    /// Returns the estimated work of one task, in core-milliseconds.
    pub fn task_work(&self) -> u64 {
        self.need.cores.as_millicores() * self.estimate.as_millis() as u64 / 1000
    }

    /// Returns the resources that a task of the step reserves on its VM.
    pub fn reserved(&self) -> ResourceSet {
        if self.is_best_effort {
            ResourceSet {
                cores: CoreCount::default(),
                ..self.need
            }
        } else {
            self.need
        }
    }
}

/// Schedule of a repeated job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RepeatPlan {
    /// When the first occurrence is due.
    pub first_due_at: WallTime,
    /// Time between two occurrences.
    pub interval: Duration,
    /// Number of occurrences.
    pub count: u32,
}

/// Settings of a queue in the operators' configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QueuePolicy {
    /// Name of the queue.
    pub route: String,
    /// Service whose endpoints run the tasks.
    pub service: String,
    /// Priority of the queue; zero is the highest.
    pub priority: u32,
    /// Number of failed attempts after which a task fails.
    pub attempt_limit: u32,
    /// Objective as a multiple of the job's critical path, in thousandths.
    pub stretch_permille: u32,
    /// Time that is added to this multiple.
    pub objective: Duration,
}

/// A job as it was accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobSpec {
    /// The queue and its policy when the job was accepted.
    pub queue: QueuePolicy,
    /// When it was accepted, by the clock of the entry.
    pub accepted_at: WallTime,
    /// Text that is passed to every task when it starts.
    pub text: String,
    /// The steps, in the caller's order.
    pub steps: Vec<StepSpec>,
    /// Schedule of the job, if it is repeated.
    pub repeat: Option<RepeatPlan>,
}

/// Error for a job that cannot be accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SpecError {
    /// The job has no task.
    Empty,
    /// The job has more tasks than one row of the store can hold the progress of.
    TooManyTasks {
        /// Tasks of all steps and occurrences.
        count: u64,
    },
    /// A step waits for itself or for a later one.
    StepOrder {
        /// The step.
        step: usize,
        /// What it waits for.
        after: u32,
    },
    /// A number is too large for the scheduler's calculations.
    OutOfRange {
        /// What the number describes.
        what: &'static str,
        /// The largest accepted value, with its unit.
        limit: &'static str,
    },
    /// A record in the store cannot be decoded.
    Message {
        /// Error of the decoder.
        reason: String,
    },
}

impl fmt::Display for SpecError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => write!(formatter, "the job has no task; a step has at least one"),
            Self::TooManyTasks { count } => write!(
                formatter,
                "the job has {count} tasks; at most {TASK_LIMIT} fit one job"
            ),
            Self::StepOrder { step, after } => write!(
                formatter,
                "step {step} waits for step {after}; a step waits only for earlier ones"
            ),
            Self::OutOfRange { what, limit } => {
                write!(formatter, "{what} is too large; at most {limit}")
            }
            Self::Message { reason } => write!(formatter, "cannot decode the record: {reason}"),
        }
    }
}

impl std::error::Error for SpecError {}

/// Largest number of tasks of a job: their progress must fit one row of the store (64 KiB).
pub const TASK_LIMIT: u64 = 600;

/// Longest estimate of a task, and longest interval between two occurrences of a job.
const DURATION_LIMIT: Duration = Duration::from_secs(366 * 24 * 3600);

/// Largest number of processors of a task or a VM, in thousandths.
pub const CORE_LIMIT: u64 = 100_000_000;

impl JobSpec {
    /// Checks that the job can be scheduled.
    ///
    /// # Errors
    ///
    /// See [`SpecError`].
    pub fn check(&self) -> Result<(), SpecError> {
        let counts = self.steps.iter().map(|step| u64::from(step.count));
        let count = u64::from(self.occurrences()).saturating_mul(counts.sum());
        if count == 0 {
            return Err(SpecError::Empty);
        }
        if count > TASK_LIMIT {
            return Err(SpecError::TooManyTasks { count });
        }
        if self
            .repeat
            .is_some_and(|repeat| repeat.interval > DURATION_LIMIT)
        {
            return Err(SpecError::OutOfRange {
                what: "the interval between two occurrences",
                limit: "366 days",
            });
        }
        for (number, step) in self.steps.iter().enumerate() {
            if step.estimate > DURATION_LIMIT {
                return Err(SpecError::OutOfRange {
                    what: "the estimate of a task",
                    limit: "366 days",
                });
            }
            if step.need.cores.as_millicores() > CORE_LIMIT {
                return Err(SpecError::OutOfRange {
                    what: "the processors of a task",
                    limit: "100,000 cores",
                });
            }
            if let Some(after) = step.after.iter().find(|after| **after as usize >= number) {
                return Err(SpecError::StepOrder {
                    step: number,
                    after: *after,
                });
            }
        }
        Ok(())
    }

    /// Returns the number of occurrences of the job.
    pub fn occurrences(&self) -> u32 {
        self.repeat.map_or(1, |repeat| repeat.count.max(1))
    }

    /// Returns whether any step runs until the job is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.is_long_running)
    }

    /// Returns the estimated duration of the critical path through the steps.
    pub fn critical_path(&self) -> Duration {
        self.critical_path_of(|_| true)
    }

    /// Returns the estimated duration of the critical path, counting only the steps for
    /// which `counts` returns true; the others take no time.
    pub fn critical_path_of(&self, counts: impl Fn(u32) -> bool) -> Duration {
        let mut end_times: Vec<Duration> = Vec::with_capacity(self.steps.len());
        for (number, step) in (0..).zip(&self.steps) {
            let length = if counts(number) {
                step.estimate
            } else {
                Duration::ZERO
            };
            let start = step
                .after
                .iter()
                .filter_map(|after| end_times.get(*after as usize))
                .max()
                .copied()
                .unwrap_or_default();
            end_times.push(start + length);
        }
        end_times.into_iter().max().unwrap_or_default()
    }

    /// Returns the time within which the caller wants the job done.
    pub fn objective(&self) -> Duration {
        let path = self.critical_path();
        let stretched = path.saturating_mul(self.queue.stretch_permille) / 1000;
        stretched.saturating_add(self.queue.objective)
    }

    /// Returns the estimated work of one occurrence, in core-milliseconds.
    pub fn work(&self) -> u64 {
        let works = self.steps.iter();
        works
            .map(|step| u64::from(step.count) * step.task_work())
            .sum()
    }

    /// Returns about how much memory the job takes while it is stored.
    ///
    /// Load pattern: clients send many small bodies of thousands of empty steps at once, which
    /// take a hundred times as much memory when they are decoded.
    pub fn memory(&self) -> MemorySize {
        /// The job is held decoded, as a message and encoded.
        const COPIES: usize = 3;
        let text = |text: &Option<String>| text.as_ref().map_or(0, String::len);
        let steps = self.steps.iter().map(|step| {
            let texts = text(&step.label) + text(&step.rack) + text(&step.image);
            size_of::<StepSpec>() + size_of_val(step.after.as_slice()) + texts
        });
        let size = COPIES * (self.text.len() + steps.sum::<usize>());
        MemorySize::new(size as u64)
    }

    /// Encodes the job for the store.
    pub fn write(&self) -> v1::JobIntake {
        let repeat = self.repeat;
        v1::JobIntake {
            route: self.queue.route.clone(),
            service: self.queue.service.clone(),
            accepted_at: self.accepted_at.as_millis(),
            text: self.text.clone(),
            steps: self.steps.iter().map(write_step).collect(),
            first_run_at: repeat.map_or(0, |repeat| repeat.first_due_at.as_millis()),
            interval_millis: repeat.map_or(0, |repeat| repeat.interval.as_millis() as u64),
            repetitions: repeat.map_or(0, |repeat| repeat.count),
            priority: self.queue.priority,
            attempt_limit: self.queue.attempt_limit,
            stretch_permille: self.queue.stretch_permille,
            objective_millis: self.queue.objective.as_millis() as u64,
        }
    }

    /// Decodes a job from the store.
    pub fn read(message: v1::JobIntake) -> Self {
        let repeat = (message.repetitions > 0).then(|| RepeatPlan {
            first_due_at: WallTime::from_millis(message.first_run_at),
            interval: Duration::from_millis(message.interval_millis),
            count: message.repetitions,
        });
        Self {
            queue: QueuePolicy {
                route: message.route,
                service: message.service,
                priority: message.priority,
                attempt_limit: message.attempt_limit,
                stretch_permille: message.stretch_permille,
                objective: Duration::from_millis(message.objective_millis),
            },
            accepted_at: WallTime::from_millis(message.accepted_at),
            text: message.text,
            steps: message.steps.into_iter().map(read_step).collect(),
            repeat,
        }
    }
}

fn write_step(step: &StepSpec) -> v1::StepIntake {
    v1::StepIntake {
        count: step.count,
        millicores: step.need.cores.as_millicores(),
        memory_bytes: step.need.memory.as_bytes(),
        accelerators: step.need.accelerators.get(),
        estimate_millis: step.estimate.as_millis() as u64,
        after: step.after.clone(),
        gang: step.is_gang,
        same_rack: step.wants_one_rack,
        label: step.label.clone().unwrap_or_default(),
        rack: step.rack.clone().unwrap_or_default(),
        vm_limit: step.vm_limit.unwrap_or_default(),
        checkpoints: step.checkpoints,
        copies: step.allows_copies,
        lasting: step.is_long_running,
        image: step.image.clone().unwrap_or_default(),
        latency_target_millis: step.latency_target_millis.unwrap_or_default(),
        fills: step.is_best_effort,
        away_limit: step.away_limit,
    }
}

fn read_step(step: v1::StepIntake) -> StepSpec {
    let text = |text: String| (!text.is_empty()).then_some(text);
    StepSpec {
        count: step.count,
        need: ResourceSet::new(
            CoreCount::from_millicores(step.millicores),
            MemorySize::new(step.memory_bytes),
            AcceleratorCount::new(step.accelerators),
        ),
        estimate: Duration::from_millis(step.estimate_millis),
        after: step.after,
        is_gang: step.gang,
        wants_one_rack: step.same_rack,
        label: text(step.label),
        rack: text(step.rack),
        vm_limit: (step.vm_limit > 0).then_some(step.vm_limit),
        checkpoints: step.checkpoints,
        allows_copies: step.copies,
        is_long_running: step.lasting,
        image: text(step.image),
        latency_target_millis: (step.latency_target_millis > 0)
            .then_some(step.latency_target_millis),
        is_best_effort: step.fills,
        away_limit: step.away_limit,
    }
}
