//! What a trace looks like, as data; and the named traces.

use serde::{Deserialize, Serialize};

/// How the rate of steady arrivals changes over the trace.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum RateShape {
    /// The same rate all along.
    Constant,
    /// A sine around the mean rate, starting at its lowest point.
    Diurnal {
        /// Length of one day of the trace, in seconds.
        period_seconds: f64,
        /// Swing around the mean, 0 (none) to 1 (down to nothing).
        swing: f64,
    },
    /// A quiet start, one peak, and a quiet end.
    Peak {
        /// Middle of the peak, in seconds from the start.
        at_seconds: f64,
        /// Half width of the peak, in seconds.
        half_width_seconds: f64,
        /// Rate at the top as a multiple of the steady rate.
        height: f64,
    },
}

/// Requests for models that nobody asked for before, at all routers at once.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// When, in seconds from the start.
    pub at_seconds: f64,
    /// How many models, taken from the unpopular end.
    pub models: usize,
    /// Requests for each of them at each router.
    pub requests_per_router: usize,
    /// Time over which they arrive, in seconds.
    pub spread_seconds: f64,
}

/// Relative weights of kinds of requests; they need not add up to anything.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KindMix {
    /// Text completions.
    pub completion: f64,
    /// Chat completions.
    pub chat: f64,
    /// Web pages read.
    pub web_read: f64,
    /// Web requests that may not be repeated.
    pub web_write: f64,
}

/// Relative weights of urgencies.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UrgencyMix {
    /// Somebody waits.
    pub interactive: f64,
    /// Ordinary.
    pub normal: f64,
    /// Can wait.
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

/// A trace, as data.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workload {
    /// Name.
    pub name: String,
    /// Length in seconds.
    pub duration_seconds: f64,
    /// Mean steady arrivals a second, over all routers.
    pub requests_per_second: f64,
    /// Change of the steady rate over the trace.
    pub shape: RateShape,
    /// Bursts of cold models.
    pub bursts: Vec<Burst>,
    /// Exponent of the Zipf law of model popularity; 0 is uniform.
    pub model_exponent: f64,
    /// Exponent of the Zipf law of tenants' activity.
    pub tenant_exponent: f64,
    /// Kinds.
    pub kinds: KindMix,
    /// Urgencies of model requests.
    pub urgencies: UrgencyMix,
    /// Deadlines.
    pub deadlines: Deadlines,
    /// Share of model requests that are streamed, 0 to 1.
    pub streamed_share: f64,
    /// Share of model requests with an adapter, 0 to 1.
    pub adapter_share: f64,
    /// Share of non-repeatable requests that callers send once more with the same key, 0 to 1.
    pub repeat_share: f64,
    /// Fewest tokens asked for.
    pub minimum_tokens: u32,
    /// Most tokens asked for.
    pub maximum_tokens: u32,
    /// Words of the prompt.
    pub prompt_words: u32,
}

/// Names of the traces that [`Workload::named`] knows.
pub const NAMED_WORKLOADS: [&str; 2] = ["burst-peak", "uneven-batch"];

impl Workload {
    /// The named trace, stretched to this length; none if the name is not known.
    pub fn named(name: &str, duration_seconds: f64) -> Option<Self> {
        match name {
            "burst-peak" => Some(Self::burst_peak(duration_seconds)),
            "uneven-batch" => Some(Self::uneven_batch(duration_seconds)),
            _ => None,
        }
    }

    /// Bursts of cold models at all routers at once, with one peak of web reads and with
    /// publications that may not be repeated.
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

    /// Traffic that swings over the day, with people waiting for answers and batches that need not
    /// hurry, and with charges that may not be repeated.
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
