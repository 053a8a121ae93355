//! What became of recent requests, for `/v1/explain/{request}`.

use millpass_proto::Timestamp;
use millpass_routing::{Explanation, RequestNumber};
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
pub(crate) struct RequestSteps {
    number: RequestNumber,
    arrived: Timestamp,
    target: String,
    steps: Mutex<Vec<Step>>,
}

impl RequestSteps {
    pub(crate) fn new(number: RequestNumber, arrived: Timestamp, target: String) -> Self {
        RequestSteps {
            number,
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

    /// Number of the request in the decision core.
    pub(crate) fn number(&self) -> RequestNumber {
        self.number
    }

    /// The steps, with what the decision core says, as JSON.
    pub(crate) fn to_json(&self, request: &str, core: Option<&Explanation>) -> serde_json::Value {
        let steps = self.lock();
        serde_json::json!({
            "request_id": request,
            "target": self.target,
            "steps": *steps,
            "decision": core.map(decision_json),
        })
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
    by_request: HashMap<Arc<str>, Arc<RequestSteps>>,
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
    pub(crate) fn add(&self, request: &str, steps: Arc<RequestSteps>) {
        let mut recent = self.lock();
        let request: Arc<str> = request.into();
        if recent.by_request.insert(request.clone(), steps).is_none() {
            recent.order.push_back(request);
        }
        if recent.order.len() > self.maximum
            && let Some(oldest) = recent.order.pop_front()
        {
            recent.by_request.remove(&oldest);
        }
    }

    /// The steps of a request, unless it is forgotten.
    pub(crate) fn get(&self, request: &str) -> Option<Arc<RequestSteps>> {
        self.lock().by_request.get(request).cloned()
    }

    fn lock(&self) -> MutexGuard<'_, Recent> {
        self.recent.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn decision_json(core: &Explanation) -> serde_json::Value {
    serde_json::json!({
        "tenant": core.tenant.as_ref().map(ToString::to_string),
        "urgency": core.urgency.map(|urgency| format!("{urgency:?}").to_ascii_lowercase()),
        "policy": core.policy.as_ref().map(ToString::to_string),
        "outcome": format!("{:?}", core.outcome),
        "backend": core.backend.as_ref().map(ToString::to_string),
        "attempts": core.attempts,
        "waited_millis": core.waited.as_millis() as u64,
        "total_millis": core.total.as_millis() as u64,
    })
}
