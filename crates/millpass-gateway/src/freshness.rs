//! Queries members by datagram whether the cached state is stale, and who leads.
//!
//! Datagrams cost members little: gateways that have lost the leader query this way and connect
//! only to the reported leader, since hundreds of gateways reconnecting to every member in turn
//! would delay the election.

use crate::shared::Shared;
use async_io::{Async, Timer};
use futures_lite::future;
use millpass_dispatch::Freshness;
use millpass_proto::codec::{decode, encode};
use millpass_proto::{Duration, FreshnessRequest, FreshnessResponse};
use millpass_telemetry::event_line;
use rand::RngExt;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// Time between two query rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two query rounds while the cached state is unconfirmed, as all requests wait for
/// it.
const URGENT_ROUND_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two checks while no query is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(350);
/// Maximum number of doublings of the time between rounds while no member responds, so that many
/// gateways do not overload members.
const MAXIMUM_BACKOFF_DOUBLINGS: u32 = 2;
/// Maximum size of a response.
const MAXIMUM_RESPONSE_BYTES: usize = 4 * 1024;
/// Delay after a socket error, so that the loop does not spin.
const FAILURE_DELAY: Duration = Duration::from_millis(50);

/// Queries members until the process ends.
pub(crate) async fn run(shared: Arc<Shared>) {
    let address = SocketAddr::new(shared.settings.listen.ip(), 0);
    let socket = match Async::<UdpSocket>::bind(address) {
        Ok(socket) => socket,
        Err(error) => {
            // Without the socket, only the leader's responses confirm the cached state.
            return log::error!(
                "event=freshness_socket_failed address={address} error=\"{error}\""
            );
        }
    };
    future::or(
        query_members(&shared, &socket),
        receive_responses(&shared, &socket),
    )
    .await;
}

async fn query_members(shared: &Shared, socket: &Async<UdpSocket>) {
    let mut logged = Freshness::Unconfirmed;
    let mut doublings = 0;
    loop {
        let requested = shared.query.listen();
        let now = shared.now();
        let urgent = shared.query_requested.swap(false, Ordering::AcqRel);
        let (round, members) = {
            let mut core = shared.core();
            (core.begin_query_round(now, urgent), core.members_to_query())
        };
        if let Some(round) = round {
            send_queries(socket, &members, round).await;
        }
        record_state(shared, &mut logged);
        let delay = match (round, logged) {
            (None, _) => CHECK_INTERVAL,
            (Some(_), Freshness::Unconfirmed) => URGENT_ROUND_INTERVAL,
            (Some(_), _) => ROUND_INTERVAL,
        };
        let jitter = rand::rng().random_range(0.75..=1.25);
        let delay = delay.mul_f64(jitter) * 2_u32.pow(doublings);
        let responses = shared.responses.load(Ordering::Acquire);
        let delay = async {
            Timer::after(delay).await;
        };
        future::or(requested, delay).await;
        let no_response = round.is_some() && shared.responses.load(Ordering::Acquire) == responses;
        doublings = if no_response {
            (doublings + 1).min(MAXIMUM_BACKOFF_DOUBLINGS)
        } else {
            0
        };
    }
}

async fn send_queries(socket: &Async<UdpSocket>, members: &[SocketAddr], round: u64) {
    let Ok(bytes) = encode(&FreshnessRequest { round }) else {
        return log::error!("event=freshness_question_not_encoded round={round}");
    };
    for member in members {
        if let Err(error) = socket.send_to(&bytes, *member).await {
            log::debug!("event=freshness_question_failed member={member} error=\"{error}\"");
        }
    }
}

async fn receive_responses(shared: &Shared, socket: &Async<UdpSocket>) {
    let mut bytes = vec![0; MAXIMUM_RESPONSE_BYTES];
    loop {
        match socket.recv_from(&mut bytes).await {
            Ok((length, from)) => handle_response(shared, &bytes[..length], from),
            Err(error) => {
                log::debug!("event=freshness_answer_lost error=\"{error}\"");
                Timer::after(FAILURE_DELAY).await;
            }
        }
    }
}

fn handle_response(shared: &Shared, bytes: &[u8], from: SocketAddr) {
    let Ok(response) = decode::<FreshnessResponse>(bytes) else {
        return log::debug!("event=freshness_answer_malformed from={from}");
    };
    let now = shared.now();
    let (confirmed, new_members) = {
        let mut core = shared.core();
        let before = core.members_to_query().len();
        let confirmed = core.record_freshness_response(now, from, response);
        (confirmed, core.members_to_query().len() > before)
    };
    if new_members {
        shared.request_query();
    }
    if confirmed {
        shared.changed.notify(usize::MAX);
    }
    shared.responses.fetch_add(1, Ordering::AcqRel);
    shared.member_responded.notify(usize::MAX);
}

/// Observes the confirmation age, and logs changes of the freshness state.
fn record_state(shared: &Shared, logged: &mut Freshness) {
    let now = shared.now();
    let (freshness, age, (as_of, newest)) = {
        let core = shared.core();
        let age = core.confirmation_age(now);
        (core.freshness(now), age, core.required_indexes())
    };
    if let Some(age) = age {
        shared.metrics.confirmation_age.observe(age.as_secs_f64());
    }
    let before = std::mem::replace(logged, freshness);
    if before == freshness {
        return;
    }
    shared
        .metrics
        .freshness_changes
        .with_label_values(&[freshness.as_str()])
        .inc();
    let pairs = [
        ("from", before.as_str().to_owned()),
        ("to", freshness.as_str().to_owned()),
        (
            "age_ms",
            age.map_or_else(|| "never".to_owned(), |age| age.as_millis().to_string()),
        ),
        ("as_of", as_of.to_string()),
        ("newest_heard", newest.to_string()),
    ];
    log::info!("{}", event_line("freshness_changed", &pairs));
}
