//! Fetches from the weight store, one thread each.

use crate::engine::messages::{EngineInput, EngineOutput, FetchId, FetchResult};
use crate::engine::model::EngineModel;
use crate::run::Driver;
use crate::weight_store::{StoreAccess, fetch};
use millpass_proto::Duration;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Weak};

/// Maximum number of concurrent fetches of one engine; more are retried later.
const MAXIMUM_FETCHES: usize = 64;
const BUSY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Starts fetches for an engine. An abandoned fetch continues until its transfer ends; the result is
/// ignored.
pub struct Fetches {
    driver: Weak<Driver<EngineModel>>,
    store: StoreAccess,
    running: Arc<AtomicUsize>,
}

impl Fetches {
    pub fn new(driver: Weak<Driver<EngineModel>>, store: StoreAccess) -> Self {
        Fetches {
            driver,
            store,
            running: Arc::default(),
        }
    }

    /// Starts the fetches among a step's outputs.
    pub fn start_all(&self, outputs: Vec<EngineOutput>) {
        for output in outputs {
            if let EngineOutput::Fetch {
                fetch,
                checkpoint,
                bytes,
            } = output
            {
                self.start(fetch, checkpoint, bytes);
            }
        }
    }

    fn start(&self, id: FetchId, checkpoint: String, bytes: u64) {
        if self.running.fetch_add(1, Ordering::Relaxed) >= MAXIMUM_FETCHES {
            self.running.fetch_sub(1, Ordering::Relaxed);
            return end(&self.driver, id, FetchResult::RetryAfter(BUSY_RETRY_AFTER));
        }
        let (driver, store) = (self.driver.clone(), self.store.clone());
        let running = self.running.clone();
        let wait = move || {
            if let Some(clock) = driver.upgrade().map(|driver| driver.alarms().clock()) {
                let result = fetch(&store, clock, &checkpoint, bytes);
                end(&driver, id, result);
            }
            running.fetch_sub(1, Ordering::Relaxed);
        };
        let builder = std::thread::Builder::new().name("fetch".to_owned());
        if let Err(error) = builder.spawn(wait) {
            self.running.fetch_sub(1, Ordering::Relaxed);
            let reason = format!("cannot start a transfer thread: {error}; retry the load later");
            end(&self.driver, id, FetchResult::Failed(reason));
        }
    }
}

/// Passes a fetch result to the model. Discards the returned outputs: a result never starts a fetch directly.
fn end(driver: &Weak<Driver<EngineModel>>, id: FetchId, result: FetchResult) {
    if let Some(driver) = driver.upgrade() {
        driver.input(EngineInput::FetchEnded(id, result));
    }
}
