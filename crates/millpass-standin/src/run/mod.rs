//! Shared parts of the front ends: scaled clock, alarms, drivers and HTTP helpers.

mod alarm;
mod clock;
mod driver;
mod front;
mod http;
mod journal;
mod served;

pub use alarm::{Alarm, Alarms};
pub use clock::ScaledClock;
pub use driver::{Driver, TimedModel};
pub use front::FrontSettings;
pub(crate) use front::retry_after_response;
pub(crate) use http::{
    EXECUTED_HEADER, error_response, header_number, header_text, json_response, malformed_header,
    parse_json, path_segments, query_number,
};
pub(crate) use journal::RunRecorder;
pub use journal::{RunJournal, RunRecord, RunStep};
pub use served::Served;
