//! Structured logs (one line of key=value pairs per event) and Prometheus metrics.

mod event;
mod logging;
mod metrics;

pub use event::event_line;
pub use logging::{LogSettings, TelemetryError, start_logging};
pub use metrics::{exposition, registry};
