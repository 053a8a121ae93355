//! Tests of settings files: defaults, rounding, and errors that name key, reason and remedy.

use millpass_config::generated::GatewaySettings;
use millpass_config::{ControlSettings, SettingsError, parse_control, parse_gateway, parse_router};
use rstest::rstest;

const CONTROL: &str = r#"
[member]
zone = "west"
data_folder = "data"
"#;

const ROUTER: &str = r#"
[router]
name = "router-1"
zone = "west"
[control]
members = ["127.0.0.1:7100"]
"#;

#[test]
fn minimal_files_use_defaults() {
    let control = parse_control("c.toml", CONTROL).expect("control settings");
    assert_eq!(control.consensus.election_timeout_ms, 800);
    let router = parse_router("r.toml", ROUTER).expect("router settings");
    assert_eq!(router.limits.maximum_waiting, 10_000);
}

#[rstest]
#[case("[membr]\nzone = 'a'", "membr", "did you mean `member`?")]
#[case(
    "[consensus]\nheartbeet_ms = 5",
    "consensus.heartbeet_ms",
    "did you mean `heartbeat_ms`?"
)]
#[case(
    "[consensus]\nheartbeat_ms = '5s'",
    "consensus.heartbeat_ms",
    "milliseconds, without a unit"
)]
#[case(
    "[consensus]\nheartbeat_ms = 1",
    "consensus.heartbeat_ms",
    "write 5 to 10000"
)]
#[case(
    "[consensus]\nheartbeat_ms = -1",
    "consensus.heartbeat_ms",
    "write 5 to 10000"
)]
#[case(
    "[consensus]\nlease_ms = 900",
    "consensus.lease_ms",
    "lower it or raise"
)]
#[case(
    "[fleet]\nmode = 'announced'\norder_handover_ms = 800",
    "fleet.order_handover_ms",
    "raise it above 800, or lower fleet.call_timeout_ms"
)]
#[case(
    "[fleet]\nmode = 'announced'\ncall_timeout_ms = 2800",
    "fleet.order_handover_ms",
    "raise it above 3000"
)]
#[case(
    "[fleet]\nmode = 'announced'\norder_lifetime_ms = 2400",
    "fleet.order_handover_ms",
    "raise it above 3000"
)]
#[case(
    "[platform]\naddress = 'localhost'",
    "platform.address",
    "127.0.0.1:7100"
)]
#[case("[log]\nlevel = 'loud'", "log.level", "write one of off, error")]
#[case(
    "[scheduling]\nkeep_alive = 3",
    "scheduling.keep_alive",
    "write one of adaptive"
)]
#[case(
    "[[members]]\nzone = 'a'\npeer_address = '1.1.1.1:1'",
    "members[0].administration_address",
    "add"
)]
#[case("[members]\nzone = 'a'", "members", "[[members]]")]
fn invalid_keys_are_reported_with_a_remedy(
    #[case] addition: &str,
    #[case] key: &str,
    #[case] remedy: &str,
) {
    let text = format!("{CONTROL}\n{addition}\n");
    let error = parse_control("c.toml", &text)
        .expect_err("wrong key")
        .to_string();
    assert!(error.starts_with("c.toml: "), "{error}");
    assert!(error.contains(&format!("key {key}: ")), "{error}");
    assert!(error.contains(remedy), "{error}");
}

/// The handover does not apply to engines that the platform lists, and 1 ms above the bound suffices.
#[rstest]
#[case("[fleet]\norder_handover_ms = 0")]
#[case("[fleet]\nmode = 'announced'\norder_handover_ms = 801")]
fn handover_above_the_time_of_an_instruction_is_accepted(#[case] addition: &str) {
    let text = format!("{CONTROL}\n{addition}\n");
    parse_control("c.toml", &text).expect("valid");
}

#[test]
fn all_findings_are_reported_at_once() {
    let Err(SettingsError::Invalid { findings, .. }) = parse_control("c.toml", "[log]\nlevel = 1")
    else {
        panic!("must be invalid");
    };
    let keys: Vec<&str> = findings
        .iter()
        .map(|finding| finding.key.as_str())
        .collect();
    assert_eq!(keys, ["member.zone", "member.data_folder", "log.level"]);
}

#[rstest]
#[case("members = []")]
#[case("members = 'a'")]
#[case("members = ['a']")]
fn router_requires_control_addresses(#[case] members: &str) {
    let text = ROUTER.replace("members = [\"127.0.0.1:7100\"]", members);
    let error = parse_router("r.toml", &text)
        .expect_err("wrong list")
        .to_string();
    assert!(error.contains("control.members"), "{error}");
}

#[test]
fn malformed_toml_is_reported_with_the_line() {
    let error = parse_router("r.toml", "[router\n")
        .expect_err("malformed")
        .to_string();
    assert!(error.contains("line 1"), "{error}");
}

/// Returns minimal gateway settings with one more key.
fn gateway_with(section: &str, key: &str, value: &str) -> String {
    format!(
        "[gateway]\nname = 'g'\nzone = 'west'\n[control]\nseeds = ['127.0.0.1:7100']\n[{section}]\n{key} = {value}\n"
    )
}

/// Guards against rounding that allows more than the value: more retries, longer staleness or a longer
/// drain.
#[rstest]
#[case("retries", "slack", "33.05263157894737", |s: &GatewaySettings| s.retries.slack, 33)]
#[case("retries", "window_ms", "'10.0004 s'", |s: &GatewaySettings| s.retries.window_ms, 10_001)]
#[case("retries", "window_ms", "'10 s'", |s: &GatewaySettings| s.retries.window_ms, 10_000)]
#[case("quota", "window_ms", "'0.5005 s'", |s: &GatewaySettings| s.quota.window_ms, 500)]
#[case("quota", "slack_units", "7.9", |s: &GatewaySettings| s.quota.slack_units, 7)]
#[case("freshness", "in_force_ms", "3999.9", |s: &GatewaySettings| s.freshness.in_force_ms, 3_999)]
#[case("freshness", "departed_ms", "2000.5", |s: &GatewaySettings| s.freshness.departed_ms, 2_000)]
#[case("tenants", "key_lifetime_ms", "5000.7", |s: &GatewaySettings| s.tenants.key_lifetime_ms, 5_000)]
#[case("drain", "grace_ms", "'7.9999 s'", |s: &GatewaySettings| s.drain.grace_ms, 7_999)]
#[case("drain", "grace_ms", "'250.5 ms'", |s: &GatewaySettings| s.drain.grace_ms, 250)]
fn gateway_fractions_are_rounded_to_the_safe_side(
    #[case] section: &str,
    #[case] key: &str,
    #[case] value: &str,
    #[case] read: fn(&GatewaySettings) -> u64,
    #[case] rounded: u64,
) {
    let settings = parse_gateway("g.toml", &gateway_with(section, key, value)).expect("settings");
    assert_eq!(read(&settings), rounded);
}

#[rstest]
#[case("fleet", "announce_interval_ms", "1200.2", |s: &ControlSettings| s.fleet.announce_interval_ms, 1_201)]
#[case("fleet", "order_handover_ms", "2999.1", |s: &ControlSettings| s.fleet.order_handover_ms, 3_000)]
#[case("quota", "slack_units", "7.9", |s: &ControlSettings| s.quota.slack_units, 7)]
#[case("storage", "disk_mb", "128.9", |s: &ControlSettings| s.storage.disk_mb, 128)]
fn member_fractions_are_rounded_to_the_safe_side(
    #[case] section: &str,
    #[case] key: &str,
    #[case] value: &str,
    #[case] read: fn(&ControlSettings) -> u64,
    #[case] rounded: u64,
) {
    let text = format!("{CONTROL}\n[{section}]\n{key} = {value}\n");
    let settings = parse_control("c.toml", &text).expect("settings");
    assert_eq!(read(&settings), rounded);
}

#[rstest]
#[case("retries", "slack", "nan")]
#[case("retries", "slack", "1e300")]
#[case("retries", "slack", "-0.5")]
#[case("retries", "slack", "'3 s'")]
#[case("retries", "window_ms", "'s'")]
#[case("retries", "window_ms", "'ten s'")]
#[case("retries", "window_ms", "'1e9 s'")]
#[case("drain", "accept_ms", "2500.5")]
fn invalid_numbers_are_rejected(#[case] section: &str, #[case] key: &str, #[case] value: &str) {
    let error = parse_gateway("g.toml", &gateway_with(section, key, value))
        .expect_err("wrong figure")
        .to_string();
    assert!(error.contains(&format!("key {section}.{key}: ")), "{error}");
    assert!(error.contains("write "), "{error}");
}
