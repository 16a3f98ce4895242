//! Writing what was seen, and the guard.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use spdlog::warn;
use turmeric_experiments::{GuardReason, GuardRule, PairNumber};
use turmeric_settings::{ChangeEdit, ChangeId, SettingName, SettingsChange};
use turmeric_store::StoreError;
use uuid::Uuid;

use super::TrialSetup;
use super::recorder::ClosedPair;
use super::rows::{pair_changes, read_pairs, read_runs, run_change};
use crate::entry::settings;
use crate::entry::state::EntryState;
use crate::timeline::TimelineEvent;

/// Pause between two looks for pairs that are over.
const WATCH_PAUSE: Duration = Duration::from_millis(500);

/// Pairs that wait for the table at most.
const WAITING_LIMIT: usize = 256;

/// Pairs back to which the guard looks.
const LOOK_BACK_PAIRS: u64 = 4;

/// Who makes the change when the guard stops an experiment.
const GUARD_AUTHOR: &str = "guard";

/// Follows the experiments of all services for good.
pub(crate) async fn run(state: Arc<EntryState>) {
    let mut waiting: VecDeque<ClosedPair> = VecDeque::new();
    let mut unwritten: Vec<TrialSetup> = Vec::new();
    loop {
        tokio::time::sleep(WATCH_PAUSE).await;
        let running = running_trials(&state);
        let now = state.clock.wall();
        {
            let mut trials = state.trials();
            for setup in &running {
                if trials.watch(setup, now) {
                    unwritten.push(setup.clone());
                }
            }
            waiting.extend(trials.take_closed(now));
            trials.retain(&running);
        }
        while waiting.len() > WAITING_LIMIT {
            waiting.pop_front();
            warn!("samples of an experiment are lost: the table takes none");
        }
        write_runs(&state, &mut unwritten).await;
        if write_pairs(&state, &mut waiting).await {
            for setup in &running {
                stop_if_harmful(&state, setup).await;
            }
        }
    }
}

/// Returns the experiments of all services with endpoints.
fn running_trials(state: &EntryState) -> Vec<TrialSetup> {
    let tree = state.tree();
    let services = state.routes().services();
    services
        .iter()
        .filter_map(|service| TrialSetup::read(state, &tree, service))
        .collect()
}

async fn write_runs(state: &EntryState, unwritten: &mut Vec<TrialSetup>) {
    let started_at = state.clock.wall().as_millis();
    while let Some(setup) = unwritten.last() {
        let change = run_change(setup, started_at);
        match state.store.apply_changes(&[change]).await {
            // In a conflict another entry has written it.
            Ok(_) | Err(StoreError::Conflict { .. }) => {
                unwritten.pop();
            }
            Err(_) => return,
        }
    }
}

/// Writes what it can; returns whether a pair was written.
async fn write_pairs(state: &EntryState, waiting: &mut VecDeque<ClosedPair>) -> bool {
    let mut is_any = false;
    while let Some(closed) = waiting.front() {
        let changes = pair_changes(state.config.id.as_str(), closed);
        // The same bytes go to the same row again after a lost answer.
        if state.store.apply_changes(&changes).await.is_err() {
            break;
        }
        waiting.pop_front();
        is_any = true;
    }
    is_any
}

/// Stops an experiment whose arm B does harm.
async fn stop_if_harmful(state: &Arc<EntryState>, setup: &TrialSetup) {
    let tree = state.tree();
    let target: u64 = tree.value(&setup.path, SettingName::LatencyTarget);
    let rule = GuardRule {
        target_micros: target as f64 * 1000.0,
        margin_percent: tree.value(&setup.path, SettingName::ExperimentMargin),
    };
    let present = setup.plan.slot_at(state.clock.wall()).pair();
    let after = PairNumber::new(present.get().saturating_sub(LOOK_BACK_PAIRS));
    let Ok(pairs) = read_pairs(state, &setup.plan.run, after).await else {
        return;
    };
    if let Some(reason) = rule.judge(&pairs) {
        stop(state, setup, &reason).await;
    }
}

async fn stop(state: &Arc<EntryState>, setup: &TrialSetup, reason: &GuardReason) {
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
    // An entry that was faster makes this change a race, which is refused; a
    // change that the table did not take is made again after the next pair.
    if !matches!(
        settings::change(state, &change).await,
        settings::ChangeOutcome::Accepted(_)
    ) {
        return;
    }
    let text = format!("experiment {} stopped: {reason}", setup.plan.run);
    state.timeline.add(TimelineEvent::new("guard", text));
    if let Err(error) = note_reason(state, &setup.plan.run, reason).await {
        warn!("why the experiment was stopped is not written: {error}");
    }
}

async fn note_reason(
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
