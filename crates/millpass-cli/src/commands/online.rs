//! Operators' commands over the administration API.

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

/// Pause between two readings of the deployment's state.
const STATUS_PAUSE: Duration = Duration::from_secs(1);
/// Pause between two readings while a rollout is awaited.
const ROLLOUT_PAUSE: Duration = Duration::from_millis(100);

/// What `apply` would do with one object.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Create,
    Change { version: u64 },
    Leave,
}

fn client(options: &AdministrationOptions) -> AdministrationClient {
    let addresses = options
        .control
        .split(',')
        .map(|address| address.trim().to_owned())
        .collect();
    AdministrationClient::new(addresses, options.key.clone())
}

fn kind_of(word: &str) -> Result<ObjectKind> {
    objects::parse_kind(word).with_context(|| {
        format!("{word:?} is no kind of object; see `millpass get --help` for the kinds")
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

/// A change id that no other change has; resends inside one command carry the same one.
fn new_change_id() -> String {
    uuid::Uuid::new_v4().to_string()
}

/// `apply`: each object is changed against the version just read, so that a change somebody else
/// makes meanwhile is never overwritten.
pub fn apply(options: &AdministrationOptions, file: &Path, dry_run: bool) -> Result<ExitCode> {
    let declared = read_objects(file)?;
    let mut client = client(options);
    for object in &declared {
        let step = plan(&mut client, object)?;
        print_step(step, object);
        if dry_run {
            continue;
        }
        if let Some(accepted) = carry_out(&mut client, step, object)? {
            println!(
                "       version {} revision {}",
                accepted.version, accepted.revision
            );
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn plan(client: &mut AdministrationClient, object: &DeclaredObject) -> Result<Step> {
    let Some(stored) = client.get(object.key.kind, &object.key.name)? else {
        return Ok(Step::Create);
    };
    if stored.spec == api::spec_to_json(&object.spec)? {
        return Ok(Step::Leave);
    }
    Ok(Step::Change {
        version: stored.version,
    })
}

fn print_step(step: Step, object: &DeclaredObject) {
    let word = match step {
        Step::Create => "create",
        Step::Change { .. } => "change",
        Step::Leave => "as is ",
    };
    println!(
        "{word} {}/{}",
        api::kind_plural(object.key.kind),
        object.key.name
    );
}

fn carry_out(
    client: &mut AdministrationClient,
    step: Step,
    object: &DeclaredObject,
) -> Result<Option<AcceptedBody>> {
    let expected_version = match step {
        Step::Create => 0,
        Step::Change { version } => version,
        Step::Leave => return Ok(None),
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

/// Creates or changes all these objects, without a word.
pub fn apply_all(client: &mut AdministrationClient, declared: &[DeclaredObject]) -> Result<()> {
    for object in declared {
        let step = plan(client, object)?;
        carry_out(client, step, object)?;
    }
    Ok(())
}

/// `get`.
pub fn get(options: &AdministrationOptions, kind: &str, name: Option<&str>) -> Result<ExitCode> {
    let kind = kind_of(kind)?;
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

/// `delete`, against the version just read.
pub fn delete(options: &AdministrationOptions, kind: &str, name: &str) -> Result<ExitCode> {
    let kind = kind_of(kind)?;
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
        std::thread::sleep(STATUS_PAUSE);
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
        let silent = member
            .silent_millis
            .map_or("leads".to_owned(), |ms| format!("silent {ms} ms"));
        println!(
            "member {} zone {} {} at {}{matched} {silent}",
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

/// `rollout`: success once every router that reports has the newest revision in force.
pub fn rollout(options: &AdministrationOptions, timeout_seconds: u64) -> Result<ExitCode> {
    let mut client = client(options);
    let wanted = client.status()?.configuration;
    let end = Instant::now() + Duration::from_secs(timeout_seconds);
    loop {
        let status = client.status()?;
        let lagging: Vec<String> = status
            .routers
            .iter()
            .filter(|router| router.configuration < wanted)
            .map(|router| format!("{} at {}", router.router, router.configuration))
            .collect();
        if lagging.is_empty() {
            println!(
                "revision {wanted} is in force at {} routers",
                status.routers.len()
            );
            return Ok(ExitCode::SUCCESS);
        }
        if Instant::now() >= end {
            println!(
                "revision {wanted} is not in force at: {}",
                lagging.join(", ")
            );
            return Ok(ExitCode::FAILURE);
        }
        std::thread::sleep(ROLLOUT_PAUSE);
    }
}

/// `held-requests`.
pub fn held_requests(options: &AdministrationOptions) -> Result<ExitCode> {
    let held = client(options).quarantined_requests()?;
    if held.requests.is_empty() {
        println!("no request is held back");
    }
    for request in held.requests {
        let seconds = request.held_ms / 1_000;
        println!(
            "{}  {} ends, refused for {seconds} s more",
            request.fingerprint, request.ends
        );
    }
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
