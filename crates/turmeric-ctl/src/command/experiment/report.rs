//! `turmericctl experiment list` and `turmericctl experiment report`.

use clap::{Arg, ArgMatches, Command};
use serde_json::{Value, json};

use super::page;
use crate::client::text_of;
use crate::command::{CommandContext, positional, text};
use crate::error::CommandError;

pub(super) fn build() -> Command {
    Command::new("report")
        .about("Say what came of an experiment; may be asked at any time")
        .arg(positional(
            "name",
            "Name of the experiment, or of one run of it",
        ))
        .arg(
            Arg::new("html")
                .long("html")
                .value_name("FILE")
                .help("Write the report as one page with plots"),
        )
        .after_help(
            "The intervals allow for looking as often as one likes. \"No difference shown\"\n\
             does not say that there is none: see how wide the interval is.",
        )
}

/// Lists all runs.
pub(super) async fn list(context: &CommandContext) -> Result<(), CommandError> {
    let runs = context.client.get("/v1/experiments").await?;
    let rows = runs.as_array().cloned().unwrap_or_default();
    let columns = [
        "run",
        "path",
        "policy_a",
        "policy_b",
        "unit",
        "stopped_because",
    ];
    context.form.print_rows(&columns, &rows);
    Ok(())
}

/// Shows one run.
pub(super) async fn show(
    context: &CommandContext,
    matches: &ArgMatches,
) -> Result<(), CommandError> {
    let path = format!("/v1/experiments/{}", text(matches, "name"));
    let run = context.client.get(&path).await?;
    if let Some(file) = matches.get_one::<String>("html") {
        let page = page::build(&run).map_err(|message| CommandError::Unreachable { message })?;
        std::fs::write(file, page).map_err(|error| CommandError::Unreachable {
            message: format!("writing {file}: {error}"),
        })?;
    }
    if context.form.is_json {
        println!("{run}");
        return Ok(());
    }
    print_text(context, &run);
    Ok(())
}

fn print_text(context: &CommandContext, run: &Value) {
    let report = &run["report"];
    println!(
        "{}: {} against {} at {}",
        text_of(&run["run"]),
        text_of(&run["policy_b"]),
        text_of(&run["policy_a"]),
        text_of(&run["path"]),
    );
    println!("{}", text_of(&run["verdict_text"]));
    if !run["stopped_because"].is_null() {
        println!("stopped by itself: {}", text_of(&run["stopped_because"]));
    }
    println!(
        "{} pairs of slots, {} requests in arm a, {} in arm b",
        report["points"].as_array().map_or(0, Vec::len),
        text_of(&report["requests_a"]),
        text_of(&report["requests_b"]),
    );
    let columns = ["metric", "arm_a", "arm_b", "change", "from", "to"];
    context.form.print_rows(&columns, &metric_rows(report));
    if let Some(reasons) = report["left_out"].as_object() {
        for (reason, count) in reasons {
            println!("left out: {count} pairs, {reason}");
        }
    }
}

/// Returns a row for each metric; effects are changes in percent.
pub(super) fn metric_rows(report: &Value) -> Vec<Value> {
    let metrics = report["metrics"].as_array().cloned().unwrap_or_default();
    metrics
        .iter()
        .map(|metric| {
            let effect = &metric["effect"];
            json!({
                "metric": metric["metric"],
                "arm_a": value_text(metric, "a"),
                "arm_b": value_text(metric, "b"),
                "change": percent_text(&effect["middle"]),
                "from": percent_text(&effect["low"]),
                "to": percent_text(&effect["high"]),
            })
        })
        .collect()
}

fn value_text(metric: &Value, arm: &str) -> String {
    let value = metric[arm].as_f64().unwrap_or_default();
    if metric["metric"] == "answered" {
        format!("{:.2}%", value * 100.0)
    } else {
        format!("{value:.2} ms")
    }
}

fn percent_text(logarithm: &Value) -> String {
    let change = logarithm.as_f64().unwrap_or_default().exp() - 1.0;
    format!("{:+.1}%", change * 100.0)
}
