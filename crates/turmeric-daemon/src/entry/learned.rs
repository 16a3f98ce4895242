//! Listing of what the entry has learned about job kinds, for operators.

use std::sync::Arc;

use axum::Json;
use axum::extract::State;
use axum::response::IntoResponse;
use serde::Serialize;
use turmeric_learning::{
    InterferenceEstimate, InterferencePair, LearnedWorkload, LoadLevel, WorkloadKey,
};

use super::state::EntryState;

/// Interference of a kind with one service.
#[derive(Serialize)]
struct InterferenceLine {
    service: String,
    load: &'static str,
    /// Mean slowdown in thousandths, times the cores of the VM.
    permille_cores: i64,
    samples: u32,
}

/// What the entry has learned about one job kind of a team.
#[derive(Serialize)]
struct LearnedLine {
    team: String,
    kind: String,
    /// Number of usage peaks that are kept.
    samples: usize,
    /// Largest core and memory usage observed; absent while there are too few samples.
    cores: Option<String>,
    memory: Option<String>,
    #[serde(rename = "harm")]
    interference: Vec<InterferenceLine>,
}

/// Lists the kinds of the teams whose partitions this entry owns.
pub(crate) async fn list_learned(State(state): State<Arc<EntryState>>) -> impl IntoResponse {
    let scheduler = state.scheduler();
    let lines: Vec<LearnedLine> = scheduler
        .learned()
        .map(|(key, workload)| learned_line(key, workload))
        .collect();
    Json(lines)
}

fn learned_line(key: &WorkloadKey, workload: &LearnedWorkload) -> LearnedLine {
    let bound = workload.usage.bound();
    LearnedLine {
        team: key.team.to_string(),
        kind: key.kind.to_string(),
        samples: workload.usage.len(),
        cores: bound.map(|bound| bound.cores.to_string()),
        memory: bound.map(|bound| bound.memory.to_string()),
        interference: workload
            .interference
            .iter()
            .map(|(pair, estimate)| interference_line(pair, estimate))
            .collect(),
    }
}

fn interference_line(pair: &InterferencePair, estimate: &InterferenceEstimate) -> InterferenceLine {
    InterferenceLine {
        service: pair.service.to_string(),
        load: match pair.level {
            LoadLevel::Light => "light",
            LoadLevel::Heavy => "heavy",
        },
        permille_cores: estimate.mean.get(),
        samples: estimate.count,
    }
}
