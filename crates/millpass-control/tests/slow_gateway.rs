//! Guards against stale configuration: a gateway that stops reading must later receive the newest
//! update, not a queue of older ones.

mod common;

use common::wait_for;
use millpass_control::administration::AdministrationCalls;
use millpass_control::{ApiExtension, ControlProcessSettings, Extensions, start_extended};
use millpass_control_plane::{AdministrationRequest, AdministrationResponse, FleetSettings};
use millpass_http::{Request, Response};
use millpass_proto::codec::{read_frame, write_frame};
use millpass_proto::*;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};

/// Number of versions applied while the gateway does not read.
const VERSIONS: u64 = 20;
/// Services per document. They differ between versions, so that each document of 400 kB is sent in
/// full.
const SERVICES: u64 = 4_000;
/// Maximum number of documents received: buffered in the socket, being written, waiting, and the
/// newest.
const MAXIMUM_DOCUMENTS: usize = 4;

/// Puts documents on request of the test.
struct Calls(Arc<Mutex<Vec<AdministrationResponse>>>);

impl ApiExtension for Calls {
    fn handle(&self, request: &Request, calls: &dyn AdministrationCalls) -> Option<Response> {
        let path = request.uri.path();
        let version: u64 = path.strip_prefix("/test/put/")?.parse().ok()?;
        let put = AdministrationRequest::PutDocument(Box::new(PutDocument {
            document: document(version).into(),
            source: Default::default(),
        }));
        let response = calls.call(put);
        let done = matches!(response, AdministrationResponse::Done);
        self.0.lock().expect("responses").push(response);
        let status = if done { 200 } else { 503 };
        let status = http::StatusCode::from_u16(status).expect("a status");
        Some(Response::text(status, ""))
    }
}

fn document(version: u64) -> DeploymentDocument {
    let service = |number| ServiceSpec {
        name: format!("service-{version}-{number}").into(),
        health_path: format!("/health/{}", "x".repeat(60)),
        maximum_connections: 0,
        engine: None,
    };
    DeploymentDocument {
        version,
        routes: Vec::new(),
        services: (0..SERVICES).map(service).collect(),
        limits: CallerLimits {
            header_bytes: 0,
            body_bytes: 0,
            header_millis: 0,
            idle_millis: 0,
        },
        tenants: Vec::new(),
    }
}

fn report(stream: &mut TcpStream, sequence: u64, version: u64) {
    let report = GatewayReport {
        gateway: "g-1".to_owned(),
        zone: "zone-0".into(),
        sequence,
        version,
        demand: Vec::new(),
        inconsistent: Vec::new(),
        in_flight: Vec::new(),
        as_of: 0,
        known_instance_digests: Vec::new(),
        paces: Vec::new(),
    };
    let message = LinkMessage::Router(RouterToControl::Gateway(report));
    write_frame(stream, &message).expect("report");
}

#[test]
fn a_gateway_that_does_not_read_has_one_waiting_update() {
    let folder = tempfile::tempdir().expect("folder");
    let mut settings = ControlProcessSettings::single(folder.path());
    settings.fleet = Some(FleetSettings::default());
    let responses = Arc::new(Mutex::new(Vec::new()));
    let extensions = Extensions {
        api: Some(Arc::new(Calls(responses.clone()))),
        engines: None,
    };
    let handle = start_extended(settings, extensions).expect("start");
    let put = |version: u64| {
        let address = handle.administration_address();
        let url = format!("http://{address}/test/put/{version}");
        ureq::get(&url).call().ok()
    };
    wait_for("leader", || put(1));
    let mut stream = TcpStream::connect(handle.peer_address()).expect("connect");
    report(&mut stream, 1, 0);
    for version in 2..=VERSIONS {
        wait_for("change", || put(version));
        // Sends a report, but does not read.
        report(&mut stream, version, 0);
    }
    let mut documents = Vec::new();
    while documents.last() != Some(&VERSIONS) {
        match read_frame(&mut stream).expect("the connection stays open") {
            ControlToRouter::Gateway(update) => {
                documents.extend(update.document.map(|document| document.version));
            }
            ControlToRouter::Crashes(_)
            | ControlToRouter::Permits(_)
            | ControlToRouter::Limits(_) => {}
            other => panic!("{other:?}"),
        }
    }
    assert!(documents.len() <= MAXIMUM_DOCUMENTS, "{documents:?}");
}
