//! An engine that accepts fenced orders and reports.

use millpass_proto::*;
use std::collections::BTreeMap;

/// An engine whose loads finish only on request of the test.
pub struct TestEngine {
    pub backend: BackendName,
    pub zone: ZoneName,
    pub incarnation: Incarnation,
    pub sequence: u64,
    pub highest: LogPosition,
    pub slots: BTreeMap<SlotId, EngineSlotReport>,
    /// Whether orders reach it.
    pub responds: bool,
    /// Whether its responses are lost.
    pub drops_responses: bool,
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
            responds: true,
            drops_responses: false,
            accepted: Vec::new(),
        }
    }

    /// Handles an order. Returns `None` if no response is received.
    pub fn order(&mut self, order: &EngineOrder) -> Option<OrderResponse> {
        if !self.responds {
            return None;
        }
        let response = self.apply(order);
        (!self.drops_responses).then_some(response)
    }

    fn apply(&mut self, order: &EngineOrder) -> OrderResponse {
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

    /// Finishes all loads.
    pub fn finish_loads(&mut self) {
        for slot in self.slots.values_mut() {
            if slot.phase == EngineSlotPhase::Loading {
                slot.phase = EngineSlotPhase::Loaded;
            }
        }
    }

    /// Restarts the process with nothing loaded.
    pub fn restart(&mut self, incarnation: u64) {
        self.incarnation = Incarnation(incarnation);
        self.sequence = 0;
        self.highest = LogPosition::ZERO;
        self.slots.clear();
    }

    /// Returns a new report.
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
