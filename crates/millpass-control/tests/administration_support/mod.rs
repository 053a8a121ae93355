//! An in-memory control group behind the real administration API, and raw calls to it.

use http::Method;
use millpass_control::administration::{
    AdministrationCalls, AdministrationLimits, AdministrationServer, start,
};
use millpass_control::client::AdministrationClient;
use millpass_control_plane::{AdministrationRequest, AdministrationResponse};
use millpass_proto::{
    Command, CommandOutcome, Duration, LogPosition, ObjectChange, ObjectKey, ObjectKind,
    ObjectSpec, OperatorRole, OperatorSpec,
};
use millpass_state::State;
use serde_json::{Value, json};
use std::collections::VecDeque;
use std::sync::{Arc, Mutex};

pub const BOOTSTRAP_KEY: &str = "bootstrap-key";
pub const ADMINISTRATOR_KEY: &str = "administrator-key";
pub const EDITOR_KEY: &str = "editor-key";
pub const VIEWER_KEY: &str = "viewer-key";

/// Injected fault of a call.
#[derive(Clone, Debug)]
pub enum Fault {
    NotLeader(Option<String>),
    Busy,
    Refused(String),
    /// The call is executed, but the response is lost.
    DoneUnknown,
}

#[derive(Default)]
struct Inner {
    state: State,
    index: u64,
    /// Faults of the next changes and marks, one each.
    faults: VecDeque<Fault>,
    /// Makes every call fail as not leader.
    not_leader: Option<Option<String>>,
}

/// The in-memory group.
#[derive(Default)]
pub struct FakeGroup {
    inner: Mutex<Inner>,
}

impl FakeGroup {
    pub fn inject(&self, fault: Fault) {
        self.inner.lock().unwrap().faults.push_back(fault);
    }

    pub fn follow(&self, leader: Option<String>) {
        self.inner.lock().unwrap().not_leader = Some(leader);
    }

    pub fn object(&self, kind: ObjectKind, name: &str) -> Option<Value> {
        let name = name.to_owned();
        let inner = self.inner.lock().unwrap();
        let object = inner.state.object(&ObjectKey { kind, name })?;
        Some(millpass_control::api::spec_to_json(&object.spec).unwrap())
    }

    pub fn revision(&self) -> u64 {
        let inner = self.inner.lock().unwrap();
        inner.state.configuration_revision().0
    }

    fn add_operator(&self, name: &str, key: &str, role: OperatorRole) {
        let change = ObjectChange {
            key: ObjectKey {
                kind: ObjectKind::Operator,
                name: name.to_owned(),
            },
            expected_version: 0,
            change_id: name.into(),
            operator: "test".into(),
            at_unix_millis: 0,
            spec: Some(ObjectSpec::Operator(OperatorSpec {
                key_hash: hash(key),
                role,
            })),
        };
        self.inner.lock().unwrap().change(change);
    }
}

impl Inner {
    fn change(&mut self, change: ObjectChange) -> AdministrationResponse {
        self.index += 1;
        let at = LogPosition {
            term: 1,
            index: self.index,
        };
        match self.state.apply(at, &Command::ChangeObject(change)) {
            CommandOutcome::Object(outcome) => AdministrationResponse::Change(outcome),
            other => panic!("{other:?}"),
        }
    }
}

impl AdministrationCalls for FakeGroup {
    fn announcement_refused(
        &self,
        _: millpass_control::RefusedAnnouncement,
        _: &dyn std::fmt::Display,
    ) {
    }

    fn call(&self, request: AdministrationRequest) -> AdministrationResponse {
        let mut inner = self.inner.lock().unwrap();
        if let Some(leader_address) = inner.not_leader.clone() {
            return AdministrationResponse::NotLeader { leader_address };
        }
        let changes = matches!(
            request,
            AdministrationRequest::Change(_) | AdministrationRequest::MarkBackend(..)
        );
        let fault = changes.then(|| inner.faults.pop_front()).flatten();
        match (fault, request) {
            (Some(Fault::NotLeader(leader_address)), _) => {
                AdministrationResponse::NotLeader { leader_address }
            }
            (Some(Fault::Busy), _) => AdministrationResponse::Busy,
            (Some(Fault::Refused(reason)), _) => AdministrationResponse::Refused(reason),
            (Some(Fault::DoneUnknown), AdministrationRequest::Change(change)) => {
                inner.change(change);
                AdministrationResponse::Unknown
            }
            (_, AdministrationRequest::Change(change)) => inner.change(change),
            (_, AdministrationRequest::Get(key)) => {
                AdministrationResponse::Object(inner.state.object(&key).cloned())
            }
            (_, AdministrationRequest::List(kind)) => {
                let objects = inner.state.objects(kind);
                AdministrationResponse::Objects(objects.into_iter().cloned().collect())
            }
            (_, AdministrationRequest::Audit(after)) => {
                let records = inner.state.audit_since(after);
                AdministrationResponse::Audit(records.into_iter().cloned().collect())
            }
            _ => AdministrationResponse::Done,
        }
    }

    fn metrics_text(&self) -> String {
        "millpass_control_up 1\n".to_owned()
    }
}

/// A group and its API.
pub struct Fixture {
    pub group: Arc<FakeGroup>,
    pub server: AdministrationServer,
}

/// Response of a raw call.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub retry_after: Option<String>,
    pub body: Value,
}

impl Answer {
    pub fn kind(&self) -> &str {
        self.body["error"]["kind"].as_str().unwrap_or_default()
    }

    pub fn detail(&self, field: &str) -> &Value {
        &self.body["error"][field]
    }
}

impl Fixture {
    /// Without accounts, so that the bootstrap key is valid.
    pub fn empty() -> Self {
        let group = Arc::new(FakeGroup::default());
        let limits = AdministrationLimits::default();
        let bootstrap = hash(BOOTSTRAP_KEY);
        let server = start("127.0.0.1:0", &limits, Some(&bootstrap), group.clone()).unwrap();
        Fixture { group, server }
    }

    /// With one account of each role.
    pub fn with_operators() -> Self {
        let fixture = Fixture::empty();
        let group = &fixture.group;
        group.add_operator("ada", ADMINISTRATOR_KEY, OperatorRole::Administrator);
        group.add_operator("edith", EDITOR_KEY, OperatorRole::Editor);
        group.add_operator("vic", VIEWER_KEY, OperatorRole::Viewer);
        fixture
    }

    pub fn address(&self) -> String {
        self.server.local_address().to_string()
    }

    pub fn client(&self, key: &str) -> AdministrationClient {
        AdministrationClient::new(vec![self.address()], key).with_deadline(Duration::from_secs(10))
    }

    /// Sends a raw request.
    pub fn send(&self, method: &str, path: &str, key: Option<&str>, body: &[u8]) -> Answer {
        let agent: ureq::Agent = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .proxy(None)
            .build()
            .into();
        let mut request = http::Request::builder()
            .method(Method::from_bytes(method.as_bytes()).unwrap())
            .uri(format!("http://{}{path}", self.address()));
        if let Some(key) = key {
            request = request.header("Authorization", format!("Bearer {key}"));
        }
        let mut answer = agent.run(request.body(body).unwrap()).unwrap();
        let retry_after = answer.headers().get("retry-after");
        Answer {
            status: answer.status().as_u16(),
            retry_after: retry_after.map(|value| value.to_str().unwrap().to_owned()),
            body: {
                let text = answer.body_mut().read_to_string().unwrap();
                serde_json::from_str(&text).unwrap_or(Value::String(text))
            },
        }
    }

    pub fn get(&self, path: &str, key: &str) -> Answer {
        self.send("GET", path, Some(key), b"")
    }

    /// Submits a change of an object.
    pub fn put(&self, path: &str, key: &str, version: u64, id: &str, spec: Value) -> Answer {
        let body = json!({"expected_version": version, "change_id": id, "spec": spec});
        self.send("PUT", path, Some(key), body.to_string().as_bytes())
    }
}

pub fn hash(key: &str) -> String {
    blake3::hash(key.as_bytes()).to_hex().to_string()
}

pub fn tenant(weight: u32) -> Value {
    json!({
        "api_key_hashes": [hash("tenant-key")],
        "share_weight": weight,
        "capacity_bytes": 1024,
        "maximum_waiting": 10,
    })
}

pub fn operator(key: &str, role: &str) -> Value {
    json!({"key_hash": hash(key), "role": role})
}
