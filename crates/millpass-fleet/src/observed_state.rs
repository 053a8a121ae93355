//! Recorded engine state as log fields: held models and adapters, and the evidence for them.

use crate::engines::Engine;
use millpass_proto::{AdapterName, CallId, HeldModel, ModelName, Timestamp};
use std::collections::BTreeSet;

/// Source of the recorded state of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Word {
    /// Response to this call.
    Answer(CallId),
    /// An instruction's expected duration has elapsed.
    Time,
}

impl std::fmt::Display for Word {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Word::Answer(call) => write!(formatter, "answer:{}", call.0),
            Word::Time => formatter.write_str("time"),
        }
    }
}

/// A model, or an adapter of a model, held by an engine.
pub(crate) type Held = (ModelName, Option<AdapterName>);

pub(crate) fn held(engine: &Engine) -> BTreeSet<Held> {
    let models = engine.held.iter().map(|held| (held.model.clone(), None));
    models.chain(adapters(&engine.held)).collect()
}

fn adapters(held: &[HeldModel]) -> impl Iterator<Item = Held> {
    held.iter().flat_map(|held| {
        let adapters = held.adapters.iter();
        adapters.map(|adapter| (held.model.clone(), Some(adapter.clone())))
    })
}

/// Formats items as comma-separated `MODEL` or `MODEL/ADAPTER`; `none` if empty.
pub(crate) fn list(held: &BTreeSet<Held>) -> String {
    let name = |(model, adapter): &Held| match adapter {
        None => model.0.clone(),
        Some(adapter) => format!("{}/{}", model.0, adapter.as_str()),
    };
    let names: Vec<String> = held.iter().map(name).collect();
    match names.is_empty() {
        true => "none".to_owned(),
        false => names.join(","),
    }
}

pub(crate) fn or_none(number: Option<u64>) -> String {
    number.map_or_else(|| "none".to_owned(), |number| number.to_string())
}

/// Returns the recorded engine state as key-value pairs of a log event.
pub(crate) fn pairs(now: Timestamp, engine: &Engine) -> Vec<(&'static str, String)> {
    let mut believed = held(engine);
    let coming = engine.coming().iter().cloned();
    believed.extend(coming.map(|(model, adapter)| (model, Some(adapter))));
    let mut pairs = vec![("believed", list(&believed))];
    if let Some((word, at)) = engine.basis() {
        pairs.push(("from", word.to_string()));
        pairs.push(("age_ms", now.since(at).as_millis().to_string()));
    }
    pairs
}
