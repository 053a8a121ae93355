//! Cascade: sessions over the day, periodic jobs, and an election night on the last day.

use super::DAY_SECONDS;
use super::generator::{Generator, Population, SessionShape, Zipf};
use crate::trace::Trace;
use millpass_proto::Urgency;

/// Sessions per day at the peak rate.
const SESSIONS_A_DAY: f64 = 800.0;
/// Exponent of the Zipf law of model popularity.
const MODEL_EXPONENT: f64 = 1.0;
/// Every model whose index is a multiple of this has a periodic job.
const JOB_EVERY: usize = 3;
/// Periods of those jobs, in seconds.
const JOB_PERIODS: [f64; 3] = [1_800.0, 3_600.0, 7_200.0];
/// Jitter of a job around its time, as a share of its period.
const JOB_JITTER: f64 = 0.02;
/// Time of day at which polls close, in seconds.
const POLLS_CLOSE_SECONDS: f64 = 20.0 * 3_600.0;
/// Time of day at which the election night ends, in seconds.
const NIGHT_END_SECONDS: f64 = 23.5 * 3_600.0;
/// Time over which the first returns of all counties arrive, in seconds.
const FIRST_RETURNS_SECONDS: f64 = 300.0;
/// Range of the time between returns of one county, in seconds.
const RETURNS_INTERVAL_SECONDS: (f64, f64) = (900.0, 2_400.0);

const SESSION: SessionShape = SessionShape {
    opening: 2..=6,
    follow_ups: 6.0,
    think_seconds: 45.0,
    urgency: Urgency::Normal,
    timeout_seconds: 120,
};
const JOB: SessionShape = SessionShape {
    opening: 3..=5,
    follow_ups: 2.0,
    think_seconds: 10.0,
    urgency: Urgency::Normal,
    timeout_seconds: 120,
};
const RETURNS: SessionShape = SessionShape {
    opening: 4..=10,
    follow_ups: 8.0,
    think_seconds: 20.0,
    urgency: Urgency::Interactive,
    timeout_seconds: 60,
};

/// Generates the trace.
pub fn trace(population: Population, days: usize, seed: u64) -> Trace {
    let mut generator = Generator::new(population, days, seed);
    sessions(&mut generator);
    jobs(&mut generator, days);
    election_night(&mut generator, days);
    generator.finish()
}

fn sessions(generator: &mut Generator) {
    let popularity = Zipf::new(generator.models(), MODEL_EXPONENT);
    for start in generator.poisson(SESSIONS_A_DAY, diurnal_factor) {
        let model = generator.zipf(&popularity);
        generator.session(start, model, &SESSION);
    }
}

/// Returns the share of the peak rate at an hour: lowest at 2:00, highest at 14:00.
fn diurnal_factor(hour: f64) -> f64 {
    let angle = (hour - 2.0) / 24.0 * std::f64::consts::TAU;
    (1.0 - 0.85 * angle.cos()) / 1.85
}

fn jobs(generator: &mut Generator, days: usize) {
    for model in (0..generator.models()).step_by(JOB_EVERY) {
        let period = JOB_PERIODS[model / JOB_EVERY % JOB_PERIODS.len()];
        let mut due = generator.between(0.0, period);
        while due < days as f64 * DAY_SECONDS {
            let jitter = period * JOB_JITTER;
            let start = (due + generator.between(-jitter, jitter)).max(0.0);
            generator.session(start, model, &JOB);
            due += period;
        }
    }
}

fn election_night(generator: &mut Generator, days: usize) {
    let midnight = (days - 1) as f64 * DAY_SECONDS;
    for model in 0..generator.models() {
        let mut at = midnight + POLLS_CLOSE_SECONDS + generator.between(0.0, FIRST_RETURNS_SECONDS);
        while at < midnight + NIGHT_END_SECONDS {
            generator.session(at, model, &RETURNS);
            at += generator.between(RETURNS_INTERVAL_SECONDS.0, RETURNS_INTERVAL_SECONDS.1);
        }
    }
}
