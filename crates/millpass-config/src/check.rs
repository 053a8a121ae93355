//! Validation of a parsed file against its key table. Reports all findings, not only the first.

use crate::specification::{FileSpecification, KeyKind, KeySpecification, SectionSpecification};
use std::fmt;
use std::net::SocketAddr;
use toml::{Table, Value};

/// Minimum Jaro-Winkler similarity for suggesting a known name.
const SUGGESTION_SIMILARITY: f64 = 0.6;

/// An invalid key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Key, including its section.
    pub key: String,
    /// Reason why it is invalid.
    pub reason: String,
    /// How to correct it.
    pub remedy: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "key {}: {}; {}",
            self.key, self.reason, self.remedy
        )
    }
}

/// Checks a file against its key table.
pub fn check_table(file: &FileSpecification, table: &Table) -> Vec<Finding> {
    let mut findings = Vec::new();
    let names: Vec<&str> = file.sections.iter().map(|section| section.name).collect();
    for name in table.keys().filter(|name| !names.contains(&name.as_str())) {
        findings.push(unknown_name(name, name, &names));
    }
    for section in file.sections {
        check_section(section, table.get(section.name), &mut findings);
    }
    findings
}

fn check_section(
    section: &SectionSpecification,
    value: Option<&Value>,
    findings: &mut Vec<Finding>,
) {
    match (value, section.repeated) {
        (None, true) => {}
        (None, false) => check_keys(section, section.name, &Table::new(), findings),
        (Some(Value::Table(table)), false) => check_keys(section, section.name, table, findings),
        (Some(Value::Array(tables)), true) => {
            for (index, entry) in tables.iter().enumerate() {
                let path = format!("{}[{index}]", section.name);
                match entry {
                    Value::Table(table) => check_keys(section, &path, table, findings),
                    _ => findings.push(wrong_shape(&path, &format!("[[{}]]", section.name))),
                }
            }
        }
        (Some(_), true) => {
            findings.push(wrong_shape(section.name, &format!("[[{}]]", section.name)));
        }
        (Some(_), false) => {
            findings.push(wrong_shape(section.name, &format!("[{}]", section.name)));
        }
    }
}

fn check_keys(
    section: &SectionSpecification,
    section_path: &str,
    table: &Table,
    findings: &mut Vec<Finding>,
) {
    let names: Vec<&str> = section.keys.iter().map(|key| key.name).collect();
    for name in table.keys().filter(|name| !names.contains(&name.as_str())) {
        findings.push(unknown_name(
            &format!("{section_path}.{name}"),
            name,
            &names,
        ));
    }
    for key in section.keys {
        let path = format!("{section_path}.{}", key.name);
        match table.get(key.name) {
            Some(value) => findings.extend(check_value(key, &path, value)),
            None if key.required => findings.push(Finding {
                key: path,
                reason: "missing".to_owned(),
                remedy: format!("add `{} = ...` to [{}]", key.name, section.name),
            }),
            None => {}
        }
    }
}

fn check_value(key: &KeySpecification, path: &str, value: &Value) -> Option<Finding> {
    let finding = |reason: String, remedy: String| {
        Some(Finding {
            key: path.to_owned(),
            reason,
            remedy,
        })
    };
    match (key.kind, value) {
        (
            KeyKind::Integer {
                minimum, maximum, ..
            },
            Value::Integer(number),
        ) => {
            let in_range = u64::try_from(*number).is_ok_and(|n| (minimum..=maximum).contains(&n));
            if in_range {
                return None;
            }
            finding(
                format!("{number} is out of range"),
                format!("write {minimum} to {maximum}"),
            )
        }
        (KeyKind::Integer { .. }, other) => finding(
            format!("{other} is not a whole number"),
            format!("write a plain number{}", unit_hint(key.name)),
        ),
        (KeyKind::Text, Value::String(text)) if key.required && text.is_empty() => {
            finding("empty".to_owned(), "write a value".to_owned())
        }
        (KeyKind::Text, Value::String(_)) => None,
        (KeyKind::Address, Value::String(text)) if text.parse::<SocketAddr>().is_ok() => None,
        (KeyKind::Addresses, Value::Array(entries)) if addresses_are_valid(entries) => None,
        (KeyKind::Choice(choices), Value::String(text)) if choices.contains(&text.as_str()) => None,
        (KeyKind::Choice(choices), other) => finding(
            format!("{other} is not known"),
            format!("write one of {}", choices.join(", ")),
        ),
        (KeyKind::Address, other) => finding(
            format!("{other} is not an address"),
            "write an IP address and port, such as \"127.0.0.1:7100\"".to_owned(),
        ),
        (KeyKind::Addresses, other) => finding(
            format!("{other} is not a list of addresses"),
            "write at least one, such as [\"127.0.0.1:7100\"]".to_owned(),
        ),
        (KeyKind::Text, other) => finding(
            format!("{other} is not text"),
            "put it in quotes".to_owned(),
        ),
    }
}

fn addresses_are_valid(entries: &[Value]) -> bool {
    let valid = |entry: &Value| {
        entry
            .as_str()
            .is_some_and(|text| text.parse::<SocketAddr>().is_ok())
    };
    !entries.is_empty() && entries.iter().all(valid)
}

fn unit_hint(name: &str) -> &'static str {
    if name.ends_with("_ms") {
        " of milliseconds, without a unit"
    } else if name.ends_with("_bytes") {
        " of bytes, without a unit"
    } else {
        ""
    }
}

fn unknown_name(path: &str, name: &str, known: &[&str]) -> Finding {
    let similarity = |candidate: &&&str| strsim::jaro_winkler(name, candidate);
    let nearest = known
        .iter()
        .max_by(|left, right| similarity(left).total_cmp(&similarity(right)))
        .filter(|candidate| similarity(candidate) >= SUGGESTION_SIMILARITY);
    let remedy = match nearest {
        Some(candidate) => format!("did you mean `{candidate}`? otherwise remove it"),
        None => format!("remove it; known are {}", known.join(", ")),
    };
    Finding {
        key: path.to_owned(),
        reason: "unknown".to_owned(),
        remedy,
    }
}

fn wrong_shape(path: &str, expected: &str) -> Finding {
    Finding {
        key: path.to_owned(),
        reason: "not a table of the expected form".to_owned(),
        remedy: format!("write it as {expected}"),
    }
}
