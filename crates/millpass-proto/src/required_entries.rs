//! Log entries that gateways are required to apply.

use crate::generated::{Command, EntryPayload};

impl Command {
    /// Whether every gateway must apply this command within a bounded time after it is
    /// acknowledged.
    pub fn is_required_by_gateways(&self) -> bool {
        matches!(self, Command::PutDocument(_) | Command::DepartInstance(_))
    }
}

impl EntryPayload {
    /// Whether the entry contains a command for which [`Command::is_required_by_gateways`] holds.
    pub fn is_required_by_gateways(&self) -> bool {
        match self {
            EntryPayload::Command(command) => command.is_required_by_gateways(),
            EntryPayload::Noop | EntryPayload::Membership(_) => false,
        }
    }
}
