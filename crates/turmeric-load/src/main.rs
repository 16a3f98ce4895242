//! Load, reports and capacity measurements over the stand-ins.

mod capacity;
mod fit;
mod flags;
mod latency;
mod mixed;
mod percentile;

use std::process::ExitCode;

use eyre::Result;

#[tokio::main]
async fn main() -> ExitCode {
    let matches = flags::command().get_matches();
    let outcome = match matches.subcommand() {
        Some(("mixed", matches)) => mixed::run(matches).await,
        Some(("latency", matches)) => latency::run(matches).await,
        Some(("capacity", matches)) => capacity::run(matches).await,
        Some(("fit", matches)) => fit::run(matches),
        _ => unreachable!("the command line requires a subcommand"),
    };
    exit_code(outcome)
}

fn exit_code(outcome: Result<bool>) -> ExitCode {
    match outcome {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(4),
        Err(report) => {
            eprintln!("turmeric-load: {report:#}");
            ExitCode::FAILURE
        }
    }
}
