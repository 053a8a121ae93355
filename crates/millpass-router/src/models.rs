//! The models that `GET /v1/models` shows a tenant.
//!
//! The decision core keeps the catalog that decides on requests; this view holds only what the
//! list needs, from the same changes.

use millpass_policy::{CompiledPolicies, RequestAttributes};
use millpass_proto::{
    ConfigurationDelta, ConfigurationRevision, ObjectKey, ObjectSpec, PolicyName, PolicySpec,
    StoredObject, TenantName,
};
use millpass_tenancy::KeyHash;
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Kinds of requests for which a model may be allowed.
const KINDS: [&str; 2] = ["completion", "chat"];

/// What the list shows of one model, or model with adapter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ListedModel {
    /// `model` or `model:adapter`.
    pub(crate) name: String,
}

/// Why there is no list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoList {
    /// No catalog of the control group is in force here.
    NoCatalog,
    /// The API key is not known.
    UnknownKey,
}

/// The view.
#[derive(Default)]
pub(crate) struct ModelsView {
    held: Mutex<Held>,
}

#[derive(Default)]
struct Held {
    /// Revision held; none before the first catalog.
    revision: Option<ConfigurationRevision>,
    objects: BTreeMap<ObjectKey, ObjectSpec>,
    policies: Option<CompiledPolicies>,
}

impl ModelsView {
    /// Applies a change that follows on what is held, or a whole catalog; others are left alone,
    /// as the decision core does.
    pub(crate) fn apply(&self, delta: &ConfigurationDelta) {
        let mut held = self.lock();
        if held.revision.is_some_and(|revision| delta.to <= revision) {
            return;
        }
        if delta.full {
            held.objects.clear();
        } else if held.revision != Some(delta.from) {
            return;
        }
        for key in &delta.removed {
            held.objects.remove(key);
        }
        for object in &delta.objects {
            held.put(object);
        }
        held.revision = Some(delta.to);
        held.compile();
    }

    /// Models that some policy allows the tenant of this key.
    pub(crate) fn list(&self, api_key: &str) -> Result<Vec<ListedModel>, NoList> {
        let held = self.lock();
        if held.revision.is_none() {
            return Err(NoList::NoCatalog);
        }
        let tenant = held.tenant_of(api_key).ok_or(NoList::UnknownKey)?;
        let allowed = held.names().filter(|(model, adapter)| {
            let adapter = adapter.unwrap_or_default();
            held.allows(&tenant, model, adapter)
        });
        let listed = allowed.map(|(model, adapter)| ListedModel {
            name: match adapter {
                Some(adapter) => format!("{model}:{adapter}"),
                None => model.to_owned(),
            },
        });
        Ok(listed.collect())
    }

    fn lock(&self) -> MutexGuard<'_, Held> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Held {
    fn put(&mut self, object: &StoredObject) {
        let is_needed = matches!(
            object.spec,
            ObjectSpec::Tenant(_)
                | ObjectSpec::Model(_)
                | ObjectSpec::Adapter(_)
                | ObjectSpec::Policy(_)
        );
        if is_needed {
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
