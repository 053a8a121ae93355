//! The `millpass` command.

use millpass_cli::{commands, options};
use std::process::ExitCode;

fn main() -> ExitCode {
    let options = options::parse();
    match commands::run(options) {
        Ok(code) => code,
        Err(error) => {
            log::logger().flush();
            millpass_telemetry::write_stderr_with_timeout(&format!(
                "millpass: {}",
                format_error(&error)
            ));
            ExitCode::FAILURE
        }
    }
}

/// Formats the error with its causes, omitting causes that an earlier message already contains.
fn format_error(error: &anyhow::Error) -> String {
    error.chain().fold(String::new(), |message, cause| {
        let cause = cause.to_string();
        if message.contains(&cause) {
            return message;
        }
        if message.is_empty() {
            return cause;
        }
        format!("{message}: {cause}")
    })
}
