//! `turmericctl zone`: take an availability zone out of service and back.

use clap::{ArgMatches, Command};
use turmeric_settings::{ChangeEdit, SettingName, SettingsPath};
use turmeric_types::{FindingList, ZoneName};

use super::edit::{make_change, print_accepted};
use super::{CommandContext, author_flag, positional, text};
use crate::error::CommandError;

pub(crate) fn build() -> Command {
    let direction = |name: &'static str, about: &'static str| {
        Command::new(name)
            .about(about)
            .arg(positional("region", "Region of the availability zone"))
            .arg(positional("zone", "Availability zone"))
            .arg(author_flag())
    };
    Command::new("zone")
        .about("Take an availability zone out of service and back")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(direction(
            "out",
            "Start nothing there any more, and move tasks away",
        ))
        .subcommand(direction("in", "Let the availability zone take work again"))
}

pub(crate) async fn run(
    context: &CommandContext,
    matches: &ArgMatches,
) -> Result<(), CommandError> {
    let Some((direction, matches)) = matches.subcommand() else {
        return Ok(());
    };
    let mut findings = FindingList::new();
    let region = findings.collect("REGION", text(matches, "region").parse::<ZoneName>());
    let zone = findings.collect("ZONE", text(matches, "zone").parse::<ZoneName>());
    let path = region.zip(zone).map(|(region, zone)| {
        SettingsPath::root()
            .child(region.as_str())
            .child(zone.as_str())
    });
    let path = findings
        .into_result(path)
        .map_err(CommandError::Arguments)?;
    let edit = ChangeEdit {
        path,
        name: SettingName::InService,
        value: Some((direction == "in").to_string()),
    };
    let version = make_change(context, &text(matches, "author"), vec![edit], None).await?;
    print_accepted(context, version);
    Ok(())
}
