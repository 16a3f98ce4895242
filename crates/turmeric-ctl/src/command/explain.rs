//! `turmericctl explain`: what happened to a job, from the logs of all processes.

use std::collections::{BTreeMap, BTreeSet};
use std::io::Read;

use clap::{Arg, ArgMatches, Command};
use serde_json::{Value, json};
use turmeric_types::FindingList;

use super::{CommandContext, positional, text};
use crate::error::CommandError;

/// Lines about what a process depends on; they are shown if they fall into the
/// job's time, since they have no job of their own.
const DEPENDENCY_LINES: &[&str] = &[
    "store lost",
    "store regained",
    "leadership lost",
    "leads",
    "no longer leads",
    "took over leadership",
    "write not confirmed",
    "the store refuses the leader's row",
    "operators' table lost",
    "operators' table regained",
    "worker lost",
    "worker regained",
    "leases have expired at an unresponsive worker",
    "agent is stopping after SIGTERM",
    "entry is stopping after SIGTERM",
];

/// First line of a process; it names the policies by which the process decides.
const START_LINE: &str = "process is starting";

/// Line of a leader whose row about a job the store refuses for good.
const REFUSED_ROW_LINE: &str = "the store refuses a row";

/// Line of a leader that has read a row of a job before the job was deleted.
const STALE_ROW_LINE: &str = "row of a deleted job ignored";

/// Line of an agent whose worker keeps more ends than it lists.
const UNLISTED_END_LINE: &str = "the worker's list of ends is incomplete";

/// Time before the job's first line from which on such lines are shown, in
/// milliseconds: what a process last learned of its store may be as old.
const LEAD_IN_MILLIS: u64 = 3000;

pub(crate) fn build() -> Command {
    Command::new("explain")
        .about("Tell from logs what happened to a job and why")
        .long_about(
            "Reads the JSON lines that the processes wrote, in any order, and prints those \
             about a job or one of its tasks, with what its processes lost meanwhile. The \
             last line names the cause.",
        )
        .after_help(
            "Examples:\n  turmericctl explain 5c0e7a21d94b36f8 --log entry-1.log --log agent-1.log\n  \
             journalctl -o cat -u turmericd | turmericctl explain 5c0e7a21d94b36f8.0.1.17",
        )
        .arg(positional(
            "id",
            "Identifier of a job, or of a task: JOB.OCCURRENCE.STEP.INDEX",
        ))
        .arg(
            Arg::new("log")
                .long("log")
                .action(clap::ArgAction::Append)
                .help("File with log lines; repeat for more. None: standard input"),
        )
}

pub(crate) fn run(context: &CommandContext, matches: &ArgMatches) -> Result<(), CommandError> {
    let id = text(matches, "id");
    let lines = read_logs(matches)?;
    let chain = LogChain::new(&id, &lines);
    if chain.own.is_empty() {
        return Err(CommandError::Refused {
            code: "not-found".to_owned(),
            message: format!("none of {} lines is about {id}", lines.len()),
        });
    }
    let cause = chain.cause();
    if context.form.is_json {
        let rows = chain.rows();
        println!("{}", json!({ "id": id, "cause": cause, "lines": rows }));
        return Ok(());
    }
    let columns = ["millis", "process", "what", "details"];
    context.form.print_rows(&columns, &chain.rows());
    println!("cause: {cause}");
    Ok(())
}

/// One line of a log.
#[derive(Clone, Debug)]
struct LogLine {
    millis: u64,
    process: String,
    what: String,
    fields: BTreeMap<String, Value>,
}

impl LogLine {
    /// Reads a line; whatever stands before its first brace was put there by what
    /// collected it.
    fn read(line: &str) -> Option<Self> {
        let value: Value = serde_json::from_str(&line[line.find('{')?..]).ok()?;
        let fields = value["kv"].as_object().cloned().unwrap_or_default();
        Some(Self {
            millis: value["timestamp"].as_u64()?,
            process: value["logger"].as_str().unwrap_or_default().to_owned(),
            what: value["payload"].as_str()?.to_owned(),
            fields: fields.into_iter().collect(),
        })
    }

    fn text(&self, field: &str) -> &str {
        self.fields
            .get(field)
            .and_then(Value::as_str)
            .unwrap_or_default()
    }

    fn number(&self, field: &str) -> u64 {
        let value = self.fields.get(field);
        value.and_then(Value::as_u64).unwrap_or_default()
    }

    fn is_about(&self, id: &str) -> bool {
        let within = |name: &str| name == id || name.starts_with(&format!("{id}."));
        let (job, _) = id.split_once('.').unwrap_or((id, ""));
        within(self.text("task"))
            || self.text("job") == job
            || self.text("tasks").split(", ").any(within)
    }
}

fn read_logs(matches: &ArgMatches) -> Result<Vec<LogLine>, CommandError> {
    let mut findings = FindingList::new();
    let mut texts = Vec::new();
    let files = matches.get_many::<String>("log").into_iter().flatten();
    for file in files {
        let read = std::fs::read_to_string(file).map_err(|error| format!("{file}: {error}"));
        texts.extend(findings.collect("--log", read));
    }
    if matches.get_many::<String>("log").is_none() {
        let mut input = String::new();
        let read = std::io::stdin().read_to_string(&mut input);
        findings.collect("standard input", read.map_err(|error| error.to_string()));
        texts.push(input);
    }
    let texts = findings
        .into_result(Some(texts))
        .map_err(CommandError::Arguments)?;
    let lines = texts.iter().flat_map(|text| text.lines());
    Ok(lines.filter_map(LogLine::read).collect())
}

/// The lines about one job, in their order.
struct LogChain {
    own: Vec<LogLine>,
    around: Vec<LogLine>,
}

impl LogChain {
    fn new(id: &str, lines: &[LogLine]) -> Self {
        let mut own: Vec<LogLine> = lines
            .iter()
            .filter(|line| line.is_about(id))
            .cloned()
            .collect();
        own.sort_by_key(|line| line.millis);
        let first = own.first().map_or(0, |line| line.millis);
        let last = own.last().map_or(0, |line| line.millis);
        let vms = own.iter().map(|line| line.text("vm").to_owned());
        let processes: BTreeSet<String> = own
            .iter()
            .map(|line| line.process.clone())
            .chain(vms)
            .collect();
        let is_near = |line: &LogLine| {
            DEPENDENCY_LINES.contains(&line.what.as_str())
                && (first.saturating_sub(LEAD_IN_MILLIS)..=last).contains(&line.millis)
        };
        let is_start = |line: &LogLine| {
            line.what == START_LINE && !line.text("policies").is_empty() && line.millis <= last
        };
        let around = lines
            .iter()
            .filter(|line| is_near(line) || is_start(line))
            .filter(|line| processes.contains(&line.process));
        Self {
            around: around.cloned().collect(),
            own,
        }
    }

    fn rows(&self) -> Vec<Value> {
        let mut lines: Vec<&LogLine> = self.own.iter().chain(&self.around).collect();
        lines.sort_by_key(|line| line.millis);
        let row = |line: &LogLine| {
            let details: Vec<String> = line
                .fields
                .iter()
                .map(|(name, value)| format!("{name}={}", value.to_string().trim_matches('"')))
                .collect();
            json!({
                "millis": line.millis, "process": line.process, "what": line.what,
                "details": details.join(" "),
            })
        };
        lines.into_iter().map(row).collect()
    }

    /// Tells the cause of what the last decisive line says.
    fn cause(&self) -> String {
        let last = |what: &str| self.own.iter().rev().find(|line| line.what == what);
        if let Some(over) = last("job over") {
            return self.cause_of_end(over);
        }
        if let Some(row) = last(STALE_ROW_LINE) {
            return format!(
                "ended and was deleted at version {}; an older row of it, of version {}, was ignored",
                row.number("deleted_at"),
                row.number("row_version")
            );
        }
        if let Some(cancel) = last("cancellation sent")
            && cancel.fields.get("is_known") == Some(&Value::Bool(false))
        {
            return "cancelled before its row was in the store; it never starts".to_owned();
        }
        if let Some(sent) = last("job sent") {
            return match sent.text("outcome") {
                "Stored" => self.cause_of_wait(),
                "Refused" => "not accepted: the store refuses its row for good".to_owned(),
                "NotStored" => format!("not accepted: the store refused; {}", self.lost()),
                _ => format!("outcome unknown: the store did not answer; {}", self.lost()),
            };
        }
        if let Some(refused) = last("job refused") {
            let reason = refused.text("reason");
            return if reason.is_empty() {
                format!(
                    "refused: {} ms of work were ahead of it, by a figure {} ms old",
                    refused.number("delay_ms"),
                    refused.number("age_ms")
                )
            } else {
                format!("refused: {reason}")
            };
        }
        if last("state not read").is_some() {
            return format!("its state could not be read; {}", self.lost());
        }
        self.cause_of_wait()
    }

    fn cause_of_end(&self, over: &LogLine) -> String {
        let (age, objective) = (over.number("age_ms"), over.number("objective_ms"));
        match over.text("phase") {
            "failed" => self.failure(over),
            "cancelled" => "cancelled by its caller".to_owned(),
            _ if age <= objective => "done in time".to_owned(),
            _ => format!("late by {} ms: {}", age - objective, self.delays(objective)),
        }
    }

    /// Tells why a job failed.
    fn failure(&self, over: &LogLine) -> String {
        let is_given_up = |line: &&LogLine| line.fields.get("given_up") == Some(&Value::Bool(true));
        match self.own.iter().find(is_given_up) {
            Some(line) => format!(
                "failed: {} endpoints crashed under {}",
                line.number("crashes"),
                line.text("task")
            ),
            None => format!("failed: {} attempts failed", over.number("failures")),
        }
    }

    /// Tells what kept a job.
    fn delays(&self, objective: u64) -> String {
        let mut counts: BTreeMap<String, u64> = BTreeMap::new();
        for line in &self.own {
            let detail = format!("{}{}", line.text("cause"), line.text("end"));
            if matches!(
                line.what.as_str(),
                "attempt lost" | "attempt evicted" | "attempt ended"
            ) {
                *counts
                    .entry(format!("{} ({detail})", line.what))
                    .or_default() += 1;
            }
        }
        let first = self.own.iter().find(|line| line.what == "tasks placed");
        let waited = first.map_or(0, |line| line.number("age_ms"));
        let mut parts: Vec<String> = counts
            .into_iter()
            .map(|(what, count)| format!("{count} x {what}"))
            .collect();
        if waited * 2 > objective {
            parts.insert(0, format!("waited {waited} ms for room"));
        }
        if let Some(cause) = self.exclusion() {
            parts.push(format!("most VMs excluded by {cause}"));
        }
        if parts.is_empty() {
            parts.push("its tasks took longer than estimated".to_owned());
        }
        parts.join(", ")
    }

    /// Returns the cause that excluded the most VMs while tasks waited for capacity, summed over
    /// all lines.
    fn exclusion(&self) -> Option<&str> {
        let mut counts: BTreeMap<&str, u64> = BTreeMap::new();
        let lines = self.own.iter();
        for line in lines.filter(|line| line.what == "tasks wait for capacity") {
            let causes = line.text("causes").split(", ");
            for (cause, vms) in causes.filter_map(|cause| cause.split_once(' ')) {
                *counts.entry(cause).or_default() += vms.parse::<u64>().unwrap_or_default();
            }
        }
        let largest = counts.into_iter().max_by_key(|(_, vms)| *vms);
        largest.map(|(cause, _)| cause)
    }

    /// Tells why nothing of a job can be recorded, if the store refuses its row.
    fn refused_row(&self) -> Option<String> {
        let line = self
            .own
            .iter()
            .rev()
            .find(|line| line.what == REFUSED_ROW_LINE)?;
        let (bytes, reason) = (line.number("bytes"), line.text("reason"));
        Some(format!(
            "its progress is not recorded, the store refuses the row of {bytes} bytes: {reason}"
        ))
    }

    /// Tells whether the end of a task may wait behind others at its worker.
    fn unlisted_end(&self) -> Option<String> {
        let line = self
            .own
            .iter()
            .rev()
            .find(|line| line.what == UNLISTED_END_LINE)?;
        Some(format!(
            "{} lists only the first ends of its worker, {} attempts may have ended without a \
             listed end",
            line.process,
            line.number("unlisted")
        ))
    }

    fn cause_of_wait(&self) -> String {
        if let Some(cause) = self.refused_row().or_else(|| self.unlisted_end()) {
            return cause;
        }
        let has = |what: &str| self.own.iter().any(|line| line.what == what);
        if has("job started") {
            format!("not over yet: {}", self.delays(0))
        } else if has("tasks placed") {
            format!(
                "placed, and no line tells that a worker has started a task: {}",
                self.delays(0)
            )
        } else {
            let waits = "accepted, and nothing was placed yet";
            self.exclusion().map_or_else(
                || waits.to_owned(),
                |cause| format!("{waits}: most VMs excluded by {cause}"),
            )
        }
    }

    fn lost(&self) -> String {
        let lost = self
            .around
            .iter()
            .rev()
            .find(|line| matches!(line.what.as_str(), "store lost" | "write not confirmed"));
        lost.map_or_else(
            || "no line tells of a lost dependency".to_owned(),
            |line| format!("{} at {}: {}", line.what, line.process, line.text("reason")),
        )
    }
}
