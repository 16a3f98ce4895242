//! Plays one scripted case: starts the programs of the deploy file as processes on loopback
//! addresses, between a store, executors and requesters of its own, and checks one rule.
//!
//! `standin CASE PROGRAM RECORD DIRECTORY TROUBLE` exits with 0 if the rule held, 1 if it was
//! broken, and 2 if the case could not run.

mod burst;
mod crashes;
mod fleet;
mod http;
mod leaving;
mod platform;

fn main() {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let [case, program, record, directory, trouble] = &words[..] else {
        eprintln!("usage: standin CASE PROGRAM RECORD DIRECTORY TROUBLE");
        std::process::exit(2);
    };
    let plan = fleet::Plan {
        program: program.clone(),
        record: record.clone(),
        directory: directory.clone(),
        has_trouble: trouble != "0",
    };
    let code = match case.as_str() {
        "wide" => burst::play(&plan, &burst::Wave::wide(plan.has_trouble)),
        "texts" => burst::play(&plan, &burst::Wave::long_texts(plan.has_trouble)),
        "crashes" => crashes::play(&plan),
        "leaving" => leaving::play(&plan),
        _ => 2,
    };
    std::process::exit(code);
}
