//! Tests of parsing catalog objects.

use millpass_cli::objects::{parse_kind, parse_objects};
use millpass_proto::{ObjectKind, ObjectSpec};
use rstest::rstest;

const FILE: &str = r#"
[[operator]]
name = "admin"
key_hash = "00"
role = "Administrator"

[[adapter]]
name = "formal"
model = "writer"
bytes = 5

[[version]]
model = "writer"
label = "v1"
weights_bytes = 10
cache_bytes = 5

[[model]]
name = "writer"
current_version = "v1"

[[policy]]
name = "open"
allow = "true"
"#;

#[test]
fn objects_follow_those_they_refer_to() {
    let objects = parse_objects("f.toml", FILE).expect("objects");
    let names: Vec<&str> = objects
        .iter()
        .map(|object| object.key.name.as_str())
        .collect();
    assert_eq!(names, ["writer", "writer@v1", "formal", "open", "admin"]);
    let ObjectSpec::Version(version) = &objects[1].spec else {
        panic!("version")
    };
    assert_eq!(version.checkpoint, "writer@v1");
}

#[rstest]
#[case("[[modell]]\nname = 'a'", "[[modell]] is no kind of object")]
#[case("[model]\nname = 'a'", "write it as [[model]]")]
#[case("[[model]]\ncurrent_version = 'v1'", "missing `name`")]
#[case("[[model]]\nname = 'a'", "missing field `current_version`")]
#[case(
    "[[model]]\nname = 'a'\ncurrent_version = 'v1'\nreplicas = 2",
    "unknown key `replicas`"
)]
#[case("[[model]]\nname = 'a'\ncurrent_version = 1", "number 1")]
#[case(
    "[[operator]]\nname = 'a'\nkey_hash = 'x'\nrole = 'King'",
    "unknown variant"
)]
#[case(
    "[[version]]\nmodel = 'a'\nlabel = 'v1'\nweights_bytes = 5",
    "missing field `cache_bytes`"
)]
#[case("[[tenant]", "not valid TOML")]
fn invalid_files_are_rejected_with_the_reason(#[case] text: &str, #[case] part: &str) {
    let error = parse_objects("f.toml", text)
        .expect_err("wrong file")
        .to_string();
    assert!(error.starts_with("f.toml: "), "{error}");
    assert!(error.contains(part), "{error}");
}

#[rstest]
#[case("policy", Some(ObjectKind::Policy))]
#[case("policies", Some(ObjectKind::Policy))]
#[case("polices", None)]
fn kinds_parse_from_singular_and_plural(#[case] name: &str, #[case] kind: Option<ObjectKind>) {
    assert_eq!(parse_kind(name), kind);
}
