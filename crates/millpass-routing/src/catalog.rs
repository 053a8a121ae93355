//! Local copy of the catalog. Deltas are applied in revision order; the revision never decreases.

use millpass_policy::{CompiledPolicies, PolicyError, RequestAttributes, Verdict, VerdictCache};
use millpass_proto::{
    AdapterName, AdapterSpec, BackendGroupSpec, ConfigurationDelta, ConfigurationRevision,
    GroupName, ModelName, ModelSpec, ObjectKey, ObjectKind, ObjectSpec, PolicyName, PolicySpec,
    StoredObject, TenantName, TenantSpec,
};
use millpass_tenancy::{KeyDirectory, KeyHash};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Maximum number of cached verdicts.
const VERDICT_CAPACITY: usize = 65_536;

/// Result of applying a delta.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DeltaOutcome {
    /// The delta was applied.
    Applied,
    /// The copy is already at the delta's revision or newer.
    AlreadyHeld,
    /// The delta starts at a revision that the copy does not have; the copy must not be used beyond
    /// the current lease.
    Gap,
}

/// Catalog objects with indexes for keys and compiled policies.
pub(crate) struct Catalog {
    revision: ConfigurationRevision,
    tenants: BTreeMap<TenantName, TenantSpec>,
    models: BTreeMap<ModelName, ModelSpec>,
    adapters: BTreeMap<AdapterName, AdapterSpec>,
    groups: BTreeMap<GroupName, BackendGroupSpec>,
    policies: BTreeMap<PolicyName, PolicySpec>,
    keys: KeyDirectory,
    compiled: Result<CompiledPolicies, PolicyError>,
    verdicts: VerdictCache,
}

impl Catalog {
    /// Returns an empty catalog at revision 0, in which every API key is unknown.
    pub fn new() -> Self {
        Catalog {
            revision: ConfigurationRevision(0),
            tenants: BTreeMap::new(),
            models: BTreeMap::new(),
            adapters: BTreeMap::new(),
            groups: BTreeMap::new(),
            policies: BTreeMap::new(),
            keys: KeyDirectory::default(),
            compiled: Ok(CompiledPolicies::default()),
            verdicts: VerdictCache::new(VERDICT_CAPACITY),
        }
    }

    pub fn revision(&self) -> ConfigurationRevision {
        self.revision
    }

    /// Applies a delta that starts at the current revision or replaces the whole catalog.
    pub fn apply(&mut self, delta: &ConfigurationDelta) -> DeltaOutcome {
        if delta.to <= self.revision {
            return DeltaOutcome::AlreadyHeld;
        }
        if !delta.full && delta.from != self.revision {
            return DeltaOutcome::Gap;
        }
        if delta.full {
            self.clear_objects();
        }
        for key in &delta.removed {
            self.remove(key);
        }
        for object in &delta.objects {
            self.put(object);
        }
        self.revision = delta.to;
        self.recompile();
        DeltaOutcome::Applied
    }

    fn clear_objects(&mut self) {
        self.tenants.clear();
        self.models.clear();
        self.adapters.clear();
        self.groups.clear();
        self.policies.clear();
        self.keys.clear();
    }

    fn put(&mut self, object: &StoredObject) {
        let name = object.key.name.as_str();
        match &object.spec {
            ObjectSpec::Tenant(spec) => self.put_tenant(name.into(), spec),
            ObjectSpec::Model(spec) => {
                self.models.insert(name.into(), spec.clone());
            }
            ObjectSpec::Adapter(spec) => {
                self.adapters.insert(name.into(), spec.clone());
            }
            ObjectSpec::BackendGroup(spec) => {
                self.groups.insert(name.into(), spec.clone());
            }
            ObjectSpec::Policy(spec) => {
                self.policies.insert(name.into(), spec.clone());
            }
            // Not used for routing: replicas carry their version, and operators do not call
            // routers.
            ObjectSpec::Version(_) | ObjectSpec::Operator(_) => {}
        }
    }

    fn put_tenant(&mut self, tenant: TenantName, spec: &TenantSpec) {
        self.remove_tenant(&tenant);
        self.keys.add(&tenant, &spec.api_key_hashes);
        self.tenants.insert(tenant, spec.clone());
    }

    fn remove_tenant(&mut self, tenant: &TenantName) {
        let Some(spec) = self.tenants.remove(tenant) else {
            return;
        };
        self.keys.remove(tenant, &spec.api_key_hashes);
    }

    fn remove(&mut self, key: &ObjectKey) {
        let name = key.name.as_str();
        match key.kind {
            ObjectKind::Tenant => self.remove_tenant(&name.into()),
            ObjectKind::Model => {
                self.models.remove(&ModelName::from(name));
            }
            ObjectKind::Adapter => {
                self.adapters.remove(&AdapterName::from(name));
            }
            ObjectKind::BackendGroup => {
                self.groups.remove(&GroupName::from(name));
            }
            ObjectKind::Policy => {
                self.policies.remove(&PolicyName::from(name));
            }
            ObjectKind::Version | ObjectKind::Operator => {}
        }
    }

    /// Recompiles all policies and drops the cached verdicts.
    fn recompile(&mut self) {
        let named: Vec<_> = self
            .policies
            .iter()
            .map(|(name, spec)| (name.clone(), spec.clone()))
            .collect();
        self.compiled = CompiledPolicies::compile(&named);
        self.verdicts.clear();
    }

    /// Returns the tenant that owns an API key.
    pub fn tenant_of_key(&self, api_key: &str) -> Option<&TenantName> {
        self.keys.tenant(&KeyHash::of(api_key.as_bytes()))
    }

    pub fn tenant(&self, tenant: &TenantName) -> Option<&TenantSpec> {
        self.tenants.get(tenant)
    }

    /// Returns true if the model exists and the adapter, if given, belongs to it.
    pub fn has_model(&self, model: &ModelName, adapter: Option<&AdapterName>) -> bool {
        if !self.models.contains_key(model) {
            return false;
        }
        match adapter {
            None => true,
            Some(adapter) => self
                .adapters
                .get(adapter)
                .is_some_and(|spec| spec.model == *model),
        }
    }

    pub fn has_group(&self, group: &GroupName) -> bool {
        self.groups.contains_key(group)
    }

    /// Returns the group with the longest matching path prefix, and whether the path's requests run
    /// at most once.
    pub fn group_of_path(&self, path: &str) -> Option<(&GroupName, bool)> {
        let fitting = self
            .groups
            .iter()
            .filter(|(_, spec)| path.starts_with(&spec.path_prefix));
        let (group, spec) = fitting.max_by_key(|(_, spec)| spec.path_prefix.len())?;
        let at_most_once = spec
            .non_repeatable_paths
            .iter()
            .any(|prefix| path.starts_with(prefix));
        Some((group, at_most_once))
    }

    /// Evaluates the policies. If a policy does not compile here, all requests are denied until it
    /// is replaced, since it could be a policy that denies.
    pub fn verdict(
        &mut self,
        attributes: &RequestAttributes<'_>,
    ) -> Result<Arc<Verdict>, &PolicyError> {
        match &self.compiled {
            Ok(policies) => Ok(self.verdicts.verdict(policies, attributes)),
            Err(error) => Err(error),
        }
    }
}
