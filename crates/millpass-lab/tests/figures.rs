//! Quantiles, service gaps, and the checks of the observers.

use millpass_lab::fleet::figures::{Quantiles, longest_gap_millis, service};
use millpass_lab::fleet::observer::Observation;
use millpass_lab::fleet::prober::AcceptedChange;
use millpass_lab::fleet::revisions::{SeenRevisions, times_in_force};
use millpass_load::answer::AnswerVerdict;
use millpass_load::{HistoryRecord, Outcome};
use millpass_proto::{
    EngineReport, EngineRole, EngineSlotPhase, EngineSlotReport, Incarnation, LogPosition, SlotId,
    Urgency,
};

fn request(target: &str, due_millis: u64, served: bool) -> HistoryRecord {
    let due_micros = due_millis * 1_000;
    HistoryRecord {
        request: due_millis,
        tenant: "tenant".into(),
        key: None,
        target: target.to_owned(),
        router: 0,
        urgency: Urgency::Normal,
        burst: false,
        nonce: String::new(),
        due_micros,
        sent_micros: due_micros,
        first_micros: None,
        ended_micros: due_micros,
        deadline_micros: due_micros + 1_000,
        outcome: if served {
            Outcome::Answered {
                status: 200,
                verdict: AnswerVerdict::Whole,
                replayed: false,
            }
        } else {
            Outcome::NoAnswer
        },
        tokens: 0,
        tokens_asked: 0,
        longest_pause_micros: 0,
        cold: false,
    }
}

#[test]
fn quantiles_use_the_nearest_rank() {
    let quantiles = Quantiles::of((1..=100).map(|millis| millis * 1_000).collect());
    assert_eq!(quantiles.count, 100);
    assert_eq!(quantiles.p50_millis, 50.0);
    assert_eq!(quantiles.p95_millis, 95.0);
    assert_eq!(quantiles.p99_millis, 99.0);
    assert_eq!(quantiles.max_millis, 100.0);
    assert_eq!(Quantiles::of(Vec::new()), Quantiles::default());
}

#[test]
fn time_without_service_is_from_the_first_failure_to_the_next_success() {
    let records = [
        request("read/pages", 0, true),
        request("read/pages", 100, false),
        request("read/pages", 300, false),
        request("read/pages", 450, true),
        request("read/pages", 9_000, true),
        request("write/pages", 200, true),
    ];
    let figures = service(&records, |_| true);
    assert_eq!(figures["read"].longest_without_service_millis, 350.0);
    assert_eq!((figures["read"].served, figures["read"].failed), (3, 2));
    assert_eq!(figures["write"].longest_without_service_millis, 0.0);
    let later = service(&records, |record| record.due_micros >= 400_000);
    assert_eq!(later["read"].requests, 2);
}

#[test]
fn an_outage_without_recovery_lasts_to_the_last_request() {
    let records = [
        request("read/pages", 0, true),
        request("read/pages", 100, false),
        request("read/pages", 800, false),
    ];
    let figures = service(&records, |_| true);
    assert_eq!(figures["read"].longest_without_service_millis, 700.0);
}

#[test]
fn gaps_include_the_ends_of_the_interval() {
    let times = [1_000_000, 1_100_000, 1_500_000];
    assert_eq!(longest_gap_millis(times, 900_000, 1_600_000), 400.0);
    assert_eq!(longest_gap_millis(times, 900_000, 3_000_000), 1_500.0);
    assert_eq!(longest_gap_millis([], 0, 2_000), 2.0);
}

#[test]
fn a_change_is_in_force_when_the_last_router_has_it() {
    let accepted = [AcceptedChange {
        called_micros: 0,
        returned_micros: 1_000,
        revision: 7,
    }];
    let mut seen = SeenRevisions::new();
    seen.insert("router-1".to_owned(), vec![(500, 6), (2_000, 7)]);
    seen.insert("router-2".to_owned(), vec![(4_000, 9)]);
    let both = ["router-1".to_owned(), "router-2".to_owned()];
    assert_eq!(times_in_force(&accepted, &seen, &both), (vec![3_000], 0));
    let with_another = [both.as_slice(), &["router-3".to_owned()]].concat();
    assert_eq!(times_in_force(&accepted, &seen, &with_another), (vec![], 1));
}

fn report(backend: &str, used: u64, slots: &[u64]) -> EngineReport {
    let slot = |number: &u64| EngineSlotReport {
        slot: SlotId(*number),
        model: "m".into(),
        version: "v1".into(),
        fence: LogPosition::ZERO,
        phase: EngineSlotPhase::Loaded,
        adapters: Vec::new(),
        running: 0,
        waiting: 0,
    };
    EngineReport {
        backend: backend.into(),
        incarnation: Incarnation(1),
        zone: "z".into(),
        role: EngineRole::Mixed,
        sequence: 1,
        highest_fence: LogPosition::ZERO,
        accelerator_bytes: vec![100],
        used_bytes: vec![used],
        slots: slots.iter().map(slot).collect(),
        checkpoints: Vec::new(),
    }
}

#[test]
fn too_many_replicas_and_too_much_memory_are_breaches() {
    let mut observation = Observation::default();
    observation.check_reports(&[report("e1", 100, &[1]), report("e2", 90, &[2])]);
    assert!(observation.breaches.is_empty());
    assert_eq!(observation.replicas.len(), 2);
    observation.check_reports(&[report("e1", 100, &[1, 2]), report("e2", 90, &[3])]);
    observation.check_reports(&[report("e1", 101, &[1])]);
    let breaches: Vec<&String> = observation.breaches.iter().collect();
    assert_eq!(breaches.len(), 2, "{breaches:?}");
    assert!(breaches[0].starts_with("memory"));
    assert!(breaches[1].starts_with("replicas"));
}
