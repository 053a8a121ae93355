//! Judgement of connections between members by their receipts.

use millpass_control::receipts::ReceiptWatch;
use std::time::{Duration, Instant};

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Sends once and returns the time after which the connection counts as silent, in milliseconds.
fn millis_until_silent(watch: &mut ReceiptWatch, start: Instant) -> u64 {
    watch.record_connected();
    watch.record_sent(start);
    let is_silent = |it: &u64| watch.is_silent(start + millis(*it));
    (0..20_000).step_by(10).find(is_silent).expect("silent")
}

/// Guards against connections that are replaced although their member reads them.
#[test]
fn a_connection_with_receipts_is_never_silent() {
    let (start, mut watch) = (Instant::now(), ReceiptWatch::default());
    watch.record_connected();
    for number in 0..100 {
        let now = start + millis(number * 400);
        watch.record_sent(now);
        watch.record_receipt(now + millis(5));
        assert!(!watch.is_silent(now + millis(399)));
    }
}

/// A member writes no receipt for what it reads shortly after another one.
#[test]
fn bytes_sent_shortly_after_a_receipt_need_none() {
    let (start, mut watch) = (Instant::now(), ReceiptWatch::default());
    watch.record_connected();
    watch.record_sent(start);
    watch.record_receipt(start + millis(5));
    watch.record_sent(start + millis(100));
    assert!(!watch.is_waiting());
    assert!(!watch.is_silent(start + millis(60_000)));
    watch.record_sent(start + millis(60_000));
    assert!(!watch.is_silent(start + millis(60_100)));
    assert!(watch.is_silent(start + millis(62_000)));
}

/// Guards against a stopped member that finds a connection for each second of its stop.
#[test]
fn a_member_that_stays_silent_on_new_connections_gets_more_time() {
    let (start, mut watch) = (Instant::now(), ReceiptWatch::default());
    let mut times = Vec::new();
    for number in 0..5 {
        let now = start + millis(number * 30_000);
        times.push(millis_until_silent(&mut watch, now));
    }
    assert_eq!(times, [1_000, 2_000, 4_000, 8_000, 8_000]);
    watch.record_receipt(start + millis(200_000));
    let again = millis_until_silent(&mut watch, start + millis(300_000));
    assert_eq!(again, 1_000);
}
