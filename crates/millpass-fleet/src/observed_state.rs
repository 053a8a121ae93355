//! Recorded engine state as log fields: held models and adapters, and the evidence for them.

use crate::engines::Engine;
use millpass_proto::{AdapterName, CallId, HeldModel, ModelName, Timestamp};
use std::collections::BTreeSet;

/// Source of the recorded state of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Evidence {
    /// Response to this call.
    Response(CallId),
    /// An instruction's expected duration has elapsed.
    Elapsed,
}

impl std::fmt::Display for Evidence {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Evidence::Response(call) => write!(formatter, "answer:{}", call.0),
            Evidence::Elapsed => formatter.write_str("time"),
        }
    }
}

/// A model, or an adapter of a model, held by an engine.
pub(crate) type Item = (ModelName, Option<AdapterName>);

pub(crate) fn held_items(engine: &Engine) -> BTreeSet<Item> {
    let models = engine.held.iter().map(|held| (held.model.clone(), None));
    models.chain(held_adapters(&engine.held)).collect()
}

fn held_adapters(held: &[HeldModel]) -> impl Iterator<Item = Item> {
    held.iter().flat_map(|held| {
        let adapters = held.adapters.iter();
        adapters.map(|adapter| (held.model.clone(), Some(adapter.clone())))
    })
}

/// Formats items as comma-separated `MODEL` or `MODEL/ADAPTER`; `none` if empty.
pub(crate) fn format_items(held: &BTreeSet<Item>) -> String {
    let name = |(model, adapter): &Item| match adapter {
        None => model.0.clone(),
        Some(adapter) => format!("{}/{}", model.0, adapter.as_str()),
    };
    let names: Vec<String> = held.iter().map(name).collect();
    match names.is_empty() {
        true => "none".to_owned(),
        false => names.join(","),
    }
}

pub(crate) fn format_or_none(number: Option<u64>) -> String {
    number.map_or_else(|| "none".to_owned(), |number| number.to_string())
}

/// Returns the recorded engine state as key-value pairs of a log event.
pub(crate) fn log_pairs(now: Timestamp, engine: &Engine) -> Vec<(&'static str, String)> {
    let mut items = held_items(engine);
    let loading = engine.loading_adapters().iter().cloned();
    items.extend(loading.map(|(model, adapter)| (model, Some(adapter))));
    let mut pairs = vec![("believed", format_items(&items))];
    if let Some((evidence, at)) = engine.evidence() {
        pairs.push(("from", evidence.to_string()));
        pairs.push(("age_ms", now.since(at).as_millis().to_string()));
    }
    pairs
}
