//! Fractions in place of whole numbers: figures of a contract need not be whole.

use crate::specification::{FileSpecification, KeyKind, Rounding};
use toml::{Table, Value};

/// Units that a key in milliseconds takes, and how many milliseconds each has. The longer name goes first: both end alike.
const UNITS: [(&str, f64); 2] = [("ms", 1.0), ("s", 1_000.0)];

/// Replaces fractions, and texts with a unit, by whole numbers where the key allows it. Anything else stays as it is, for
/// the check to refuse.
pub(crate) fn round_fractions(file: &FileSpecification, table: &mut Table) {
    for section in file.sections {
        let Some(Value::Table(values)) = table.get_mut(section.name) else {
            continue;
        };
        for key in section.keys {
            let KeyKind::Integer {
                rounding: Some(rounding),
                ..
            } = key.kind
            else {
                continue;
            };
            let Some(value) = values.get_mut(key.name) else {
                continue;
            };
            if let Some(whole) = whole(value, key.name.ends_with("_ms"), rounding) {
                *value = Value::Integer(whole);
            }
        }
    }
}

fn whole(value: &Value, in_millis: bool, rounding: Rounding) -> Option<i64> {
    let number = match value {
        Value::Float(number) => *number,
        Value::String(text) if in_millis => millis(text)?,
        _ => return None,
    };
    let rounded = match rounding {
        Rounding::Down => number.floor(),
        Rounding::Up => number.ceil(),
    };
    // Beyond this, whole numbers are not told apart.
    let exact = rounded.is_finite() && rounded.abs() < 2_f64.powi(53);
    exact.then_some(rounded as i64)
}

/// The milliseconds of a text such as `10.5 s`.
fn millis(text: &str) -> Option<f64> {
    let (number, factor) = UNITS.iter().find_map(|(unit, factor)| {
        let number = text.trim().strip_suffix(unit)?;
        Some((number, *factor))
    })?;
    let number: f64 = number.trim().parse().ok()?;
    Some(number * factor)
}
