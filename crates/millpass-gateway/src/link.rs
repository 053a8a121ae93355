//! The connection to the leader of the control group: finds it, reports to it, takes its updates.

use crate::shared::Shared;
use async_io::{Async, Timer};
use futures_lite::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use futures_lite::{AsyncRead, future};
use millpass_proto::codec::{self, CodecError, MAXIMUM_FRAME_BYTES, decode};
use millpass_proto::{
    ControlToRouter, CrashUpdate, Duration, GatewayUpdate, LinkMessage, RouterToControl,
};
use millpass_router::MemberChoice;
use millpass_telemetry::event_line;
use socket2::SockRef;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;

/// Shortest pause between two reports.
const MINIMUM_REPORT_PAUSE: Duration = Duration::from_millis(5);
/// Pause before the next member is asked.
const PAUSE: Duration = Duration::from_millis(40);
/// Pause after every known member was asked in vain.
const LONG_PAUSE: Duration = Duration::from_millis(150);
/// Time between two looks at how long the leader has been silent.
const SILENCE_LOOK: Duration = Duration::from_millis(100);
/// Time after which unacknowledged bytes end the link.
const USER_TIMEOUT: Duration = Duration::from_millis(2_000);

enum LinkEnd {
    /// The member does not lead; it may know who does.
    NotLeader(Option<SocketAddr>),
    /// The connection could not be made, broke, or the leader went silent.
    Lost(String),
}

/// Keeps the link for as long as the process lives.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut members = shared.settings.members.clone();
    let mut choice = MemberChoice::new(members.clone());
    let mut asked = 0;
    loop {
        let Some(address) = choice.turn() else {
            Timer::after(LONG_PAUSE).await;
            continue;
        };
        let mut known = Vec::new();
        let (end, served) = serve(&shared, address, &mut known).await;
        match end {
            LinkEnd::NotLeader(leader) => {
                shared
                    .metrics
                    .link_changes
                    .with_label_values(&["not-leader"])
                    .inc();
                choice.named(leader);
            }
            LinkEnd::Lost(reason) => {
                shared
                    .metrics
                    .link_changes
                    .with_label_values(&["lost"])
                    .inc();
                choice.lost(address);
                let pairs = [("member", address.to_string()), ("reason", reason)];
                if served {
                    log::warn!("{}", event_line("leader_lost", &pairs));
                } else {
                    log::debug!("{}", event_line("member_unreachable", &pairs));
                }
            }
        }
        if !known.is_empty() {
            known.extend(shared.settings.members.iter().copied());
            known.sort_unstable();
            known.dedup();
            if known != members {
                members = known;
                choice = MemberChoice::new(members.clone());
                choice.lost(address);
            }
        }
        asked = if served { 0 } else { asked + 1 };
        if asked > members.len()
            && let Some(newer) = members_read_anew(&shared, &members)
        {
            members = newer;
            choice = MemberChoice::new(members.clone());
            asked = 0;
        }
        let pause = if asked > members.len() {
            LONG_PAUSE
        } else {
            PAUSE
        };
        Timer::after(pause).await;
    }
}

/// The members of the settings as they are now, with those known, if any of them is new.
fn members_read_anew(shared: &Shared, known: &[SocketAddr]) -> Option<Vec<SocketAddr>> {
    let source = shared.settings.member_source.as_ref()?;
    let named = (source.0)()?;
    let new: Vec<SocketAddr> = named
        .into_iter()
        .filter(|address| !known.contains(address))
        .collect();
    if new.is_empty() {
        return None;
    }
    let pairs = [("members", format!("{new:?}"))];
    log::info!("{}", event_line("members_reloaded", &pairs));
    Some(new.into_iter().chain(known.iter().copied()).collect())
}

async fn serve(
    shared: &Arc<Shared>,
    address: SocketAddr,
    members: &mut Vec<SocketAddr>,
) -> (LinkEnd, bool) {
    let stream = match connect(shared, address).await {
        Ok(stream) => Arc::new(stream),
        Err(error) => return (LinkEnd::Lost(error.to_string()), false),
    };
    let mut served = false;
    let end = {
        let reading = read(shared, &stream, address, &mut served, members);
        let writing = write(shared, &stream);
        future::or(reading, writing).await
    };
    shared.core().credit_disconnected(shared.now());
    shared.core().crashes_disconnected();
    (end, served)
}

async fn connect(shared: &Shared, address: SocketAddr) -> std::io::Result<Async<TcpStream>> {
    let connecting = Async::<TcpStream>::connect(address);
    let timeout = shared.settings.link_timeout;
    let timer = async {
        Timer::after(timeout).await;
        Err(std::io::ErrorKind::TimedOut.into())
    };
    let stream = future::or(connecting, timer).await?;
    stream.get_ref().set_nodelay(true)?;
    let _ = SockRef::from(stream.get_ref()).set_tcp_user_timeout(Some(USER_TIMEOUT));
    Ok(stream)
}

/// Reports at the interval, and at once when a need arises. What is needed of tenants' quotas is asked for at
/// once.
async fn write(shared: &Arc<Shared>, stream: &Async<TcpStream>) -> LinkEnd {
    let mut stream = stream;
    let mut next_report = shared.now();
    let mut last_report = None;
    loop {
        let urgent = shared.report.listen();
        let now = shared.now();
        let paused = last_report.is_some_and(|at| now.since(at) < MINIMUM_REPORT_PAUSE);
        let due = now >= next_report || (shared.core().is_report_urgent() && !paused);
        let mut messages = Vec::new();
        if due {
            messages.push(RouterToControl::Gateway(shared.core().report()));
            // Behind the report, by which the leader knows the gateway.
            let crashes = shared.core().crash_report();
            messages.extend(crashes.map(RouterToControl::Crashes));
            last_report = Some(now);
            next_report = now + shared.settings.report_interval;
        }
        let credit = shared.core().credit_request(now, due);
        messages.extend(credit.map(RouterToControl::Credit));
        for message in messages {
            if let Err(error) = write_frame(&mut stream, &LinkMessage::Router(message)).await {
                return LinkEnd::Lost(error.to_string());
            }
        }
        let mut until = next_report;
        if shared.core().is_report_urgent() {
            // The pause between reports holds this one back, but no credit that comes to be needed.
            until = last_report.map_or(now, |at| at + MINIMUM_REPORT_PAUSE);
        }
        shared.wait_for_change(urgent, until).await;
    }
}

async fn write_frame(
    stream: &mut &Async<TcpStream>,
    message: &LinkMessage,
) -> Result<(), CodecError> {
    let mut frame = Vec::new();
    codec::write_frame(&mut frame, message)?;
    stream.write_all(&frame).await?;
    Ok(())
}

async fn read(
    shared: &Arc<Shared>,
    stream: &Async<TcpStream>,
    address: SocketAddr,
    served: &mut bool,
    members: &mut Vec<SocketAddr>,
) -> LinkEnd {
    let mut reader = BufReader::with_capacity(4 * 1024, stream);
    loop {
        let reading = read_frame(&mut reader);
        match future::or(reading, silent(shared)).await {
            Ok(ControlToRouter::Gateway(update)) => {
                if !std::mem::replace(served, true) {
                    log_up(shared, address, &update);
                }
                members.extend(
                    update
                        .members
                        .iter()
                        .filter_map(|text| text.parse().ok())
                        .collect::<Vec<SocketAddr>>(),
                );
                take_update(shared, update);
            }
            Ok(ControlToRouter::Credit(answer)) => {
                shared.core().take_credit(shared.now(), &answer);
                shared.changed.notify(usize::MAX);
            }
            Ok(ControlToRouter::Crashes(update)) => take_crashes(shared, &update),
            Ok(ControlToRouter::NotLeader(answer)) => {
                let leader = answer.leader_address.and_then(|text| text.parse().ok());
                return LinkEnd::NotLeader(leader);
            }
            Ok(_) => {}
            Err(error) => return LinkEnd::Lost(error.to_string()),
        }
    }
}

/// Ends when the leader has been silent for too long.
async fn silent<T>(shared: &Shared) -> Result<T, CodecError> {
    let heard_at = shared.now();
    loop {
        Timer::after(SILENCE_LOOK).await;
        let now = shared.now();
        let whole = now.since(heard_at) >= shared.settings.leader_silence;
        if whole || shared.core().is_leader_silent(now, heard_at) {
            return Err(CodecError::Io(std::io::ErrorKind::TimedOut.into()));
        }
    }
}

fn log_up(shared: &Shared, address: SocketAddr, update: &GatewayUpdate) {
    shared.metrics.link_changes.with_label_values(&["up"]).inc();
    let pairs = [
        ("member", address.to_string()),
        ("term", update.term.to_string()),
        ("gateways", update.gateways.to_string()),
    ];
    log::info!("{}", event_line("leader_found", &pairs));
}

fn take_update(shared: &Shared, update: GatewayUpdate) {
    let term = update.term;
    let complete = update.complete;
    let now = shared.now();
    let (outcome, instances) = {
        let mut core = shared.core();
        let outcome = core.update(now, update);
        (outcome, core.instance_count())
    };
    shared.metrics.instances.set(instances as i64);
    if let Some(version) = outcome.version {
        shared.metrics.document_version.set(version as i64);
    }
    if outcome.version.is_some() || outcome.changed > 0 || outcome.removed > 0 || outcome.stale {
        let version = outcome
            .version
            .map_or_else(String::new, |version| version.to_string());
        let pairs = [
            ("term", term.to_string()),
            ("version", version),
            ("changed", outcome.changed.to_string()),
            ("removed", outcome.removed.to_string()),
            ("instances", instances.to_string()),
            ("complete", complete.to_string()),
            ("stale", outcome.stale.to_string()),
        ];
        log::info!("{}", event_line("update_taken", &pairs));
    }
    shared.changed.notify(usize::MAX);
}

fn take_crashes(shared: &Shared, update: &CrashUpdate) {
    let now = shared.now();
    let (before, held) = {
        let mut core = shared.core();
        let before = core.held_requests();
        core.take_crashes(now, update);
        (before, core.held_requests())
    };
    if held != before {
        shared.metrics.held_back.set(held as i64);
        log::info!("event=held_requests_taken held={held} before={before}");
        shared.changed.notify(usize::MAX);
    }
}

async fn read_frame(reader: &mut (impl AsyncRead + Unpin)) -> Result<ControlToRouter, CodecError> {
    let mut prefix = [0_u8; 4];
    reader.read_exact(&mut prefix).await?;
    let length = u32::from_le_bytes(prefix) as usize;
    if length > MAXIMUM_FRAME_BYTES {
        return Err(CodecError::FrameTooLarge { bytes: length });
    }
    let mut body = vec![0_u8; length];
    reader.read_exact(&mut body).await?;
    decode(&body)
}
