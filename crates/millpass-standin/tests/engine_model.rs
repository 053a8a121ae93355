//! Tests of the engine model: fences, memory, loads, batching and reports.

mod common;

use common::*;
use millpass_proto::*;
use millpass_standin::engine::*;
use rstest::rstest;

#[test]
fn load_reserves_memory_and_completes() {
    let mut driver = Driver::new(small_settings());
    assert_eq!(
        driver.send(order(1, load(1, 500, 400))),
        OrderResponse::Accepted
    );
    assert_eq!(driver.phase(1), Some(EngineSlotPhase::Loading));
    assert_eq!(driver.engine.current_report().used_bytes, vec![900]);
    driver.run_until_idle();
    assert_eq!(driver.phase(1), Some(EngineSlotPhase::Loaded));
    assert_eq!(driver.engine.audit(driver.now).model_loads, 1);
}

#[test]
fn order_exceeding_memory_is_rejected_and_counted() {
    let mut driver = Driver::loaded(small_settings());
    let response = driver.send(order(2, load(2, 101, 0)));
    assert!(matches!(response, OrderResponse::Rejected(_)));
    let audit = driver.engine.audit(driver.now);
    assert_eq!(audit.memory_overcommits, 1);
    assert_eq!(audit.peak_used_bytes, vec![900]);
    assert_eq!(driver.phase(2), None);
}

#[test]
fn resent_rejected_order_stays_rejected_after_memory_is_freed() {
    let mut driver = Driver::loaded(small_settings());
    let oversized = order(2, load(2, 600, 0));
    let first = driver.send(oversized.clone());
    assert!(matches!(first, OrderResponse::Rejected(_)));
    driver.send(order(3, OrderAction::UnloadModel(SlotId(1))));
    driver.run_until_idle();
    assert_eq!(driver.send(oversized), first);
    assert_eq!(driver.phase(2), None);
}

#[rstest]
#[case::lower(order(4, load(2, 1, 1)), OrderResponse::StaleFence(fence(5)))]
#[case::resent(order(5, load(1, 500, 400)), OrderResponse::Accepted)]
fn stale_and_resent_orders_are_recognized(
    #[case] second: EngineOrder,
    #[case] expected: OrderResponse,
) {
    let mut driver = Driver::new(small_settings());
    assert_eq!(
        driver.send(order(5, load(1, 500, 400))),
        OrderResponse::Accepted
    );
    assert_eq!(driver.send(second), expected);
    assert_eq!(driver.engine.audit(driver.now).orders_accepted, 1);
}

#[test]
fn order_for_another_incarnation_is_rejected_and_counted() {
    let mut driver = Driver::new(small_settings());
    let mut foreign = order(1, load(1, 1, 1));
    foreign.incarnation = Incarnation(7);
    assert_eq!(
        driver.send(foreign),
        OrderResponse::WrongIncarnation(Incarnation(1))
    );
    let audit = driver.engine.audit(driver.now);
    assert_eq!((audit.wrong_incarnations, audit.orders_accepted), (1, 0));
}

#[test]
fn reused_fence_is_rejected_and_counted() {
    let mut driver = Driver::loaded(small_settings());
    let response = driver.send(order(1, load(9, 1, 1)));
    assert!(matches!(response, OrderResponse::Rejected(_)));
    assert_eq!(driver.engine.audit(driver.now).conflicting_fences, 1);
}

#[test]
fn load_time_depends_on_the_tier_and_only_remote_fetches() {
    let initial = |tier| {
        let mut settings = small_settings();
        settings.timing.memory_bytes_per_second = 1_000;
        settings.timing.disk_bytes_per_second = 100;
        settings.checkpoints.initial = vec![InitialCheckpoint {
            checkpoint: "narrator-1".to_owned(),
            bytes: 500,
            tier,
        }];
        let mut driver = Driver::new(settings);
        let outputs = driver.input(EngineInput::Order(order(1, load(1, 500, 400))));
        let fetched = outputs
            .iter()
            .any(|output| matches!(output, EngineOutput::Fetch { .. }));
        driver.run_until_idle();
        (driver.now.as_millis(), fetched)
    };
    assert_eq!(initial(CheckpointTier::Memory), (900, false));
    assert_eq!(initial(CheckpointTier::Disk), (5_400, false));
    assert_eq!(initial(CheckpointTier::Remote), (900, true));
}

#[test]
fn cached_checkpoints_survive_an_engine_restart() {
    let first = Driver::loaded(small_settings());
    let mut settings = small_settings();
    settings.checkpoints.initial = first.engine.cached_checkpoints();
    let second = EngineModel::new(settings, Timestamp::ZERO);
    let found = second.current_report().checkpoints;
    assert_eq!(found, first.engine.current_report().checkpoints);
    assert_eq!(found[0].tier, CheckpointTier::Memory);
}

#[test]
fn failed_fetch_fails_the_load_and_frees_memory() {
    let mut driver = Driver::new(small_settings());
    let now = driver.now;
    let outputs = driver
        .engine
        .step(now, EngineInput::Order(order(1, load(1, 500, 400))));
    let EngineOutput::Fetch { fetch, .. } = outputs[0] else {
        panic!("a remote checkpoint is fetched: {outputs:?}");
    };
    let failed = FetchResult::Failed("gone".to_owned());
    driver
        .engine
        .step(now, EngineInput::FetchEnded(fetch, failed));
    assert_eq!(
        driver.phase(1),
        Some(EngineSlotPhase::Failed("gone".to_owned()))
    );
    assert_eq!(driver.engine.current_report().used_bytes, vec![0]);
}

#[test]
fn load_fails_after_the_retry_limit_of_the_store() {
    let mut settings = small_settings();
    settings.limits.fetch_retries = 2;
    let mut engine = EngineModel::new(settings, Timestamp::ZERO);
    let mut now = Timestamp::ZERO;
    let mut outputs = engine.step(now, EngineInput::Order(order(1, load(1, 500, 400))));
    let mut fetches = 0;
    while let Some(fetch) = outputs.iter().find_map(|output| match output {
        EngineOutput::Fetch { fetch, .. } => Some(*fetch),
        _ => None,
    }) {
        fetches += 1;
        let later = FetchResult::RetryAfter(Duration::from_secs(1));
        engine.step(now, EngineInput::FetchEnded(fetch, later));
        now = engine.next_wake().unwrap_or(now);
        outputs = engine.step(now, EngineInput::Tick);
    }
    assert_eq!(fetches, 3);
    assert_eq!(engine.audit(now).failed_loads, 1);
}

#[test]
fn unload_completes_running_requests_and_refuses_waiting_ones() {
    let mut driver = Driver::loaded(small_settings());
    for handle in 1..=3 {
        driver.input(EngineInput::Submit(request(handle, 1, 20)));
    }
    let mut outputs = driver.wake();
    let unload = order(2, OrderAction::UnloadModel(SlotId(1)));
    outputs.extend(driver.input(EngineInput::Order(unload)));
    assert_eq!(driver.phase(1), Some(EngineSlotPhase::Unloading));
    while end_of(&outputs, 2).is_none() {
        assert_eq!(driver.engine.current_report().used_bytes, vec![900]);
        outputs.extend(driver.wake());
    }
    outputs.extend(driver.run_until_idle());
    for handle in 1..=2 {
        assert_eq!(positions(&outputs, handle), (0..20).collect::<Vec<_>>());
        assert_eq!(end_of(&outputs, handle).unwrap().1, FinishReason::Complete);
    }
    let refused = EngineOutput::Refused(RequestHandle(3), Refusal::SlotNotLoaded);
    assert!(outputs.contains(&refused));
    assert_eq!(driver.phase(1), Some(EngineSlotPhase::Unloaded));
    assert_eq!(driver.engine.current_report().used_bytes, vec![0]);
}

#[test]
fn adapter_is_loaded_and_unloaded_with_its_slot() {
    let mut driver = Driver::new(small_settings());
    driver.send(order(1, load(1, 500, 400)));
    let adapter = OrderAction::LoadAdapter(LoadAdapterOrder {
        slot: SlotId(1),
        adapter: AdapterName::from("dealer"),
        bytes: 50,
        checkpoint: "dealer-1".to_owned(),
    });
    assert_eq!(driver.send(order(2, adapter)), OrderResponse::Accepted);
    driver.run_until_idle();
    let mut with_adapter = request(1, 1, 2);
    with_adapter.adapter = Some(AdapterName::from("dealer"));
    driver.input(EngineInput::Submit(with_adapter));
    assert_eq!(positions(&driver.run_until_idle(), 1), vec![0, 1]);
    driver.send(order(3, OrderAction::UnloadModel(SlotId(1))));
    driver.run_until_idle();
    assert_eq!(driver.engine.current_report().used_bytes, vec![0]);
}

#[test]
fn interactive_preempts_batch_which_still_completes() {
    let mut driver = Driver::loaded(small_settings());
    for handle in 1..=2 {
        let mut batch = request(handle, 1, 30);
        batch.urgency = Urgency::Batch;
        driver.input(EngineInput::Submit(batch));
    }
    let mut outputs = driver.wake();
    let mut urgent = request(3, 1, 5);
    urgent.urgency = Urgency::Interactive;
    driver.input(EngineInput::Submit(urgent));
    outputs.extend(driver.run_until_idle());
    assert!(end_of(&outputs, 3).unwrap().0 < end_of(&outputs, 2).unwrap().0);
    assert_eq!(positions(&outputs, 2), (0..30).collect::<Vec<_>>());
    assert_eq!(driver.engine.audit(driver.now).preemptions, 1);
}

#[test]
fn unload_completes_a_preempted_request() {
    let mut settings = small_settings();
    settings.limits.batch_slots = 1;
    let mut driver = Driver::loaded(settings);
    let mut batch = request(1, 1, 10);
    batch.urgency = Urgency::Batch;
    driver.input(EngineInput::Submit(batch));
    let mut urgent = request(2, 1, 10);
    urgent.urgency = Urgency::Interactive;
    driver.input(EngineInput::Submit(urgent));
    let mut outputs = driver.wake();
    assert_eq!(driver.engine.audit(driver.now).preemptions, 1);
    driver.send(order(2, OrderAction::UnloadModel(SlotId(1))));
    outputs.extend(driver.run_until_idle());
    assert_eq!(positions(&outputs, 1), (0..10).collect::<Vec<_>>());
    assert_eq!(end_of(&outputs, 1).unwrap().1, FinishReason::Complete);
}

#[test]
fn unload_timeout_aborts_running_requests() {
    let mut settings = small_settings();
    settings.limits.unload_timeout = Some(Duration::from_millis(100));
    let mut driver = Driver::loaded(settings);
    driver.input(EngineInput::Submit(request(1, 1, 300)));
    let begin = driver.now;
    driver.send(order(2, OrderAction::UnloadModel(SlotId(1))));
    let outputs = driver.run_until_idle();
    assert_eq!(end_of(&outputs, 1).unwrap().1, FinishReason::Unloaded);
    assert_eq!(driver.now.since(begin), Duration::from_millis(300));
    assert_eq!(driver.engine.audit(driver.now).requests_cut, 1);
}

#[test]
fn full_queue_refuses_with_a_retry_delay() {
    // One request runs and four wait; the batch admits more only at the next step.
    let mut driver = Driver::loaded(small_settings());
    let refusals: Vec<EngineOutput> = (1..=8)
        .flat_map(|handle| driver.input(EngineInput::Submit(request(handle, 1, 5))))
        .filter(|output| matches!(output, EngineOutput::Refused(..)))
        .collect();
    let retry_after = Duration::from_secs(1);
    let full =
        |handle| EngineOutput::Refused(RequestHandle(handle), Refusal::QueueFull { retry_after });
    assert_eq!(refusals, vec![full(6), full(7), full(8)]);
}

#[test]
fn deadline_refuses_waiting_and_aborts_running_requests() {
    let mut driver = Driver::loaded(small_settings());
    let deadline = Some(driver.now + Duration::from_millis(100));
    for handle in 1..=3 {
        let mut limited = request(handle, 1, 100);
        limited.deadline = deadline;
        driver.input(EngineInput::Submit(limited));
    }
    let outputs = driver.run_until_idle();
    assert_eq!(end_of(&outputs, 1).unwrap().1, FinishReason::DeadlinePassed);
    let refused = EngineOutput::Refused(RequestHandle(3), Refusal::DeadlinePassed);
    assert!(outputs.contains(&refused));
}

#[test]
fn cancel_frees_the_batch_slot() {
    let mut driver = Driver::loaded(small_settings());
    for handle in 1..=3 {
        driver.input(EngineInput::Submit(request(handle, 1, 50)));
    }
    let mut outputs = driver.input(EngineInput::Cancel(RequestHandle(1)));
    assert_eq!(end_of(&outputs, 1).unwrap().1, FinishReason::Cancelled);
    outputs.extend(driver.run_until_idle());
    assert_eq!(positions(&outputs, 3).len(), 50);
    assert!(positions(&outputs, 1).is_empty());
}

#[test]
fn report_lags_and_its_sequence_increases() {
    let driver = Driver::loaded(small_settings());
    let loaded_at = driver.now;
    let lag = driver.engine.settings().publishing.report_lag;
    let early = driver.engine.report(loaded_at);
    assert_ne!(
        early.slots.first().map(|slot| &slot.phase),
        Some(&EngineSlotPhase::Loaded)
    );
    let late = driver.engine.report(loaded_at + lag);
    assert_eq!(late.slots[0].phase, EngineSlotPhase::Loaded);
    assert!(late.sequence > early.sequence);
}

#[test]
fn cached_prefix_shortens_prefill_and_is_published_with_lag() {
    let mut driver = Driver::loaded(small_settings());
    let first_token_after = |driver: &mut Driver, handle| {
        let mut long = request(handle, 1, 1);
        long.prompt_tokens = 48;
        long.prefix_blocks = vec![11, 12, 13];
        let begin = driver.now;
        driver.input(EngineInput::Submit(long));
        driver.run_until_idle();
        driver.now.since(begin)
    };
    let cold = first_token_after(&mut driver, 1);
    let submitted = driver.now;
    let warm = first_token_after(&mut driver, 2);
    assert!(warm < cold);
    assert!(driver.engine.events_after(submitted, 0).events.is_empty());
    let published = submitted + driver.engine.settings().publishing.event_lag;
    let events = driver.engine.events_after(published, 0).events;
    let hashes: Vec<u64> = events.iter().map(|event| event.prefix_hash).collect();
    assert_eq!(hashes, vec![11, 12, 13]);
}

#[test]
fn decode_engine_serves_with_imported_cache() {
    let mut settings = small_settings();
    settings.limits.decode_prefill_tokens = 4;
    let mut driver = Driver::loaded(settings);
    driver.send(order(2, OrderAction::ChangeRole(EngineRole::Decode)));
    let mut long = request(1, 1, 3);
    long.prompt_tokens = 18;
    long.prefix_blocks = vec![77];
    let refused = driver.input(EngineInput::Submit(long.clone()));
    assert_eq!(
        refused,
        vec![EngineOutput::Refused(RequestHandle(1), Refusal::WrongRole)]
    );
    let slot = SlotId(1);
    let imported = driver.input(EngineInput::ImportCache {
        slot,
        prefix_hash: 77,
    });
    assert_eq!(imported, vec![EngineOutput::CacheImported(true)]);
    driver.input(EngineInput::Submit(long));
    assert_eq!(positions(&driver.run_until_idle(), 1).len(), 3);
}

#[test]
fn repeated_key_is_listed_per_tenant() {
    let mut driver = Driver::loaded(small_settings());
    for (handle, tenant) in [(1, "a"), (2, "b"), (3, "a")] {
        let mut keyed = request(handle, 1, 1);
        keyed.tenant = TenantName::from(tenant);
        keyed.idempotency_key = Some("charge-1".to_owned());
        driver.input(EngineInput::Submit(keyed));
        driver.run_until_idle();
    }
    let repeated = driver.engine.audit(driver.now).repeated_keys;
    let expected = RepeatedRun {
        tenant: TenantName::from("a"),
        key: "charge-1".to_owned(),
        runs: 2,
    };
    assert_eq!(repeated, vec![expected]);
}

#[test]
fn idle_time_excludes_running_requests() {
    let mut driver = Driver::loaded(small_settings());
    let later = driver.now + Duration::from_secs(10);
    let audit = driver.engine.audit(later);
    assert_eq!(audit.loaded_accelerator_millis, 10_000);
    assert_eq!(audit.idle_accelerator_millis, 10_000);
    driver.input(EngineInput::Submit(request(1, 1, 100)));
    let begin = driver.now;
    driver.run_until_idle();
    let busy = driver.now.since(begin).as_millis() as u64;
    let audit = driver.engine.audit(driver.now);
    assert_eq!(audit.idle_accelerator_millis, 0);
    assert_eq!(audit.loaded_accelerator_millis, busy);
}
