//! Which entries of the log bind gateways.

use crate::generated::{Command, EntryPayload};

impl Command {
    /// Whether gateways have to go by this command within a bounded time of its acknowledgement.
    pub fn is_required_by_gateways(&self) -> bool {
        matches!(self, Command::PutDocument(_) | Command::DepartInstance(_))
    }
}

impl EntryPayload {
    /// Whether the entry holds a command that binds gateways.
    pub fn is_required_by_gateways(&self) -> bool {
        match self {
            EntryPayload::Command(command) => command.is_required_by_gateways(),
            EntryPayload::Noop | EntryPayload::Membership(_) => false,
        }
    }
}
