//! Load on a real control group: members as processes of their own, and hollow routers, engines
//! and a platform list that share this process. Measures what each costs at several sizes and
//! fits straight lines over the number of routers. A test tool; no part of the product.
//!
//! | module | job |
//! |---|---|
//! | `options` | the command line |
//! | `member` | body of a member's process |
//! | `group` | starts, ends and reads the members' processes |
//! | `engines` | hollow engines and the platform's list |
//! | `router` | one hollow router on the real link protocol |
//! | `routers` | all hollow routers, and what they count |
//! | `catalog` | fills and changes the catalog |
//! | `usage` | processor time and memory of a process |
//! | `figures` | quantiles and least squares |
//! | `measure` | one size, from start to the leader's end |
//! | `run` | all sizes, and the lines through them |

pub mod catalog;
pub mod engines;
pub mod figures;
pub mod group;
pub mod measure;
pub mod member;
pub mod options;
pub mod router;
pub mod routers;
pub mod run;
pub mod usage;
