//! The turmericlb daemon.

use std::process::ExitCode;

fn main() -> ExitCode {
    turmeric_daemon::run_from_command_line()
}
