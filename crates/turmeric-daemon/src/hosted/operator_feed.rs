//! Follows what operators write.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use spdlog::{info, warn};
use tokio::sync::watch;
use turmeric_platform::{FeedAnswer, OperatorRow, StoreClient, StoreRow, read_operator_row};

use super::view::OperatorView;

/// Table that operators write.
const OPERATOR_TABLE: &str = "op";

/// How long the feed is asked to wait: changes come at once, and a feed that
/// misses one is found out well within the 2 s that operators are promised.
const FEED_WAIT: Duration = Duration::from_millis(1000);

/// Longest wait for the rows.
const READ_TIMEOUT: Duration = Duration::from_millis(1200);

/// Wait after a failed call; four entries and a store of 2,000 reads a second.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Keeps `view` at what the operators' table holds.
pub(crate) async fn follow_operators(store: StoreClient, view: watch::Sender<OperatorView>) {
    let mut is_reachable = true;
    loop {
        match follow_once(&store, &view, &mut is_reachable).await {
            Ok(()) => info!("history of the operators' table is gone; reading it anew"),
            Err(reason) => {
                if is_reachable {
                    warn!("operators' table lost", kv: { reason = reason });
                }
                is_reachable = false;
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
        }
    }
}

/// Reads the table, then follows it until its history is gone.
async fn follow_once(
    store: &StoreClient,
    view: &watch::Sender<OperatorView>,
    is_reachable: &mut bool,
) -> Result<(), String> {
    let all = store
        .read_all(OPERATOR_TABLE, &[""], READ_TIMEOUT)
        .await
        .map_err(|error| error.to_string())?;
    record_reachable(is_reachable);
    let mut version = all.version;
    let mut rows: BTreeMap<String, StoreRow> = all
        .rows
        .into_iter()
        .map(|row| (row.key.clone(), row))
        .collect();
    publish(&rows, view);
    loop {
        match store.follow(OPERATOR_TABLE, version, FEED_WAIT).await {
            Ok(FeedAnswer::Changes(batch)) => {
                record_reachable(is_reachable);
                version = batch.version;
                if batch.rows.is_empty() {
                    continue;
                }
                for row in batch.rows {
                    if row.value.is_some() {
                        rows.insert(row.key.clone(), row);
                    } else {
                        rows.remove(&row.key);
                    }
                }
                publish(&rows, view);
            }
            Ok(FeedAnswer::HistoryGone) => return Ok(()),
            Err(error) => {
                if *is_reachable {
                    warn!("operators' table lost", kv: { reason = error.to_string() });
                }
                *is_reachable = false;
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
        }
    }
}

fn record_reachable(is_reachable: &mut bool) {
    if !*is_reachable {
        info!("operators' table regained");
    }
    *is_reachable = true;
}

/// Puts the rows in force; a configuration never gives way to an older one.
fn publish(rows: &BTreeMap<String, StoreRow>, view: &watch::Sender<OperatorView>) {
    let mut next = OperatorView {
        config: view.borrow().config.clone(),
        ..OperatorView::default()
    };
    for row in rows.values() {
        match read_operator_row(&row.key, row.value.as_deref()) {
            OperatorRow::Config(Some(config)) => {
                let present = next.config.as_ref().map_or(0, |config| config.version);
                if config.version > present {
                    info!("configuration in force", kv: {
                        version = config.version, routes = config.routes.len(),
                        row_version = row.version
                    });
                    next.config = Some(Arc::new(config));
                }
            }
            OperatorRow::Config(None) => warn!("the configuration cannot be read; the last one \
                stays in force", kv: { row_version = row.version }),
            OperatorRow::ZoneOut { zone } => {
                next.closed_zones.insert(zone);
            }
            OperatorRow::Other => {}
        }
    }
    if next.closed_zones != view.borrow().closed_zones {
        info!("zones out of service", kv: { zones = format!("{:?}", next.closed_zones) });
    }
    view.send_replace(next);
}
