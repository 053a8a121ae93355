//! The router process: caller API, dispatch, streaming, link to the control group.
//!
//! [`start`] runs a router within the calling process. A caller's request is carried by one
//! thread (`exchange`), which does what the decision core of `millpass-routing` says. `driver`
//! steps the core and carries its outputs out; its documentation states the lock order.

mod attempt;
mod backend;
mod caller;
mod caller_side;
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
