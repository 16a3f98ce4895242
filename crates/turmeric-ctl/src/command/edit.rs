//! Changes of settings, as several commands make them.

use std::time::{SystemTime, UNIX_EPOCH};

use serde_json::Value;
use turmeric_settings::{ChangeEdit, ChangeId, SettingName, SettingsChange, SettingsPath};
use turmeric_types::{FindingList, SettingsVersion, WallTime};
use uuid::Uuid;

use super::CommandContext;
use crate::error::CommandError;

/// Tries of one change whose outcome was lost, under one identifier.
const CHANGE_TRIES: u32 = 5;

/// Reads a path and a setting's name, with all findings together.
pub(crate) fn read_place(
    path: &str,
    name: &str,
) -> Result<(SettingsPath, SettingName), CommandError> {
    let mut findings = FindingList::new();
    let path = findings.collect("PATH", path.parse::<SettingsPath>());
    let name = findings.collect("NAME", name.parse::<SettingName>());
    let place = || Some((path?, name?));
    let place = place();
    findings.into_result(place).map_err(CommandError::Arguments)
}

/// Makes one change of several values; returns its version.
pub(crate) async fn make_change(
    context: &CommandContext,
    author: &str,
    edits: Vec<ChangeEdit>,
    base: Option<SettingsVersion>,
) -> Result<SettingsVersion, CommandError> {
    let base = match base {
        Some(base) => base,
        None => newest_version(context).await?,
    };
    let change = SettingsChange {
        id: ChangeId::from(Uuid::new_v4()),
        base,
        author: author.to_owned(),
        changed_at: wall_time(),
        edits,
    };
    let body = serde_json::to_value(&change).map_err(|error| CommandError::Unreachable {
        message: error.to_string(),
    })?;
    let answer = send_change(context, &body).await?;
    let version = answer["version"].as_u64().unwrap_or_default();
    Ok(SettingsVersion::new(version))
}

/// Sends the change until an entry says what became of it.
async fn send_change(context: &CommandContext, body: &Value) -> Result<Value, CommandError> {
    let mut turn = 1;
    loop {
        match context.client.post("/v1/settings/change", body).await {
            Err(CommandError::Unreachable { .. }) if turn < CHANGE_TRIES => turn += 1,
            other => return other,
        }
        tokio::time::sleep(std::time::Duration::from_millis(500)).await;
    }
}

async fn newest_version(context: &CommandContext) -> Result<SettingsVersion, CommandError> {
    let tree = context.client.get("/v1/settings").await?;
    let version = tree["version"].as_u64().unwrap_or_default();
    Ok(SettingsVersion::new(version))
}

fn wall_time() -> WallTime {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    WallTime::from_millis(elapsed.unwrap_or_default().as_millis() as u64)
}

/// Prints that a change was accepted.
pub(crate) fn print_accepted(context: &CommandContext, version: SettingsVersion) {
    if context.form.is_json {
        println!(
            "{}",
            serde_json::json!({ "accepted": true, "version": version })
        );
    } else {
        println!("accepted as version {version}");
    }
}
