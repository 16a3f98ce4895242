//! `turmericctl settings history`: the newest changes.

use clap::Command;
use serde_json::Value;

use crate::client::text_of;
use crate::command::CommandContext;
use crate::error::CommandError;

pub(crate) fn build() -> Command {
    Command::new("history").about("List the newest changes, oldest first")
}

pub(crate) async fn run(context: &CommandContext) -> Result<(), CommandError> {
    let changes = context.client.get("/v1/settings/history").await?;
    let mut rows = Vec::new();
    for change in changes.as_array().into_iter().flatten() {
        for edit in change["edits"].as_array().into_iter().flatten() {
            rows.push(serde_json::json!({
                "change": change["id"],
                "after_version": change["base"],
                "author": change["author"],
                "path": edit["path"],
                "name": edit["name"],
                "value": describe(&edit["value"]),
            }));
        }
    }
    context.form.print_rows(
        &["change", "after_version", "author", "path", "name", "value"],
        &rows,
    );
    Ok(())
}

fn describe(value: &Value) -> String {
    match value {
        Value::Null => "(inherited)".to_owned(),
        other => text_of(other),
    }
}
