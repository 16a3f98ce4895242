//! `turmericctl timeline`: events of all processes in one order.

use std::net::SocketAddr;

use clap::{Arg, ArgMatches, Command, value_parser};
use serde_json::Value;

use super::CommandContext;
use crate::client::text_of;
use crate::error::CommandError;

/// Bits of a time that count events within one millisecond.
const COUNTER_BITS: u32 = 16;

pub(crate) fn build() -> Command {
    let flag = |name: &'static str, help: &'static str| Arg::new(name).long(name).help(help);
    Command::new("timeline")
        .about("Merge the events of all processes, cause before effect")
        .arg(flag("request", "Only events of this request"))
        .arg(flag("task", "Only events of this task"))
        .arg(flag("agent", "Only events of this agent"))
        .arg(flag("zone", "Only events of this availability zone"))
        .arg(flag(
            "kind",
            "Only events of this kind, for example partition-owned",
        ))
        .arg(
            flag(
                "since",
                "Only events since this time, in milliseconds since 1970",
            )
            .value_parser(value_parser!(u64)),
        )
        .arg(
            flag("last", "Only this many of the newest events")
                .value_parser(value_parser!(usize))
                .default_value("100"),
        )
}

pub(crate) async fn run(
    context: &CommandContext,
    matches: &ArgMatches,
) -> Result<(), CommandError> {
    let (processes, mut silent) = find_processes(context).await;
    let mut events = Vec::new();
    for address in processes {
        let page = context
            .client
            .call("GET", address, "/v1/timeline", &Value::Null)
            .await;
        match page {
            Ok(page) => events.extend(read_page(&page)),
            Err(_) => silent.push(address.to_string()),
        }
    }
    events.retain(|event| is_wanted(event, matches));
    events.sort_by_key(|event| event["time"].as_u64());
    let last = matches
        .get_one::<usize>("last")
        .copied()
        .unwrap_or_default();
    let first = events.len().saturating_sub(last);
    context.form.print_rows(
        &[
            "millis", "process", "kind", "text", "request", "task", "agent", "zone",
        ],
        &events[first..],
    );
    for process in silent {
        eprintln!("turmericctl: {process} did not answer; its events are missing");
    }
    Ok(())
}

/// Returns the addresses of all processes, and of entries that are silent.
async fn find_processes(context: &CommandContext) -> (Vec<SocketAddr>, Vec<String>) {
    let mut processes = Vec::new();
    let mut silent = Vec::new();
    for entry in &context.client.entries {
        let agents = context
            .client
            .call("GET", *entry, "/v1/agents", &Value::Null)
            .await;
        let Ok(agents) = agents else {
            silent.push(entry.to_string());
            continue;
        };
        processes.push(*entry);
        let addresses = agents
            .as_array()
            .into_iter()
            .flatten()
            .filter_map(|agent| text_of(&agent["address"]).parse().ok());
        processes.extend(addresses.collect::<Vec<SocketAddr>>());
    }
    processes.sort();
    processes.dedup();
    (processes, silent)
}

/// Returns the events of a page, each with its process.
fn read_page(page: &Value) -> Vec<Value> {
    let events = page["events"].as_array().into_iter().flatten();
    events
        .map(|event| {
            let mut event = event.clone();
            event["process"] = page["process"].clone();
            event["millis"] = (event["time"].as_u64().unwrap_or_default() >> COUNTER_BITS).into();
            event
        })
        .collect()
}

fn is_wanted(event: &Value, matches: &ArgMatches) -> bool {
    let is_field_wanted = |name: &str| {
        matches
            .get_one::<String>(name)
            .is_none_or(|wanted| event[name] == wanted.as_str())
    };
    let since = matches.get_one::<u64>("since").copied().unwrap_or_default();
    event["millis"].as_u64() >= Some(since)
        && ["request", "task", "agent", "zone", "kind"]
            .into_iter()
            .all(is_field_wanted)
}
