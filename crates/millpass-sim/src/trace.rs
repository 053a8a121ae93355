//! Trace of a run: a hash of all events, and optionally readable lines.

use crate::content::{hash_text, mix};

/// Maximum number of lines kept; the oldest are dropped first.
const MAXIMUM_LINES: usize = 400_000;

/// Trace of one run.
pub struct Trace {
    hash: u64,
    lines: Option<std::collections::VecDeque<String>>,
}

impl Trace {
    /// Creates a trace that keeps lines, or only the hash.
    pub fn new(keep_lines: bool) -> Self {
        Trace {
            hash: 0,
            lines: keep_lines.then(Default::default),
        }
    }

    /// Mixes an event into the hash.
    pub fn mark(&mut self, at: u64, what: u64) {
        self.hash = mix(self.hash ^ mix(at) ^ what.rotate_left(17));
    }

    /// Adds a line, if lines are kept. Does not change the hash.
    pub fn line(&mut self, at: u64, text: impl FnOnce() -> String) {
        if self.lines.is_none() {
            return;
        }
        let text = format!("{:>9}.{:03}ms {}", at / 1_000, at % 1_000, text());
        if let Some(lines) = &mut self.lines {
            if lines.len() == MAXIMUM_LINES {
                lines.pop_front();
            }
            lines.push_back(text);
        }
    }

    /// Mixes a text into the hash.
    pub fn mark_text(&mut self, at: u64, text: &str) {
        self.mark(at, hash_text(text));
    }

    /// Returns the hash of all events so far.
    pub fn hash(&self) -> u64 {
        self.hash
    }

    /// Returns the kept lines.
    pub fn lines(&self) -> impl Iterator<Item = &String> {
        self.lines.iter().flatten()
    }
}
