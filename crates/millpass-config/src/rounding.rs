//! Rounding of fractional values to the integers that keys take.

use crate::specification::{FileSpecification, KeyKind, Rounding};
use toml::{Table, Value};

/// Units of keys in milliseconds and their factors. `ms` must come first, as it also ends in `s`.
const UNITS: [(&str, f64); 2] = [("ms", 1.0), ("s", 1_000.0)];

/// Replaces fractions and values with a unit by integers where the key allows it. Other values are
/// left for the check to reject.
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
            if let Some(rounded) = round_value(value, key.name.ends_with("_ms"), rounding) {
                *value = Value::Integer(rounded);
            }
        }
    }
}

fn round_value(value: &Value, in_millis: bool, rounding: Rounding) -> Option<i64> {
    let number = match value {
        Value::Float(number) => *number,
        Value::String(text) if in_millis => parse_millis(text)?,
        _ => return None,
    };
    let rounded = match rounding {
        Rounding::Down => number.floor(),
        Rounding::Up => number.ceil(),
    };
    // Larger integers are not exact in an `f64`.
    let exact = rounded.is_finite() && rounded.abs() < 2_f64.powi(53);
    exact.then_some(rounded as i64)
}

/// Parses a duration such as `10.5 s` to milliseconds.
fn parse_millis(text: &str) -> Option<f64> {
    let (number, factor) = UNITS.iter().find_map(|(unit, factor)| {
        let number = text.trim().strip_suffix(unit)?;
        Some((number, *factor))
    })?;
    let number: f64 = number.trim().parse().ok()?;
    Some(number * factor)
}
