//! The relay's control port: a small HTTP and JSON interface for the fleet and for people.
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

/// A cut, or the healing of one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CutRequest {
    /// Pair of zones; `*` stands for any other zone.
    pub pair: PathKey,
    /// Cut only the direction named.
    #[serde(default)]
    pub one_way: bool,
}

/// The zone of a process; none when it ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessZone {
    /// Process id.
    pub process: i32,
    /// Zone.
    pub zone: Option<String>,
}

/// Counters of a link.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkStatus {
    /// Name.
    pub name: String,
    /// Address listened on.
    pub address: SocketAddr,
    /// Connections accepted.
    pub accepted: u64,
    /// Connections whose process is not known; they count as coming from another zone.
    pub unknown_sources: u64,
    /// Bytes carried to the target.
    pub forward_bytes: u64,
    /// Bytes carried back.
    pub backward_bytes: u64,
}

/// State of a relay.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayStatus {
    /// Links.
    pub links: Vec<LinkStatus>,
    /// Cuts in force.
    pub cuts: Vec<PathKey>,
    /// Connections open.
    pub open_connections: u64,
    /// Connections closed at once for the bound.
    pub refused_connections: u64,
}

impl Relay {
    /// Answers one request of the control port.
    pub fn answer(&self, request: &Request, responder: Responder) {
        let path = request.uri.path();
        let answer = match (&request.method, path) {
            (&Method::GET, "/status") => Ok(()),
            (&Method::POST, "/processes") => parse(request).and_then(|told| self.tell(&told)),
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
                "{} {path} is not known; see the documentation of the relay",
                request.method
            )),
        };
        let response = match answer {
            Ok(()) => json(StatusCode::OK, &self.status()),
            Err(reason) => json(StatusCode::BAD_REQUEST, &reason),
        };
        responder.send(response);
    }

    fn tell(&self, told: &ProcessZone) -> Result<(), String> {
        match &told.zone {
            Some(zone) if self.sources().set(told.process, zone) => Ok(()),
            Some(_) => Err("the table of processes is full; forget ended ones".to_owned()),
            None => {
                self.sources().forget(told.process);
                Ok(())
            }
        }
    }
}

fn parse<T: DeserializeOwned>(request: &Request) -> Result<T, String> {
    serde_json::from_slice(&request.body).map_err(|error| format!("the body: {error}"))
}

fn json<T: Serialize>(status: StatusCode, value: &T) -> Response {
    let body = serde_json::to_vec(value).unwrap_or_default();
    Response {
        status,
        headers: HeaderMap::new(),
        body: Bytes::from(body),
    }
}
