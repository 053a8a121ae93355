//! The process's logger: `simplelog` writes each record as one line of key=value pairs.

use crate::bounded_writer::BoundedWriter;
use crate::event_line;
use log::{LevelFilter, Log, Metadata, Record};
use simplelog::{Config, ConfigBuilder, WriteLogger};
use std::io::Write;
use std::time::{SystemTime, UNIX_EPOCH};

/// Name of the destination that stands for standard output.
const STANDARD_OUTPUT: &str = "-";

/// Where logs go and from which level on.
#[derive(Clone, Debug)]
pub struct LogSettings {
    /// Least severe level written.
    pub level: String,
    /// File to append to; empty for standard error, `-` for standard output. A thread of its own writes it: nothing waits
    /// for a reader or a disk.
    pub file: String,
}

/// Why logging could not start.
#[derive(Debug, thiserror::Error)]
pub enum TelemetryError {
    /// The level is not known.
    #[error("log level {0:?} is not known; write one of off, error, warn, info, debug")]
    UnknownLevel(String),
    /// The file cannot be written.
    #[error("log file {file}: {source}; check the path and its permissions")]
    File {
        /// File.
        file: String,
        /// Cause.
        source: std::io::Error,
    },
    /// Logging was started before in this process.
    #[error("logging was started before in this process; start it once")]
    AlreadyStarted,
}

/// Starts the process's logger. Call once.
pub fn start_logging(settings: &LogSettings) -> Result<(), TelemetryError> {
    let level: LevelFilter = settings
        .level
        .parse()
        .map_err(|_| TelemetryError::UnknownLevel(settings.level.clone()))?;
    let writer = WriteLogger::new(level, undecorated(), destination(&settings.file)?);
    log::set_max_level(level);
    log::set_boxed_logger(Box::new(EventLogger { writer }))
        .map_err(|_| TelemetryError::AlreadyStarted)
}

fn destination(file: &str) -> Result<Box<dyn Write + Send>, TelemetryError> {
    let failed = |source| TelemetryError::File {
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
    Ok(Box::new(writer.map_err(failed)?))
}

/// The writer adds nothing of its own: time and level become pairs of the line.
fn undecorated() -> Config {
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
        let line = line_of(record);
        // The arguments must live as long as the record, hence one expression.
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

fn line_of(record: &Record<'_>) -> String {
    let unix_millis = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis());
    let level = record.level().as_str().to_ascii_lowercase();
    let message = record.args().to_string();
    // A record that is no event line yet (a library's) becomes one.
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
