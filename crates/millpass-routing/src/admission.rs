//! Admission: who asks, for what, whether it is allowed, and whether it can be met in time.

use crate::explain::{Explanation, Outcome, target_text};
use crate::interface::{Arrival, Executed, RefusalReason, RequestNumber, RoutingOutput, Target};
use crate::queues::QueueKey;
use crate::readiness::{NO_BACKEND_GRACE, Readiness};
use crate::refusals::Refused;
use crate::request::{Request, Stage};
use crate::{Routing, Step};
use millpass_policy::{RequestAttributes, Verdict};
use millpass_proto::{Duration, PolicyName, TenantName, Timestamp, Urgency};
use std::sync::Arc;

/// What is known of an arrival that is refused, for its explanation.
#[derive(Default)]
struct Known {
    request_id: String,
    tenant: Option<TenantName>,
    target: String,
    policy: Option<PolicyName>,
}

/// Where an arrival goes.
struct ResolvedTarget {
    queue: QueueKey,
    kind: &'static str,
    path: String,
    prefix_hash: u64,
    /// Whether the path's requests run at most once.
    at_most_once: bool,
    /// Whether it may run again after it may have run, if it has no key.
    repeatable: bool,
}

impl Routing {
    /// Takes an arrival: dispatches it, queues it, asks for its claim, or refuses it at once.
    pub(crate) fn arrive(&mut self, arrival: Arrival, step: &mut Step) {
        self.decisions.counters.arrivals += 1;
        let number = arrival.request;
        if self.table.get(number).is_some() {
            step.event(
                "duplicate_request_number",
                vec![("request", number.0.to_string())],
            );
            return;
        }
        let mut known = Known {
            request_id: arrival.request_id.clone(),
            ..Known::default()
        };
        let outcome = self
            .admit(arrival, &mut known, step)
            .and_then(|request| self.place(request, step));
        if let Err(refused) = outcome {
            self.refuse_arrival(number, refused, known, step);
        }
    }

    /// Refuses an arrival that never entered the table.
    fn refuse_arrival(
        &mut self,
        number: RequestNumber,
        refused: Refused,
        known: Known,
        step: &mut Step,
    ) {
        // Of an expired key the control group no longer knows whether its request ran.
        let executed = match refused.reason {
            RefusalReason::KeyExpired => Executed::Unknown,
            _ => Executed::No,
        };
        let refusal = refused.into_refusal(executed);
        self.decisions.record(Explanation {
            request: number,
            request_id: known.request_id,
            tenant: known.tenant,
            target: known.target,
            urgency: None,
            policy: known.policy,
            outcome: Outcome::Refused(refusal.reason),
            wait_reason: None,
            refusal: Some(refusal.clone()),
            attempts: Vec::new(),
            waited: Duration::ZERO,
            total: Duration::ZERO,
        });
        step.outputs.push(RoutingOutput::Refuse(number, refusal));
    }

    /// Everything that can be judged before a place is sought.
    fn admit(
        &mut self,
        arrival: Arrival,
        known: &mut Known,
        step: &Step,
    ) -> Result<Request, Refused> {
        if self.drain.is_some() {
            return Err(Refused::new(RefusalReason::Draining));
        }
        if !self.lease.is_fresh(step.now) {
            return Err(Refused::new(RefusalReason::NoLease));
        }
        let tenant = self.catalog.tenant_of_key(&arrival.api_key).cloned();
        let tenant = tenant.ok_or_else(|| Refused::new(RefusalReason::UnknownKey))?;
        known.tenant = Some(tenant.clone());
        let target = self.resolve(arrival.target)?;
        known.target = target_text(&target.queue);
        let verdict = self.judge_policies(&tenant, &target.queue, target.kind, &target.path)?;
        known.policy = verdict.deciding_policy.clone();
        check_verdict(&verdict)?;
        if arrival.deadline <= step.now {
            return Err(Refused::new(RefusalReason::DeadlinePassed));
        }
        if target.at_most_once && arrival.idempotency.is_none() {
            return Err(Refused::new(RefusalReason::KeyRequired));
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
            answer_started: false,
            tokens: 0,
            detached: false,
        })
    }

    fn check_key_age(&self, created_unix_millis: u64) -> Result<(), Refused> {
        if created_unix_millis < self.claims_born_after {
            return Err(Refused::new(RefusalReason::KeyExpired));
        }
        Ok(())
    }

    /// Finds the model or web group.
    fn resolve(&self, target: Target) -> Result<ResolvedTarget, Refused> {
        match target {
            Target::Model {
                model,
                adapter,
                kind,
                prefix_hash,
            } => {
                if !self.catalog.has_model(&model, adapter.as_ref()) {
                    return Err(Refused::with_detail(RefusalReason::NotFound, model.0));
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
                    return Err(Refused::with_detail(RefusalReason::NotFound, path));
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

    /// The policies' verdict on a request.
    fn judge_policies(
        &mut self,
        tenant: &TenantName,
        queue: &QueueKey,
        kind: &str,
        path: &str,
    ) -> Result<Arc<Verdict>, Refused> {
        let (model, adapter) = match queue {
            QueueKey::Model { model, adapter, .. } => (
                model.as_str(),
                adapter.as_ref().map_or("", |adapter| adapter.as_str()),
            ),
            QueueKey::Web(_) => ("", ""),
        };
        let facts = RequestAttributes {
            tenant: tenant.as_str(),
            model,
            adapter,
            kind,
            path,
        };
        self.catalog
            .verdict(&facts)
            .map_err(|error| Refused::with_detail(RefusalReason::PolicyDenied, error.to_string()))
    }

    /// Finds a place for an admitted request, or refuses it.
    fn place(&mut self, request: Request, step: &mut Step) -> Result<(), Refused> {
        self.demand.arrived(&request.queue);
        if let Some(refused) = self.hopeless(&request, step.now) {
            return Err(refused);
        }
        if request.claim.is_some() {
            return self.ask_for_claim(request, step);
        }
        if self.queues.is_empty(&request.queue)
            && let Some(seat) = self.find_seat(&request, step.now)
        {
            let number = request.number;
            self.table.insert(request);
            self.dispatch(number, seat, step);
            return Ok(());
        }
        self.make_room(&request, step)?;
        self.enqueue(request);
        Ok(())
    }

    /// Checks the bounds on waiting requests; a more urgent arrival displaces the newest batch
    /// request when the table is full.
    pub(crate) fn make_room(&mut self, request: &Request, step: &mut Step) -> Result<(), Refused> {
        let tenant = self.catalog.tenant(&request.tenant);
        let limit = tenant.map_or(0, |spec| spec.maximum_waiting);
        if self.table.waiting_of(&request.tenant) >= limit {
            return Err(Refused::new(RefusalReason::TenantLimit));
        }
        if self.table.waiting() < self.settings.maximum_waiting {
            return Ok(());
        }
        if request.urgency == Urgency::Batch {
            return Err(Refused::new(RefusalReason::QueueFull));
        }
        let Some(displaced) = self.table.newest_batch() else {
            return Err(Refused::new(RefusalReason::QueueFull));
        };
        self.give_up(displaced, Refused::new(RefusalReason::QueueFull), step);
        Ok(())
    }

    /// Puts a request into the table and its queue.
    fn enqueue(&mut self, request: Request) {
        let number = request.number;
        self.table.insert(request);
        self.push_to_queue(number);
    }

    /// Puts a request of the table into its queue. The first one that waits for a model which
    /// is not being served makes the next report go out at once.
    pub(crate) fn push_to_queue(&mut self, number: RequestNumber) {
        let Some(request) = self.table.get(number) else {
            return;
        };
        let first = self.queues.is_empty(&request.queue);
        let tenant = self.catalog.tenant(&request.tenant);
        let weight = tenant.map_or(1, |spec| spec.share_weight);
        self.queues.push(request, weight);
        if first {
            self.reporting.hurry();
        }
    }

    /// Judges again, after a change of the catalog, every request that waits.
    pub(crate) fn judge_waiting_by_catalog(&mut self, step: &mut Step) {
        for number in self.table.all_waiting() {
            if let Err(refused) = self.still_admitted(number) {
                self.give_up(number, refused, step);
            }
        }
    }

    fn still_admitted(&mut self, number: RequestNumber) -> Result<(), Refused> {
        let Some(request) = self.table.get(number) else {
            return Ok(());
        };
        if self.catalog.tenant(&request.tenant).is_none() {
            return Err(Refused::new(RefusalReason::UnknownKey));
        }
        let exists = match &request.queue {
            QueueKey::Model { model, adapter, .. } => {
                self.catalog.has_model(model, adapter.as_ref())
            }
            QueueKey::Web(group) => self.catalog.has_group(group),
        };
        if !exists {
            return Err(Refused::new(RefusalReason::NotFound));
        }
        let (tenant, queue) = (request.tenant.clone(), request.queue.clone());
        let (kind, path) = (request.kind, request.path.clone());
        let verdict = self.judge_policies(&tenant, &queue, kind, &path)?;
        check_verdict(&verdict)
    }

    /// Whether a request cannot be met in time as things stand.
    pub(crate) fn hopeless(&self, request: &Request, now: Timestamp) -> Option<Refused> {
        match self.readiness(&request.queue, now) {
            Readiness::Serving | Readiness::Unknown => None,
            Readiness::ReadyAt(ready) => {
                (request.deadline < ready).then(|| Refused::hopeless(ready, now))
            }
            Readiness::Unplaceable { given_up, ready } => {
                (given_up || request.deadline < ready).then(|| Refused::unplaceable(ready, now))
            }
            Readiness::NoBackend => {
                let given_up = request.arrived + NO_BACKEND_GRACE <= now;
                given_up.then(|| Refused::new(RefusalReason::Hopeless))
            }
            Readiness::VersionGone => Some(Refused::new(RefusalReason::BackendFailed)),
        }
    }
}

/// Turns a denying verdict into a refusal that names the policy.
fn check_verdict(verdict: &Verdict) -> Result<(), Refused> {
    if verdict.allowed {
        return Ok(());
    }
    let detail = match (&verdict.deciding_policy, &verdict.failure) {
        (Some(policy), Some(failure)) => format!("policy {policy} failed: {failure}"),
        (Some(policy), None) => format!("denied by policy {policy}"),
        (None, _) => "no policy allows it".to_owned(),
    };
    Err(Refused::with_detail(RefusalReason::PolicyDenied, detail))
}
