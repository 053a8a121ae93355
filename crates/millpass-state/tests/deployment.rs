//! Deployment document and departed instances in the replicated state.

use millpass_proto::*;
use millpass_state::{InvalidDocument, MAXIMUM_DEPARTED_INSTANCES, State, check_document};
use rstest::rstest;
use serde_bytes::ByteBuf;

fn route(name: &str, host: &str, prefix: &str, service: &str) -> RouteSpec {
    RouteSpec {
        name: name.to_owned(),
        host: host.to_owned(),
        path_prefix: prefix.to_owned(),
        kind: RouteKind::Repeatable,
        resumable: false,
        timeout_millis: 1_000,
        objective_millis: 100,
        gap_objective_millis: 0,
        priority: 0,
        maximum_attempts: 2,
        prompt_affinity: false,
        targets: vec![RouteTarget {
            service: service.into(),
            weight: 1,
        }],
        first_event_millis: 0,
        anonymous: false,
    }
}

fn document(version: u64, routes: Vec<RouteSpec>) -> DeploymentDocument {
    DeploymentDocument {
        version,
        routes,
        services: vec![ServiceSpec {
            name: "web".into(),
            health_path: "/".to_owned(),
            maximum_connections: 10,
            engine: None,
        }],
        limits: CallerLimits {
            header_bytes: 0,
            body_bytes: 0,
            header_millis: 0,
            idle_millis: 0,
        },
        tenants: Vec::new(),
    }
}

fn apply(state: &mut State, index: u64, command: Command) {
    state.apply(LogPosition { term: 1, index }, &command);
}

fn put(version: u64) -> Command {
    Command::PutDocument(PutDocument {
        document: document(version, Vec::new()).into(),
        source: ByteBuf::from(vec![version as u8]).into(),
    })
}

#[test]
fn document_versions_never_decrease_and_survive_a_snapshot() {
    let mut state = State::default();
    for (index, version) in [3, 9, 5, 9].into_iter().enumerate() {
        apply(&mut state, index as u64 + 1, put(version));
    }
    let restored = State::decode(&state.encode()).expect("decodes");
    assert_eq!(restored.document_version(), 9);
    assert_eq!(restored.document_source(), Some([9_u8].as_slice()));
}

#[test]
fn departures_are_permanent_and_bounded() {
    let mut state = State::default();
    let depart = |instance: String, ended| {
        Command::DepartInstance(InstanceDeparture {
            instance: InstanceId(instance),
            ended,
        })
    };
    apply(&mut state, 1, depart("first".into(), true));
    apply(&mut state, 2, depart("first".into(), false));
    assert_eq!(state.departed(&"first".into()), Some(true));
    for place in 0..MAXIMUM_DEPARTED_INSTANCES {
        apply(
            &mut state,
            place as u64 + 3,
            depart(format!("i-{place}"), false),
        );
    }
    assert_eq!(
        state.departed(&"first".into()),
        None,
        "the oldest departure must be evicted"
    );
    assert_eq!(state.departures().count(), MAXIMUM_DEPARTED_INSTANCES);
    let last = MAXIMUM_DEPARTED_INSTANCES as u64 + 2;
    let newer: Vec<&InstanceId> = state.departures_after(last - 2).collect();
    let names = [last - 3, last - 4].map(|place| InstanceId(format!("i-{place}")));
    assert_eq!(newer, names.iter().collect::<Vec<_>>());
    let all = state.departures_after(0).count();
    assert_eq!(all, MAXIMUM_DEPARTED_INSTANCES);
}

/// Snapshots of earlier releases lack departure indexes, so these departures are always returned.
#[test]
fn departure_indexes_survive_a_snapshot() {
    let mut state = State::default();
    let depart = |instance: &str| {
        Command::DepartInstance(InstanceDeparture {
            instance: instance.into(),
            ended: true,
        })
    };
    apply(&mut state, 5, depart("i-1"));
    apply(&mut state, 9, depart("i-2"));
    let restored = State::decode(&state.encode()).expect("decodes");
    assert_eq!(restored, state);
    assert_eq!(restored.departures_after(5).count(), 1);
    let earlier = codec::encode(&(2_u32, &state)).expect("bytes");
    let mut restored = State::decode(&earlier).expect("decodes");
    assert_eq!(restored.departures_after(9).count(), 2);
    apply(&mut restored, 12, depart("i-3"));
    assert_eq!(restored.departures_after(9).count(), 3);
    assert_eq!(restored.departures_after(12).count(), 0);
}

#[test]
fn a_valid_document_is_accepted() {
    let routes = vec![
        route("r", "h", "/a/", "web"),
        route("s", "h", "/a/b/", "web"),
    ];
    assert_eq!(check_document(&document(1, routes)), Ok(()));
}

#[rstest]
#[case::unknown_service(vec![route("r", "h", "/a/", "other")], "names service other")]
#[case::duplicate_route(vec![route("r", "h", "/a/", "web"), route("s", "h", "/a/", "web")], "route s")]
#[case::zero_weight(vec![RouteSpec { targets: vec![RouteTarget { service: "web".into(), weight: 0 }], ..route("r", "h", "/a/", "web") }], "add up to 0")]
#[case::no_targets(vec![RouteSpec { targets: Vec::new(), ..route("r", "h", "/a/", "web") }], "add up to 0")]
#[case::zero_timeout(vec![RouteSpec { timeout_millis: 0, ..route("r", "h", "/a/", "web") }], "time-out is 0")]
fn an_invalid_document_is_rejected_with_a_remedy(
    #[case] routes: Vec<RouteSpec>,
    #[case] part: &str,
) {
    let error = check_document(&document(1, routes)).expect_err("invalid");
    assert!(error.to_string().contains(part), "{error}");
}

#[test]
fn document_version_zero_is_rejected() {
    let result = check_document(&document(0, Vec::new()));
    assert_eq!(result, Err(InvalidDocument::ZeroVersion));
}
