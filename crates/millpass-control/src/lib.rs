//! The control member process: disk, links, order delivery and administration API around the
//! decision core of `millpass-control-plane`.

pub mod administration;
pub mod api;
pub mod client;
pub mod settings;

pub use settings::ControlProcessSettings;
