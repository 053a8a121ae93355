//! Settings files: templates parse, and each kind of wrong key gives key, reason and remedy.

use millpass_config::{SettingsError, parse_control, parse_router};
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
fn smallest_files_take_defaults() {
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
fn wrong_keys_name_the_remedy(#[case] addition: &str, #[case] key: &str, #[case] remedy: &str) {
    let text = format!("{CONTROL}\n{addition}\n");
    let error = parse_control("c.toml", &text)
        .expect_err("wrong key")
        .to_string();
    assert!(error.starts_with("c.toml: "), "{error}");
    assert!(error.contains(&format!("key {key}: ")), "{error}");
    assert!(error.contains(remedy), "{error}");
}

#[test]
fn all_findings_are_given_at_once() {
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
fn router_needs_control_addresses(#[case] members: &str) {
    let text = ROUTER.replace("members = [\"127.0.0.1:7100\"]", members);
    let error = parse_router("r.toml", &text)
        .expect_err("wrong list")
        .to_string();
    assert!(error.contains("control.members"), "{error}");
}

#[test]
fn malformed_toml_names_the_line() {
    let error = parse_router("r.toml", "[router\n")
        .expect_err("malformed")
        .to_string();
    assert!(error.contains("line 1"), "{error}");
}
