//! What was sent, answered and run, in the order in which it happened.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

/// A start of a task by an executor.
#[derive(Clone, Debug)]
pub struct Start {
    pub at_ms: u64,
    pub task: String,
}

pub struct Record {
    started_at: Instant,
    file: Mutex<File>,
    starts: Mutex<Vec<Start>>,
}

impl Record {
    pub fn new(path: &Path) -> std::io::Result<Record> {
        Ok(Record {
            started_at: Instant::now(),
            file: Mutex::new(File::create(path)?),
            starts: Mutex::default(),
        })
    }

    pub fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    pub fn note(&self, line: impl AsRef<str>) {
        let now = self.now_ms();
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = writeln!(file, "{:8.3} {}", now as f64 / 1000.0, line.as_ref());
    }

    pub fn start(&self, task: &str, run: u64, worker: &str) {
        self.note(format!("start {task} run {run} on {worker}"));
        let mut starts = self.starts.lock().unwrap_or_else(PoisonError::into_inner);
        starts.push(Start {
            at_ms: self.now_ms(),
            task: task.to_owned(),
        });
    }

    /// Returns the starts of tasks of a job.
    pub fn starts_of(&self, job: &str) -> Vec<Start> {
        let starts = self.starts.lock().unwrap_or_else(PoisonError::into_inner);
        starts
            .iter()
            .filter(|start| start.task.starts_with(job))
            .cloned()
            .collect()
    }
}
