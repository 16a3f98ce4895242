//! Usage and interference that an agent measured during an attempt.

use turmeric_learning::{
    InterferencePair, InterferenceRate, InterferenceSample, LoadLevel, UsageSample,
};
use turmeric_schema::v1;
use turmeric_types::{CoreCount, MemorySize};

use crate::DecodeError;
use crate::transition::read_name;

/// What an agent measured during one attempt of a task.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AttemptMeasurement {
    /// Peak usage, if any was measured.
    pub usage: Option<UsageSample>,
    /// Interference with the service on the same VM, if it was measured.
    pub interference: Option<InterferenceSample>,
}

impl AttemptMeasurement {
    /// Converts the measurement from the fields of a message.
    pub(crate) fn read(
        usage: Option<&v1::TaskUsage>,
        interference: Option<&v1::ServiceHarm>,
    ) -> Result<Self, DecodeError> {
        Ok(Self {
            usage: usage.map(read_usage),
            interference: interference.map(read_interference).transpose()?,
        })
    }

    pub(crate) fn write_usage(&self) -> Option<v1::TaskUsage> {
        self.usage.map(write_usage)
    }

    pub(crate) fn write_interference(&self) -> Option<v1::ServiceHarm> {
        self.interference
            .as_ref()
            .map(|sample| write_interference(&sample.pair, sample.rate))
    }
}

pub(crate) fn read_usage(usage: &v1::TaskUsage) -> UsageSample {
    UsageSample::new(
        CoreCount::from_millicores(usage.millicores),
        MemorySize::new(usage.memory_bytes),
    )
}

pub(crate) fn write_usage(usage: UsageSample) -> v1::TaskUsage {
    v1::TaskUsage {
        millicores: usage.cores.as_millicores(),
        memory_bytes: usage.memory.as_bytes(),
    }
}

pub(crate) fn read_interference(
    interference: &v1::ServiceHarm,
) -> Result<InterferenceSample, DecodeError> {
    let level = if interference.heavy {
        LoadLevel::Heavy
    } else {
        LoadLevel::Light
    };
    Ok(InterferenceSample {
        pair: InterferencePair {
            service: read_name("service", &interference.service)?,
            level,
        },
        rate: InterferenceRate::new(interference.permille_cores),
    })
}

pub(crate) fn write_interference(
    pair: &InterferencePair,
    rate: InterferenceRate,
) -> v1::ServiceHarm {
    v1::ServiceHarm {
        service: pair.service.to_string(),
        heavy: pair.level == LoadLevel::Heavy,
        permille_cores: rate.get(),
    }
}
