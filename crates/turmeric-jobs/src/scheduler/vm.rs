//! What the leader knows of one VM.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use turmeric_types::{CoreCount, MonoTime, ResourceSet};

use crate::{
    AttemptKey, AttemptLocation, AttemptStatus, EndpointInfo, HeadroomTable, JobCode,
    ServingHeadroom, StepSpec, TaskName, VmCapacity,
};

/// A VM whose agent was not heard for this long gets nothing new; agents
/// report every 400 ms.
const SILENCE_LIMIT: Duration = Duration::from_millis(1500);

/// Jobs that must fail on a VM, without a success between, before it is
/// suspected.
const FAILED_JOB_LIMIT: usize = 2;

/// Time for which a suspected VM gets nothing; after it, one task at a time.
const SUSPECT_TERM: Duration = Duration::from_secs(3);

/// A filling task that works at less than this share of its speed, in percent,
/// is better off elsewhere.
const SLOW_PACE: u32 = 50;

/// An attempt that may take room on a VM.
#[derive(Clone, Debug)]
pub(crate) struct HeldRun {
    pub(crate) place: AttemptLocation,
    pub(crate) reserved: ResourceSet,
    pub(crate) is_serving: bool,
    pub(crate) is_best_effort: bool,
    /// Processors that the task wants.
    pub(crate) cores: CoreCount,
    pub(crate) image: String,
    /// Revision of the job from which on the store knows of the attempt.
    pub(crate) revision: u64,
    /// The attempt is to end, and its task goes on elsewhere.
    pub(crate) is_recalled: bool,
    /// When the start was last sent.
    pub(crate) sent_at: Option<MonoTime>,
    /// Number of the first orders without the attempt, once it is not wanted.
    pub(crate) dropped_in: Option<u64>,
    /// When this leader gave it to the VM.
    pub(crate) placed_at: MonoTime,
    pub(crate) percent: u32,
    /// Share of its speed at which it worked since the last report, in percent.
    pace: u32,
    /// When it was last listed.
    listed_at: Option<MonoTime>,
    /// Work at full speed since the share of work done last rose.
    worked: Duration,
    /// Since when it works at less than half of its speed.
    pub(crate) slowed_at: Option<MonoTime>,
    /// When the share of work done last rose.
    pub(crate) moved_at: MonoTime,
    pub(crate) checkpoint: String,
}

impl HeldRun {
    /// Creates an attempt that an earlier leader recorded.
    pub(crate) fn recorded(place: AttemptLocation, step: &StepSpec) -> Self {
        Self {
            place,
            reserved: step.reserved(),
            is_serving: step.latency_target_millis.is_some(),
            is_best_effort: step.is_best_effort,
            cores: step.need.cores,
            image: step.image.clone().unwrap_or_default(),
            revision: 0,
            is_recalled: false,
            sent_at: None,
            dropped_in: None,
            placed_at: MonoTime::default(),
            percent: 0,
            pace: 100,
            listed_at: None,
            worked: Duration::ZERO,
            slowed_at: None,
            moved_at: MonoTime::default(),
            checkpoint: String::new(),
        }
    }

    /// Takes in what a report lists.
    ///
    /// Returns the work at full speed and the progress in percent that it tells of.
    pub(crate) fn note_status(
        &mut self,
        status: &AttemptStatus,
        now: MonoTime,
    ) -> Option<(Duration, u32)> {
        let progress = self.note_progress(status, now);
        if status.percent != self.percent || self.moved_at == MonoTime::default() {
            self.percent = status.percent;
            self.moved_at = now;
        }
        self.slowed_at = if status.pace < SLOW_PACE {
            self.slowed_at.or(Some(now))
        } else {
            None
        };
        if !status.checkpoint.is_empty() {
            self.checkpoint.clone_from(&status.checkpoint);
        }
        progress
    }
}

impl HeldRun {
    fn note_progress(&mut self, status: &AttemptStatus, now: MonoTime) -> Option<(Duration, u32)> {
        let listed_at = self.listed_at.replace(now);
        let pace = std::mem::replace(&mut self.pace, status.pace);
        self.worked += now.since(listed_at?) * pace / 100;
        let percent = status.percent.saturating_sub(self.percent);
        if percent == 0 {
            return None;
        }
        let worked = std::mem::take(&mut self.worked);
        // Up to the first progress the task was starting.
        (self.percent > 0).then_some((worked, percent))
    }
}

/// What the leader knows of one VM.
#[derive(Debug)]
pub(crate) struct VmState {
    pub(crate) zone: String,
    pub(crate) facts: Option<EndpointInfo>,
    /// The agent has heard of this leader and holds the endpoint's present
    /// life under its own fence.
    pub(crate) is_ready: bool,
    pub(crate) heard_at: MonoTime,
    pub(crate) stamp_millis: u64,
    /// No lease on the VM counts from later than this.
    pub(crate) leased_at: MonoTime,
    /// The agent has heard of this leader, so that no other renews its leases.
    pub(crate) is_ours: bool,
    pub(crate) held: BTreeMap<AttemptKey, HeldRun>,
    /// What the last report listed.
    pub(crate) reported: BTreeSet<AttemptKey>,
    /// Ends whose effect is not in the store yet, with the job's revision.
    pub(crate) unrecorded: BTreeMap<u64, (JobCode, u64)>,
    /// Number of the last end that was taken in.
    pub(crate) seen_end: u64,
    /// Number of the last reading that was taken in.
    pub(crate) seen_reading: u64,
    /// Jobs with a failed attempt here since the last success.
    failed_jobs: BTreeSet<JobCode>,
    suspect_until: MonoTime,
}

impl VmState {
    /// Creates a VM whose leases count from `leased_at` at the latest.
    pub(crate) fn new(now: MonoTime, leased_at: MonoTime) -> Self {
        Self {
            zone: String::new(),
            facts: None,
            is_ready: false,
            heard_at: now,
            stamp_millis: 0,
            leased_at,
            is_ours: false,
            held: BTreeMap::new(),
            reported: BTreeSet::new(),
            unrecorded: BTreeMap::new(),
            seen_end: 0,
            seen_reading: 0,
            failed_jobs: BTreeSet::new(),
            suspect_until: MonoTime::default(),
        }
    }

    /// Forgets what belonged to an earlier life of the endpoint.
    pub(crate) fn begin_life(&mut self, facts: EndpointInfo) {
        self.facts = Some(facts);
        self.unrecorded.clear();
        self.seen_end = 0;
        self.failed_jobs.clear();
        self.suspect_until = MonoTime::default();
    }

    pub(crate) fn is_life(&self, place: &AttemptLocation) -> bool {
        self.facts
            .as_ref()
            .is_some_and(|facts| facts.incarnation == place.incarnation)
    }

    /// Records how an attempt ended, to tell VMs that fail everything.
    pub(crate) fn note_outcome(&mut self, job: JobCode, succeeded: bool, now: MonoTime) {
        if succeeded {
            self.failed_jobs.clear();
            self.suspect_until = MonoTime::default();
            return;
        }
        self.failed_jobs.insert(job);
        if self.failed_jobs.len() >= FAILED_JOB_LIMIT {
            self.suspect_until = now.after(SUSPECT_TERM);
        }
    }

    fn is_suspect(&self) -> bool {
        self.failed_jobs.len() >= FAILED_JOB_LIMIT
    }

    /// Returns what the VM offers, or [`None`] while it takes nothing.
    pub(crate) fn room(
        &self,
        name: &str,
        images: &HeadroomTable,
        now: MonoTime,
    ) -> Option<VmCapacity> {
        let facts = self.facts.as_ref()?;
        let is_silent = now > self.heard_at.after(SILENCE_LIMIT);
        let is_probed = self.is_suspect()
            && self
                .held
                .values()
                .any(|run| run.placed_at >= self.suspect_until);
        if !self.is_ready || is_silent || facts.is_draining || now < self.suspect_until || is_probed
        {
            return None;
        }
        let free = self.held.values().fold(facts.capacity, |free, run| {
            free.saturating_sub(&run.reserved)
        });
        let fillers = self.fillers();
        Some(VmCapacity {
            vm: name.to_owned(),
            service: facts.service.clone(),
            labels: facts.labels.clone(),
            rack: facts.rack().map(str::to_owned),
            free,
            best_effort_demand: self.cores_of(|run| run.is_best_effort),
            serving_reserved: self.cores_of(|run| run.is_serving),
            serving_steps: self.serving_rooms(images, facts.capacity.cores, &fillers),
            best_effort_cores: fillers,
            cores: facts.capacity.cores,
            serving_tasks: self.held.values().filter(|run| run.is_serving).count(),
            best_effort_tasks: self.held.values().filter(|run| run.is_best_effort).count(),
            is_suspect: self.is_suspect(),
        })
    }

    /// Returns the headroom that the filling tasks leave to each serving step.
    fn serving_rooms(
        &self,
        table: &HeadroomTable,
        capacity: CoreCount,
        fillers: &BTreeMap<String, CoreCount>,
    ) -> BTreeMap<TaskName, ServingHeadroom> {
        let mut rooms = BTreeMap::new();
        for (key, run) in self.held.iter().filter(|(_, run)| run.is_serving) {
            let step = key.task.first_of_step();
            rooms.entry(step).or_insert_with(|| ServingHeadroom {
                image: run.image.clone(),
                headroom: table.baseline(&step, &run.image)
                    - table.total_interference(fillers, &run.image, capacity),
            });
        }
        rooms
    }

    fn fillers(&self) -> BTreeMap<String, CoreCount> {
        let mut fillers: BTreeMap<String, CoreCount> = BTreeMap::new();
        for run in self.held.values().filter(|run| run.is_best_effort) {
            let cores = fillers.entry(run.image.clone()).or_default();
            let sum = cores.as_millicores() + run.cores.as_millicores();
            *cores = CoreCount::from_millicores(sum);
        }
        fillers
    }

    fn cores_of(&self, is_counted: impl Fn(&HeldRun) -> bool) -> CoreCount {
        let runs = self.held.values().filter(|run| is_counted(run));
        CoreCount::from_millicores(runs.map(|run| run.cores.as_millicores()).sum())
    }

    /// Returns how many attempts of a task's step are here.
    pub(crate) fn count_step(&self, task: &TaskName) -> u32 {
        let first = AttemptKey {
            task: TaskName { index: 0, ..*task },
            attempt: crate::AttemptNumber::default(),
        };
        let last = AttemptKey {
            task: TaskName {
                index: u32::MAX,
                ..*task
            },
            attempt: crate::AttemptNumber::new(u64::MAX),
        };
        self.held.range(first..=last).count() as u32
    }

    /// Returns the highest end of which it and all before are in the store.
    pub(crate) fn recorded_end(&self) -> u64 {
        self.unrecorded
            .first_key_value()
            .map_or(self.seen_end, |(number, _)| number - 1)
    }
}
