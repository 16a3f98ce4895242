//! `turmericctl settings rollback`: undo one change as a new version.

use clap::{ArgMatches, Command};
use turmeric_settings::{ChangeEdit, ChangeId, SettingsChange, SettingsTree};
use turmeric_types::FindingList;

use crate::command::edit::{make_change, print_accepted};
use crate::command::{CommandContext, author_flag, positional, text};
use crate::error::CommandError;

pub(crate) fn build() -> Command {
    Command::new("rollback")
        .about("Undo one change of the history, as a new change")
        .arg(positional(
            "change",
            "Identifier of the change, see `settings history`",
        ))
        .arg(author_flag())
}

pub(crate) async fn run(
    context: &CommandContext,
    matches: &ArgMatches,
) -> Result<(), CommandError> {
    let mut findings = FindingList::new();
    let id = findings.collect("CHANGE", text(matches, "change").parse::<ChangeId>());
    let id = findings.into_result(id).map_err(CommandError::Arguments)?;
    let history = context.client.get("/v1/settings/history").await?;
    let changes: Vec<SettingsChange> =
        serde_json::from_value(history).map_err(|error| CommandError::Unreachable {
            message: format!("the entry sent no history: {error}"),
        })?;
    let edits = undo_edits(&changes, id).ok_or_else(|| CommandError::Refused {
        code: "no-such-change".to_owned(),
        message: format!("change {id} is not in the history that is kept"),
    })?;
    let author = text(matches, "author");
    let version = make_change(context, &author, edits, None).await?;
    print_accepted(context, version);
    Ok(())
}

/// Returns the edits that give every place of a change its earlier value.
fn undo_edits(changes: &[SettingsChange], id: ChangeId) -> Option<Vec<ChangeEdit>> {
    let mut tree = SettingsTree::new();
    for change in changes {
        if change.id == id {
            let edits = change.edits.iter().map(|edit| ChangeEdit {
                path: edit.path.clone(),
                name: edit.name,
                value: own_value(&tree, edit),
            });
            return Some(edits.collect());
        }
        tree = tree.with_change(change).ok()?;
    }
    None
}

fn own_value(tree: &SettingsTree, edit: &ChangeEdit) -> Option<String> {
    let effective = tree.effective(&edit.path, edit.name);
    let is_own = effective.source.as_ref() == Some(&edit.path);
    is_own.then_some(effective.value)
}
