//! `turmericctl tasks`: tasks, and why they wait.

use clap::{Arg, ArgMatches, Command};
use serde_json::Value;

use super::CommandContext;
use crate::error::CommandError;

pub(crate) fn build() -> Command {
    let flag = |name: &'static str, help: &'static str| Arg::new(name).long(name).help(help);
    Command::new("tasks")
        .about("List tasks and why they wait")
        .arg(flag("job", "Only tasks of this job"))
        .arg(flag("team", "Only tasks of this team"))
        .arg(flag(
            "phase",
            "waiting, assigned, succeeded, failed or cancelled",
        ))
}

pub(crate) async fn run(
    context: &CommandContext,
    matches: &ArgMatches,
) -> Result<(), CommandError> {
    let mut query = String::new();
    for name in ["job", "team", "phase"] {
        if let Some(value) = matches.get_one::<String>(name) {
            query.push_str(&format!("{name}={value}&"));
        }
    }
    let mut rows = Vec::new();
    // Each entry lists the partitions that it owns.
    for entry in &context.client.entries {
        let path = format!("/v1/tasks?{query}");
        let answer = context
            .client
            .call("GET", *entry, &path, &Value::Null)
            .await;
        match answer {
            Ok(tasks) => rows.extend(tasks.as_array().cloned().unwrap_or_default()),
            Err(error) => eprintln!("turmericctl: tasks of {entry} are missing: {error}"),
        }
    }
    context.form.print_rows(
        &[
            "task",
            "team",
            "class",
            "kind",
            "resources",
            "given",
            "phase",
            "agent",
            "attempt",
            "evictions",
            "waits_because",
        ],
        &rows,
    );
    Ok(())
}
