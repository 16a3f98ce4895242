//! `turmericctl settings list`: the settings that exist.

use clap::Command;
use serde_json::Value;
use turmeric_settings::{SETTING_SPECS, SettingKind};

use crate::command::CommandContext;
use crate::error::CommandError;

pub(crate) fn build() -> Command {
    Command::new("list").about("List the settings that exist, with their limits and defaults")
}

pub(crate) fn run(context: &CommandContext) -> Result<(), CommandError> {
    let rows: Vec<Value> = SETTING_SPECS
        .iter()
        .map(|spec| {
            serde_json::json!({
                "name": spec.text,
                "values": describe(spec.kind),
                "default": spec.default,
                "lowest_level": format!("{:?}", spec.lowest),
                "description": spec.description,
            })
        })
        .collect();
    context.form.print_rows(
        &["name", "values", "default", "lowest_level", "description"],
        &rows,
    );
    Ok(())
}

fn describe(kind: SettingKind) -> String {
    match kind {
        SettingKind::Switch => "true, false".to_owned(),
        SettingKind::Number { min, max, unit } => format!("{min} to {max} {unit}"),
        SettingKind::Choice(choices) => choices.join(", "),
        SettingKind::Name => "a name, or nothing".to_owned(),
        SettingKind::Addresses => "addresses and ports, or nothing".to_owned(),
    }
}
