//! Orders that a report shows as done, as the control process reads them.

use millpass_proto::{
    AdapterName, Command, EngineOrder, EngineReport, EngineSlotPhase, OrderAction, OrderResult,
    OrderSettlement, SlotId,
};
use millpass_state::State;

/// Commands that settle what the report shows as done under its latest order.
pub fn settlements(report: &EngineReport, state: &State) -> Vec<Command> {
    let orders = state.outstanding_orders_of(&report.backend);
    let accepted = orders
        .iter()
        .filter(|order| report.highest_fence >= order.fence);
    accepted
        .filter_map(|order| settlement(report, order))
        .collect()
}

fn settlement(report: &EngineReport, order: &EngineOrder) -> Option<Command> {
    let (slot, adapter) = part_of(&order.action)?;
    let result = result_under(report, order, slot, adapter)?;
    Some(Command::SettleOrder(OrderSettlement {
        slot,
        adapter: adapter.cloned(),
        backend: order.backend.clone(),
        incarnation: order.incarnation,
        fence: order.fence,
        result,
    }))
}

/// Slot and adapter that an order is about; the experiment changes no roles.
fn part_of(action: &OrderAction) -> Option<(SlotId, Option<&AdapterName>)> {
    match action {
        OrderAction::LoadModel(order) => Some((order.slot, None)),
        OrderAction::UnloadModel(slot) => Some((*slot, None)),
        OrderAction::LoadAdapter(order) => Some((order.slot, Some(&order.adapter))),
        OrderAction::UnloadAdapter(order) => Some((order.slot, Some(&order.adapter))),
        OrderAction::ChangeRole(_) => None,
    }
}

fn result_under(
    report: &EngineReport,
    order: &EngineOrder,
    slot: SlotId,
    adapter: Option<&AdapterName>,
) -> Option<OrderResult> {
    let seen = report.slots.iter().find(|seen| seen.slot == slot)?;
    let (fence, phase) = match adapter {
        None => (seen.fence, &seen.phase),
        Some(name) => {
            let mut adapters = seen.adapters.iter();
            let part = adapters.find(|part| part.adapter == *name)?;
            (part.fence, &part.phase)
        }
    };
    if fence != order.fence {
        return None;
    }
    match phase {
        EngineSlotPhase::Loaded => Some(OrderResult::Loaded),
        EngineSlotPhase::Unloaded => Some(OrderResult::Unloaded),
        EngineSlotPhase::Failed(reason) => Some(OrderResult::Failed(reason.clone())),
        EngineSlotPhase::Loading | EngineSlotPhase::Unloading => None,
    }
}
