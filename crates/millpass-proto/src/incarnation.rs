//! Parts of an instance ID: the instance name, which is stable across restarts, and the incarnation.
//!
//! [`InstanceId`] contains both, so that the state of one incarnation is never attributed to another, on the wire, in
//! the log or in any table. An instance that states no incarnation is identified by its name alone, the format from
//! before incarnations were introduced.

use crate::InstanceId;
use std::collections::BTreeMap;

/// Separates the name from the incarnation, which is written in hexadecimal.
const SEPARATOR: char = '#';
/// The character after the separator, the upper bound for range queries over incarnations of a name.
const AFTER_SEPARATOR: char = '$';

impl InstanceId {
    /// ID of an instance incarnation. Incarnations increase with restarts; 0 means that none is stated.
    pub fn of_run(name: &str, incarnation: u64) -> InstanceId {
        if incarnation == 0 && !name.contains(SEPARATOR) {
            return InstanceId(name.to_owned());
        }
        InstanceId(format!("{name}{SEPARATOR}{incarnation:x}"))
    }

    /// Instance name, shared by all incarnations.
    pub fn name(&self) -> &str {
        self.parts().0
    }

    /// Incarnation; 0 if none is stated.
    pub fn incarnation(&self) -> u64 {
        self.parts().1
    }

    /// Whether this is an earlier incarnation of the same instance.
    pub fn is_before(&self, other: &InstanceId) -> bool {
        let (name, incarnation) = self.parts();
        let (other_name, other_incarnation) = other.parts();
        name == other_name && incarnation < other_incarnation
    }

    /// Incarnations of the same instance that are keys of a table.
    pub fn runs_in<'a, T>(
        &self,
        table: &'a BTreeMap<InstanceId, T>,
    ) -> impl Iterator<Item = &'a InstanceId> {
        let name = self.name();
        let unstated = table.get_key_value(&InstanceId::of_run(name, 0));
        let from = InstanceId(format!("{name}{SEPARATOR}"));
        let to = InstanceId(format!("{name}{AFTER_SEPARATOR}"));
        // The range can also contain an ID without an incarnation whose name contains the separator.
        let stated = table
            .range(from..to)
            .filter(|(run, _)| run.incarnation() > 0);
        unstated.into_iter().chain(stated).map(|(run, _)| run)
    }

    fn parts(&self) -> (&str, u64) {
        let stated = || {
            let (name, digits) = self.0.rsplit_once(SEPARATOR)?;
            let incarnation = u64::from_str_radix(digits, 16).ok()?;
            Some((name, incarnation))
        };
        stated().unwrap_or((&self.0, 0))
    }
}
