//! The descriptions in `examples/` parse and have the expected sizes; invalid ones are rejected.

use millpass_lab::deployment::Deployment;
use std::collections::BTreeSet;
use std::path::PathBuf;

fn example(name: &str) -> Deployment {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    let path = path.join(format!("../../examples/{name}/deployment.toml"));
    Deployment::read(&path).expect("a valid example")
}

/// Returns zones, engines, web servers, models, adapters, store loads per second, concurrent store
/// loads, and microseconds between zones.
fn sizes(deployment: &Deployment) -> [usize; 8] {
    let adapters = deployment.adapters_by_model();
    [
        deployment.zones.len(),
        deployment.engine_count(),
        deployment.web_count(),
        deployment.models().len(),
        adapters.iter().map(Vec::len).sum(),
        deployment.store.loads_per_second as usize,
        deployment.store.concurrent_loads as usize,
        deployment.delays.between_zones_micros as usize,
    ]
}

#[test]
fn examples_have_the_expected_sizes() {
    assert_eq!(sizes(&example("pnw")), [4, 13, 4, 61, 94, 3, 6, 1_500]);
    assert_eq!(sizes(&example("sicilia")), [3, 13, 3, 38, 96, 4, 13, 900]);
}

#[test]
fn each_zone_has_two_routers_and_at_most_two_members() {
    for name in ["pnw", "sicilia"] {
        let deployment = example(name);
        assert_eq!(deployment.control_count(), 5);
        assert_eq!(deployment.router_count(), 2 * deployment.zones.len());
        assert!(
            deployment
                .zones
                .iter()
                .all(|zone| zone.control_members <= 2)
        );
        assert!(deployment.process_count() <= deployment.bounds.processes);
    }
}

#[test]
fn names_are_unique() {
    for name in ["pnw", "sicilia"] {
        let population = example(name).population();
        let models = population.models.iter().map(|choice| &choice.model.0);
        assert_eq!(
            models.collect::<BTreeSet<_>>().len(),
            population.models.len()
        );
        let keys = population.tenants.iter().map(|tenant| &tenant.api_key);
        assert_eq!(
            keys.collect::<BTreeSet<_>>().len(),
            population.tenants.len()
        );
    }
}

#[test]
fn an_unknown_key_is_named_in_the_error() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("deployment.toml");
    std::fs::write(&path, "name = \"x\"\nzonez = 3\n").expect("written");
    let error = Deployment::read(&path).expect_err("refused").to_string();
    assert!(error.contains("zonez"), "{error}");
}

#[test]
fn invalid_values_are_rejected_with_their_key() {
    let mut few_members = example("pnw");
    few_members.zones[0].control_members = 0;
    let mut low_bound = example("pnw");
    low_bound.bounds.processes = 3;
    let mut huge_model = example("pnw");
    huge_model.model_classes[0].weights_bytes = u64::MAX / 2;
    let mut same_zone = example("pnw");
    same_zone.zones[1].name = same_zone.zones[0].name.clone();
    let cases = [
        (few_members, "zones.control_members"),
        (low_bound, "bounds.processes"),
        (huge_model, "model_classes"),
        (same_zone, "zones.name"),
    ];
    for (deployment, key) in cases {
        let error = deployment.check().expect_err("refused").to_string();
        assert!(error.starts_with(key), "{error}");
    }
}
