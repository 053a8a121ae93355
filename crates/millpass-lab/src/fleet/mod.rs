//! A fleet: the separate processes of a deployment at its full size, on one machine.

pub mod bounds;
pub mod children;
pub mod deployed;
pub mod events;
pub mod folder;
pub mod lab_files;
pub mod layout;
pub mod ports;
pub mod product_files;
