//! End-to-end tests of `millpass dev` over loopback.

use millpass_cli::dev::DevDeployment;
use serde_json::Value;
use std::net::{Ipv4Addr, SocketAddr};

struct Response {
    status: u16,
    request_id: String,
    executed: Option<String>,
    body: String,
}

fn start(folder: &tempfile::TempDir) -> DevDeployment {
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    DevDeployment::start(any_port, &folder.path().join("control")).expect("start")
}

fn post(
    deployment: &DevDeployment,
    path: &str,
    key: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Response {
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .build()
        .into();
    let mut request = agent
        .post(format!("http://{}{path}", deployment.address()))
        .header("Authorization", format!("Bearer {key}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let mut response = request.send(body).expect("response");
    let header = |response: &ureq::http::Response<ureq::Body>, name: &str| {
        response
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned)
    };
    Response {
        status: response.status().as_u16(),
        request_id: header(&response, "x-request-id").unwrap_or_default(),
        executed: header(&response, "millpass-executed"),
        body: response.body_mut().read_to_string().expect("body"),
    }
}

#[test]
fn a_burst_of_cold_requests_is_served_by_one_replica() {
    let folder = tempfile::tempdir().expect("folder");
    let deployment = start(&folder);
    let body = r#"{"model":"translator","prompt":"nonce=n1 hello","max_tokens":4,"stream":true}"#;
    std::thread::scope(|scope| {
        let calls: Vec<_> = (0..8)
            .map(|_| scope.spawn(|| post(&deployment, "/v1/completions", "demo-key", &[], body)))
            .collect();
        for call in calls {
            let response = call.join().expect("call");
            assert_eq!(response.status, 200, "{}", response.body);
            assert!(
                response.body.trim_end().ends_with("data: [DONE]"),
                "{}",
                response.body
            );
        }
    });
    let loads: u64 = deployment
        .engines()
        .iter()
        .map(|engine| engine.audit().model_loads)
        .sum();
    assert_eq!(loads, 1);
    deployment.stop();
}

#[test]
fn a_policy_refusal_is_explained() {
    let folder = tempfile::tempdir().expect("folder");
    let deployment = start(&folder);
    let body = r#"{"model":"translator","prompt":"hello"}"#;
    let response = post(&deployment, "/v1/completions", "guest-key", &[], body);
    assert_eq!(response.status, 403, "{}", response.body);
    assert_eq!(response.executed.as_deref(), Some("no"));
    let error: Value = serde_json::from_str(&response.body).expect("json");
    assert_eq!(error["error"]["code"], "policy_denied");
    let url = format!(
        "http://{}/v1/explain/{}",
        deployment.metrics_address(),
        response.request_id
    );
    let explained = ureq::get(url)
        .call()
        .expect("explain")
        .body_mut()
        .read_to_string()
        .expect("text");
    assert!(explained.contains("policy"), "{explained}");
    deployment.stop();
}

#[test]
fn a_repeated_idempotency_key_returns_the_recorded_response() {
    let folder = tempfile::tempdir().expect("folder");
    let deployment = start(&folder);
    let key = uuid::Uuid::now_v7().to_string();
    let headers = [("Idempotency-Key", key.as_str())];
    let first = post(
        &deployment,
        "/pages/publish",
        "demo-key",
        &headers,
        "total=1",
    );
    assert_eq!(first.status, 200, "{}", first.body);
    let second = post(
        &deployment,
        "/pages/publish",
        "demo-key",
        &headers,
        "total=1",
    );
    assert_eq!(
        (second.status, second.body.as_str()),
        (200, first.body.as_str())
    );
    let other = post(
        &deployment,
        "/pages/publish",
        "demo-key",
        &headers,
        "total=2",
    );
    assert_eq!(other.status, 422, "{}", other.body);
    let without = post(&deployment, "/pages/publish", "demo-key", &[], "total=1");
    assert_eq!(without.status, 400, "{}", without.body);
    deployment.stop();
}
