//! `turmericctl settings preview`: what a change would make different.

use clap::{Arg, ArgMatches, Command};

use super::read_tree;
use super::set::read_edits;
use crate::command::CommandContext;
use crate::error::CommandError;

pub(crate) fn build() -> Command {
    Command::new("preview")
        .about("Show what a change would make different at which agents")
        .arg(
            Arg::new("edits")
                .required(true)
                .num_args(1..)
                .help("PATH:NAME=VALUE, one or more"),
        )
}

pub(crate) async fn run(
    context: &CommandContext,
    matches: &ArgMatches,
) -> Result<(), CommandError> {
    let edits = read_edits(matches)?;
    let base = read_tree(context).await?.version();
    let change = serde_json::json!({
        "id": uuid::Uuid::new_v4(),
        "base": base,
        "author": "preview",
        "changed_at": 0,
        "edits": edits,
    });
    let preview = context.client.post("/v1/settings/preview", &change).await?;
    let rows = preview["changes"].as_array().cloned().unwrap_or_default();
    context
        .form
        .print_rows(&["agent", "name", "before", "after"], &rows);
    if !context.form.is_json {
        println!(
            "{} values change at {} agents known",
            rows.len(),
            preview["agents"]
        );
    }
    Ok(())
}
