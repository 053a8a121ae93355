//! Load test of a control group: real member processes, with hollow routers, engines and a platform
//! list in this process. Measures several sizes and fits lines over the number of routers.
//!
//! | module | contents |
//! |---|---|
//! | `options` | the command line |
//! | `member` | main function of a member process |
//! | `group` | starts, stops and inspects the member processes |
//! | `engines` | hollow engines and the platform list |
//! | `router` | one hollow router on the real link protocol |
//! | `routers` | all hollow routers, and their counters |
//! | `catalog` | creates and changes catalog objects |
//! | `usage` | processor time and memory of a process |
//! | `figures` | quantiles and least squares |
//! | `measure` | measures one size, phase by phase |
//! | `run` | measures all sizes and fits the lines |

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
