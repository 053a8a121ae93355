//! The router process: caller API, dispatch, streaming and the link to the control group.
//!
//! [`start`] runs a router within the calling process. Each caller request is handled on one thread
//! (`exchange`), which acts on the decisions of the decision core in `millpass-routing`. `driver`
//! steps the core and delivers its outputs; it documents the lock order.

mod attempt;
mod backend;
mod caller;
mod caller_response;
mod driver;
mod exchange;
mod explain;
mod handler;
mod link;
mod member_selector;
mod metrics;
mod models;
mod outbox;
mod process;
mod refusal;
mod requests;
mod settings;
pub mod sse;
mod stream;
mod transport;
mod watch;

pub use member_selector::MemberSelector;
pub use process::{RouterHandle, start};
pub use settings::{
    BackendTimeouts, CallerLimits, LinkSettings, RouterProcessSettings, WatchSettings,
};
