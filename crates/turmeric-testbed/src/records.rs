//! What the stand-ins really did, and the invariants that must hold of it.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Deserialize;
use turmeric_types::{TaskId, WallTime};

use crate::LoadClient;

/// What an endpoint ran.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct EndpointRecord {
    /// Times each key ran.
    pub runs: BTreeMap<String, u64>,
    /// Requests that ran, also those without a key.
    pub total: u64,
}

/// A time in which a task attempt used a worker.
#[derive(Clone, Debug, Deserialize)]
pub struct RunInterval {
    /// The task.
    pub task: TaskId,
    /// The attempt.
    pub attempt: u32,
    /// Work that was done when the interval began, in milliseconds.
    pub resumed_from_millis: u64,
    /// When it began.
    pub started_at: WallTime,
    /// When it ended; absent while it lasts.
    pub ended_at: Option<WallTime>,
    /// Whether it begins with a start, not with a renewed lease.
    pub is_start: bool,
}

/// What a worker ran.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct WorkerRecord {
    /// All times in which attempts used the worker.
    pub intervals: Vec<RunInterval>,
    /// Times at which tasks held more than the VM has.
    pub overcommitted: u64,
    /// Starts that were refused as late or old.
    pub refused_starts: u64,
    /// Attempts that succeeded.
    pub succeeded: u64,
    /// Attempts that were checkpointed and stopped.
    pub evicted: u64,
    /// Times at which an attempt stood still because its lease lapsed.
    pub suspended: u64,
}

/// The records of all stand-ins.
#[derive(Clone, Debug, Default)]
pub struct StandinRecords {
    /// One record an endpoint.
    pub endpoints: Vec<EndpointRecord>,
    /// One record a worker.
    pub workers: Vec<WorkerRecord>,
}

impl StandinRecords {
    /// Reads the records of all stand-ins; one that is gone has none.
    pub async fn read(
        client: &LoadClient,
        endpoints: &[SocketAddr],
        workers: &[SocketAddr],
    ) -> Self {
        let mut records = Self::default();
        for address in endpoints {
            let record = client.get_json(*address, "/control").await;
            records.endpoints.push(record.unwrap_or_default());
        }
        for address in workers {
            let record = client.get_json(*address, "/control").await;
            records.workers.push(record.unwrap_or_default());
        }
        records
    }

    /// Returns how often a key ran on all endpoints together.
    pub fn runs_of(&self, key: &str) -> u64 {
        self.endpoints
            .iter()
            .filter_map(|endpoint| endpoint.runs.get(key))
            .sum()
    }

    /// Returns the keys that ran more than once.
    pub fn repeated_keys(&self) -> Vec<String> {
        let mut totals: BTreeMap<&str, u64> = BTreeMap::new();
        for endpoint in &self.endpoints {
            for (key, runs) in &endpoint.runs {
                *totals.entry(key).or_default() += runs;
            }
        }
        totals
            .into_iter()
            .filter(|(_, runs)| *runs > 1)
            .map(|(key, _)| key.to_owned())
            .collect()
    }

    /// Returns the tasks that ran in two places at one time.
    pub fn overlapping_tasks(&self) -> Vec<TaskId> {
        let mut by_task: BTreeMap<TaskId, Vec<&RunInterval>> = BTreeMap::new();
        for worker in &self.workers {
            for interval in &worker.intervals {
                by_task.entry(interval.task).or_default().push(interval);
            }
        }
        by_task
            .into_iter()
            .filter(|(_, intervals)| has_overlap(intervals))
            .map(|(task, _)| task)
            .collect()
    }

    /// Returns how many attempts of all tasks ended with success.
    pub fn succeeded(&self) -> u64 {
        self.workers.iter().map(|worker| worker.succeeded).sum()
    }

    /// Checks what must hold of every run.
    ///
    /// # Panics
    ///
    /// Panics with the promise that was broken.
    pub fn assert_invariants(&self) {
        assert_eq!(self.overcommitted(), 0, "a VM was given more than it has");
        for task in self.overlapping_tasks() {
            for (number, worker) in self.workers.iter().enumerate() {
                for interval in worker.intervals.iter().filter(|one| one.task == task) {
                    eprintln!("worker {number}: {interval:?}");
                }
            }
        }
        assert_eq!(self.overlapping_tasks(), [], "a task ran in two places");
        assert_eq!(self.repeated_starts(), [], "an attempt started twice");
        let repeated = self.repeated_keys();
        assert!(repeated.is_empty(), "keys ran more than once: {repeated:?}");
    }

    /// Returns the attempts that started more than once.
    pub fn repeated_starts(&self) -> Vec<(TaskId, u32)> {
        let mut starts: BTreeMap<(TaskId, u32), u32> = BTreeMap::new();
        for worker in &self.workers {
            for interval in worker.intervals.iter().filter(|interval| interval.is_start) {
                *starts.entry((interval.task, interval.attempt)).or_default() += 1;
            }
        }
        starts
            .into_iter()
            .filter(|(_, count)| *count > 1)
            .map(|(start, _)| start)
            .collect()
    }

    /// Returns how often an attempt began from a checkpoint.
    pub fn resumed(&self) -> usize {
        self.workers
            .iter()
            .flat_map(|worker| &worker.intervals)
            .filter(|interval| interval.is_start && interval.resumed_from_millis > 0)
            .count()
    }

    /// Returns how often any VM was given more than it has.
    pub fn overcommitted(&self) -> u64 {
        self.workers.iter().map(|worker| worker.overcommitted).sum()
    }
}

fn has_overlap(intervals: &[&RunInterval]) -> bool {
    let mut spans: Vec<(WallTime, WallTime)> = intervals
        .iter()
        .map(|interval| {
            let end = interval.ended_at.unwrap_or(WallTime::from_millis(u64::MAX));
            (interval.started_at, end)
        })
        .collect();
    spans.sort_unstable();
    spans.windows(2).any(|pair| pair[1].0 < pair[0].1)
}
