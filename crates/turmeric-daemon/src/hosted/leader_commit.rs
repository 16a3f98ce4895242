//! Writes the leader's decisions to the store, until the outcome of each write is known.

use std::time::Duration;

use spdlog::warn;
use turmeric_jobs::CommitPlan;
use turmeric_platform::{RowPut, StoreClient, TxAnswer, TxRequest};

use super::callers::CallerState;
use super::intake::{job_rows, progress_part_row, progress_row};
use super::leadership::{CALL_TIMEOUT, headroom_ref, leader_ref, read_leader};

/// Wait before a write that the store did not confirm is retried.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Outcome of a write of the leader.
pub(crate) enum CommitOutcome {
    Done {
        plan: Box<CommitPlan>,
        version: u64,
    },
    /// The store refuses the write whenever it is sent.
    Refused {
        plan: Box<CommitPlan>,
        reason: String,
    },
    Lost {
        reason: String,
    },
}

/// Writes a plan to the store, with retries until the outcome is known.
pub(crate) async fn commit(
    store: StoreClient,
    callers: &CallerState,
    epoch: u64,
    version: u64,
    plan: CommitPlan,
) -> CommitOutcome {
    let mut request = write_plan(&plan);
    let mut version = version;
    loop {
        request.expect = vec![(leader_ref(), version)];
        let answer = store.transact(&request, CALL_TIMEOUT).await;
        callers.record_store_call(answer.is_answered());
        match answer {
            TxAnswer::Done { version } => {
                return CommitOutcome::Done {
                    plan: Box::new(plan),
                    version,
                };
            }
            TxAnswer::Conflict { rows } => {
                let key = leader_ref().key;
                let Some(row) = rows.iter().find(|row| row.key == key) else {
                    return CommitOutcome::Lost {
                        reason: "the leader's row no longer exists".to_owned(),
                    };
                };
                let leader = read_leader(row);
                if leader.epoch != epoch {
                    return CommitOutcome::Lost {
                        reason: format!(
                            "another entry leads in epoch {}: {}",
                            leader.epoch, leader.holder
                        ),
                    };
                }
                if leader.sequence >= plan.sequence {
                    // An earlier attempt took effect, but its answer was lost.
                    return CommitOutcome::Done {
                        plan: Box::new(plan),
                        version: row.version,
                    };
                }
                version = row.version;
            }
            TxAnswer::Refused { reason } => {
                return CommitOutcome::Refused {
                    plan: Box::new(plan),
                    reason,
                };
            }
            TxAnswer::NotDone { reason } | TxAnswer::Unknown { reason } => {
                warn!("write not confirmed", kv: { sequence = plan.sequence, reason = reason });
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
        }
    }
}

/// Builds the transaction that writes a plan, without its expected versions.
fn write_plan(plan: &CommitPlan) -> TxRequest {
    let mut puts = vec![RowPut {
        row: leader_ref(),
        value: plan.leader_row.clone(),
    }];
    puts.extend(plan.progress.iter().map(|(code, value)| RowPut {
        row: progress_row(*code),
        value: value.clone(),
    }));
    puts.extend(plan.parts.iter().map(|(code, part, value)| RowPut {
        row: progress_part_row(*code, *part),
        value: value.clone(),
    }));
    puts.extend(plan.headroom.iter().map(|value| RowPut {
        row: headroom_ref(),
        value: value.clone(),
    }));
    let jobs = plan.forgotten.iter();
    let parts = plan.forgotten_parts.iter();
    let parts = parts.map(|(code, part)| progress_part_row(*code, *part));
    TxRequest {
        expect: Vec::new(),
        puts,
        removes: jobs.flat_map(|code| job_rows(*code)).chain(parts).collect(),
    }
}
