//! `turmericctl settings explain`: where a value comes from.

use clap::{Arg, ArgMatches, Command};
use serde_json::Value;
use turmeric_settings::{SETTING_SPECS, SettingName, SettingsPath};
use turmeric_types::FindingList;

use super::read_tree;
use crate::command::{CommandContext, positional, text};
use crate::error::CommandError;

pub(crate) fn build() -> Command {
    Command::new("explain")
        .about("Show values in force at a place, where they come from, who set them and when")
        .arg(positional("path", "Place in the tree"))
        .arg(Arg::new("name").help("Setting; all of them if none is named"))
}

pub(crate) async fn run(
    context: &CommandContext,
    matches: &ArgMatches,
) -> Result<(), CommandError> {
    let mut findings = FindingList::new();
    let path = findings.collect("PATH", text(matches, "path").parse::<SettingsPath>());
    let names = match matches.get_one::<String>("name") {
        Some(name) => findings
            .collect("NAME", name.parse::<SettingName>())
            .map(|name| vec![name]),
        None => Some(SETTING_SPECS.iter().map(|spec| spec.name).collect()),
    };
    let place = || Some((path?, names?));
    let place = place();
    let (path, names) = findings
        .into_result(place)
        .map_err(CommandError::Arguments)?;
    let tree = read_tree(context).await?;
    let rows: Vec<Value> = names
        .into_iter()
        .map(|name| {
            let effective = tree.effective(&path, name);
            let entry = effective.entry.as_ref();
            serde_json::json!({
                "name": name,
                "value": effective.value,
                "from": effective.source.map_or("default".to_owned(), |path| path.to_string()),
                "set_by": entry.map(|entry| entry.author.clone()),
                "set_at": entry.map(|entry| entry.changed_at.to_string()),
                "version": entry.map(|entry| entry.version.get()),
            })
        })
        .collect();
    context.form.print_rows(
        &["name", "value", "from", "set_by", "set_at", "version"],
        &rows,
    );
    Ok(())
}
