//! Process logger: each record becomes one line of key=value pairs.

use crate::bounded_writer::BoundedWriter;
use crate::event_line;
use log::{LevelFilter, Log, Metadata, Record};
use simplelog::{Config, ConfigBuilder, WriteLogger};
use std::io::Write;
use std::time::{SystemTime, UNIX_EPOCH};

/// Value of `file` that selects standard output.
const STANDARD_OUTPUT: &str = "-";

/// Log destination and level.
#[derive(Clone, Debug)]
pub struct LogSettings {
    /// Lowest severity that is logged.
    pub level: String,
    /// File to append to; empty for standard error, `-` for standard output. It is written by a
    /// background thread.
    pub file: String,
}

/// Error starting the logger.
#[derive(Debug, thiserror::Error)]
pub enum TelemetryError {
    /// Unknown log level.
    #[error("log level {0:?} is not known; write one of off, error, warn, info, debug")]
    UnknownLevel(String),
    /// Opening the log file or starting its thread failed.
    #[error("log file {file}: {source}; check the path and its permissions")]
    File {
        /// Path from the settings.
        file: String,
        /// Underlying error.
        source: std::io::Error,
    },
    /// A logger is already set in this process.
    #[error("logging is already started in this process; start it once")]
    AlreadyStarted,
}

/// Starts the process logger. Must be called once only.
pub fn start_logging(settings: &LogSettings) -> Result<(), TelemetryError> {
    let level: LevelFilter = settings
        .level
        .parse()
        .map_err(|_| TelemetryError::UnknownLevel(settings.level.clone()))?;
    let writer = WriteLogger::new(level, unprefixed_config(), destination(&settings.file)?);
    log::set_max_level(level);
    log::set_boxed_logger(Box::new(EventLogger { writer }))
        .map_err(|_| TelemetryError::AlreadyStarted)
}

fn destination(file: &str) -> Result<Box<dyn Write + Send>, TelemetryError> {
    let file_error = |source| TelemetryError::File {
        file: file.to_owned(),
        source,
    };
    let writer = match file {
        STANDARD_OUTPUT => BoundedWriter::start(std::io::stdout()),
        "" => BoundedWriter::start(std::io::stderr()),
        _ => std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(file)
            .and_then(BoundedWriter::start),
    };
    Ok(Box::new(writer.map_err(file_error)?))
}

/// Returns a configuration without prefixes: time and level are written as pairs of the line.
fn unprefixed_config() -> Config {
    ConfigBuilder::new()
        .set_time_level(LevelFilter::Off)
        .set_max_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .build()
}

struct EventLogger {
    writer: Box<WriteLogger<Box<dyn Write + Send>>>,
}

impl Log for EventLogger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        self.writer.enabled(metadata)
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let line = format_line(record);
        // A single expression, as `format_args!` borrows until the record is logged.
        self.writer.log(
            &Record::builder()
                .metadata(record.metadata().clone())
                .args(format_args!("{line}"))
                .build(),
        );
    }

    fn flush(&self) {
        self.writer.flush();
    }
}

fn format_line(record: &Record<'_>) -> String {
    let unix_millis = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis());
    let level = record.level().as_str().to_ascii_lowercase();
    let message = record.args().to_string();
    // Records of third-party libraries are wrapped in an event.
    let event = if message.starts_with("event=") {
        message.replace('\n', "\\n")
    } else {
        event_line(
            "message",
            &[("source", record.target().to_owned()), ("text", message)],
        )
    };
    format!("at_unix_ms={unix_millis} level={level} {event}")
}
