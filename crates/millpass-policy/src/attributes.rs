//! What a policy program can see of a request.

/// Names of the variables that programs may use.
pub(crate) const VARIABLES: [&str; 5] = ["tenant", "model", "adapter", "kind", "path"];

/// The facts of one request. Only facts that give every router the same verdict are offered:
/// no clock, no load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestAttributes<'a> {
    /// Tenant.
    pub tenant: &'a str,
    /// Model; empty for a web request.
    pub model: &'a str,
    /// Adapter; empty when none is asked for.
    pub adapter: &'a str,
    /// `completion`, `chat` or `web`.
    pub kind: &'a str,
    /// Path of a web request, without its query; empty for a model request.
    pub path: &'a str,
}

impl<'a> RequestAttributes<'a> {
    /// The facts as variables, in the order of [`VARIABLES`].
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
