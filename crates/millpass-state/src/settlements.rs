//! Settlement of outstanding orders from engine reports.
//!
//! An order is settled only by a report of its incarnation whose highest accepted fence has reached
//! the order's fence and that shows the slot or adapter under exactly that fence. Otherwise a stale
//! report could free memory that is still in use.

use crate::State;
use millpass_proto::{
    AdapterName, Command, EngineOrder, EngineReport, EngineSlotPhase, EngineSlotReport,
    LogPosition, OrderAction, OrderResult, OrderSettlement, RoleSettlement, SlotId,
};

impl State {
    /// Returns the commands that settle the orders completed according to a report, with their fences.
    pub fn settlements(&self, report: &EngineReport) -> Vec<(LogPosition, Command)> {
        self.outstanding_orders_of(&report.backend)
            .iter()
            .filter(|order| order.incarnation == report.incarnation)
            // The report must be from after the engine accepted the order.
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

/// Returns the slot and adapter of an order, or `None` if it does not concern a slot.
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
    let slot: &EngineSlotReport = report.slots.iter().find(|reported| reported.slot == slot)?;
    let Some(adapter) = adapter else {
        return (slot.fence == fence).then_some(&slot.phase);
    };
    let reported = slot
        .adapters
        .iter()
        .find(|reported| reported.adapter == *adapter)?;
    (reported.fence == fence).then_some(&reported.phase)
}

fn terminal(phase: &EngineSlotPhase) -> Option<OrderResult> {
    match phase {
        EngineSlotPhase::Loaded => Some(OrderResult::Loaded),
        EngineSlotPhase::Unloaded => Some(OrderResult::Unloaded),
        EngineSlotPhase::Failed(reason) => Some(OrderResult::Failed(reason.clone())),
        EngineSlotPhase::Loading | EngineSlotPhase::Unloading => None,
    }
}
