//! Which outstanding orders an engine's report shows as done.
//!
//! An order is settled only by a report of the run that it is for, whose highest accepted fence has
//! reached the order's, and which shows the slot or adapter under exactly that fence: reports lag,
//! and an older one must not free memory.

use crate::State;
use millpass_proto::{
    AdapterName, Command, EngineOrder, EngineReport, EngineSlotPhase, EngineSlotReport,
    LogPosition, OrderAction, OrderResult, OrderSettlement, RoleSettlement, SlotId,
};

impl State {
    /// The commands that settle what a report shows as done, with the fence of each order.
    pub fn settlements(&self, report: &EngineReport) -> Vec<(LogPosition, Command)> {
        self.outstanding_orders_of(&report.backend)
            .iter()
            .filter(|order| order.incarnation == report.incarnation)
            // A report taken before the engine accepted the order says nothing about it.
            .filter(|order| report.highest_fence >= order.fence)
            .filter_map(|order| Some((order.fence, settlement(report, order)?)))
            .collect()
    }
}

fn settlement(report: &EngineReport, order: &EngineOrder) -> Option<Command> {
    if let OrderAction::ChangeRole(role) = &order.action {
        return (report.role == *role).then(|| role_settlement(order));
    }
    let (slot, adapter) = target(&order.action)?;
    let phase = phase_under_fence(report, order.fence, slot, adapter)?;
    Some(Command::SettleOrder(OrderSettlement {
        slot,
        adapter: adapter.cloned(),
        backend: order.backend.clone(),
        incarnation: order.incarnation,
        fence: order.fence,
        result: terminal(phase)?,
    }))
}

fn role_settlement(order: &EngineOrder) -> Command {
    Command::SettleRole(RoleSettlement {
        backend: order.backend.clone(),
        incarnation: order.incarnation,
        fence: order.fence,
    })
}

/// Slot and adapter that an order is about; none for an order that concerns no slot.
fn target(action: &OrderAction) -> Option<(SlotId, Option<&AdapterName>)> {
    match action {
        OrderAction::LoadModel(order) => Some((order.slot, None)),
        OrderAction::UnloadModel(slot) => Some((*slot, None)),
        OrderAction::LoadAdapter(order) => Some((order.slot, Some(&order.adapter))),
        OrderAction::UnloadAdapter(order) => Some((order.slot, Some(&order.adapter))),
        OrderAction::ChangeRole(_) => None,
    }
}

fn phase_under_fence<'a>(
    report: &'a EngineReport,
    fence: LogPosition,
    slot: SlotId,
    adapter: Option<&AdapterName>,
) -> Option<&'a EngineSlotPhase> {
    let slot: &EngineSlotReport = report.slots.iter().find(|seen| seen.slot == slot)?;
    let Some(adapter) = adapter else {
        return (slot.fence == fence).then_some(&slot.phase);
    };
    let seen = slot.adapters.iter().find(|seen| seen.adapter == *adapter)?;
    (seen.fence == fence).then_some(&seen.phase)
}

fn terminal(phase: &EngineSlotPhase) -> Option<OrderResult> {
    match phase {
        EngineSlotPhase::Loaded => Some(OrderResult::Loaded),
        EngineSlotPhase::Unloaded => Some(OrderResult::Unloaded),
        EngineSlotPhase::Failed(reason) => Some(OrderResult::Failed(reason.clone())),
        EngineSlotPhase::Loading | EngineSlotPhase::Unloading => None,
    }
}
