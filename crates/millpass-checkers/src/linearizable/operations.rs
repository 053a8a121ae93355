//! Operations with the order of their calls and responses, checked for linearizability.

use crate::{Breach, Limits};
use todc_utils::linearizability::WGLChecker;
use todc_utils::linearizability::history::{Action, History};
use todc_utils::specifications::Specification;

/// One operation on one object.
#[derive(Clone, Debug)]
pub struct TimedOperation<O> {
    /// Index of its call in the history.
    pub called: usize,
    /// Index of its response in the history. `None` without a response: the operation may take
    /// effect at any later time, or never.
    pub returned: Option<usize>,
    /// Operation with its result.
    pub operation: O,
}

/// Returns a violation if the operations on one object are not linearizable.
pub fn check_operations<S: Specification>(
    checker: &'static str,
    name: &str,
    operations: &[TimedOperation<S::Operation>],
    at_micros: u64,
    limits: &Limits,
) -> Option<Breach>
where
    S::Operation: Clone + std::fmt::Debug,
{
    if operations.is_empty() {
        return None;
    }
    if operations.len() > limits.maximum_operations {
        return Some(Breach {
            checker,
            at_micros,
            detail: format!(
                "{name}: {} operations exceed the limit of the check; use more objects or keys in the run",
                operations.len()
            ),
        });
    }
    let linearizable = WGLChecker::<S>::is_linearizable(history_of(operations));
    (!linearizable).then(|| Breach {
        checker,
        at_micros,
        detail: format!("{name}: not linearizable: {operations:?}"),
    })
}

fn history_of<O: Clone>(operations: &[TimedOperation<O>]) -> History<O> {
    let mut timed = Vec::new();
    for (process, operation) in operations.iter().enumerate() {
        let call = Action::Call(operation.operation.clone());
        let response = Action::Response(operation.operation.clone());
        timed.push((operation.called, (process, call)));
        timed.push((
            operation.returned.unwrap_or(usize::MAX),
            (process, response),
        ));
    }
    timed.sort_by_key(|(order, _)| *order);
    History::from_actions(timed.into_iter().map(|(_, action)| action).collect())
}
