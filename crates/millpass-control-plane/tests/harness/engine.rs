//! An engine that takes fenced orders and reports.

use millpass_proto::*;
use std::collections::BTreeMap;

/// An engine. Loads end only when the test says so.
pub struct TestEngine {
    pub backend: BackendName,
    pub zone: ZoneName,
    pub incarnation: Incarnation,
    pub sequence: u64,
    pub highest: LogPosition,
    pub slots: BTreeMap<SlotId, EngineSlotReport>,
    /// Whether orders reach it at all.
    pub answers: bool,
    /// Whether its answers are lost.
    pub loses_answers: bool,
    pub accepted: Vec<EngineOrder>,
}

impl TestEngine {
    pub fn new(name: &str, zone: &str, incarnation: u64) -> TestEngine {
        TestEngine {
            backend: BackendName::from(name),
            zone: ZoneName::from(zone),
            incarnation: Incarnation(incarnation),
            sequence: 0,
            highest: LogPosition::ZERO,
            slots: BTreeMap::new(),
            answers: true,
            loses_answers: false,
            accepted: Vec::new(),
        }
    }

    /// Takes an order; none when it does not answer.
    pub fn order(&mut self, order: &EngineOrder) -> Option<OrderResponse> {
        if !self.answers {
            return None;
        }
        let answer = self.take(order);
        (!self.loses_answers).then_some(answer)
    }

    fn take(&mut self, order: &EngineOrder) -> OrderResponse {
        if order.incarnation != self.incarnation {
            return OrderResponse::WrongIncarnation(self.incarnation);
        }
        if order.fence < self.highest {
            return OrderResponse::StaleFence(self.highest);
        }
        if order.fence > self.highest {
            self.highest = order.fence;
            self.accepted.push(order.clone());
            self.begin(order);
        }
        OrderResponse::Accepted
    }

    fn begin(&mut self, order: &EngineOrder) {
        match &order.action {
            OrderAction::LoadModel(load) => {
                let slot = EngineSlotReport {
                    slot: load.slot,
                    model: load.model.clone(),
                    version: load.version.clone(),
                    fence: order.fence,
                    phase: EngineSlotPhase::Loading,
                    adapters: Vec::new(),
                    running: 0,
                    waiting: 0,
                };
                self.slots.insert(load.slot, slot);
            }
            OrderAction::UnloadModel(slot) => {
                if let Some(slot) = self.slots.get_mut(slot) {
                    slot.fence = order.fence;
                    slot.phase = EngineSlotPhase::Unloaded;
                }
            }
            _ => {}
        }
    }

    /// Ends all loads.
    pub fn finish_loads(&mut self) {
        for slot in self.slots.values_mut() {
            if slot.phase == EngineSlotPhase::Loading {
                slot.phase = EngineSlotPhase::Loaded;
            }
        }
    }

    /// The process restarts: nothing is loaded any more.
    pub fn restart(&mut self, incarnation: u64) {
        self.incarnation = Incarnation(incarnation);
        self.sequence = 0;
        self.highest = LogPosition::ZERO;
        self.slots.clear();
    }

    /// A fresh report.
    pub fn report(&mut self) -> EngineReport {
        self.sequence += 1;
        EngineReport {
            backend: self.backend.clone(),
            incarnation: self.incarnation,
            zone: self.zone.clone(),
            role: EngineRole::Mixed,
            sequence: self.sequence,
            highest_fence: self.highest,
            accelerator_bytes: vec![8_000, 8_000],
            used_bytes: vec![0, 0],
            slots: self.slots.values().cloned().collect(),
            checkpoints: Vec::new(),
        }
    }
}
