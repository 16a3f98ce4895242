//! Reports of experiments, for operators.

use std::sync::Arc;

use axum::Json;
use axum::body::Body;
use axum::extract::{Path, State};
use axum::http::{Response, StatusCode};
use axum::response::IntoResponse;
use serde::Serialize;
use turmeric_experiments::{PairNumber, TrialReport};
use turmeric_store::StoreError;

use super::rows::{RunRow, read_pairs, read_runs};
use crate::entry::state::EntryState;
use crate::http::refuse;

/// One run of an experiment.
#[derive(Serialize)]
struct RunLine {
    name: String,
    run: String,
    path: String,
    policy_a: String,
    policy_b: String,
    unit: String,
    slot_millis: u64,
    share_percent: u64,
    started_at: u64,
    stopped_because: Option<String>,
}

impl RunLine {
    fn new(run: &RunRow) -> Self {
        let row = &run.row;
        Self {
            name: run.name_and_version().0.to_owned(),
            run: run.run.clone(),
            path: row.path.clone(),
            policy_a: row.policy_a.clone(),
            policy_b: row.policy_b.clone(),
            unit: row.unit.clone(),
            slot_millis: row.slot_millis,
            share_percent: row.share_percent,
            started_at: row.started_at,
            stopped_because: Some(row.stop_reason.clone()).filter(|reason| !reason.is_empty()),
        }
    }
}

/// One run of an experiment and its results.
#[derive(Serialize)]
struct RunReport {
    #[serde(flatten)]
    line: RunLine,
    verdict_text: String,
    report: TrialReport,
}

/// Lists all known runs of experiments, the newest run of each name last.
pub(crate) async fn list_experiments(State(state): State<Arc<EntryState>>) -> Response<Body> {
    match read_runs(&state).await {
        Ok(runs) => {
            let lines: Vec<RunLine> = runs.iter().map(RunLine::new).collect();
            Json(lines).into_response()
        }
        Err(error) => report_unavailable(&error),
    }
}

/// Shows the report of a run; given the name of an experiment, that of its newest run.
pub(crate) async fn show_experiment(
    State(state): State<Arc<EntryState>>,
    Path(name): Path<String>,
) -> Response<Body> {
    let runs = match read_runs(&state).await {
        Ok(runs) => runs,
        Err(error) => return report_unavailable(&error),
    };
    let is_wanted = |run: &&RunRow| run.run == name || run.name_and_version().0 == name;
    let Some(run) = runs.iter().rfind(is_wanted) else {
        return refuse(
            StatusCode::NOT_FOUND,
            "no-such-experiment",
            format!("no run matches {name}; a run is listed once an entry has recorded it"),
        );
    };
    let plan = match run.plan() {
        Ok(plan) => plan,
        Err(message) => return report_unavailable(&StoreError::Malformed { message }),
    };
    match read_pairs(&state, &run.run, PairNumber::default()).await {
        Ok(pairs) => {
            let report = TrialReport::new(&plan, &pairs);
            Json(RunReport {
                line: RunLine::new(run),
                verdict_text: report.verdict.to_string(),
                report,
            })
            .into_response()
        }
        Err(error) => report_unavailable(&error),
    }
}

fn report_unavailable(error: &StoreError) -> Response<Body> {
    refuse(
        StatusCode::SERVICE_UNAVAILABLE,
        "no-report",
        format!("cannot read the samples of the experiment: {error}"),
    )
}
