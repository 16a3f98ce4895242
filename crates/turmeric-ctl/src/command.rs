//! The commands, one a file.

mod agents;
mod completions;
mod config;
mod edit;
mod experiment;
mod explain;
mod homes;
mod jobs;
mod learned;
mod settings;
mod status;
mod tasks;
mod timeline;
mod zone;

use std::net::SocketAddr;

use clap::{Arg, ArgAction, ArgMatches, Command};
use turmeric_types::FindingList;

use crate::client::OperatorClient;
use crate::error::CommandError;
use crate::output::OutputForm;

/// What every command needs.
pub(crate) struct CommandContext {
    pub(crate) client: OperatorClient,
    pub(crate) form: OutputForm,
}

/// Returns the command line.
pub(crate) fn build() -> Command {
    Command::new("turmericctl")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Operate turmericlb")
        .after_help(
            "Exit codes: 0 done, 1 no entry answers, 2 bad arguments, 3 refused, 4 timed out.\n\
             Those of 'config check' are in its help.\n\n\
             Examples:\n  \
             turmericctl --entries 10.0.0.5:7400,10.0.0.6:7400 status\n  \
             turmericctl zone out morava morava-b --author ana\n  \
             turmericctl settings explain /morava/morava-a/verdikt routing-policy",
        )
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(
            Arg::new("entries")
                .long("entries")
                .env("TURMERIC_ENTRIES")
                .default_value("127.0.0.1:7400")
                .global(true)
                .help("IP addresses and ports of entries, separated by commas"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .global(true)
                .help("Print JSON instead of a table"),
        )
        .subcommand(status::build())
        .subcommand(agents::build())
        .subcommand(settings::build())
        .subcommand(zone::build())
        .subcommand(homes::build())
        .subcommand(experiment::build())
        .subcommand(jobs::build())
        .subcommand(tasks::build())
        .subcommand(learned::build())
        .subcommand(timeline::build())
        .subcommand(explain::build())
        .subcommand(config::build())
        .subcommand(completions::build())
}

/// Runs the command that was typed.
pub(crate) async fn run(matches: &ArgMatches) -> Result<(), CommandError> {
    let context = read_context(matches)?;
    match matches.subcommand() {
        Some(("status", _)) => status::run(&context).await,
        Some(("agents", _)) => agents::run(&context).await,
        Some(("settings", matches)) => settings::run(&context, matches).await,
        Some(("zone", matches)) => zone::run(&context, matches).await,
        Some(("homes", matches)) => homes::run(&context, matches).await,
        Some(("experiment", matches)) => experiment::run(&context, matches).await,
        Some(("jobs", matches)) => jobs::run(&context, matches).await,
        Some(("learned", _)) => learned::run(&context).await,
        Some(("tasks", matches)) => tasks::run(&context, matches).await,
        Some(("timeline", matches)) => timeline::run(&context, matches).await,
        Some(("explain", matches)) => explain::run(&context, matches),
        Some(("config", matches)) => config::run(&context, matches),
        Some(("completions", matches)) => completions::run(matches),
        _ => Ok(()),
    }
}

fn read_context(matches: &ArgMatches) -> Result<CommandContext, CommandError> {
    let mut findings = FindingList::new();
    let mut entries = Vec::new();
    let text = matches
        .get_one::<String>("entries")
        .map_or("", String::as_str);
    for part in text.split(',') {
        let address = part.parse::<SocketAddr>();
        let address = address.map_err(|_| {
            format!("{part:?} is not an IP address and port; for example 10.0.0.5:7400")
        });
        entries.extend(findings.collect("--entries (TURMERIC_ENTRIES)", address));
    }
    let entries = findings
        .into_result(Some(entries))
        .map_err(CommandError::Arguments)?;
    Ok(CommandContext {
        client: OperatorClient::new(entries),
        form: OutputForm {
            is_json: matches.get_flag("json"),
        },
    })
}

/// A required positional argument.
fn positional(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).required(true).help(help)
}

/// The flag with which an operator signs a change.
fn author_flag() -> Arg {
    Arg::new("author")
        .long("author")
        .env("USER")
        .default_value("unknown")
        .help("Who makes the change; kept in the history")
}

/// Returns an argument's text; clap has checked that a required one is there.
fn text(matches: &ArgMatches, name: &str) -> String {
    matches.get_one::<String>(name).cloned().unwrap_or_default()
}
