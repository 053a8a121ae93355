//! Round trip of history files, and errors of damaged ones.

mod builder;

use builder::{claim_decided, decided, history, sent};
use millpass_checkers::{History, HistoryError};
use millpass_proto::ClaimDecision;

#[test]
fn written_history_reads_back_unchanged() {
    let written = history(vec![
        (2, sent(1, "router-1", 1_000, Some("key"))),
        (1, decided(7, "engine-1", 1)),
        (3, claim_decided(1, ClaimDecision::Granted)),
    ]);
    let mut file = Vec::new();
    written.write(&mut file).expect("written");
    let read = History::read(file.as_slice()).expect("read");
    assert_eq!(read, written);
}

#[test]
fn malformed_line_is_reported_with_its_number() {
    let mut file = Vec::new();
    history(vec![(1, decided(7, "engine-1", 1))])
        .write(&mut file)
        .expect("written");
    file.extend_from_slice(b"{\"at_micros\":2,\"eve\n");
    let error = History::read(file.as_slice()).expect_err("damaged");
    assert!(matches!(error, HistoryError::Malformed { line: 2, .. }));
}
