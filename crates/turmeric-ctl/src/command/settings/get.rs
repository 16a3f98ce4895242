//! `turmericctl settings get`: one value in force.

use clap::{ArgMatches, Command};

use super::read_tree;
use crate::command::edit::read_place;
use crate::command::{CommandContext, positional, text};
use crate::error::CommandError;

pub(crate) fn build() -> Command {
    Command::new("get")
        .about("Print the value of a setting in force at a place")
        .after_help("Example: turmericctl settings get /morava/morava-a queue-limit")
        .arg(positional(
            "path",
            "Place in the tree, for example /morava/morava-a",
        ))
        .arg(positional("name", "Setting"))
}

pub(crate) async fn run(
    context: &CommandContext,
    matches: &ArgMatches,
) -> Result<(), CommandError> {
    let (path, name) = read_place(&text(matches, "path"), &text(matches, "name"))?;
    let effective = read_tree(context).await?.effective(&path, name);
    println!("{}", effective.value);
    Ok(())
}
