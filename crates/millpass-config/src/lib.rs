//! Settings files: types and key tables generated from `schema/settings.yaml`, validation and
//! loading.

#[rustfmt::skip]
#[allow(clippy::derivable_impls)]
pub mod generated;
mod check;
mod load;
mod rounding;
pub mod specification;

pub use check::{Finding, check_table};
pub use generated::{ControlSettings, RouterSettings};
pub use load::{
    SettingsError, load_control, load_gateway, load_router, parse_control, parse_gateway,
    parse_router,
};
