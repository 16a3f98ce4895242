//! Background task that writes samples of experiments and stops those that the guard rejects.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use spdlog::warn;
use turmeric_experiments::{GuardReason, GuardRule, PairNumber};
use turmeric_settings::{ChangeEdit, ChangeId, SettingName, SettingsChange};
use turmeric_store::StoreError;
use uuid::Uuid;

use super::ExperimentSetup;
use super::recorder::ClosedPair;
use super::rows::{pair_changes, read_pairs, read_runs, run_change};
use crate::entry::settings;
use crate::entry::state::EntryState;
use crate::timeline::TimelineEvent;

/// Interval between two checks for closed pairs.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum number of closed pairs that wait to be written to the table.
const UNWRITTEN_LIMIT: usize = 256;

/// Number of pairs before the current one that are read for the guard.
const GUARD_READ_PAIRS: u64 = 4;

/// Author of the settings change by which the guard stops an experiment.
const GUARD_AUTHOR: &str = "guard";

/// Follows the experiments of all services; never returns.
pub(crate) async fn run(state: Arc<EntryState>) {
    let mut unwritten_pairs: VecDeque<ClosedPair> = VecDeque::new();
    let mut unwritten_runs: Vec<ExperimentSetup> = Vec::new();
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        let running = running_experiments(&state);
        let now = state.clock.wall();
        {
            let mut recorder = state.trials();
            for setup in &running {
                if recorder.follow(setup, now) {
                    unwritten_runs.push(setup.clone());
                }
            }
            unwritten_pairs.extend(recorder.take_closed_pairs(now));
            recorder.retain(&running);
        }
        while unwritten_pairs.len() > UNWRITTEN_LIMIT {
            unwritten_pairs.pop_front();
            warn!("dropping samples of an experiment: writes to the table are failing");
        }
        write_runs(&state, &mut unwritten_runs).await;
        if write_pairs(&state, &mut unwritten_pairs).await {
            for setup in &running {
                apply_guard(&state, setup).await;
            }
        }
    }
}

/// Returns the experiments of all services with endpoints.
fn running_experiments(state: &EntryState) -> Vec<ExperimentSetup> {
    let tree = state.tree();
    let services = state.routes().services();
    services
        .iter()
        .filter_map(|service| ExperimentSetup::read(state, &tree, service))
        .collect()
}

async fn write_runs(state: &EntryState, unwritten_runs: &mut Vec<ExperimentSetup>) {
    let started_at = state.clock.wall().as_millis();
    while let Some(setup) = unwritten_runs.last() {
        let change = run_change(setup, started_at);
        match state.store.apply_changes(&[change]).await {
            // A conflict means that another entry has written the run.
            Ok(_) | Err(StoreError::Conflict { .. }) => {
                unwritten_runs.pop();
            }
            Err(_) => return,
        }
    }
}

/// Writes pairs up to the first error; returns whether a pair was written.
async fn write_pairs(state: &EntryState, unwritten_pairs: &mut VecDeque<ClosedPair>) -> bool {
    let mut has_written = false;
    while let Some(closed) = unwritten_pairs.front() {
        let changes = pair_changes(state.config.id.as_str(), closed);
        // Safe to repeat after a lost response: the same bytes go to the same row.
        if state.store.apply_changes(&changes).await.is_err() {
            break;
        }
        unwritten_pairs.pop_front();
        has_written = true;
    }
    has_written
}

/// Stops an experiment if the guard rejects its arm B.
async fn apply_guard(state: &Arc<EntryState>, setup: &ExperimentSetup) {
    let tree = state.tree();
    let target: u64 = tree.value(&setup.path, SettingName::LatencyTarget);
    let rule = GuardRule {
        target_micros: target as f64 * 1000.0,
        margin_percent: tree.value(&setup.path, SettingName::ExperimentMargin),
    };
    let current = setup.plan.slot_at(state.clock.wall()).pair();
    let after = PairNumber::new(current.get().saturating_sub(GUARD_READ_PAIRS));
    let Ok(pairs) = read_pairs(state, &setup.plan.run, after).await else {
        return;
    };
    if let Some(reason) = rule.judge(&pairs) {
        stop_experiment(state, setup, &reason).await;
    }
}

async fn stop_experiment(state: &Arc<EntryState>, setup: &ExperimentSetup, reason: &GuardReason) {
    let change = SettingsChange {
        id: ChangeId::from(Uuid::new_v4()),
        base: state.tree().version(),
        author: GUARD_AUTHOR.to_owned(),
        changed_at: state.clock.wall(),
        edits: vec![ChangeEdit {
            path: setup.source.clone(),
            name: SettingName::ExperimentName,
            value: Some(String::new()),
        }],
    };
    // The change is refused if another entry has stopped the experiment first.
    // A change that could not be written is tried again after the next pair.
    if !matches!(
        settings::change(state, &change).await,
        settings::ChangeOutcome::Accepted(_)
    ) {
        return;
    }
    let text = format!("experiment {} stopped: {reason}", setup.plan.run);
    state.timeline.add(TimelineEvent::new("guard", text));
    if let Err(error) = record_stop_reason(state, &setup.plan.run, reason).await {
        warn!("cannot record why the experiment was stopped: {error}");
    }
}

async fn record_stop_reason(
    state: &EntryState,
    run: &str,
    reason: &GuardReason,
) -> Result<(), StoreError> {
    let runs = read_runs(state).await?;
    let Some(row) = runs.iter().find(|row| row.run == run) else {
        return Ok(());
    };
    let change = row.stop_change(&reason.to_string());
    state.store.apply_changes(&[change]).await.map(|_| ())
}
