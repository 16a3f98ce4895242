//! `turmericctl settings`: the tree of settings.

mod explain;
mod export;
mod get;
mod history;
mod import;
mod list;
mod preview;
mod rollback;
mod set;
mod unset;
mod wait;

use clap::{ArgMatches, Command};

use super::CommandContext;
use crate::error::CommandError;

pub(crate) fn build() -> Command {
    Command::new("settings")
        .about("Read and change the tree of settings")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(list::build())
        .subcommand(get::build())
        .subcommand(explain::build())
        .subcommand(set::build())
        .subcommand(unset::build())
        .subcommand(preview::build())
        .subcommand(history::build())
        .subcommand(rollback::build())
        .subcommand(export::build())
        .subcommand(import::build())
        .subcommand(wait::build())
}

pub(crate) async fn run(
    context: &CommandContext,
    matches: &ArgMatches,
) -> Result<(), CommandError> {
    match matches.subcommand() {
        Some(("list", _)) => list::run(context),
        Some(("get", matches)) => get::run(context, matches).await,
        Some(("explain", matches)) => explain::run(context, matches).await,
        Some(("set", matches)) => set::run(context, matches).await,
        Some(("unset", matches)) => unset::run(context, matches).await,
        Some(("preview", matches)) => preview::run(context, matches).await,
        Some(("history", _)) => history::run(context).await,
        Some(("rollback", matches)) => rollback::run(context, matches).await,
        Some(("export", matches)) => export::run(context, matches).await,
        Some(("import", matches)) => import::run(context, matches).await,
        Some(("wait", matches)) => wait::run(context, matches).await,
        _ => Ok(()),
    }
}

/// Reads the tree in force at an entry.
async fn read_tree(
    context: &CommandContext,
) -> Result<turmeric_settings::SettingsTree, CommandError> {
    let tree = context.client.get("/v1/settings").await?;
    serde_json::from_value(tree).map_err(|error| CommandError::Unreachable {
        message: format!("the entry sent no tree: {error}"),
    })
}
