//! Ten operators race on one object in a group of three members: exactly one wins each version, and each
//! resend gets the first response, also from the next leader.

mod common;

use common::{TestMember, group, leader, start_all, wait_for};
use millpass_control::api::{AcceptedBody, AuditRecordBody, ChangeBody};
use millpass_control::client::{AdministrationClient, ClientError};
use millpass_proto::{Duration, ObjectKind};
use serde_json::{Value, json};
use std::sync::Barrier;
use std::thread;

const OPERATORS: usize = 10;
const ROUNDS: u64 = 5;
const OBJECT: &str = "contested";
const BOOTSTRAP_KEY: &str = "bootstrap-key";

/// Outcome of a change: accepted, or rejected with the current version.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Outcome {
    Accepted(AcceptedBody),
    Conflict(u64),
}

/// One change with its first outcome.
struct Sent {
    operator: usize,
    change: ChangeBody,
    outcome: Outcome,
}

fn key(operator: usize) -> String {
    format!("key-{operator}")
}

fn hash(key: &str) -> String {
    blake3::hash(key.as_bytes()).to_hex().to_string()
}

/// Creates a client that tries the members in a different order for each operator.
fn client(members: &[TestMember], operator: usize, key: &str) -> AdministrationClient {
    let addresses = members
        .iter()
        .filter_map(TestMember::administration_address);
    let mut addresses: Vec<String> = addresses.collect();
    let count = addresses.len();
    addresses.rotate_left(operator % count);
    AdministrationClient::new(addresses, key).with_deadline(Duration::from_secs(30))
}

fn change(version: u64, id: String, spec: Value) -> ChangeBody {
    ChangeBody {
        expected_version: version,
        change_id: id,
        spec,
    }
}

/// Creates the first account with the bootstrap key and the others with the first account.
fn create_accounts(members: &[TestMember]) {
    for operator in 0..OPERATORS {
        let maker = match operator {
            0 => BOOTSTRAP_KEY.to_owned(),
            _ => key(0),
        };
        let role = if operator == 0 {
            "Administrator"
        } else {
            "Editor"
        };
        let spec = json!({"key_hash": hash(&key(operator)), "role": role});
        let name = format!("operator-{operator}");
        client(members, operator, &maker)
            .put(ObjectKind::Operator, &name, &change(0, name.clone(), spec))
            .expect("account");
    }
}

fn submit(client: &mut AdministrationClient, change: &ChangeBody) -> Outcome {
    match client.put(ObjectKind::Tenant, OBJECT, change) {
        Ok(accepted) => Outcome::Accepted(accepted),
        Err(ClientError::Conflict { current_version }) => Outcome::Conflict(current_version),
        Err(error) => panic!("neither accepted nor rejected: {error}"),
    }
}

/// All operators concurrently change the same version, and resend.
fn race(clients: &mut [AdministrationClient], version: u64) -> Vec<Sent> {
    let barrier = Barrier::new(clients.len());
    thread::scope(|scope| {
        let started: Vec<_> = clients
            .iter_mut()
            .enumerate()
            .map(|(operator, client)| {
                let barrier = &barrier;
                scope.spawn(move || {
                    let id = format!("change-{version}-{operator}");
                    let change = change(version, id, tenant(operator));
                    barrier.wait();
                    let outcome = submit(client, &change);
                    assert_eq!(submit(client, &change), outcome, "resend");
                    Sent {
                        operator,
                        change,
                        outcome,
                    }
                })
            })
            .collect();
        let ended = started.into_iter().map(|thread| thread.join());
        ended.map(|sent| sent.expect("operator")).collect()
    })
}

fn tenant(operator: usize) -> Value {
    json!({
        "api_key_hashes": [],
        "share_weight": operator + 1,
        "capacity_bytes": 1024,
        "maximum_waiting": 10,
    })
}

/// Returns the accepted change; all others must have been rejected with its version.
fn winner(sent: Vec<Sent>, version: u64) -> Sent {
    let (mut won, lost): (Vec<Sent>, Vec<Sent>) = sent
        .into_iter()
        .partition(|sent| matches!(sent.outcome, Outcome::Accepted(_)));
    assert_eq!(won.len(), 1, "winners of version {}", version + 1);
    for loser in lost {
        assert_eq!(loser.outcome, Outcome::Conflict(version + 1));
    }
    won.remove(0)
}

#[test]
fn one_of_ten_racing_operators_wins_each_version() {
    let folder = tempfile::tempdir().expect("folder");
    let mut members = group(folder.path(), 3);
    for member in &mut members {
        member.settings.bootstrap_key_hash = Some(hash(BOOTSTRAP_KEY));
    }
    start_all(&mut members);
    create_accounts(&members);
    let mut clients: Vec<AdministrationClient> = (0..OPERATORS)
        .map(|operator| client(&members, operator, &key(operator)))
        .collect();

    let mut winners = Vec::new();
    for version in 0..ROUNDS {
        let sent = race(&mut clients, version);
        let won = winner(sent, version);
        let Outcome::Accepted(accepted) = &won.outcome else {
            unreachable!("partitioned");
        };
        assert_eq!(accepted.version, version + 1);
        let stored = clients[0].get(ObjectKind::Tenant, OBJECT).expect("read");
        let stored = stored.expect("object");
        assert_eq!(stored.version, version + 1);
        assert_eq!(stored.spec, tenant(won.operator));
        winners.push(won);
    }
    check_audit(&mut clients[0], &winners);

    let (leading, _) = wait_for("a leader", || leader(&members));
    members[leading].halt();
    for won in &winners {
        let mut client = client(&members, won.operator, &key(won.operator));
        assert_eq!(submit(&mut client, &won.change), won.outcome, "next leader");
    }
    check_audit(&mut client(&members, 0, &key(0)), &winners);
}

/// The audit log contains exactly the accepted changes, in order.
fn check_audit(client: &mut AdministrationClient, winners: &[Sent]) {
    let records = client.audit(0).expect("audit").records;
    let changes = records.iter().filter(|record| record.name == OBJECT);
    let identity = |record: &AuditRecordBody| (record.version, record.change_id.clone());
    let recorded: Vec<(u64, String)> = changes.map(identity).collect();
    let expected = winners.iter().zip(1..);
    let expected: Vec<(u64, String)> = expected
        .map(|(won, version)| (version, won.change.change_id.clone()))
        .collect();
    assert_eq!(recorded, expected);
}
