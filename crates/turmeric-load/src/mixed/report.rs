//! Report and invariant checks of a mixed load.

use super::jobs::JobTotals;
use super::requests::RequestTotals;
use turmeric_testbed::StandinRecords;

/// An invariant and the number of its violations.
struct InvariantCheck {
    text: &'static str,
    violations: u64,
}

/// Prints the report; returns whether all invariants held.
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
    let checks = check_invariants(&requests, records);
    let violations: u64 = checks.iter().map(|check| check.violations).sum();
    println!("violations found         {violations}");
    for check in &checks {
        println!("  {:<50} {}", check.text, check.violations);
    }
    violations == 0
}

fn check_invariants(requests: &RequestTotals, records: &StandinRecords) -> Vec<InvariantCheck> {
    let count_unexpected_runs = |keys: &[String], expected: u64| {
        keys.iter()
            .filter(|key| records.runs_of(key) != expected)
            .count() as u64
    };
    vec![
        InvariantCheck {
            text: "answer of another request or not whole",
            violations: requests.wrong_answers,
        },
        InvariantCheck {
            text: "request with a key ran more than once",
            violations: records.repeated_keys().len() as u64,
        },
        InvariantCheck {
            text: "request refused as not run did run",
            violations: count_unexpected_runs(&requests.not_run_keys, 0),
        },
        InvariantCheck {
            text: "request answered without a run",
            violations: count_unexpected_runs(&requests.answered_keys, 1),
        },
        InvariantCheck {
            text: "VM given more than it has",
            violations: records.overcommitted(),
        },
        InvariantCheck {
            text: "task in two places at once",
            violations: records.overlapping_tasks().len() as u64,
        },
        InvariantCheck {
            text: "attempt of a task started twice",
            violations: records.repeated_starts().len() as u64,
        },
    ]
}
