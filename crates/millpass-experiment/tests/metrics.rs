//! Measurements of request ends and fairness.

use millpass_experiment::metrics::{Measurements, RequestEnd, jain_index};
use millpass_experiment::trace::TraceRequest;
use millpass_proto::{Duration, Timestamp, Urgency};
use rstest::rstest;

fn request(urgency: Urgency) -> TraceRequest {
    TraceRequest {
        at: Timestamp::ZERO,
        tenant: 0,
        model: 0,
        adapter: None,
        zone: 0,
        urgency,
        timeout: Duration::from_secs(60),
        prompt_tokens: 1,
        completion_tokens: 1,
    }
}

#[test]
fn a_refused_cold_request_counts_with_its_whole_timeout() {
    let mut measured = Measurements::new(1, 1);
    let end = RequestEnd {
        cold: true,
        started_after: None,
    };
    measured.record(&request(Urgency::Normal), end);
    assert_eq!(measured.refused, 1);
    assert!(measured.cold_start.quantile_seconds(0.5) >= 60.0);
}

#[test]
fn warm_requests_count_as_zero_and_batches_separately() {
    let mut measured = Measurements::new(1, 1);
    let warm = RequestEnd {
        cold: false,
        started_after: Some(Duration::from_secs(3)),
    };
    let cold = RequestEnd { cold: true, ..warm };
    measured.record(&request(Urgency::Interactive), warm);
    measured.record(&request(Urgency::Batch), cold);
    assert_eq!(measured.cold_start.count(), 1);
    assert_eq!(measured.cold_start.quantile_seconds(1.0), 0.0);
    assert_eq!(measured.cold_only.count(), 0);
    assert!(measured.wait.quantile_seconds(1.0) >= 3.0);
    assert!(measured.batch_cold_start.quantile_seconds(1.0) >= 3.0);
}

#[rstest]
#[case(&[1.0, 1.0, 1.0], 1.0)]
#[case(&[1.0, 0.0, 0.0, 0.0], 0.25)]
#[case(&[], 1.0)]
fn jain_index_of_known_shares(#[case] shares: &[f64], #[case] index: f64) {
    assert!((jain_index(shares) - index).abs() < 1e-9);
}
