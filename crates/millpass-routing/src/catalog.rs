//! This router's copy of the catalog: applied in order of revision, never going back.

use millpass_policy::{CompiledPolicies, PolicyError, RequestAttributes, Verdict, VerdictCache};
use millpass_proto::{
    AdapterName, AdapterSpec, BackendGroupSpec, ConfigurationDelta, ConfigurationRevision,
    GroupName, ModelName, ModelSpec, ObjectKey, ObjectKind, ObjectSpec, PolicyName, PolicySpec,
    StoredObject, TenantName, TenantSpec,
};
use millpass_tenancy::{KeyDirectory, KeyHash};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Most verdicts remembered.
const VERDICT_CAPACITY: usize = 65_536;

/// What became of a delta.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DeltaOutcome {
    /// Applied; the copy changed.
    Applied,
    /// The copy already holds it or something newer.
    AlreadyHeld,
    /// It starts from a revision that is not held; the copy is too old to be used further.
    Gap,
}

/// The copy.
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
    /// An empty catalog at revision 0: no key is known.
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

    /// Revision held.
    pub fn revision(&self) -> ConfigurationRevision {
        self.revision
    }

    /// Applies a delta if it fits what is held.
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
            // A router needs neither: replicas name their version, operators never call it.
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

    /// Compiles the policies anew and forgets the verdicts of the old ones.
    fn recompile(&mut self) {
        let named: Vec<_> = self
            .policies
            .iter()
            .map(|(name, spec)| (name.clone(), spec.clone()))
            .collect();
        self.compiled = CompiledPolicies::compile(&named);
        self.verdicts.clear();
    }

    /// Tenant of an API key.
    pub fn tenant_of_key(&self, api_key: &str) -> Option<&TenantName> {
        self.keys.tenant(&KeyHash::of(api_key.as_bytes()))
    }

    /// What the operators state of a tenant.
    pub fn tenant(&self, tenant: &TenantName) -> Option<&TenantSpec> {
        self.tenants.get(tenant)
    }

    /// Whether the model exists, and the adapter belongs to it.
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

    /// Whether the group exists.
    pub fn has_group(&self, group: &GroupName) -> bool {
        self.groups.contains_key(group)
    }

    /// Group with the longest path prefix that fits, and whether the path may not be repeated.
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

    /// The policies' verdict. A policy that does not compile here (it did where it was
    /// submitted) might be one that denies, so everything is denied until it is replaced.
    pub fn verdict(&mut self, facts: &RequestAttributes<'_>) -> Result<Arc<Verdict>, &PolicyError> {
        match &self.compiled {
            Ok(policies) => Ok(self.verdicts.verdict(policies, facts)),
            Err(error) => Err(error),
        }
    }
}
