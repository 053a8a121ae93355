//! Asks members by datagram whether what this gateway knows may be outdated, and who leads.
//!
//! A datagram costs a member one send and no thread: gateways that have lost the leader ask in this way, and connect
//! only to the member that is said to lead. Hundreds that connected to every member by turns, each told all there
//! is, kept the members from electing a leader (28 s without one, 70 gateways, a tenth of a core for each member).

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

/// Time between two rounds of questions. A member answers within some milliseconds; ten rounds fit the usual bound.
const ROUND_INTERVAL: Duration = Duration::from_millis(200);
/// The same while nothing may be answered: all requests wait for it. After a loss of the whole group gateways that have
/// just started wait for members that start, too.
const URGENT_ROUND_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two looks while nothing needs to be asked.
const LOOK_INTERVAL: Duration = Duration::from_millis(350);
/// Times that the time between rounds doubles while nobody answers: hundreds of gateways must not take what the members
/// need to answer. Rounds stay well above one in the time after which a process counts as not having run.
const PAUSE_DOUBLINGS: u32 = 2;
/// Most bytes of an answer: nine voters' identities and addresses take 400.
const MAXIMUM_RESPONSE_BYTES: usize = 4 * 1024;
/// Pause after the socket failed, so that it does not spin.
const FAILURE_PAUSE: Duration = Duration::from_millis(50);

/// Asks for as long as the process lives.
pub(crate) async fn run(shared: Arc<Shared>) {
    let address = SocketAddr::new(shared.settings.listen.ip(), 0);
    let socket = match Async::<UdpSocket>::bind(address) {
        Ok(socket) => socket,
        Err(error) => {
            // The leader's answers alone confirm what is known.
            return log::error!(
                "event=freshness_socket_failed address={address} error=\"{error}\""
            );
        }
    };
    future::or(ask(&shared, &socket), listen(&shared, &socket)).await;
}

async fn ask(shared: &Shared, socket: &Async<UdpSocket>) {
    let mut shown = Freshness::Unconfirmed;
    let mut unanswered = 0;
    loop {
        let asked = shared.ask.listen();
        let now = shared.now();
        let urgent = shared.asked.swap(false, Ordering::AcqRel);
        let (round, members) = {
            let mut core = shared.core();
            (core.begin_query_round(now, urgent), core.members_to_query())
        };
        if let Some(round) = round {
            send_all(socket, &members, round).await;
        }
        show(shared, &mut shown);
        let pause = match (round, shown) {
            (None, _) => LOOK_INTERVAL,
            (Some(_), Freshness::Unconfirmed) => URGENT_ROUND_INTERVAL,
            (Some(_), _) => ROUND_INTERVAL,
        };
        let spread = rand::rng().random_range(0.75..=1.25);
        let pause = pause.mul_f64(spread) * 2_u32.pow(unanswered);
        let answers = shared.answers.load(Ordering::Acquire);
        let pause = async {
            Timer::after(pause).await;
        };
        future::or(asked, pause).await;
        let silent = round.is_some() && shared.answers.load(Ordering::Acquire) == answers;
        unanswered = if silent {
            (unanswered + 1).min(PAUSE_DOUBLINGS)
        } else {
            0
        };
    }
}

async fn send_all(socket: &Async<UdpSocket>, members: &[SocketAddr], round: u64) {
    let Ok(bytes) = encode(&FreshnessRequest { round }) else {
        return log::error!("event=freshness_question_not_encoded round={round}");
    };
    for member in members {
        if let Err(error) = socket.send_to(&bytes, *member).await {
            log::debug!("event=freshness_question_failed member={member} error=\"{error}\"");
        }
    }
}

async fn listen(shared: &Shared, socket: &Async<UdpSocket>) {
    let mut bytes = vec![0; MAXIMUM_RESPONSE_BYTES];
    loop {
        match socket.recv_from(&mut bytes).await {
            Ok((length, from)) => take(shared, &bytes[..length], from),
            Err(error) => {
                log::debug!("event=freshness_answer_lost error=\"{error}\"");
                Timer::after(FAILURE_PAUSE).await;
            }
        }
    }
}

fn take(shared: &Shared, bytes: &[u8], from: SocketAddr) {
    let Ok(response) = decode::<FreshnessResponse>(bytes) else {
        return log::debug!("event=freshness_answer_malformed from={from}");
    };
    let now = shared.now();
    let (confirmed, more_members) = {
        let mut core = shared.core();
        let asked = core.members_to_query().len();
        let confirmed = core.record_freshness_response(now, from, response);
        (confirmed, core.members_to_query().len() > asked)
    };
    if more_members {
        shared.ask_members();
    }
    if confirmed {
        shared.changed.notify(usize::MAX);
    }
    shared.answers.fetch_add(1, Ordering::AcqRel);
    shared.member_answered.notify(usize::MAX);
}

/// Writes a line when what may be answered has changed.
fn show(shared: &Shared, shown: &mut Freshness) {
    let now = shared.now();
    let (freshness, age, (as_of, newest)) = {
        let core = shared.core();
        let age = core.confirmation_age(now);
        (core.freshness(now), age, core.required_indexes())
    };
    if let Some(age) = age {
        shared.metrics.confirmation_age.observe(age.as_secs_f64());
    }
    let before = std::mem::replace(shown, freshness);
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
