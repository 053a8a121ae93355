//! Control port of the relay: JSON over HTTP.
//!
//! `GET /status`, `POST /processes`, `POST /cut`, `POST /heal`, `POST /heal-all`, `POST /delay`.

use super::paths::PathKey;
use super::server::{PathEntry, Relay};
use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use millpass_http::{Request, Responder, Response};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Request to cut or heal a pair of zones.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CutRequest {
    /// Pair of zones; `*` matches any other zone.
    pub pair: PathKey,
    /// Cuts only the given direction.
    #[serde(default)]
    pub one_way: bool,
}

/// Registration of the zone of a process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessZone {
    /// Process id.
    pub process: i32,
    /// Zone; `None` removes the registration.
    pub zone: Option<String>,
}

/// Counters of a link.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkStatus {
    /// Name.
    pub name: String,
    /// Listen address.
    pub address: SocketAddr,
    /// Connections accepted.
    pub accepted: u64,
    /// Connections from an unknown process; treated as coming from another zone.
    pub unknown_sources: u64,
    /// Bytes sent to the target.
    pub forward_bytes: u64,
    /// Bytes sent back from the target.
    pub backward_bytes: u64,
}

/// State of a relay.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayStatus {
    /// Links.
    pub links: Vec<LinkStatus>,
    /// Active cuts.
    pub cuts: Vec<PathKey>,
    /// Open connections.
    pub open_connections: u64,
    /// Connections refused at the connection limit.
    pub refused_connections: u64,
}

impl Relay {
    /// Handles one request of the control port.
    pub fn handle_request(&self, request: &Request, responder: Responder) {
        let path = request.uri.path();
        let result = match (&request.method, path) {
            (&Method::GET, "/status") => Ok(()),
            (&Method::POST, "/processes") => {
                parse(request).and_then(|update| self.set_process_zone(&update))
            }
            (&Method::POST, "/cut") => parse(request).map(|cut: CutRequest| {
                self.paths().cut(&cut.pair, cut.one_way);
            }),
            (&Method::POST, "/heal") => parse(request).map(|cut: CutRequest| {
                self.paths().heal(&cut.pair);
            }),
            (&Method::POST, "/heal-all") => {
                self.paths().heal_all();
                Ok(())
            }
            (&Method::POST, "/delay") => parse(request).map(|entry: PathEntry| {
                self.paths().set(entry.pair, entry.settings);
            }),
            _ => Err(format!(
                "unknown request {} {path}; see the documentation of the relay",
                request.method
            )),
        };
        let response = match result {
            Ok(()) => json(StatusCode::OK, &self.status()),
            Err(reason) => json(StatusCode::BAD_REQUEST, &reason),
        };
        responder.send(response);
    }

    fn set_process_zone(&self, update: &ProcessZone) -> Result<(), String> {
        match &update.zone {
            Some(zone) if self.sources().set(update.process, zone) => Ok(()),
            Some(_) => Err("the process table is full; remove processes that ended".to_owned()),
            None => {
                self.sources().remove(update.process);
                Ok(())
            }
        }
    }
}

fn parse<T: DeserializeOwned>(request: &Request) -> Result<T, String> {
    serde_json::from_slice(&request.body).map_err(|error| format!("invalid request body: {error}"))
}

fn json<T: Serialize>(status: StatusCode, value: &T) -> Response {
    let body = serde_json::to_vec(value).unwrap_or_default();
    Response {
        status,
        headers: HeaderMap::new(),
        body: Bytes::from(body),
    }
}
