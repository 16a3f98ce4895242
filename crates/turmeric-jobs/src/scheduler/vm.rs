//! The state of one VM as the leader knows it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use turmeric_types::{CoreCount, MonoTime, ResourceSet};

use super::moves::AT_WORK_PERCENT;
use super::suspicion::VmSuspicion;
use super::turns::NextSuspect;
use crate::{
    AttemptKey, AttemptLocation, AttemptStatus, EndpointIncarnation, EndpointInfo, HeadroomTable,
    JobCode, ServingHeadroom, StepSpec, TaskName, VmCapacity,
};

/// No task is placed on a VM whose agent has sent no report for this long; agents report
/// every 400 ms.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1500);

/// Most ends that may wait behind one whose effect the store refuses to record. A worker lists
/// 500 ends at a time, and later ones would be missed.
const REFUSED_END_LIMIT: u64 = 400;

/// A best-effort task that runs at less than this share of its full speed, in percent, may be
/// moved to another VM.
const SLOW_PACE_PERCENT: u32 = 50;

/// An attempt that may be using capacity of a VM.
#[derive(Clone, Debug)]
pub(crate) struct VmAttempt {
    pub(crate) location: AttemptLocation,
    pub(crate) reserved: ResourceSet,
    pub(crate) is_serving: bool,
    pub(crate) is_best_effort: bool,
    pub(crate) is_long_running: bool,
    /// Processors that the task requests.
    pub(crate) cores: CoreCount,
    pub(crate) image: String,
    /// Revision of the job that first includes the attempt.
    pub(crate) revision: u64,
    /// Its task may have crashed another endpoint.
    pub(crate) is_suspect: bool,
    /// The attempt is to stop, so that its task resumes on another VM.
    pub(crate) is_evicted: bool,
    /// When the order to start it was first sent.
    pub(crate) first_sent_at: Option<MonoTime>,
    /// When the order to start it was last sent.
    pub(crate) sent_at: Option<MonoTime>,
    /// Sequence number of the first orders that left the attempt out as no longer wanted.
    pub(crate) dropped_in: Option<u64>,
    /// When this leader placed it on the VM.
    pub(crate) placed_at: MonoTime,
    /// The last report that listed it says that it is known to run.
    pub(crate) is_confirmed: bool,
    /// When a report first said so.
    pub(crate) confirmed_since: Option<MonoTime>,
    /// Share of its work that is done, in percent.
    pub(crate) percent: u32,
    /// Share of its full speed at which it has run since the last report, in percent.
    pace: u32,
    /// When a report last listed it.
    listed_at: Option<MonoTime>,
    /// Since when reports neither list it nor its end, although an earlier one listed it or an
    /// earlier leader placed it.
    pub(crate) unlisted_since: Option<MonoTime>,
    /// Time worked since `percent` last rose, scaled to full speed.
    worked: Duration,
    /// Since when it has run at less than half of its full speed.
    pub(crate) slowed_since: Option<MonoTime>,
    /// When `percent` last changed; the default until the attempt is placed or listed.
    pub(crate) progressed_at: MonoTime,
    /// Its newest checkpoint; empty if there is none.
    pub(crate) checkpoint: String,
    /// When a report first listed that checkpoint.
    pub(crate) checkpointed_at: Option<MonoTime>,
}

impl VmAttempt {
    /// Creates an attempt that the store already knows of.
    pub(crate) fn new(location: AttemptLocation, step: &StepSpec) -> Self {
        Self {
            location,
            reserved: step.reserved(),
            is_serving: step.latency_target_millis.is_some(),
            is_best_effort: step.is_best_effort,
            is_long_running: step.is_long_running,
            cores: step.need.cores,
            image: step.image.clone().unwrap_or_default(),
            revision: 0,
            is_suspect: false,
            is_evicted: false,
            first_sent_at: None,
            sent_at: None,
            dropped_in: None,
            placed_at: MonoTime::default(),
            is_confirmed: false,
            confirmed_since: None,
            percent: 0,
            pace: 100,
            listed_at: None,
            unlisted_since: None,
            worked: Duration::ZERO,
            slowed_since: None,
            progressed_at: MonoTime::default(),
            checkpoint: String::new(),
            checkpointed_at: None,
        }
    }

    /// Returns whether this leader placed the attempt and has never ordered it, and no report has
    /// listed it.
    pub(crate) fn is_unsent(&self) -> bool {
        self.placed_at != MonoTime::default()
            && self.first_sent_at.is_none()
            && self.listed_at.is_none()
    }

    /// Records the status that a report lists for the attempt.
    ///
    /// Returns the time worked, scaled to full speed, and the progress in percent since the
    /// last progress, if there was any.
    pub(crate) fn record_status(
        &mut self,
        status: &AttemptStatus,
        now: MonoTime,
    ) -> Option<(Duration, u32)> {
        let progress = self.record_progress(status, now);
        self.unlisted_since = None;
        self.is_confirmed = status.is_confirmed;
        if status.is_confirmed {
            self.confirmed_since.get_or_insert(now);
        }
        if status.percent != self.percent || self.progressed_at == MonoTime::default() {
            self.percent = status.percent;
            self.progressed_at = now;
        }
        self.slowed_since = if status.pace < SLOW_PACE_PERCENT {
            self.slowed_since.or(Some(now))
        } else {
            None
        };
        if !status.checkpoint.is_empty() && status.checkpoint != self.checkpoint {
            self.checkpointed_at = Some(now);
            self.checkpoint.clone_from(&status.checkpoint);
        }
        progress
    }
}

impl VmAttempt {
    /// Records that a complete report lacks the attempt.
    pub(crate) fn record_unlisted(&mut self, now: MonoTime) {
        if self.listed_at.is_some() || self.placed_at == MonoTime::default() {
            self.unlisted_since.get_or_insert(now);
        }
    }

    /// Returns whether the last report says that it runs.
    pub(crate) fn is_known_to_run(&self) -> bool {
        self.is_confirmed && self.unlisted_since.is_none()
    }

    /// Returns whether an earlier leader placed it, and no report has told this one about it.
    pub(crate) fn is_untold(&self) -> bool {
        self.placed_at == MonoTime::default()
            && self.listed_at.is_none()
            && self.unlisted_since.is_none()
    }

    /// Returns whether it is known to run and, if it is long-running, to have started up.
    pub(crate) fn is_at_work(&self) -> bool {
        self.is_confirmed && self.percent == AT_WORK_PERCENT
    }

    /// Returns for how long it has been known to run.
    pub(crate) fn run_time(&self, now: MonoTime) -> Duration {
        self.confirmed_since
            .map_or(Duration::ZERO, |since| now.since(since))
    }

    fn record_progress(
        &mut self,
        status: &AttemptStatus,
        now: MonoTime,
    ) -> Option<(Duration, u32)> {
        let listed_at = self.listed_at.replace(now);
        let pace = std::mem::replace(&mut self.pace, status.pace);
        self.worked += now.since(listed_at?) * pace / 100;
        let percent = status.percent.saturating_sub(self.percent);
        if percent == 0 {
            return None;
        }
        let worked = std::mem::take(&mut self.worked);
        // The time until the first progress includes the start of the task.
        (self.percent > 0).then_some((worked, percent))
    }
}

/// The state of one VM as the leader knows it.
#[derive(Debug)]
pub(crate) struct VmState {
    pub(crate) zone: String,
    pub(crate) info: Option<EndpointInfo>,
    /// The last incarnation of which the agent reported that it crashed.
    pub(crate) last_crash: Option<EndpointIncarnation>,
    /// The endpoint's earlier incarnation was draining when it was last heard of.
    pub(crate) was_draining: bool,
    /// The agent knows this leader and is synchronized with the endpoint's current
    /// incarnation under the agent's own fencing token.
    pub(crate) is_ready: bool,
    /// Since when the VM has been ready and reachable without a break.
    pub(crate) answering_since: MonoTime,
    /// When the agent first reported that the worker does not answer; [`None`] if it does.
    pub(crate) unresponsive_since: Option<MonoTime>,
    /// Number of the connection over which the agent's last report arrived.
    pub(crate) link: u64,
    /// When the agent's last report arrived.
    pub(crate) reported_at: MonoTime,
    /// The agent's clock in its last report, in milliseconds, if the agent had fenced the worker.
    pub(crate) stamp_millis: Option<u64>,
    /// The same if a lease counts from that report.
    pub(crate) lease_stamp_millis: Option<u64>,
    /// When all leases on the VM that this leader knows of have expired.
    pub(crate) leases_end_at: MonoTime,
    /// The same for those that an earlier leader may have granted, as long as the agent does not
    /// know this leader.
    pub(crate) earlier_leases_end_at: MonoTime,
    /// When this leader last granted a lease, if it has granted any.
    pub(crate) granted_at: Option<MonoTime>,
    /// When the leases have expired that agents have stated or this leader has granted in the
    /// endpoint's current incarnation; [`None`] while earlier ones are not known.
    pub(crate) granted_end: Option<MonoTime>,
    /// How long a lease that the agent renews may last; [`None`] before its first report.
    pub(crate) renewable_wait: Option<Duration>,
    /// The agent knows this leader, so no other leader renews its leases.
    pub(crate) knows_leader: bool,
    /// Attempts that may be running on the VM.
    pub(crate) attempts: BTreeMap<AttemptKey, VmAttempt>,
    /// Attempts whose leases expired since the VM last reported.
    pub(crate) expired: Vec<(AttemptKey, VmAttempt)>,
    /// The last report may lack ends.
    pub(crate) has_more_ends: bool,
    /// Attempts that the last report listed.
    pub(crate) listed: BTreeSet<AttemptKey>,
    /// Those of them whose loads the agent does not know.
    pub(crate) unplanned: Vec<AttemptKey>,
    /// Ends whose effect the store does not hold yet, by number, with the job and its revision
    /// that includes the effect.
    pub(crate) unrecorded_ends: BTreeMap<u64, (JobCode, u64)>,
    /// Number of the last end that was applied.
    pub(crate) last_end: u64,
    /// Number of the last headroom measurement that was applied.
    pub(crate) last_measurement: u64,
    /// Failures on the VM that may be due to the VM.
    pub(crate) suspicion: VmSuspicion,
    /// The last attempt that was placed on the VM may crash it, so that others go before the next
    /// one of this kind.
    pub(crate) yields_turn: bool,
    /// A task that may crash the VM, for which nothing else is placed there until its start.
    pub(crate) next_suspect: Option<NextSuspect>,
}

impl VmState {
    /// Creates the state of a VM on which the leases of earlier leaders end at
    /// `earlier_leases_end_at`.
    pub(crate) fn new(now: MonoTime, earlier_leases_end_at: MonoTime) -> Self {
        Self {
            zone: String::new(),
            info: None,
            last_crash: None,
            was_draining: false,
            is_ready: false,
            answering_since: now,
            unresponsive_since: None,
            link: 0,
            reported_at: now,
            stamp_millis: None,
            lease_stamp_millis: None,
            leases_end_at: now,
            earlier_leases_end_at,
            granted_at: None,
            granted_end: None,
            renewable_wait: None,
            knows_leader: false,
            attempts: BTreeMap::new(),
            expired: Vec::new(),
            has_more_ends: false,
            listed: BTreeSet::new(),
            unplanned: Vec::new(),
            unrecorded_ends: BTreeMap::new(),
            last_end: 0,
            last_measurement: 0,
            suspicion: VmSuspicion::default(),
            yields_turn: false,
            next_suspect: None,
        }
    }

    /// Discards the state that belonged to an earlier incarnation of the endpoint.
    pub(crate) fn begin_incarnation(&mut self, info: EndpointInfo) {
        let earlier = self.info.replace(info);
        self.was_draining = earlier.is_some_and(|earlier| earlier.is_draining);
        self.unrecorded_ends.clear();
        self.last_end = 0;
        self.granted_end = None;
        self.suspicion = VmSuspicion::default();
    }

    /// Returns when all leases on the VM have certainly expired.
    pub(crate) fn all_leases_end_at(&self) -> MonoTime {
        if self.knows_leader {
            self.leases_end_at
        } else {
            self.leases_end_at.max(self.earlier_leases_end_at)
        }
    }

    /// Returns whether a location is in the endpoint's current incarnation.
    pub(crate) fn is_current_incarnation(&self, location: &AttemptLocation) -> bool {
        self.is_incarnation(&location.incarnation)
    }

    /// Returns whether this is the endpoint's current incarnation.
    pub(crate) fn is_incarnation(&self, incarnation: &EndpointIncarnation) -> bool {
        let info = self.info.as_ref();
        info.is_some_and(|info| info.incarnation == *incarnation)
    }

    /// Returns whether the agent reports and its worker answers.
    pub(crate) fn is_reachable(&self, now: MonoTime) -> bool {
        self.unresponsive_since.is_none() && now <= self.reported_at.after(REPORT_TIMEOUT)
    }

    /// Returns the resources that the attempts for which `is_counted` holds do not reserve.
    pub(crate) fn free_resources(
        &self,
        info: &EndpointInfo,
        is_counted: impl Fn(&VmAttempt) -> bool,
    ) -> ResourceSet {
        let counted = self.attempts.values().filter(|attempt| is_counted(attempt));
        counted.fold(info.capacity, |free, attempt| {
            free.saturating_sub(&attempt.reserved)
        })
    }

    /// Returns the VM's free capacity, or [`None`] while no task may be placed on it.
    pub(crate) fn free_capacity(
        &self,
        name: &str,
        table: &HeadroomTable,
        now: MonoTime,
    ) -> Option<VmCapacity> {
        let takes_one_task = self.takes_one_task(now);
        self.capacity(name, table, now).filter(|_| !takes_one_task)
    }

    /// Returns whether no task may be placed on the VM for a moment, because it is suspected to be
    /// faulty, or is about to start a task that may crash it, or has just done so.
    fn takes_one_task(&self, now: MonoTime) -> bool {
        let mut attempts = self.attempts.values();
        attempts.any(|attempt| attempt.is_isolated(now))
            || self.next_suspect.is_some()
            || self.suspicion.is_closed(now)
    }

    /// Returns whether an attempt on the VM would share the blame for a crash now.
    pub(super) fn has_recent_start(&self, now: MonoTime) -> bool {
        self.attempts.values().any(|attempt| attempt.is_recent(now))
    }

    /// Returns the capacity that the VM has free, also while it takes one task at a time, or [`None`]
    /// while its agent or worker takes none.
    pub(crate) fn capacity(
        &self,
        name: &str,
        table: &HeadroomTable,
        now: MonoTime,
    ) -> Option<VmCapacity> {
        let info = self.info.as_ref()?;
        if !self.is_ready || !self.is_reachable(now) || info.is_draining {
            return None;
        }
        let free = self.free_resources(info, |_| true);
        let fillers = self.best_effort_cores();
        Some(VmCapacity {
            vm: name.to_owned(),
            service: info.service.clone(),
            labels: info.labels.clone(),
            rack: info.rack().map(str::to_owned),
            free,
            best_effort_demand: self.sum_cores(|attempt| attempt.is_best_effort),
            serving_reserved: self.sum_cores(|attempt| attempt.is_serving),
            serving_steps: self.serving_headrooms(table, info.capacity.cores, &fillers),
            best_effort_cores: fillers,
            cores: info.capacity.cores,
            serving_tasks: self
                .attempts
                .values()
                .filter(|attempt| attempt.is_serving)
                .count(),
            best_effort_tasks: self
                .attempts
                .values()
                .filter(|attempt| attempt.is_best_effort)
                .count(),
            is_suspect: self.suspicion.is_suspect(now),
            has_recent_start: self.has_recent_start(now),
        })
    }

    /// Returns the headroom that the best-effort tasks leave to each serving step.
    fn serving_headrooms(
        &self,
        table: &HeadroomTable,
        capacity: CoreCount,
        best_effort_cores: &BTreeMap<String, CoreCount>,
    ) -> BTreeMap<TaskName, ServingHeadroom> {
        let mut headrooms = BTreeMap::new();
        for (key, attempt) in self
            .attempts
            .iter()
            .filter(|(_, attempt)| attempt.is_serving)
        {
            let step = key.task.first_of_step();
            headrooms.entry(step).or_insert_with(|| ServingHeadroom {
                image: attempt.image.clone(),
                headroom: table.baseline(&step, &attempt.image)
                    - table.total_interference(best_effort_cores, &attempt.image, capacity),
            });
        }
        headrooms
    }

    /// Returns the processors that the best-effort tasks of each image request.
    fn best_effort_cores(&self) -> BTreeMap<String, CoreCount> {
        let mut totals: BTreeMap<String, CoreCount> = BTreeMap::new();
        for attempt in self
            .attempts
            .values()
            .filter(|attempt| attempt.is_best_effort)
        {
            let cores = totals.entry(attempt.image.clone()).or_default();
            let sum = cores.as_millicores() + attempt.cores.as_millicores();
            *cores = CoreCount::from_millicores(sum);
        }
        totals
    }

    /// Returns the processors that the attempts selected by `is_counted` request.
    fn sum_cores(&self, is_counted: impl Fn(&VmAttempt) -> bool) -> CoreCount {
        let attempts = self.attempts.values().filter(|attempt| is_counted(attempt));
        CoreCount::from_millicores(attempts.map(|attempt| attempt.cores.as_millicores()).sum())
    }

    /// Returns how many attempts of a task's step and occurrence are on the VM.
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
        self.attempts.range(first..=last).count() as u32
    }

    /// Returns the highest end number up to which the store holds the effects of all ends, except
    /// those of jobs whose rows it refuses if they hold back too many others.
    pub(crate) fn recorded_end(&self, is_refused: impl Fn(JobCode) -> bool) -> u64 {
        let first = self.unrecorded_ends.first_key_value();
        let held = first.map_or(0, |(number, _)| self.last_end - number);
        let holds_back = |code: JobCode| held < REFUSED_END_LIMIT || !is_refused(code);
        let mut unrecorded = self.unrecorded_ends.iter();
        unrecorded
            .find(|(_, (code, _))| holds_back(*code))
            .map_or(self.last_end, |(number, _)| number - 1)
    }
}
