//! Structured logs: JSON lines, or a readable form.

use std::sync::Arc;

use eyre::{Result, WrapErr};
use spdlog::formatter::{Formatter, FullFormatter, JsonFormatter};
use spdlog::sink::{SinkPropAccess, StdStreamSink};
use spdlog::{LevelFilter, Logger};

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

/// Sends all logs of this process to standard output, as JSON lines.
pub(crate) fn init_stdout(level: spdlog::Level, process: &str) -> Result<()> {
    let sink = StdStreamSink::builder()
        .stdout()
        .build()
        .wrap_err("opening the log")?;
    sink.set_formatter(Box::new(JsonFormatter::new()));
    let logger = Logger::builder()
        .name(process)
        .sink(Arc::new(sink))
        .level_filter(LevelFilter::MoreSevereEqual(level))
        .build()
        .wrap_err("preparing the log")?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}
