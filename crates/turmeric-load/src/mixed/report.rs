//! The report of a mixed run.

use super::jobs::JobTotals;
use super::requests::RequestTotals;
use turmeric_testbed::StandinRecords;

/// A promise and how often it was broken.
struct InvariantLine {
    text: &'static str,
    broken: u64,
}

/// Prints the report; returns whether no promise was broken.
pub(crate) fn print(
    mut requests: RequestTotals,
    jobs: &JobTotals,
    records: &StandinRecords,
    platform: &serde_json::Value,
) -> bool {
    println!("requests sent            {}", requests.sent);
    println!("requests answered        {}", requests.answered);
    println!("  outcome unknown        {}", requests.unknown);
    println!("  given up, not run      {}", requests.not_run_keys.len());
    println!("  entry not reached      {}", requests.lost);
    println!("answer times             {}", requests.times.summary());
    println!("refusals by reason, each try counted");
    for (code, count) in &requests.refused {
        println!("  {code:<22} {count}");
    }
    println!("batch tasks submitted    {}", jobs.submitted);
    println!("  refused                {}", jobs.refused);
    println!("  done                   {}", jobs.succeeded);
    println!("  unfinished             {}", jobs.unfinished);
    println!("evictions                {}", jobs.evictions);
    println!("  resumed from checkpoint {}", records.resumed());
    println!("platform operations      {platform}");
    let lines = check(&requests, records);
    let broken: u64 = lines.iter().map(|line| line.broken).sum();
    println!("violations found         {broken}");
    for line in &lines {
        println!("  {:<50} {}", line.text, line.broken);
    }
    broken == 0
}

fn check(requests: &RequestTotals, records: &StandinRecords) -> Vec<InvariantLine> {
    let ran = |keys: &[String], expected: u64| {
        keys.iter()
            .filter(|key| records.runs_of(key) != expected)
            .count() as u64
    };
    vec![
        InvariantLine {
            text: "answer of another request or not whole",
            broken: requests.wrong_answers,
        },
        InvariantLine {
            text: "request with a key ran more than once",
            broken: records.repeated_keys().len() as u64,
        },
        InvariantLine {
            text: "request refused as not run did run",
            broken: ran(&requests.not_run_keys, 0),
        },
        InvariantLine {
            text: "request answered without a run",
            broken: ran(&requests.answered_keys, 1),
        },
        InvariantLine {
            text: "VM given more than it has",
            broken: records.overcommitted(),
        },
        InvariantLine {
            text: "task in two places at once",
            broken: records.overlapping_tasks().len() as u64,
        },
        InvariantLine {
            text: "attempt of a task started twice",
            broken: records.repeated_starts().len() as u64,
        },
    ]
}
