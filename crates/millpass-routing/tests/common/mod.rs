//! Drives a routing core in virtual time with a test catalog and routes.
#![allow(dead_code)]

use millpass_proto::*;
use millpass_routing::*;

/// Wall clock of the tests.
pub const UNIX_MILLIS: u64 = 1_800_000_000_000;
/// Length of every lease granted here.
pub const LEASE_MILLIS: u64 = 3_000;
/// Time from arrival to deadline unless a test sets another.
pub const REQUEST_TIMEOUT_MILLIS: u64 = 10_000;

/// Default settings of the tests.
pub fn settings() -> RoutingSettings {
    RoutingSettings {
        group: GroupId(1),
        router: "router-1".into(),
        incarnation: Incarnation(77),
        zone: "north".into(),
        address: "127.0.0.1:1".to_owned(),
        report_interval: Duration::from_millis(1_000),
        minimum_report_interval: Duration::from_millis(50),
        maximum_waiting: 100,
        maximum_attempts: 3,
        retry_budget_percent: 20,
        circuit_failures: 3,
        circuit_open: Duration::from_millis(1_000),
        claim_timeout: Duration::from_millis(2_000),
    }
}

/// A policy with this `allow` expression.
pub fn policy(allow: &str) -> PolicySpec {
    PolicySpec {
        allow: allow.to_owned(),
        deny: None,
        urgency: None,
        capacity_bytes: None,
        examples: Vec::new(),
    }
}

/// A loaded replica.
pub fn replica(slot: u64, model: &str, zone: &str) -> ReplicaRoute {
    ReplicaRoute {
        slot: SlotId(slot),
        model: model.into(),
        version: "v1".into(),
        backend: BackendName(format!("engine-{slot}")),
        incarnation: Incarnation(1),
        address: format!("127.0.0.1:{}", 1_000 + slot),
        zone: zone.into(),
        role: EngineRole::Mixed,
        phase: ReplicaPhase::Loaded,
        leaving: false,
        adapters: Vec::new(),
        concurrency: 2,
    }
}

/// A web backend of the group `pages`.
pub fn web(number: u64, zone: &str) -> WebRoute {
    WebRoute {
        backend: BackendName(format!("web-{number}")),
        group: "pages".into(),
        incarnation: Incarnation(1),
        address: format!("127.0.0.1:{}", 2_000 + number),
        zone: zone.into(),
        leaving: false,
    }
}

/// A routing core with its virtual clock.
pub struct Driver {
    pub routing: Routing,
    pub now: Timestamp,
    pub term: u64,
    pub last_report: Option<RouterReport>,
    pub revision: u64,
    pub placement: u64,
    next_request: u64,
}

fn object(kind: ObjectKind, name: &str, spec: ObjectSpec) -> StoredObject {
    StoredObject {
        key: ObjectKey {
            kind,
            name: name.to_owned(),
        },
        version: 1,
        revision: ConfigurationRevision(1),
        spec,
    }
}

pub fn tenant_object(name: &str, share_weight: u32, maximum_waiting: u32) -> StoredObject {
    let hash = blake3::hash(format!("key-{name}").as_bytes());
    let spec = TenantSpec {
        api_key_hashes: vec![hash.to_hex().to_string()],
        share_weight,
        capacity_bytes: 0,
        maximum_waiting,
    };
    object(ObjectKind::Tenant, name, ObjectSpec::Tenant(spec))
}

pub fn model_object(name: &str) -> StoredObject {
    let spec = ModelSpec {
        current_version: "v1".into(),
        accelerators_per_replica: 1,
        maximum_replicas: 4,
        minimum_replicas: 0,
        concurrency_per_replica: 2,
    };
    object(ObjectKind::Model, name, ObjectSpec::Model(spec))
}

pub fn adapter_object(name: &str, model: &str) -> StoredObject {
    let spec = AdapterSpec {
        model: model.into(),
        bytes: 1,
        checkpoint: name.to_owned(),
    };
    object(ObjectKind::Adapter, name, ObjectSpec::Adapter(spec))
}

pub fn policy_object(name: &str, spec: PolicySpec) -> StoredObject {
    object(ObjectKind::Policy, name, ObjectSpec::Policy(spec))
}

fn group_object(name: &str, prefix: &str) -> StoredObject {
    let spec = BackendGroupSpec {
        path_prefix: prefix.to_owned(),
        non_repeatable_paths: vec![format!("{prefix}publish")],
    };
    object(
        ObjectKind::BackendGroup,
        name,
        ObjectSpec::BackendGroup(spec),
    )
}

/// Tenants `t1`, `t2` (weights 1 and 3) and `batcher`; models `m1`, `m2`; adapter `a1` of `m1`; web
/// groups `pages` (`/`) and `deep` (`/deep/`). Policies set batch urgency for `batcher` and
/// interactive urgency for chat, and deny `m2` to `t2`.
pub fn catalog_objects() -> Vec<StoredObject> {
    let mut rule = policy("true");
    rule.urgency = Some(
        "tenant == 'batcher' ? 'batch' : kind == 'chat' ? 'interactive' : 'normal'".to_owned(),
    );
    let mut barred = policy("false");
    barred.deny = Some("tenant == 't2' && model == 'm2'".to_owned());
    vec![
        tenant_object("t1", 1, 50),
        tenant_object("t2", 3, 50),
        tenant_object("batcher", 1, 100),
        model_object("m1"),
        model_object("m2"),
        adapter_object("a1", "m1"),
        group_object("pages", "/"),
        group_object("deep", "/deep/"),
        policy_object("barred", barred),
        policy_object("open", rule),
    ]
}

impl Driver {
    /// A core without link, lease or catalog.
    pub fn without_lease(settings: RoutingSettings) -> Self {
        Driver {
            routing: Routing::new(settings, Timestamp::ZERO),
            now: Timestamp::from_millis(1_000),
            term: 5,
            last_report: None,
            revision: 0,
            placement: 0,
            next_request: 0,
        }
    }

    /// A core with a lease, the test catalog and these routes.
    pub fn ready(replicas: Vec<ReplicaRoute>, webs: Vec<WebRoute>) -> Self {
        Self::ready_with(settings(), replicas, webs)
    }

    /// As [`Driver::ready`], with other settings.
    pub fn ready_with(
        settings: RoutingSettings,
        replicas: Vec<ReplicaRoute>,
        webs: Vec<WebRoute>,
    ) -> Self {
        let mut driver = Driver::without_lease(settings);
        driver.step(RoutingInput::LinkUp);
        let mut update = driver.update();
        update.configuration = Some(driver.full_catalog(catalog_objects()));
        update.placement = Some(driver.full_routes(replicas, webs));
        driver.step(RoutingInput::Update(update));
        driver
    }

    pub fn full_catalog(&mut self, objects: Vec<StoredObject>) -> ConfigurationDelta {
        self.revision += 1;
        ConfigurationDelta {
            from: ConfigurationRevision(0),
            to: ConfigurationRevision(self.revision),
            full: true,
            objects,
            removed: Vec::new(),
        }
    }

    pub fn full_routes(
        &mut self,
        replicas: Vec<ReplicaRoute>,
        webs: Vec<WebRoute>,
    ) -> PlacementDelta {
        self.placement += 1;
        PlacementDelta {
            from: PlacementRevision(0),
            to: PlacementRevision(self.placement),
            full: true,
            replicas,
            web: webs,
            removed_slots: Vec::new(),
            removed_backends: Vec::new(),
        }
    }

    /// An empty update that responds to the last report.
    pub fn update(&self) -> RouterUpdate {
        RouterUpdate {
            term: self.term,
            sequence: self
                .last_report
                .as_ref()
                .map_or(0, |report| report.sequence),
            lease_millis: LEASE_MILLIS,
            configuration: None,
            placement: None,
            watch: None,
            load_estimates: Vec::new(),
            claims_created_after_unix_millis: 0,
        }
    }

    /// Executes one step at the current time.
    pub fn step(&mut self, input: RoutingInput) -> Vec<RoutingOutput> {
        let outputs = self.routing.step(self.now, UNIX_MILLIS, input);
        for output in &outputs {
            if let RoutingOutput::SendReport(report) = output {
                self.last_report = Some(report.clone());
            }
        }
        outputs
    }

    /// Executes a tick after this many milliseconds.
    pub fn tick(&mut self, millis: u64) -> Vec<RoutingOutput> {
        self.now = self.now + Duration::from_millis(millis);
        self.step(RoutingInput::Tick)
    }

    /// Triggers a report and responds with new routes.
    pub fn update_routes(
        &mut self,
        replicas: Vec<ReplicaRoute>,
        webs: Vec<WebRoute>,
    ) -> Vec<RoutingOutput> {
        self.tick(1_000);
        let mut update = self.update();
        update.placement = Some(self.full_routes(replicas, webs));
        self.step(RoutingInput::Update(update))
    }

    /// Triggers a report and responds with this ready estimate for `m1`.
    pub fn send_estimate(&mut self, ready_in_millis: u64, placeable: bool) -> Vec<RoutingOutput> {
        self.tick(60);
        let mut update = self.update();
        update.load_estimates = vec![LoadEstimate {
            model: "m1".into(),
            ready_in_millis,
            placeable,
        }];
        self.step(RoutingInput::Update(update))
    }

    /// An arrival with a deadline after [`REQUEST_TIMEOUT_MILLIS`].
    pub fn arrival(&mut self, tenant: &str, target: Target) -> Arrival {
        self.next_request += 1;
        Arrival {
            request: RequestNumber(self.next_request),
            request_id: format!("request-{}", self.next_request),
            api_key: format!("key-{tenant}"),
            target,
            deadline: self.now + Duration::from_millis(REQUEST_TIMEOUT_MILLIS),
            idempotency: None,
        }
    }

    /// Sends a request for a model; returns its number and the outputs.
    pub fn request(&mut self, tenant: &str, model: &str) -> (RequestNumber, Vec<RoutingOutput>) {
        let arrival = self.arrival(tenant, model_target(model));
        self.arrive(arrival)
    }

    pub fn arrive(&mut self, arrival: Arrival) -> (RequestNumber, Vec<RoutingOutput>) {
        let number = arrival.request;
        (number, self.step(RoutingInput::Arrived(arrival)))
    }

    pub fn complete(&mut self, request: RequestNumber) -> Vec<RoutingOutput> {
        self.step(RoutingInput::Completed {
            request,
            answer: None,
        })
    }

    pub fn fail(&mut self, request: RequestNumber, failure: AttemptFailure) -> Vec<RoutingOutput> {
        self.step(RoutingInput::Failed { request, failure })
    }

    pub fn decide_claim(
        &mut self,
        request: RequestNumber,
        decision: ClaimDecision,
    ) -> Vec<RoutingOutput> {
        self.step(RoutingInput::ClaimDecided {
            attempt: request.0,
            decision,
        })
    }
}

pub fn model_target(model: &str) -> Target {
    Target::Model {
        model: model.into(),
        adapter: None,
        kind: "completion",
        prefix_hash: 9,
    }
}

pub fn web_target(path: &str, safe_method: bool) -> Target {
    Target::Web {
        path: path.to_owned(),
        safe_method,
    }
}

pub fn key(name: &str) -> Option<IdempotencyKey> {
    Some(IdempotencyKey {
        key: name.into(),
        created_unix_millis: UNIX_MILLIS,
        digest: "00".to_owned(),
    })
}

pub fn recorded_answer() -> RecordedAnswer {
    RecordedAnswer {
        status: 200,
        content_type: "text/plain".to_owned(),
        body: b"done".to_vec().into(),
    }
}

/// Dispatches among the outputs.
pub fn dispatches(outputs: &[RoutingOutput]) -> Vec<&Dispatch> {
    let found = outputs.iter().filter_map(|output| match output {
        RoutingOutput::Dispatch(dispatch) => Some(&**dispatch),
        _ => None,
    });
    found.collect()
}

/// Refusals among the outputs.
pub fn refusals(outputs: &[RoutingOutput]) -> Vec<(RequestNumber, RefusalReason, Executed)> {
    let found = outputs.iter().filter_map(|output| match output {
        RoutingOutput::Refuse(number, refusal) => Some((*number, refusal.reason, refusal.executed)),
        _ => None,
    });
    found.collect()
}

/// Broken-off responses among the outputs.
pub fn break_offs(outputs: &[RoutingOutput]) -> Vec<(RequestNumber, RefusalReason)> {
    let found = outputs.iter().filter_map(|output| match output {
        RoutingOutput::BreakOff(number, refusal) => Some((*number, refusal.reason)),
        _ => None,
    });
    found.collect()
}

/// Claim conclusions among the outputs.
pub fn conclusions(outputs: &[RoutingOutput]) -> Vec<ClaimConclusion> {
    let found = outputs.iter().filter_map(|output| match output {
        RoutingOutput::SendClaimFinish(finish) => Some(finish.conclusion.clone()),
        _ => None,
    });
    found.collect()
}

/// Attempt numbers of the claim requests among the outputs.
pub fn requested_claims(outputs: &[RoutingOutput]) -> Vec<u64> {
    let found = outputs.iter().filter_map(|output| match output {
        RoutingOutput::SendClaim(begin) => Some(begin.attempt),
        _ => None,
    });
    found.collect()
}

/// Returns true if the outputs contain a report.
pub fn reports(outputs: &[RoutingOutput]) -> bool {
    let is_report = |output: &RoutingOutput| matches!(output, RoutingOutput::SendReport(_));
    outputs.iter().any(is_report)
}
