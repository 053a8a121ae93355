//! The trace of a run: a running hash of everything that happened, and readable lines on demand.

use crate::content::{hash_text, mix};

/// Most lines kept; the first go first.
const MAXIMUM_LINES: usize = 400_000;

/// Trace of one run.
pub struct Trace {
    hash: u64,
    lines: Option<std::collections::VecDeque<String>>,
}

impl Trace {
    /// A trace that keeps lines, or only the hash.
    pub fn new(keep_lines: bool) -> Self {
        Trace {
            hash: 0,
            lines: keep_lines.then(Default::default),
        }
    }

    /// Mixes an occurrence into the hash.
    pub fn mark(&mut self, at: u64, what: u64) {
        self.hash = mix(self.hash ^ mix(at) ^ what.rotate_left(17));
    }

    /// Mixes a text into the hash, and keeps it as a line.
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

    /// Hash of all so far.
    pub fn hash(&self) -> u64 {
        self.hash
    }

    /// Lines kept.
    pub fn lines(&self) -> impl Iterator<Item = &String> {
        self.lines.iter().flatten()
    }
}
