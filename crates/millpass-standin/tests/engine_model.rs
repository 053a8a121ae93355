//! The engine model by examples: fences, memory, loads, batching, reports.

mod common;

use common::*;
use millpass_proto::*;
use millpass_standin::engine::*;
use rstest::rstest;

#[test]
fn load_reserves_memory_and_ends_loaded() {
    let mut driver = Driver::new(small_settings());
    assert_eq!(
        driver.send(order(1, load(1, 500, 400))),
        OrderResponse::Accepted
    );
    assert_eq!(driver.phase(1), Some(EngineSlotPhase::Loading));
    assert_eq!(driver.engine.current_report().used_bytes, vec![900]);
    driver.run_dry();
    assert_eq!(driver.phase(1), Some(EngineSlotPhase::Loaded));
    assert_eq!(driver.engine.audit(driver.now).model_loads, 1);
}

#[test]
fn order_beyond_memory_is_a_counted_breach_and_does_nothing() {
    let mut driver = Driver::loaded(small_settings());
    let answer = driver.send(order(2, load(2, 101, 0)));
    assert!(matches!(answer, OrderResponse::Rejected(_)));
    let audit = driver.engine.audit(driver.now);
    assert_eq!(audit.memory_overcommits, 1);
    assert_eq!(audit.peak_used_bytes, vec![900]);
    assert_eq!(driver.phase(2), None);
}

#[test]
fn a_copy_of_a_rejected_order_is_rejected_also_when_memory_came_free() {
    let mut driver = Driver::loaded(small_settings());
    let too_much = order(2, load(2, 600, 0));
    let first = driver.send(too_much.clone());
    assert!(matches!(first, OrderResponse::Rejected(_)));
    driver.send(order(3, OrderAction::UnloadModel(SlotId(1))));
    driver.run_dry();
    assert_eq!(driver.send(too_much), first);
    assert_eq!(driver.phase(2), None);
}

#[rstest]
#[case::lower(order(4, load(2, 1, 1)), OrderResponse::StaleFence(fence(5)))]
#[case::resent(order(5, load(1, 500, 400)), OrderResponse::Accepted)]
fn fences_decide(#[case] second: EngineOrder, #[case] expected: OrderResponse) {
    let mut driver = Driver::new(small_settings());
    assert_eq!(
        driver.send(order(5, load(1, 500, 400))),
        OrderResponse::Accepted
    );
    assert_eq!(driver.send(second), expected);
    assert_eq!(driver.engine.audit(driver.now).orders_accepted, 1);
}

#[test]
fn another_incarnation_is_refused_and_counted() {
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
fn one_fence_with_two_orders_is_a_counted_breach() {
    let mut driver = Driver::loaded(small_settings());
    let answer = driver.send(order(1, load(9, 1, 1)));
    assert!(matches!(answer, OrderResponse::Rejected(_)));
    assert_eq!(driver.engine.audit(driver.now).conflicting_fences, 1);
}

#[test]
fn tiers_differ_in_speed_and_only_remote_asks_the_store() {
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
        driver.run_dry();
        (driver.now.as_millis(), fetched)
    };
    assert_eq!(initial(CheckpointTier::Memory), (900, false));
    assert_eq!(initial(CheckpointTier::Disk), (5_400, false));
    assert_eq!(initial(CheckpointTier::Remote), (900, true));
}

#[test]
fn the_next_engine_on_a_machine_finds_its_checkpoints() {
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
fn a_store_at_its_limit_is_asked_again_and_at_last_given_up() {
    let mut settings = small_settings();
    settings.limits.fetch_retries = 2;
    let mut engine = EngineModel::new(settings, Timestamp::ZERO);
    let mut now = Timestamp::ZERO;
    let mut outputs = engine.step(now, EngineInput::Order(order(1, load(1, 500, 400))));
    let mut asked = 0;
    while let Some(fetch) = outputs.iter().find_map(|output| match output {
        EngineOutput::Fetch { fetch, .. } => Some(*fetch),
        _ => None,
    }) {
        asked += 1;
        let later = FetchResult::RetryAfter(Duration::from_secs(1));
        engine.step(now, EngineInput::FetchEnded(fetch, later));
        now = engine.next_wake().unwrap_or(now);
        outputs = engine.step(now, EngineInput::Tick);
    }
    assert_eq!(asked, 3);
    assert_eq!(engine.audit(now).failed_loads, 1);
}

#[test]
fn planned_unload_waits_for_what_runs_and_refuses_what_waits() {
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
    outputs.extend(driver.run_dry());
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
fn adapter_of_a_loading_slot_is_loaded_with_it_and_goes_with_it() {
    let mut driver = Driver::new(small_settings());
    driver.send(order(1, load(1, 500, 400)));
    let adapter = OrderAction::LoadAdapter(LoadAdapterOrder {
        slot: SlotId(1),
        adapter: AdapterName::from("dealer"),
        bytes: 50,
        checkpoint: "dealer-1".to_owned(),
    });
    assert_eq!(driver.send(order(2, adapter)), OrderResponse::Accepted);
    driver.run_dry();
    let mut with_adapter = request(1, 1, 2);
    with_adapter.adapter = Some(AdapterName::from("dealer"));
    driver.input(EngineInput::Submit(with_adapter));
    assert_eq!(positions(&driver.run_dry(), 1), vec![0, 1]);
    driver.send(order(3, OrderAction::UnloadModel(SlotId(1))));
    driver.run_dry();
    assert_eq!(driver.engine.current_report().used_bytes, vec![0]);
}

#[test]
fn interactive_preempts_batch_which_still_ends_whole() {
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
    outputs.extend(driver.run_dry());
    assert!(end_of(&outputs, 3).unwrap().0 < end_of(&outputs, 2).unwrap().0);
    assert_eq!(positions(&outputs, 2), (0..30).collect::<Vec<_>>());
    assert_eq!(driver.engine.audit(driver.now).preemptions, 1);
}

#[test]
fn unload_lets_a_preempted_request_end_whole() {
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
    outputs.extend(driver.run_dry());
    assert_eq!(positions(&outputs, 1), (0..10).collect::<Vec<_>>());
    assert_eq!(end_of(&outputs, 1).unwrap().1, FinishReason::Complete);
}

#[test]
fn unload_bound_cuts_what_still_runs() {
    let mut settings = small_settings();
    settings.limits.unload_timeout = Some(Duration::from_millis(100));
    let mut driver = Driver::loaded(settings);
    driver.input(EngineInput::Submit(request(1, 1, 300)));
    let begin = driver.now;
    driver.send(order(2, OrderAction::UnloadModel(SlotId(1))));
    let outputs = driver.run_dry();
    assert_eq!(end_of(&outputs, 1).unwrap().1, FinishReason::Unloaded);
    assert_eq!(driver.now.since(begin), Duration::from_millis(300));
    assert_eq!(driver.engine.audit(driver.now).requests_cut, 1);
}

#[test]
fn full_queue_refuses_with_when_to_come_back() {
    // One runs, four wait; the batch takes more only at the next step.
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
fn deadline_refuses_what_waits_and_cuts_what_runs() {
    let mut driver = Driver::loaded(small_settings());
    let deadline = Some(driver.now + Duration::from_millis(100));
    for handle in 1..=3 {
        let mut limited = request(handle, 1, 100);
        limited.deadline = deadline;
        driver.input(EngineInput::Submit(limited));
    }
    let outputs = driver.run_dry();
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
    outputs.extend(driver.run_dry());
    assert_eq!(positions(&outputs, 3).len(), 50);
    assert!(positions(&outputs, 1).is_empty());
}

#[test]
fn report_shows_the_past_and_its_sequence_grows() {
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
fn cached_prefix_shortens_prefill_and_is_published_late() {
    let mut driver = Driver::loaded(small_settings());
    let first_token_after = |driver: &mut Driver, handle| {
        let mut long = request(handle, 1, 1);
        long.prompt_tokens = 48;
        long.prefix_blocks = vec![11, 12, 13];
        let begin = driver.now;
        driver.input(EngineInput::Submit(long));
        driver.run_dry();
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
fn imported_cache_lets_a_decode_engine_serve() {
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
    assert_eq!(positions(&driver.run_dry(), 1).len(), 3);
}

#[test]
fn a_key_that_runs_twice_is_listed_per_tenant() {
    let mut driver = Driver::loaded(small_settings());
    for (handle, tenant) in [(1, "a"), (2, "b"), (3, "a")] {
        let mut keyed = request(handle, 1, 1);
        keyed.tenant = TenantName::from(tenant);
        keyed.idempotency_key = Some("charge-1".to_owned());
        driver.input(EngineInput::Submit(keyed));
        driver.run_dry();
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
fn idle_time_is_loaded_time_without_requests() {
    let mut driver = Driver::loaded(small_settings());
    let later = driver.now + Duration::from_secs(10);
    let audit = driver.engine.audit(later);
    assert_eq!(audit.loaded_accelerator_millis, 10_000);
    assert_eq!(audit.idle_accelerator_millis, 10_000);
    driver.input(EngineInput::Submit(request(1, 1, 100)));
    let begin = driver.now;
    driver.run_dry();
    let busy = driver.now.since(begin).as_millis() as u64;
    let audit = driver.engine.audit(driver.now);
    assert_eq!(audit.idle_accelerator_millis, 0);
    assert_eq!(audit.loaded_accelerator_millis, busy);
}
