//! `turmericctl completions`: completion for a shell.

use clap::{Arg, ArgMatches, Command, value_parser};
use clap_complete::Shell;

use crate::error::CommandError;

pub(crate) fn build() -> Command {
    Command::new("completions")
        .about("Print the completion script of a shell")
        .arg(
            Arg::new("shell")
                .required(true)
                .value_parser(value_parser!(Shell))
                .help("Shell"),
        )
}

pub(crate) fn run(matches: &ArgMatches) -> Result<(), CommandError> {
    if let Some(shell) = matches.get_one::<Shell>("shell") {
        let mut command = super::build();
        clap_complete::generate(*shell, &mut command, "turmericctl", &mut std::io::stdout());
    }
    Ok(())
}
