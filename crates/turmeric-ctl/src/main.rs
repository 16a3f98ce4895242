//! The command-line tool of the operators.

mod client;
mod command;
mod error;
mod output;

use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    let matches = command::build().get_matches();
    match command::run(&matches).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("turmericctl: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}
