//! Property tests of the engine model with random orders, requests and times.

mod common;

use common::*;
use millpass_proto::*;
use millpass_standin::engine::*;
use proptest::collection::vec;
use proptest::prelude::*;
use std::collections::BTreeMap;

const CAPACITY: u64 = 1_000;
/// Gap between the fences of regular orders; stale orders use the fences between.
const FENCE_GAP: u64 = 2;

/// An action on the engine. Small numbers make collisions frequent.
#[derive(Clone, Debug)]
enum Action {
    Load { slot: u64, weights: u64, cache: u64 },
    Unload { slot: u64 },
    LoadAdapter { slot: u64, adapter: u8, bytes: u64 },
    UnloadAdapter { slot: u64, adapter: u8 },
    StaleFence { back: u64 },
    Submit(Submission),
    Cancel { handle: u64 },
    CompleteFetch { result: u8 },
    AdvanceTime { millis: u64 },
}

#[derive(Clone, Debug)]
struct Submission {
    slot: u64,
    adapter: Option<u8>,
    urgency: Urgency,
    prompt_tokens: u32,
    blocks: Vec<u64>,
    maximum_tokens: u32,
    resume_from: u32,
    deadline_millis: Option<u64>,
}

fn urgency() -> impl Strategy<Value = Urgency> {
    prop_oneof![
        Just(Urgency::Interactive),
        Just(Urgency::Normal),
        Just(Urgency::Batch)
    ]
}

fn submission() -> impl Strategy<Value = Submission> {
    let sizes = (1_u32..60, vec(0_u64..6, 0..4), 0_u32..40, 0_u32..10);
    let rest = (1_u64..4, prop::option::of(0_u8..2), urgency());
    (rest, sizes, prop::option::of(1_u64..2_000)).prop_map(|(rest, sizes, deadline_millis)| {
        Submission {
            slot: rest.0,
            adapter: rest.1,
            urgency: rest.2,
            prompt_tokens: sizes.0,
            blocks: sizes.1,
            maximum_tokens: sizes.2,
            resume_from: sizes.3,
            deadline_millis,
        }
    })
}

fn action() -> impl Strategy<Value = Action> {
    prop_oneof![
        3 => (1_u64..4, 0_u64..700, 50_u64..200)
            .prop_map(|(slot, weights, cache)| Action::Load { slot, weights, cache }),
        2 => (1_u64..4).prop_map(|slot| Action::Unload { slot }),
        2 => (1_u64..4, 0_u8..2, 0_u64..300)
            .prop_map(|(slot, adapter, bytes)| Action::LoadAdapter { slot, adapter, bytes }),
        1 => (1_u64..4, 0_u8..2)
            .prop_map(|(slot, adapter)| Action::UnloadAdapter { slot, adapter }),
        1 => (0_u64..5).prop_map(|back| Action::StaleFence { back }),
        6 => submission().prop_map(Action::Submit),
        1 => (1_u64..40).prop_map(|handle| Action::Cancel { handle }),
        4 => (0_u8..6).prop_map(|result| Action::CompleteFetch { result }),
        4 => (0_u64..1_500).prop_map(|millis| Action::AdvanceTime { millis }),
    ]
}

/// An engine with two accelerators and its recorded outputs.
struct EngineHarness {
    engine: EngineModel,
    now: Timestamp,
    next_fence: u64,
    next_handle: u64,
    fetches: Vec<FetchId>,
    outputs: Vec<EngineOutput>,
    submitted: BTreeMap<u64, Submission>,
}

impl EngineHarness {
    fn new() -> Self {
        let mut settings = small_settings();
        settings.accelerator_bytes = vec![CAPACITY, CAPACITY];
        settings.limits.batch_slots = 4;
        settings.checkpoints.memory_bytes = 900;
        settings.checkpoints.disk_bytes = 1_200;
        EngineHarness {
            engine: EngineModel::new(settings, Timestamp::ZERO),
            now: Timestamp::ZERO,
            next_fence: FENCE_GAP,
            next_handle: 1,
            fetches: Vec::new(),
            outputs: Vec::new(),
            submitted: BTreeMap::new(),
        }
    }

    fn step(&mut self, input: EngineInput) -> Vec<EngineOutput> {
        let outputs = self.engine.step(self.now, input);
        for output in &outputs {
            if let EngineOutput::Fetch { fetch, .. } = output {
                self.fetches.push(*fetch);
            }
        }
        self.outputs.extend(outputs.iter().cloned());
        outputs
    }

    fn order(&mut self, action: OrderAction) {
        let index = self.next_fence;
        self.next_fence += FENCE_GAP;
        self.step(EngineInput::Order(order(index, action)));
    }

    fn apply(&mut self, action: &Action) {
        match action.clone() {
            Action::Load {
                slot,
                weights,
                cache,
            } => {
                let OrderAction::LoadModel(mut order) = load(slot, weights, cache) else {
                    unreachable!("load() returns a model load");
                };
                order.accelerators = if slot == 3 {
                    vec![0, 1]
                } else {
                    vec![slot as u32 - 1]
                };
                order.checkpoint = format!("checkpoint-{slot}");
                self.order(OrderAction::LoadModel(order));
            }
            Action::Unload { slot } => self.order(OrderAction::UnloadModel(SlotId(slot))),
            Action::LoadAdapter {
                slot,
                adapter,
                bytes,
            } => {
                self.order(OrderAction::LoadAdapter(LoadAdapterOrder {
                    slot: SlotId(slot),
                    adapter: adapter_name(adapter),
                    bytes,
                    checkpoint: format!("adapter-{adapter}"),
                }));
            }
            Action::UnloadAdapter { slot, adapter } => {
                self.order(OrderAction::UnloadAdapter(UnloadAdapterOrder {
                    slot: SlotId(slot),
                    adapter: adapter_name(adapter),
                }));
            }
            Action::StaleFence { back } => {
                let highest = self.engine.current_report().highest_fence;
                if highest == LogPosition::ZERO {
                    return;
                }
                let index = self.next_fence.saturating_sub(FENCE_GAP * (back + 1) + 1);
                let role = OrderAction::ChangeRole(EngineRole::Prefill);
                let outputs = self.step(EngineInput::Order(order(index, role)));
                let stale = EngineOutput::OrderResponse(OrderResponse::StaleFence(highest));
                assert!(outputs.contains(&stale));
            }
            Action::Submit(submission) => self.submit(submission),
            Action::Cancel { handle } => {
                self.step(EngineInput::Cancel(RequestHandle(handle)));
            }
            Action::CompleteFetch { result } => self.complete_fetch(result),
            Action::AdvanceTime { millis } => {
                self.now = self.now + Duration::from_millis(millis);
                self.step(EngineInput::Tick);
            }
        }
    }

    fn submit(&mut self, submission: Submission) {
        let handle = self.next_handle;
        self.next_handle += 1;
        self.submitted.insert(handle, submission.clone());
        let mut request = request(handle, submission.slot, submission.maximum_tokens);
        request.adapter = submission.adapter.map(adapter_name);
        request.urgency = submission.urgency;
        request.prompt_tokens = submission.prompt_tokens;
        request.prefix_blocks = submission.blocks;
        request.resume_from = submission.resume_from;
        request.deadline = submission
            .deadline_millis
            .map(|millis| self.now + Duration::from_millis(millis));
        self.step(EngineInput::Submit(request));
    }

    fn complete_fetch(&mut self, result: u8) {
        let Some(fetch) = self.fetches.pop() else {
            return;
        };
        let result = match result {
            0 => FetchResult::Failed("store failed".to_owned()),
            1 => FetchResult::RetryAfter(Duration::from_millis(700)),
            _ => FetchResult::Done,
        };
        self.step(EngineInput::FetchEnded(fetch, result));
    }

    fn run_until_idle(&mut self) {
        loop {
            while !self.fetches.is_empty() {
                self.complete_fetch(2);
            }
            let Some(at) = self.engine.next_wake() else {
                return;
            };
            self.now = self.now.max(at);
            self.step(EngineInput::Tick);
        }
    }
}

fn adapter_name(number: u8) -> AdapterName {
    AdapterName(format!("adapter-{number}"))
}

/// Checks that accelerator and cache memory are not exceeded, and that unloaded slots hold no memory and no
/// requests.
fn check_memory(engine: &EngineModel) -> Result<(), TestCaseError> {
    let report = engine.current_report();
    let audit = engine.audit(Timestamp::ZERO);
    prop_assert!(report.used_bytes.iter().all(|used| *used <= CAPACITY));
    prop_assert!(audit.peak_used_bytes.iter().all(|peak| *peak <= CAPACITY));
    let is_gone = |phase: &EngineSlotPhase| {
        matches!(
            phase,
            EngineSlotPhase::Unloaded | EngineSlotPhase::Failed(_)
        )
    };
    let all_gone = report
        .slots
        .iter()
        .all(|slot| is_gone(&slot.phase) && slot.adapters.iter().all(|one| is_gone(&one.phase)));
    if all_gone {
        prop_assert_eq!(&report.used_bytes, &vec![0, 0]);
    }
    for slot in &report.slots {
        let has_requests = slot.running + slot.waiting > 0;
        prop_assert!(
            !is_gone(&slot.phase) || !has_requests,
            "slot with requests was unloaded"
        );
        let cache = engine.cache_use(slot.slot).unwrap();
        prop_assert!(cache.running_bytes + cache.prefix_bytes <= cache.total_bytes);
    }
    Ok(())
}

#[test]
fn memory_limits_and_fences_hold_under_random_actions() {
    check_property(vec(action(), 1..80), |actions| {
        let mut harness = EngineHarness::new();
        let mut highest = LogPosition::ZERO;
        for action in &actions {
            harness.apply(action);
            check_memory(&harness.engine)?;
            let now_highest = harness.engine.current_report().highest_fence;
            prop_assert!(now_highest >= highest);
            highest = now_highest;
        }
        harness.run_until_idle();
        check_memory(&harness.engine)
    });
}

#[test]
fn every_request_ends_once_without_missing_or_duplicate_tokens() {
    check_property(vec(action(), 1..80), |actions| {
        let mut harness = EngineHarness::new();
        for action in &actions {
            harness.apply(action);
        }
        harness.run_until_idle();
        for (handle, submission) in &harness.submitted {
            check_request(&harness.outputs, *handle, submission)?;
        }
        Ok(())
    });
}

fn check_request(
    outputs: &[EngineOutput],
    handle: u64,
    submission: &Submission,
) -> Result<(), TestCaseError> {
    let own = RequestHandle(handle);
    let refusals = outputs
        .iter()
        .filter(|output| matches!(output, EngineOutput::Refused(one, _) if *one == own));
    let finished: Vec<FinishReason> = outputs
        .iter()
        .filter_map(|output| match output {
            EngineOutput::Finished(one, reason) if *one == own => Some(*reason),
            _ => None,
        })
        .collect();
    let starts = outputs
        .iter()
        .filter(|output| **output == EngineOutput::Started(own))
        .count();
    let refusals = refusals.count();
    prop_assert_eq!(
        refusals + finished.len(),
        1,
        "request {} must end exactly once",
        handle
    );
    prop_assert!(starts <= 1);
    prop_assert!(refusals == 0 || starts == 0, "refused request was started");
    let emitted = positions(outputs, handle);
    let end = submission.maximum_tokens;
    let expected: Vec<u32> = (submission.resume_from.min(end)..end).collect();
    if finished == [FinishReason::Complete] {
        prop_assert_eq!(emitted, expected);
    } else {
        prop_assert!(expected.starts_with(&emitted));
    }
    Ok(())
}

#[test]
fn model_is_deterministic() {
    check_property(vec(action(), 1..60), |actions| {
        let run = || {
            let mut harness = EngineHarness::new();
            for action in &actions {
                harness.apply(action);
            }
            harness.run_until_idle();
            (
                harness.outputs,
                harness.engine.current_report(),
                harness.engine.audit(harness.now),
            )
        };
        prop_assert_eq!(run(), run());
        Ok(())
    });
}

#[test]
fn waiting_requests_start_by_urgency_then_arrival() {
    check_property(vec(urgency(), 1..4), |urgencies| {
        let mut settings = small_settings();
        settings.limits.batch_slots = 1;
        let mut driver = Driver::loaded(settings);
        let mut first = request(100, 1, 3);
        first.urgency = Urgency::Interactive;
        driver.input(EngineInput::Submit(first));
        for (handle, urgency) in (0_u64..).zip(&urgencies) {
            let mut waiting = request(handle, 1, 3);
            waiting.urgency = *urgency;
            driver.input(EngineInput::Submit(waiting));
        }
        let started: Vec<u64> = driver
            .run_until_idle()
            .iter()
            .filter_map(|output| match output {
                EngineOutput::Started(handle) => Some(handle.0),
                _ => None,
            })
            .collect();
        let mut expected: Vec<u64> = (0..urgencies.len() as u64).collect();
        expected.sort_by_key(|handle| urgencies[*handle as usize]);
        prop_assert_eq!(started, expected);
        Ok(())
    });
}
