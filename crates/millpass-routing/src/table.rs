//! The table of live requests, with their deadlines and the counts of those that wait.

use crate::interface::RequestNumber;
use crate::request::{Request, Stage};
use millpass_proto::{TenantName, Timestamp, Urgency};
use std::collections::{BTreeMap, BTreeSet};

/// Live requests. A request waits while nothing of it is in flight; the number of waiting ones
/// is bounded by admission, the number in flight by the concurrency of the back ends.
#[derive(Debug, Default)]
pub(crate) struct RequestTable {
    requests: BTreeMap<RequestNumber, Request>,
    deadlines: BTreeSet<(Timestamp, RequestNumber)>,
    waiting_by_tenant: BTreeMap<TenantName, u32>,
    waiting: usize,
    waiting_batch: BTreeSet<RequestNumber>,
}

impl RequestTable {
    /// Adds a request.
    pub fn insert(&mut self, request: Request) {
        self.deadlines.insert((request.deadline, request.number));
        self.count(&request);
        self.requests.insert(request.number, request);
    }

    /// Takes a request out.
    pub fn remove(&mut self, number: RequestNumber) -> Option<Request> {
        let request = self.requests.remove(&number)?;
        self.deadlines.remove(&(request.deadline, number));
        self.uncount(&request);
        Some(request)
    }

    /// Changes a request; the counts follow its stage.
    pub fn update(&mut self, number: RequestNumber, change: impl FnOnce(&mut Request)) {
        let Some(mut request) = self.requests.remove(&number) else {
            return;
        };
        self.uncount(&request);
        change(&mut request);
        self.count(&request);
        self.requests.insert(number, request);
    }

    /// A request.
    pub fn get(&self, number: RequestNumber) -> Option<&Request> {
        self.requests.get(&number)
    }

    /// Every request, in order of number.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = &Request> {
        self.requests.values()
    }

    fn count(&mut self, request: &Request) {
        if request.is_in_flight() {
            return;
        }
        self.waiting += 1;
        match self.waiting_by_tenant.get_mut(&request.tenant) {
            Some(count) => *count += 1,
            None => {
                self.waiting_by_tenant.insert(request.tenant.clone(), 1);
            }
        }
        // A stream that has begun is never displaced.
        if request.urgency == Urgency::Batch && !request.answer_started {
            self.waiting_batch.insert(request.number);
        }
    }

    fn uncount(&mut self, request: &Request) {
        if request.is_in_flight() {
            return;
        }
        self.waiting -= 1;
        if let Some(count) = self.waiting_by_tenant.get_mut(&request.tenant) {
            *count -= 1;
            if *count == 0 {
                self.waiting_by_tenant.remove(&request.tenant);
            }
        }
        self.waiting_batch.remove(&request.number);
    }

    /// Requests that wait, in all.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Requests of a tenant that wait.
    pub fn waiting_of(&self, tenant: &TenantName) -> u32 {
        self.waiting_by_tenant.get(tenant).copied().unwrap_or(0)
    }

    /// The newest waiting batch request.
    pub fn newest_batch(&self) -> Option<RequestNumber> {
        self.waiting_batch.last().copied()
    }

    /// Requests whose deadline has come: those that wait, or those in flight.
    pub fn expired(&self, now: Timestamp, in_flight: bool) -> Vec<RequestNumber> {
        let due = self
            .deadlines
            .iter()
            .take_while(|(deadline, _)| *deadline <= now);
        let numbers = due.map(|(_, number)| *number);
        numbers
            .filter(|number| self.requests[number].is_in_flight() == in_flight)
            .collect()
    }

    /// Every request that waits, in order of number.
    pub fn all_waiting(&self) -> Vec<RequestNumber> {
        let requests = self.requests.values();
        requests
            .filter(|request| !matches!(request.stage, Stage::InFlight(_)))
            .map(|request| request.number)
            .collect()
    }

    /// Number of live requests.
    pub fn len(&self) -> usize {
        self.requests.len()
    }
}
