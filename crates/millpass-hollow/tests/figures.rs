//! Least squares and quantiles.

use millpass_hollow::figures::{least_squares, quantile};
use std::time::Duration;

#[test]
fn a_line_through_exact_points_is_found() {
    let points: Vec<(f64, f64)> = [50.0, 200.0, 490.0].map(|x| (x, 3.0 + 0.5 * x)).to_vec();
    let line = least_squares(&points).expect("line");
    assert!((line.intercept - 3.0).abs() < 1e-9, "{line:?}");
    assert!((line.slope - 0.5).abs() < 1e-9, "{line:?}");
}

#[test]
fn fewer_than_two_distinct_x_values_have_no_line() {
    assert_eq!(least_squares(&[(1.0, 2.0), (1.0, 3.0)]), None);
    assert_eq!(least_squares(&[]), None);
}

#[test]
fn quantiles_of_unordered_times() {
    let mut times: Vec<Duration> = (1..=100).rev().map(Duration::from_millis).collect();
    assert_eq!(quantile(&mut times, 0.5), Duration::from_millis(51));
    assert_eq!(quantile(&mut times, 1.0), Duration::from_millis(100));
    assert_eq!(quantile(&mut [], 0.5), Duration::ZERO);
}
