//! Models listed by `GET /v1/models` for a tenant.
//!
//! Keeps only the objects that the list requires; the decision core has its own catalog, built from
//! the same changes.

use millpass_policy::{CompiledPolicies, RequestAttributes};
use millpass_proto::{
    ConfigurationDelta, ConfigurationRevision, ObjectKey, ObjectSpec, PolicyName, PolicySpec,
    StoredObject, TenantName,
};
use millpass_tenancy::KeyHash;
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Request kinds for which policies are evaluated.
const KINDS: [&str; 2] = ["completion", "chat"];

/// A model, or a model with an adapter, in the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ListedModel {
    /// `model` or `model:adapter`.
    pub(crate) name: String,
}

/// Reason why models cannot be listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListError {
    /// The router has no current catalog.
    NoCatalog,
    /// The API key is unknown.
    UnknownKey,
}

/// Catalog view for listing models.
#[derive(Default)]
pub(crate) struct ModelsView {
    catalog: Mutex<Catalog>,
}

#[derive(Default)]
struct Catalog {
    /// Current revision; `None` before the first catalog.
    revision: Option<ConfigurationRevision>,
    objects: BTreeMap<ObjectKey, ObjectSpec>,
    policies: Option<CompiledPolicies>,
}

impl ModelsView {
    /// Applies a full catalog, or a delta to the current revision. Other deltas are ignored, as in
    /// the decision core.
    pub(crate) fn apply(&self, delta: &ConfigurationDelta) {
        let mut catalog = self.lock();
        if catalog
            .revision
            .is_some_and(|revision| delta.to <= revision)
        {
            return;
        }
        if delta.full {
            catalog.objects.clear();
        } else if catalog.revision != Some(delta.from) {
            return;
        }
        for key in &delta.removed {
            catalog.objects.remove(key);
        }
        for object in &delta.objects {
            catalog.insert(object);
        }
        catalog.revision = Some(delta.to);
        catalog.compile();
    }

    /// Lists the models that some policy allows for the tenant of this key.
    pub(crate) fn list(&self, api_key: &str) -> Result<Vec<ListedModel>, ListError> {
        let catalog = self.lock();
        if catalog.revision.is_none() {
            return Err(ListError::NoCatalog);
        }
        let tenant = catalog.tenant_of(api_key).ok_or(ListError::UnknownKey)?;
        let allowed = catalog.names().filter(|(model, adapter)| {
            let adapter = adapter.unwrap_or_default();
            catalog.allows(&tenant, model, adapter)
        });
        let models = allowed.map(|(model, adapter)| ListedModel {
            name: match adapter {
                Some(adapter) => format!("{model}:{adapter}"),
                None => model.to_owned(),
            },
        });
        Ok(models.collect())
    }

    fn lock(&self) -> MutexGuard<'_, Catalog> {
        self.catalog.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Catalog {
    fn insert(&mut self, object: &StoredObject) {
        let is_relevant = matches!(
            object.spec,
            ObjectSpec::Tenant(_)
                | ObjectSpec::Model(_)
                | ObjectSpec::Adapter(_)
                | ObjectSpec::Policy(_)
        );
        if is_relevant {
            self.objects.insert(object.key.clone(), object.spec.clone());
        }
    }

    fn compile(&mut self) {
        let policies: Vec<(PolicyName, PolicySpec)> = self
            .objects
            .iter()
            .filter_map(|(key, spec)| match spec {
                ObjectSpec::Policy(spec) => Some((key.name.as_str().into(), spec.clone())),
                _ => None,
            })
            .collect();
        // Policies that do not compile allow nothing.
        self.policies = CompiledPolicies::compile(&policies).ok();
    }

    fn tenant_of(&self, api_key: &str) -> Option<TenantName> {
        let hash = KeyHash::of(api_key.as_bytes());
        self.objects.iter().find_map(|(key, spec)| match spec {
            ObjectSpec::Tenant(spec)
                if spec
                    .api_key_hashes
                    .iter()
                    .any(|known| KeyHash::from_hex(known) == Some(hash)) =>
            {
                Some(key.name.as_str().into())
            }
            _ => None,
        })
    }

    /// Models, and models with adapters.
    fn names(&self) -> impl Iterator<Item = (&str, Option<&str>)> {
        self.objects.iter().filter_map(|(key, spec)| match spec {
            ObjectSpec::Model(_) => Some((key.name.as_str(), None)),
            ObjectSpec::Adapter(spec) => Some((spec.model.as_str(), Some(key.name.as_str()))),
            _ => None,
        })
    }

    fn allows(&self, tenant: &TenantName, model: &str, adapter: &str) -> bool {
        let Some(policies) = &self.policies else {
            return false;
        };
        KINDS.iter().any(|kind| {
            let attributes = RequestAttributes {
                tenant: tenant.as_str(),
                model,
                adapter,
                kind,
                path: "",
            };
            policies.evaluate(&attributes).allowed
        })
    }
}
