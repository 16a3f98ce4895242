//! Small stand-ins for the platform, a worker, an endpoint and a network relay.
//!
//! They take the place of outside systems in tests and measurements and do
//! not ship. Each can be made slow, down or silent from its control path.

mod client;
mod endpoint;
mod fault;
mod flags;
mod platform;
mod rate;
mod relay;
mod worker;

use eyre::Result;

#[tokio::main]
async fn main() -> Result<()> {
    let matches = flags::command().get_matches();
    match matches.subcommand() {
        Some(("platform", matches)) => platform::run(matches).await,
        Some(("worker", matches)) => worker::run(matches).await,
        Some(("endpoint", matches)) => endpoint::run(matches).await,
        Some(("relay", matches)) => relay::run(matches).await,
        _ => unreachable!("the command line requires a subcommand"),
    }
}
