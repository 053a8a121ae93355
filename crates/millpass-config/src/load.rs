//! Loading of settings files and validation rules across keys.

use crate::check::{Finding, check_table};
use crate::generated::{
    CONTROL_FILE, ControlFleetSection, ControlSettings, GATEWAY_FILE, GatewaySettings, ROUTER_FILE,
    RouterSettings,
};
use crate::rounding::round_fractions;
use crate::specification::FileSpecification;
use serde::de::DeserializeOwned;
use std::path::Path;
use toml::Table;

/// Error loading a settings file.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// Reading the file failed.
    #[error("{file}: cannot be read ({source}); check the path and its permissions")]
    Unreadable {
        /// Name of the file.
        file: String,
        /// Underlying error.
        source: std::io::Error,
    },
    /// The file is not valid TOML.
    #[error("{file}: not valid TOML: {reason}; see docs/SETTINGS.md for the form")]
    Malformed {
        /// Name of the file.
        file: String,
        /// Parser message with line and column.
        reason: String,
    },
    /// One or more keys are invalid.
    #[error("{file}: {}", format_findings(.findings))]
    Invalid {
        /// Name of the file.
        file: String,
        /// All invalid keys.
        findings: Vec<Finding>,
    },
}

fn format_findings(findings: &[Finding]) -> String {
    let lines: Vec<String> = findings.iter().map(Finding::to_string).collect();
    lines.join("\n  ")
}

/// Loads the settings file of a control member.
pub fn load_control(path: &Path) -> Result<ControlSettings, SettingsError> {
    parse_control(&path.display().to_string(), &read(path)?)
}

/// Loads the settings file of a router.
pub fn load_router(path: &Path) -> Result<RouterSettings, SettingsError> {
    parse_router(&path.display().to_string(), &read(path)?)
}

/// Loads the settings file of a gateway.
pub fn load_gateway(path: &Path) -> Result<GatewaySettings, SettingsError> {
    parse_gateway(&path.display().to_string(), &read(path)?)
}

/// Parses a gateway's settings; `file` is the name used in errors.
pub fn parse_gateway(file: &str, text: &str) -> Result<GatewaySettings, SettingsError> {
    parse(file, text, &GATEWAY_FILE, gateway_rules)
}

/// Parses a control member's settings; `file` is the name used in errors.
pub fn parse_control(file: &str, text: &str) -> Result<ControlSettings, SettingsError> {
    parse(file, text, &CONTROL_FILE, control_rules)
}

/// Parses a router's settings; `file` is the name used in errors.
pub fn parse_router(file: &str, text: &str) -> Result<RouterSettings, SettingsError> {
    parse(file, text, &ROUTER_FILE, router_rules)
}

fn read(path: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(path).map_err(|source| SettingsError::Unreadable {
        file: path.display().to_string(),
        source,
    })
}

fn parse<T: DeserializeOwned>(
    file: &str,
    text: &str,
    specification: &FileSpecification,
    rules: fn(&T) -> Vec<Finding>,
) -> Result<T, SettingsError> {
    let malformed = |reason: String| SettingsError::Malformed {
        file: file.to_owned(),
        reason,
    };
    let mut table: Table = text
        .parse()
        .map_err(|error: toml::de::Error| malformed(error.to_string()))?;
    round_fractions(specification, &mut table);
    let findings = check_table(specification, &table);
    if !findings.is_empty() {
        return Err(SettingsError::Invalid {
            file: file.to_owned(),
            findings,
        });
    }
    let settings: T = table
        .try_into()
        .map_err(|error| malformed(error.to_string()))?;
    let findings = rules(&settings);
    if !findings.is_empty() {
        return Err(SettingsError::Invalid {
            file: file.to_owned(),
            findings,
        });
    }
    Ok(settings)
}

fn check_below(key: &str, value: u64, limit_key: &str, limit: u64) -> Option<Finding> {
    (value >= limit).then(|| Finding {
        key: key.to_owned(),
        reason: format!("{value} is not below {limit_key} ({limit})"),
        remedy: format!("lower it or raise {limit_key}"),
    })
}

/// An instruction is written within `order_lifetime_ms` of its commit, and its connection is reset at
/// the latest `call_timeout_ms` after that. Another leader instructs the engine `order_handover_ms`
/// and `order_lifetime_ms` after the commit. The second lifetime is the margin for threads that run
/// late.
fn check_revocation(fleet: &ControlFleetSection) -> Option<Finding> {
    let bound = fleet.order_lifetime_ms + fleet.call_timeout_ms;
    let handover = fleet.order_handover_ms;
    (fleet.mode == "announced" && bound >= handover).then(|| Finding {
        key: "fleet.order_handover_ms".to_owned(),
        reason: format!(
            "{handover} is not above fleet.order_lifetime_ms and fleet.call_timeout_ms together \
             ({bound}): an instruction could arrive after one of the next leader"
        ),
        remedy: format!(
            "raise it above {bound}, or lower fleet.call_timeout_ms or fleet.order_lifetime_ms"
        ),
    })
}

/// A leader's lease must expire before another leader can be elected, and heartbeats must renew it
/// before it expires. Instructions of a leader must have ended before another one instructs the same
/// engine.
fn control_rules(settings: &ControlSettings) -> Vec<Finding> {
    let timing = &settings.consensus;
    [
        check_below(
            "consensus.lease_ms",
            timing.lease_ms,
            "consensus.election_timeout_ms",
            timing.election_timeout_ms,
        ),
        check_below(
            "consensus.heartbeat_ms",
            timing.heartbeat_ms,
            "consensus.lease_ms",
            timing.lease_ms,
        ),
        check_revocation(&settings.fleet),
    ]
    .into_iter()
    .flatten()
    .collect()
}

fn router_rules(settings: &RouterSettings) -> Vec<Finding> {
    let limits = &settings.limits;
    let too_long = limits.default_deadline_ms > limits.maximum_deadline_ms;
    let finding = too_long.then(|| Finding {
        key: "limits.default_deadline_ms".to_owned(),
        reason: "longer than limits.maximum_deadline_ms".to_owned(),
        remedy: "lower it or raise the maximum".to_owned(),
    });
    finding.into_iter().collect()
}

/// The retry ratio must be a number from 0 to 1.
fn gateway_rules(settings: &GatewaySettings) -> Vec<Finding> {
    let ratio = settings.retries.ratio.parse::<f64>();
    let is_valid = ratio.is_ok_and(|ratio| (0.0..=1.0).contains(&ratio));
    let finding = (!is_valid).then(|| Finding {
        key: "retries.ratio".to_owned(),
        reason: format!("{:?} is not a ratio", settings.retries.ratio),
        remedy: "write a number from 0 to 1 in quotes, such as \"0.2\"".to_owned(),
    });
    finding.into_iter().collect()
}
