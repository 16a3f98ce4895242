//! `turmericctl settings export`: a subtree as text.

use clap::{ArgMatches, Command};
use turmeric_settings::SettingsPath;
use turmeric_types::FindingList;

use super::read_tree;
use crate::command::{CommandContext, positional, text};
use crate::error::CommandError;

pub(crate) fn build() -> Command {
    Command::new("export")
        .about("Print the values set below a place, one PATH:NAME=VALUE a line in order")
        .arg(positional("path", "Place in the tree, / for all"))
}

pub(crate) async fn run(
    context: &CommandContext,
    matches: &ArgMatches,
) -> Result<(), CommandError> {
    let mut findings = FindingList::new();
    let path = findings.collect("PATH", text(matches, "path").parse::<SettingsPath>());
    let path = findings
        .into_result(path)
        .map_err(CommandError::Arguments)?;
    for (place, name, value) in read_tree(context).await?.entries(&path) {
        println!("{place}:{name}={value}");
    }
    Ok(())
}
