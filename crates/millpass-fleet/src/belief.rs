//! What the leader believes of an engine, in words for the log: what it holds, at which count of orders, and which word
//! that rests on.

use crate::engines::Engine;
use millpass_proto::{AdapterName, CallId, HeldModel, ModelName, Timestamp};
use std::collections::BTreeSet;

/// A word that changed what is believed of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Word {
    /// The answer to this call.
    Answer(CallId),
    /// No word: the time that an instruction takes has passed.
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

/// A model, or an adapter of it, that an engine holds.
pub(crate) type Held = (ModelName, Option<AdapterName>);

/// What the engine is believed to hold.
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

/// `MODEL` or `MODEL/ADAPTER`, joined by commas; `none` for nothing.
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

/// A number, or `none`.
pub(crate) fn or_none(number: Option<u64>) -> String {
    number.map_or_else(|| "none".to_owned(), |number| number.to_string())
}

/// What is believed of an engine, as pairs of a log line.
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
