//! Drives a model by the clock, and hands its outputs to those who wait for them.

use super::alarm::{Alarm, Alarms};
use crossbeam::channel::{Receiver, Sender, unbounded};
use millpass_proto::Timestamp;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError, Weak};

/// A model that a [`Driver`] can drive.
pub trait TimedModel: Send + 'static {
    /// What happens to it.
    type Input;
    /// What it does.
    type Output: Send + 'static;

    /// Brings it to `now`, then takes the input; without one, only time went on.
    fn advance(&mut self, now: Timestamp, input: Option<Self::Input>) -> Vec<Self::Output>;
    /// When it next does something by itself.
    fn next_wake(&self) -> Option<Timestamp>;
    /// Number of the one who waits for this output, and whether it is the last for it.
    fn waiter_of(output: &Self::Output) -> Option<(u64, bool)>;
}

/// Takes outputs that nobody waits for.
type OutputHandler<Output> = Box<dyn Fn(Vec<Output>) + Send + Sync>;

/// A model with its clock and those who wait for its outputs.
pub struct Driver<M: TimedModel> {
    state: Mutex<State<M>>,
    alarms: Arc<Alarms>,
    alarm: OnceLock<u64>,
    unclaimed: OnceLock<OutputHandler<M::Output>>,
}

struct State<M: TimedModel> {
    model: M,
    next_waiter: u64,
    waiters: BTreeMap<u64, Sender<M::Output>>,
}

impl<M: TimedModel> Driver<M> {
    /// Begins to drive a model.
    pub fn new(model: M, alarms: Arc<Alarms>) -> Arc<Self> {
        let state = State {
            model,
            next_waiter: 1,
            waiters: BTreeMap::new(),
        };
        let driver = Arc::new(Driver {
            state: Mutex::new(state),
            alarms: alarms.clone(),
            alarm: OnceLock::new(),
            unclaimed: OnceLock::new(),
        });
        let weak: Weak<Self> = Arc::downgrade(&driver);
        // The state is new, so this is the first and only setting.
        let _ = driver.alarm.set(alarms.add(weak));
        driver
    }

    /// Says who takes outputs that nobody waits for and that come from the passing of time. To be
    /// called once, before the first input.
    pub fn on_unclaimed(&self, handle: impl Fn(Vec<M::Output>) + Send + Sync + 'static) {
        // A second call is ignored: the first owner keeps its outputs.
        let _ = self.unclaimed.set(Box::new(handle));
    }

    /// The alarms and their clock.
    pub fn alarms(&self) -> &Alarms {
        &self.alarms
    }

    /// One input; gives the outputs that nobody waits for.
    pub fn input(&self, input: M::Input) -> Vec<M::Output> {
        let mut state = self.lock();
        self.advance(&mut state, Some(input))
    }

    /// One input by someone who waits for the outputs under the number that `make` gets.
    pub fn open(&self, make: impl FnOnce(u64) -> M::Input) -> (u64, Receiver<M::Output>) {
        self.open_with_sender(make, |_, _| ())
    }

    /// As [`Driver::open`]; `prepare` gets the number and the sending end before the input, to let
    /// others, such as a hang-up notice, wake the one who waits.
    ///
    /// The channel has no bound of its own: a model gives a bounded number of outputs for each
    /// waiter, and must never wait for a slow one.
    pub fn open_with_sender(
        &self,
        make: impl FnOnce(u64) -> M::Input,
        prepare: impl FnOnce(u64, &Sender<M::Output>),
    ) -> (u64, Receiver<M::Output>) {
        let (sender, receiver) = unbounded();
        let mut state = self.lock();
        let waiter = state.next_waiter;
        state.next_waiter += 1;
        prepare(waiter, &sender);
        state.waiters.insert(waiter, sender);
        let unclaimed = self.advance(&mut state, Some(make(waiter)));
        drop(state);
        self.deliver_unclaimed(unclaimed);
        (waiter, receiver)
    }

    /// Reads the model at the present time.
    pub fn read<T>(&self, query: impl FnOnce(&M, Timestamp) -> T) -> T {
        let mut state = self.lock();
        let unclaimed = self.advance(&mut state, None);
        let seen = query(&state.model, self.alarms.clock().now());
        drop(state);
        self.deliver_unclaimed(unclaimed);
        seen
    }

    /// Stops driving: waiters see their channels close.
    pub fn stop(&self) {
        self.lock().waiters.clear();
        if let Some(alarm) = self.alarm.get() {
            self.alarms.remove(*alarm);
        }
    }

    /// Steps and hands out under the lock, so that each waiter sees its outputs in order.
    fn advance(&self, state: &mut State<M>, input: Option<M::Input>) -> Vec<M::Output> {
        let now = self.alarms.clock().now();
        let outputs = state.model.advance(now, input);
        let unclaimed = state.dispatch(outputs);
        if let Some(alarm) = self.alarm.get() {
            self.alarms.set(*alarm, state.model.next_wake());
        }
        unclaimed
    }

    fn deliver_unclaimed(&self, outputs: Vec<M::Output>) {
        if outputs.is_empty() {
            return;
        }
        if let Some(handle) = self.unclaimed.get() {
            handle(outputs);
        }
    }

    fn lock(&self) -> MutexGuard<'_, State<M>> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<M: TimedModel> State<M> {
    fn dispatch(&mut self, outputs: Vec<M::Output>) -> Vec<M::Output> {
        let mut unclaimed = Vec::new();
        for output in outputs {
            let Some((waiter, is_last)) = M::waiter_of(&output) else {
                unclaimed.push(output);
                continue;
            };
            if let Some(sender) = self.waiters.get(&waiter) {
                // One who no longer listens needs nothing.
                let _ = sender.send(output);
            }
            if is_last {
                self.waiters.remove(&waiter);
            }
        }
        unclaimed
    }
}

impl<M: TimedModel> Alarm for Driver<M> {
    fn wake(&self) {
        let mut state = self.lock();
        let unclaimed = self.advance(&mut state, None);
        drop(state);
        self.deliver_unclaimed(unclaimed);
    }
}
