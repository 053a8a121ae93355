//! A document change applied to its base version yields the routes, tenants and services of the
//! later version.

use millpass_dispatch::RoutingTable;
use millpass_proto::*;
use millpass_tenancy::{KeyHash, PresentedKey};
use proptest::collection::btree_map;
use proptest::prelude::*;
use std::collections::BTreeMap;

const HOSTS: [&str; 3] = ["a.example", "b.example", "c.example"];
const PREFIXES: [&str; 6] = ["/", "/x/", "/x/y/", "/x/yz/", "/w", "/x/y/z"];
const PATHS: [&str; 7] = ["/", "/x", "/x/y/z/1", "/x/yz/", "/w/q", "/other", "/x/y/"];
const NAMES: u64 = 6;

fn service_name(number: u64) -> ServiceName {
    format!("s-{number}").into()
}

/// Variable parts of a route: timeout, priority, targets, and whether it is anonymous.
type RouteParts = (u64, u32, Vec<(u64, u32)>, bool);

fn route((host, prefix): (usize, usize), parts: RouteParts) -> RouteSpec {
    let (timeout_millis, priority, targets, anonymous) = parts;
    let target = |(service, weight): (u64, u32)| RouteTarget {
        service: service_name(service),
        weight,
    };
    RouteSpec {
        name: format!("{}{}", HOSTS[host], PREFIXES[prefix]),
        host: HOSTS[host].to_owned(),
        path_prefix: PREFIXES[prefix].to_owned(),
        kind: RouteKind::Repeatable,
        resumable: false,
        timeout_millis,
        objective_millis: 0,
        gap_objective_millis: 0,
        priority,
        maximum_attempts: 2,
        prompt_affinity: false,
        targets: targets.into_iter().map(target).collect(),
        first_event_millis: 0,
        anonymous,
    }
}

fn service(number: u64, maximum_connections: u32) -> ServiceSpec {
    ServiceSpec {
        name: service_name(number),
        health_path: "/health".to_owned(),
        maximum_connections,
        engine: None,
    }
}

fn key(tenant: u64, number: u64) -> String {
    format!("key {number} of {tenant}")
}

fn tenant(number: u64, (keys, priority): (u64, u32)) -> TenantAccess {
    let hash = |key_number| KeyHash::of(key(number, key_number).as_bytes()).to_string();
    TenantAccess {
        name: format!("t-{number}").as_str().into(),
        key_hashes: (0..keys).map(hash).collect(),
        priority,
        unit: QuotaUnit::Requests,
        plain_cost: 1,
        units_per_second: 0,
        burst_units: 0,
    }
}

fn shuffled<T: Clone + std::fmt::Debug + 'static>(items: Vec<T>) -> impl Strategy<Value = Vec<T>> {
    Just(items).prop_shuffle()
}

fn routes() -> impl Strategy<Value = Vec<RouteSpec>> {
    let parts = (
        1..3_u64,
        0..3_u32,
        prop::collection::vec((0..NAMES, 1..3_u32), 1..3),
        any::<bool>(),
    );
    let places = (0..HOSTS.len(), 0..PREFIXES.len());
    btree_map(places, parts, 0..12).prop_flat_map(|routes: BTreeMap<_, _>| {
        shuffled(
            routes
                .into_iter()
                .map(|(place, parts)| route(place, parts))
                .collect(),
        )
    })
}

/// Documents with distinct routes, services and tenants in any order.
fn document(version: u64) -> impl Strategy<Value = DeploymentDocument> {
    let services = btree_map(0..NAMES, 0..3_u32, 0..6).prop_flat_map(|services| {
        shuffled(
            services
                .into_iter()
                .map(|(number, most)| service(number, most))
                .collect(),
        )
    });
    let tenants = btree_map(0..NAMES, (1..3_u64, 0..3_u32), 0..5).prop_flat_map(|tenants| {
        shuffled(
            tenants
                .into_iter()
                .map(|(number, parts)| tenant(number, parts))
                .collect(),
        )
    });
    (routes(), services, tenants, 0..3_u64).prop_map(
        move |(routes, services, tenants, header_bytes)| DeploymentDocument {
            version,
            routes,
            services,
            limits: CallerLimits {
                header_bytes,
                body_bytes: 0,
                header_millis: 0,
                idle_millis: 0,
            },
            tenants,
        },
    )
}

fn in_order(mut document: DeploymentDocument) -> DeploymentDocument {
    document.routes.sort();
    document.services.sort();
    document.tenants.sort();
    document
}

/// Everything that a gateway looks up in a table: routes, ranks of callers, and services.
fn decisions(document: &DeploymentDocument) -> Vec<String> {
    let table = RoutingTable::new(document.clone());
    let mut decisions = vec![format!("{} {:?}", table.version(), document.limits)];
    for number in 0..NAMES {
        decisions.push(format!("{:?}", table.service(&service_name(number))));
    }
    let keys = (0..NAMES).flat_map(|tenant| (0..3).map(move |number| key(tenant, number)));
    let mut callers: Vec<PresentedKey> = keys
        .map(|key| PresentedKey::One(KeyHash::of(key.as_bytes())))
        .collect();
    callers.extend([PresentedKey::Missing, PresentedKey::Unusable]);
    for host in HOSTS {
        for path in PATHS {
            let route = table.route(host, path);
            decisions.push(format!("{host} {path} {route:?}"));
            let Ok(route) = route else { continue };
            for caller in &callers {
                let tenant = table.identify(&route, *caller);
                let rank = tenant
                    .as_ref()
                    .map(|tenant| table.rank(tenant.as_deref(), &route));
                decisions.push(format!("{tenant:?} {rank:?}"));
            }
        }
    }
    decisions
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    #[test]
    fn change_applied_to_its_base_yields_the_later_version(base in document(3), next in document(4)) {
        let change = DocumentChange::between(&base, &next).expect("valid documents");
        let applied = change.apply(&base).expect("its own base");
        prop_assert_eq!(in_order(applied.clone()), in_order(next.clone()));
        prop_assert_eq!(decisions(&applied), decisions(&next));
    }

    /// Successive changes, each applied to the result of the previous one.
    #[test]
    fn successive_changes_compose(first in document(1), second in document(2), third in document(3)) {
        let change = |base, next| DocumentChange::between(base, next).expect("valid documents");
        let held = change(&first, &second).apply(&first).expect("its base");
        let held = change(&second, &third).apply(&held).expect("its base");
        prop_assert_eq!(decisions(&held), decisions(&third));
        prop_assert_eq!(in_order(held), in_order(third));
    }

    #[test]
    fn change_applies_to_no_other_version(base in document(3), next in document(4), other in document(2)) {
        let change = DocumentChange::between(&base, &next).expect("valid documents");
        prop_assert_eq!(change.apply(&other), None);
        prop_assert_eq!(change.apply(&next), None);
    }
}

#[test]
fn documents_with_duplicate_parts_are_not_compared() {
    let plain = |routes| DeploymentDocument {
        version: 1,
        routes,
        services: Vec::new(),
        limits: CallerLimits {
            header_bytes: 0,
            body_bytes: 0,
            header_millis: 0,
            idle_millis: 0,
        },
        tenants: Vec::new(),
    };
    let one = route((0, 0), (1, 1, vec![(1, 1)], false));
    let twice = plain(vec![one.clone(), one]);
    let none = plain(Vec::new());
    assert_eq!(DocumentChange::between(&none, &twice), None);
    assert_eq!(DocumentChange::between(&twice, &none), None);
}

#[test]
fn record_digest_ignores_only_the_sequence() {
    let record = InstanceRecord {
        instance: "i-1".into(),
        service: "web".into(),
        address: "10.0.0.1:80".to_owned(),
        zone: "z".into(),
        slots: 4,
        draining: false,
        warmup_millis: 0,
        sequence: 7,
        models: Vec::new(),
        in_memory: Vec::new(),
        on_disk: Vec::new(),
        software: SoftwareStatement::default(),
    };
    let with = |change: fn(&mut InstanceRecord)| {
        let mut changed = record.clone();
        change(&mut changed);
        changed.digest()
    };
    assert_eq!(with(|record| record.sequence = 8), record.digest());
    let others = [
        with(|record| record.instance = "i-2".into()),
        with(|record| record.draining = true),
        with(|record| record.address = "10.0.0.1:81".to_owned()),
        with(|record| record.on_disk = vec!["m".into()]),
        with(|record| record.in_memory = vec!["m".into()]),
    ];
    assert!(others.iter().all(|other| *other != record.digest()));
}
