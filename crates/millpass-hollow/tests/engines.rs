//! Hollow engines enforce fences.

use millpass_hollow::engines;
use millpass_proto::*;
use std::time::Duration;

fn load(fence: u64, slot: u64) -> EngineOrder {
    EngineOrder {
        fence: LogPosition {
            term: 1,
            index: fence,
        },
        backend: "engine-00000".into(),
        incarnation: Incarnation(1),
        action: OrderAction::LoadModel(LoadModelOrder {
            slot: SlotId(slot),
            model: "model-000".into(),
            version: "v1".into(),
            accelerators: vec![0],
            weights_bytes: 1,
            cache_bytes: 1,
            checkpoint: "model-000/v1".to_owned(),
        }),
    }
}

#[test]
fn an_order_below_the_highest_fence_is_rejected() {
    let handle = engines::start(1, Duration::ZERO, 0).expect("engines");
    let engines = &handle.engines;
    assert_eq!(engines.handle_order(&load(7, 7)), OrderResponse::Accepted);
    assert_eq!(engines.handle_order(&load(7, 7)), OrderResponse::Accepted);
    let highest = LogPosition { term: 1, index: 7 };
    assert_eq!(
        engines.handle_order(&load(5, 5)),
        OrderResponse::StaleFence(highest)
    );
    let name = "engine-00000".into();
    let report = engines.report(&name, "zone-0".into()).expect("report");
    let slots: Vec<SlotId> = report.slots.iter().map(|slot| slot.slot).collect();
    assert_eq!(slots, [SlotId(7)]);
    assert_eq!(report.slots[0].phase, EngineSlotPhase::Loaded);
    assert_eq!(report.highest_fence, highest);
}
