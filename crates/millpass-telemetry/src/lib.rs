//! Structured logs (one line of key=value pairs per event), Prometheus metrics and process clocks.

mod bounded_writer;
mod clock;
mod event;
mod fatal;
mod hang_watch;
mod logging;
mod metrics;
mod suspension;

pub use bounded_writer::BoundedWriter;
pub use clock::{ClockSource, ProcessClock, boot_time, monotonic_time, unix_millis};
pub use event::event_line;
pub use fatal::{log_panics, write_stderr_with_timeout};
pub use hang_watch::{HangDetector, Heartbeat, watch_for_hang};
pub use logging::{LogSettings, TelemetryError, start_logging};
pub use metrics::{exposition, registry};
pub use suspension::SuspensionDetector;
