//! Large values of messages, shared between the log, queues and caches instead of copied.
//!
//! They are encoded like the values they point to.

use crate::generated::DeploymentDocument;
use serde_bytes::ByteBuf;
use std::sync::Arc;

/// Reference-counted bytes.
pub type SharedBytes = Arc<ByteBuf>;

/// Reference-counted document.
pub type SharedDocument = Arc<DeploymentDocument>;
