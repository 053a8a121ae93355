//! Listens and handles requests.

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

/// Maximum size of a deployment document.
const MAXIMUM_DOCUMENT_BYTES: usize = 8 * 1024 * 1024;

/// Bounds of the administration API.
#[derive(Clone, Debug)]
pub struct AdministrationLimits {
    /// Maximum number of open connections; further ones get status 503 and are closed. Announcing
    /// instances keep a connection to the leader each. The default leaves a quarter of 4,096 file
    /// descriptors to members, gateways and engines.
    pub maximum_connections: usize,
    /// Maximum number of concurrent calls; further ones wait.
    pub maximum_calls: usize,
    /// Maximum size of a body; larger ones get status 413.
    pub maximum_body_bytes: usize,
    /// Timeout for receiving the header, and for receiving the body.
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

/// Why the administration API could not start.
#[derive(Debug, thiserror::Error)]
pub enum AdministrationError {
    /// The listen address is invalid.
    #[error("{0:?} is not a listen address; write IP:port")]
    Address(String),
    /// The bootstrap key hash is invalid.
    #[error(
        "bootstrap_key_hash is not a BLAKE3 hash; write 64 hexadecimal digits, or leave it empty"
    )]
    BootstrapKeyHash,
    /// The server did not start.
    #[error(transparent)]
    Server(#[from] ServerError),
}

/// The running administration API; stops on drop.
pub struct AdministrationServer {
    handle: ServerHandle,
}

impl AdministrationServer {
    /// Returns the bound address.
    pub fn local_address(&self) -> SocketAddr {
        self.handle.local_address()
    }

    /// Stops accepting calls and waits at most `grace` for those in progress.
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

/// Starts the administration API. `listen` is IP:port; port 0 picks a free port. The key with
/// `bootstrap_key_hash` (hex, may be empty) has the administrator role while no account exists.
pub fn start(
    listen: &str,
    limits: &AdministrationLimits,
    bootstrap_key_hash: Option<&str>,
    calls: Arc<dyn AdministrationCalls>,
) -> Result<AdministrationServer, AdministrationError> {
    start_extended(listen, limits, bootstrap_key_hash, calls, None)
}

/// Like [`start`], with an extension that handles its own calls first.
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

/// Bodies of the largest size that are read or handled at once. Each is held as received, as parsed and
/// as a document.
const LARGE_BODIES_AT_ONCE: usize = 2;

fn server_settings(limits: &AdministrationLimits) -> ServerSettings {
    ServerSettings {
        name: "administration".to_owned(),
        executor_threads: 1,
        handler_threads: limits.maximum_calls,
        maximum_connections: limits.maximum_connections,
        maximum_body_bytes: limits.maximum_body_bytes,
        maximum_large_bytes: LARGE_BODIES_AT_ONCE * limits.maximum_body_bytes,
        header_timeout: limits.receive_timeout,
        body_timeout: limits.receive_timeout,
        ..ServerSettings::default()
    }
}

/// Request handler.
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

    /// Authenticates before routing, so that unauthenticated callers cannot discover paths.
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

    /// A member is ready if it leads with a valid lease or can name the leader.
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
