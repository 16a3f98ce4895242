//! `turmericctl config check`: check of a configuration before it is put in force.

use std::io::Read;

use clap::{Arg, ArgAction, ArgMatches, Command};
use serde_json::{Value, json};
use turmeric_platform::{CONFIG_LIMIT, ConfigFinding, FindingLevel, check_config};

use super::{CommandContext, positional, text};
use crate::error::CommandError;

pub(crate) fn build() -> Command {
    Command::new("config")
        .about("Check the configuration of the users' platform")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("check")
                .about("Check a configuration before it is put in force")
                .after_help(
                    "Exit codes: 0 clean, 1 findings, 2 unusable input. Errors always count as\n\
                     findings, warnings only with --strict, differences never.\n\n\
                     Examples:\n  turmericctl config check new.json --in-force present.json\n  \
                     turmericctl config check --strict --json - < new.json",
                )
                .arg(positional(
                    "file",
                    "File with the configuration; - is standard input",
                ))
                .arg(
                    Arg::new("in-force")
                        .long("in-force")
                        .value_name("FILE")
                        .help("File with the configuration in force; lists what differs from it"),
                )
                .arg(
                    Arg::new("strict")
                        .long("strict")
                        .action(ArgAction::SetTrue)
                        .help("Count warnings as findings"),
                ),
        )
}

pub(crate) fn run(context: &CommandContext, matches: &ArgMatches) -> Result<(), CommandError> {
    match matches.subcommand() {
        Some(("check", matches)) => check(context, matches),
        _ => Ok(()),
    }
}

fn check(context: &CommandContext, matches: &ArgMatches) -> Result<(), CommandError> {
    let document = read_document(&text(matches, "file"))?;
    let in_force = matches.get_one::<String>("in-force");
    let in_force = in_force.map(|path| read_document(path)).transpose()?;
    let report = check_config(&document, in_force.as_deref()).map_err(|error| {
        CommandError::UnusableInput {
            message: error.to_string(),
        }
    })?;
    let rows: Vec<Value> = report.findings().iter().map(show_finding).collect();
    if context.form.is_json || !rows.is_empty() {
        let columns = ["level", "place", "message"];
        context.form.print_rows(&columns, &rows);
    }
    if report.omitted() > 0 {
        eprintln!(
            "turmericctl: {} further findings are not listed",
            report.omitted()
        );
    }
    let errors = report.count(FindingLevel::Error);
    let warnings = report.count(FindingLevel::Warning);
    if errors > 0 || (warnings > 0 && matches.get_flag("strict")) {
        return Err(CommandError::Findings {
            message: format!("errors: {errors}, warnings: {warnings}"),
        });
    }
    Ok(())
}

fn show_finding(finding: &ConfigFinding) -> Value {
    json!({
        "level": finding.level.name(),
        "place": finding.place,
        "message": finding.message,
    })
}

/// Reads a file of at most [`CONFIG_LIMIT`] bytes.
fn read_document(path: &str) -> Result<Vec<u8>, CommandError> {
    let unusable = |cause: String| CommandError::UnusableInput {
        message: format!("{path}: {cause}"),
    };
    let limit = CONFIG_LIMIT as u64 + 1;
    let mut bytes = Vec::new();
    let read = if path == "-" {
        std::io::stdin().lock().take(limit).read_to_end(&mut bytes)
    } else {
        std::fs::File::open(path).and_then(|file| file.take(limit).read_to_end(&mut bytes))
    };
    read.map_err(|error| unusable(error.to_string()))?;
    if bytes.len() > CONFIG_LIMIT {
        return Err(unusable(format!("is longer than {CONFIG_LIMIT} bytes")));
    }
    Ok(bytes)
}
