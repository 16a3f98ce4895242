//! Which entry leads: one row of the store, taken over when it stands still.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use spdlog::{info, warn};
use tokio::sync::watch;
use turmeric_jobs::{ElectionMonitor, ElectionStep, LeaderObservation, TakeoverCause};
use turmeric_platform::{FeedAnswer, RowPut, RowRef, StoreClient, StoreRow, TxAnswer, TxRequest};
use turmeric_schema::{Message, v1};
use turmeric_types::{CoreCount, SplitMixRandom};

use super::callers::CallerState;
use super::leader::{LeadEnd, LeadSeat, run_leader};
use super::link::{LinkReader, LinkWriter};
use super::meters::ProcessMeters;
use super::view::{LeaderView, OperatorView};
use crate::clock::ProcessClock;

/// Table and key of the leader's row.
const LEADER_TABLE: &str = "lead";

/// Key of the leader's row.
const LEADER_KEY: &str = "leader";

/// Key of what leaders have learned of pairs of images.
const HEADROOM_KEY: &str = "headroom";

/// Table that changes only when the lead changes hands; agents and followers wait
/// for its changes.
const SEAT_TABLE: &str = "seat";

/// How often a follower reads the row.
const WATCH_INTERVAL: Duration = Duration::from_millis(400);

/// How long the feed of the seat's table is asked to wait.
const SEAT_WAIT: Duration = Duration::from_secs(5);

/// Wait after a failed reading of that feed.
const SEAT_RETRY: Duration = Duration::from_millis(400);

/// Longest wait for one call.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// What an entry needs to lead.
pub(crate) struct LeadContext {
    pub(crate) vm: String,
    pub(crate) address: SocketAddr,
    pub(crate) processor: CoreCount,
    pub(crate) store: StoreClient,
    pub(crate) clock: ProcessClock,
    pub(crate) terms: turmeric_jobs::LeaderTerms,
    pub(crate) operators: watch::Receiver<OperatorView>,
    pub(crate) leader: watch::Sender<LeaderView>,
    pub(crate) callers: Arc<CallerState>,
    pub(crate) meters: Arc<ProcessMeters>,
}

/// A connection of an agent that has just arrived.
pub(crate) type AgentLink = (LinkReader, LinkWriter);

/// Returns the reference of the leader's row.
pub(crate) fn leader_ref() -> RowRef {
    RowRef::new(LEADER_TABLE, LEADER_KEY)
}

/// Returns the reference of the row of what was learned of pairs of images.
pub(crate) fn headroom_ref() -> RowRef {
    RowRef::new(LEADER_TABLE, HEADROOM_KEY)
}

/// Reads the leader's row; a row that does not decode is an empty one.
pub(crate) fn read_leader(row: &StoreRow) -> v1::LeaderRow {
    row.value
        .as_ref()
        .and_then(|value| v1::LeaderRow::decode(value.as_slice()).ok())
        .unwrap_or_default()
}

/// Returns the reference of the row that tells agents who leads.
fn seat_ref() -> RowRef {
    RowRef::new(SEAT_TABLE, LEADER_KEY)
}

/// Follows the seat's table and keeps `seat` at the newest epoch, for ever.
pub(crate) async fn follow_seat(store: StoreClient, seat: watch::Sender<v1::SeatRow>) {
    let mut version = 0;
    loop {
        match store.follow(SEAT_TABLE, version, SEAT_WAIT).await {
            Ok(FeedAnswer::Changes(batch)) => {
                version = batch.version;
                take_seats(&batch.rows, &seat);
            }
            Ok(FeedAnswer::HistoryGone) => {
                match store.read_all(SEAT_TABLE, &[""], CALL_TIMEOUT).await {
                    Ok(all) => {
                        version = all.version;
                        take_seats(&all.rows, &seat);
                    }
                    Err(error) => {
                        info!("seat not read", kv: { reason = error.to_string() });
                        tokio::time::sleep(SEAT_RETRY).await;
                    }
                }
            }
            Err(error) => {
                info!("seat not followed", kv: { reason = error.to_string() });
                tokio::time::sleep(SEAT_RETRY).await;
            }
        }
    }
}

fn take_seats(rows: &[StoreRow], seat: &watch::Sender<v1::SeatRow>) {
    let values = rows.iter().filter_map(|row| row.value.as_ref());
    for value in values {
        match v1::SeatRow::decode(value.as_slice()) {
            Ok(row) if row.epoch > seat.borrow().epoch => {
                seat.send_replace(row);
            }
            Ok(_) => {}
            Err(error) => warn!("seat cannot be read", kv: { reason = error.to_string() }),
        }
    }
}

/// Watches the leader's row and leads whenever nobody else does.
pub(crate) async fn watch_lead(
    context: LeadContext,
    mut links: tokio::sync::mpsc::Receiver<AgentLink>,
) {
    let mut random = SplitMixRandom::new(context.clock.wall().as_millis() ^ name_bits(&context.vm));
    let mut watcher = new_watch(&context, &mut random);
    let mut is_reached = true;
    loop {
        let asked_at = context.clock.now();
        let row = context.store.read_one(&leader_ref(), CALL_TIMEOUT).await;
        context.callers.note_store_call(row.is_ok());
        let now = context.clock.now();
        let mut pause = WATCH_INTERVAL + Duration::from_millis(random.next_below(100) as u64);
        match row {
            Ok(row) => {
                if !is_reached {
                    info!("store regained");
                }
                is_reached = true;
                let version = row.as_ref().map_or(0, |row| row.version);
                let leader = row.as_ref().map(read_leader);
                if let Some(leader) = &leader {
                    context.leader.send_replace(LeaderView::new(leader, now));
                }
                let reading = leader
                    .as_ref()
                    .map(|leader| lead_reading(&context, version, leader));
                let is_stopping = context.callers.is_stopping.load(Ordering::Relaxed);
                match watcher.observe(reading, now.since(asked_at), now) {
                    ElectionStep::WaitUntil(due) => pause = pause.min(due.since(now)),
                    ElectionStep::TakeOver(cause) if !is_stopping => {
                        let earlier = leader.unwrap_or_default();
                        match try_lead(&context, cause, version, earlier, &mut links).await {
                            Some(LeadEnd::Released) => return,
                            Some(LeadEnd::Lost) => watcher = new_watch(&context, &mut random),
                            None => {}
                        }
                    }
                    ElectionStep::TakeOver(_) | ElectionStep::Follow => {}
                }
            }
            Err(error) => {
                if is_reached {
                    warn!("store lost", kv: { reason = error.to_string() });
                }
                is_reached = false;
            }
        }
        // Connections of agents that take this entry for the leader are closed.
        while links.try_recv().is_ok() {}
        tokio::time::sleep(pause).await;
    }
}

/// Takes a vacant row over and leads; returns how that ended, or [`None`] where
/// another entry was faster.
async fn try_lead(
    context: &LeadContext,
    cause: TakeoverCause,
    version: u64,
    earlier: v1::LeaderRow,
    links: &mut tokio::sync::mpsc::Receiver<AgentLink>,
) -> Option<LeadEnd> {
    info!("leader's row is vacant", kv: {
        cause = format!("{cause:?}"), epoch = earlier.epoch, holder = earlier.holder,
        row_version = version
    });
    let seat = take_over(context, version, earlier).await?;
    let end = run_leader(context, seat, links).await;
    context.meters.lead_epoch.set(0);
    context.meters.open_jobs.set(0);
    Some(end)
}

fn new_watch(context: &LeadContext, random: &mut SplitMixRandom) -> ElectionMonitor {
    ElectionMonitor::new(context.processor, random.next_below(1000) as u32)
}

/// Returns bits that differ by name, so that entries which start at the same
/// moment draw different numbers.
fn name_bits(name: &str) -> u64 {
    name.bytes().fold(0, |bits: u64, byte| {
        bits.wrapping_mul(131).wrapping_add(u64::from(byte))
    })
}

fn lead_reading(context: &LeadContext, version: u64, leader: &v1::LeaderRow) -> LeaderObservation {
    LeaderObservation {
        version,
        is_released: leader.released,
        is_own: leader.holder == context.vm,
        holder: CoreCount::from_millicores(leader.holder_millicores),
        strongest: CoreCount::from_millicores(leader.strongest_millicores),
    }
}

async fn take_over(
    context: &LeadContext,
    version: u64,
    earlier: v1::LeaderRow,
) -> Option<LeadSeat> {
    let epoch = earlier.epoch + 1;
    let strongest = CoreCount::from_millicores(earlier.strongest_millicores);
    let row = v1::LeaderRow {
        epoch,
        holder: context.vm.clone(),
        address: context.address.to_string(),
        callers_address: context.callers.address.to_string(),
        queues: earlier.queues.clone(),
        holder_millicores: context.processor.as_millicores(),
        strongest_millicores: strongest.max(context.processor).as_millicores(),
        ..v1::LeaderRow::default()
    };
    let seat_row = v1::SeatRow {
        epoch,
        address: row.address.clone(),
        callers_address: row.callers_address.clone(),
    };
    let put = |row, value| RowPut { row, value };
    let request = TxRequest {
        expect: vec![(leader_ref(), version)],
        puts: vec![
            put(leader_ref(), row.encode_to_vec()),
            put(seat_ref(), seat_row.encode_to_vec()),
        ],
        removes: Vec::new(),
    };
    match context.store.transact(&request, CALL_TIMEOUT).await {
        TxAnswer::Done { version } => {
            info!("takes the lead", kv: { epoch = epoch, row_version = version });
            Some(LeadSeat {
                epoch,
                version,
                queues: earlier.queues,
                strongest,
            })
        }
        TxAnswer::Conflict { .. } => None,
        // Where it took effect after all, the next reading shows this entry
        // as the holder, and the row is taken over from there.
        TxAnswer::NotDone { reason } | TxAnswer::Unknown { reason } => {
            warn!("lead not taken", kv: { epoch = epoch, reason = reason });
            None
        }
    }
}
