//! `turmericctl settings import`: make a subtree as a text says.

use std::collections::BTreeMap;

use clap::{ArgMatches, Command};
use turmeric_settings::{ChangeEdit, SettingName, SettingsPath, SettingsTree};
use turmeric_types::FindingList;

use super::read_tree;
use super::set::read_edit;
use crate::command::edit::{make_change, print_accepted};
use crate::command::{CommandContext, author_flag, positional, text};
use crate::error::CommandError;

pub(crate) fn build() -> Command {
    Command::new("import")
        .about("Make the values below a place those of an exported file, in one change")
        .arg(positional(
            "path",
            "Place in the tree; values outside it are findings",
        ))
        .arg(positional("file", "File as `settings export` prints it"))
        .arg(author_flag())
}

pub(crate) async fn run(
    context: &CommandContext,
    matches: &ArgMatches,
) -> Result<(), CommandError> {
    let (path, wanted) = read_file(matches)?;
    let tree = read_tree(context).await?;
    let edits = difference(&tree, &path, wanted);
    if edits.is_empty() {
        print_accepted(context, tree.version());
        return Ok(());
    }
    let author = text(matches, "author");
    let version = make_change(context, &author, edits, Some(tree.version())).await?;
    print_accepted(context, version);
    Ok(())
}

type WantedValues = BTreeMap<(SettingsPath, SettingName), String>;

fn read_file(matches: &ArgMatches) -> Result<(SettingsPath, WantedValues), CommandError> {
    let mut findings = FindingList::new();
    let path = findings.collect("PATH", text(matches, "path").parse::<SettingsPath>());
    let file = text(matches, "file");
    let content = findings.collect("FILE", std::fs::read_to_string(&file));
    let mut wanted = WantedValues::new();
    for (number, line) in content.unwrap_or_default().lines().enumerate() {
        let place = format!("{file}:{}", number + 1);
        let Some(edit) = findings.collect(&place, read_edit(line)) else {
            continue;
        };
        if path.as_ref().is_some_and(|path| !path.contains(&edit.path)) {
            findings.push(&place, format!("{} is not below the place", edit.path));
        }
        wanted.insert((edit.path, edit.name), edit.value.unwrap_or_default());
    }
    let result = path.map(|path| (path, wanted));
    findings
        .into_result(result)
        .map_err(CommandError::Arguments)
}

fn difference(
    tree: &SettingsTree,
    path: &SettingsPath,
    mut wanted: WantedValues,
) -> Vec<ChangeEdit> {
    let mut edits = Vec::new();
    for (place, name, value) in tree.entries(path) {
        let new_value = wanted.remove(&(place.clone(), name));
        if new_value.as_deref() != Some(value) {
            edits.push(ChangeEdit {
                path: place.clone(),
                name,
                value: new_value,
            });
        }
    }
    edits.extend(wanted.into_iter().map(|((path, name), value)| ChangeEdit {
        path,
        name,
        value: Some(value),
    }));
    edits
}
