//! Expected response of a request.

use millpass_proto::{AdapterName, ModelName, VersionLabel};
use millpass_standin::content::Completion;

/// Returns the tokens of the expected response, in order.
pub fn expected_tokens(
    model: &ModelName,
    version: &VersionLabel,
    adapter: Option<&AdapterName>,
    prompt: &str,
    tokens: u32,
) -> Vec<String> {
    let answer = Completion::new(model, version, adapter, prompt);
    (0..tokens).map(|position| answer.token(position)).collect()
}
