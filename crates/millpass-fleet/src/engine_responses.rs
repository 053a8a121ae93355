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
    pub fn handle_call_result(&mut self, now: Timestamp, answered: &CallResult) {
        let CallResult {
            instance,
            result: answer,
            ..
        } = answered;
        let word = Evidence::Response(answered.call);
        let Some(engine) = self.engines.engines.get_mut(instance) else {
            return;
        };
        let before = observed_state::held_items(engine);
        let under_way = engine.pending.as_ref().map(|pending| pending.call.0);
        if *answer == InstructionResult::OtherRun && engine.awaits_response(answered.call) {
            self.attribute_crash_to_load(now, instance);
            self.remove_instance(instance, "replaced");
            return;
        }
        let heard = engine.handle_response(now, answered.call, answer);
        if matches!(answer, InstructionResult::State(_)) {
            engine.set_evidence(now, word);
        }
        self.registry
            .set_served_models(instance, engine.served_models());
        self.dirty = true;
        let outcome = match answer {
            InstructionResult::State(state) => format!("state:{}", state.revision),
            other => format!("{other:?}"),
        };
        let pairs = vec![
            ("instance", instance.0.clone()),
            ("call", answered.call.0.to_string()),
            ("answer", outcome),
            ("under_way", observed_state::format_or_none(under_way)),
            ("awaited", (heard == ResponseMatch::Pending).to_string()),
            ("waited_ms", answered.queue_time.as_millis().to_string()),
            ("took_ms", answered.response_time.as_millis().to_string()),
        ];
        self.event("engine-answered", pairs);
        self.log_removed_items(instance, word, &before);
    }

    /// Logs what a response removed from the recorded state of an engine. Announcements are not
    /// logged: they remove nothing from a known state, and there are thousands a second.
    fn log_removed_items(
        &mut self,
        instance: &InstanceId,
        word: Evidence,
        before: &BTreeSet<observed_state::Item>,
    ) {
        let Some(engine) = self.engines.engines.get(instance) else {
            return;
        };
        let revision = engine.revision;
        let lost: BTreeSet<_> = before
            .difference(&observed_state::held_items(engine))
            .cloned()
            .collect();
        if lost.is_empty() {
            return;
        }
        let pairs = vec![
            ("instance", instance.0.clone()),
            ("lost", observed_state::format_items(&lost)),
            ("by", word.to_string()),
            ("revision", observed_state::format_or_none(revision)),
        ];
        self.event("engine-lost", pairs);
    }
}
