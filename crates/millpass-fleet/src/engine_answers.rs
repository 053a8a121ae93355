//! Answers to calls to engines, as the leader takes and logs them.

use crate::belief::{self, Word};
use crate::engines::Heard;
use crate::fleet::Fleet;
use crate::interface::CallAnswer;
use millpass_proto::{CallId, InstanceId, InstructionResult, Timestamp};
use std::collections::BTreeSet;

impl Fleet {
    /// Whether this call, an instruction, is still to be made.
    pub fn awaits(&self, instance: &InstanceId, call: CallId) -> bool {
        let engine = self.engines.engines.get(instance);
        engine.is_some_and(|engine| engine.awaits_order(call))
    }

    /// Takes the answer of an engine.
    pub fn answered(&mut self, now: Timestamp, answered: &CallAnswer) {
        let CallAnswer {
            instance, answer, ..
        } = answered;
        let word = Word::Answer(answered.call);
        let Some(engine) = self.engines.engines.get_mut(instance) else {
            return;
        };
        let before = belief::held(engine);
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
            ("under_way", belief::or_none(under_way)),
            ("awaited", (heard == Heard::Awaited).to_string()),
            ("waited_ms", answered.waited.as_millis().to_string()),
            ("took_ms", answered.took.as_millis().to_string()),
        ];
        self.event("engine-answered", pairs);
        self.log_lost(instance, word, &before);
    }

    /// Logs what an answer took out of what an engine was believed to hold. Announcements take nothing out of a state that
    /// is known; they come by the thousand a second.
    fn log_lost(&mut self, instance: &InstanceId, word: Word, before: &BTreeSet<belief::Held>) {
        let Some(engine) = self.engines.engines.get(instance) else {
            return;
        };
        let revision = engine.revision;
        let lost: BTreeSet<_> = before.difference(&belief::held(engine)).cloned().collect();
        if lost.is_empty() {
            return;
        }
        let pairs = vec![
            ("instance", instance.0.clone()),
            ("lost", belief::list(&lost)),
            ("by", word.to_string()),
            ("revision", belief::or_none(revision)),
        ];
        self.event("engine-lost", pairs);
    }
}
