//! Handling and logging of engine responses.

use crate::engines::Heard;
use crate::fleet::Fleet;
use crate::interface::CallResult;
use crate::observed_state::{self, Word};
use millpass_proto::{CallId, InstanceId, InstructionResult, Timestamp};
use std::collections::BTreeSet;

impl Fleet {
    /// Returns whether this instruction is still awaiting its response and may be sent.
    pub fn awaits_response(&self, instance: &InstanceId, call: CallId) -> bool {
        let engine = self.engines.engines.get(instance);
        engine.is_some_and(|engine| engine.awaits_order(call))
    }

    /// Applies the response to a call to an engine.
    pub fn handle_call_result(&mut self, now: Timestamp, answered: &CallResult) {
        let CallResult {
            instance,
            result: answer,
            ..
        } = answered;
        let word = Word::Answer(answered.call);
        let Some(engine) = self.engines.engines.get_mut(instance) else {
            return;
        };
        let before = observed_state::held(engine);
        let under_way = engine.pending.as_ref().map(|pending| pending.call.0);
        if *answer == InstructionResult::OtherRun && engine.awaits(answered.call) {
            self.load_ended(now, instance);
            self.forget(instance, "replaced");
            return;
        }
        let heard = engine.answered(now, answered.call, answer);
        if matches!(answer, InstructionResult::State(_)) {
            engine.rests_on(now, word);
        }
        self.registry.serves(instance, engine.serving());
        self.dirty = true;
        let outcome = match answer {
            InstructionResult::State(state) => format!("state:{}", state.revision),
            other => format!("{other:?}"),
        };
        let pairs = vec![
            ("instance", instance.0.clone()),
            ("call", answered.call.0.to_string()),
            ("answer", outcome),
            ("under_way", observed_state::or_none(under_way)),
            ("awaited", (heard == Heard::Awaited).to_string()),
            ("waited_ms", answered.queue_time.as_millis().to_string()),
            ("took_ms", answered.response_time.as_millis().to_string()),
        ];
        self.event("engine-answered", pairs);
        self.log_lost(instance, word, &before);
    }

    /// Logs what a response removed from the recorded state of an engine. Announcements are not
    /// logged: they remove nothing from a known state, and there are thousands a second.
    fn log_lost(
        &mut self,
        instance: &InstanceId,
        word: Word,
        before: &BTreeSet<observed_state::Held>,
    ) {
        let Some(engine) = self.engines.engines.get(instance) else {
            return;
        };
        let revision = engine.revision;
        let lost: BTreeSet<_> = before
            .difference(&observed_state::held(engine))
            .cloned()
            .collect();
        if lost.is_empty() {
            return;
        }
        let pairs = vec![
            ("instance", instance.0.clone()),
            ("lost", observed_state::list(&lost)),
            ("by", word.to_string()),
            ("revision", observed_state::or_none(revision)),
        ];
        self.event("engine-lost", pairs);
    }
}
