//! Structured logs (one line of key=value pairs per event) and Prometheus metrics.
