//! Rows of experiments in the table: one for each run, and one for each pair and entry.

use std::collections::BTreeMap;

use turmeric_experiments::{ArmName, ArmSamples, ExperimentPlan, PairNumber, PairSamples};
use turmeric_schema::{Message, v1};
use turmeric_store::{RowChange, RowCondition, StoreError, TableRow};
use turmeric_types::LatencyHistogram;

use super::ExperimentSetup;
use super::recorder::ClosedPair;
use crate::entry::state::EntryState;

/// Prefix of the keys of all runs.
pub(super) const RUN_PREFIX: &str = "trial-run/";

/// Number of pairs of a run that stay in the table.
const KEPT_PAIRS: u64 = 1000;

fn pair_key(run: &str, pair: u64) -> String {
    format!("trial/{run}/{pair:016}")
}

/// Returns the change that writes a run, on condition that no entry has written it.
pub(super) fn run_change(setup: &ExperimentSetup, started_at: u64) -> RowChange {
    let row = v1::TrialRun {
        path: setup.path.to_string(),
        policy_a: setup.policy_a.to_string(),
        policy_b: setup.policy_b.to_string(),
        unit: setup.plan.unit.to_string(),
        slot_millis: setup.plan.slot_millis,
        share_percent: setup.plan.share_percent,
        started_at,
        stop_reason: String::new(),
    };
    let key = format!("{RUN_PREFIX}{}", setup.plan.run);
    RowChange::put(key, RowCondition::Absent, row.encode_to_vec())
}

/// Returns the changes that write a pair and delete the pairs beyond `KEPT_PAIRS`.
pub(super) fn pair_changes(entry: &str, closed: &ClosedPair) -> Vec<RowChange> {
    let pair = closed.samples.pair.get();
    let key = format!("{}/{entry}", pair_key(&closed.run, pair));
    let row = write_pair(&closed.samples).encode_to_vec();
    let oldest = pair.saturating_sub(KEPT_PAIRS);
    vec![
        RowChange::put(key, RowCondition::Any, row),
        RowChange::DeleteRange {
            first: pair_key(&closed.run, 0),
            last: pair_key(&closed.run, oldest),
        },
    ]
}

fn write_pair(samples: &PairSamples) -> v1::TrialPair {
    v1::TrialPair {
        a: Some(write_arm(&samples.a)),
        b: Some(write_arm(&samples.b)),
        first_arm: samples
            .first_arm
            .map(|arm| arm.to_string())
            .unwrap_or_default(),
        disturbance: samples.disturbance.clone().unwrap_or_default(),
    }
}

fn write_arm(samples: &ArmSamples) -> v1::TrialArm {
    let (buckets, counts) = samples.latency.buckets().unzip();
    v1::TrialArm {
        buckets,
        counts,
        refused: samples.refused,
        unknown: samples.unknown,
    }
}

fn read_pair(pair: PairNumber, row: &v1::TrialPair) -> PairSamples {
    PairSamples {
        pair,
        a: row.a.as_ref().map(read_arm).unwrap_or_default(),
        b: row.b.as_ref().map(read_arm).unwrap_or_default(),
        first_arm: match row.first_arm.as_str() {
            "a" => Some(ArmName::A),
            "b" => Some(ArmName::B),
            _ => None,
        },
        disturbance: Some(row.disturbance.clone()).filter(|reason| !reason.is_empty()),
    }
}

fn read_arm(row: &v1::TrialArm) -> ArmSamples {
    let buckets = row.buckets.iter().copied().zip(row.counts.iter().copied());
    ArmSamples {
        latency: LatencyHistogram::with_buckets(buckets),
        refused: row.refused,
        unknown: row.unknown,
    }
}

/// Reads the pairs of a run after `after`, with the samples of all entries merged.
pub(super) async fn read_pairs(
    state: &EntryState,
    run: &str,
    after: PairNumber,
) -> Result<Vec<PairSamples>, StoreError> {
    let prefix = format!("trial/{run}/");
    // Keys of pair `after` continue with a slash; `~` sorts after it, which skips them.
    let after = format!("{}~", pair_key(run, after.get()));
    let rows = state.store.list_rows(&prefix, &after).await?;
    let mut pairs: BTreeMap<PairNumber, PairSamples> = BTreeMap::new();
    for row in &rows {
        let samples = parse_row(&prefix, row)?;
        pairs
            .entry(samples.pair)
            .and_modify(|known| known.merge(&samples))
            .or_insert(samples);
    }
    Ok(pairs.into_values().collect())
}

fn parse_row(prefix: &str, row: &TableRow) -> Result<PairSamples, StoreError> {
    let malformed = |message: String| StoreError::Malformed { message };
    let number = row
        .key
        .strip_prefix(prefix)
        .and_then(|rest| rest.split('/').next())
        .and_then(|number| number.parse().ok())
        .ok_or_else(|| malformed(format!("row {} has no pair number in its key", row.key)))?;
    let message = v1::TrialPair::decode(row.value.as_slice())
        .map_err(|error| malformed(format!("row {}: {error}", row.key)))?;
    Ok(read_pair(PairNumber::new(number), &message))
}

/// A run as it is stored in the table.
pub(super) struct RunRow {
    pub(super) run: String,
    pub(super) row: v1::TrialRun,
    pub(super) condition: RowCondition,
}

impl RunRow {
    /// Returns the plan by which the run assigns units to arms, or why a field is invalid.
    pub(super) fn plan(&self) -> Result<ExperimentPlan, String> {
        Ok(ExperimentPlan {
            run: self.run.clone(),
            unit: self.row.unit.parse()?,
            slot_millis: self.row.slot_millis,
            share_percent: self.row.share_percent,
        })
    }

    /// Returns the name of the experiment, as set by operators, and the version of the run.
    pub(super) fn name_and_version(&self) -> (&str, u64) {
        let (name, version) = self.run.rsplit_once('.').unwrap_or((&self.run, ""));
        (name, version.parse().unwrap_or_default())
    }

    /// Returns the change that records why the guard stopped the run.
    pub(super) fn stop_change(&self, reason: &str) -> RowChange {
        let row = v1::TrialRun {
            stop_reason: reason.to_owned(),
            ..self.row.clone()
        };
        let key = format!("{RUN_PREFIX}{}", self.run);
        RowChange::put(key, self.condition, row.encode_to_vec())
    }
}

/// Reads all runs in the table, the newest of each name last.
pub(super) async fn read_runs(state: &EntryState) -> Result<Vec<RunRow>, StoreError> {
    let rows = state.store.list_rows(RUN_PREFIX, "").await?;
    let mut runs = Vec::new();
    for row in rows {
        let run = row.key.strip_prefix(RUN_PREFIX).unwrap_or_default();
        let message =
            v1::TrialRun::decode(row.value.as_slice()).map_err(|error| StoreError::Malformed {
                message: format!("row {}: {error}", row.key),
            })?;
        runs.push(RunRow {
            run: run.to_owned(),
            row: message,
            condition: RowCondition::Matches(row.tag),
        });
    }
    runs.sort_by(|one, other| one.name_and_version().cmp(&other.name_and_version()));
    Ok(runs)
}
