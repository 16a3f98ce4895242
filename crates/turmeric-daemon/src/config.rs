//! Settings of a process, from flags and environment variables.

mod agent;
mod entry;
mod hosted;
mod options;
mod reader;

pub(crate) use agent::AgentConfig;
pub(crate) use entry::EntryConfig;
pub(crate) use hosted::HostedConfig;
pub(crate) use options::{LogForm, LogOptions};

use clap::{Arg, ArgAction, ArgMatches, Command};
use turmeric_types::FindingList;

/// A flag that sets one setting of a process.
pub(crate) struct FlagSpec {
    /// Name of the flag, without dashes.
    pub(crate) name: &'static str,
    /// Default value; [`None`] if the flag has none.
    pub(crate) default: Option<&'static str>,
    /// Help text, with an example.
    pub(crate) help: &'static str,
}

/// Role to run, with its settings.
pub(crate) enum ProcessConfig {
    /// Run as an entry.
    Entry(EntryConfig),
    /// Run as an agent.
    Agent(AgentConfig),
    /// Run as an entry on the users' platform.
    HostedEntry(HostedConfig),
    /// Run as an agent on the users' platform.
    HostedAgent(HostedConfig),
}

/// Returns the command line of the daemon.
pub(crate) fn command() -> Command {
    let check = Arg::new("check")
        .long("check")
        .action(ArgAction::SetTrue)
        .global(true)
        .help("Check the settings and exit");
    Command::new("turmericd")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Scheduler for colocated latency-critical and batch work")
        .after_help(
            "Every flag can be set by the environment variable TURMERIC_ and its name in capitals.\n\
             Exit codes: 0 planned stop, 1 failure, 2 invalid settings, 3 port in use.",
        )
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(check)
        .subcommand(role_command(
            "entry",
            "Serve callers and operators, route requests, place tasks",
            entry::ENTRY_FLAGS,
        ))
        .subcommand(role_command(
            "agent",
            "Admit requests and run tasks beside an endpoint",
            agent::AGENT_FLAGS,
        ))
        .subcommand(role_command(
            "hosted-entry",
            "Accept jobs on the users' platform, and take over when there is no leader",
            &[hosted::HOSTED_FLAGS],
        ))
        .subcommand(role_command(
            "hosted-agent",
            "Run tasks beside an endpoint on the users' platform",
            &[hosted::HOSTED_FLAGS],
        ))
}

/// Builds the subcommand of a role.
fn role_command(name: &'static str, about: &'static str, flags: &[&[FlagSpec]]) -> Command {
    let args = flags.iter().copied().flatten().map(|flag| {
        Arg::new(flag.name)
            .long(flag.name)
            .env(reader::environment_variable(flag.name))
            .default_value(flag.default)
            .help(flag.help)
    });
    Command::new(name).about(about).args(args)
}

/// Reads the settings of the process.
///
/// # Errors
///
/// Returns all findings together.
pub(crate) fn read(matches: &ArgMatches) -> Result<ProcessConfig, FindingList> {
    match matches.subcommand() {
        Some(("entry", matches)) => EntryConfig::read(matches).map(ProcessConfig::Entry),
        Some(("hosted-entry", matches)) => {
            HostedConfig::read(matches).map(ProcessConfig::HostedEntry)
        }
        Some(("hosted-agent", matches)) => {
            HostedConfig::read(matches).map(ProcessConfig::HostedAgent)
        }
        Some((_, matches)) => AgentConfig::read(matches).map(ProcessConfig::Agent),
        None => Err(FindingList::new()),
    }
}
