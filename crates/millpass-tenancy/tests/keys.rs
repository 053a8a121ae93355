//! Tests of API keys and their tenants.

use millpass_proto::TenantName;
use millpass_tenancy::{KeyDirectory, KeyHash, PresentedKey};
use proptest::prelude::*;
use rstest::rstest;

fn presented(values: &[&[u8]]) -> PresentedKey {
    PresentedKey::from_header_values(values.iter().copied())
}

#[rstest]
#[case::none(&[], PresentedKey::Missing)]
#[case::one(&[b"key".as_slice()], PresentedKey::One(KeyHash::of(b"key")))]
#[case::beyond_ascii(&[b"\xff\x00k".as_slice()], PresentedKey::One(KeyHash::of(b"\xff\x00k")))]
#[case::empty(&[b"".as_slice()], PresentedKey::Unusable)]
#[case::the_same_twice(&[b"key".as_slice(), b"key"], PresentedKey::Unusable)]
#[case::sixteen_kilobytes(&[[b'k'; 16_384].as_slice()], PresentedKey::Unusable)]
fn exactly_one_valid_key_is_accepted(#[case] values: &[&[u8]], #[case] expected: PresentedKey) {
    assert_eq!(presented(values), expected);
}

#[test]
fn key_moved_to_another_tenant_stays_there() {
    let hashes = vec![KeyHash::of(b"key").to_string()];
    let (old, new) = (TenantName::from("old"), TenantName::from("new"));
    let mut keys = KeyDirectory::default();
    keys.add(&old, &hashes);
    keys.add(&new, &hashes);
    keys.remove(&old, &hashes);
    assert_eq!(keys.tenant(&KeyHash::of(b"key")), Some(&new));
    keys.remove(&new, &hashes);
    assert_eq!(keys.tenant(&KeyHash::of(b"key")), None);
}

proptest! {
    #[test]
    fn only_the_same_key_identifies_the_tenant(key in prop::collection::vec(any::<u8>(), 1..64), other in prop::collection::vec(any::<u8>(), 1..64)) {
        let tenant = TenantName::from("t");
        let mut keys = KeyDirectory::default();
        keys.add(&tenant, &[KeyHash::of(&key).to_string(), "no hash".to_owned()]);
        let found = keys.tenant(&KeyHash::of(&other));
        prop_assert_eq!(found.is_some(), key == other);
    }
}
