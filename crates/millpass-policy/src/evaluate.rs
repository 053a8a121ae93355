//! Compilation and evaluation of policies.

use crate::attributes::RequestAttributes;
use crate::error::{PolicyError, PolicyProgram};
use crate::program::BoundedProgram;
use cel::{Context, Value};
use millpass_proto::{PolicyExample, PolicyName, PolicySpec, Urgency};

const EXAMPLE_REMEDY: &str = "correct the policy or the example";

/// Combined result of all policies for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// The request may be served.
    pub allowed: bool,
    /// The policy that denied or failed; otherwise the first allowing policy by name. `None` if no
    /// policy allows the request.
    pub deciding_policy: Option<PolicyName>,
    /// Urgency; `Normal` if no allowing policy sets one.
    pub urgency: Urgency,
    /// Accelerator bytes the tenant may use: the minimum over the allowing policies. `None` if none
    /// sets a limit.
    pub capacity_bytes: Option<u64>,
    /// Error of a failed evaluation; the request is then denied.
    pub failure: Option<String>,
}

impl Verdict {
    /// Verdict if no policy allows the request.
    fn default_deny() -> Self {
        Verdict {
            allowed: false,
            deciding_policy: None,
            urgency: Urgency::Normal,
            capacity_bytes: None,
            failure: None,
        }
    }

    fn denied_by(policy: &PolicyName, failure: Option<String>) -> Self {
        Verdict {
            deciding_policy: Some(policy.clone()),
            failure,
            ..Verdict::default_deny()
        }
    }
}

#[derive(Debug)]
struct CompiledPolicy {
    name: PolicyName,
    allow: BoundedProgram,
    deny: Option<BoundedProgram>,
    urgency: Option<BoundedProgram>,
    capacity_bytes: Option<BoundedProgram>,
}

impl CompiledPolicy {
    fn compile(name: &PolicyName, spec: &PolicySpec) -> Result<Self, PolicyError> {
        let optional = |kind, source: &Option<String>| {
            let program = source.as_deref();
            program
                .map(|source| BoundedProgram::compile(name, kind, source))
                .transpose()
        };
        Ok(CompiledPolicy {
            name: name.clone(),
            allow: BoundedProgram::compile(name, PolicyProgram::Allow, &spec.allow)?,
            deny: optional(PolicyProgram::Deny, &spec.deny)?,
            urgency: optional(PolicyProgram::Urgency, &spec.urgency)?,
            capacity_bytes: optional(PolicyProgram::CapacityBytes, &spec.capacity_bytes)?,
        })
    }
}

/// Compiled policies of one catalog revision, ordered by name.
#[derive(Default)]
pub struct CompiledPolicies {
    policies: Vec<CompiledPolicy>,
    /// Built-in functions, shared because building them is expensive.
    functions: Context<'static, 'static>,
}

impl std::fmt::Debug for CompiledPolicies {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let names = self.policies.iter().map(|policy| &policy.name);
        formatter.debug_list().entries(names).finish()
    }
}

impl CompiledPolicies {
    /// Compiles all policies; returns the error of the first one that is invalid.
    pub fn compile(policies: &[(PolicyName, PolicySpec)]) -> Result<Self, PolicyError> {
        let mut compiled = policies
            .iter()
            .map(|(name, spec)| CompiledPolicy::compile(name, spec))
            .collect::<Result<Vec<_>, _>>()?;
        compiled.sort_by(|left, right| left.name.cmp(&right.name));
        Ok(CompiledPolicies {
            policies: compiled,
            ..CompiledPolicies::default()
        })
    }

    /// Number of policies.
    pub fn len(&self) -> usize {
        self.policies.len()
    }

    /// Returns true if there are no policies, so that every request is denied.
    pub fn is_empty(&self) -> bool {
        self.policies.is_empty()
    }

    /// Evaluates all policies for a request. A program that fails denies the request.
    pub fn evaluate(&self, attributes: &RequestAttributes<'_>) -> Verdict {
        let context = request_context(&self.functions, attributes);
        for policy in &self.policies {
            match denies(policy, &context) {
                Ok(false) => {}
                Ok(true) => return Verdict::denied_by(&policy.name, None),
                Err(failure) => return Verdict::denied_by(&policy.name, Some(failure)),
            }
        }
        let mut verdict = Verdict::default_deny();
        let mut urgency = None;
        for policy in &self.policies {
            if let Err(failure) = merge_allow(policy, &context, &mut verdict, &mut urgency) {
                return Verdict::denied_by(&policy.name, Some(failure));
            }
        }
        verdict.urgency = urgency.unwrap_or(Urgency::Normal);
        verdict
    }
}

/// Compiles a submitted policy and runs its examples against it alone, with default deny.
pub fn validate(name: &PolicyName, spec: &PolicySpec) -> Result<(), PolicyError> {
    let policies = CompiledPolicies::compile(&[(name.clone(), spec.clone())])?;
    for (index, example) in spec.examples.iter().enumerate() {
        let verdict = policies.evaluate(&example_attributes(example));
        let reason = match verdict.failure {
            Some(failure) => failure,
            None if verdict.allowed == example.allowed => continue,
            None => format!(
                "expected allowed={}, got allowed={}",
                example.allowed, verdict.allowed
            ),
        };
        return Err(PolicyError::Example {
            policy: name.clone(),
            number: index + 1,
            example: describe_example(example),
            reason,
            remedy: EXAMPLE_REMEDY,
        });
    }
    Ok(())
}

/// Inner scope with the variables of a request.
fn request_context<'a>(
    functions: &'a Context<'static, 'static>,
    attributes: &RequestAttributes<'_>,
) -> Context<'a, 'static> {
    let mut context = functions.new_inner_scope();
    for (name, value) in attributes.variables() {
        context.add_variable_from_value(name, value.to_owned());
    }
    context
}

/// Evaluates the policy's `deny` program.
fn denies(policy: &CompiledPolicy, context: &Context<'_, '_>) -> Result<bool, String> {
    match &policy.deny {
        Some(program) => evaluate_bool(program, PolicyProgram::Deny, context),
        None => Ok(false),
    }
}

/// Merges an allowing policy into the verdict.
fn merge_allow(
    policy: &CompiledPolicy,
    context: &Context<'_, '_>,
    verdict: &mut Verdict,
    urgency: &mut Option<Urgency>,
) -> Result<(), String> {
    if !evaluate_bool(&policy.allow, PolicyProgram::Allow, context)? {
        return Ok(());
    }
    verdict.allowed = true;
    verdict
        .deciding_policy
        .get_or_insert_with(|| policy.name.clone());
    if let (None, Some(program)) = (&urgency, &policy.urgency) {
        *urgency = Some(urgency_value(program.run(context)?)?);
    }
    if let Some(program) = &policy.capacity_bytes {
        let limit = capacity_value(program.run(context)?)?;
        let minimum = verdict
            .capacity_bytes
            .map_or(limit, |current| current.min(limit));
        verdict.capacity_bytes = Some(minimum);
    }
    Ok(())
}

fn evaluate_bool(
    program: &BoundedProgram,
    kind: PolicyProgram,
    context: &Context<'_, '_>,
) -> Result<bool, String> {
    match program.run(context) {
        Ok(Value::Bool(value)) => Ok(value),
        Ok(_) => Err(format!("{kind} must return true or false")),
        Err(failure) => Err(format!("{kind}: {failure}")),
    }
}

fn urgency_value(value: Value) -> Result<Urgency, String> {
    let Value::String(text) = value else {
        return Err("urgency must return a string".to_owned());
    };
    match text.as_str() {
        "interactive" => Ok(Urgency::Interactive),
        "normal" => Ok(Urgency::Normal),
        "batch" => Ok(Urgency::Batch),
        other => Err(format!(
            "urgency returned `{other}`, expected interactive, normal or batch"
        )),
    }
}

fn capacity_value(value: Value) -> Result<u64, String> {
    match value {
        Value::UInt(bytes) => Ok(bytes),
        Value::Int(bytes) => {
            u64::try_from(bytes).map_err(|_| "capacity_bytes is negative".to_owned())
        }
        _ => Err("capacity_bytes must return an integer".to_owned()),
    }
}

/// Attributes of an example; for web examples the `model` field contains the path.
fn example_attributes(example: &PolicyExample) -> RequestAttributes<'_> {
    let is_web = example.kind == "web";
    let target = example.model.as_str();
    RequestAttributes {
        tenant: example.tenant.as_str(),
        model: if is_web { "" } else { target },
        adapter: example.adapter.as_ref().map_or("", |name| name.as_str()),
        kind: &example.kind,
        path: if is_web { target } else { "" },
    }
}

fn describe_example(example: &PolicyExample) -> String {
    let adapter = example.adapter.as_ref().map_or("", |name| name.as_str());
    format!(
        "tenant={} model={} adapter={adapter} kind={}",
        example.tenant, example.model, example.kind
    )
}
