//! Command line of the load generator.

use std::net::SocketAddr;

use clap::{Arg, ArgMatches, Command, value_parser};

/// Returns the command line with its subcommands and their flags.
pub(crate) fn command() -> Command {
    Command::new("turmeric-load")
        .about("Load, reports and capacity measurements over the stand-ins")
        .after_help("Exit codes: 0 good, 1 failure, 4 a violation or a missed bound.")
        .subcommand_required(true)
        .subcommand(
            Command::new("mixed")
                .about("Drive requests and batch tasks together and check what happened")
                .arg(addresses("entries"))
                .arg(addresses("workers"))
                .arg(addresses("endpoints"))
                .arg(address("platform"))
                .arg(number("seconds", "20"))
                .arg(number("rate", "200"))
                .arg(number("jobs", "40"))
                .arg(number("seed", "1")),
        )
        .subcommand(
            Command::new("latency")
                .about("Compare the path through entry and agent with direct calls")
                .arg(address("entry"))
                .arg(address("endpoint"))
                .arg(number("requests", "2000"))
                .arg(number("connections", "64"))
                .arg(number("seconds", "5")),
        )
        .subcommand(
            Command::new("capacity")
                .about("Hold agent sessions and measure what they cost an entry")
                .arg(address("entry"))
                .arg(address("control"))
                .arg(number("pid", "0"))
                .arg(number("agents", "50"))
                .arg(number("running", "0"))
                .arg(number("starts", "0"))
                .arg(number("seconds", "20")),
        )
        .subcommand(
            Command::new("fit")
                .about("Fit slopes to measurements and plot them")
                .arg(Arg::new("input").long("input").required(true))
                .arg(Arg::new("plot").long("plot").required(true)),
        )
}

fn address(name: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .required(true)
        .value_parser(value_parser!(SocketAddr))
}

fn addresses(name: &'static str) -> Arg {
    address(name).value_delimiter(',')
}

fn number(name: &'static str, default: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .default_value(default)
        .value_parser(value_parser!(u64))
}

/// Returns the value of a flag that is required or has a default; panics on any other flag.
pub(crate) fn value<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> T {
    matches
        .get_one::<T>(name)
        .cloned()
        .expect("the flag is required or has a default")
}

/// Returns all values of a flag that accepts a comma-separated list.
pub(crate) fn values<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> Vec<T> {
    matches
        .get_many::<T>(name)
        .map(|values| values.cloned().collect())
        .unwrap_or_default()
}
