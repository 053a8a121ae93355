//! State machine of the weight store.

use millpass_proto::{Duration, StoreAudit, Timestamp};
use std::collections::{BTreeMap, VecDeque};

const MICROS_PER_SECOND: u64 = 1_000_000;
/// Slow factor of normal speed, in thousandths.
const NORMAL_SLOW_FACTOR: u64 = 1_000;

/// Limits of a weight store, in simulated time.
#[derive(Clone, Debug)]
pub struct WeightStoreSettings {
    /// Maximum number of transfers started per second.
    pub loads_per_second: u32,
    /// Number of concurrent transfers that run at full speed; more share the same total bandwidth.
    pub full_speed_loads: u32,
    /// Full speed of one transfer, in bytes per second.
    pub bytes_per_second: u64,
    /// Maximum number of queued transfers; more are refused.
    pub waiting_loads: usize,
}

impl Default for WeightStoreSettings {
    fn default() -> Self {
        WeightStoreSettings {
            loads_per_second: 4,
            full_speed_loads: 6,
            bytes_per_second: 1 << 30,
            waiting_loads: 16,
        }
    }
}

/// Transfer id assigned by the driver; unique within an incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TransferId(pub u64);

/// Input of the weight store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreInput {
    /// Time advanced.
    Tick,
    /// A checkpoint of this size in bytes is requested.
    Request(TransferId, u64),
    /// The caller disconnected.
    Abandon(TransferId),
    /// Fault: multiplies transfer times by this factor, in thousandths (1000 is normal).
    SlowFactor(u64),
}

/// Output of the weight store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreOutput {
    /// The queue is full; retry after this time.
    Refused(TransferId, Duration),
    /// The transfer completed.
    Done(TransferId),
}

/// Deterministic model of a weight store.
///
/// Remaining work of a transfer is in bytes times a million, so that a rate in bytes per second multiplied by
/// microseconds needs no division.
#[derive(Clone, Debug)]
pub struct WeightStoreModel {
    settings: WeightStoreSettings,
    waiting: VecDeque<(TransferId, u64)>,
    active: BTreeMap<TransferId, ActiveTransfer>,
    last: Timestamp,
    next_start: Timestamp,
    slow_factor: u64,
    audit: StoreAudit,
}

#[derive(Clone, Copy, Debug)]
struct ActiveTransfer {
    bytes: u64,
    remaining: u128,
}

impl WeightStoreModel {
    /// Creates an idle store.
    pub fn new(settings: WeightStoreSettings, now: Timestamp) -> Self {
        WeightStoreModel {
            settings,
            waiting: VecDeque::new(),
            active: BTreeMap::new(),
            last: now,
            next_start: now,
            slow_factor: NORMAL_SLOW_FACTOR,
            audit: StoreAudit {
                started: 0,
                finished: 0,
                refused: 0,
                abandoned: 0,
                most_at_once: 0,
                bytes: 0,
            },
        }
    }

    /// Advances the store to `now`, then applies the input.
    pub fn step(&mut self, now: Timestamp, input: StoreInput) -> Vec<StoreOutput> {
        let mut outputs = Vec::new();
        self.advance(now, &mut outputs);
        match input {
            StoreInput::Tick => {}
            StoreInput::Request(transfer, bytes) => self.request(transfer, bytes, &mut outputs),
            StoreInput::Abandon(transfer) => self.abandon(transfer),
            StoreInput::SlowFactor(factor) => self.slow_factor = factor.max(1),
        }
        self.advance(now, &mut outputs);
        outputs
    }

    /// Time at which the store must be advanced next without an input.
    pub fn next_wake(&self) -> Option<Timestamp> {
        let start = self.waiting.front().map(|_| self.next_start.max(self.last));
        start.into_iter().chain(self.next_completion()).min()
    }

    /// Returns the counters.
    pub fn audit(&self) -> StoreAudit {
        self.audit.clone()
    }

    /// Number of active transfers.
    pub fn active_count(&self) -> usize {
        self.active.len()
    }

    fn request(&mut self, transfer: TransferId, bytes: u64, outputs: &mut Vec<StoreOutput>) {
        if self.waiting.len() >= self.settings.waiting_loads {
            self.audit.refused += 1;
            outputs.push(StoreOutput::Refused(transfer, self.queue_drain_time()));
            return;
        }
        self.waiting.push_back((transfer, bytes));
    }

    fn abandon(&mut self, transfer: TransferId) {
        let was_active = self.active.remove(&transfer).is_some();
        let waiting = self.waiting.len();
        self.waiting.retain(|(one, _)| *one != transfer);
        if was_active || self.waiting.len() < waiting {
            self.audit.abandoned += 1;
        }
    }

    /// Processes completions and starts up to `now`, in order of time.
    fn advance(&mut self, now: Timestamp, outputs: &mut Vec<StoreOutput>) {
        while let Some(at) = self.next_wake().filter(|at| *at <= now) {
            self.progress(at);
            self.finish_complete(outputs);
            self.start_next(at);
        }
        self.progress(now);
    }

    fn progress(&mut self, now: Timestamp) {
        let elapsed = now.as_micros().saturating_sub(self.last.as_micros());
        let transferred = u128::from(elapsed) * u128::from(self.rate());
        for transfer in self.active.values_mut() {
            transfer.remaining = transfer.remaining.saturating_sub(transferred);
        }
        self.last = self.last.max(now);
    }

    fn finish_complete(&mut self, outputs: &mut Vec<StoreOutput>) {
        let complete = self.active.iter().filter(|(_, one)| one.remaining == 0);
        let complete: Vec<TransferId> = complete.map(|(transfer, _)| *transfer).collect();
        for transfer in complete {
            if let Some(ended) = self.active.remove(&transfer) {
                self.audit.finished += 1;
                self.audit.bytes += ended.bytes;
                outputs.push(StoreOutput::Done(transfer));
            }
        }
    }

    fn start_next(&mut self, now: Timestamp) {
        if now < self.next_start {
            return;
        }
        let Some((transfer, bytes)) = self.waiting.pop_front() else {
            return;
        };
        let remaining = u128::from(bytes) * u128::from(MICROS_PER_SECOND);
        self.active
            .insert(transfer, ActiveTransfer { bytes, remaining });
        self.next_start = now + self.start_interval();
        self.audit.started += 1;
        self.audit.most_at_once = self.audit.most_at_once.max(self.active.len() as u64);
    }

    fn next_completion(&self) -> Option<Timestamp> {
        let least = self.active.values().map(|one| one.remaining).min()?;
        let micros = least.div_ceil(u128::from(self.rate()));
        let micros = u64::try_from(micros).unwrap_or(u64::MAX);
        Some(self.last + Duration::from_micros(micros))
    }

    /// Bytes per second of each active transfer.
    fn rate(&self) -> u64 {
        let full_speed = u64::from(self.settings.full_speed_loads.max(1));
        let sharing = (self.active.len() as u64).max(full_speed);
        let shared = u128::from(self.settings.bytes_per_second) * u128::from(full_speed);
        let slowed = shared * u128::from(NORMAL_SLOW_FACTOR) / u128::from(self.slow_factor);
        u64::try_from(slowed / u128::from(sharing))
            .unwrap_or(u64::MAX)
            .max(1)
    }

    fn start_interval(&self) -> Duration {
        Duration::from_micros(MICROS_PER_SECOND / u64::from(self.settings.loads_per_second.max(1)))
    }

    fn queue_drain_time(&self) -> Duration {
        let waiting = u32::try_from(self.waiting.len()).unwrap_or(u32::MAX);
        self.start_interval().saturating_mul(waiting.max(1))
    }
}
