//! Tests of the models of the weight store, web back end and platform list, lagged states and content.

mod common;

use common::check_property;
use millpass_proto::*;
use millpass_standin::content::{self, Completion};
use millpass_standin::lagged::Lagged;
use millpass_standin::platform::*;
use millpass_standin::web::*;
use millpass_standin::weight_store::*;
use proptest::collection::vec;
use proptest::prelude::*;
use std::collections::BTreeMap;

const RATE: u32 = 4;
const FULL_SPEED: u32 = 2;
const SPEED: u64 = 1_000;
const WAITING: usize = 3;

fn store() -> WeightStoreModel {
    let settings = WeightStoreSettings {
        loads_per_second: RATE,
        full_speed_loads: FULL_SPEED,
        bytes_per_second: SPEED,
        waiting_loads: WAITING,
    };
    WeightStoreModel::new(settings, Timestamp::ZERO)
}

/// Runs a store until it has processed all arrivals (preceding pause in milliseconds, bytes). Returns
/// the end of each transfer, `None` for refused ones.
fn run_store(arrivals: &[(u64, u64)]) -> (BTreeMap<u64, Option<Timestamp>>, StoreAudit) {
    let mut store = store();
    let mut now = Timestamp::ZERO;
    let mut ends = BTreeMap::new();
    let mut record = |now, outputs: Vec<StoreOutput>| {
        for output in outputs {
            let before = match output {
                StoreOutput::Done(transfer) => ends.insert(transfer.0, Some(now)),
                StoreOutput::Refused(transfer, _) => ends.insert(transfer.0, None),
            };
            assert_eq!(before, None, "transfer ended twice");
        }
    };
    for (transfer, (pause, bytes)) in (0_u64..).zip(arrivals) {
        let arrival = now + Duration::from_millis(*pause);
        while let Some(at) = store.next_wake().filter(|at| *at <= arrival) {
            record(at, store.step(at, StoreInput::Tick));
        }
        now = arrival;
        record(
            now,
            store.step(now, StoreInput::Request(TransferId(transfer), *bytes)),
        );
    }
    while let Some(at) = store.next_wake() {
        record(at, store.step(at, StoreInput::Tick));
    }
    (ends, store.audit())
}

#[test]
fn store_respects_limits_and_ends_every_transfer() {
    check_property(vec((0_u64..600, 0_u64..4_000), 1..40), |arrivals| {
        let (ends, audit) = run_store(&arrivals);
        prop_assert_eq!(ends.len(), arrivals.len());
        prop_assert_eq!(audit.started + audit.refused, arrivals.len() as u64);
        prop_assert_eq!(audit.started, audit.finished);
        let mut done: Vec<(Timestamp, u64)> = ends
            .iter()
            .filter_map(|(transfer, end)| Some(((*end)?, arrivals[*transfer as usize].1)))
            .collect();
        done.sort();
        let mut moved = 0;
        for (count, (end, bytes)) in done.iter().enumerate() {
            moved += bytes;
            let micros = end.as_micros();
            let most_bytes = micros * SPEED * u64::from(FULL_SPEED) / 1_000_000;
            prop_assert!(moved <= most_bytes + 1, "total bandwidth exceeded");
            let most_starts = micros * u64::from(RATE) / 1_000_000 + 1;
            prop_assert!((count as u64) < most_starts, "start rate exceeded");
        }
        Ok(())
    });
}

#[test]
fn store_shares_bandwidth_above_the_full_speed_count() {
    let alone = run_store(&[(0, 4_000)]).0;
    assert_eq!(alone[&0], Some(Timestamp::from_millis(4_000)));
    // Four transfers share the bandwidth of two, so each takes about twice as long. Their starts are 250 ms
    // apart, so the first ones are slightly faster.
    let four = run_store(&[(0, 40_000); 4]).0;
    let ends: Vec<u64> = four.values().flatten().map(|end| end.as_millis()).collect();
    assert_eq!(ends, vec![79_417, 79_792, 80_042, 80_208]);
}

#[test]
fn slow_factor_slows_transfers() {
    let mut store = store();
    store.step(Timestamp::ZERO, StoreInput::SlowFactor(10_000));
    store.step(Timestamp::ZERO, StoreInput::Request(TransferId(1), 1_000));
    assert_eq!(store.next_wake(), Some(Timestamp::from_millis(10_000)));
}

#[test]
fn abandoned_transfer_frees_its_bandwidth() {
    let mut store = store();
    store.step(Timestamp::ZERO, StoreInput::Request(TransferId(1), 1_000));
    store.step(Timestamp::ZERO, StoreInput::Abandon(TransferId(1)));
    assert_eq!((store.active_count(), store.audit().abandoned), (0, 1));
    assert_eq!(store.next_wake(), None);
}

#[test]
fn lagged_read_is_as_old_as_lag_and_interval_permit() {
    let lag = Duration::from_millis(300);
    let interval = Duration::from_millis(50);
    check_property(vec(0_u64..100, 1..50), |pauses| {
        let mut lagged = Lagged::new(lag, interval, Timestamp::ZERO, 0_usize);
        let mut now = Timestamp::ZERO;
        let mut changes = vec![Timestamp::ZERO];
        for (current, pause) in pauses.iter().enumerate() {
            now = now + Duration::from_millis(*pause);
            if lagged.should_record(now) {
                lagged.record(now, current);
            }
            lagged.mark_changed(now);
            changes.push(now);
            let read = lagged.read(now, || current + 1);
            let shown = lagged.shown_time(now);
            prop_assert!(changes[read] <= shown, "read is newer than the lag permits");
            let next = changes.get(read + 1).copied().unwrap_or(now);
            prop_assert!(
                next + interval >= shown,
                "read is older than lag and interval permit"
            );
        }
        let late = now + lag;
        prop_assert_eq!(lagged.read(late, || pauses.len()), pauses.len());
        Ok(())
    });
}

#[test]
fn resumed_completion_continues_and_other_prompts_differ() {
    let texts = (
        "[a-z]{1,8}",
        "[a-z]{1,8}",
        "[a-z ]{0,40}",
        0_u32..50,
        0_u32..50,
    );
    check_property(texts, |(model, version, prompt, from, more)| {
        let model = ModelName(model);
        let version = VersionLabel(version);
        let completion = Completion::new(&model, &version, None, &prompt);
        let end = from + more;
        let whole = completion.text(0, end);
        prop_assert_eq!(
            completion.text(0, from) + &completion.text(from, end),
            whole.clone()
        );
        let other = Completion::new(&model, &version, None, &format!("{prompt} nonce=x1"));
        prop_assert!(end == 0 || !other.matches(0, end, &whole));
        prop_assert!(more == 0 || !completion.matches(0, end, &completion.text(0, from)));
        Ok(())
    });
}

#[test]
fn prefix_blocks_match_for_common_prompt_prefixes() {
    let words = |count: usize, last: &str| {
        let mut words: Vec<String> = (0..count).map(|word| word.to_string()).collect();
        words.push(last.to_owned());
        words.join(" ")
    };
    let first = content::prefix_blocks(None, &words(40, "a"));
    let second = content::prefix_blocks(None, &words(47, "a"));
    assert_eq!((first.len(), second.len()), (2, 3));
    assert_eq!(first, second[..2]);
    let adapter = AdapterName::from("dealer");
    assert_ne!(
        first,
        content::prefix_blocks(Some(&adapter), &words(40, "a"))
    );
}

#[test]
fn web_runs_are_counted_by_tenant_and_key_and_respond_after_the_think_time() {
    let settings = WebSettings {
        maximum_running: 2,
        ..WebSettings::default()
    };
    let think_time = settings.think_time;
    let mut web = WebModel::new(settings, Timestamp::ZERO);
    let post = |web: &mut WebModel, id, tenant: &str| {
        let request = WebRequest {
            id: WebRequestId(id),
            is_post: true,
            path: "/charge/5".to_owned(),
            tenant: TenantName::from(tenant),
            key: Some("k".to_owned()),
            incarnation: None,
        };
        web.step(Timestamp::ZERO, WebInput::Request(request))
    };
    assert!(post(&mut web, 1, "a").is_empty());
    assert!(post(&mut web, 2, "b").is_empty());
    let response = WebResponse::Busy;
    let busy = WebOutput {
        id: WebRequestId(3),
        response,
    };
    assert_eq!(post(&mut web, 3, "a"), vec![busy]);
    let outputs = web.step(Timestamp::ZERO + think_time, WebInput::Tick);
    assert_eq!(outputs.len(), 2);
    let audit = web.audit();
    assert_eq!((audit.once_runs, audit.once_keys), (2, 2));
    assert!(audit.repeated_keys.is_empty());
}

#[test]
fn platform_list_lags_and_its_sequence_increases() {
    let settings = PlatformSettings::default();
    let lag = settings.list_lag;
    let mut list = PlatformModel::new(settings, Timestamp::ZERO);
    let machine = PlatformMachine {
        backend: BackendName::from("engine-1"),
        kind: BackendKind::Engine,
        group: None,
        zone: ZoneName::from("zone-1"),
        address: "127.0.0.1:1".to_owned(),
        state: BackendState::Live,
    };
    let at = Timestamp::from_millis(5_000);
    list.step(at, PlatformInput::Register(machine)).unwrap();
    assert!(list.list(at).machines.is_empty());
    assert_eq!(list.list(at + lag).machines.len(), 1);
    let name = BackendName::from("engine-1");
    list.step(at + lag, PlatformInput::Leaving(name.clone()))
        .unwrap();
    assert_eq!(list.list(at + lag).machines[0].state, BackendState::Live);
    let later = list.list(at + lag + lag);
    assert_eq!(later.machines[0].state, BackendState::Leaving);
    assert!(later.sequence > list.list(at + lag).sequence);
    list.step(at + lag, PlatformInput::Remove(name.clone()))
        .unwrap();
    let repeated = list.step(at + lag, PlatformInput::Remove(name));
    assert_eq!(repeated, Err(PlatformRefusal::Unknown));
}
