//! Which process run is behind a connection, by the leader's answers.

use millpass_proto::{InstanceId, RunProof, RunUpdate, Timestamp};
use millpass_reach::RunProofs;
use rstest::rstest;

const RUN: &str = "i-1";
/// When the leader is asked and when its answer arrives.
const ASKED: u64 = 10_000;
const ANSWERED: u64 = 10_050;

fn run() -> InstanceId {
    InstanceId::from(RUN)
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn answered(alive_millis: Option<u64>, restarted_millis: Option<u64>) -> RunProofs {
    let mut proofs = RunProofs::default();
    proofs.connected();
    proofs.want(&run(), at(20_000));
    let query = proofs.query(at(ASKED)).expect("a question");
    assert_eq!(query.runs, [run()]);
    let proof = RunProof {
        instance: run(),
        alive_millis,
        restarted_millis,
    };
    let update = RunUpdate {
        number: query.number,
        proofs: vec![proof],
    };
    proofs.apply(at(ANSWERED), update);
    proofs
}

/// Guards against a connection that is taken for one of a run that may have ended before it was opened.
#[rstest]
#[case::nothing_known(None, None, 1_000, false)]
#[case::opened_before(Some(500), None, 9_000, true)]
#[case::opened_at_the_time(Some(500), None, 9_500, true)]
#[case::opened_after(Some(500), None, 9_501, false)]
#[case::restarted_before(Some(500), Some(3_000), 9_000, true)]
#[case::restarted_after(Some(500), Some(1_000), 9_000, false)]
#[case::restarted_while_answering(Some(0), Some(0), 10_000, false)]
fn a_run_is_behind_a_connection_if_it_was_alive_after_the_opening(
    #[case] alive_millis: Option<u64>,
    #[case] restarted_millis: Option<u64>,
    #[case] opened: u64,
    #[case] expected: bool,
) {
    let proofs = answered(alive_millis, restarted_millis);
    assert_eq!(proofs.is_same(&run(), at(opened), at(opened)), expected);
    assert!(!proofs.is_same(&run(), at(opened), at(ANSWERED)));
}

/// Guards against an answer to an earlier question, whose ages would count from the last one.
#[test]
fn an_answer_to_another_question_is_ignored() {
    let mut proofs = answered(None, None);
    let later = at(ASKED + 5_000);
    let query = proofs.query(later).expect("a question");
    let proof = RunProof {
        instance: run(),
        alive_millis: Some(0),
        restarted_millis: None,
    };
    let update = RunUpdate {
        number: query.number - 1,
        proofs: vec![proof],
    };
    proofs.apply(later, update);
    assert!(!proofs.is_same(&run(), at(1), at(1)));
}

/// Guards against questions without end, and against none after a change of leader.
#[test]
fn a_run_is_asked_for_while_it_is_wanted_and_a_leader_is_there() {
    let mut proofs = RunProofs::default();
    proofs.want(&run(), at(1_000));
    assert_eq!(proofs.query_at(at(0)), None);
    proofs.connected();
    assert!(proofs.query(at(0)).is_some());
    assert!(proofs.query(at(10)).is_none());
    proofs.disconnected();
    proofs.connected();
    assert!(proofs.query(at(20)).is_some());
    assert!(proofs.query(at(1_000)).is_none());
    assert_eq!(proofs.query_at(at(1_000)), None);
}
