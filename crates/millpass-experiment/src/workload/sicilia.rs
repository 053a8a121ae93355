//! Trinacria: sellers' sessions in opening hours, buyers' chats, and dealers' nightly batches.

use super::DAY_SECONDS;
use super::generator::{Generator, Population, SessionShape, Zipf};
use crate::trace::Trace;
use millpass_proto::Urgency;

/// Sellers' sessions per 24 open hours.
const COUNTER_SESSIONS_A_DAY: f64 = 1_600.0;
/// Opening hours of the counter.
const OPEN_HOURS: [(f64, f64); 2] = [(9.0, 13.0), (16.0, 19.5)];
/// Buyers' chats per day at the peak rate.
const CHATS_A_DAY: f64 = 900.0;
/// Hours in which buyers chat.
const CHAT_HOURS: (f64, f64) = (10.0, 24.0);
/// Exponent of the Zipf law of model popularity.
const MODEL_EXPONENT: f64 = 1.0;
/// Range of a batch's start, in seconds of the day.
const BATCH_START_SECONDS: (f64, f64) = (0.0, 5.0 * 3_600.0);
/// Jitter of a batch around its time, in seconds.
const BATCH_JITTER_SECONDS: f64 = 600.0;

const SELLER: SessionShape = SessionShape {
    opening: 1..=3,
    follow_ups: 3.0,
    think_seconds: 40.0,
    urgency: Urgency::Interactive,
    timeout_seconds: 60,
};
const BUYER: SessionShape = SessionShape {
    opening: 1..=1,
    follow_ups: 5.0,
    think_seconds: 30.0,
    urgency: Urgency::Normal,
    timeout_seconds: 120,
};
/// `think_seconds` is the time over which the batch is submitted.
const DEALER: SessionShape = SessionShape {
    opening: 40..=200,
    follow_ups: 0.0,
    think_seconds: 60.0,
    urgency: Urgency::Batch,
    timeout_seconds: 4 * 3_600,
};

/// Generates the trace.
pub fn trace(population: Population, days: usize, seed: u64) -> Trace {
    let mut generator = Generator::new(population, days, seed);
    let popularity = Zipf::new(generator.models(), MODEL_EXPONENT);
    sessions(
        &mut generator,
        &popularity,
        COUNTER_SESSIONS_A_DAY,
        &SELLER,
        counter_factor,
    );
    sessions(
        &mut generator,
        &popularity,
        CHATS_A_DAY,
        &BUYER,
        chat_factor,
    );
    batches(&mut generator, &popularity, days);
    generator.finish()
}

fn sessions(
    generator: &mut Generator,
    popularity: &Zipf,
    peak_per_day: f64,
    shape: &SessionShape,
    factor: impl Fn(f64) -> f64,
) {
    for start in generator.poisson(peak_per_day, factor) {
        let model = generator.zipf(popularity);
        generator.session(start, model, shape);
    }
}

fn counter_factor(hour: f64) -> f64 {
    let open = OPEN_HOURS
        .iter()
        .any(|(from, to)| (*from..*to).contains(&hour));
    if open { 1.0 } else { 0.0 }
}

/// Returns a half sine over the chat hours.
fn chat_factor(hour: f64) -> f64 {
    let share = (hour - CHAT_HOURS.0) / (CHAT_HOURS.1 - CHAT_HOURS.0);
    if !(0.0..=1.0).contains(&share) {
        return 0.0;
    }
    (share * std::f64::consts::PI).sin()
}

/// Adds a nightly batch per tenant, with the same model at about the same time.
fn batches(generator: &mut Generator, popularity: &Zipf, days: usize) {
    for tenant in 0..generator.tenants() {
        let model = generator.zipf(popularity);
        let base_start = generator.between(BATCH_START_SECONDS.0, BATCH_START_SECONDS.1);
        for day in 0..days {
            let jitter = generator.between(-BATCH_JITTER_SECONDS, BATCH_JITTER_SECONDS);
            let start = day as f64 * DAY_SECONDS + (base_start + jitter).max(0.0);
            generator.batch(start, tenant, model, &DEALER);
        }
    }
}
