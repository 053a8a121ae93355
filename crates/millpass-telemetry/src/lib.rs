//! Structured logs (one line of key=value pairs per event), Prometheus metrics, and the clocks of
//! a process.

mod bounded_writer;
mod clock;
mod event;
mod hang_watch;
mod last_words;
mod logging;
mod metrics;
mod suspension;

pub use bounded_writer::BoundedWriter;
pub use clock::{ClockSource, ProcessClock, awake_time, boot_time, unix_millis};
pub use event::event_line;
pub use hang_watch::{HangCount, Heartbeat, watch_for_hang};
pub use last_words::{last_words, log_panics};
pub use logging::{LogSettings, TelemetryError, start_logging};
pub use metrics::{exposition, registry};
pub use suspension::SuspensionWatch;
