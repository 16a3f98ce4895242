//! `turmericctl settings set`: set values in one change.

use clap::{Arg, ArgMatches, Command, value_parser};
use turmeric_settings::{ChangeEdit, SettingName, SettingsPath};
use turmeric_types::{FindingList, SettingsVersion};

use crate::command::edit::{make_change, print_accepted};
use crate::command::{CommandContext, author_flag};
use crate::error::CommandError;

pub(crate) fn build() -> Command {
    Command::new("set")
        .about("Set values, all in one change")
        .after_help(
            "Example: turmericctl settings set /morava/morava-a:queue-limit=32 /:batch-speed=80",
        )
        .arg(
            Arg::new("edits")
                .required(true)
                .num_args(1..)
                .help("PATH:NAME=VALUE, one or more"),
        )
        .arg(base_flag())
        .arg(author_flag())
}

/// The flag with the version that the operator looked at.
pub(super) fn base_flag() -> Arg {
    Arg::new("base")
        .long("base")
        .value_parser(value_parser!(u64))
        .help("Version you looked at; the change is refused if related values changed since")
}

pub(super) fn read_base(matches: &ArgMatches) -> Option<SettingsVersion> {
    matches
        .get_one::<u64>("base")
        .map(|base| SettingsVersion::new(*base))
}

/// Reads PATH:NAME=VALUE.
pub(super) fn read_edit(text: &str) -> Result<ChangeEdit, String> {
    let shape = || format!("{text:?} is not PATH:NAME=VALUE");
    let (place, value) = text.split_once('=').ok_or_else(shape)?;
    let (path, name) = place.rsplit_once(':').ok_or_else(shape)?;
    Ok(ChangeEdit {
        path: path
            .parse::<SettingsPath>()
            .map_err(|error| format!("{text:?}: {error}"))?,
        name: name
            .parse::<SettingName>()
            .map_err(|error| format!("{text:?}: {error}"))?,
        value: Some(value.to_owned()),
    })
}

/// Reads all edits of a command, with all findings together.
pub(super) fn read_edits(matches: &ArgMatches) -> Result<Vec<ChangeEdit>, CommandError> {
    let mut findings = FindingList::new();
    let mut edits = Vec::new();
    for text in matches.get_many::<String>("edits").into_iter().flatten() {
        edits.extend(findings.collect("EDIT", read_edit(text)));
    }
    findings
        .into_result(Some(edits))
        .map_err(CommandError::Arguments)
}

pub(crate) async fn run(
    context: &CommandContext,
    matches: &ArgMatches,
) -> Result<(), CommandError> {
    let edits = read_edits(matches)?;
    let author = crate::command::text(matches, "author");
    let version = make_change(context, &author, edits, read_base(matches)).await?;
    print_accepted(context, version);
    Ok(())
}
