//! Drives a model by the clock and dispatches its outputs to waiters.

use super::alarm::{Alarm, Alarms};
use crossbeam::channel::{Receiver, Sender, unbounded};
use millpass_proto::Timestamp;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError, Weak};

/// A model that a [`Driver`] can drive.
pub trait TimedModel: Send + 'static {
    /// Event that the model handles.
    type Input;
    /// Effect of a step.
    type Output: Send + 'static;

    /// Advances the model to `now`, then applies the input, if any.
    fn advance(&mut self, now: Timestamp, input: Option<Self::Input>) -> Vec<Self::Output>;
    /// Time at which the model must be advanced next without an input.
    fn next_wake(&self) -> Option<Timestamp>;
    /// Returns the waiter of this output and whether it is that waiter's last output.
    fn waiter_of(output: &Self::Output) -> Option<(u64, bool)>;
}

/// Handles outputs without a waiter.
type OutputHandler<Output> = Box<dyn Fn(Vec<Output>) + Send + Sync>;

/// A model with its clock and the waiters for its outputs.
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
    /// Starts to drive a model.
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
        // Cannot fail: the driver was created above.
        let _ = driver.alarm.set(alarms.add(weak));
        driver
    }

    /// Sets the handler of outputs without a waiter that the passage of time produces. Must be called
    /// once, before the first input.
    pub fn on_unclaimed(&self, handle: impl Fn(Vec<M::Output>) + Send + Sync + 'static) {
        // A second call has no effect.
        let _ = self.unclaimed.set(Box::new(handle));
    }

    /// Alarms that wake the model, and their clock.
    pub fn alarms(&self) -> &Alarms {
        &self.alarms
    }

    /// Applies an input and returns the outputs without a waiter.
    pub fn input(&self, input: M::Input) -> Vec<M::Output> {
        let mut state = self.lock();
        self.advance(&mut state, Some(input))
    }

    /// Applies the input that `make` creates for a new waiter, and returns the waiter's id and outputs.
    pub fn open(&self, make: impl FnOnce(u64) -> M::Input) -> (u64, Receiver<M::Output>) {
        self.open_with_sender(make, |_, _| ())
    }

    /// Like [`Driver::open`]; `prepare` receives the waiter's id and sender before the input is applied, so
    /// that other events, such as a disconnect, can wake the waiter.
    ///
    /// The channel is unbounded so that a slow waiter never blocks the model, which emits a bounded number
    /// of outputs per waiter.
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

    /// Queries the model at the current time.
    pub fn read<T>(&self, query: impl FnOnce(&M, Timestamp) -> T) -> T {
        let mut state = self.lock();
        let unclaimed = self.advance(&mut state, None);
        let seen = query(&state.model, self.alarms.clock().now());
        drop(state);
        self.deliver_unclaimed(unclaimed);
        seen
    }

    /// Stops driving the model and closes the waiters' channels.
    pub fn stop(&self) {
        self.lock().waiters.clear();
        if let Some(alarm) = self.alarm.get() {
            self.alarms.remove(*alarm);
        }
    }

    /// Steps and dispatches under the lock, so that each waiter receives its outputs in order.
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
                // Fails if the waiter has stopped receiving.
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
