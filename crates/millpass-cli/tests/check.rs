//! Tests of `millpass check` on files of objects and settings.

use millpass_cli::commands;
use millpass_cli::options::Options;
use rstest::rstest;
use std::path::Path;

fn check(text: &str) -> Result<(), String> {
    let folder = tempfile::tempdir().expect("folder");
    let file = folder.path().join("objects.toml");
    std::fs::write(&file, text).expect("write");
    let ended = commands::run(Options::Check { file });
    ended.map(drop).map_err(|error| format!("{error:#}"))
}

#[test]
fn a_policy_with_passing_examples_is_valid() {
    let text = "[[policy]]\nname = 'p'\nallow = 'tenant == \"a\"'\nexamples = [\n\
                { tenant = 'a', model = 'm', kind = 'chat', allowed = true }]";
    assert_eq!(check(text), Ok(()));
}

#[rstest]
#[case::not_a_program("[[policy]]\nname = 'p'\nallow = 'tenant =='", "allow:1:")]
#[case::example_fails(
    "[[policy]]\nname = 'p'\nallow = 'tenant == \"a\"'\nexamples = [\n\
     { tenant = 'b', model = 'm', kind = 'chat', allowed = true }]",
    "example"
)]
fn an_invalid_policy_is_rejected(#[case] text: &str, #[case] part: &str) {
    let error = check(text).expect_err("refused");
    assert!(
        error.contains(part) && error.contains("nothing was submitted"),
        "{error}"
    );
}

#[rstest]
fn the_example_deployments_are_valid(
    #[values("pnw", "sicilia")] deployment: &str,
    #[values("objects.toml", "control.toml")] name: &str,
) {
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let file = examples.join(deployment).join(name);
    let ended = commands::run(Options::Check { file });
    ended.expect("valid");
}
