//! Guards against updates that cost gateways more CPU time than their requests: with 40 model swaps
//! a second every gateway lacks some model, and each was sent every change by itself. Each test of
//! what is sent early has a twin of what must not be.

mod harness;

use harness::documents::{self, EngineCapacity, engine_document};
use harness::{Leader, at, encoded_size, record};
use millpass_proto::*;
use rstest::rstest;

/// Time after which the leader is complete and all gateways have their first update.
const START: u64 = 22_000;
const MODELS: u64 = 530;
const PASS_MILLIS: u64 = 5;

fn model(number: u64) -> ModelName {
    format!("model-{:03}", number % MODELS).into()
}

fn engine(number: u64, sequence: u64, models: &[u64]) -> InstanceRecord {
    InstanceRecord {
        service: "text".into(),
        sequence,
        models: models
            .iter()
            .map(|number| HeldModel {
                model: model(*number),
                adapters: Vec::new(),
            })
            .collect(),
        // As on an engine of 230 GB with a host memory of 8 models.
        in_memory: (0..8)
            .map(|copy| model(number * 8 + copy + sequence))
            .collect(),
        on_disk: (0..24).map(|copy| model(number * 24 + copy)).collect(),
        ..record(number)
    }
}

fn demand(model: ModelName, unserved: u32) -> GatewayModelDemand {
    GatewayModelDemand {
        service: "text".into(),
        model,
        adapter: None,
        unserved,
        arrivals: 1,
        in_flight: 0,
        priority: 1,
        unread_tokens: 0,
        refused_full: 0,
    }
}

/// Returns a leader with engines 0.. that hold model 100 each, and connected gateways 0...
fn leader(gateways: u64, engines: u64) -> Leader {
    let mut leader = Leader::new(0, 0);
    for number in 0..engines {
        leader
            .fleet
            .handle_announcement(at(0), engine(number, 1, &[100]), false);
    }
    for connection in 0..gateways {
        leader.report(10_000, connection, 1);
    }
    let first = |now| {
        let updates: Vec<(u64, GatewayUpdate)> = leader.updates(now);
        updates.iter().filter(|(_, update)| update.first).count()
    };
    let first_updates: usize = (10_000..START).step_by(35).map(first).sum();
    assert_eq!(first_updates as u64, gateways);
    leader
}

/// Runs passes until a time and returns the updates of gateway 7 with their times.
fn updates_of_gateway(leader: &mut Leader, from: u64, until: u64) -> Vec<(u64, GatewayUpdate)> {
    let passes = (from..until).step_by(PASS_MILLIS as usize);
    let updates = passes.flat_map(|now| {
        let updates = leader.updates(now).into_iter();
        updates
            .filter(|(connection, _)| *connection == 7)
            .map(move |(_, update)| (now, update))
            .collect::<Vec<_>>()
    });
    updates.collect()
}

fn carries(update: &GatewayUpdate, number: u64) -> bool {
    let instance = record(number).instance;
    let mut contents = update.contents.iter();
    contents.any(|it| it.instance == instance)
        || update.instances.iter().any(|it| it.instance == instance)
}

/// Returns updates and bytes a second and gateway with 40 swaps a second, while each gateway reports
/// unmet demand for three models, one of them another every second, ten times a second. Counted after
/// one interval of updates, over whole intervals.
fn swap_load(gateways: u64, engines: u64) -> (f64, f64) {
    const PASSES_PER_SECOND: u64 = 1_000 / PASS_MILLIS;
    let interval_seconds = gateways.div_ceil(1_000);
    let counted_seconds = interval_seconds.max(2);
    let mut leader = leader(gateways, engines);
    let (mut updates, mut bytes) = (0_usize, 0_usize);
    for pass in 0..(interval_seconds + counted_seconds) * PASSES_PER_SECOND {
        let now = START + pass * PASS_MILLIS;
        for gateway in (0..gateways).filter(|gateway| gateway % 20 == pass % 20) {
            let wanted = [gateway, gateway * 7, gateway * 13 + now / 1_000];
            let wanted = wanted.map(|number| demand(model(number), 1));
            leader.report_demand(now, gateway, wanted.to_vec());
        }
        // A swap every 25 ms: the unload, then the load, which changes a copy in memory each.
        let swap = pass / 5;
        let number = (swap * 7) % engines;
        let sequence = 2 + swap / engines * 2;
        let announced = match pass % 5 {
            0 => Some(engine(number, sequence, &[])),
            3 => Some(engine(number, sequence + 1, &[swap * 3])),
            _ => None,
        };
        if let Some(announced) = announced {
            leader.fleet.handle_announcement(at(now), announced, false);
        }
        let sent = leader.updates(now);
        if pass >= interval_seconds * PASSES_PER_SECOND {
            updates += sent.len();
            let sizes = sent.iter().map(|(_, update)| encoded_size(update));
            bytes += sizes.sum::<usize>();
        }
    }
    let per_gateway = |count: usize| count as f64 / (gateways * counted_seconds) as f64;
    (per_gateway(updates), per_gateway(bytes))
}

/// Before, 61 gateways were sent 80 updates a second each, and 2,000 would have been as well.
#[rstest]
#[case::unthrottled(3, 90, 100.0, 8_000.0)]
#[case::first_customer(61, 90, 12.0, 5_000.0)]
#[case::design_target(986, 500, 2.0, 2_000.0)]
#[case::twice_the_target(2_000, 500, 1.5, 2_500.0)]
fn updates_under_swaps_are_bounded(
    #[case] gateways: u64,
    #[case] engines: u64,
    #[case] max_updates: f64,
    #[case] max_bytes: f64,
) {
    let (updates, bytes) = swap_load(gateways, engines);
    println!("{gateways} gateways: {updates:.2} updates/s and {bytes:.0} bytes/s each");
    assert!(updates <= max_updates, "{updates} updates/s");
    assert!(bytes <= max_bytes, "{bytes} bytes/s");
}

/// A request waits for the model: any delay is added to its response time.
#[rstest]
#[case(61)]
#[case(986)]
fn instance_that_begins_to_serve_an_unmet_model_is_sent_at_the_next_pass(#[case] gateways: u64) {
    let mut leader = leader(gateways, 20);
    leader.report_demand(START, 7, vec![demand(model(5), 1)]);
    updates_of_gateway(&mut leader, START, START + 15);
    let announced = engine(3, 2, &[100, 5]);
    leader
        .fleet
        .handle_announcement(at(START + 15), announced, false);
    let updates = updates_of_gateway(&mut leader, START + 15, START + 20);
    assert_eq!(updates.len(), 1, "{updates:?}");
    assert!(carries(&updates[0].1, 3));
    // The records of engines hold dozens of copies, of which one changed.
    assert!(updates[0].1.instances.is_empty(), "{updates:?}");
    assert!(encoded_size(&updates[0].1) < 100);
}

/// The twin: other changes wait for the regular interval, although demand is unmet.
#[rstest]
#[case(61, 100)]
#[case(986, 986)]
fn other_changes_are_sent_at_the_regular_interval(#[case] gateways: u64, #[case] interval: u64) {
    let mut leader = leader(gateways, 20);
    let mut sent: Vec<u64> = Vec::new();
    let mut carried = 0;
    for step in 0..3_000 / PASS_MILLIS {
        let now = START + step * PASS_MILLIS;
        leader.report_demand(now, 7, vec![demand(model(5), 1)]);
        let number = step % 20;
        let announced = engine(number, step + 2, &[100, 6 + step % 50]);
        leader.fleet.handle_announcement(at(now), announced, false);
        let updates = updates_of_gateway(&mut leader, now, now + PASS_MILLIS);
        for (_, update) in &updates {
            sent.push(now);
            carried += update.contents.len();
        }
    }
    assert!(
        sent.len() as u64 >= 3_000 / interval - 1,
        "changes are sent: {sent:?}"
    );
    assert!(carried > 0);
    let gaps = sent.windows(2).map(|pair| pair[1] - pair[0]);
    assert!(gaps.clone().all(|gap| gap >= interval), "{sent:?}");
    assert!(
        gaps.clone().all(|gap| gap <= interval + 20),
        "changes do not wait longer: {sent:?}"
    );
    // Coalesced: an instance is listed once in an update.
    assert!(carried <= sent.len() * 20, "{carried}");
}

/// Another gateway without the demand is not sent the change early.
#[test]
fn change_is_not_sent_early_to_gateways_without_the_demand() {
    let mut leader = leader(986, 20);
    leader.report_demand(START, 8, vec![demand(model(5), 1)]);
    leader.report_demand(START, 7, vec![demand(model(6), 1), demand(model(5), 0)]);
    let regular = updates_of_gateway(&mut leader, START, START + 50);
    assert_eq!(regular.len(), 1, "the next one is due in 986 ms");
    let from = START + 50;
    leader.report_demand(from, 7, vec![demand(model(6), 1)]);
    let announced = engine(3, 2, &[100, 5]);
    leader.fleet.handle_announcement(at(from), announced, false);
    let early = updates_of_gateway(&mut leader, from, from + 20);
    assert!(early.is_empty(), "{early:?}");
}

/// The model was loaded just before the gateway reported that it lacks it.
#[test]
fn instance_that_serves_a_model_since_before_the_report_is_sent_at_the_next_pass() {
    let mut leader = leader(986, 20);
    leader.report(START, 7, 1);
    let regular = updates_of_gateway(&mut leader, START, START + 50);
    assert_eq!(regular.len(), 1, "the next one is due in 986 ms");
    let now = START + 50;
    let announced = engine(3, 2, &[100, 5]);
    leader.fleet.handle_announcement(at(now), announced, false);
    assert!(updates_of_gateway(&mut leader, now, now + 50).is_empty());
    leader.report_demand(now + 50, 7, vec![demand(model(5), 1)]);
    let updates = updates_of_gateway(&mut leader, now + 50, now + 80);
    assert_eq!(updates.len(), 1, "{updates:?}");
    assert!(carries(&updates[0].1, 3));
}

/// Requests sent to an instance that unloads their model are rejected there. Also sent to gateways
/// without unmet demand, and only to those that use the model.
#[rstest]
#[case::used(model(100), true)]
#[case::not_used(model(99), false)]
fn unload_of_a_used_model_is_sent_at_the_next_pass(#[case] used: ModelName, #[case] early: bool) {
    let mut leader = leader(986, 20);
    leader.report(START, 7, 1);
    updates_of_gateway(&mut leader, START, START + 50);
    leader.report_demand(START + 50, 7, vec![demand(used, 0)]);
    let announced = engine(3, 2, &[]);
    let now = START + 50;
    leader.fleet.handle_announcement(at(now), announced, false);
    let updates = updates_of_gateway(&mut leader, now, now + 40);
    assert_eq!(
        updates.iter().any(|(_, update)| carries(update, 3)),
        early,
        "{updates:?}"
    );
}

/// A departure and a document are sent at once to a gateway with unmet demand, and with everything
/// else, as the update states the index of the log.
#[rstest]
#[case::departure(true)]
#[case::document(false)]
fn departure_and_document_are_sent_at_the_next_pass(#[case] departure: bool) {
    let mut leader = leader(986, 20);
    leader.report_demand(START, 7, vec![demand(model(5), 1)]);
    updates_of_gateway(&mut leader, START, START + 50);
    let now = START + 50;
    let other = engine(4, 2, &[100, 6]);
    leader.fleet.handle_announcement(at(now), other, false);
    let instance = record(3).instance;
    match departure {
        true => leader.fleet.handle_departure(&instance, true),
        false => leader.commit_next_version(now),
    }
    let updates = updates_of_gateway(&mut leader, now, now + PASS_MILLIS);
    assert_eq!(updates.len(), 1);
    let update = &updates[0].1;
    assert_eq!(update.removed.contains(&instance), departure);
    assert_eq!(update.document_change.is_some(), !departure);
    assert!(carries(update, 4));
}

/// Guards against an update that states the index of a departure and omits it: the gateway would
/// count as up to date and go on sending requests to the departed instance.
#[test]
fn early_update_carries_outstanding_departures() {
    let mut leader = leader(986, 20);
    leader.report_demand(START, 7, vec![demand(model(100), 0)]);
    updates_of_gateway(&mut leader, START, START + 50);
    let now = START + 50;
    let departed = record(4).instance;
    leader.fleet.handle_departure(&departed, true);
    let unloading = engine(3, 2, &[]);
    leader.fleet.handle_announcement(at(now), unloading, false);
    let updates = updates_of_gateway(&mut leader, now, now + 40);
    assert_eq!(updates.len(), 1, "{updates:?}");
    assert!(carries(&updates[0].1, 3));
    assert_eq!(updates[0].1.removed, [departed]);
}

/// Without unmet demand a document takes no longer than the interval that bounds all updates, which
/// is shorter than the regular interval of other changes with few gateways.
#[test]
fn document_takes_no_longer_than_before_without_demand() {
    let mut leader = leader(61, 20);
    leader.report(START, 7, 1);
    updates_of_gateway(&mut leader, START, START + 61);
    leader.commit_next_version(START + 61);
    let updates = updates_of_gateway(&mut leader, START + 61, START + 70);
    let changes = updates.iter();
    let changes = changes.filter(|(_, update)| update.document_change.is_some());
    assert_eq!(changes.count(), 1, "{updates:?}");
}

/// A backlogged gateway is sent what concerns it once, after its backlog.
#[test]
fn backlogged_gateway_is_sent_nothing_early() {
    let mut leader = leader(986, 20);
    leader.report_demand(START, 7, vec![demand(model(5), 1)]);
    updates_of_gateway(&mut leader, START, START + 15);
    leader.fleet.set_backlogged(at(START + 15), 7, true);
    for sequence in 2..6 {
        let now = START + 10 * sequence;
        let announced = engine(3, sequence, &[100, 5, 6 + sequence]);
        leader.fleet.handle_announcement(at(now), announced, false);
        assert!(updates_of_gateway(&mut leader, now, now + 10).is_empty());
    }
    leader.fleet.set_backlogged(at(START + 60), 7, false);
    let updates = updates_of_gateway(&mut leader, START + 60, START + 80);
    assert_eq!(updates.len(), 1, "{updates:?}");
    assert_eq!(updates[0].1.contents.len(), 1);
    let models = &updates[0].1.contents[0].models;
    assert_eq!(models[2].model, model(11), "the latest state");
}

fn engine_leader(gateways: u64) -> (Leader, DeploymentDocument) {
    let mut leader = Leader::new(0, 0);
    let capacity = EngineCapacity {
        weights_kilobytes: 100,
        adapter_slots: 1,
        milliloads_per_second: 2_000,
    };
    let models = [5, 6].map(|number| documents::model(&model(number).0, 60, 4));
    let mut document = engine_document(models.to_vec(), &capacity);
    document.version = 1;
    let mut announced = engine(3, 1, &[]);
    announced.in_memory = Vec::new();
    announced.on_disk = Vec::new();
    leader.fleet.handle_announcement(at(0), announced, false);
    for connection in 0..gateways {
        leader.report(10_000, connection, 1);
    }
    (leader, document)
}

/// Callers are held or refused by the estimate.
#[test]
fn ready_estimate_of_an_unmet_model_is_sent_at_the_next_pass() {
    let (mut leader, document) = engine_leader(986);
    leader.documents = millpass_fleet::DocumentHistory::new();
    leader.documents.record(at(0), &document.into());
    for now in (10_000..START).step_by(PASS_MILLIS as usize) {
        leader.updates(now);
    }
    let state = InstructionResult::State(EngineState {
        revision: 1,
        busy: false,
        models: Vec::new(),
        in_memory: Vec::new(),
        on_disk: Vec::new(),
        loading_adapters: Vec::new(),
    });
    leader.respond(START, &record(3).instance, &state);
    leader.report(START, 7, 1);
    leader.report(START, 8, 1);
    updates_of_gateway(&mut leader, START, START + 50);
    // The model of gateway 8 waits for the engine that loads the model of gateway 7.
    leader.report_demand(START + 50, 7, vec![demand(model(5), 1)]);
    let updates = updates_of_gateway(&mut leader, START + 50, START + 70);
    let estimates: Vec<&ModelReadyEstimate> = updates
        .iter()
        .flat_map(|(_, update)| &update.moved_estimates)
        .collect();
    assert_eq!(estimates.len(), 1, "{updates:?}");
    assert_eq!(estimates[0].model, model(5));
    leader.report_demand(START + 100, 8, vec![demand(model(6), 1)]);
    let updates = updates_of_gateway(&mut leader, START + 100, START + 300);
    let others = updates
        .iter()
        .flat_map(|(_, update)| &update.moved_estimates);
    assert_eq!(
        others.filter(|estimate| estimate.model != model(5)).count(),
        0,
        "the estimate of another gateway's model waits for the interval"
    );
}
