//! Follows the operators' table: the configuration, and availability zones out of service.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use spdlog::{info, warn};
use tokio::sync::watch;
use turmeric_platform::{FeedAnswer, OperatorRow, StoreClient, StoreRow, read_operator_row};

use super::view::OperatorView;

/// Table that operators write.
const OPERATOR_TABLE: &str = "op";

/// Long-poll timeout of the feed. The feed returns changes at once; one that it misses is found
/// by the next poll, well within the 2 s that operators are guaranteed.
const FEED_WAIT: Duration = Duration::from_millis(1000);

/// Timeout of reading the whole table.
const READ_TIMEOUT: Duration = Duration::from_millis(1200);

/// Wait before a failed call is retried; four entries share a store of 2,000 reads a second.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Keeps `view` up to date with the operators' table until the process ends.
pub(crate) async fn follow_operators(store: StoreClient, view: watch::Sender<OperatorView>) {
    let mut is_reachable = true;
    loop {
        match follow_once(&store, &view, &mut is_reachable).await {
            Ok(has_followed) => {
                info!(
                    "the feed lacks older changes of the operators' table; reading the whole table"
                );
                // Else the store forgets faster than the table can be read.
                if !has_followed {
                    tokio::time::sleep(RETRY_INTERVAL).await;
                }
            }
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

/// Reads the table, then follows its feed until the feed no longer has the history needed.
///
/// Returns whether the feed has been followed at all.
async fn follow_once(
    store: &StoreClient,
    view: &watch::Sender<OperatorView>,
    is_reachable: &mut bool,
) -> Result<bool, String> {
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
    let mut has_followed = false;
    loop {
        match store.follow(OPERATOR_TABLE, version, FEED_WAIT).await {
            Ok(FeedAnswer::Changes(batch)) => {
                record_reachable(is_reachable);
                version = batch.version;
                has_followed = true;
                if batch.rows.is_empty() {
                    continue;
                }
                for row in batch.rows {
                    // The table was read after the version from which the feed is followed.
                    let known = rows.get(&row.key).map_or(0, |known| known.version);
                    if row.version < known {
                        continue;
                    }
                    if row.value.is_some() {
                        rows.insert(row.key.clone(), row);
                    } else {
                        rows.remove(&row.key);
                    }
                }
                publish(&rows, view);
            }
            Ok(FeedAnswer::HistoryGone) => return Ok(has_followed),
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

/// Records that the store has answered, and logs it after a failure.
fn record_reachable(is_reachable: &mut bool) {
    if !*is_reachable {
        info!("operators' table regained");
    }
    *is_reachable = true;
}

/// Publishes the settings that the rows hold. A configuration is never replaced by an older
/// one.
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
            OperatorRow::Config(None) => warn!("the configuration cannot be decoded; the last one \
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
