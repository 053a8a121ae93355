//! Limits that instances state, over all gateways.

mod harness;

use harness::{exchange, gateway, limited, record};
use rstest::rstest;

/// Length of the window in which requests are counted, in milliseconds.
const WINDOW_MILLIS: u64 = 4_000;

/// Most requests in a window that the contract bears for a limit.
fn borne(milli_per_second: u64) -> usize {
    (WINDOW_MILLIS * milli_per_second * 3 / 2 / 1_000_000) as usize + 5
}

/// Most of these times that fall into one window.
fn busiest_window(times: &[u64]) -> usize {
    let in_window = |start: &u64| {
        let end = start + WINDOW_MILLIS;
        times
            .iter()
            .filter(|time| (*start..end).contains(*time))
            .count()
    };
    times.iter().map(in_window).max().unwrap_or(0)
}

#[rstest]
#[case::few(3, 1_000, 1_000)]
#[case::incident(7, 1_000, 400)]
#[case::many(986, 1_000, 20_000)]
#[case::faster(7, 20_000, 50)]
#[case::fraction(7, 250, 400)]
#[case::zero(7, 0, 400)]
fn several_gateways_together_exceed_a_limit_that_each_has_heard(
    #[case] gateways: u32,
    #[case] limit: u64,
    #[case] pause: u64,
) {
    let instances = [record("i-1", "text")];
    let mut all: Vec<_> = (0..gateways)
        .map(|number| gateway(&format!("g-{number}"), gateways, &instances))
        .collect();
    for gateway in &mut all {
        exchange(gateway, 0, "/text/", &limited(limit));
    }
    let mut sent = Vec::new();
    for now in (500..60_000).step_by(25) {
        for (number, gateway) in all.iter_mut().enumerate() {
            let phase = number as u64 * 7_919 % pause / 25 * 25;
            if now % pause == phase && exchange(gateway, now, "/text/", &limited(limit)).is_some() {
                sent.push(now);
            }
        }
    }
    assert!(
        busiest_window(&sent) <= borne(limit),
        "{} in a window",
        busiest_window(&sent)
    );
}
