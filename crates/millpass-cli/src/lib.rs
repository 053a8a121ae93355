//! The millpass command.
