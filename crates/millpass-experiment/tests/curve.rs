//! Comparisons at equal idle time and at equal cold-start time.

use millpass_experiment::curve::{Baselines, Point};
use rstest::rstest;

fn point(idle: f64, cold: f64) -> Point {
    Point { idle, cold }
}

fn baselines() -> Baselines {
    let fixed = vec![point(10.0, 30.0), point(20.0, 10.0), point(40.0, 2.0)];
    let single = vec![point(30.0, 1.0)];
    Baselines::new(vec![fixed, single])
}

#[rstest]
#[case(5.0, None)]
#[case(10.0, Some(30.0))]
#[case(15.0, Some(20.0))]
#[case(25.0, Some(8.0))]
#[case(30.0, Some(1.0))]
#[case(100.0, Some(1.0))]
fn lowest_cold_start_at_equal_idle_time(#[case] idle: f64, #[case] cold: Option<f64>) {
    assert_eq!(baselines().cold_at(idle), cold);
}

#[rstest]
#[case(0.5, None)]
#[case(1.0, Some(30.0))]
#[case(10.0, Some(20.0))]
#[case(20.0, Some(15.0))]
#[case(60.0, Some(10.0))]
fn lowest_idle_time_at_equal_cold_start(#[case] cold: f64, #[case] idle: Option<f64>) {
    assert_eq!(baselines().idle_at(cold), idle);
}
