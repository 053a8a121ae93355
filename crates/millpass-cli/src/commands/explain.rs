//! `explain`: prints what a router recorded about a recent request.

use anyhow::{Context, Result};
use serde::Deserialize;
use std::process::ExitCode;

/// Response of `/v1/explain/REQUEST`. Times are in milliseconds since the request arrived.
#[derive(Debug, Deserialize)]
struct Explanation {
    request_id: String,
    tenant: Option<String>,
    target: Option<String>,
    urgency: Option<String>,
    policy: Option<String>,
    outcome: String,
    waiting_for: Option<String>,
    refusal: Option<RefusalDetails>,
    attempts: Vec<Attempt>,
    waited_ms: u64,
    total_ms: u64,
}

#[derive(Debug, Deserialize)]
struct RefusalDetails {
    code: String,
    executed: String,
    message: String,
}

#[derive(Debug, Deserialize)]
struct Attempt {
    backend: String,
    resume_from: u64,
    started_ms: u64,
    ended_ms: Option<u64>,
    result: String,
}

/// Queries a router at its metrics address. `json` prints the response unchanged.
pub fn explain(router: &str, request: &str, json: bool) -> Result<ExitCode> {
    let url = format!("http://{router}/v1/explain/{request}");
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .build()
        .into();
    let mut response = agent
        .get(&url)
        .call()
        .with_context(|| format!("no response from {router}; give the router's metrics address"))?;
    let text = response.body_mut().read_to_string()?;
    if !response.status().is_success() {
        println!("{}", text.trim_end());
        return Ok(ExitCode::FAILURE);
    }
    if json {
        println!("{text}");
    } else {
        let explanation = serde_json::from_str(&text)
            .context("the router's response cannot be parsed; use a router of this release")?;
        print!("{}", describe(&explanation));
    }
    Ok(ExitCode::SUCCESS)
}

fn describe(explanation: &Explanation) -> String {
    let mut lines = vec![format!(
        "request  {} {} after {} ms, of which {} ms waiting",
        explanation.request_id, explanation.outcome, explanation.total_ms, explanation.waited_ms
    )];
    let fields = [
        ("tenant", &explanation.tenant),
        ("target", &explanation.target),
        ("urgency", &explanation.urgency),
        ("policy", &explanation.policy),
        ("waits", &explanation.waiting_for),
    ];
    for (label, value) in fields {
        if let Some(value) = value {
            lines.push(format!("{label:<8} {value}"));
        }
    }
    if let Some(refusal) = &explanation.refusal {
        let RefusalDetails {
            code,
            executed,
            message,
        } = refusal;
        lines.push(format!("refused  {code} (executed: {executed}): {message}"));
    }
    lines.extend(explanation.attempts.iter().map(describe_attempt));
    lines.push(String::new());
    lines.join("\n")
}

fn describe_attempt(attempt: &Attempt) -> String {
    let until = attempt
        .ended_ms
        .map_or("now".to_owned(), |ended| format!("{ended} ms"));
    let resumed = match attempt.resume_from {
        0 => String::new(),
        position => format!(", resumed at token {position}"),
    };
    format!(
        "attempt  {} from {} ms to {until}: {}{resumed}",
        attempt.backend, attempt.started_ms, attempt.result
    )
}
