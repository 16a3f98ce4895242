//! Reports of an agent to the leader, and their encoding as messages.

use std::collections::BTreeSet;
use std::time::Duration;

use turmeric_schema::v1;
use turmeric_types::{AcceleratorCount, CoreCount, MemorySize, ResourceSet};

use crate::{
    AttemptKey, AttemptNumber, EndpointIncarnation, HeadroomSample, NameError, StepMeasurement,
};

/// How an attempt ended, as reported by the worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndKind {
    /// The task succeeded.
    Done,
    /// The task failed, because of a fault of the task or the endpoint.
    Failed,
    /// The attempt was stopped on request.
    Stopped,
    /// The lease of the attempt expired.
    Lapsed,
    /// Another member of its gang ended.
    GangBroken,
    /// The attempt waited too long for the rest of its gang.
    GangIncomplete,
}

impl EndKind {
    /// Returns the number that stands for this kind in messages.
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

    /// Decodes the number of a message. An unknown number counts as stopped, which
    /// neither ends the task nor counts as a failed attempt.
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

/// Status of an attempt that the worker runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptStatus {
    /// The attempt.
    pub key: AttemptKey,
    /// Its newest checkpoint; empty if there is none.
    pub checkpoint: String,
    /// Share of the work that is done, 0 to 100 percent.
    pub percent: u32,
    /// Pace at which it may work, in percent of its full speed.
    pub pace: u32,
    /// It is known to run, and not only ordered.
    pub is_confirmed: bool,
}

/// An attempt that ended on the worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptEnd {
    /// Number of the end in this incarnation of the endpoint.
    pub number: u64,
    /// The attempt.
    pub key: AttemptKey,
    /// How it ended.
    pub kind: EndKind,
    /// Checkpoint that was saved; empty if there is none.
    pub checkpoint: String,
}

/// Description of an endpoint, as reported by the endpoint.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EndpointInfo {
    /// Current incarnation of the endpoint.
    pub incarnation: EndpointIncarnation,
    /// Service that it belongs to.
    pub service: String,
    /// The endpoint is draining and accepts no new attempts.
    pub is_draining: bool,
    /// Resources of the VM.
    pub capacity: ResourceSet,
    /// Labels of the VM, which name its kind and its rack.
    pub labels: Vec<String>,
}

/// Prefix of labels that name a rack.
const RACK_PREFIX: &str = "r";

impl EndpointInfo {
    /// Returns the rack of the VM, if a label names one.
    pub fn rack(&self) -> Option<&str> {
        self.labels
            .iter()
            .map(String::as_str)
            .find(|label| label.starts_with(RACK_PREFIX) && label.contains('-'))
    }

    /// Encodes the endpoint info as a message.
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

    /// Decodes the endpoint info from a message.
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

/// Crash of an incarnation of the endpoint, as seen by its agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IncarnationCrash {
    /// The incarnation.
    pub incarnation: EndpointIncarnation,
    /// Attempts that may have been running.
    pub attempts: BTreeSet<AttemptKey>,
    /// Those of them that may not have been running: the worker never confirmed the start, which
    /// it may have carried out at any time since, or their leases had expired before.
    pub unconfirmed: BTreeSet<AttemptKey>,
}

/// Report of an agent to the leader about its VM.
#[derive(Clone, Debug, Default)]
pub struct VmReport {
    /// Name of the VM.
    pub vm: String,
    /// Availability zone of the VM.
    pub zone: String,
    /// Newest epoch that the agent knows.
    pub epoch: u64,
    /// Time of the agent's clock when it made the report, in milliseconds.
    pub stamp_millis: u64,
    /// Endpoint info, if the endpoint has reported any.
    pub endpoint_info: Option<EndpointInfo>,
    /// The agent has fenced this incarnation of the endpoint for itself.
    pub is_synced: bool,
    /// All attempts of this incarnation have terminated.
    pub is_terminated: bool,
    /// The worker has not answered the agent's last poll.
    pub is_unresponsive: bool,
    /// Attempts that the worker runs or that the agent may still start there.
    pub attempts: Vec<AttemptStatus>,
    /// Ends of attempts that the leader has not recorded yet.
    pub ends: Vec<AttemptEnd>,
    /// Attempts that were refused and will never start.
    pub refused: Vec<AttemptKey>,
    /// Number of the newest orders that the agent has applied.
    pub applied_orders: u64,
    /// The last incarnation that crashed, until the leader knows of a later one.
    pub crash: Option<IncarnationCrash>,
    /// Latest headroom sample of the serving tasks, with its number.
    pub headroom: Option<(u64, HeadroomSample)>,
    /// There may be further ends, which follow once the leader has recorded these. An attempt
    /// that is missing from the report may have ended in any way.
    pub has_more_ends: bool,
    /// Time after the report at which all leases at the worker have expired, the one included that
    /// counts from the report; [`None`] from an earlier version of the agent.
    pub lease_wait: Option<Duration>,
    /// The same without the leases that only earlier agents can have renewed; [`None`] from an
    /// earlier version of the agent.
    pub own_lease_wait: Option<Duration>,
    /// The agent is shutting down and starts nothing more.
    pub is_stopping: bool,
    /// Those of the attempts whose loads the agent does not know, because an earlier agent started
    /// them; none from an earlier version of the agent.
    pub unplanned: Vec<AttemptKey>,
}

/// Encodes the key of an attempt as a message.
pub fn write_key(key: &AttemptKey) -> v1::RunKey {
    v1::RunKey {
        task: key.task.to_string(),
        run: key.attempt.get(),
    }
}

/// Decodes the key of an attempt from a message.
///
/// # Errors
///
/// Returns [`NameError`] if the message does not name a task.
pub fn read_key(message: Option<&v1::RunKey>) -> Result<AttemptKey, NameError> {
    let message = message.cloned().unwrap_or_default();
    Ok(AttemptKey {
        task: message.task.parse()?,
        attempt: AttemptNumber::new(message.run),
    })
}

impl VmReport {
    /// Encodes the report as a message.
    pub fn write(&self) -> v1::VmReport {
        let unplanned: BTreeSet<&AttemptKey> = self.unplanned.iter().collect();
        let write_run = |attempt: &AttemptStatus| v1::RunReport {
            unplanned: unplanned.contains(&attempt.key),
            ..write_attempt(attempt)
        };
        v1::VmReport {
            vm: self.vm.clone(),
            zone: self.zone.clone(),
            epoch: self.epoch,
            stamp_millis: self.stamp_millis,
            life: self.endpoint_info.as_ref().map(EndpointInfo::write),
            synced: self.is_synced,
            over: self.is_terminated,
            runs: self.attempts.iter().map(write_run).collect(),
            ends: self.ends.iter().map(write_end).collect(),
            refused: self.refused.iter().map(write_key).collect(),
            taken_orders: self.applied_orders,
            headroom: self.headroom.as_ref().map(write_headroom),
            successor: String::new(),
            unresponsive: self.is_unresponsive,
            crash: self.crash.as_ref().map(write_crash),
            has_more_ends: self.has_more_ends,
            lease_wait_millis: write_wait(self.lease_wait),
            own_lease_wait_millis: write_wait(self.own_lease_wait),
            stopping: self.is_stopping,
        }
    }

    /// Decodes a report from a message.
    ///
    /// # Errors
    ///
    /// Returns [`NameError`] if the key of an attempt does not name a task.
    pub fn read(message: v1::VmReport) -> Result<Self, NameError> {
        let attempts = message.runs.iter().map(|attempt| {
            Ok(AttemptStatus {
                key: read_key(attempt.key.as_ref())?,
                checkpoint: attempt.checkpoint.clone(),
                percent: attempt.percent,
                pace: attempt.pace_percent,
                is_confirmed: attempt.confirmed,
            })
        });
        let unplanned = message.runs.iter().filter(|attempt| attempt.unplanned);
        let unplanned = unplanned.map(|attempt| read_key(attempt.key.as_ref()));
        let ends = message.ends.iter().map(|end| {
            Ok(AttemptEnd {
                number: end.number,
                key: read_key(end.key.as_ref())?,
                kind: EndKind::from_number(end.kind),
                checkpoint: end.checkpoint.clone(),
            })
        });
        Ok(Self {
            attempts: attempts.collect::<Result<_, NameError>>()?,
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
            endpoint_info: message.life.map(EndpointInfo::read),
            is_synced: message.synced,
            is_terminated: message.over,
            is_unresponsive: message.unresponsive,
            applied_orders: message.taken_orders,
            crash: message.crash.map(read_crash).transpose()?,
            headroom: message.headroom.map(read_headroom).transpose()?,
            has_more_ends: message.has_more_ends,
            lease_wait: read_wait(message.lease_wait_millis),
            own_lease_wait: read_wait(message.own_lease_wait_millis),
            is_stopping: message.stopping,
            unplanned: unplanned.collect::<Result<_, NameError>>()?,
        })
    }
}

fn write_crash(crash: &IncarnationCrash) -> v1::LifeCrash {
    v1::LifeCrash {
        endpoint: crash.incarnation.endpoint.clone(),
        born: crash.incarnation.started_at_millis,
        runs: crash.attempts.iter().map(write_key).collect(),
        unconfirmed: crash.unconfirmed.iter().map(write_key).collect(),
    }
}

fn read_crash(message: v1::LifeCrash) -> Result<IncarnationCrash, NameError> {
    let read_keys = |keys: &[v1::RunKey]| {
        keys.iter()
            .map(|key| read_key(Some(key)))
            .collect::<Result<BTreeSet<_>, NameError>>()
    };
    Ok(IncarnationCrash {
        attempts: read_keys(&message.runs)?,
        unconfirmed: read_keys(&message.unconfirmed)?,
        incarnation: EndpointIncarnation {
            endpoint: message.endpoint,
            started_at_millis: message.born,
        },
    })
}

fn write_headroom((number, sample): &(u64, HeadroomSample)) -> v1::HeadroomReading {
    let steps = sample
        .steps
        .iter()
        .map(|(step, measurement)| v1::StepReading {
            step: step.to_string(),
            image: measurement.image.clone(),
            headroom_permille: measurement.headroom_permille,
        });
    v1::HeadroomReading {
        number: *number,
        steps: steps.collect(),
        fillers: sample.best_effort_shares.clone().into_iter().collect(),
    }
}

fn read_headroom(message: v1::HeadroomReading) -> Result<(u64, HeadroomSample), NameError> {
    let steps = message.steps.into_iter().map(|step| {
        let measurement = StepMeasurement {
            image: step.image,
            headroom_permille: step.headroom_permille,
        };
        Ok((step.step.parse()?, measurement))
    });
    let sample = HeadroomSample {
        steps: steps.collect::<Result<_, NameError>>()?,
        best_effort_shares: message.fillers.into_iter().collect(),
    };
    Ok((message.number, sample))
}

fn write_attempt(attempt: &AttemptStatus) -> v1::RunReport {
    v1::RunReport {
        key: Some(write_key(&attempt.key)),
        checkpoint: attempt.checkpoint.clone(),
        percent: attempt.percent,
        pace_percent: attempt.pace,
        confirmed: attempt.is_confirmed,
        unplanned: false,
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

/// Encodes a wait. Zero stands for an earlier version, which does not tell.
fn write_wait(wait: Option<Duration>) -> u64 {
    wait.map_or(0, |wait| (wait.as_millis() as u64).max(1))
}

fn read_wait(millis: u64) -> Option<Duration> {
    (millis > 0).then(|| Duration::from_millis(millis))
}
