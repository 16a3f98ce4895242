//! Start of a process: settings, logs, role, exit code.

use std::process::ExitCode;

use eyre::Result;
use spdlog::{error, info};

use tokio::runtime::Runtime;

use crate::config::{self, HostedConfig, ProcessConfig};
use crate::{agent, entry, hosted, logging};

/// Exit code after a failure.
pub const EXIT_FAILED: u8 = 1;

/// Exit code for settings with mistakes.
pub const EXIT_CONFIG: u8 = 2;

/// Exit code when a port is taken.
pub const EXIT_PORT_TAKEN: u8 = 3;

/// Threads that serve requests; timers and sockets share them.
const WORKER_THREADS: usize = 4;

/// Runs the daemon as the command line and the environment say.
pub fn run_from_command_line() -> ExitCode {
    let matches = config::command().get_matches();
    let config = match config::read(&matches) {
        Ok(config) => config,
        Err(findings) => {
            eprintln!("turmericd: the settings have {findings}");
            return ExitCode::from(EXIT_CONFIG);
        }
    };
    if matches.get_flag("check") {
        println!("the settings are good");
        return ExitCode::SUCCESS;
    }
    match run(config) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            error!("stopped: {report:#}");
            exit_code(&report)
        }
    }
}

fn run(config: ProcessConfig) -> Result<()> {
    match config {
        ProcessConfig::Entry(config) => {
            logging::init_logging(&config.common.log, config.id.as_str())?;
            info!("entry starts", kv: { version = env!("CARGO_PKG_VERSION") });
            standalone_runtime()?.block_on(entry::run(config))
        }
        ProcessConfig::Agent(config) => {
            logging::init_logging(&config.common.log, config.worker.as_str())?;
            info!("agent starts", kv: { version = env!("CARGO_PKG_VERSION") });
            standalone_runtime()?.block_on(agent::run(config))
        }
        ProcessConfig::HostedEntry(config) => run_hosted(config, hosted::run_entry),
        ProcessConfig::HostedAgent(config) => run_hosted(config, hosted::run_agent),
    }
}

fn standalone_runtime() -> Result<Runtime> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()?;
    Ok(runtime)
}

/// Runs a role of the users' platform, where a VM gives a part of one core.
fn run_hosted<F>(config: HostedConfig, role: impl Fn(HostedConfig) -> F) -> Result<()>
where
    F: Future<Output = Result<()>>,
{
    logging::init_stdout(config.level, &config.boot.vm)?;
    info!("process starts", kv: { version = env!("CARGO_PKG_VERSION"), zone = config.boot.zone });
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let ended = runtime.block_on(role(config));
    if let Err(report) = &ended {
        error!("stopped: {report:#}");
    }
    logging::close()?;
    ended
}

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
