//! Operator commands that use the administration API.

use crate::commands::offline::check_policies;
use crate::objects::{self, DeclaredObject};
use crate::options::AdministrationOptions;
use anyhow::{Context, Result, bail};
use millpass_control::api::{self, AcceptedBody, ChangeBody, ObjectBody, StatusBody};
use millpass_control::client::AdministrationClient;
use millpass_proto::ObjectKind;
use std::path::Path;
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// Refresh interval of `status --watch`.
const STATUS_INTERVAL: Duration = Duration::from_secs(1);
const ROLLOUT_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Action of `apply` on an object.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Action {
    Create,
    Change { version: u64 },
    Keep,
}

fn client(options: &AdministrationOptions) -> AdministrationClient {
    let addresses = options
        .control
        .split(',')
        .map(|address| address.trim().to_owned())
        .collect();
    AdministrationClient::new(addresses, options.key.clone())
}

fn parse_kind(name: &str) -> Result<ObjectKind> {
    objects::parse_kind(name).with_context(|| {
        format!("{name:?} is no kind of object; see `millpass get --help` for the kinds")
    })
}

fn read_objects(file: &Path) -> Result<Vec<DeclaredObject>> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file)
        .with_context(|| format!("{name}: cannot be read; check the path"))?;
    let declared = objects::parse_objects(&name, &text)?;
    check_policies(&name, &declared)?;
    Ok(declared)
}

/// Returns a unique change id. Retries within one command use the same one.
fn new_change_id() -> String {
    uuid::Uuid::new_v4().to_string()
}

/// `apply`: changes each object conditionally on the version just read, so that a concurrent change
/// is never overwritten.
pub fn apply(options: &AdministrationOptions, file: &Path, dry_run: bool) -> Result<ExitCode> {
    let declared = read_objects(file)?;
    let mut client = client(options);
    for object in &declared {
        let action = plan(&mut client, object)?;
        print_action(action, object);
        if dry_run {
            continue;
        }
        if let Some(accepted) = execute(&mut client, action, object)? {
            println!(
                "       version {} revision {}",
                accepted.version, accepted.revision
            );
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn plan(client: &mut AdministrationClient, object: &DeclaredObject) -> Result<Action> {
    let Some(stored) = client.get(object.key.kind, &object.key.name)? else {
        return Ok(Action::Create);
    };
    if stored.spec == api::spec_to_json(&object.spec)? {
        return Ok(Action::Keep);
    }
    Ok(Action::Change {
        version: stored.version,
    })
}

fn print_action(action: Action, object: &DeclaredObject) {
    let label = match action {
        Action::Create => "create",
        Action::Change { .. } => "change",
        Action::Keep => "as is ",
    };
    println!(
        "{label} {}/{}",
        api::kind_plural(object.key.kind),
        object.key.name
    );
}

fn execute(
    client: &mut AdministrationClient,
    action: Action,
    object: &DeclaredObject,
) -> Result<Option<AcceptedBody>> {
    let expected_version = match action {
        Action::Create => 0,
        Action::Change { version } => version,
        Action::Keep => return Ok(None),
    };
    let change = ChangeBody {
        expected_version,
        change_id: new_change_id(),
        spec: api::spec_to_json(&object.spec)?,
    };
    let accepted = client
        .put(object.key.kind, &object.key.name, &change)
        .with_context(|| format!("{}/{}", api::kind_plural(object.key.kind), object.key.name))?;
    Ok(Some(accepted))
}

/// Applies all objects without printing.
pub fn apply_all(client: &mut AdministrationClient, declared: &[DeclaredObject]) -> Result<()> {
    for object in declared {
        let action = plan(client, object)?;
        execute(client, action, object)?;
    }
    Ok(())
}

/// `get`.
pub fn get(options: &AdministrationOptions, kind: &str, name: Option<&str>) -> Result<ExitCode> {
    let kind = parse_kind(kind)?;
    let mut client = client(options);
    let found = match name {
        Some(name) => match client.get(kind, name)? {
            Some(object) => vec![object],
            None => bail!("{}/{name} does not exist", api::kind_plural(kind)),
        },
        None => client.list(kind)?,
    };
    for object in &found {
        print_object(object)?;
    }
    Ok(ExitCode::SUCCESS)
}

fn print_object(object: &ObjectBody) -> Result<()> {
    println!(
        "{}/{} version {} revision {}",
        object.kind, object.name, object.version, object.revision
    );
    println!("{}", serde_json::to_string_pretty(&object.spec)?);
    Ok(())
}

/// `delete`: conditional on the version just read.
pub fn delete(options: &AdministrationOptions, kind: &str, name: &str) -> Result<ExitCode> {
    let kind = parse_kind(kind)?;
    let mut client = client(options);
    let Some(stored) = client.get(kind, name)? else {
        bail!(
            "{}/{name} does not exist; nothing was deleted",
            api::kind_plural(kind)
        );
    };
    let accepted = client.delete(kind, name, stored.version, &new_change_id())?;
    println!(
        "deleted {}/{name} revision {}",
        api::kind_plural(kind),
        accepted.revision
    );
    Ok(ExitCode::SUCCESS)
}

/// `status`.
pub fn status(options: &AdministrationOptions, watch: bool) -> Result<ExitCode> {
    let mut client = client(options);
    loop {
        print_status(&client.status()?);
        if !watch {
            return Ok(ExitCode::SUCCESS);
        }
        println!();
        std::thread::sleep(STATUS_INTERVAL);
    }
}

fn print_status(status: &StatusBody) {
    let leader = status
        .leader
        .map_or("none".to_owned(), |member| member.to_string());
    println!(
        "term {} leader {leader} commit {} configuration {} outstanding orders {}",
        status.term, status.commit, status.configuration, status.outstanding_orders
    );
    for member in &status.members {
        let matched = member.match_index.map(|index| format!(" match {index}"));
        let matched = matched.unwrap_or_default();
        let contact = member
            .silent_millis
            .map_or("leads".to_owned(), |ms| format!("silent {ms} ms"));
        println!(
            "member {} zone {} {} at {}{matched} {contact}",
            member.member, member.zone, member.role, member.peer_address
        );
    }
    for router in &status.routers {
        let lag = status.configuration.saturating_sub(router.configuration);
        let note = if lag > 0 {
            format!(" LAGS by {lag}")
        } else {
            String::new()
        };
        println!(
            "router {} zone {} configuration {} silent {} ms{note}",
            router.router, router.zone, router.configuration, router.silent_millis
        );
    }
    for replica in &status.replicas {
        println!(
            "replica {} of {}@{} on {} {}",
            replica.slot, replica.model, replica.version, replica.backend, replica.phase
        );
    }
    for backend in status
        .backends
        .iter()
        .filter(|backend| backend.state != "live")
    {
        println!("back end {} {}", backend.backend, backend.state);
    }
}

/// `rollout`: succeeds once every reporting router has applied the newest revision.
pub fn rollout(options: &AdministrationOptions, timeout_seconds: u64) -> Result<ExitCode> {
    let mut client = client(options);
    let target = client.status()?.configuration;
    let deadline = Instant::now() + Duration::from_secs(timeout_seconds);
    loop {
        let status = client.status()?;
        let lagging: Vec<String> = status
            .routers
            .iter()
            .filter(|router| router.configuration < target)
            .map(|router| format!("{} at {}", router.router, router.configuration))
            .collect();
        if lagging.is_empty() {
            println!(
                "revision {target} is in force at {} routers",
                status.routers.len()
            );
            return Ok(ExitCode::SUCCESS);
        }
        if Instant::now() >= deadline {
            println!(
                "revision {target} is not in force at: {}",
                lagging.join(", ")
            );
            return Ok(ExitCode::FAILURE);
        }
        std::thread::sleep(ROLLOUT_POLL_INTERVAL);
    }
}

/// `held-requests`.
pub fn held_requests(options: &AdministrationOptions) -> Result<ExitCode> {
    let quarantined = client(options).quarantined_requests()?;
    if quarantined.requests.is_empty() {
        println!("no request is quarantined");
    }
    for request in quarantined.requests {
        let seconds = request.held_ms / 1_000;
        println!(
            "{}  {} ends, refused for {seconds} s more",
            request.fingerprint, request.ends
        );
    }
    if quarantined.parts.is_empty() {
        println!("no part of a prompt is refused");
    }
    for refused in quarantined.parts {
        let tenant = match (refused.tenant, refused.all_tenants) {
            (_, true) => "all tenants".to_owned(),
            (Some(tenant), false) => format!("tenant {tenant}"),
            (None, false) => "callers without a key".to_owned(),
        };
        println!(
            "part {} at service {} of {tenant}: {} ends, refused for {} s more",
            refused.parts,
            refused.service,
            refused.ends,
            refused.held_ms / 1_000
        );
    }
    Ok(ExitCode::SUCCESS)
}

/// `lift-parts`.
pub fn lift_parts(
    options: &AdministrationOptions,
    service: &str,
    parts: &str,
    tenant: Option<&str>,
    all_tenants: bool,
) -> Result<ExitCode> {
    client(options).release_parts(service, parts, tenant, all_tenants)?;
    println!("prompts with {parts} are served again at {service}");
    Ok(ExitCode::SUCCESS)
}

/// `lift-request`.
pub fn lift_request(options: &AdministrationOptions, fingerprint: &str) -> Result<ExitCode> {
    client(options).lift_quarantine(fingerprint)?;
    println!("{fingerprint} is served again");
    Ok(ExitCode::SUCCESS)
}

/// `drain`.
pub fn drain(options: &AdministrationOptions, backend: &str) -> Result<ExitCode> {
    client(options).drain_backend(backend)?;
    println!("{backend} is leaving: it gets no new work once the routers' leases are renewed");
    Ok(ExitCode::SUCCESS)
}

/// `audit`.
pub fn audit(options: &AdministrationOptions, after: u64) -> Result<ExitCode> {
    for record in client(options).audit(after)?.records {
        println!("{}", serde_json::to_string(&record)?);
    }
    Ok(ExitCode::SUCCESS)
}
