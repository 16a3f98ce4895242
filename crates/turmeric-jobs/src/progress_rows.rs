//! Divides the progress of a job into rows that the store accepts.
//!
//! Nearly all jobs need one row. Load pattern: a job of hundreds of tasks with checkpoints loses
//! all of its VMs, and each task has a place, crashes and a checkpoint to record. What decides
//! which tasks run, and where, is then written in one transaction, over several rows if need be.
//! Checkpoints, which may take more than a transaction, have rows of their own, which are written
//! before.

use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;

use turmeric_schema::{Message, v1};
use turmeric_types::WallTime;

use crate::{AttemptNumber, JobState, NameError, StoreBounds, TaskName, TaskState};

/// Number of tasks whose checkpoints share a row: eight of the longest fit.
const GROUP_SIZE: usize = 8;

/// Most bytes of a row beside its tasks.
const HEAD_OVERHEAD: usize = 48;

/// Most bytes that the encoding of a task adds to a row beside those of the task itself.
const TASK_OVERHEAD: usize = 6;

/// A further row with progress of a job, beside the first one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ProgressPart {
    /// Tasks that the first row has no room for; numbered from 1.
    Tasks(u32),
    /// Checkpoints of a group of tasks; numbered from 0.
    Checkpoints(u32),
}

impl fmt::Display for ProgressPart {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Tasks(number) => write!(formatter, "t{number}"),
            Self::Checkpoints(number) => write!(formatter, "c{number}"),
        }
    }
}

impl FromStr for ProgressPart {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self, NameError> {
        let read = |prefix| text.strip_prefix(prefix)?.parse::<u32>().ok();
        let tasks = read('t').map(Self::Tasks);
        let part = tasks.or_else(|| read('c').map(Self::Checkpoints));
        part.ok_or_else(|| {
            let expected = "a letter and a number; for example t1 or c0";
            NameError::new(text, expected)
        })
    }
}

/// Which further rows the store may hold for a job.
#[derive(Clone, Debug, Default)]
pub(crate) struct ProgressRows {
    /// Largest number of rows with further tasks so far.
    task_rows: u32,
    /// Groups of tasks that have a row with checkpoints.
    checkpoint_rows: BTreeSet<u32>,
    /// Groups of tasks whose current checkpoints no such row holds.
    unsaved: BTreeSet<u32>,
    /// Rows with further tasks that belong to the first row, as restored.
    valid_task_rows: u32,
    /// Rows with checkpoints belong to the first row, as restored.
    has_valid_checkpoints: bool,
}

impl ProgressRows {
    /// Returns all further rows that the store may hold.
    pub(crate) fn parts(&self) -> Vec<ProgressPart> {
        let tasks = (1..=self.task_rows).map(ProgressPart::Tasks);
        let checkpoints = self.checkpoint_rows.iter().copied();
        tasks
            .chain(checkpoints.map(ProgressPart::Checkpoints))
            .collect()
    }
}

/// Room that is left in a transaction.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WriteRoom {
    pub(crate) bytes: usize,
    pub(crate) rows: usize,
    /// Most bytes of one row.
    pub(crate) row_bytes: usize,
    /// Nothing was taken yet.
    is_whole: bool,
}

impl WriteRoom {
    /// Returns the room of a transaction, without some rows.
    pub(crate) fn new(bounds: &StoreBounds, own_rows: usize) -> Self {
        Self {
            bytes: bounds.transaction_bytes,
            rows: bounds.transaction_rows.saturating_sub(own_rows),
            row_bytes: bounds.value_bytes,
            is_whole: true,
        }
    }

    /// Takes room for a row; returns whether there is enough.
    pub(crate) fn take(&mut self, bytes: usize) -> bool {
        let fits = self.rows > 0 && bytes <= self.bytes;
        if fits {
            self.rows -= 1;
            self.bytes -= bytes;
            self.is_whole = false;
        }
        fits
    }
}

/// Rows of a job's progress for one transaction.
#[derive(Debug, Default)]
pub(crate) struct ProgressWrite {
    /// The first row; [`None`] until all rows that belong before it are written.
    pub(crate) first: Option<Vec<u8>>,
    /// Further rows.
    pub(crate) parts: Vec<(ProgressPart, Vec<u8>)>,
}

impl JobState {
    /// Records a checkpoint of a task.
    pub(crate) fn save_checkpoint(&mut self, task: &TaskName, checkpoint: &str) {
        let Some(state) = self.tasks.get_mut(task) else {
            return;
        };
        if state.checkpoint != checkpoint {
            checkpoint.clone_into(&mut state.checkpoint);
            let group = self.group_of(task);
            self.rows.unsaved.insert(group);
        }
    }

    /// Drops the checkpoints of tasks that never run again.
    pub(crate) fn drop_checkpoints(&mut self) {
        let has_ended = self.phase.is_terminal();
        for state in self.tasks.values_mut() {
            if has_ended || state.is_done {
                state.checkpoint = String::new();
            }
        }
    }

    /// Returns the group of tasks that share a row with checkpoints.
    fn group_of(&self, task: &TaskName) -> u32 {
        let counts = || self.spec.steps.iter().map(|step| step.count as usize);
        let earlier: usize = counts().take(task.step as usize).sum();
        let all: usize = counts().sum();
        let position = task.occurrence as usize * all + earlier + task.index as usize;
        (position / GROUP_SIZE) as u32
    }

    /// Encodes what is to be written next, as far as there is room. The first row is part of it
    /// once nothing has to be written before it.
    pub(crate) fn write_rows(&mut self, room: &mut WriteRoom) -> ProgressWrite {
        let mut rows = self.divide_tasks(room.row_bytes);
        let has_all_checkpoints = self.add_checkpoints(&mut rows, room.row_bytes);
        let mut write = ProgressWrite::default();
        if !has_all_checkpoints {
            for group in self.rows.unsaved.clone() {
                let Some(value) = self.write_group(group, room.row_bytes) else {
                    self.rows.unsaved.remove(&group);
                    continue;
                };
                if !room.take(value.len()) {
                    return write;
                }
                self.rows.unsaved.remove(&group);
                self.rows.checkpoint_rows.insert(group);
                write.parts.push((ProgressPart::Checkpoints(group), value));
            }
        }
        self.write_first(rows, room, write)
    }

    /// Adds the first row and those with further tasks if there is room for all of them.
    fn write_first(
        &mut self,
        rows: Vec<Vec<v1::TaskProgress>>,
        room: &mut WriteRoom,
        mut write: ProgressWrite,
    ) -> ProgressWrite {
        let task_rows = rows.len().saturating_sub(1) as u32;
        let mut rows = rows.into_iter();
        let first = v1::JobProgress {
            phase: self.phase.write(),
            ended_at: self.ended_at.map_or(0, WallTime::as_millis),
            tasks: rows.next().unwrap_or_default(),
            task_rows,
            checkpoint_rows: !self.rows.checkpoint_rows.is_empty(),
        };
        let first = first.encode_to_vec();
        let further: Vec<Vec<u8>> = rows.map(write_tasks).collect();
        let mut left = *room;
        let fits = further.iter().all(|value| left.take(value.len())) && left.take(first.len());
        // The store refuses what never fits, and the row at fault is then known.
        if !fits && !room.is_whole {
            return write;
        }
        *room = left;
        self.rows.task_rows = self.rows.task_rows.max(task_rows);
        let numbers = (1..).map(ProgressPart::Tasks);
        write.parts.extend(numbers.zip(further));
        write.first = Some(first);
        write
    }

    /// Divides the tasks, without their checkpoints, into rows of at most `limit` bytes.
    fn divide_tasks(&self, limit: usize) -> Vec<Vec<v1::TaskProgress>> {
        let changed = self
            .tasks
            .iter()
            .filter(|(_, state)| **state != TaskState::default());
        let mut rows = vec![Vec::new()];
        let mut bytes = HEAD_OVERHEAD;
        for (name, state) in changed {
            let task = write_task(name, state);
            let size = task.encoded_len() + TASK_OVERHEAD;
            if bytes + size > limit && rows.last().is_some_and(|row| !row.is_empty()) {
                rows.push(Vec::new());
                bytes = HEAD_OVERHEAD;
            }
            bytes += size;
            if let Some(row) = rows.last_mut() {
                row.push(task);
            }
        }
        rows
    }

    /// Adds all checkpoints that no other row holds to the first row; adds none if they do not fit.
    ///
    /// Returns whether nothing is left for other rows.
    fn add_checkpoints(&self, rows: &mut [Vec<v1::TaskProgress>], limit: usize) -> bool {
        if self.rows.unsaved.is_empty() {
            return true;
        }
        let [first] = rows else {
            return false;
        };
        let mut bytes = HEAD_OVERHEAD;
        for task in first.iter_mut() {
            let name = self.name_of(task);
            if let Some(state) = self.tasks.get(&name)
                && !state.checkpoint.is_empty()
                && self.rows.unsaved.contains(&self.group_of(&name))
            {
                task.checkpoint.clone_from(&state.checkpoint);
            }
            bytes += task.encoded_len() + TASK_OVERHEAD;
        }
        if bytes > limit {
            for task in first {
                task.checkpoint = String::new();
            }
        }
        bytes <= limit
    }

    /// Encodes the checkpoints of a group of tasks; returns [`None`] if there are none to write.
    /// Checkpoints that do not fit the row are left out; their tasks start over.
    fn write_group(&self, group: u32, limit: usize) -> Option<Vec<u8>> {
        let members = self
            .tasks
            .iter()
            .skip(group as usize * GROUP_SIZE)
            .take(GROUP_SIZE)
            .filter(|(_, state)| !state.checkpoint.is_empty());
        let mut bytes = HEAD_OVERHEAD;
        let tasks: Vec<v1::TaskProgress> = members
            .map(|(name, state)| v1::TaskProgress {
                occurrence: name.occurrence,
                step: name.step,
                index: name.index,
                checkpoint: state.checkpoint.clone(),
                ..v1::TaskProgress::default()
            })
            .filter(|task| {
                let size = task.encoded_len() + TASK_OVERHEAD;
                let fits = bytes + size <= limit;
                bytes += if fits { size } else { 0 };
                fits
            })
            .collect();
        let is_due = !tasks.is_empty() || self.rows.checkpoint_rows.contains(&group);
        is_due.then(|| write_tasks(tasks))
    }

    /// Writes all checkpoints again, because a write of some was refused.
    pub(crate) fn mark_unsaved(&mut self) {
        let groups = self.tasks.len().div_ceil(GROUP_SIZE) as u32;
        self.rows.unsaved = (0..groups).collect();
    }

    /// Restores which further rows belong to the first one.
    pub(crate) fn restore_rows(&mut self, progress: &v1::JobProgress) {
        self.rows.valid_task_rows = progress.task_rows;
        self.rows.has_valid_checkpoints = progress.checkpoint_rows;
    }

    /// Restores a further row, after the first one.
    ///
    /// An earlier version of the leader writes the first row without regard to further ones,
    /// which then no longer belong to it.
    pub fn restore_part(&mut self, part: ProgressPart, progress: v1::JobProgress) {
        match part {
            ProgressPart::Tasks(number) => {
                self.rows.task_rows = self.rows.task_rows.max(number);
                if number <= self.rows.valid_task_rows {
                    self.restore_tasks(progress.tasks);
                }
            }
            ProgressPart::Checkpoints(group) => {
                self.rows.checkpoint_rows.insert(group);
                if !self.rows.has_valid_checkpoints {
                    self.rows.unsaved.insert(group);
                    return;
                }
                for task in progress.tasks {
                    let name = self.name_of(&task);
                    let state = self.tasks.get_mut(&name);
                    let state = state.filter(|state| !state.is_done && state.checkpoint.is_empty());
                    if let Some(state) = state {
                        state.checkpoint = task.checkpoint;
                    }
                }
            }
        }
    }
}

fn write_tasks(tasks: Vec<v1::TaskProgress>) -> Vec<u8> {
    let row = v1::JobProgress {
        tasks,
        ..v1::JobProgress::default()
    };
    row.encode_to_vec()
}

/// Encodes what is recorded of a task, without its checkpoint.
fn write_task(name: &TaskName, state: &TaskState) -> v1::TaskProgress {
    let location = state.location.clone();
    let (vm, incarnation) = location
        .map(|location| (location.vm, location.incarnation))
        .unwrap_or_default();
    let numbers =
        |attempts: &BTreeSet<AttemptNumber>| attempts.iter().map(|attempt| attempt.get()).collect();
    v1::TaskProgress {
        occurrence: name.occurrence,
        step: name.step,
        index: name.index,
        done: state.is_done,
        run: state.attempt.get(),
        failed_runs: numbers(&state.failed_attempts),
        crashed_runs: numbers(&state.crashes.attempts),
        uncertain_runs: numbers(&state.crashes.uncertain),
        suspect: state.crashes.is_suspect,
        checkpoint: String::new(),
        vm,
        endpoint: incarnation.endpoint,
        born: incarnation.started_at_millis,
    }
}
