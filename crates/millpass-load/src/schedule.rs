//! Generates planned requests from a workload, a population and a seed.

use crate::arrivals::{WeightedChoice, poisson_times, seconds_to_micros};
use crate::identity::{PlannedKey, nonce};
use crate::population::Population;
use crate::workload::{Burst, Workload};
use millpass_proto::{AdapterName, GroupName, ModelName, Urgency, VersionLabel};
use millpass_standin::content::NONCE_MARK;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

/// Longest delay between a non-idempotent request and its repeat.
const MAXIMUM_REPEAT_DELAY_MICROS: u64 = 2_000_000;
/// Most requests of one schedule.
pub const MAXIMUM_REQUESTS: usize = 1_000_000;
/// Number of distinct prompt prefixes.
const PROMPT_PREFIXES: u32 = 8;
/// Number of pages read per web group.
const WEB_PAGES: u64 = 40;

/// Target of a planned request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Target {
    /// Tokens of a model.
    Tokens {
        /// Model.
        model: ModelName,
        /// Version that the response is checked against.
        version: VersionLabel,
        /// Adapter.
        adapter: Option<AdapterName>,
        /// Whether to use the chat API instead of completions.
        chat: bool,
        /// Whether the response is streamed.
        streamed: bool,
        /// Prompt; contains the nonce.
        prompt: String,
        /// Tokens requested.
        tokens: u32,
    },
    /// A page.
    WebRead {
        /// Group.
        group: GroupName,
        /// Path; contains the nonce.
        path: String,
    },
    /// A non-idempotent web request.
    WebWrite {
        /// Group.
        group: GroupName,
        /// Path.
        path: String,
        /// Idempotency key.
        key: PlannedKey,
        /// JSON body; the same in a repeat.
        body: String,
    },
}

impl Target {
    /// Returns the label used in tables and histories.
    pub fn label(&self) -> String {
        match self {
            Target::Tokens { model, adapter, .. } => match adapter {
                Some(adapter) => format!("model/{model}+{adapter}"),
                None => format!("model/{model}"),
            },
            Target::WebRead { group, .. } => format!("read/{group}"),
            Target::WebWrite { group, .. } => format!("write/{group}"),
        }
    }
}

/// One planned request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedRequest {
    /// Sequence number in order of due time, from 0.
    pub request: u64,
    /// Due time, in microseconds from the start of the run.
    pub due_micros: u64,
    /// Index of the tenant.
    pub tenant: usize,
    /// Index of the router.
    pub router: usize,
    /// Urgency.
    pub urgency: Urgency,
    /// Deadline, in milliseconds from the due time.
    pub deadline_millis: u64,
    /// Whether the request belongs to a burst for cold models.
    pub burst: bool,
    /// Text unique to this request; a repeat has the same one.
    pub nonce: String,
    /// Target.
    pub target: Target,
}

/// A list of planned requests, in order of due time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Schedule {
    /// Name of the workload.
    pub workload: String,
    /// Seed.
    pub seed: u64,
    /// Requests.
    pub requests: Vec<PlannedRequest>,
}

/// Error of [`Schedule::generate`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ScheduleError {
    /// The population has no tenants, models or routers.
    #[error("the population has no {0}; add at least one")]
    Empty(&'static str),
    /// All weights of a choice are zero.
    #[error("all weights of {0} are zero; set at least one above zero")]
    NoWeight(&'static str),
    /// Too many requests.
    #[error("{0} requests are more than {MAXIMUM_REQUESTS}; lower the rate or the duration")]
    TooMany(usize),
}

impl Schedule {
    /// Generates a schedule; deterministic for equal arguments.
    pub fn generate(
        workload: &Workload,
        population: &Population,
        seed: u64,
    ) -> Result<Self, ScheduleError> {
        let mut generator = Generator::new(workload, population, seed)?;
        generator.steady();
        for burst in &workload.bursts {
            generator.burst(burst);
        }
        let requests = generator.finish()?;
        Ok(Schedule {
            workload: workload.name.clone(),
            seed,
            requests,
        })
    }
}

struct Generator<'a> {
    workload: &'a Workload,
    population: &'a Population,
    seed: u64,
    random: ChaCha8Rng,
    models: WeightedChoice,
    tenants: WeightedChoice,
    kinds: WeightedChoice,
    urgencies: WeightedChoice,
    next_number: u64,
    requests: Vec<PlannedRequest>,
}

impl<'a> Generator<'a> {
    fn new(
        workload: &'a Workload,
        population: &'a Population,
        seed: u64,
    ) -> Result<Self, ScheduleError> {
        if population.routers == 0 {
            return Err(ScheduleError::Empty("routers"));
        }
        let models = WeightedChoice::zipf(population.models.len(), workload.model_exponent)
            .ok_or(ScheduleError::Empty("models"))?;
        let tenants = WeightedChoice::zipf(population.tenants.len(), workload.tenant_exponent)
            .ok_or(ScheduleError::Empty("tenants"))?;
        let mix = workload.kinds;
        let web_weight = if population.web.is_empty() { 0.0 } else { 1.0 };
        let kinds = WeightedChoice::new([
            mix.completion,
            mix.chat,
            mix.web_read * web_weight,
            mix.web_write * web_weight,
        ])
        .ok_or(ScheduleError::NoWeight("kinds"))?;
        let urgency = workload.urgencies;
        let urgencies = WeightedChoice::new([urgency.interactive, urgency.normal, urgency.batch])
            .ok_or(ScheduleError::NoWeight("urgencies"))?;
        Ok(Generator {
            workload,
            population,
            seed,
            random: ChaCha8Rng::seed_from_u64(seed),
            models,
            tenants,
            kinds,
            urgencies,
            next_number: 0,
            requests: Vec::new(),
        })
    }

    fn steady(&mut self) {
        let times = poisson_times(
            &mut self.random,
            self.workload.duration_seconds,
            self.workload.requests_per_second,
            &self.workload.shape,
        );
        for due_micros in times.into_iter().take(MAXIMUM_REQUESTS + 1) {
            let router = self.random.random_range(0..self.population.routers);
            match self.kinds.draw(&mut self.random) {
                0 => self.model_request(due_micros, router, None, false),
                1 => self.model_request(due_micros, router, None, true),
                2 => self.web_read(due_micros, router),
                _ => self.web_write(due_micros, router),
            }
        }
    }

    fn burst(&mut self, burst: &Burst) {
        let start = seconds_to_micros(burst.at_seconds);
        let spread = seconds_to_micros(burst.spread_seconds).max(1);
        let count = burst.models.min(self.population.models.len());
        let first_cold = self.population.models.len() - count;
        for model in first_cold..self.population.models.len() {
            for router in 0..self.population.routers {
                for _ in 0..burst.requests_per_router {
                    let due_micros = start + self.random.random_range(0..spread);
                    self.model_request(due_micros, router, Some(model), false);
                }
            }
        }
    }

    fn model_request(&mut self, due: u64, router: usize, burst_model: Option<usize>, chat: bool) {
        let model = burst_model.unwrap_or_else(|| self.models.draw(&mut self.random));
        let choice = &self.population.models[model];
        let with_adapter = self.random.random_bool(self.workload.adapter_share);
        let adapter = if with_adapter && !choice.adapters.is_empty() {
            let index = self.random.random_range(0..choice.adapters.len());
            Some(choice.adapters[index].clone())
        } else {
            None
        };
        let tokens = self
            .random
            .random_range(self.workload.minimum_tokens..=self.workload.maximum_tokens);
        let streamed = self.random.random_bool(self.workload.streamed_share);
        let urgency = match self.urgencies.draw(&mut self.random) {
            0 => Urgency::Interactive,
            1 => Urgency::Normal,
            _ => Urgency::Batch,
        };
        let prompt = self.prompt();
        let target = Target::Tokens {
            model: choice.model.clone(),
            version: choice.version.clone(),
            adapter,
            chat,
            streamed,
            prompt,
            tokens,
        };
        self.push(due, router, urgency, burst_model.is_some(), target);
    }

    /// Returns a prompt with a shared prefix, to exercise prefix caches, that ends with the nonce.
    fn prompt(&mut self) -> String {
        let prefix = self.random.random_range(0..PROMPT_PREFIXES);
        let mut words = Vec::new();
        for position in 1..self.workload.prompt_words {
            words.push(format!("w{prefix}-{position}"));
        }
        words.push(format!(
            "{NONCE_MARK}{}",
            nonce(self.seed, self.next_number)
        ));
        words.join(" ")
    }

    fn web_read(&mut self, due: u64, router: usize) {
        let index = self.random.random_range(0..self.population.web.len());
        let web = &self.population.web[index];
        let page = self.random.random_range(0..WEB_PAGES);
        let nonce = nonce(self.seed, self.next_number);
        let target = Target::WebRead {
            group: web.group.clone(),
            path: format!("{}/{page}/{nonce}", web.read_path),
        };
        self.push(due, router, Urgency::Normal, false, target);
    }

    fn web_write(&mut self, due: u64, router: usize) {
        let index = self.random.random_range(0..self.population.web.len());
        let web = &self.population.web[index];
        let nonce = nonce(self.seed, self.next_number);
        let amount: u16 = self.random.random();
        let target = Target::WebWrite {
            group: web.group.clone(),
            path: web.write_path.clone(),
            key: PlannedKey {
                born_at_micros: due,
                random: self.random.random(),
            },
            body: format!("{{\"nonce\":\"{nonce}\",\"amount\":{amount}}}"),
        };
        self.push(due, router, Urgency::Interactive, false, target);
        if self.random.random_bool(self.workload.repeat_share) {
            self.repeat_last();
        }
    }

    /// Repeats the last request with the same tenant, key and body, later and at a random router.
    fn repeat_last(&mut self) {
        let pause = self.random.random_range(1..MAXIMUM_REPEAT_DELAY_MICROS);
        let router = self.random.random_range(0..self.population.routers);
        let Some(last) = self.requests.last().cloned() else {
            return;
        };
        self.requests.push(PlannedRequest {
            due_micros: last.due_micros + pause,
            router,
            ..last
        });
        self.next_number += 1;
    }

    fn push(&mut self, due: u64, router: usize, urgency: Urgency, burst: bool, target: Target) {
        let deadlines = self.workload.deadlines;
        let deadline_millis = match urgency {
            Urgency::Interactive => deadlines.interactive_millis,
            Urgency::Normal => deadlines.normal_millis,
            Urgency::Batch => deadlines.batch_millis,
        };
        let nonce = nonce(self.seed, self.next_number);
        self.requests.push(PlannedRequest {
            request: 0,
            due_micros: due,
            tenant: self.tenants.draw(&mut self.random),
            router,
            urgency,
            deadline_millis,
            burst,
            nonce,
            target,
        });
        self.next_number += 1;
    }

    fn finish(mut self) -> Result<Vec<PlannedRequest>, ScheduleError> {
        if self.requests.len() > MAXIMUM_REQUESTS {
            return Err(ScheduleError::TooMany(self.requests.len()));
        }
        self.requests.sort_by_key(|planned| planned.due_micros);
        for (number, planned) in self.requests.iter_mut().enumerate() {
            planned.request = number as u64;
        }
        Ok(self.requests)
    }
}
