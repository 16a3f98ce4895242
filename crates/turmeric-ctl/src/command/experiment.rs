//! `turmericctl experiment`: one routing policy against another.

mod page;
mod report;

use clap::{Arg, ArgMatches, Command};
use turmeric_settings::{ChangeEdit, SettingName, SettingsPath};
use turmeric_types::FindingList;

use super::edit::{make_change, print_accepted};
use super::{CommandContext, author_flag, positional, text};
use crate::error::CommandError;

pub(crate) fn build() -> Command {
    Command::new("experiment")
        .about("Run one routing policy against another on live traffic")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("start")
                .about("Start an experiment at a service; arm A keeps the routing policy")
                .arg(positional(
                    "path",
                    "Service, for example /morava/morava-a/verdikt",
                ))
                .arg(positional("name", "Name of the experiment"))
                .arg(positional("policy", "Routing policy of arm B"))
                .arg(
                    Arg::new("share")
                        .long("share")
                        .default_value("50")
                        .help("Share of units in arm B, in percent"),
                )
                .arg(
                    Arg::new("unit")
                        .long("unit")
                        .default_value("time-slot")
                        .help("What is assigned: request, caller or time-slot"),
                )
                .arg(author_flag()),
        )
        .subcommand(
            Command::new("stop")
                .about("Stop the experiment at a service")
                .arg(positional("path", "Service"))
                .arg(author_flag()),
        )
        .subcommand(Command::new("list").about("List all runs of experiments"))
        .subcommand(report::build())
}

pub(crate) async fn run(
    context: &CommandContext,
    matches: &ArgMatches,
) -> Result<(), CommandError> {
    let Some((verb, matches)) = matches.subcommand() else {
        return Ok(());
    };
    match verb {
        "list" => return report::list(context).await,
        "report" => return report::show(context, matches).await,
        _ => {}
    }
    let mut findings = FindingList::new();
    let path = findings.collect("PATH", text(matches, "path").parse::<SettingsPath>());
    let path = findings
        .into_result(path)
        .map_err(CommandError::Arguments)?;
    if verb == "start" {
        check_free(context, &path).await?;
    }
    let edit = |name, value: Option<String>| ChangeEdit {
        path: path.clone(),
        name,
        value,
    };
    let edits = if verb == "start" {
        vec![
            edit(SettingName::ExperimentName, Some(text(matches, "name"))),
            edit(SettingName::ExperimentPolicy, Some(text(matches, "policy"))),
            edit(SettingName::ExperimentShare, Some(text(matches, "share"))),
            edit(SettingName::ExperimentUnit, Some(text(matches, "unit"))),
        ]
    } else {
        vec![edit(SettingName::ExperimentName, Some(String::new()))]
    };
    let version = make_change(context, &text(matches, "author"), edits, None).await?;
    print_accepted(context, version);
    Ok(())
}

/// Refuses a second experiment on the same units.
async fn check_free(context: &CommandContext, path: &SettingsPath) -> Result<(), CommandError> {
    let query = format!("/v1/settings/explain?path={path}&name=experiment-name");
    let settings = context.client.get(&query).await?;
    let running = crate::client::text_of(&settings[0]["value"]);
    if running.is_empty() {
        return Ok(());
    }
    Err(CommandError::Refused {
        code: "experiment-running".to_owned(),
        message: format!("experiment {running} runs there; stop it first"),
    })
}
