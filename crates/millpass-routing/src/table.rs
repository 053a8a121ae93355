//! Table of live requests, with indexes by deadline and counts of waiting requests.

use crate::interface::RequestNumber;
use crate::request::{Request, Stage};
use millpass_proto::{TenantName, Timestamp, Urgency};
use std::collections::{BTreeMap, BTreeSet};

/// Live requests. Every request that is not in flight counts as waiting. Admission bounds the
/// waiting requests, backend concurrency those in flight.
#[derive(Debug, Default)]
pub(crate) struct RequestTable {
    requests: BTreeMap<RequestNumber, Request>,
    deadlines: BTreeSet<(Timestamp, RequestNumber)>,
    waiting_by_tenant: BTreeMap<TenantName, u32>,
    waiting: usize,
    waiting_batch: BTreeSet<RequestNumber>,
}

impl RequestTable {
    pub fn insert(&mut self, request: Request) {
        self.deadlines.insert((request.deadline, request.number));
        self.count(&request);
        self.requests.insert(request.number, request);
    }

    pub fn remove(&mut self, number: RequestNumber) -> Option<Request> {
        let request = self.requests.remove(&number)?;
        self.deadlines.remove(&(request.deadline, number));
        self.uncount(&request);
        Some(request)
    }

    /// Modifies a request and updates the counts.
    pub fn update(&mut self, number: RequestNumber, change: impl FnOnce(&mut Request)) {
        let Some(mut request) = self.requests.remove(&number) else {
            return;
        };
        self.uncount(&request);
        change(&mut request);
        self.count(&request);
        self.requests.insert(number, request);
    }

    pub fn get(&self, number: RequestNumber) -> Option<&Request> {
        self.requests.get(&number)
    }

    /// All requests, ordered by number.
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
        // Requests that have started to respond are never displaced.
        if request.urgency == Urgency::Batch && !request.response_started {
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

    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Number of waiting requests of a tenant.
    pub fn waiting_of(&self, tenant: &TenantName) -> u32 {
        self.waiting_by_tenant.get(tenant).copied().unwrap_or(0)
    }

    /// Newest waiting batch request.
    pub fn newest_batch(&self) -> Option<RequestNumber> {
        self.waiting_batch.last().copied()
    }

    /// Requests whose deadline has passed, either waiting or in flight.
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

    /// All waiting requests, ordered by number.
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
