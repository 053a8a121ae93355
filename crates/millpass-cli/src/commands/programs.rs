//! `control` and `router`: runs the processes from their settings files.

use crate::options::ControlCommand;
use anyhow::{Context, Result, bail};
use millpass_config::generated::ControlSchedulingSection;
use millpass_config::generated::GatewaySettings;
use millpass_config::{ControlSettings, RouterSettings};
use millpass_control::settings::{ConsensusTiming, InitialMember, ProcessLimits, SeedMember};
use millpass_control::{ControlHandle, ControlProcessSettings, Extensions};
use millpass_control_plane::{FleetSettings, PartQuarantineSettings, PartThreshold, TableSettings};
use millpass_dispatch::{
    BegunSettings, DispatchSettings, FreshnessSettings, PartSettings, ReachSettings,
};
use millpass_gateway::{AnswerHeaders, Connector, GatewaySettings as GatewayProcessSettings};
use millpass_proto::{Duration, GroupId, Incarnation};
use millpass_router::RouterProcessSettings;
use millpass_routing::RoutingSettings;
use millpass_scheduler::{KeepAlive, SchedulerSettings};
use millpass_storage::StorageOptions;
use millpass_telemetry::{LogSettings, ProcessClock, event_line, log_panics, start_logging};
use millpass_tenancy::QuotaTolerance;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;

const BYTES_PER_MEGABYTE: u64 = 1_000_000;

/// Runs `millpass control ...`.
pub fn control(command: ControlCommand) -> Result<ExitCode> {
    match command {
        ControlCommand::Init { settings } => {
            let process = control_process(&millpass_config::load_control(&settings)?)?;
            millpass_control::initialize(&process)?;
            println!("initialized {}", process.data_folder.display());
        }
        ControlCommand::Run { settings } => run_control(&settings)?,
    }
    Ok(ExitCode::SUCCESS)
}

fn run_control(file: &Path) -> Result<()> {
    let settings = millpass_config::load_control(file)?;
    start_logging(&LogSettings {
        level: settings.log.level.clone(),
        file: settings.log.file.clone(),
    })?;
    log_panics();
    let mut signals = Signals::new([SIGTERM, SIGINT]).context("signal handlers")?;
    let process = control_process(&settings)?;
    let Some(mut handle) = start_member(&process, &Extensions::default(), &mut signals)? else {
        log_stopped("control");
        return Ok(());
    };
    let signals_handle = signals.handle();
    handle.on_exit(move || signals_handle.close())?;
    wait_for_signal(&mut signals);
    handle.drain();
    handle.join()?;
    log_stopped("control");
    Ok(())
}

/// Starts a member once its disk has free space. Returns `None` if a stop signal arrives first.
pub fn start_member(
    process: &ControlProcessSettings,
    extensions: &Extensions,
    signals: &mut Signals,
) -> Result<Option<ControlHandle>> {
    let mut is_stopped = false;
    let started = millpass_control::start_when_disk_available(process, extensions, || {
        is_stopped |= signals.pending().any(|signal| signal != SIGHUP);
        !is_stopped
    });
    if is_stopped {
        return Ok(None);
    }
    Ok(Some(started?))
}

/// Runs `millpass router`.
pub fn router(file: &Path) -> Result<ExitCode> {
    let settings = millpass_config::load_router(file)?;
    start_logging(&LogSettings {
        level: settings.log.level.clone(),
        file: settings.log.file.clone(),
    })?;
    log_panics();
    let mut signals = Signals::new([SIGTERM, SIGINT]).context("signal handlers")?;
    let handle = millpass_router::start(router_process(&settings)?)?;
    let signals_handle = signals.handle();
    handle.on_thread_end(move || signals_handle.close())?;
    let is_signaled = wait_for_signal(&mut signals);
    handle.drain();
    handle.join();
    if !is_signaled {
        bail!(
            "a router thread ended unexpectedly; restart the router, and report the log as a defect"
        );
    }
    log_stopped("router");
    Ok(ExitCode::SUCCESS)
}

/// Waits for a signal, or until `signals` is closed; returns whether one was received. Restores the
/// default action, so that a second signal ends the process at once.
pub fn wait_for_signal(signals: &mut Signals) -> bool {
    let signal = signals.forever().next();
    if let Some(signal) = signal {
        log::info!(
            "{}",
            event_line("stopping", &[("signal", signal.to_string())])
        );
        let _ = signal_hook::flag::register_conditional_default(
            signal,
            std::sync::Arc::new(std::sync::atomic::AtomicBool::new(true)),
        );
    }
    signal.is_some()
}

fn log_stopped(program: &str) {
    log::info!(
        "{}",
        event_line("stopped", &[("program", program.to_owned())])
    );
    log::logger().flush();
}

/// Converts a control member's settings file to process settings.
pub fn control_process(settings: &ControlSettings) -> Result<ControlProcessSettings> {
    let member = &settings.member;
    let mut process = ControlProcessSettings::single(&member.data_folder);
    process.group = group_id(member.group);
    process.zone = member.zone.as_str().into();
    process.peer_listen = member.peer_listen.clone();
    process.administration_listen = member.administration_listen.clone();
    process.bootstrap = false;
    process.peer_advertise = non_empty(&member.peer_address);
    process.bootstrap_key_hash = non_empty(&member.bootstrap_key_hash);
    process.initial_members = settings.members.iter().map(initial_member).collect();
    process.seeds = seeds(settings)?;
    process.form_from_seeds = member.form_group == "from-seeds";
    process.fleet = fleet(settings)?;
    if process.fleet.is_some() {
        process.limits = ProcessLimits {
            call_timeout: millis(settings.fleet.call_timeout_ms),
            delivery_threads: count(settings.fleet.calls_at_once),
            ..fleet_limits()
        };
    }
    process.platform_address = process
        .fleet
        .is_none()
        .then(|| settings.platform.address.clone());
    process.consensus = ConsensusTiming {
        election_timeout: millis(settings.consensus.election_timeout_ms),
        heartbeat_interval: millis(settings.consensus.heartbeat_ms),
        lease_length: millis(settings.consensus.lease_ms),
        stalled_disk_limit: millis(settings.consensus.stalled_disk_ms),
        maximum_append_entries: count(settings.consensus.maximum_append_entries),
        snapshot_chunk_bytes: count(settings.consensus.snapshot_chunk_bytes),
    };
    process.storage = storage(settings);
    process.snapshot_entries = settings.consensus.snapshot_entries;
    process.scheduler = scheduler(settings);
    process.scheduling_interval = millis(settings.scheduling.interval_ms);
    process.router_lease = millis(settings.routers.lease_ms);
    process.claim_retention = millis(settings.claims.retention_ms);
    process.member_replacement_delay = millis(settings.repair.member_replacement_delay_ms);
    process.target_voters = match count(settings.repair.tolerated_losses) {
        0 => 0,
        losses => 2 * losses + 1,
    };
    process.machine_gone_delay = millis(settings.repair.machine_gone_delay_ms);
    Ok(process)
}

fn storage(settings: &ControlSettings) -> StorageOptions {
    let bytes = |megabytes: u64| megabytes.saturating_mul(BYTES_PER_MEGABYTE);
    let storage = &settings.storage;
    StorageOptions {
        segment_bytes: bytes(storage.segment_mb),
        largest_state_bytes: bytes(storage.largest_state_mb),
        disk_bytes: (storage.disk_mb > 0).then(|| bytes(storage.disk_mb)),
        ..StorageOptions::default()
    }
}

/// Returns the seeds' addresses. Their peer port is the same as this member's.
fn seeds(settings: &ControlSettings) -> Result<Vec<SeedMember>> {
    let port = address(&settings.member.peer_listen)?.port();
    settings
        .member
        .seeds
        .iter()
        .map(|seed| {
            Ok(SeedMember {
                peer_address: with_port(seed, port)?.to_string(),
                administration_address: seed.clone(),
            })
        })
        .collect()
}

/// Queue limits of a fleet's member. Small, as queues are allocated at start and a fleet sends few
/// messages.
fn fleet_limits() -> ProcessLimits {
    ProcessLimits {
        peer_queue: 128,
        router_queue: 64,
        delivery_queue: 256,
        ..ProcessLimits::default()
    }
}

fn quota(window_ms: u64, overage: &str, slack_units: u64) -> Result<QuotaTolerance> {
    Ok(QuotaTolerance {
        window: millis(window_ms),
        overage: overage.parse().context("quota.overage")?,
        slack_units,
    })
}

fn fleet(settings: &ControlSettings) -> Result<Option<FleetSettings>> {
    let section = &settings.fleet;
    let quota = quota(
        settings.quota.window_ms,
        &settings.quota.overage,
        settings.quota.slack_units,
    )?;
    let announced = (section.mode == "announced").then(|| FleetSettings {
        holder: settings.member.administration_listen.clone(),
        announce_interval: millis(section.announce_interval_ms),
        instance_timeout: millis(section.instance_silence_ms),
        order_handover: millis(section.order_handover_ms),
        order_lifetime: millis(section.order_lifetime_ms),
        quota,
        origins: TableSettings {
            maximum: count(settings.streams.maximum),
            settle: millis(settings.streams.settle_ms),
        },
        parts: PartQuarantineSettings {
            unknown: PartThreshold {
                crashes: count(settings.crashes.part_crashes) as u32,
                moments: count(settings.crashes.part_moments) as u32,
            },
            known_served: PartThreshold {
                crashes: count(settings.crashes.served_part_crashes) as u32,
                moments: count(settings.crashes.served_part_moments) as u32,
            },
            initial_time: millis(settings.crashes.part_refusal_ms),
        },
    });
    Ok(announced)
}

/// Delay from selecting an instance to the request's arrival there, in addition to the connect
/// timeout: one-way latency and scheduling on a busy process.
const SEND_DELAY_MARGIN: Duration = Duration::from_millis(100);

/// Converts a gateway's settings file to process settings.
pub fn gateway_process(settings: &GatewaySettings) -> Result<GatewayProcessSettings> {
    let control = &settings.control;
    let port = u16::try_from(control.peer_port).context("control.peer_port")?;
    let members = control
        .seeds
        .iter()
        .map(|seed| with_port(seed, port))
        .collect::<Result<_>>()?;
    Ok(GatewayProcessSettings {
        dispatch: DispatchSettings {
            name: settings.gateway.name.clone(),
            zone: settings.gateway.zone.as_str().into(),
            retry_ratio: settings.retries.ratio.parse().context("retries.ratio")?,
            retry_slack: settings.retries.slack as f64,
            retry_window: millis(settings.retries.window_ms),
            prompt_tokens_per_milli: settings.instances.prompt_tokens_per_second as f64 / 1_000.0,
            default_timeout: millis(settings.instances.default_patience_ms),
            quota: quota(
                settings.quota.window_ms,
                &settings.quota.overage,
                settings.quota.slack_units,
            )?,
            key_lifetime: (settings.tenants.unchecked_keys == "refuse")
                .then(|| millis(settings.tenants.key_lifetime_ms)),
            freshness: FreshnessSettings {
                max_staleness: millis(settings.freshness.in_force_ms),
                max_departure_staleness: millis(settings.freshness.departed_ms),
                max_send_delay: millis(settings.instances.connect_timeout_ms) + SEND_DELAY_MARGIN,
                max_isolated_staleness: millis(settings.freshness.cut_off_ms),
            },
            reach: reach(settings),
            parts: PartSettings {
                onset: millis(settings.crashes.onset_ms),
            },
            origins: origins(settings),
        },
        clock: ProcessClock::start(),
        listen: address(&settings.gateway.listen)?,
        ready_listen: address(&settings.gateway.ready_listen)?,
        metrics_listen: address(&settings.gateway.metrics_listen)?,
        peer_listen: address(&settings.peers.listen)?,
        maximum_forwarded: count(settings.peers.maximum_requests),
        members,
        member_source: None,
        report_interval: millis(control.report_interval_ms),
        leader_timeout: millis(control.leader_silence_ms),
        connect_timeout: millis(settings.instances.connect_timeout_ms),
        link_timeout: millis(control.connect_timeout_ms),
        drain_grace: millis(settings.drain.grace_ms),
        drain_accept: millis(settings.drain.accept_ms),
        body_memory: count(
            settings
                .bodies
                .maximum_mb
                .saturating_mul(BYTES_PER_MEGABYTE),
        ),
        answers: AnswerHeaders::default(),
        connector: Connector::default(),
    })
}

fn reach(settings: &GatewaySettings) -> ReachSettings {
    let section = &settings.reachability;
    ReachSettings {
        probe_interval: millis(section.probe_interval_ms),
        max_probe_interval: millis(section.max_probe_interval_ms),
        sample: count(section.sample),
        silence: millis(section.silence_ms),
    }
}

fn origins(settings: &GatewaySettings) -> BegunSettings {
    let section = &settings.streams;
    BegunSettings {
        retention: millis(section.retention_ms),
        lookup_timeout: millis(section.lookup_timeout_ms),
        proof_timeout: millis(section.proof_timeout_ms),
        report_interval: millis(section.report_interval_ms),
        maximum: count(section.maximum),
    }
}

fn initial_member(section: &millpass_config::generated::ControlMembersSection) -> InitialMember {
    InitialMember {
        zone: section.zone.as_str().into(),
        peer_address: section.peer_address.clone(),
        administration_address: section.administration_address.clone(),
    }
}

fn scheduler(settings: &ControlSettings) -> SchedulerSettings {
    SchedulerSettings {
        cold_start_weight: to_u32(settings.scheduling.cold_start_weight),
        idle_weight: to_u32(settings.scheduling.idle_weight),
        keep_alive: keep_alive(&settings.scheduling),
        store_loads_per_second: to_u32(settings.store.loads_per_second),
        store_concurrent_loads: to_u32(settings.store.concurrent_loads),
        store_bytes_per_second: settings.store.bytes_per_second,
        ..SchedulerSettings::default()
    }
}

fn keep_alive(section: &ControlSchedulingSection) -> KeepAlive {
    match section.keep_alive.as_str() {
        "fixed" => KeepAlive::Fixed(millis(section.fixed_keep_alive_ms)),
        "least-recently-used" => KeepAlive::LeastRecentlyUsed,
        "always" => KeepAlive::AlwaysLoaded,
        _ => KeepAlive::Adaptive,
    }
}

/// Converts a router's settings file to process settings.
pub fn router_process(settings: &RouterSettings) -> Result<RouterProcessSettings> {
    let mut process = RouterProcessSettings {
        routing: routing(settings),
        listen: address(&settings.router.listen)?,
        metrics_listen: address(&settings.router.metrics_listen)?,
        control_members: settings
            .control
            .members
            .iter()
            .map(|member| address(member))
            .collect::<Result<_>>()?,
        drain_grace: millis(settings.drain.grace_ms),
        ..RouterProcessSettings::default()
    };
    process.limits.maximum_connections = count(settings.limits.maximum_connections);
    process.limits.maximum_body_bytes = count(settings.limits.maximum_body_bytes);
    process.limits.header_timeout = millis(settings.limits.header_timeout_ms);
    process.limits.body_timeout = millis(settings.limits.body_timeout_ms);
    process.limits.default_deadline = millis(settings.limits.default_deadline_ms);
    process.limits.maximum_deadline = millis(settings.limits.maximum_deadline_ms);
    process.limits.maximum_recorded_bytes = count(settings.claims.maximum_answer_bytes);
    process.watch.interval = millis(settings.reports.watch_interval_ms);
    Ok(process)
}

fn routing(settings: &RouterSettings) -> RoutingSettings {
    RoutingSettings {
        group: group_id(settings.router.group),
        router: settings.router.name.as_str().into(),
        incarnation: Incarnation(0),
        zone: settings.router.zone.as_str().into(),
        address: String::new(),
        report_interval: millis(settings.reports.interval_ms),
        minimum_report_interval: millis(settings.reports.minimum_interval_ms),
        maximum_waiting: count(settings.limits.maximum_waiting),
        maximum_attempts: to_u32(settings.retries.maximum_attempts),
        retry_budget_percent: to_u32(settings.retries.budget_percent),
        circuit_failures: to_u32(settings.retries.circuit_failures),
        circuit_open: millis(settings.retries.circuit_open_ms),
        claim_timeout: millis(settings.claims.timeout_ms),
    }
}

fn group_id(number: u64) -> GroupId {
    GroupId(to_u32(number))
}

fn millis(number: u64) -> Duration {
    Duration::from_millis(number)
}

/// Converts to 32 bits; the ranges of the schema guarantee that the number fits.
fn to_u32(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

fn count(number: u64) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}

fn non_empty(text: &str) -> Option<String> {
    (!text.is_empty()).then(|| text.to_owned())
}

/// Replaces the port of an address.
fn with_port(text: &str, port: u16) -> Result<SocketAddr> {
    Ok(SocketAddr::new(address(text)?.ip(), port))
}

fn address(text: &str) -> Result<SocketAddr> {
    text.parse()
        .with_context(|| format!("{text} is not an IP address with port"))
}
