//! `turmericctl learned`: what was learned of job kinds.

use clap::Command;
use serde_json::{Value, json};

use super::CommandContext;
use crate::error::CommandError;

pub(crate) fn build() -> Command {
    Command::new("learned")
        .about("List what was learned of job kinds: use, and harm to services")
        .after_help(
            "Harm is the slowdown of a service by one task, in thousandths, times the\n\
             cores of the VM: 8000 is half as long again on 16 cores, an eighth on 64.",
        )
}

pub(crate) async fn run(context: &CommandContext) -> Result<(), CommandError> {
    let mut rows = Vec::new();
    // Each entry has learned of the teams whose partitions it owns.
    for entry in &context.client.entries {
        let answer = context
            .client
            .call("GET", *entry, "/v1/learned", &Value::Null)
            .await;
        match answer {
            Ok(Value::Array(kinds)) => rows.extend(kinds.iter().map(show_kind)),
            Ok(_) => {}
            Err(error) => eprintln!("turmericctl: kinds of {entry} are missing: {error}"),
        }
    }
    let columns = ["team", "kind", "samples", "cores", "memory", "harm"];
    context.form.print_rows(&columns, &rows);
    Ok(())
}

/// Puts the harm of a kind to all services into one column.
fn show_kind(kind: &Value) -> Value {
    let mut row = kind.clone();
    let interferences = kind["harm"].as_array().cloned().unwrap_or_default();
    let shown: Vec<String> = interferences
        .iter()
        .map(|interference| {
            format!(
                "{} {} {} ({})",
                interference["service"].as_str().unwrap_or_default(),
                interference["load"].as_str().unwrap_or_default(),
                interference["permille_cores"],
                interference["samples"],
            )
        })
        .collect();
    row["harm"] = json!(shown.join(", "));
    row
}
