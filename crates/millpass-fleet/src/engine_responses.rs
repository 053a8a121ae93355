//! Handling and logging of engine responses.

use crate::engines::ResponseMatch;
use crate::fleet::Fleet;
use crate::interface::CallResult;
use crate::observed_state::{self, Evidence};
use millpass_proto::{CallId, InstanceId, InstructionResult, Timestamp};
use std::collections::BTreeSet;

impl Fleet {
    /// Returns whether this instruction is still awaiting its response and may be sent.
    pub fn awaits_response(&self, instance: &InstanceId, call: CallId) -> bool {
        let engine = self.engines.engines.get(instance);
        engine.is_some_and(|engine| engine.awaits_order_response(call))
    }

    /// Applies the response to a call to an engine.
    pub fn handle_call_result(&mut self, now: Timestamp, call_result: &CallResult) {
        let CallResult {
            instance, result, ..
        } = call_result;
        let evidence = Evidence::Response(call_result.call);
        let Some(engine) = self.engines.engines.get_mut(instance) else {
            return;
        };
        let held_before = observed_state::held_items(engine);
        let pending_call = engine.pending.as_ref().map(|pending| pending.call.0);
        if *result == InstructionResult::OtherRun && engine.awaits_response(call_result.call) {
            self.attribute_crash_to_load(now, instance);
            self.remove_instance(instance, "replaced");
            return;
        }
        let matched = engine.handle_response(now, call_result.call, result);
        if matches!(result, InstructionResult::State(_)) {
            engine.set_evidence(now, evidence);
        }
        self.registry
            .set_served_models(instance, engine.served_models());
        self.dirty = true;
        let outcome = match result {
            InstructionResult::State(state) => format!("state:{}", state.revision),
            other => format!("{other:?}"),
        };
        let pairs = vec![
            ("instance", instance.0.clone()),
            ("call", call_result.call.0.to_string()),
            ("answer", outcome),
            ("under_way", observed_state::format_or_none(pending_call)),
            ("awaited", (matched == ResponseMatch::Pending).to_string()),
            ("waited_ms", call_result.queue_time.as_millis().to_string()),
            ("took_ms", call_result.response_time.as_millis().to_string()),
        ];
        self.event("engine-answered", pairs);
        self.log_removed_items(instance, evidence, &held_before);
    }

    /// Logs what a response removed from the recorded state of an engine. Announcements are not
    /// logged: they remove nothing from a known state, and there are thousands a second.
    fn log_removed_items(
        &mut self,
        instance: &InstanceId,
        evidence: Evidence,
        held_before: &BTreeSet<observed_state::Item>,
    ) {
        let Some(engine) = self.engines.engines.get(instance) else {
            return;
        };
        let revision = engine.revision;
        let removed: BTreeSet<_> = held_before
            .difference(&observed_state::held_items(engine))
            .cloned()
            .collect();
        if removed.is_empty() {
            return;
        }
        let pairs = vec![
            ("instance", instance.0.clone()),
            ("lost", observed_state::format_items(&removed)),
            ("by", evidence.to_string()),
            ("revision", observed_state::format_or_none(revision)),
        ];
        self.event("engine-lost", pairs);
    }
}
