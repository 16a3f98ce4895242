//! Jobs in the store: accepted by any entry, followed by the leader.

use std::time::Duration;

use spdlog::warn;
use tokio::sync::mpsc;
use turmeric_jobs::{JobCode, JobPhase, JobSpec};
use turmeric_platform::{
    FeedAnswer, RowAnswer, RowPut, RowRef, StoreClient, StoreRow, TxAnswer, TxRequest,
};
use turmeric_schema::{Message, v1};

use super::callers::CallerState;

/// Table of accepted jobs and of cancellations.
pub(crate) const INTAKE_TABLE: &str = "intake";

/// Table of what the leader has recorded of each job.
pub(crate) const PROGRESS_TABLE: &str = "progress";

/// Longest wait for one call; the platform promises 4 ms, and 60 times as much
/// when it is slow.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// How long the feed is asked to wait.
const FEED_WAIT: Duration = Duration::from_millis(2000);

/// Wait after a failed reading of the feed.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Tries of a write whose outcome is not known.
const WRITE_ATTEMPTS: u32 = 2;

/// Parts of the intake table. A store that is 75 times as slow carries out four
/// transactions a second in one part, and a burst brings more jobs than that.
const INTAKE_PARTS: [&str; 16] = [
    "0", "1", "2", "3", "4", "5", "6", "7", "8", "9", "a", "b", "c", "d", "e", "f",
];

/// Returns the part of the intake table that holds the rows of a job.
fn intake_part(code: JobCode) -> &'static str {
    INTAKE_PARTS[code.bits() as usize % INTAKE_PARTS.len()]
}

fn job_row(code: JobCode) -> RowRef {
    RowRef::new(INTAKE_TABLE, format!("j-{code}")).with_part(intake_part(code))
}

fn cancel_row(code: JobCode) -> RowRef {
    RowRef::new(INTAKE_TABLE, format!("c-{code}")).with_part(intake_part(code))
}

/// Returns the row of what the leader has recorded of a job.
pub(crate) fn progress_row(code: JobCode) -> RowRef {
    RowRef::new(PROGRESS_TABLE, code.to_string())
}

/// Reads the whole intake table.
pub(crate) async fn read_intake_table(store: &StoreClient) -> RowAnswer {
    store
        .read_all(INTAKE_TABLE, &INTAKE_PARTS, CALL_TIMEOUT)
        .await
}

/// Returns the rows of a job, all of them.
pub(crate) fn job_rows(code: JobCode) -> [RowRef; 3] {
    [job_row(code), cancel_row(code), progress_row(code)]
}

/// What a row of the intake table says.
#[derive(Debug)]
pub(crate) enum IntakeRow {
    /// A job was accepted.
    Job(JobCode, JobSpec),
    /// A job is to be cancelled.
    Cancel(JobCode),
}

/// Reads a row of the intake table.
pub(crate) fn decode_intake_row(row: &StoreRow) -> Option<IntakeRow> {
    let value = row.value.as_ref()?;
    let (kind, code) = row.key.split_once('-')?;
    let code: JobCode = code.parse().ok()?;
    match kind {
        "j" => match v1::JobIntake::decode(value.as_slice()) {
            Ok(message) => Some(IntakeRow::Job(code, JobSpec::read(message))),
            Err(error) => {
                warn!("a job cannot be read", kv: { job = code.to_string(), reason = error.to_string() });
                None
            }
        },
        "c" => Some(IntakeRow::Cancel(code)),
        _ => None,
    }
}

/// How a write of an entry ended.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum WriteOutcome {
    /// It is in the store.
    Stored,
    /// It is not in the store and never will be.
    NotStored,
    /// It may be, or may come to be.
    Unknown,
}

/// Stores an accepted job, once whatever the number of tries.
pub(crate) async fn store_job(state: &CallerState, code: JobCode, spec: &JobSpec) -> WriteOutcome {
    let row = job_row(code);
    let request = TxRequest {
        expect: vec![(row.clone(), 0)],
        puts: vec![RowPut {
            row,
            value: spec.write().encode_to_vec(),
        }],
        removes: Vec::new(),
    };
    write(state, &request).await
}

/// Stores that a job is to be cancelled.
pub(crate) async fn store_cancel(state: &CallerState, code: JobCode) -> WriteOutcome {
    let request = TxRequest {
        puts: vec![RowPut {
            row: cancel_row(code),
            value: b"cancelled".to_vec(),
        }],
        ..TxRequest::default()
    };
    write(state, &request).await
}

async fn write(state: &CallerState, request: &TxRequest) -> WriteOutcome {
    let mut outcome = WriteOutcome::NotStored;
    for _ in 0..WRITE_ATTEMPTS {
        let answer = state.store.transact(request, CALL_TIMEOUT).await;
        let is_answered = matches!(answer, TxAnswer::Done { .. } | TxAnswer::Conflict { .. });
        state.record_store_call(is_answered);
        match answer {
            // A conflict says that the row is there already.
            TxAnswer::Done { .. } | TxAnswer::Conflict { .. } => return WriteOutcome::Stored,
            TxAnswer::NotDone { reason } => {
                warn!("the store refused a write", kv: { reason = reason });
            }
            TxAnswer::Unknown { reason } => {
                warn!("the store did not answer a write", kv: { reason = reason });
                outcome = WriteOutcome::Unknown;
            }
        }
    }
    outcome
}

/// Returns whether a job was accepted.
pub(crate) async fn is_accepted(state: &CallerState, code: JobCode) -> Result<bool, String> {
    let row = read_row(state, &job_row(code)).await?;
    Ok(row.is_some_and(|row| row.value.is_some()))
}

async fn read_row(state: &CallerState, row: &RowRef) -> Result<Option<StoreRow>, String> {
    let answer = state.store.read_one(row, CALL_TIMEOUT).await;
    state.record_store_call(answer.is_ok());
    answer.map_err(|error| error.to_string())
}

/// Reads where a job stands; [`None`] if no such job was accepted.
pub(crate) async fn read_phase(
    state: &CallerState,
    code: JobCode,
) -> Result<Option<JobPhase>, String> {
    let row = read_row(state, &progress_row(code)).await?;
    if let Some(value) = row.and_then(|row| row.value) {
        let progress =
            v1::JobProgress::decode(value.as_slice()).map_err(|error| error.to_string())?;
        return Ok(JobPhase::read(progress.phase));
    }
    let is_accepted = is_accepted(state, code).await?;
    Ok(is_accepted.then_some(JobPhase::Queued))
}

/// Follows the intake table from `version` on.
pub(crate) async fn follow_intake(
    store: StoreClient,
    mut version: u64,
    rows: mpsc::Sender<IntakeRow>,
) {
    loop {
        match store.follow(INTAKE_TABLE, version, FEED_WAIT).await {
            Ok(FeedAnswer::Changes(batch)) => {
                version = batch.version;
                for row in batch.rows.iter().filter_map(decode_intake_row) {
                    if rows.send(row).await.is_err() {
                        return;
                    }
                }
            }
            Ok(FeedAnswer::HistoryGone) => match read_intake_table(&store).await {
                Ok(all) => {
                    version = all.version;
                    for row in all.rows.iter().filter_map(decode_intake_row) {
                        if rows.send(row).await.is_err() {
                            return;
                        }
                    }
                }
                Err(error) => {
                    warn!("intake table not read", kv: { reason = error.to_string() });
                    tokio::time::sleep(RETRY_INTERVAL).await;
                }
            },
            Err(error) => {
                warn!("intake table not followed", kv: { reason = error.to_string() });
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
        }
    }
}
