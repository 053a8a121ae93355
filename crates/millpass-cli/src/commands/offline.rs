//! Commands that need no server: `check`, `template`, `key`.

use crate::objects::{self, DeclaredObject};
use crate::options::PolicyCommand;
use anyhow::{Context, Result, bail};
use millpass_policy::validate;
use millpass_proto::{ObjectSpec, PolicyName};
use std::path::Path;
use std::process::ExitCode;

const CONTROL_TEMPLATE: &str = include_str!("../../../../examples/templates/control.toml");
const ROUTER_TEMPLATE: &str = include_str!("../../../../examples/templates/router.toml");
const GATEWAY_TEMPLATE: &str = include_str!("../../../../examples/templates/gateway.toml");

/// Checks a settings file or a file of objects; which one it is, its sections tell.
pub fn check(file: &Path) -> Result<ExitCode> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file)
        .with_context(|| format!("{name}: cannot be read; check the path"))?;
    let table: toml::Table = text
        .parse()
        .map_err(|error| anyhow::anyhow!("{name}: not valid TOML: {error}"))?;
    let kind = if table.contains_key("member") || table.contains_key("members") {
        millpass_config::parse_control(&name, &text)?;
        "control settings"
    } else if table.contains_key("gateway") {
        millpass_config::parse_gateway(&name, &text)?;
        "gateway settings"
    } else if table.contains_key("router") || table.contains_key("limits") {
        millpass_config::parse_router(&name, &text)?;
        "router settings"
    } else {
        let declared = objects::parse_objects(&name, &text)?;
        check_policies(&name, &declared)?;
        "objects"
    };
    println!("{name}: valid {kind}");
    Ok(ExitCode::SUCCESS)
}

/// Compiles the policies among these objects and runs their examples; the first error ends it.
pub fn check_policies(file: &str, declared: &[DeclaredObject]) -> Result<()> {
    for object in declared {
        if let ObjectSpec::Policy(spec) = &object.spec {
            validate(&PolicyName::from(object.key.name.as_str()), spec)
                .map_err(|error| anyhow::anyhow!("{file}: {error}; nothing was submitted"))?;
        }
    }
    Ok(())
}

/// Prints a settings template.
pub fn template(kind: &str) -> Result<ExitCode> {
    match kind {
        "control" => print!("{CONTROL_TEMPLATE}"),
        "router" => print!("{ROUTER_TEMPLATE}"),
        "gateway" => print!("{GATEWAY_TEMPLATE}"),
        other => bail!("no template {other:?}; write `control`, `router` or `gateway`"),
    }
    Ok(ExitCode::SUCCESS)
}

/// Draws a key: 32 random bytes from two random UUIDs of the operating system's generator.
pub fn key() -> Result<ExitCode> {
    let random = [uuid::Uuid::new_v4(), uuid::Uuid::new_v4()];
    let key = format!("mp-{}{}", random[0].simple(), random[1].simple());
    println!("key  {key}");
    println!("hash {}", key_hash(&key));
    Ok(ExitCode::SUCCESS)
}

/// The hash under which a key is stored.
pub fn key_hash(key: &str) -> String {
    blake3::hash(key.as_bytes()).to_hex().to_string()
}

/// `policy test`: compiles each policy of a file and runs its examples.
pub fn policy(command: PolicyCommand) -> Result<ExitCode> {
    let PolicyCommand::Test { file } = command;
    let name = file.display().to_string();
    let text = std::fs::read_to_string(&file)
        .with_context(|| format!("{name}: cannot be read; check the path"))?;
    let mut failed = 0_u32;
    for object in objects::parse_objects(&name, &text)? {
        let ObjectSpec::Policy(spec) = &object.spec else {
            continue;
        };
        match validate(&PolicyName::from(object.key.name.as_str()), spec) {
            Ok(()) => println!("{}: {} examples hold", object.key.name, spec.examples.len()),
            Err(error) => {
                failed += 1;
                println!("{}: {error}", object.key.name);
            }
        }
    }
    Ok(if failed == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}
