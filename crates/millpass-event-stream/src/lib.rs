//! Boundaries of server-sent events in a byte stream, independent of how it is split into reads.
//!
//! Lines end with LF, CR LF or CR, and a blank line ends an event. No I/O.
//!
//! | module | job |
//! |---|---|
//! | `scanner` | finds the ends of events |

mod scanner;

pub use scanner::EventScanner;
