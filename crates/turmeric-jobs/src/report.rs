//! What an agent tells the leader of its VM, as read from its messages.

use turmeric_schema::v1;
use turmeric_types::{AcceleratorCount, CoreCount, MemorySize, ResourceSet};

use crate::{
    AttemptKey, AttemptNumber, EndpointIncarnation, HeadroomSample, NameError, StepReading,
};

/// How an attempt ended, by the worker's word.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndKind {
    /// The task succeeded.
    Done,
    /// The task failed, by its own fault or the endpoint's.
    Failed,
    /// It was told to stop.
    Stopped,
    /// Its lease lapsed.
    Lapsed,
    /// Another member of its gang ended.
    GangBroken,
    /// It waited too long for the rest of its gang.
    GangIncomplete,
}

impl EndKind {
    /// Returns the number that messages carry.
    pub fn number(self) -> u32 {
        match self {
            Self::Done => 1,
            Self::Failed => 2,
            Self::Stopped => 3,
            Self::Lapsed => 4,
            Self::GangBroken => 5,
            Self::GangIncomplete => 6,
        }
    }

    /// Reads the number of a message; an unknown one counts as stopped, which
    /// neither ends a task nor uses an attempt.
    pub fn from_number(number: u32) -> Self {
        match number {
            1 => Self::Done,
            2 => Self::Failed,
            4 => Self::Lapsed,
            5 => Self::GangBroken,
            6 => Self::GangIncomplete,
            _ => Self::Stopped,
        }
    }
}

/// An attempt that the worker runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptStatus {
    /// The attempt.
    pub key: AttemptKey,
    /// Its newest checkpoint; empty if there is none.
    pub checkpoint: String,
    /// Share of the work done, 0 to 100.
    pub percent: u32,
    /// Share of its speed at which it may work, in percent.
    pub pace: u32,
}

/// An attempt that ended on the worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptEnd {
    /// Number of the end in this life of the endpoint.
    pub number: u64,
    /// The attempt.
    pub key: AttemptKey,
    /// How it ended.
    pub kind: EndKind,
    /// Checkpoint that was saved; empty if there is none.
    pub checkpoint: String,
}

/// What the endpoint says of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EndpointInfo {
    /// Its present life.
    pub incarnation: EndpointIncarnation,
    /// Service that it belongs to.
    pub service: String,
    /// It is about to leave and takes nothing new.
    pub is_draining: bool,
    /// What the VM has.
    pub capacity: ResourceSet,
    /// Kind of the VM and its rack.
    pub labels: Vec<String>,
}

/// Prefix by which a label names a rack.
const RACK_PREFIX: &str = "r";

impl EndpointInfo {
    /// Returns the rack of the VM, if a label names one.
    pub fn rack(&self) -> Option<&str> {
        self.labels
            .iter()
            .map(String::as_str)
            .find(|label| label.starts_with(RACK_PREFIX) && label.contains('-'))
    }

    /// Writes the facts for a message.
    pub fn write(&self) -> v1::EndpointLife {
        v1::EndpointLife {
            endpoint: self.incarnation.endpoint.clone(),
            born: self.incarnation.started_at_millis,
            service: self.service.clone(),
            draining: self.is_draining,
            millicores: self.capacity.cores.as_millicores(),
            memory_bytes: self.capacity.memory.as_bytes(),
            accelerators: self.capacity.accelerators.get(),
            labels: self.labels.clone(),
        }
    }

    /// Reads the facts of a message.
    pub fn read(message: v1::EndpointLife) -> Self {
        Self {
            incarnation: EndpointIncarnation {
                endpoint: message.endpoint,
                started_at_millis: message.born,
            },
            service: message.service,
            is_draining: message.draining,
            capacity: ResourceSet::new(
                CoreCount::from_millicores(message.millicores),
                MemorySize::new(message.memory_bytes),
                AcceleratorCount::new(message.accelerators),
            ),
            labels: message.labels,
        }
    }
}

/// What an agent tells the leader of its VM.
#[derive(Clone, Debug)]
pub struct VmReport {
    /// Name of the VM.
    pub vm: String,
    /// Its availability zone.
    pub zone: String,
    /// Newest epoch that the agent has heard of.
    pub epoch: u64,
    /// The agent's clock when it made the report, in milliseconds.
    pub stamp_millis: u64,
    /// What the endpoint says of itself, if it has said anything.
    pub facts: Option<EndpointInfo>,
    /// The agent holds this life of the endpoint under its own fence.
    pub is_synced: bool,
    /// Whatever this life ran is over.
    pub is_over: bool,
    /// What the worker runs, and what the agent may still start there.
    pub runs: Vec<AttemptStatus>,
    /// Ends that are not recorded yet.
    pub ends: Vec<AttemptEnd>,
    /// Orders that will never be carried out.
    pub refused: Vec<AttemptKey>,
    /// Number of the newest orders that the agent has taken in.
    pub taken_orders: u64,
    /// Newest reading of serving tasks, with its number.
    pub headroom: Option<(u64, HeadroomSample)>,
}

/// Writes the key of an attempt for a message.
pub fn write_key(key: &AttemptKey) -> v1::RunKey {
    v1::RunKey {
        task: key.task.to_string(),
        run: key.attempt.get(),
    }
}

/// Reads the key of an attempt from a message.
///
/// # Errors
///
/// Returns [`NameError`] where the message names no task.
pub fn read_key(message: Option<&v1::RunKey>) -> Result<AttemptKey, NameError> {
    let message = message.cloned().unwrap_or_default();
    Ok(AttemptKey {
        task: message.task.parse()?,
        attempt: AttemptNumber::new(message.run),
    })
}

impl VmReport {
    /// Writes the report as a message.
    pub fn write(&self) -> v1::VmReport {
        v1::VmReport {
            vm: self.vm.clone(),
            zone: self.zone.clone(),
            epoch: self.epoch,
            stamp_millis: self.stamp_millis,
            life: self.facts.as_ref().map(EndpointInfo::write),
            synced: self.is_synced,
            over: self.is_over,
            runs: self.runs.iter().map(write_run).collect(),
            ends: self.ends.iter().map(write_end).collect(),
            refused: self.refused.iter().map(write_key).collect(),
            taken_orders: self.taken_orders,
            headroom: self.headroom.as_ref().map(write_headroom),
            successor: String::new(),
        }
    }

    /// Reads a report from a message.
    ///
    /// # Errors
    ///
    /// Returns [`NameError`] where an attempt names no task.
    pub fn read(message: v1::VmReport) -> Result<Self, NameError> {
        let runs = message.runs.iter().map(|run| {
            Ok(AttemptStatus {
                key: read_key(run.key.as_ref())?,
                checkpoint: run.checkpoint.clone(),
                percent: run.percent,
                pace: run.pace_percent,
            })
        });
        let ends = message.ends.iter().map(|end| {
            Ok(AttemptEnd {
                number: end.number,
                key: read_key(end.key.as_ref())?,
                kind: EndKind::from_number(end.kind),
                checkpoint: end.checkpoint.clone(),
            })
        });
        Ok(Self {
            runs: runs.collect::<Result<_, NameError>>()?,
            ends: ends.collect::<Result<_, NameError>>()?,
            refused: message
                .refused
                .iter()
                .map(|key| read_key(Some(key)))
                .collect::<Result<_, _>>()?,
            vm: message.vm,
            zone: message.zone,
            epoch: message.epoch,
            stamp_millis: message.stamp_millis,
            facts: message.life.map(EndpointInfo::read),
            is_synced: message.synced,
            is_over: message.over,
            taken_orders: message.taken_orders,
            headroom: message.headroom.map(read_headroom).transpose()?,
        })
    }
}

fn write_headroom((number, sample): &(u64, HeadroomSample)) -> v1::HeadroomReading {
    let steps = sample.steps.iter().map(|(step, reading)| v1::StepReading {
        step: step.to_string(),
        image: reading.image.clone(),
        headroom_permille: reading.headroom_permille,
    });
    v1::HeadroomReading {
        number: *number,
        steps: steps.collect(),
        fillers: sample.fillers.clone().into_iter().collect(),
    }
}

fn read_headroom(message: v1::HeadroomReading) -> Result<(u64, HeadroomSample), NameError> {
    let steps = message.steps.into_iter().map(|step| {
        let reading = StepReading {
            image: step.image,
            headroom_permille: step.headroom_permille,
        };
        Ok((step.step.parse()?, reading))
    });
    let sample = HeadroomSample {
        steps: steps.collect::<Result<_, NameError>>()?,
        fillers: message.fillers.into_iter().collect(),
    };
    Ok((message.number, sample))
}

fn write_run(run: &AttemptStatus) -> v1::RunReport {
    v1::RunReport {
        key: Some(write_key(&run.key)),
        checkpoint: run.checkpoint.clone(),
        percent: run.percent,
        pace_percent: run.pace,
    }
}

fn write_end(end: &AttemptEnd) -> v1::EndReport {
    v1::EndReport {
        number: end.number,
        key: Some(write_key(&end.key)),
        kind: end.kind.number(),
        checkpoint: end.checkpoint.clone(),
    }
}
