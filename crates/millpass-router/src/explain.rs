//! What became of recent requests, for `/v1/explain/{request}`.

use millpass_proto::Timestamp;
use serde::Serialize;
use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Most steps kept for one request.
const MAXIMUM_STEPS: usize = 32;

/// One step of a request's way.
#[derive(Clone, Debug, Serialize)]
struct Step {
    /// Milliseconds since the request arrived.
    at_millis: u64,
    /// What happened.
    event: &'static str,
    /// Details: back end, reason and the like; never content of the request.
    detail: String,
}

/// Steps of one request so far.
#[derive(Debug)]
pub(crate) struct Explanation {
    arrived: Timestamp,
    target: String,
    steps: Mutex<Vec<Step>>,
}

impl Explanation {
    pub(crate) fn new(arrived: Timestamp, target: String) -> Self {
        Explanation {
            arrived,
            target,
            steps: Mutex::new(Vec::new()),
        }
    }

    /// Adds a step; beyond the bound it is left out.
    pub(crate) fn add(&self, now: Timestamp, event: &'static str, detail: String) {
        let mut steps = self.lock();
        if steps.len() < MAXIMUM_STEPS {
            let at_millis = now.since(self.arrived).as_millis() as u64;
            steps.push(Step {
                at_millis,
                event,
                detail,
            });
        }
    }

    fn to_json(&self, request: &str) -> serde_json::Value {
        let steps = self.lock();
        serde_json::json!({"request_id": request, "target": self.target, "steps": *steps})
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Step>> {
        self.steps.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The most recent requests, by request id; bounded.
#[derive(Debug)]
pub(crate) struct ExplainTable {
    maximum: usize,
    recent: Mutex<Recent>,
}

#[derive(Debug, Default)]
struct Recent {
    by_request: HashMap<Arc<str>, Arc<Explanation>>,
    order: VecDeque<Arc<str>>,
}

impl ExplainTable {
    pub(crate) fn new(maximum: usize) -> Self {
        ExplainTable {
            maximum: maximum.max(1),
            recent: Mutex::new(Recent::default()),
        }
    }

    /// Adds a request; the oldest one is forgotten when there are too many.
    pub(crate) fn add(&self, request: &str, explanation: Arc<Explanation>) {
        let mut recent = self.lock();
        let request: Arc<str> = request.into();
        if recent
            .by_request
            .insert(request.clone(), explanation)
            .is_none()
        {
            recent.order.push_back(request);
        }
        if recent.order.len() > self.maximum
            && let Some(oldest) = recent.order.pop_front()
        {
            recent.by_request.remove(&oldest);
        }
    }

    /// What is known of a request.
    pub(crate) fn get(&self, request: &str) -> Option<serde_json::Value> {
        let explanation = self.lock().by_request.get(request).cloned();
        explanation.map(|explanation| explanation.to_json(request))
    }

    fn lock(&self) -> MutexGuard<'_, Recent> {
        self.recent.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
