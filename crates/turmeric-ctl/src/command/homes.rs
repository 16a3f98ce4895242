//! `turmericctl homes`: the agents that decide about idempotency keys.

use std::time::{Duration, Instant};

use clap::{Arg, ArgAction, ArgMatches, Command};
use turmeric_settings::{ChangeEdit, SettingName, SettingsPath};
use turmeric_types::FindingList;

use super::edit::{make_change, print_accepted};
use super::{CommandContext, author_flag, text};
use crate::client::text_of;
use crate::error::CommandError;

/// Longest wait for agents to announce themselves.
const AGENT_TIMEOUT: Duration = Duration::from_secs(10);

/// Pause between two requests for the list of agents.
const AGENT_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Most homes that are taken from the agents known.
const HOME_LIMIT: usize = 64;

pub(crate) fn build() -> Command {
    Command::new("homes")
        .about("Set the agents that decide which attempt may run a request with a key")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("set")
                .about("Set the homes once, when the installation starts")
                .arg(
                    Arg::new("addresses")
                        .long("addresses")
                        .help("IP addresses and ports of agents, separated by commas"),
                )
                .arg(
                    Arg::new("from-agents")
                        .long("from-agents")
                        .action(ArgAction::SetTrue)
                        .conflicts_with("addresses")
                        .help("Take the agents that have announced themselves"),
                )
                .arg(
                    Arg::new("replace")
                        .long("replace")
                        .action(ArgAction::SetTrue)
                        .help(
                            "Replace homes in use; safe only while no request with a key is sent",
                        ),
                )
                .arg(author_flag()),
        )
}

pub(crate) async fn run(
    context: &CommandContext,
    matches: &ArgMatches,
) -> Result<(), CommandError> {
    let Some(("set", matches)) = matches.subcommand() else {
        return Ok(());
    };
    if !matches.get_flag("replace") {
        check_unset(context).await?;
    }
    let homes = match matches.get_one::<String>("addresses") {
        Some(addresses) => addresses.clone(),
        None if matches.get_flag("from-agents") => agent_addresses(context).await?,
        None => {
            let mut findings = FindingList::new();
            findings.push("--addresses", "no value; or give --from-agents");
            return Err(CommandError::Arguments(findings));
        }
    };
    let edit = ChangeEdit {
        path: SettingsPath::root(),
        name: SettingName::KeyHomes,
        value: Some(homes),
    };
    let version = make_change(context, &text(matches, "author"), vec![edit], None).await?;
    print_accepted(context, version);
    Ok(())
}

/// Refuses to move homes: two homes for one key could run a request twice.
async fn check_unset(context: &CommandContext) -> Result<(), CommandError> {
    let settings = context
        .client
        .get("/v1/settings/explain?path=/&name=key-homes")
        .await?;
    let present = text_of(&settings[0]["value"]);
    if present.is_empty() {
        return Ok(());
    }
    Err(CommandError::Refused {
        code: "homes-set".to_owned(),
        message: format!(
            "the homes are {present}; a VM that replaces another takes over its address, so they need no change. \
             To move them, stop all requests with keys, give --replace, and wait for the key window of ten minutes"
        ),
    })
}

/// Waits for agents and returns their addresses in order.
async fn agent_addresses(context: &CommandContext) -> Result<String, CommandError> {
    let deadline = Instant::now() + AGENT_TIMEOUT;
    loop {
        let agents = context.client.get("/v1/agents").await?;
        let mut addresses: Vec<String> = agents
            .as_array()
            .into_iter()
            .flatten()
            .map(|agent| text_of(&agent["address"]))
            .collect();
        addresses.sort();
        addresses.dedup();
        addresses.truncate(HOME_LIMIT);
        if !addresses.is_empty() {
            return Ok(addresses.join(","));
        }
        if Instant::now() >= deadline {
            return Err(CommandError::TimedOut {
                message: "no agent has announced itself".to_owned(),
            });
        }
        tokio::time::sleep(AGENT_POLL_INTERVAL).await;
    }
}
