//! `turmericctl settings wait`: until a version is in force everywhere.

use std::io::IsTerminal;
use std::time::{Duration, Instant};

use clap::{Arg, ArgMatches, Command, value_parser};
use serde_json::Value;

use crate::client::text_of;
use crate::command::CommandContext;
use crate::error::CommandError;

/// Pause between two looks.
const LOOK_PAUSE: Duration = Duration::from_millis(200);

pub(crate) fn build() -> Command {
    Command::new("wait")
        .about("Wait until a version is in force in every process, and name those that lack it")
        .arg(
            Arg::new("version")
                .required(true)
                .value_parser(value_parser!(u64))
                .help("Version, as `settings set` prints it"),
        )
        .arg(
            Arg::new("timeout")
                .long("timeout")
                .default_value("19")
                .value_parser(value_parser!(u64))
                .help("Longest wait, in seconds"),
        )
}

pub(crate) async fn run(
    context: &CommandContext,
    matches: &ArgMatches,
) -> Result<(), CommandError> {
    let version = matches
        .get_one::<u64>("version")
        .copied()
        .unwrap_or_default();
    let timeout = matches
        .get_one::<u64>("timeout")
        .copied()
        .unwrap_or_default();
    let limit = Instant::now() + Duration::from_secs(timeout);
    loop {
        let missing = missing_processes(context, version).await;
        if missing.is_empty() {
            println!("version {version} is in force everywhere");
            return Ok(());
        }
        if Instant::now() >= limit {
            return Err(CommandError::TimedOut {
                message: format!("version {version} is missing at {}", missing.join(", ")),
            });
        }
        if std::io::stderr().is_terminal() {
            eprint!("\rwaiting for {} processes ", missing.len());
        }
        tokio::time::sleep(LOOK_PAUSE).await;
    }
}

async fn missing_processes(context: &CommandContext, version: u64) -> Vec<String> {
    let mut missing = Vec::new();
    for entry in &context.client.entries {
        let status = context
            .client
            .call("GET", *entry, "/v1/status", &Value::Null)
            .await;
        let in_force = status
            .ok()
            .and_then(|status| status["settings_version"].as_u64());
        if in_force.is_none_or(|in_force| in_force < version) {
            missing.push(entry.to_string());
        }
        let agents = context
            .client
            .call("GET", *entry, "/v1/agents", &Value::Null)
            .await
            .unwrap_or_default();
        for agent in agents.as_array().into_iter().flatten() {
            let name = text_of(&agent["agent"]);
            let is_behind = agent["settings_version"].as_u64() < Some(version);
            if is_behind && !missing.contains(&name) {
                missing.push(name);
            }
        }
    }
    missing
}
