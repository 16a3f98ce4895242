//! What the entry has learned of job kinds, for operators.

use std::sync::Arc;

use axum::Json;
use axum::extract::State;
use axum::response::IntoResponse;
use serde::Serialize;
use turmeric_learning::{
    InterferenceEstimate, InterferencePair, LearnedWorkload, LoadLevel, WorkloadKey,
};

use super::state::EntryState;

/// Harm of a kind to one service.
#[derive(Serialize)]
struct HarmLine {
    service: String,
    load: &'static str,
    /// Mean slowdown in thousandths, times the cores of the VM.
    permille_cores: i64,
    samples: u32,
}

/// What is known of one kind.
#[derive(Serialize)]
struct LearnedLine {
    team: String,
    kind: String,
    /// Peaks of use that are kept.
    samples: usize,
    /// Largest processors and memory seen; absent while too few are known.
    cores: Option<String>,
    memory: Option<String>,
    #[serde(rename = "harm")]
    interference: Vec<HarmLine>,
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
            .map(|(pair, estimate)| harm_line(pair, estimate))
            .collect(),
    }
}

fn harm_line(pair: &InterferencePair, estimate: &InterferenceEstimate) -> HarmLine {
    HarmLine {
        service: pair.service.to_string(),
        load: match pair.level {
            LoadLevel::Light => "light",
            LoadLevel::Heavy => "heavy",
        },
        permille_cores: estimate.mean.get(),
        samples: estimate.count,
    }
}
