//! Conversion of learned data to and from the snapshot of a partition.

use turmeric_learning::{
    InterferenceEstimate, LearnedTable, LearnedWorkload, UsageHistory, WorkloadKey,
};
use turmeric_schema::v1;

use crate::DecodeError;
use crate::measurement::{read_interference, read_usage, write_interference, write_usage};
use crate::transition::read_name;

/// Converts learned data to snapshot records.
pub(crate) fn write_learned(table: &LearnedTable) -> Vec<v1::LearnedWorkload> {
    table
        .iter()
        .map(|(key, workload)| v1::LearnedWorkload {
            team: key.team.to_string(),
            kind: key.kind.to_string(),
            peaks: workload.usage.iter().copied().map(write_usage).collect(),
            harms: write_estimates(workload),
            changed_at: workload.changed_at,
        })
        .collect()
}

fn write_estimates(workload: &LearnedWorkload) -> Vec<v1::LearnedHarm> {
    workload
        .interference
        .iter()
        .map(|(pair, estimate)| v1::LearnedHarm {
            mean: Some(write_interference(pair, estimate.mean)),
            count: estimate.count,
        })
        .collect()
}

/// Converts snapshot records to learned data.
///
/// # Errors
///
/// See [`DecodeError`].
pub(crate) fn read_learned(records: &[v1::LearnedWorkload]) -> Result<LearnedTable, DecodeError> {
    let mut table = LearnedTable::new();
    for record in records {
        let key = WorkloadKey {
            team: read_name("team", &record.team)?,
            kind: read_name("kind", &record.kind)?,
        };
        table.insert(key, read_workload(record)?);
    }
    Ok(table)
}

fn read_workload(record: &v1::LearnedWorkload) -> Result<LearnedWorkload, DecodeError> {
    let mut workload = LearnedWorkload {
        usage: UsageHistory::new(),
        changed_at: record.changed_at,
        ..LearnedWorkload::default()
    };
    for peak in &record.peaks {
        workload.usage.push(read_usage(peak));
    }
    for interference in &record.harms {
        let mean = interference
            .mean
            .as_ref()
            .ok_or(DecodeError::Missing { field: "mean" })?;
        let sample = read_interference(mean)?;
        let estimate = InterferenceEstimate {
            mean: sample.rate,
            count: interference.count,
        };
        workload.interference.insert(sample.pair, estimate);
    }
    Ok(workload)
}
