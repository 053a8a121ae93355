//! The connection to the leader of the control group: finds it, reports to it, takes its updates.

use crate::report_schedule::ReportSchedule;
use crate::shared::Shared;
use crate::statements::take_limits;
use async_io::{Async, Timer};
use futures_lite::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use futures_lite::{AsyncRead, future};
use millpass_dispatch::Leadership;
use millpass_proto::codec::{self, CodecError, PREFIX_BYTES, decode};
use millpass_proto::{
    ControlToRouter, CrashUpdate, Duration, GatewayUpdate, LinkMessage, RouterToControl,
};
use millpass_router::MemberSelector;
use millpass_telemetry::event_line;
use rand::RngExt;
use socket2::SockRef;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;

/// Pause before the next member is asked, at most.
const PAUSE: Duration = Duration::from_millis(40);
/// Times that the pause doubles with turns in vain: to 640 ms. Seventy gateways that turned to another member every
/// 40 to 150 ms made three members spend their processor on connections.
const PAUSE_DOUBLINGS: u32 = 4;
/// Pause while no member is known.
const LONG_PAUSE: Duration = Duration::from_millis(150);
/// Longest wait for members to name a leader before one is connected to all the same.
const LONGEST_WAIT: Duration = Duration::from_millis(1_500);
/// Times the allowed silence after which a leader that answers questions by datagram, but sends nothing, is left all
/// the same: its core may hang.
const BUSY_LEADER_PATIENCE: u32 = 4;
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
    let mut members = Members::new(&shared);
    loop {
        wait_for_leader(&shared, &mut members).await;
        let Some(address) = members.choice.next_member() else {
            Timer::after(LONG_PAUSE).await;
            continue;
        };
        let mut known = Vec::new();
        let (end, served) = serve(&shared, address, &mut known).await;
        shared.ask_members();
        note_end(&shared, address, end, served, &mut members.choice);
        members.learn(&shared, address, known);
        members.count(&shared, served);
        pause(&shared, address, members.asked).await;
    }
}

/// The members that are known, whose turn it is, and how often none in a row was the leader.
struct Members {
    known: Vec<SocketAddr>,
    choice: MemberSelector,
    asked: usize,
}

impl Members {
    fn new(shared: &Shared) -> Self {
        let mut members = Members {
            known: Vec::new(),
            choice: MemberSelector::new(Vec::new()),
            asked: 0,
        };
        members.replace(shared, shared.settings.members.clone());
        members
    }

    fn replace(&mut self, shared: &Shared, known: Vec<SocketAddr>) {
        shared.core().set_members(known.iter().copied().collect());
        self.choice = MemberSelector::new(known.clone());
        self.known = known;
    }

    /// Takes the addresses that a leader told, beside those of the settings.
    fn learn(&mut self, shared: &Shared, from: SocketAddr, mut told: Vec<SocketAddr>) {
        if told.is_empty() {
            return;
        }
        told.extend(shared.settings.members.iter().copied());
        told.sort_unstable();
        told.dedup();
        if told != self.known {
            self.replace(shared, told);
            self.choice.mark_unreachable(from);
        }
    }

    /// Counts turns in vain. When every member had one, the settings are read anew.
    fn count(&mut self, shared: &Shared, served: bool) {
        self.asked = if served { 0 } else { self.asked + 1 };
        if self.asked > self.known.len()
            && let Some(newer) = members_read_anew(shared, &self.known)
        {
            self.replace(shared, newer);
            self.asked = 0;
        }
    }
}

/// Waits while members say that nobody leads and that there is nothing to be told: connecting would cost them what
/// they need for the election. Turns to the leader that they name.
async fn wait_for_leader(shared: &Shared, members: &mut Members) {
    let until = shared.now() + LONGEST_WAIT;
    loop {
        let answered = shared.member_answered.listen();
        let now = shared.now();
        let (leadership, lacks_news) = {
            let core = shared.core();
            (core.leadership(now), core.is_missing_updates())
        };
        match leadership {
            Leadership::Leader(leader) => return members.choice.set_leader_hint(Some(leader)),
            Leadership::NoLeader if !lacks_news && now < until => {
                shared.wait_for_change(answered, until).await;
            }
            _ => return,
        }
    }
}

fn note_end(
    shared: &Shared,
    address: SocketAddr,
    end: LinkEnd,
    served: bool,
    choice: &mut MemberSelector,
) {
    let change = match end {
        LinkEnd::NotLeader(leader) => {
            choice.set_leader_hint(leader);
            "not-leader"
        }
        LinkEnd::Lost(reason) => {
            choice.mark_unreachable(address);
            let pairs = [("member", address.to_string()), ("reason", reason)];
            if served {
                log::warn!("{}", event_line("leader_lost", &pairs));
            } else {
                log::debug!("{}", event_line("member_unreachable", &pairs));
            }
            "lost"
        }
    };
    let changes = &shared.metrics.link_changes;
    changes.with_label_values(&[change]).inc();
}

/// Waits before the next member's turn, longer with each turn in vain, until members name a leader other than the member
/// that was just left.
async fn pause(shared: &Shared, left: SocketAddr, asked: usize) {
    let doublings = u32::try_from(asked)
        .unwrap_or(u32::MAX)
        .min(PAUSE_DOUBLINGS);
    let longest = PAUSE * 2_u32.pow(doublings);
    let until = shared.now() + longest.mul_f64(rand::rng().random_range(0.5..=1.0));
    loop {
        let answered = shared.member_answered.listen();
        let now = shared.now();
        let leadership = shared.core().leadership(now);
        let named = matches!(leadership, Leadership::Leader(leader) if leader != left);
        if now >= until || (named && asked > 0) {
            return;
        }
        shared.wait_for_change(answered, until).await;
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
    shared.core().record_member_contact(shared.now(), address);
    let mut served = false;
    let end = {
        let reading = read(shared, &stream, address, &mut served, members);
        let writing = write(shared, &stream);
        future::or(reading, writing).await
    };
    shared.core().credit_disconnected(shared.now());
    shared.core().connection_ended();
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

/// Reports at the interval, and at once when a need arises. What is needed of tenants' quotas and of instances' limits
/// is asked for at once.
async fn write(shared: &Arc<Shared>, stream: &Async<TcpStream>) -> LinkEnd {
    let mut stream = stream;
    let mut schedule = ReportSchedule::new(shared.settings.report_interval);
    loop {
        let urged = shared.report.listen();
        let now = shared.now();
        let (answered, urgent) = {
            let core = shared.core();
            (core.is_report_acknowledged(), core.is_report_urgent())
        };
        let due = schedule.is_due(now, answered, urgent);
        let mut messages = Vec::new();
        if due {
            messages.push(RouterToControl::Gateway(shared.core().report(now)));
            // Behind the report, by which the leader knows the gateway.
            let crashes = shared.core().crash_report();
            messages.extend(crashes.map(RouterToControl::Crashes));
            schedule.sent(now);
        }
        let credit = shared.core().credit_request(now, due);
        messages.extend(credit.map(RouterToControl::Credit));
        let permits = shared.core().permit_request(now);
        messages.extend(permits.map(RouterToControl::Permits));
        for message in messages {
            if let Err(error) = write_frame(&mut stream, &LinkMessage::Router(message)).await {
                return LinkEnd::Lost(error.to_string());
            }
        }
        // The pause between reports holds an urgent one back, but no credit that comes to be needed.
        let urgent = shared.core().is_report_urgent();
        let next_look = schedule.next_look(now, urgent);
        shared.wait_for_change(urged, next_look).await;
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
        match future::or(reading, silent(shared, address)).await {
            Ok(ControlToRouter::Gateway(update)) => {
                if !update.provisional && !std::mem::replace(served, true) {
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
                shared.core().apply_credit(shared.now(), &answer);
                shared.changed.notify(usize::MAX);
            }
            Ok(ControlToRouter::Crashes(update)) => take_crashes(shared, &update),
            Ok(ControlToRouter::Permits(answer)) => {
                shared.core().apply_permits(shared.now(), &answer);
                shared.changed.notify(usize::MAX);
            }
            Ok(ControlToRouter::Limits(update)) => take_limits(shared, &update),
            Ok(ControlToRouter::NotLeader(answer)) => {
                let leader = answer.leader_address.and_then(|text| text.parse().ok());
                return LinkEnd::NotLeader(leader);
            }
            Ok(_) => {}
            Err(error) => return LinkEnd::Lost(error.to_string()),
        }
    }
}

/// Ends when the leader has been silent for too long. One that is said to lead, and answers questions, is only busy:
/// it is waited for longer, as coming back to it would cost it more than what it is late with.
async fn silent<T>(shared: &Shared, address: SocketAddr) -> Result<T, CodecError> {
    let heard_at = shared.now();
    let longest = shared.settings.leader_silence;
    let mut asked = false;
    loop {
        Timer::after(SILENCE_LOOK).await;
        let now = shared.now();
        let silence = now.since(heard_at);
        let suspect = silence >= longest || shared.core().is_credit_response_overdue(now, heard_at);
        if !suspect {
            continue;
        }
        let busy = shared.core().is_leading(now, address);
        let patient = silence < longest * BUSY_LEADER_PATIENCE;
        if (busy || !asked) && patient {
            asked = true;
            shared.ask_members();
            continue;
        }
        return Err(CodecError::Io(std::io::ErrorKind::TimedOut.into()));
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
    let provisional = update.provisional;
    let (outcome, instances, brought_answer) = {
        let mut core = shared.core();
        let was_answered = core.is_report_acknowledged();
        let outcome = core.update(now, update);
        let brought_answer = !was_answered && core.is_report_acknowledged();
        (outcome, core.instance_count(), brought_answer)
    };
    if brought_answer {
        // The next report may be due already.
        shared.report.notify(usize::MAX);
    }
    shared.metrics.instances.set(instances as i64);
    if let Some(base) = outcome.mismatched_base {
        // The next report says which version is held, and the leader sends the document whole.
        log::warn!("event=document_change_unfit term={term} base={base}");
    }
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
            ("passed_on", provisional.to_string()),
        ];
        log::info!("{}", event_line("update_taken", &pairs));
    }
    if provisional {
        // Whether it is the newest, members say.
        shared.ask_members();
    }
    shared.changed.notify(usize::MAX);
}

fn take_crashes(shared: &Shared, update: &CrashUpdate) {
    let now = shared.now();
    let (before, held) = {
        let mut core = shared.core();
        let before = core.quarantined_requests();
        core.apply_crash_update(now, update);
        (before, core.quarantined_requests())
    };
    if held != before {
        shared.metrics.held_back.set(held as i64);
        log::info!("event=held_requests_taken held={held} before={before}");
        shared.changed.notify(usize::MAX);
    }
}

async fn read_frame(reader: &mut (impl AsyncRead + Unpin)) -> Result<ControlToRouter, CodecError> {
    let mut prefix = [0_u8; PREFIX_BYTES];
    reader.read_exact(&mut prefix).await?;
    let mut body = vec![0_u8; codec::body_length(prefix)?];
    reader.read_exact(&mut body).await?;
    decode(&body)
}
