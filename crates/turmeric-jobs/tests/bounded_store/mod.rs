//! A store that refuses for good what exceeds its limits, and a leader that writes to it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use turmeric_jobs::{
    AttemptKey, AttemptStatus, CommitPlan, EndpointIncarnation, EndpointInfo, JobCode,
    JobScheduler, JobSpec, LeaderTimeouts, LeaseLimits, QueuePolicy, RowOwner, StepSpec, VmReport,
};
use turmeric_schema::{Message, v1};
use turmeric_types::{AcceleratorCount, CoreCount, MemorySize, MonoTime, ResourceSet, WallTime};

/// Most bytes of the text of a value, in base64.
pub const ROW_BYTES: usize = 65_536;

/// Most bytes of a call.
pub const CALL_BYTES: usize = 1_000_000;

/// Most rows that a call names.
pub const CALL_ROWS: usize = 100;

/// Bytes of a call for each row, beside its value.
const NAME_BYTES: usize = 200;

pub fn resources(millicores: u64) -> ResourceSet {
    ResourceSet::new(
        CoreCount::from_millicores(millicores),
        MemorySize::new(millicores << 20),
        AcceleratorCount::new(0),
    )
}

/// Returns a job of one step; each task needs a hundredth of a core.
pub fn spec(count: u32) -> JobSpec {
    JobSpec {
        queue: QueuePolicy {
            route: "scan".to_owned(),
            service: "s".to_owned(),
            attempt_limit: 4,
            ..QueuePolicy::default()
        },
        accepted_at: WallTime::from_millis(10_000),
        text: String::new(),
        steps: vec![StepSpec {
            count,
            need: resources(10),
            estimate: Duration::from_secs(4),
            checkpoints: true,
            ..StepSpec::default()
        }],
        repeat: None,
    }
}

/// Returns a job of one long-running task.
#[allow(dead_code, reason = "other tests have finite tasks only")]
pub fn long_running_spec() -> JobSpec {
    let mut spec = spec(1);
    spec.steps[0].is_long_running = true;
    spec
}

/// Rows of the store.
#[derive(Default)]
pub struct BoundedStore {
    pub progress: BTreeMap<String, Vec<u8>>,
    pub specs: BTreeMap<JobCode, JobSpec>,
    pub headroom: Option<Vec<u8>>,
    /// Owners whose rows it refuses, whatever they hold.
    pub refused: BTreeSet<RowOwner>,
}

impl BoundedStore {
    /// Returns why a transaction is refused for good.
    fn refusal(&self, plan: &CommitPlan) -> Option<String> {
        let values = plan.progress.iter().map(|(_, value)| value);
        let values = values.chain(plan.parts.iter().map(|(_, _, value)| value));
        let values = values.chain([&plan.leader_row]).chain(&plan.headroom);
        let texts: Vec<usize> = values.map(|value| value.len().div_ceil(3) * 4).collect();
        let removed = plan.forgotten.len() * 3 + plan.forgotten_parts.len();
        let rows = 1 + texts.len() + removed;
        let bytes = texts.iter().sum::<usize>() + rows * NAME_BYTES;
        let owners = plan.owners();
        if let Some(owner) = owners.iter().find(|owner| self.refused.contains(owner)) {
            return Some(format!("{owner} is refused"));
        }
        if let Some(row) = texts.iter().find(|row| **row > ROW_BYTES) {
            return Some(format!("a row has {row} bytes"));
        }
        if rows > CALL_ROWS {
            return Some(format!("a call has {rows} rows"));
        }
        (bytes > CALL_BYTES).then(|| format!("a call has {bytes} bytes"))
    }

    /// Applies a transaction.
    ///
    /// # Errors
    ///
    /// Returns why it is refused for good.
    pub fn apply(&mut self, plan: &CommitPlan) -> Result<(), String> {
        if let Some(reason) = self.refusal(plan) {
            return Err(reason);
        }
        for (code, value) in &plan.progress {
            self.progress.insert(code.to_string(), value.clone());
        }
        for (code, part, value) in &plan.parts {
            self.progress
                .insert(format!("{code}-{part}"), value.clone());
        }
        for code in &plan.forgotten {
            self.progress.remove(&code.to_string());
            self.specs.remove(code);
        }
        for (code, part) in &plan.forgotten_parts {
            self.progress.remove(&format!("{code}-{part}"));
        }
        if let Some(value) = &plan.headroom {
            self.headroom = Some(value.clone());
        }
        Ok(())
    }

    /// Restores all progress in a leader that knows the jobs.
    pub fn restore(&self, leader: &mut JobScheduler) {
        for (key, value) in &self.progress {
            let progress = v1::JobProgress::decode(value.as_slice()).unwrap();
            match key.split_once('-') {
                None => leader.restore_job(key.parse().unwrap(), progress),
                Some((code, part)) => {
                    let part = part.parse().unwrap();
                    leader.restore_part(code.parse().unwrap(), part, progress);
                }
            }
        }
    }
}

/// A leader with its store.
pub struct LeaderBed {
    pub leader: JobScheduler,
    pub store: BoundedStore,
    pub now: MonoTime,
    epoch: u64,
}

fn new_leader(epoch: u64, now: MonoTime) -> JobScheduler {
    let timeouts = LeaderTimeouts {
        lease: LeaseLimits::new(Duration::from_secs(5)),
        renewal_window: Duration::from_secs(5),
        retention: Duration::from_secs(100),
    };
    JobScheduler::new(timeouts, epoch, "e".to_owned(), String::new(), now)
}

impl LeaderBed {
    pub fn new() -> Self {
        let now = MonoTime::from_millis(10_000);
        Self {
            leader: new_leader(1, now),
            store: BoundedStore::default(),
            now,
            epoch: 1,
        }
    }

    pub fn wall(&self) -> WallTime {
        WallTime::from_millis(self.now.as_millis())
    }

    pub fn submit(&mut self, number: u64, spec: JobSpec) -> JobCode {
        let code = JobCode::new(number);
        let wall = self.wall();
        self.store.specs.insert(code, spec.clone());
        self.leader.add_job(code, spec, wall);
        code
    }

    /// Replaces the leader by one that reads the store.
    pub fn take_over(&mut self) {
        self.epoch += 1;
        self.leader = new_leader(self.epoch, self.now);
        let wall = self.wall();
        for (code, spec) in &self.store.specs {
            self.leader.add_job(*code, spec.clone(), wall);
        }
        self.store.restore(&mut self.leader);
    }

    /// Returns the report of an agent whose worker runs these attempts.
    pub fn report(&self, incarnation: u64, attempts: Vec<AttemptStatus>) -> VmReport {
        VmReport {
            vm: "side-morava-a-1".to_owned(),
            zone: "morava-a".to_owned(),
            epoch: self.epoch,
            stamp_millis: self.now.as_millis(),
            endpoint_info: Some(EndpointInfo {
                incarnation: EndpointIncarnation {
                    endpoint: "i-7f3a91c2".to_owned(),
                    started_at_millis: 1_790_000_000_000 + incarnation,
                },
                service: "s".to_owned(),
                is_draining: false,
                capacity: resources(64_000),
                labels: Vec::new(),
            }),
            is_synced: true,
            attempts,
            ..VmReport::default()
        }
    }

    pub fn handle(&mut self, report: VmReport) {
        let (now, wall) = (self.now, self.wall());
        self.leader.handle_report(report, now, wall);
    }

    /// Places tasks, and returns the attempts that are running then.
    pub fn place(&mut self) -> Vec<AttemptKey> {
        let (now, wall) = (self.now, self.wall());
        self.leader.place(now, wall);
        let jobs = self
            .store
            .specs
            .keys()
            .filter_map(|code| self.leader.job(*code));
        let tasks = jobs.flat_map(|job| &job.tasks);
        let placed = tasks.filter(|(_, state)| state.location.is_some());
        placed
            .map(|(task, state)| AttemptKey {
                task: *task,
                attempt: state.attempt,
            })
            .collect()
    }

    /// Orders the agent to start all that is recorded.
    pub fn order_all(&mut self) {
        while self
            .leader
            .take_pending_updates()
            .contains("side-morava-a-1")
        {
            self.leader.orders("side-morava-a-1", self.now).unwrap();
        }
    }

    /// Offers the store one write, if one is due after this time.
    ///
    /// # Errors
    ///
    /// Returns the owner at fault if the store refuses the write, once it is known.
    pub fn write(&mut self, millis: u64) -> Result<Option<CommitPlan>, Option<RowOwner>> {
        self.now = self.now.after(Duration::from_millis(millis));
        let (now, wall) = (self.now, self.wall());
        let Some(plan) = self.leader.begin_commit(now, wall) else {
            return Ok(None);
        };
        match self.store.apply(&plan) {
            Ok(()) => {
                self.leader.commit_done(&plan, now);
                Ok(Some(plan))
            }
            Err(_) => Err(self.leader.commit_refused(&plan, now)),
        }
    }

    /// Writes all that is due, none of which may be refused.
    pub fn write_all(&mut self) {
        for _ in 0..100 {
            let plan = self.write(1000).expect("a write was refused").unwrap();
            let is_idle = plan.progress.is_empty() && plan.parts.is_empty();
            if is_idle && plan.forgotten.is_empty() {
                return;
            }
        }
        panic!("the leader writes without end");
    }
}
