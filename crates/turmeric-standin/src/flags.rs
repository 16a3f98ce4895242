//! Command line of the stand-ins.

use std::net::SocketAddr;

use clap::{Arg, ArgMatches, Command, value_parser};
use turmeric_types::{AcceleratorCount, CoreCount, MemorySize, ResourceSet};

pub(crate) fn command() -> Command {
    Command::new("turmeric-standin")
        .about("Small stand-ins for the platform, a worker, an endpoint and a network relay")
        .subcommand_required(true)
        .subcommand(
            Command::new("platform")
                .about("The table service and the object store")
                .arg(address("listen"))
                .arg(number("writes-per-second", "300"))
                .arg(number("reads-per-second", "2000")),
        )
        .subcommand(
            Command::new("worker")
                .about("A worker that runs tasks under leases")
                .arg(address("listen"))
                .arg(address("platform"))
                .arg(text("name"))
                .arg(text("cores").value_parser(value_parser!(CoreCount)))
                .arg(text("memory").value_parser(value_parser!(MemorySize)))
                .arg(text("accelerators").value_parser(value_parser!(AcceleratorCount)))
                .arg(number("usage-lag-millis", "2000"))
                .arg(number("clock-permille", "1000")),
        )
        .subcommand(
            Command::new("endpoint")
                .about("An endpoint of a service")
                .arg(address("listen"))
                .arg(address("agent"))
                .arg(address("worker"))
                .arg(text("service"))
                .arg(number("slots", "8"))
                .arg(number("connections", "64"))
                .arg(number("service-micros", "5000")),
        )
        .subcommand(
            Command::new("relay")
                .about("A TCP relay whose connections can go silent")
                .arg(address("listen"))
                .arg(address("target"))
                .arg(address("control")),
        )
}

fn text(name: &'static str) -> Arg {
    Arg::new(name).long(name).required(true)
}

fn address(name: &'static str) -> Arg {
    text(name).value_parser(value_parser!(SocketAddr))
}

fn number(name: &'static str, default: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .default_value(default)
        .value_parser(value_parser!(u64))
}

/// Reads a flag that the command line requires or fills with a default.
pub(crate) fn value<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> T {
    matches
        .get_one::<T>(name)
        .cloned()
        .expect("the flag is required or has a default")
}

pub(crate) fn capacity(matches: &ArgMatches) -> ResourceSet {
    ResourceSet::new(
        value(matches, "cores"),
        value(matches, "memory"),
        value(matches, "accelerators"),
    )
}
