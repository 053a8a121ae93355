//! Documents with one service of engines, named `text`.

use millpass_fleet::{DocumentHistory, GatewayContext};
use millpass_proto::*;

/// A context without members, departures and documents.
pub const EMPTY_CONTEXT: GatewayContext<'static> = GatewayContext {
    as_of: 0,
    members: &Vec::new,
    departed: &|_| Vec::new(),
    documents: &DocumentHistory::new(),
};

/// Capacity of the engines of a document, and rate limit of the weight store.
pub struct EngineCapacity {
    pub weights_kilobytes: u64,
    pub adapter_slots: u32,
    pub milliloads_per_second: u64,
}

/// Returns a model that loads from the weight store in two seconds.
pub fn model(name: &str, weights_kilobytes: u64, adapters: u32) -> EngineModelSpec {
    EngineModelSpec {
        name: name.into(),
        weights_kilobytes,
        load_millis: 2_000,
        disk_load_millis: 800,
        memory_load_millis: 400,
        adapters,
        adapter_kilobytes: 1,
    }
}

pub fn engine_document(
    models: Vec<EngineModelSpec>,
    capacity: &EngineCapacity,
) -> DeploymentDocument {
    DeploymentDocument {
        version: 1,
        routes: Vec::new(),
        services: vec![ServiceSpec {
            name: "text".into(),
            health_path: String::new(),
            maximum_connections: 0,
            engine: Some(EngineSpec {
                slots: 8,
                cache_tokens: 1_000,
                weights_kilobytes: capacity.weights_kilobytes,
                adapter_slots: capacity.adapter_slots,
                milliloads_per_second: capacity.milliloads_per_second,
                models,
            }),
        }],
        limits: CallerLimits {
            header_bytes: 0,
            body_bytes: 0,
            header_millis: 0,
            idle_millis: 0,
        },
        tenants: Vec::new(),
    }
}
