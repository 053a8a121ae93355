//! The commands, one module per group.

mod explain;
mod losses;
mod offline;
pub mod online;
pub mod programs;

pub use offline::key_hash;

use crate::losses::LossOptions;
use crate::options::Options;
use crate::quota_use::QuotaUseOptions;
use anyhow::Result;
use std::process::ExitCode;

/// Runs a parsed command.
pub fn run(options: Options) -> Result<ExitCode> {
    match options {
        Options::Dev { options } => crate::dev::run(&options),
        Options::Control { command } => programs::control(command),
        Options::Router { settings } => programs::router(&settings),
        Options::Check { file } => offline::check(&file),
        Options::Template { kind } => offline::template(&kind),
        Options::Key => offline::key(),
        Options::Apply {
            administration,
            file,
            dry_run,
        } => online::apply(&administration, &file, dry_run),
        Options::Diff {
            administration,
            file,
        } => online::apply(&administration, &file, true),
        Options::Get {
            administration,
            kind,
            name,
        } => online::get(&administration, &kind, name.as_deref()),
        Options::Delete {
            administration,
            kind,
            name,
        } => online::delete(&administration, &kind, &name),
        Options::Status {
            administration,
            watch,
        } => online::status(&administration, watch),
        Options::Rollout {
            administration,
            timeout,
        } => online::rollout(&administration, timeout),
        Options::Drain {
            administration,
            backend,
        } => online::drain(&administration, &backend),
        Options::HeldRequests { administration } => online::held_requests(&administration),
        Options::LiftRequest {
            administration,
            fingerprint,
        } => online::lift_request(&administration, &fingerprint),
        Options::LiftParts {
            administration,
            tenant,
            all_tenants,
            service,
            parts,
        } => {
            let tenant = tenant.as_deref();
            online::lift_parts(&administration, &service, &parts, tenant, all_tenants)
        }
        Options::Audit {
            administration,
            after,
        } => online::audit(&administration, after),
        Options::Explain {
            router,
            json,
            request,
        } => explain::explain(&router, &request, json),
        Options::Losses {
            rows,
            window,
            slow,
            files,
        } => {
            let options = LossOptions {
                rows,
                window_ms: window,
                slow_ms: slow,
            };
            losses::losses(&files, &options)
        }
        Options::QuotaUse {
            window,
            tenant,
            rows,
            files,
        } => {
            let options = QuotaUseOptions {
                window_ms: window,
                tenant,
                rows,
            };
            losses::quota_use(&files, &options)
        }
        Options::Policy { command } => offline::policy(command),
    }
}
