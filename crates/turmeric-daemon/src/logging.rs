//! Structured logs, as JSON lines or readable text.

use std::num::NonZeroUsize;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, OnceLock};

use eyre::{Result, WrapErr};
use prometheus_client::metrics::counter::Counter;
use spdlog::formatter::{Formatter, FullFormatter, JsonFormatter};
use spdlog::sink::{AsyncPoolSink, OverflowPolicy, SinkPropAccess, StdStreamSink};
use spdlog::{ErrorHandler, LevelFilter, Logger, ThreadPool};

use crate::config::{LogForm, LogOptions};

/// Sends all logs of this process to standard error.
pub(crate) fn init_logging(options: &LogOptions, process: &str) -> Result<()> {
    let formatter: Box<dyn Formatter> = match options.form {
        LogForm::Json => Box::new(JsonFormatter::new()),
        LogForm::Text => Box::new(FullFormatter::new()),
    };
    let sink = StdStreamSink::builder()
        .stderr()
        .build()
        .wrap_err("opening the log")?;
    sink.set_formatter(formatter);
    let logger = Logger::builder()
        .name(process)
        .sink(Arc::new(sink))
        .level_filter(LevelFilter::MoreSevereEqual(options.level))
        .build()
        .wrap_err("preparing the log")?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

/// Maximum number of log lines that wait to be written; about a megabyte at 300 bytes a
/// line.
const LINE_BACKLOG: NonZeroUsize = NonZeroUsize::new(4096).unwrap();

/// Lines that were dropped because the log backlog was full.
static DROPPED_LINES: OnceLock<Counter<u64, AtomicU64>> = OnceLock::new();

/// Returns the counter of log lines that were dropped because the reader of standard
/// output was too slow.
pub(crate) fn dropped_lines() -> Counter<u64, AtomicU64> {
    DROPPED_LINES.get_or_init(Counter::default).clone()
}

/// Sends all logs of this process to standard output, as JSON lines.
///
/// A separate thread writes them. While the backlog is full because the reader stalls,
/// lines are dropped and counted, so that no code waits for the log.
pub(crate) fn init_stdout(level: spdlog::Level, process: &str) -> Result<()> {
    let stdout = StdStreamSink::builder()
        .stdout()
        .build()
        .wrap_err("opening the log")?;
    stdout.set_formatter(Box::new(JsonFormatter::new()));
    let pool = ThreadPool::builder()
        .capacity(LINE_BACKLOG)
        .build()
        .wrap_err("starting the thread that writes the log")?;
    let sink = AsyncPoolSink::builder()
        .sink(Arc::new(stdout))
        .thread_pool(Arc::new(pool))
        .overflow_policy(OverflowPolicy::DropIncoming)
        .error_handler(ErrorHandler::new(|_| {
            dropped_lines().inc();
        }))
        .build()
        .wrap_err("preparing the log")?;
    let logger = Logger::builder()
        .name(process)
        .sink(Arc::new(sink))
        .level_filter(LevelFilter::MoreSevereEqual(level))
        .build()
        .wrap_err("preparing the log")?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

/// Writes the pending lines and drops later ones; called last in a process.
pub(crate) fn close() -> Result<()> {
    let empty = Logger::builder().build().wrap_err("closing the log")?;
    // The thread that writes the log stops when the last logger that uses it is dropped.
    drop(spdlog::swap_default_logger(Arc::new(empty)));
    Ok(())
}
