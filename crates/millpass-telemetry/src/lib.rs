//! Structured logs (one line of key=value pairs per event), Prometheus metrics, and the clocks of
//! a process.

mod bounded_writer;
mod clock;
mod event;
mod logging;
mod metrics;

pub use bounded_writer::BoundedWriter;
pub use clock::{ProcessClock, unix_millis};
pub use event::event_line;
pub use logging::{LogSettings, TelemetryError, start_logging};
pub use metrics::{exposition, registry};
