//! A fleet: all processes of a deployment, run on one machine.

pub mod audits;
pub mod bounds;
pub mod children;
pub mod deployed;
pub mod events;
pub mod evidence;
pub mod faults;
pub mod figures;
pub mod folder;
pub mod lab_files;
pub mod layout;
pub mod observer;
pub mod operator;
pub mod ports;
pub mod prober;
pub mod product_files;
pub mod report;
pub mod revisions;
pub mod run;
pub mod traffic;
