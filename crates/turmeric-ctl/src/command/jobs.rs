//! `turmericctl jobs`: submit and cancel.

use clap::{Arg, ArgMatches, Command};
use uuid::Uuid;

use super::{CommandContext, positional, text};
use crate::error::CommandError;

/// Most attempts at one submission while no entry answers; all have the same identifier, so
/// the job is accepted at most once.
const SUBMIT_ATTEMPT_LIMIT: u32 = 5;

pub(crate) fn build() -> Command {
    let flag = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name).long(name).default_value(default).help(help)
    };
    Command::new("jobs")
        .about("Submit and cancel jobs")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("submit")
                .about("Submit a job; prints its identifier when it is durable")
                .after_help("Example: turmericctl jobs submit leather --cores 8 --memory '16 GiB' --work 60000 --count 4")
                .arg(positional("team", "Team that owns the job"))
                .arg(Arg::new("job").long("job").help("Identifier, a UUID of version 7; made if not given"))
                .arg(Arg::new("kind").long("kind").help("Kind of the job, under which sizes and harm of its tasks are learned"))
                .arg(flag("class", "batch", "batch, urgent or latency-critical"))
                .arg(flag("cores", "1", "Processors of a task, for example 4 or 500m"))
                .arg(flag("memory", "1 GiB", "Memory of a task"))
                .arg(flag("accelerators", "0", "Accelerators of a task"))
                .arg(flag("work", "1000", "Work of a task on an idle VM, in milliseconds"))
                .arg(flag("count", "1", "Number of tasks")),
        )
        .subcommand(
            Command::new("cancel")
                .about("Cancel the tasks of a job that are not over")
                .arg(positional("job", "Identifier of the job")),
        )
}

pub(crate) async fn run(
    context: &CommandContext,
    matches: &ArgMatches,
) -> Result<(), CommandError> {
    match matches.subcommand() {
        Some(("submit", matches)) => submit(context, matches).await,
        Some((_, matches)) => {
            let path = format!("/v1/jobs/{}", text(matches, "job"));
            let answer = context.client.delete(&path).await?;
            context.form.print_fields(&answer);
            Ok(())
        }
        None => Ok(()),
    }
}

async fn submit(context: &CommandContext, matches: &ArgMatches) -> Result<(), CommandError> {
    let mut findings = turmeric_types::FindingList::new();
    let mut number = |name: &str| {
        let place = format!("--{name}");
        findings.collect(place, text(matches, name).parse::<u64>())
    };
    let (accelerators, work, count) = (number("accelerators"), number("work"), number("count"));
    let numbers = accelerators.zip(work).zip(count);
    let ((accelerators, work), count) = findings
        .into_result(numbers)
        .map_err(CommandError::Arguments)?;
    let job = matches
        .get_one::<String>("job")
        .cloned()
        .unwrap_or_else(|| Uuid::now_v7().to_string());
    let form = serde_json::json!({
        "job": job,
        "team": text(matches, "team"),
        "kind": matches.get_one::<String>("kind"),
        "class": text(matches, "class"),
        "cores": text(matches, "cores"),
        "memory": text(matches, "memory"),
        "accelerators": accelerators,
        "work_millis": work,
        "count": count,
    });
    let mut attempts = 1;
    loop {
        match context.client.post("/v1/jobs", &form).await {
            Err(CommandError::Unreachable { .. }) if attempts < SUBMIT_ATTEMPT_LIMIT => {
                attempts += 1;
            }
            Err(error) => return Err(error),
            Ok(answer) => {
                context.form.print_fields(&answer);
                return Ok(());
            }
        }
    }
}
