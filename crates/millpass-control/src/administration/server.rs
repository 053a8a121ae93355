//! Listening, and one request from its bytes to its answer.

use super::AdministrationCalls;
use super::authentication::authenticate;
use super::failure::Failure;
use super::operations::execute;
use super::routes::{self, OpenRoute};
use crate::api::MAXIMUM_BODY_BYTES;
use crate::interface::ApiExtension;
use blake3::Hash;
use http::StatusCode;
use millpass_control_plane::{AdministrationRequest, AdministrationResponse};
use millpass_http::{
    Request, Responder, Response, Server, ServerError, ServerHandle, ServerSettings,
};
use millpass_proto::{Duration, ObjectKey, ObjectKind};
use std::net::SocketAddr;
use std::sync::Arc;

/// Most bytes of a deployment document.
const MAXIMUM_DOCUMENT_BYTES: usize = 8 * 1024 * 1024;

/// Bounds of the administration API.
#[derive(Clone, Debug)]
pub struct AdministrationLimits {
    /// Most open connections; one more is answered 503 and closed. Instances that announce themselves keep
    /// theirs, each at the leader in the end. Leaves a quarter of 4,096 descriptors to members, gateways
    /// and engines.
    pub maximum_connections: usize,
    /// Most calls that are carried out at once; more wait. A call takes milliseconds, so connections at
    /// rest need none.
    pub maximum_calls: usize,
    /// Most bytes of a body; more is answered 413.
    pub maximum_body_bytes: usize,
    /// Time for a caller to send its header, and its body.
    pub receive_timeout: Duration,
}

impl Default for AdministrationLimits {
    fn default() -> Self {
        AdministrationLimits {
            maximum_connections: 3_072,
            maximum_calls: 256,
            maximum_body_bytes: MAXIMUM_BODY_BYTES,
            receive_timeout: Duration::from_secs(10),
        }
    }
}

/// Why the administration API did not start.
#[derive(Debug, thiserror::Error)]
pub enum AdministrationError {
    /// The address is none.
    #[error("{0:?} is no address to listen at; write IP:port")]
    Address(String),
    /// The hash is none.
    #[error("bootstrap_key_hash is no BLAKE3 hash; write 64 hexadecimal digits, or leave it empty")]
    BootstrapKeyHash,
    /// The server did not start.
    #[error(transparent)]
    Server(#[from] ServerError),
}

/// The running administration API. Dropped, it stops.
pub struct AdministrationServer {
    handle: ServerHandle,
}

impl AdministrationServer {
    /// Address listened at, with the real port.
    pub fn local_address(&self) -> SocketAddr {
        self.handle.local_address()
    }

    /// Takes no more calls and waits at most `grace` for those under way.
    pub fn drain(&self, grace: Duration) {
        let report = self.handle.drain(grace);
        log::info!(
            "event=administration_drained finished={} cut={}",
            report.finished,
            report.cut
        );
    }

    /// Stops at once.
    pub fn stop(&self) {
        self.handle.stop();
    }
}

/// Starts the administration API. `listen` is IP:port, port 0 takes a free one;
/// `bootstrap_key_hash` (hex, may be empty) counts as administrator while no account exists.
pub fn start(
    listen: &str,
    limits: &AdministrationLimits,
    bootstrap_key_hash: Option<&str>,
    calls: Arc<dyn AdministrationCalls>,
) -> Result<AdministrationServer, AdministrationError> {
    start_extended(listen, limits, bootstrap_key_hash, calls, None)
}

/// Like [`start`]; `extension` answers calls of its own first.
pub fn start_extended(
    listen: &str,
    limits: &AdministrationLimits,
    bootstrap_key_hash: Option<&str>,
    calls: Arc<dyn AdministrationCalls>,
    extension: Option<Arc<dyn ApiExtension>>,
) -> Result<AdministrationServer, AdministrationError> {
    let address = listen
        .parse()
        .map_err(|_| AdministrationError::Address(listen.to_owned()))?;
    let bootstrap = bootstrap_key_hash
        .filter(|hash| !hash.is_empty())
        .map(Hash::from_hex)
        .transpose()
        .map_err(|_| AdministrationError::BootstrapKeyHash)?;
    let mut server = server_settings(limits);
    if extension.is_some() {
        server.maximum_body_bytes = server.maximum_body_bytes.max(MAXIMUM_DOCUMENT_BYTES);
    }
    let server = Server::bind(address, server)?;
    let api = Api {
        calls,
        bootstrap,
        extension,
    };
    let handler = move |request: Request, responder: Responder| {
        responder.send(api.respond(&request));
    };
    Ok(AdministrationServer {
        handle: server.serve(Arc::new(handler)),
    })
}

fn server_settings(limits: &AdministrationLimits) -> ServerSettings {
    ServerSettings {
        name: "administration".to_owned(),
        executor_threads: 1,
        handler_threads: limits.maximum_calls,
        maximum_connections: limits.maximum_connections,
        maximum_body_bytes: limits.maximum_body_bytes,
        header_timeout: limits.receive_timeout,
        body_timeout: limits.receive_timeout,
        ..ServerSettings::default()
    }
}

/// What answers requests.
struct Api {
    calls: Arc<dyn AdministrationCalls>,
    bootstrap: Option<Hash>,
    extension: Option<Arc<dyn ApiExtension>>,
}

impl Api {
    fn respond(&self, request: &Request) -> Response {
        let extension = self.extension.as_deref();
        let response = extension.and_then(|extension| extension.handle(request, &*self.calls));
        if let Some(response) = response {
            return response;
        }
        if let Some(open) = routes::open_route(&request.method, &request.uri) {
            return self.respond_open(open);
        }
        self.respond_operator(request)
            .unwrap_or_else(Failure::into_response)
    }

    /// Nothing, not even which paths there are, is told before the key is known.
    fn respond_operator(&self, request: &Request) -> Result<Response, Failure> {
        let caller = authenticate(&*self.calls, self.bootstrap, &request.headers)?;
        let route = routes::route(&request.method, &request.uri)?;
        caller.check_role(route.required_role())?;
        execute(&*self.calls, &caller, route, &request.body)
    }

    fn respond_open(&self, route: OpenRoute) -> Response {
        match route {
            OpenRoute::Health => Response::text(StatusCode::OK, "ok\n"),
            OpenRoute::Ready => self.ready(),
            OpenRoute::Metrics => Response::text(StatusCode::OK, self.calls.metrics_text()),
        }
    }

    /// Ready is a member that can prove that it leads, or can name who leads.
    fn ready(&self) -> Response {
        let probe = AdministrationRequest::Get(ObjectKey {
            kind: ObjectKind::Operator,
            name: String::new(),
        });
        match self.calls.call(probe) {
            AdministrationResponse::Object(_) => Response::text(StatusCode::OK, "leads\n"),
            AdministrationResponse::NotLeader {
                leader_address: Some(address),
            } => Response::text(StatusCode::OK, format!("follows {address}\n")),
            _ => Response::text(StatusCode::SERVICE_UNAVAILABLE, "knows no leader\n"),
        }
    }
}
