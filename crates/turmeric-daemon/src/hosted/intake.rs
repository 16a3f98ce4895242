//! The intake table in the store: any entry writes accepted jobs and cancellations, and the
//! leader follows them.

use std::time::Duration;

use spdlog::warn;
use tokio::sync::mpsc;
use turmeric_jobs::{FeedLimits, JobCode, JobPhase, JobSpec, ProgressPart};
use turmeric_platform::{
    FeedAnswer, RowAnswer, RowPut, RowRef, StoreClient, StoreRow, TxAnswer, TxRequest,
};
use turmeric_schema::{Message, v1};
use turmeric_types::WallTime;

use super::callers::CallerState;

/// Table of accepted jobs and of cancellations.
pub(crate) const INTAKE_TABLE: &str = "intake";

/// Table of the progress that the leader has recorded for each job.
pub(crate) const PROGRESS_TABLE: &str = "progress";

/// Timeout of one call to the store; the platform guarantees 4 ms, and 60 times as much when
/// the store is slow.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// Wait before a failed call to the feed is retried.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of attempts at one write.
const WRITE_ATTEMPTS: u32 = 2;

/// Maximum number of writes under changed conditions.
const CONDITION_ATTEMPTS: u32 = 3;

/// Parts of the intake table, over which jobs are spread: a store slowed down by a factor of 75
/// commits four transactions a second in one part, and a burst brings more jobs than that.
const INTAKE_PARTS: [&str; 16] = [
    "0", "1", "2", "3", "4", "5", "6", "7", "8", "9", "a", "b", "c", "d", "e", "f",
];

/// Returns the part of the intake table that holds the rows of a job.
fn intake_part(code: JobCode) -> &'static str {
    INTAKE_PARTS[code.bits() as usize % INTAKE_PARTS.len()]
}

/// Returns the reference of the row of an accepted job.
fn job_row(code: JobCode) -> RowRef {
    RowRef::new(INTAKE_TABLE, format!("j-{code}")).with_part(intake_part(code))
}

/// Returns the reference of the row of a job's cancellation.
fn cancel_row(code: JobCode) -> RowRef {
    RowRef::new(INTAKE_TABLE, format!("c-{code}")).with_part(intake_part(code))
}

/// Returns the reference of the progress row of a job.
pub(crate) fn progress_row(code: JobCode) -> RowRef {
    RowRef::new(PROGRESS_TABLE, code.to_string())
}

/// Returns the reference of a further row with progress of a job.
pub(crate) fn progress_part_row(code: JobCode, part: ProgressPart) -> RowRef {
    RowRef::new(PROGRESS_TABLE, format!("{code}-{part}"))
}

/// Reads the key of a progress row; returns [`None`] for one that no leader wrote.
pub(crate) fn read_progress_key(key: &str) -> Option<(JobCode, Option<ProgressPart>)> {
    match key.split_once('-') {
        None => Some((key.parse().ok()?, None)),
        Some((code, part)) => Some((code.parse().ok()?, Some(part.parse().ok()?))),
    }
}

/// Reads the whole intake table.
pub(crate) async fn read_intake_table(store: &StoreClient) -> RowAnswer {
    store
        .read_all(INTAKE_TABLE, &INTAKE_PARTS, CALL_TIMEOUT)
        .await
}

/// Returns the references of all rows of a job.
pub(crate) fn job_rows(code: JobCode) -> [RowRef; 3] {
    [job_row(code), cancel_row(code), progress_row(code)]
}

/// A decoded row of the intake table.
#[derive(Debug)]
pub(crate) enum IntakeRow {
    /// A job was accepted.
    Job(JobCode, JobSpec),
    /// A job is to be cancelled, since its caller asked for it at this time, if the row says so.
    Cancel(JobCode, Option<WallTime>),
}

/// What the leader learns from the intake table, in the order in which it was read.
#[derive(Debug)]
pub(crate) enum IntakeEvent {
    /// A row, with its version.
    Row(IntakeRow, u64),
    /// All rows that follow were read when the store had this version, or later.
    Position(u64),
}

/// Decodes a row of the intake table; returns [`None`] for a removed or unknown row.
pub(crate) fn decode_intake_row(row: &StoreRow) -> Option<IntakeRow> {
    let value = row.value.as_ref()?;
    let (kind, code) = row.key.split_once('-')?;
    let code: JobCode = code.parse().ok()?;
    match kind {
        "j" => match decode_job(value) {
            Ok(spec) => Some(IntakeRow::Job(code, spec)),
            Err(reason) => {
                warn!("the intake row of a job cannot be decoded", kv: {
                    job = code.to_string(), reason = reason
                });
                None
            }
        },
        "c" => Some(IntakeRow::Cancel(code, read_cancel(value))),
        _ => None,
    }
}

/// Returns the time of a cancellation; [`None`] if another version wrote it.
fn read_cancel(value: &[u8]) -> Option<WallTime> {
    let cancel = v1::JobCancel::decode(value).ok()?;
    (cancel.cancelled_at > 0).then(|| WallTime::from_millis(cancel.cancelled_at))
}

/// Decodes a job. Entries write only jobs that can be scheduled, but other programs may write
/// to the store too.
fn decode_job(value: &[u8]) -> Result<JobSpec, String> {
    let message = v1::JobIntake::decode(value).map_err(|error| error.to_string())?;
    let spec = JobSpec::read(message);
    spec.check().map_err(|error| error.to_string())?;
    Ok(spec)
}

/// Outcome of a write to the intake table.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum WriteOutcome {
    /// The row is in the store.
    Stored,
    /// The rows that the write expects have other versions, namely these.
    Conflict(IntakeVersions),
    /// The write was not applied and never will be.
    NotStored,
    /// The same, and the store would refuse it again.
    Refused,
    /// The write may have been applied, or may still be.
    Unknown,
}

/// Versions of the rows of a job; zero for a row that does not exist.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct IntakeVersions {
    pub(crate) job: u64,
    pub(crate) cancel: u64,
}

impl IntakeVersions {
    /// Reads the versions from the rows that exist of those that a write expects.
    fn new(code: JobCode, rows: &[StoreRow]) -> Self {
        let version_of = |row: RowRef| {
            let found = rows.iter().find(|found| found.key == row.key);
            found
                .filter(|found| found.value.is_some())
                .map_or(0, |found| found.version)
        };
        Self {
            job: version_of(job_row(code)),
            cancel: version_of(cancel_row(code)),
        }
    }
}

/// Stores an accepted job. The row is written at most once, however often this is called.
///
/// A job that was cancelled before its row was written is stored on condition that the
/// cancellation is, so that none of its tasks ever starts.
pub(crate) async fn store_job(state: &CallerState, code: JobCode, spec: &JobSpec) -> WriteOutcome {
    let row = job_row(code);
    let value = spec.write().encode_to_vec();
    if value.len() > state.store_bounds.value_bytes {
        warn!("a job is too large for a row", kv: {
            row = row.to_string(), bytes = value.len(), limit = state.store_bounds.value_bytes
        });
        return WriteOutcome::Refused;
    }
    let mut cancel_version = 0;
    for _ in 0..CONDITION_ATTEMPTS {
        let request = TxRequest {
            expect: vec![(row.clone(), 0), (cancel_row(code), cancel_version)],
            puts: vec![RowPut {
                row: row.clone(),
                value: value.clone(),
            }],
            removes: Vec::new(),
        };
        match write(state, code, &request).await {
            // An earlier attempt, or an earlier request, has written the row.
            WriteOutcome::Conflict(versions) if versions.job > 0 => return WriteOutcome::Stored,
            WriteOutcome::Conflict(versions) => cancel_version = versions.cancel,
            outcome => return outcome,
        }
    }
    WriteOutcome::Unknown
}

/// Stores the cancellation of a job whose row has this version, unless the job has been deleted
/// since: nobody would delete the cancellation then.
pub(crate) async fn store_cancel(state: &CallerState, code: JobCode, version: u64) -> WriteOutcome {
    let request = TxRequest {
        expect: vec![(job_row(code), version)],
        puts: vec![cancel_put(state, code)],
        ..TxRequest::default()
    };
    write(state, code, &request).await
}

/// Stores the cancellation of a job that has no row, so that a row which is still on its way does
/// not start it.
pub(crate) async fn store_early_cancel(state: &CallerState, code: JobCode) -> WriteOutcome {
    let request = TxRequest {
        expect: vec![(job_row(code), 0), (cancel_row(code), 0)],
        puts: vec![cancel_put(state, code)],
        ..TxRequest::default()
    };
    write(state, code, &request).await
}

fn cancel_put(state: &CallerState, code: JobCode) -> RowPut {
    let cancel = v1::JobCancel {
        cancelled_at: state.clock.wall().as_millis(),
    };
    RowPut {
        row: cancel_row(code),
        value: cancel.encode_to_vec(),
    }
}

/// Writes to the store, with a retry if the outcome is not certain success.
async fn write(state: &CallerState, code: JobCode, request: &TxRequest) -> WriteOutcome {
    let mut outcome = WriteOutcome::NotStored;
    for _ in 0..WRITE_ATTEMPTS {
        let answer = state.store.transact(request, CALL_TIMEOUT).await;
        state.record_store_call(answer.is_answered());
        match answer {
            TxAnswer::Done { .. } => return WriteOutcome::Stored,
            TxAnswer::Conflict { rows } => {
                return WriteOutcome::Conflict(IntakeVersions::new(code, &rows));
            }
            TxAnswer::NotDone { reason } => {
                warn!("the store refused a write", kv: { reason = reason });
            }
            TxAnswer::Refused { reason } => {
                let row = request.puts.first().map(|put| put.row.to_string());
                warn!("the store refuses a row", kv: {
                    row = row.unwrap_or_default(), reason = reason
                });
                // An earlier attempt without an answer may have been of effect, or still be.
                return match outcome {
                    WriteOutcome::Unknown => outcome,
                    _ => WriteOutcome::Refused,
                };
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
    Ok(read_accepted(state, code).await?.is_some())
}

/// Returns the version of the row of an accepted job, or [`None`] if there is none.
pub(crate) async fn read_accepted(
    state: &CallerState,
    code: JobCode,
) -> Result<Option<u64>, String> {
    let row = read_row(state, &job_row(code)).await?;
    let row = row.filter(|row| row.value.is_some());
    Ok(row.map(|row| row.version))
}

async fn read_row(state: &CallerState, row: &RowRef) -> Result<Option<StoreRow>, String> {
    let answer = state.store.read_one(row, CALL_TIMEOUT).await;
    state.record_store_call(answer.is_ok());
    answer.map_err(|error| error.to_string())
}

/// Reads the phase of a job; returns [`None`] if no such job was accepted.
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

/// Sends the changes of the intake table after `version` to `events`, until the receiver is
/// dropped.
pub(crate) async fn follow_intake(
    store: StoreClient,
    mut version: u64,
    limits: FeedLimits,
    events: mpsc::Sender<IntakeEvent>,
) {
    let mut was_gone = false;
    loop {
        let answer = store
            .follow_within(INTAKE_TABLE, version, limits.wait(), limits.timeout())
            .await;
        let is_gone = matches!(answer, Ok(FeedAnswer::HistoryGone));
        if is_gone && was_gone {
            // The store forgets faster than the whole table can be read.
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
        was_gone = is_gone;
        let read = match answer {
            Ok(FeedAnswer::Changes(batch)) => Ok((batch.rows, batch.version)),
            Ok(FeedAnswer::HistoryGone) => {
                let all = read_intake_table(&store).await;
                all.map(|all| (all.rows, all.version))
            }
            Err(error) => Err(error),
        };
        match read {
            Ok((rows, position)) => {
                version = position;
                if !send_rows(&events, &rows, position).await {
                    return;
                }
            }
            Err(error) => {
                warn!("following the intake table failed", kv: { reason = error.to_string() });
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
        }
    }
}

/// Sends rows and the position that the reader has reached; returns whether there is a receiver.
async fn send_rows(events: &mpsc::Sender<IntakeEvent>, rows: &[StoreRow], position: u64) -> bool {
    for row in rows {
        if let Some(decoded) = decode_intake_row(row)
            && events
                .send(IntakeEvent::Row(decoded, row.version))
                .await
                .is_err()
        {
            return false;
        }
    }
    events.send(IntakeEvent::Position(position)).await.is_ok()
}
