//! Conversions between generated message types and those of the workspace.

use turmeric_schema::v1;
use turmeric_types::{
    AcceleratorCount, CoreCount, JobId, MemorySize, PartitionId, ResourceSet, TaskClass, TaskId,
};

use crate::DecodeError;

pub(crate) fn read_task(task: Option<&v1::TaskRef>) -> Result<TaskId, DecodeError> {
    let task = task.ok_or(DecodeError::Missing { field: "task" })?;
    let job = JobId::from_slice(&task.job).ok_or(DecodeError::Invalid {
        field: "task.job",
        message: format!("job identifier has {} bytes instead of 16", task.job.len()),
    })?;
    Ok(TaskId::new(job, task.index))
}

pub(crate) fn write_task(task: TaskId) -> v1::TaskRef {
    v1::TaskRef {
        job: task.job.as_bytes().to_vec(),
        index: task.index,
    }
}

pub(crate) fn read_partition(number: u32) -> Result<PartitionId, DecodeError> {
    u16::try_from(number)
        .ok()
        .and_then(PartitionId::new)
        .ok_or(DecodeError::Invalid {
            field: "partition",
            message: format!("partition {number} is out of range"),
        })
}

/// Converts resources from a message; a missing message stands for none.
pub fn read_resources(resources: Option<&v1::Resources>) -> ResourceSet {
    resources.map_or_else(ResourceSet::default, |resources| {
        ResourceSet::new(
            CoreCount::from_millicores(resources.millicores),
            MemorySize::new(resources.memory_bytes),
            AcceleratorCount::new(resources.accelerators),
        )
    })
}

/// Converts resources to a message.
pub fn write_resources(resources: &ResourceSet) -> v1::Resources {
    v1::Resources {
        millicores: resources.cores.as_millicores(),
        memory_bytes: resources.memory.as_bytes(),
        accelerators: resources.accelerators.get(),
    }
}

pub(crate) fn read_class(class: i32) -> TaskClass {
    match v1::TaskClass::try_from(class) {
        Ok(v1::TaskClass::Urgent) => TaskClass::Urgent,
        Ok(v1::TaskClass::LatencyCritical) => TaskClass::LatencyCritical,
        // An unknown class of a newer version gets the lowest priority.
        Ok(v1::TaskClass::Batch) | Err(_) => TaskClass::Batch,
    }
}

pub(crate) fn write_class(class: TaskClass) -> i32 {
    let class = match class {
        TaskClass::Batch => v1::TaskClass::Batch,
        TaskClass::Urgent => v1::TaskClass::Urgent,
        TaskClass::LatencyCritical => v1::TaskClass::LatencyCritical,
    };
    class.into()
}
