//! The two parts of an instance's identity: the name that it keeps, and which of its runs it is.
//!
//! Both stand in one [`InstanceId`], so that whatever is known of a run, on the wire, in the log and in every table, is
//! never taken for another run's. A run without a stated incarnation is written as its name alone, as it was before
//! runs stated one.

use crate::InstanceId;
use std::collections::BTreeMap;

/// Stands between name and incarnation, which is written in hexadecimal digits.
const SEPARATOR: char = '#';
/// The character behind it: names of runs lie between the two.
const BEHIND_SEPARATOR: char = '$';

impl InstanceId {
    /// A run of an instance; later runs have higher incarnations, 0 stands for one that is not stated.
    pub fn of_run(name: &str, incarnation: u64) -> InstanceId {
        if incarnation == 0 && !name.contains(SEPARATOR) {
            return InstanceId(name.to_owned());
        }
        InstanceId(format!("{name}{SEPARATOR}{incarnation:x}"))
    }

    /// The name, which all runs share.
    pub fn name(&self) -> &str {
        self.parts().0
    }

    /// Which run it is; 0 where that is not stated.
    pub fn incarnation(&self) -> u64 {
        self.parts().1
    }

    /// Whether it is an earlier run of the same instance.
    pub fn is_before(&self, other: &InstanceId) -> bool {
        let (name, incarnation) = self.parts();
        let (other_name, other_incarnation) = other.parts();
        name == other_name && incarnation < other_incarnation
    }

    /// Runs of this one's instance that stand in a table.
    pub fn runs_in<'a, T>(
        &self,
        table: &'a BTreeMap<InstanceId, T>,
    ) -> impl Iterator<Item = &'a InstanceId> {
        let name = self.name();
        let unstated = table.get_key_value(&InstanceId::of_run(name, 0));
        let from = InstanceId(format!("{name}{SEPARATOR}"));
        let to = InstanceId(format!("{name}{BEHIND_SEPARATOR}"));
        // A name that holds the separator has its run without an incarnation in this range as well.
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
