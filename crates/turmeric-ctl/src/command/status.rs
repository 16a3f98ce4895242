//! `turmericctl status`: the state of every entry.

use clap::Command;
use serde_json::Value;

use super::CommandContext;
use crate::error::CommandError;

pub(crate) fn build() -> Command {
    Command::new("status").about("Show the state of every entry")
}

pub(crate) async fn run(context: &CommandContext) -> Result<(), CommandError> {
    let mut rows = Vec::new();
    let mut answered = 0;
    for entry in &context.client.entries {
        let status = context
            .client
            .call("GET", *entry, "/v1/status", &Value::Null)
            .await;
        match status {
            Ok(status) => {
                answered += 1;
                rows.push(status);
            }
            Err(error) => rows.push(serde_json::json!({
                "entry": entry.to_string(),
                "version": error.to_string(),
            })),
        }
    }
    context.form.print_rows(
        &[
            "entry",
            "version",
            "settings_version",
            "agents",
            "partitions",
            "waiting_tasks",
            "in_progress",
        ],
        &rows,
    );
    if answered == 0 {
        return Err(CommandError::Unreachable {
            message: "no entry answers".to_owned(),
        });
    }
    Ok(())
}
