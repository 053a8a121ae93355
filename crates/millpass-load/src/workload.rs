//! Trace parameters and the named traces.

use serde::{Deserialize, Serialize};

/// How the rate of steady arrivals changes over the trace.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum RateShape {
    /// Constant rate.
    Constant,
    /// A sine around the mean rate, starting at its lowest point.
    Diurnal {
        /// Period, in seconds.
        period_seconds: f64,
        /// Amplitude relative to the mean, 0 to 1.
        swing: f64,
    },
    /// The steady rate with one triangular peak.
    Peak {
        /// Middle of the peak, in seconds from the start.
        at_seconds: f64,
        /// Half width of the peak, in seconds.
        half_width_seconds: f64,
        /// Rate at the top as a multiple of the steady rate.
        height: f64,
    },
}

/// Simultaneous requests at all routers for models that are not loaded.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// Start time, in seconds from the start of the trace.
    pub at_seconds: f64,
    /// Number of models; the least popular ones are used.
    pub models: usize,
    /// Requests for each of them at each router.
    pub requests_per_router: usize,
    /// Time over which they arrive, in seconds.
    pub spread_seconds: f64,
}

/// Relative weights of request kinds; need not sum to 1.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KindMix {
    /// Text completions.
    pub completion: f64,
    /// Chat completions.
    pub chat: f64,
    /// Web page reads.
    pub web_read: f64,
    /// Non-idempotent web requests.
    pub web_write: f64,
}

/// Relative weights of urgencies.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UrgencyMix {
    /// Weight of interactive requests.
    pub interactive: f64,
    /// Weight of normal requests.
    pub normal: f64,
    /// Weight of batch requests.
    pub batch: f64,
}

/// Deadlines by urgency, in milliseconds from the time a request is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deadlines {
    /// Of interactive requests.
    pub interactive_millis: u64,
    /// Of normal requests.
    pub normal_millis: u64,
    /// Of batch requests.
    pub batch_millis: u64,
}

/// Parameters of a trace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workload {
    /// Name.
    pub name: String,
    /// Length in seconds.
    pub duration_seconds: f64,
    /// Mean steady arrival rate over all routers.
    pub requests_per_second: f64,
    /// Change of the steady rate over the trace.
    pub shape: RateShape,
    /// Bursts of requests for cold models.
    pub bursts: Vec<Burst>,
    /// Exponent of the Zipf law of model popularity; 0 is uniform.
    pub model_exponent: f64,
    /// Exponent of the Zipf law of tenants' activity.
    pub tenant_exponent: f64,
    /// Weights of request kinds.
    pub kinds: KindMix,
    /// Weights of the urgencies of model requests.
    pub urgencies: UrgencyMix,
    /// Deadlines.
    pub deadlines: Deadlines,
    /// Share of model requests that are streamed, 0 to 1.
    pub streamed_share: f64,
    /// Share of model requests with an adapter, 0 to 1.
    pub adapter_share: f64,
    /// Share of non-idempotent requests sent twice with the same key, 0 to 1.
    pub repeat_share: f64,
    /// Fewest tokens requested.
    pub minimum_tokens: u32,
    /// Most tokens requested.
    pub maximum_tokens: u32,
    /// Words of the prompt.
    pub prompt_words: u32,
}

/// Names accepted by [`Workload::named`].
pub const NAMED_WORKLOADS: [&str; 2] = ["burst-peak", "uneven-batch"];

impl Workload {
    /// Returns the named trace, scaled to this duration; `None` if the name is unknown.
    pub fn named(name: &str, duration_seconds: f64) -> Option<Self> {
        match name {
            "burst-peak" => Some(Self::burst_peak(duration_seconds)),
            "uneven-batch" => Some(Self::uneven_batch(duration_seconds)),
            _ => None,
        }
    }

    /// Returns a trace with bursts for cold models at all routers, one peak of the request rate
    /// and non-idempotent web requests.
    pub fn burst_peak(duration_seconds: f64) -> Self {
        Workload {
            name: "burst-peak".to_owned(),
            duration_seconds,
            requests_per_second: 20.0,
            shape: RateShape::Peak {
                at_seconds: duration_seconds * 0.5,
                half_width_seconds: duration_seconds * 0.15,
                height: 4.0,
            },
            bursts: vec![
                Burst {
                    at_seconds: duration_seconds * 0.1,
                    models: 4,
                    requests_per_router: 3,
                    spread_seconds: 0.2,
                },
                Burst {
                    at_seconds: duration_seconds * 0.6,
                    models: 6,
                    requests_per_router: 3,
                    spread_seconds: 0.2,
                },
            ],
            model_exponent: 1.1,
            tenant_exponent: 0.8,
            kinds: KindMix {
                completion: 0.2,
                chat: 0.05,
                web_read: 0.65,
                web_write: 0.1,
            },
            urgencies: UrgencyMix {
                interactive: 0.3,
                normal: 0.6,
                batch: 0.1,
            },
            deadlines: Deadlines {
                interactive_millis: 15_000,
                normal_millis: 30_000,
                batch_millis: 60_000,
            },
            streamed_share: 0.7,
            adapter_share: 0.3,
            repeat_share: 0.1,
            minimum_tokens: 8,
            maximum_tokens: 48,
            prompt_words: 24,
        }
    }

    /// Returns a trace with a diurnal rate, interactive and batch requests, and non-idempotent
    /// web requests.
    pub fn uneven_batch(duration_seconds: f64) -> Self {
        Workload {
            name: "uneven-batch".to_owned(),
            duration_seconds,
            requests_per_second: 12.0,
            shape: RateShape::Diurnal {
                period_seconds: duration_seconds * 0.5,
                swing: 0.9,
            },
            bursts: vec![Burst {
                at_seconds: duration_seconds * 0.35,
                models: 4,
                requests_per_router: 4,
                spread_seconds: 1.0,
            }],
            model_exponent: 1.3,
            tenant_exponent: 1.0,
            kinds: KindMix {
                completion: 0.4,
                chat: 0.25,
                web_read: 0.25,
                web_write: 0.1,
            },
            urgencies: UrgencyMix {
                interactive: 0.4,
                normal: 0.2,
                batch: 0.4,
            },
            deadlines: Deadlines {
                interactive_millis: 15_000,
                normal_millis: 30_000,
                batch_millis: 90_000,
            },
            streamed_share: 0.5,
            adapter_share: 0.5,
            repeat_share: 0.15,
            minimum_tokens: 8,
            maximum_tokens: 64,
            prompt_words: 32,
        }
    }
}
