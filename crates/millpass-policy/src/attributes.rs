//! Request attributes available to policy programs.

/// Names of the variables, in the order of [`RequestAttributes::variables`].
pub(crate) const VARIABLES: [&str; 5] = ["tenant", "model", "adapter", "kind", "path"];

/// Attributes of a request. They exclude time and load, so that every router reaches the same
/// verdict.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestAttributes<'a> {
    /// Tenant.
    pub tenant: &'a str,
    /// Model; empty for web requests.
    pub model: &'a str,
    /// Adapter; empty if none is requested.
    pub adapter: &'a str,
    /// `completion`, `chat` or `web`.
    pub kind: &'a str,
    /// Path without query; empty for model requests.
    pub path: &'a str,
}

impl<'a> RequestAttributes<'a> {
    /// Returns the attributes as variables, in the order of [`VARIABLES`].
    pub(crate) fn variables(&self) -> [(&'static str, &'a str); 5] {
        let [tenant, model, adapter, kind, path] = VARIABLES;
        [
            (tenant, self.tenant),
            (model, self.model),
            (adapter, self.adapter),
            (kind, self.kind),
            (path, self.path),
        ]
    }
}
