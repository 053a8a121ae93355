//! Connection to the leader of the control group: finds it, reports to it, and applies its updates.

use crate::report_schedule::ReportSchedule;
use crate::shared::Shared;
use crate::statements::apply_limits;
use async_io::{Async, Timer};
use futures_lite::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use futures_lite::{AsyncRead, future};
use millpass_dispatch::Leadership;
use millpass_proto::codec::{self, CodecError, PREFIX_BYTES, decode};
use millpass_proto::{
    ControlToRouter, CrashUpdate, Duration, GatewayUpdate, LinkMessage, PeerUpdate, RouterToControl,
};
use millpass_router::MemberSelector;
use millpass_telemetry::event_line;
use rand::RngExt;
use socket2::SockRef;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;

/// Initial maximum delay before the next member is tried.
const RECONNECT_DELAY: Duration = Duration::from_millis(40);
/// Maximum number of doublings of the delay after failed attempts, to 640 ms. Seventy gateways that
/// turned to another member every 40 to 150 ms made three members spend their processor on
/// connections.
const MAXIMUM_BACKOFF_DOUBLINGS: u32 = 4;
/// Delay while no member is known.
const NO_MEMBERS_DELAY: Duration = Duration::from_millis(150);
/// Maximum wait for members to report a leader before the next member is tried anyway.
const LEADER_WAIT_LIMIT: Duration = Duration::from_millis(1_500);
/// Interval between checks whether held quota units must be stated to the leader.
const CREDIT_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Multiple of `leader_timeout` after which the link to a leader that responds to queries but sends
/// no updates is closed anyway, as its core may hang.
const BUSY_LEADER_TIMEOUT_FACTOR: u32 = 4;
/// Time between two checks of the leader timeout.
const TIMEOUT_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which unacknowledged bytes end the link.
const USER_TIMEOUT: Duration = Duration::from_millis(2_000);

enum LinkEnd {
    /// The member does not lead; it may report who does.
    NotLeader(Option<SocketAddr>),
    /// The connection failed or timed out.
    Lost(String),
}

/// Maintains the link until the process ends.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut members = Members::new(&shared);
    loop {
        wait_for_leader(&shared, &mut members).await;
        let Some(address) = members.selector.next_member() else {
            Timer::after(NO_MEMBERS_DELAY).await;
            continue;
        };
        let mut known = Vec::new();
        let (end, served) = serve(&shared, address, &mut known).await;
        shared.request_query();
        record_end(&shared, address, end, served, &mut members.selector);
        members.merge(&shared, address, known);
        members.count_attempt(&shared, served);
        back_off(&shared, address, members.failed_attempts).await;
    }
}

/// Known members, the next one to try, and the number of consecutive failed attempts.
struct Members {
    known: Vec<SocketAddr>,
    selector: MemberSelector,
    failed_attempts: usize,
}

impl Members {
    fn new(shared: &Shared) -> Self {
        let mut members = Members {
            known: Vec::new(),
            selector: MemberSelector::new(Vec::new()),
            failed_attempts: 0,
        };
        members.replace(shared, shared.settings.members.clone());
        members
    }

    fn replace(&mut self, shared: &Shared, known: Vec<SocketAddr>) {
        shared.core().set_members(known.iter().copied().collect());
        self.selector = MemberSelector::new(known.clone());
        self.known = known;
    }

    /// Replaces the known members by those reported by a leader and those of the settings.
    fn merge(&mut self, shared: &Shared, from: SocketAddr, mut reported: Vec<SocketAddr>) {
        if reported.is_empty() {
            return;
        }
        reported.extend(shared.settings.members.iter().copied());
        reported.sort_unstable();
        reported.dedup();
        if reported != self.known {
            self.replace(shared, reported);
            self.selector.mark_unreachable(from);
        }
    }

    /// Counts failed attempts. Reloads the settings once every member has been tried.
    fn count_attempt(&mut self, shared: &Shared, served: bool) {
        self.failed_attempts = if served { 0 } else { self.failed_attempts + 1 };
        if self.failed_attempts > self.known.len()
            && let Some(reloaded) = reload_members(shared, &self.known)
        {
            self.replace(shared, reloaded);
            self.failed_attempts = 0;
        }
    }
}

/// Waits while members report that there is no leader and no update is missing, as connecting would
/// slow down the election. Selects the leader once one is reported.
async fn wait_for_leader(shared: &Shared, members: &mut Members) {
    let until = shared.now() + LEADER_WAIT_LIMIT;
    loop {
        let responded = shared.member_responded.listen();
        let now = shared.now();
        let (leadership, missing_updates) = {
            let core = shared.core();
            (core.leadership(now), core.is_missing_updates())
        };
        match leadership {
            Leadership::Leader(leader) => return members.selector.set_leader_hint(Some(leader)),
            Leadership::NoLeader if !missing_updates && now < until => {
                shared.wait_for_change(responded, until).await;
            }
            _ => return,
        }
    }
}

fn record_end(
    shared: &Shared,
    address: SocketAddr,
    end: LinkEnd,
    served: bool,
    selector: &mut MemberSelector,
) {
    let change = match end {
        LinkEnd::NotLeader(leader) => {
            selector.set_leader_hint(leader);
            "not-leader"
        }
        LinkEnd::Lost(reason) => {
            selector.mark_unreachable(address);
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

/// Waits with exponential backoff before the next attempt, or until members report a leader other
/// than the previous member.
async fn back_off(shared: &Shared, previous: SocketAddr, failed_attempts: usize) {
    let doublings = u32::try_from(failed_attempts)
        .unwrap_or(u32::MAX)
        .min(MAXIMUM_BACKOFF_DOUBLINGS);
    let limit = RECONNECT_DELAY * 2_u32.pow(doublings);
    let until = shared.now() + limit.mul_f64(rand::rng().random_range(0.5..=1.0));
    loop {
        let responded = shared.member_responded.listen();
        let now = shared.now();
        let leadership = shared.core().leadership(now);
        let has_new_leader = matches!(leadership, Leadership::Leader(leader) if leader != previous);
        if now >= until || (has_new_leader && failed_attempts > 0) {
            return;
        }
        shared.wait_for_change(responded, until).await;
    }
}

/// Reloads the members of the settings. Returns them with the known ones if any is new.
fn reload_members(shared: &Shared, known: &[SocketAddr]) -> Option<Vec<SocketAddr>> {
    let source = shared.settings.member_source.as_ref()?;
    let configured = (source.0)()?;
    let new: Vec<SocketAddr> = configured
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
    shared.update_watch();
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

/// Sends reports at the interval, and urgent reports, credit requests and permit requests at once.
async fn write(shared: &Arc<Shared>, stream: &Async<TcpStream>) -> LinkEnd {
    let mut stream = stream;
    let mut schedule = ReportSchedule::new(shared.settings.report_interval);
    loop {
        let notified = shared.report.listen();
        let now = shared.now();
        let (acknowledged, urgent) = {
            let core = shared.core();
            (core.is_report_acknowledged(), core.is_report_urgent())
        };
        let due = schedule.is_due(now, acknowledged, urgent);
        let mut messages = Vec::new();
        if due {
            messages.push(RouterToControl::Gateway(shared.core().report(now)));
            log_malformed_loads(shared);
            schedule.record_sent(now);
        }
        // After the first report, which registers the gateway with the leader.
        let crashes = shared.core().crash_report(now);
        messages.extend(crashes.map(RouterToControl::Crashes));
        let accepts = shared.accepts_forwarded();
        let reach = shared.core().reach_statement(&shared.endpoint, accepts);
        messages.extend(reach.map(RouterToControl::Reach));
        let credit = shared.core().credit_request(now, due);
        messages.extend(credit.map(RouterToControl::Credit));
        let permits = shared.core().permit_request(now);
        messages.extend(permits.map(RouterToControl::Permits));
        let streams = shared.core().stream_report(now);
        messages.extend(streams.map(RouterToControl::Streams));
        let runs = shared.core().run_query(now);
        messages.extend(runs.map(RouterToControl::Runs));
        for message in messages {
            if let Err(error) = write_frame(&mut stream, &LinkMessage::Router(message)).await {
                return LinkEnd::Lost(error.to_string());
            }
        }
        // The minimum interval delays urgent reports, but not credit requests.
        let urgent = shared.core().is_report_urgent();
        let mut next_check = schedule.next_check(now, urgent);
        if shared.core().credit_statement_at(now).is_some() {
            next_check = next_check.min(now + CREDIT_CHECK_INTERVAL);
        }
        if let Some(at) = shared.core().part_statement_at() {
            next_check = next_check.min(at.max(now));
        }
        if let Some(at) = shared.core().stream_report_at(now) {
            next_check = next_check.min(at);
        }
        if let Some(at) = shared.core().run_query_at(now) {
            next_check = next_check.min(at.max(now));
        }
        shared.wait_for_change(notified, next_check).await;
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
        match future::or(reading, leader_timeout(shared, address)).await {
            Ok(ControlToRouter::Gateway(update)) => {
                if !update.provisional && !std::mem::replace(served, true) {
                    log_leader_found(shared, address, &update);
                }
                members.extend(
                    update
                        .members
                        .iter()
                        .filter_map(|text| text.parse().ok())
                        .collect::<Vec<SocketAddr>>(),
                );
                apply_update(shared, update);
            }
            Ok(ControlToRouter::Credit(response)) => {
                shared.core().apply_credit(shared.now(), &response);
                shared.changed.notify(usize::MAX);
                // The writer decides when granted units must be stated as held.
                shared.report.notify(1);
            }
            Ok(ControlToRouter::Crashes(update)) => apply_crashes(shared, &update),
            Ok(ControlToRouter::Permits(response)) => {
                shared.core().apply_permits(shared.now(), &response);
                shared.changed.notify(usize::MAX);
            }
            Ok(ControlToRouter::Limits(update)) => apply_limits(shared, &update),
            Ok(ControlToRouter::Peers(update)) => apply_peers(shared, update),
            Ok(ControlToRouter::Origins(update)) => {
                shared.core().apply_origins(update);
                shared.changed.notify(usize::MAX);
            }
            Ok(ControlToRouter::Runs(update)) => {
                shared.core().apply_runs(shared.now(), update);
                shared.changed.notify(usize::MAX);
            }
            Ok(ControlToRouter::NotLeader(response)) => {
                let leader = response.leader_address.and_then(|text| text.parse().ok());
                return LinkEnd::NotLeader(leader);
            }
            Ok(_) => {}
            Err(error) => return LinkEnd::Lost(error.to_string()),
        }
    }
}

/// Completes when no message has arrived for too long. A leader that still responds to queries is
/// only busy and gets a longer limit, as a reconnect would add to its load.
async fn leader_timeout<T>(shared: &Shared, address: SocketAddr) -> Result<T, CodecError> {
    let last_contact = shared.now();
    let limit = shared.settings.leader_timeout;
    let mut queried = false;
    loop {
        Timer::after(TIMEOUT_CHECK_INTERVAL).await;
        let now = shared.now();
        let elapsed = now.since(last_contact);
        let suspect =
            elapsed >= limit || shared.core().is_credit_response_overdue(now, last_contact);
        if !suspect {
            continue;
        }
        let busy = shared.core().is_leading(now, address);
        let within_limit = elapsed < limit * BUSY_LEADER_TIMEOUT_FACTOR;
        if (busy || !queried) && within_limit {
            queried = true;
            shared.request_query();
            continue;
        }
        return Err(CodecError::Io(std::io::ErrorKind::TimedOut.into()));
    }
}

fn log_leader_found(shared: &Shared, address: SocketAddr, update: &GatewayUpdate) {
    shared.metrics.link_changes.with_label_values(&["up"]).inc();
    let pairs = [
        ("member", address.to_string()),
        ("term", update.term.to_string()),
        ("gateways", update.gateways.to_string()),
    ];
    log::info!("{}", event_line("leader_found", &pairs));
}

fn log_malformed_loads(shared: &Shared) {
    for instance in shared.core().take_malformed_loads() {
        let pairs = [("instance", instance.0)];
        let line = event_line("machine_time_unreadable", &pairs);
        log::warn!("{line} remedy=\"have the server state a number from 1 to 10000\"");
    }
}

fn apply_update(shared: &Shared, update: GatewayUpdate) {
    let term = update.term;
    let complete = update.complete;
    let now = shared.now();
    let provisional = update.provisional;
    let (outcome, instances, newly_acknowledged, (slowest, known)) = {
        let mut core = shared.core();
        let was_acknowledged = core.is_report_acknowledged();
        let outcome = core.update(now, update);
        let newly_acknowledged = !was_acknowledged && core.is_report_acknowledged();
        let paces = core.pace_summary(now);
        (outcome, core.instance_count(), newly_acknowledged, paces)
    };
    if newly_acknowledged {
        // Wake the writer, as the next report may already be due.
        shared.report.notify(usize::MAX);
    }
    shared.metrics.instances.set(instances as i64);
    shared.metrics.slowest_pace.set(slowest);
    shared.metrics.known_paces.set(known as i64);
    if let Some(base) = outcome.mismatched_base {
        // The next report states the held version, and the leader then sends the full document.
        log::warn!("event=document_change_unfit term={term} base={base}");
    }
    if let Some(version) = outcome.version {
        shared.metrics.document_version.set(version as i64);
        if let Some(table) = shared.core().table() {
            shared.caller_limits.apply(&table.document().limits);
        }
    }
    // Changed contents alone are not logged: under contention every update has some, and the leader
    // logs each instruction that causes them.
    if outcome.version.is_some() || outcome.changed > 0 || outcome.removed > 0 || outcome.stale {
        let version = outcome
            .version
            .map_or_else(String::new, |version| version.to_string());
        let pairs = [
            ("term", term.to_string()),
            ("version", version),
            ("changed", outcome.changed.to_string()),
            ("contents", outcome.changed_contents.to_string()),
            ("removed", outcome.removed.to_string()),
            ("instances", instances.to_string()),
            ("complete", complete.to_string()),
            ("stale", outcome.stale.to_string()),
            ("passed_on", provisional.to_string()),
        ];
        log::info!("{}", event_line("update_taken", &pairs));
    }
    if provisional {
        // A forwarded update may be stale: query the members.
        shared.request_query();
    }
    shared.changed.notify(usize::MAX);
    shared.notify_called();
}

fn apply_crashes(shared: &Shared, update: &CrashUpdate) {
    let now = shared.now();
    let (before, quarantined, before_parts, parts) = {
        let mut core = shared.core();
        let (before, before_parts) = (core.quarantined_requests(), core.refused_parts());
        core.apply_crash_update(now, update);
        let (after, parts) = (core.quarantined_requests(), core.refused_parts());
        (before, after, before_parts, parts)
    };
    shared.update_watch();
    shared.quarantine.notify(usize::MAX);
    // The writer decides when responses to watched parts are stated.
    shared.report.notify(1);
    if parts != before_parts {
        shared.metrics.refused_parts.set(parts as i64);
        shared.notify_called();
        log::info!("event=refused_parts_taken parts={parts} before={before_parts}");
        shared.changed.notify(usize::MAX);
    }
    if quarantined != before {
        shared.metrics.quarantined.set(quarantined as i64);
        shared.notify_called();
        log::info!("event=held_requests_taken held={quarantined} before={before}");
        shared.changed.notify(usize::MAX);
    }
}

fn apply_peers(shared: &Shared, update: PeerUpdate) {
    let (before, peers) = {
        let mut core = shared.core();
        let before = core.peer_count();
        core.apply_peers(update);
        (before, core.peer_count())
    };
    if before != peers {
        shared.metrics.peers.set(peers as i64);
        log::info!("event=peers_received peers={peers}");
    }
    shared.changed.notify(usize::MAX);
    shared.notify_called();
}

async fn read_frame(reader: &mut (impl AsyncRead + Unpin)) -> Result<ControlToRouter, CodecError> {
    let mut prefix = [0_u8; PREFIX_BYTES];
    reader.read_exact(&mut prefix).await?;
    let mut body = vec![0_u8; codec::body_length(prefix)?];
    reader.read_exact(&mut body).await?;
    decode(&body)
}
