//! Which successful responses are answers of an instance.

use http::header::HeaderName;
use http::response::Parts;

/// Headers by which a successful response is recognized as the answer of its instance. What lacks
/// them may come from anything at the instance's address.
#[derive(Clone, Debug, Default)]
pub struct AnswerHeaders {
    /// Whether each answer states the attempt of its request, if the request names one.
    pub states_attempt: bool,
    /// Headers that each answer carries, with a value.
    pub required: Vec<HeaderName>,
    /// Headers that no answer carries.
    pub excluded: Vec<HeaderName>,
}

impl AnswerHeaders {
    /// Returns why a response cannot be an answer; none if it can, or is no success.
    pub(crate) fn defect(&self, head: &Parts) -> Option<String> {
        if !head.status.is_success() {
            return None;
        }
        let has_value = |name: &&HeaderName| {
            let value = head.headers.get(*name);
            value.is_some_and(|value| !value.is_empty())
        };
        if let Some(missing) = self.required.iter().find(|name| !has_value(name)) {
            return Some(format!("the response lacks {missing}"));
        }
        let mut excluded = self.excluded.iter();
        let excluded = excluded.find(|name| head.headers.contains_key(*name))?;
        Some(format!("the response carries {excluded}"))
    }
}
