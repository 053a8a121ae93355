//! Tests of policy compilation, evaluation and validation.

use millpass_policy::{CompiledPolicies, PolicyError, RequestAttributes, VerdictCache, validate};
use millpass_proto::{PolicyExample, PolicyName, PolicySpec, Urgency};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rstest::rstest;

const ATTRIBUTES: RequestAttributes<'static> = RequestAttributes {
    tenant: "harbour",
    model: "writer",
    adapter: "",
    kind: "chat",
    path: "",
};

fn allow(source: &str) -> PolicySpec {
    PolicySpec {
        allow: source.to_owned(),
        deny: None,
        urgency: None,
        capacity_bytes: None,
        examples: Vec::new(),
    }
}

fn compile(specs: &[PolicySpec]) -> Result<CompiledPolicies, PolicyError> {
    let named: Vec<_> = specs
        .iter()
        .enumerate()
        .map(|(index, spec)| (PolicyName(format!("p{index}")), spec.clone()))
        .collect();
    CompiledPolicies::compile(&named)
}

#[rstest]
#[case::constant("true", true)]
#[case::tenant("tenant == 'harbour'", true)]
#[case::other_tenant("tenant == 'quay'", false)]
#[case::listed("model in ['reader', 'writer']", true)]
#[case::prefix("model.startsWith('wri') && adapter == ''", true)]
#[case::macro_over_list("['har', 'qu'].exists(p, tenant.startsWith(p))", true)]
#[case::nested("['a', 'b'].all(x, ['c', 'd'].exists(y, x != y))", true)]
#[case::conditional("kind == 'chat' ? size(tenant) == 7 : false", true)]
fn allow_programs_are_evaluated(#[case] source: &str, #[case] expected: bool) {
    let policies = compile(&[allow(source)]).unwrap();
    let verdict = policies.evaluate(&ATTRIBUTES);
    assert_eq!(verdict.allowed, expected, "{verdict:?}");
    assert_eq!(verdict.failure, None);
}

#[rstest]
#[case::syntax("tenant ==", "allow:1:")]
#[case::second_line("true &&\n  nobody", "allow:2:3: unknown variable `nobody`")]
#[case::after_wide_characters("tenant == 'éé' && nobody", "allow:1:19: ")]
#[case::variable("hour > 5", "unknown variable `hour`")]
#[case::function("tenant.matches('a+')", "unknown function `matches`")]
#[case::range("tenant.all(x, true)", "not a list or map literal")]
#[case::iteration_variable("[[1]].all(x, x.all(y, true))", "not a list or map literal")]
#[case::macro_nesting("[1].all(a, [1].all(b, [1].all(c, true)))", "macros are nested")]
fn invalid_programs_are_rejected(#[case] source: &str, #[case] expected_text: &str) {
    let error = compile(&[allow(source)]).unwrap_err().to_string();
    assert!(error.contains(expected_text), "{error}");
    assert!(error.starts_with("policy p0: allow:"), "{error}");
}

#[rstest]
#[case::length(format!("tenant == '{}'", "x".repeat(5_000)))]
#[case::brackets(format!("{}true{}", "(".repeat(1_000), ")".repeat(1_000)))]
#[case::prefixes(format!("{}true", "!".repeat(3_000)))]
#[case::spaced_prefixes(format!("{}true", "! ".repeat(1_500)))]
#[case::conditionals(format!("{}true", "true?true:".repeat(300)))]
#[case::long_sum(format!("0{} > 0", "+1".repeat(1_500)))]
#[case::cost(expensive_program())]
fn programs_over_bounds_are_rejected(#[case] source: String) {
    assert!(compile(&[allow(&source)]).is_err());
}

/// Two nested macros over 100 elements each.
fn expensive_program() -> String {
    let list = format!("[{}]", vec!["1"; 100].join(","));
    format!("{list}.all(x, {list}.all(y, x == y))")
}

#[test]
fn nothing_is_allowed_without_a_policy() {
    let verdict = compile(&[]).unwrap().evaluate(&ATTRIBUTES);
    assert!(!verdict.allowed);
    assert_eq!(verdict.deciding_policy, None);
}

#[test]
fn deny_overrides_allow_and_names_the_policy() {
    let mut denying = allow("false");
    denying.deny = Some("tenant == 'harbour'".to_owned());
    let verdict = compile(&[allow("true"), denying])
        .unwrap()
        .evaluate(&ATTRIBUTES);
    assert!(!verdict.allowed);
    assert_eq!(verdict.deciding_policy, Some(PolicyName::from("p1")));
}

#[rstest]
#[case::division("1 / size(adapter) > 0")]
#[case::not_boolean("tenant")]
#[case::overload("tenant + 1 == 2")]
fn failing_program_denies_and_names_the_policy(#[case] source: &str) {
    let policies = compile(&[allow("true"), allow(source)]).unwrap();
    let verdict = policies.evaluate(&ATTRIBUTES);
    assert!(!verdict.allowed);
    assert_eq!(verdict.deciding_policy, Some(PolicyName::from("p1")));
    assert!(verdict.failure.is_some());
}

#[test]
fn first_urgency_by_name_and_smallest_capacity_apply() {
    let mut first = allow("true");
    first.capacity_bytes = Some("300".to_owned());
    let mut second = allow("true");
    second.urgency = Some("'batch'".to_owned());
    second.capacity_bytes = Some("size(tenant) > 3 ? 200 : 900".to_owned());
    let mut third = allow("true");
    third.urgency = Some("'interactive'".to_owned());
    let mut not_allowing = allow("false");
    not_allowing.capacity_bytes = Some("1".to_owned());
    let policies = compile(&[first, second, third, not_allowing]).unwrap();
    let verdict = policies.evaluate(&ATTRIBUTES);
    assert_eq!(verdict.deciding_policy, Some(PolicyName::from("p0")));
    assert_eq!(verdict.urgency, Urgency::Batch);
    assert_eq!(verdict.capacity_bytes, Some(200));
}

#[rstest]
#[case::holds("tenant == 'quay'", true, None)]
#[case::differs("tenant == 'quay'", false, Some("example 1 (tenant=quay"))]
#[case::fails("1 / 0 == 1", true, Some("example 1"))]
#[case::does_not_compile("tenant =", true, Some("allow:1:"))]
fn validation_runs_examples(
    #[case] source: &str,
    #[case] expected: bool,
    #[case] expected_text: Option<&str>,
) {
    let mut spec = allow(source);
    spec.examples.push(PolicyExample {
        tenant: "quay".into(),
        model: "writer".into(),
        adapter: None,
        kind: "chat".to_owned(),
        allowed: expected,
    });
    let outcome = validate(&"mine".into(), &spec).map_err(|error| error.to_string());
    match expected_text {
        None => assert_eq!(outcome, Ok(())),
        Some(expected_text) => assert!(outcome.unwrap_err().contains(expected_text)),
    }
}

#[test]
fn the_cache_is_bounded_and_agrees_with_evaluation() {
    let policies = compile(&[allow("tenant.endsWith('7')")]).unwrap();
    let mut cache = VerdictCache::new(10);
    for number in 0..500 {
        let tenant = format!("t{}", number % 30);
        let attributes = RequestAttributes {
            tenant: &tenant,
            ..ATTRIBUTES
        };
        assert_eq!(
            *cache.verdict(&policies, &attributes),
            policies.evaluate(&attributes)
        );
        assert!(cache.len() <= 10);
    }
    cache.clear();
    assert!(cache.is_empty());
}

/// Guards against documented programs that do not compile or that fail (`docs/POLICIES.md`).
#[test]
fn documented_programs_compile() {
    let page = include_str!("../../../docs/POLICIES.md");
    let mut documented = 0;
    for line in page.lines() {
        let Some((field, source)) = line.split_once(": \"") else {
            continue;
        };
        let source = source.trim_end_matches('"').to_owned();
        let mut spec = allow("true");
        match field {
            "allow" => spec.allow = source,
            "deny" => spec.deny = Some(source),
            "urgency" => spec.urgency = Some(source),
            "capacity_bytes" => spec.capacity_bytes = Some(source),
            _ => continue,
        }
        documented += 1;
        let verdict = compile(&[spec]).unwrap().evaluate(&ATTRIBUTES);
        assert_eq!(verdict.failure, None, "{line}");
    }
    assert_eq!(documented, 8);
}

fn runner(cases: u32) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    let seed = [7u8; 32];
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &seed))
}

/// Mostly invalid sources composed of language fragments.
fn source_strategy() -> impl Strategy<Value = String> {
    let fragments = prop::sample::select(vec![
        "tenant",
        "model",
        "adapter",
        "kind",
        "path",
        "(",
        ")",
        "[",
        "]",
        "{",
        "}",
        ",",
        ".",
        ":",
        "?",
        "!",
        "-",
        "+",
        "*",
        "/",
        "%",
        "&&",
        "||",
        "==",
        "<",
        " in ",
        "'a'",
        "\"b",
        "1",
        "0u",
        "2.5",
        "all(x, x)",
        "map(x, x + x)",
        "filter",
        "has(",
        "size(",
        "startsWith('a')",
        "\\",
        "true",
        "null",
        "\n",
        "//",
        "9223372036854775807",
        "b'\\xff'",
        "é",
        "@",
        "r'",
    ]);
    let composed = prop::collection::vec(fragments, 0..40).prop_map(|parts| parts.concat());
    prop_oneof![composed, any::<String>(), "[ -~]{0,120}"]
}

#[test]
fn no_source_panics_or_hangs() {
    runner(2_000)
        .run(&source_strategy(), |source| {
            if let Ok(policies) = compile(&[allow(&source)]) {
                let _ = policies.evaluate(&ATTRIBUTES);
            }
            Ok(())
        })
        .unwrap();
}

#[test]
fn compiled_policies_are_send_and_sync() {
    fn check<T: Send + Sync>() {}
    check::<CompiledPolicies>();
}
