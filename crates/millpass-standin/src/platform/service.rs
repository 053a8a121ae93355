//! HTTP interface of the platform's list.

use super::model::{PlatformInput, PlatformModel, PlatformRefusal, PlatformSettings};
use crate::run::{
    FrontSettings, ScaledClock, error_response, json_response, parse_json, path_segments,
};
use anyhow::Result;
use http::{Method, StatusCode};
use millpass_http::{Handler, Request, Responder, Response, Server, ServerHandle};
use millpass_proto::{BackendName, PlatformList};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// A running platform list.
pub struct PlatformHandle {
    server: ServerHandle,
    service: Arc<Service>,
}

impl PlatformHandle {
    /// Address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.local_address()
    }

    /// Returns the list without lag; for checkers.
    pub fn current(&self) -> PlatformList {
        self.service.lock().current()
    }

    /// Stops immediately.
    pub fn stop(&self) {
        self.server.stop();
    }
}

/// Starts a platform list.
pub fn start(settings: PlatformSettings, front: &FrontSettings) -> Result<PlatformHandle> {
    let clock = ScaledClock::start(front.time_scale);
    let model = PlatformModel::new(settings, clock.now());
    let service = Arc::new(Service {
        clock,
        model: Mutex::new(model),
    });
    let server = Server::bind(front.listen, front.server("platform"))?;
    Ok(PlatformHandle {
        server: server.serve(service.clone()),
        service,
    })
}

struct Service {
    clock: ScaledClock,
    model: Mutex<PlatformModel>,
}

impl Handler for Service {
    fn handle(&self, request: Request, responder: Responder) {
        let segments = path_segments(&request.uri);
        let path: Vec<&str> = segments.iter().map(String::as_str).collect();
        let response = match (request.method.clone(), path.as_slice()) {
            (Method::GET, ["machines"]) => {
                let list = self.lock().list(self.clock.now());
                json_response(StatusCode::OK, &list)
            }
            (Method::POST, ["machines"]) => match parse_json(&request.body) {
                Ok(machine) => self.change(PlatformInput::Register(machine)),
                Err(response) => *response,
            },
            (Method::POST, ["machines", name, "leaving"]) => {
                self.change(PlatformInput::Leaving(BackendName::from(*name)))
            }
            (Method::DELETE, ["machines", name]) => {
                self.change(PlatformInput::Remove(BackendName::from(*name)))
            }
            _ => error_response(
                StatusCode::NOT_FOUND,
                "unknown_path",
                "see docs/interfaces/platform.md",
                false,
            ),
        };
        responder.send(response);
    }
}

impl Service {
    fn change(&self, input: PlatformInput) -> Response {
        let result = self.lock().step(self.clock.now(), input);
        match result {
            Ok(()) => Response::text(StatusCode::OK, ""),
            Err(refusal) => {
                let (status, code) = match refusal {
                    PlatformRefusal::Unknown => (StatusCode::NOT_FOUND, "unknown_machine"),
                    PlatformRefusal::Full => (StatusCode::SERVICE_UNAVAILABLE, "list_full"),
                };
                error_response(status, code, &refusal.to_string(), false)
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, PlatformModel> {
        self.model.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
