//! Admission of arriving requests: authentication, target lookup, policies, queue limits and
//! deadline checks.

use crate::explain::{Explanation, Outcome, target_text};
use crate::interface::{Arrival, Executed, RefusalReason, RequestNumber, RoutingOutput, Target};
use crate::queues::QueueKey;
use crate::readiness::{NO_BACKEND_GRACE, Readiness};
use crate::refusals::Rejection;
use crate::request::{Request, Stage};
use crate::{Routing, Step};
use millpass_policy::{RequestAttributes, Verdict};
use millpass_proto::{Duration, PolicyName, TenantName, Timestamp, Urgency};
use std::sync::Arc;

/// Fields recorded so far for the explanation of a refused arrival.
#[derive(Default)]
struct ArrivalContext {
    request_id: String,
    tenant: Option<TenantName>,
    target: String,
    policy: Option<PolicyName>,
}

/// Queue and attributes of the model or web group that a request addresses.
struct ResolvedTarget {
    queue: QueueKey,
    kind: &'static str,
    path: String,
    prefix_hash: u64,
    /// The path requires an idempotency key: its requests run at most once.
    at_most_once: bool,
    /// A request without a key may be retried even if an earlier attempt may have run.
    repeatable: bool,
}

impl Routing {
    /// Admits an arrival and then dispatches it, queues it or requests its claim; refuses it
    /// otherwise.
    pub(crate) fn handle_arrival(&mut self, arrival: Arrival, step: &mut Step) {
        self.decisions.counters.arrivals += 1;
        let number = arrival.request;
        if self.table.get(number).is_some() {
            step.event(
                "duplicate_request_number",
                vec![("request", number.0.to_string())],
            );
            return;
        }
        let mut context = ArrivalContext {
            request_id: arrival.request_id.clone(),
            ..ArrivalContext::default()
        };
        let outcome = self
            .admit(arrival, &mut context, step)
            .and_then(|request| self.dispatch_or_enqueue(request, step));
        if let Err(rejection) = outcome {
            self.refuse_arrival(number, rejection, context, step);
        }
    }

    /// Refuses an arrival that was never added to the table.
    fn refuse_arrival(
        &mut self,
        number: RequestNumber,
        rejection: Rejection,
        context: ArrivalContext,
        step: &mut Step,
    ) {
        // Records of expired keys are deleted, so an earlier request with the key may have run.
        let executed = match rejection.reason {
            RefusalReason::KeyExpired => Executed::Unknown,
            _ => Executed::No,
        };
        let refusal = rejection.into_refusal(executed);
        self.decisions.record(Explanation {
            request: number,
            request_id: context.request_id,
            tenant: context.tenant,
            target: context.target,
            urgency: None,
            policy: context.policy,
            outcome: Outcome::Refused(refusal.reason),
            wait_reason: None,
            refusal: Some(refusal.clone()),
            attempts: Vec::new(),
            waited: Duration::ZERO,
            total: Duration::ZERO,
        });
        step.outputs.push(RoutingOutput::Refuse(number, refusal));
    }

    /// Runs all checks that do not depend on backend capacity.
    fn admit(
        &mut self,
        arrival: Arrival,
        context: &mut ArrivalContext,
        step: &Step,
    ) -> Result<Request, Rejection> {
        if self.drain.is_some() {
            return Err(Rejection::new(RefusalReason::Draining));
        }
        if !self.lease.is_valid(step.now) {
            return Err(Rejection::new(RefusalReason::NoLease));
        }
        let tenant = self.catalog.tenant_of_key(&arrival.api_key).cloned();
        let tenant = tenant.ok_or_else(|| Rejection::new(RefusalReason::UnknownKey))?;
        context.tenant = Some(tenant.clone());
        let target = self.resolve(arrival.target)?;
        context.target = target_text(&target.queue);
        let verdict = self.evaluate_policies(&tenant, &target.queue, target.kind, &target.path)?;
        context.policy = verdict.deciding_policy.clone();
        check_verdict(&verdict)?;
        if arrival.deadline <= step.now {
            return Err(Rejection::new(RefusalReason::DeadlinePassed));
        }
        if target.at_most_once && arrival.idempotency.is_none() {
            return Err(Rejection::new(RefusalReason::KeyRequired));
        }
        if let Some(key) = &arrival.idempotency {
            self.check_key_age(key.created_unix_millis)?;
        }
        Ok(Request {
            number: arrival.request,
            request_id: arrival.request_id,
            tenant,
            queue: target.queue,
            kind: target.kind,
            path: target.path,
            prefix_hash: target.prefix_hash,
            urgency: verdict.urgency,
            policy: verdict.deciding_policy.clone(),
            arrived: step.now,
            deadline: arrival.deadline,
            repeatable: target.repeatable && arrival.idempotency.is_none(),
            claim: arrival.idempotency,
            stage: Stage::Waiting,
            attempts: Vec::new(),
            may_have_run: false,
            response_started: false,
            tokens: 0,
            detached: false,
        })
    }

    fn check_key_age(&self, created_unix_millis: u64) -> Result<(), Rejection> {
        if created_unix_millis < self.claims_created_after {
            return Err(Rejection::new(RefusalReason::KeyExpired));
        }
        Ok(())
    }

    /// Looks up the addressed model or web group.
    fn resolve(&self, target: Target) -> Result<ResolvedTarget, Rejection> {
        match target {
            Target::Model {
                model,
                adapter,
                kind,
                prefix_hash,
            } => {
                if !self.catalog.has_model(&model, adapter.as_ref()) {
                    return Err(Rejection::with_detail(RefusalReason::NotFound, model.0));
                }
                Ok(ResolvedTarget {
                    queue: QueueKey::Model {
                        model,
                        adapter,
                        version: None,
                    },
                    kind,
                    path: String::new(),
                    prefix_hash,
                    at_most_once: false,
                    repeatable: true,
                })
            }
            Target::Web { path, safe_method } => {
                let path = match path.split_once('?') {
                    Some((before_query, _)) => before_query.to_owned(),
                    None => path,
                };
                let Some((group, at_most_once)) = self.catalog.group_of_path(&path) else {
                    return Err(Rejection::with_detail(RefusalReason::NotFound, path));
                };
                Ok(ResolvedTarget {
                    queue: QueueKey::Web(group.clone()),
                    kind: "web",
                    path,
                    prefix_hash: 0,
                    at_most_once,
                    repeatable: safe_method && !at_most_once,
                })
            }
        }
    }

    /// Evaluates the policies for a request.
    fn evaluate_policies(
        &mut self,
        tenant: &TenantName,
        queue: &QueueKey,
        kind: &str,
        path: &str,
    ) -> Result<Arc<Verdict>, Rejection> {
        let (model, adapter) = match queue {
            QueueKey::Model { model, adapter, .. } => (
                model.as_str(),
                adapter.as_ref().map_or("", |adapter| adapter.as_str()),
            ),
            QueueKey::Web(_) => ("", ""),
        };
        let attributes = RequestAttributes {
            tenant: tenant.as_str(),
            model,
            adapter,
            kind,
            path,
        };
        self.catalog
            .verdict(&attributes)
            .map_err(|error| Rejection::with_detail(RefusalReason::PolicyDenied, error.to_string()))
    }

    /// Dispatches an admitted request, requests its claim or queues it; refuses it if its deadline
    /// cannot be met.
    fn dispatch_or_enqueue(&mut self, request: Request, step: &mut Step) -> Result<(), Rejection> {
        self.demand.record_arrival(&request.queue);
        if let Some(rejection) = self.check_deadline(&request, step.now) {
            return Err(rejection);
        }
        if request.claim.is_some() {
            return self.request_claim(request, step);
        }
        if self.queues.is_empty(&request.queue)
            && let Some(selected) = self.select_backend_for(&request, step.now)
        {
            let number = request.number;
            self.table.insert(request);
            self.dispatch(number, selected, step);
            return Ok(());
        }
        self.enforce_queue_limits(&request, step)?;
        self.enqueue(request);
        Ok(())
    }

    /// Enforces the limits on waiting requests. When the table is full, a more urgent arrival
    /// displaces the newest batch request.
    pub(crate) fn enforce_queue_limits(
        &mut self,
        request: &Request,
        step: &mut Step,
    ) -> Result<(), Rejection> {
        let tenant = self.catalog.tenant(&request.tenant);
        let limit = tenant.map_or(0, |spec| spec.maximum_waiting);
        if self.table.waiting_of(&request.tenant) >= limit {
            return Err(Rejection::new(RefusalReason::TenantLimit));
        }
        if self.table.waiting() < self.settings.maximum_waiting {
            return Ok(());
        }
        if request.urgency == Urgency::Batch {
            return Err(Rejection::new(RefusalReason::QueueFull));
        }
        let Some(displaced) = self.table.newest_batch() else {
            return Err(Rejection::new(RefusalReason::QueueFull));
        };
        self.end_request(displaced, Rejection::new(RefusalReason::QueueFull), step);
        Ok(())
    }

    /// Adds a request to the table and to its queue.
    fn enqueue(&mut self, request: Request) {
        let number = request.number;
        self.table.insert(request);
        self.push_to_queue(number);
    }

    /// Adds a request that is already in the table to its queue. The first request in a queue
    /// triggers a report, since the leader may have to load the model.
    pub(crate) fn push_to_queue(&mut self, number: RequestNumber) {
        let Some(request) = self.table.get(number) else {
            return;
        };
        let first = self.queues.is_empty(&request.queue);
        let tenant = self.catalog.tenant(&request.tenant);
        let weight = tenant.map_or(1, |spec| spec.share_weight);
        self.queues.push(request, weight);
        if first {
            self.reporting.expedite();
        }
    }

    /// Repeats the catalog and policy checks for every waiting request after a catalog change.
    pub(crate) fn recheck_waiting(&mut self, step: &mut Step) {
        for number in self.table.all_waiting() {
            if let Err(rejection) = self.recheck_admission(number) {
                self.end_request(number, rejection, step);
            }
        }
    }

    fn recheck_admission(&mut self, number: RequestNumber) -> Result<(), Rejection> {
        let Some(request) = self.table.get(number) else {
            return Ok(());
        };
        if self.catalog.tenant(&request.tenant).is_none() {
            return Err(Rejection::new(RefusalReason::UnknownKey));
        }
        let exists = match &request.queue {
            QueueKey::Model { model, adapter, .. } => {
                self.catalog.has_model(model, adapter.as_ref())
            }
            QueueKey::Web(group) => self.catalog.has_group(group),
        };
        if !exists {
            return Err(Rejection::new(RefusalReason::NotFound));
        }
        let (tenant, queue) = (request.tenant.clone(), request.queue.clone());
        let (kind, path) = (request.kind, request.path.clone());
        let verdict = self.evaluate_policies(&tenant, &queue, kind, &path)?;
        check_verdict(&verdict)
    }

    /// Returns a refusal if the request cannot be served before its deadline.
    pub(crate) fn check_deadline(&self, request: &Request, now: Timestamp) -> Option<Rejection> {
        match self.readiness(&request.queue, now) {
            Readiness::Serving | Readiness::Unknown => None,
            Readiness::ReadyAt(ready) => {
                (request.deadline < ready).then(|| Rejection::deadline_unreachable(ready, now))
            }
            Readiness::Unplaceable {
                grace_elapsed,
                ready,
            } => (grace_elapsed || request.deadline < ready)
                .then(|| Rejection::unplaceable(ready, now)),
            Readiness::NoBackend => {
                let grace_elapsed = request.arrived + NO_BACKEND_GRACE <= now;
                grace_elapsed.then(|| Rejection::new(RefusalReason::Hopeless))
            }
            Readiness::VersionUnavailable => Some(Rejection::new(RefusalReason::BackendFailed)),
        }
    }
}

/// Converts a denying verdict into a refusal that names the policy.
fn check_verdict(verdict: &Verdict) -> Result<(), Rejection> {
    if verdict.allowed {
        return Ok(());
    }
    let detail = match (&verdict.deciding_policy, &verdict.failure) {
        (Some(policy), Some(failure)) => format!("policy {policy} failed: {failure}"),
        (Some(policy), None) => format!("denied by policy {policy}"),
        (None, _) => "no policy allows the request".to_owned(),
    };
    Err(Rejection::with_detail(RefusalReason::PolicyDenied, detail))
}
