//! Runs a process: reads its settings, starts its log and role, and returns its exit code.

use std::process::ExitCode;

use eyre::Result;
use spdlog::{error, info};

use tokio::runtime::Runtime;

use crate::config::{self, HostedConfig, ProcessConfig};
use crate::{agent, entry, hosted, logging};

/// Exit code after a failure.
pub const EXIT_FAILED: u8 = 1;

/// Exit code for invalid settings.
pub const EXIT_CONFIG: u8 = 2;

/// Exit code when a port is in use.
pub const EXIT_PORT_TAKEN: u8 = 3;

/// Number of runtime threads, shared by requests, timers and sockets.
const RUNTIME_THREADS: usize = 4;

/// Runs the daemon with the settings of the command line and the environment.
pub fn run_from_command_line() -> ExitCode {
    let matches = config::command().get_matches();
    let config = match config::read(&matches) {
        Ok(config) => config,
        Err(findings) => {
            eprintln!("turmericd: invalid settings: {findings}");
            return ExitCode::from(EXIT_CONFIG);
        }
    };
    if matches.get_flag("check") {
        println!("the settings are valid");
        return ExitCode::SUCCESS;
    }
    match run(config) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            error!("process failed: {report:#}");
            exit_code(&report)
        }
    }
}

fn run(config: ProcessConfig) -> Result<()> {
    match config {
        ProcessConfig::Entry(config) => {
            logging::init_logging(&config.common.log, config.id.as_str())?;
            info!("entry is starting", kv: { version = env!("CARGO_PKG_VERSION") });
            standalone_runtime()?.block_on(entry::run(config))
        }
        ProcessConfig::Agent(config) => {
            logging::init_logging(&config.common.log, config.worker.as_str())?;
            info!("agent is starting", kv: { version = env!("CARGO_PKG_VERSION") });
            standalone_runtime()?.block_on(agent::run(config))
        }
        ProcessConfig::HostedEntry(config) => run_hosted(config, hosted::run_entry),
        ProcessConfig::HostedAgent(config) => run_hosted(config, hosted::run_agent),
    }
}

fn standalone_runtime() -> Result<Runtime> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(RUNTIME_THREADS)
        .enable_all()
        .build()?;
    Ok(runtime)
}

/// Runs a role on the users' platform, where a VM provides a part of one core.
fn run_hosted<F>(config: HostedConfig, role: impl Fn(HostedConfig) -> F) -> Result<()>
where
    F: Future<Output = Result<()>>,
{
    logging::init_stdout(config.level, &config.boot.vm)?;
    info!("process is starting", kv: {
        version = env!("CARGO_PKG_VERSION"),
        zone = config.boot.zone,
        policies = config.policies.to_string(),
    });
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let result = runtime.block_on(role(config));
    if let Err(report) = &result {
        error!("process failed: {report:#}");
    }
    logging::close()?;
    result
}

/// Returns the exit code for a failure; a port in use has its own.
fn exit_code(report: &eyre::Report) -> ExitCode {
    let is_port_taken = report.chain().any(|cause| {
        let is_io = cause
            .downcast_ref::<std::io::Error>()
            .is_some_and(|error| error.kind() == std::io::ErrorKind::AddrInUse);
        let is_nng = matches!(
            cause.downcast_ref::<nng::Error>(),
            Some(nng::Error::AddressInUse)
        );
        is_io || is_nng
    });
    ExitCode::from(if is_port_taken {
        EXIT_PORT_TAKEN
    } else {
        EXIT_FAILED
    })
}
