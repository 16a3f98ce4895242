//! `turmericctl settings unset`: let a place inherit again.

use clap::{ArgMatches, Command};
use turmeric_settings::ChangeEdit;

use super::set::{base_flag, read_base};
use crate::command::edit::{make_change, print_accepted, read_place};
use crate::command::{CommandContext, author_flag, positional, text};
use crate::error::CommandError;

pub(crate) fn build() -> Command {
    Command::new("unset")
        .about("Let a place inherit a value again")
        .arg(positional("path", "Place in the tree"))
        .arg(positional("name", "Setting"))
        .arg(base_flag())
        .arg(author_flag())
}

pub(crate) async fn run(
    context: &CommandContext,
    matches: &ArgMatches,
) -> Result<(), CommandError> {
    let (path, name) = read_place(&text(matches, "path"), &text(matches, "name"))?;
    let edit = ChangeEdit {
        path,
        name,
        value: None,
    };
    let author = text(matches, "author");
    let version = make_change(context, &author, vec![edit], read_base(matches)).await?;
    print_accepted(context, version);
    Ok(())
}
