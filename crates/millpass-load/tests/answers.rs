//! Checks of responses, streams and refusals detect each kind of fault.

use millpass_load::answer::{AnswerVerdict, check_page, check_run, check_tokens, tokens_received};
use millpass_load::expected::expected_tokens;
use millpass_load::refusal::{Executed, RefusalFault, check_refusal};
use millpass_load::stream::{StreamEvent, next_event};
use millpass_standin::content::page;
use proptest::prelude::*;
use proptest::test_runner::{Config, TestRunner};
use rstest::rstest;

fn expected(nonce: &str, tokens: u32) -> Vec<String> {
    let prompt = format!("some words nonce={nonce}");
    expected_tokens(&"m".into(), &"v1".into(), None, &prompt, tokens)
}

#[test]
fn a_complete_response_passes() {
    let tokens = expected("a", 5);
    assert_eq!(
        check_tokens(&tokens, &tokens.concat(), true),
        AnswerVerdict::Whole
    );
    assert_eq!(tokens_received(&tokens, &tokens.concat()), 5);
}

#[rstest]
#[case::without_last_token(4, true)]
#[case::without_stated_end(5, false)]
#[case::empty(0, true)]
fn truncation_is_detected(#[case] kept: usize, #[case] ended: bool) {
    let tokens = expected("a", 5);
    let received = tokens[..kept].concat();
    assert_eq!(
        check_tokens(&tokens, &received, ended),
        AnswerVerdict::Truncated
    );
}

#[test]
fn a_repeated_token_is_detected() {
    let tokens = expected("a", 5);
    let mut repeated = tokens.clone();
    repeated.insert(2, tokens[2].clone());
    assert_eq!(
        check_tokens(&tokens, &repeated.concat(), true),
        AnswerVerdict::Duplicated
    );
}

#[test]
fn a_repeated_response_is_detected() {
    let tokens = expected("a", 5);
    let twice = tokens.concat().repeat(2);
    assert_eq!(
        check_tokens(&tokens, &twice, true),
        AnswerVerdict::Duplicated
    );
}

#[test]
fn a_response_to_another_request_is_detected() {
    let foreign = expected("b", 5).concat();
    assert_eq!(
        check_tokens(&expected("a", 5), &foreign, true),
        AnswerVerdict::Foreign
    );
}

#[test]
fn one_foreign_token_is_detected() {
    let tokens = expected("a", 5);
    let mut mixed = tokens.clone();
    mixed[3] = expected("b", 5)[3].clone();
    assert_eq!(
        check_tokens(&tokens, &mixed.concat(), true),
        AnswerVerdict::Foreign
    );
}

/// Guards against accepting a response with a removed, repeated or foreign token.
#[test]
fn no_damaged_response_counts_as_complete() {
    let mut runner = TestRunner::new_with_rng(
        Config {
            cases: 256,
            failure_persistence: None,
            ..Config::default()
        },
        proptest::test_runner::TestRng::deterministic_rng(
            proptest::test_runner::RngAlgorithm::ChaCha,
        ),
    );
    let damage = (1_u32..12, 0_usize..12, 0_usize..3);
    let verdict = runner.run(&damage, |(count, place, kind)| {
        let tokens = expected("own", count);
        let place = place % tokens.len();
        let mut damaged = tokens.clone();
        match kind {
            0 => drop(damaged.remove(place)),
            1 => damaged.insert(place, tokens[place].clone()),
            _ => damaged[place] = expected("other", count)[place].clone(),
        }
        prop_assert_ne!(
            check_tokens(&tokens, &damaged.concat(), true),
            AnswerVerdict::Whole
        );
        Ok(())
    });
    assert_eq!(verdict, Ok(()));
}

#[test]
fn pages_are_compared_byte_by_byte() {
    let own = page("/p/1/n");
    assert_eq!(check_page("/p/1/n", own.as_bytes()), AnswerVerdict::Whole);
    let cut = &own.as_bytes()[..own.len() - 1];
    assert_eq!(check_page("/p/1/n", cut), AnswerVerdict::Truncated);
    let other = page("/p/2/n");
    assert_eq!(
        check_page("/p/1/n", other.as_bytes()),
        AnswerVerdict::Foreign
    );
}

#[rstest]
#[case::own(r#"{"path":"/w","key":"k","runs":1}"#, AnswerVerdict::Whole)]
#[case::second_run(r#"{"path":"/w","key":"k","runs":2}"#, AnswerVerdict::Duplicated)]
#[case::other_key(r#"{"path":"/w","key":"l","runs":1}"#, AnswerVerdict::Foreign)]
#[case::cut(r#"{"path":"/w","key":"k""#, AnswerVerdict::Truncated)]
fn runs_are_checked_for_key_and_count(#[case] body: &str, #[case] verdict: AnswerVerdict) {
    assert_eq!(check_run("/w", "k", body.as_bytes()), verdict);
}

#[test]
fn stream_events_are_read_to_the_explicit_end() {
    let bytes = b"data: {\"choices\":[{\"text\":\"one \"}]}\n\n: comment\n\
        data: {\"choices\":[{\"delta\":{\"content\":\"two \"}}]}\n\n\
        data: {\"choices\":[{\"text\":\"\",\"finish_reason\":\"length\"}]}\n\n\
        data: {\"error\":{\"code\":\"engine-lost\",\"executed\":\"unknown\"}}\n\n\
        data: [DONE]\n\n";
    let mut reader = &bytes[..];
    let mut events = Vec::new();
    while let Some(event) = next_event(&mut reader).expect("readable") {
        events.push(event);
    }
    let error = StreamEvent::Error("engine-lost".to_owned(), Some(Executed::Unknown));
    assert_eq!(
        events,
        [
            StreamEvent::Text("one ".to_owned()),
            StreamEvent::Text("two ".to_owned()),
            StreamEvent::Empty,
            error,
            StreamEvent::End,
        ]
    );
}

#[test]
fn a_stream_event_that_is_not_json_is_an_error() {
    let mut reader = &b"data: {broken\n\n"[..];
    assert!(next_event(&mut reader).is_err());
}

#[test]
fn a_complete_refusal_passes() {
    let body = br#"{"error":{"code":"no-capacity","executed":"no","message":"m"}}"#;
    let refusal = check_refusal(503, Some("no"), Some("2"), body).expect("complete");
    assert_eq!(refusal.executed, Executed::No);
    assert_eq!(refusal.retry_after_seconds, Some(2));
}

#[rstest]
#[case::plain_text(b"sorry".as_slice(), Some("no"), Some("1"), RefusalFault::NoCode)]
#[case::no_code(
    br#"{"error":{"executed":"no"}}"#,
    None,
    Some("1"),
    RefusalFault::NoCode
)]
#[case::no_execution(
    br#"{"error":{"code":"c"}}"#,
    None,
    Some("1"),
    RefusalFault::NoExecuted
)]
#[case::contradiction(
    br#"{"error":{"code":"c","executed":"no"}}"#,
    Some("unknown"),
    Some("1"),
    RefusalFault::ExecutedDiffers
)]
#[case::no_retry_after(
    br#"{"error":{"code":"c","executed":"no"}}"#,
    None,
    None,
    RefusalFault::NoRetryAfter(503)
)]
fn each_fault_of_a_refusal_is_detected(
    #[case] body: &[u8],
    #[case] executed: Option<&str>,
    #[case] retry_after: Option<&str>,
    #[case] fault: RefusalFault,
) {
    assert_eq!(check_refusal(503, executed, retry_after, body), Err(fault));
}
