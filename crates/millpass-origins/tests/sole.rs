//! Services that have run one software version only.

use millpass_origins::SoleVersions;
use millpass_proto::{Duration, ServiceName, SoftwareStatement, Timestamp};

const TIME: Duration = Duration::from_secs(10);

fn at(seconds: u64) -> Timestamp {
    Timestamp::from_millis(seconds * 1_000)
}

fn software(version: &str) -> SoftwareStatement {
    SoftwareStatement::of(version)
}

/// Returns the sole version at a time, of a service whose known instances state these.
fn sole(versions: &SoleVersions, seconds: u64, known: &[&str]) -> Option<String> {
    let known: Vec<SoftwareStatement> = known.iter().map(|it| software(it)).collect();
    let version = versions.version(at(seconds), &service(), TIME, known.iter());
    version.map(|version| version.0)
}

fn service() -> ServiceName {
    "web".into()
}

/// Guards against a version that is taken for the only one before others can be excluded.
#[test]
fn a_version_is_the_only_one_after_the_time() {
    let mut versions = SoleVersions::default();
    versions.note(at(1), &service(), &software("v1"));
    versions.note(at(5), &service(), &software("v1"));
    assert_eq!(sole(&versions, 10, &["v1", "v1"]), None);
    assert_eq!(sole(&versions, 11, &["v1", "v1"]), Some("v1".to_owned()));
}

/// Guards against streams of a version whose last instance has just left.
#[test]
fn another_version_that_comes_or_goes_starts_the_time_again() {
    let mut versions = SoleVersions::default();
    versions.note(at(1), &service(), &software("v1"));
    versions.note(at(20), &service(), &software("v2"));
    assert_eq!(sole(&versions, 40, &["v1", "v2"]), None);
    versions.note(at(41), &service(), &software("v1"));
    assert_eq!(sole(&versions, 45, &["v2"]), None);
    versions.note(at(46), &service(), &software("v2"));
    assert_eq!(sole(&versions, 55, &["v2"]), None);
    assert_eq!(sole(&versions, 56, &["v2"]), Some("v2".to_owned()));
}

#[test]
fn an_unstated_version_is_no_version() {
    let mut versions = SoleVersions::default();
    versions.note(at(1), &service(), &software(""));
    assert_eq!(sole(&versions, 60, &[""]), None);
    assert_eq!(sole(&versions, 60, &["v1"]), None);
}
