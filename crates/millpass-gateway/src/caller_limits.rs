//! Limits of the request heads and idle connections of callers, as the configuration states them.

use event_listener::Event;
use http::request::Parts;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

/// Limit of a request's headers if the configuration states none.
const DEFAULT_HEADER_BYTES: usize = 64 * 1024;
/// Time to receive a request head if the configuration states none.
const DEFAULT_HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// Idle timeout if the configuration states none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Shortest header line: a name of one byte, a colon and a line feed.
const SHORTEST_LINE_BYTES: usize = 3;
/// Bytes of a header line besides its name and value: a colon, a carriage return and a line feed.
const LINE_OVERHEAD_BYTES: usize = 3;
/// Most headers of a request, whatever their size; the library's map of headers holds 24,576.
const MAXIMUM_HEADERS: usize = 16_384;
/// Header lines up to which the library parses a head without allocating for the most possible.
pub(crate) const USUAL_HEADERS: usize = 100;
/// Headers that a gateway adds to a request that it forwards to another.
pub(crate) const FORWARD_HEADER_BYTES: usize = 8 * 1024;

/// The limits in force. They apply to open connections, too.
pub(crate) struct CallerLimits {
    header_bytes: AtomicUsize,
    header_millis: AtomicU64,
    idle_millis: AtomicU64,
    /// Notified when `header_bytes` has increased.
    raised: Event,
}

impl Default for CallerLimits {
    fn default() -> Self {
        CallerLimits {
            header_bytes: AtomicUsize::new(DEFAULT_HEADER_BYTES),
            header_millis: AtomicU64::new(millis(DEFAULT_HEADER_TIMEOUT)),
            idle_millis: AtomicU64::new(millis(DEFAULT_IDLE_TIMEOUT)),
            raised: Event::new(),
        }
    }
}

impl CallerLimits {
    /// Applies the limits of a document; 0 stands for none stated.
    pub(crate) fn apply(&self, stated: &millpass_proto::CallerLimits) {
        let bytes = match usize::try_from(stated.header_bytes) {
            Ok(0) => DEFAULT_HEADER_BYTES,
            stated => stated.unwrap_or(usize::MAX),
        };
        let header = stated_or(stated.header_millis, DEFAULT_HEADER_TIMEOUT);
        let idle = stated_or(stated.idle_millis, DEFAULT_IDLE_TIMEOUT);
        self.header_millis.store(header, Ordering::Release);
        self.idle_millis.store(idle, Ordering::Release);
        let before = self.header_bytes.swap(bytes, Ordering::AcqRel);
        if bytes > before {
            self.raised.notify(usize::MAX);
        }
    }

    /// Limit of a request's headers, and of its request line.
    pub(crate) fn header_bytes(&self) -> usize {
        self.header_bytes.load(Ordering::Acquire)
    }

    /// Maximum time from the first byte of a request head to its end.
    pub(crate) fn header_timeout(&self) -> Duration {
        Duration::from_millis(self.header_millis.load(Ordering::Acquire))
    }

    /// Maximum time between a response and the next request.
    pub(crate) fn idle_timeout(&self) -> Duration {
        Duration::from_millis(self.idle_millis.load(Ordering::Acquire))
    }

    /// Completes when more header bytes are allowed than a connection was set up for.
    pub(crate) async fn raised_above(&self, header_bytes: usize) {
        loop {
            let raised = self.raised.listen();
            if self.header_bytes() > header_bytes {
                return;
            }
            raised.await;
        }
    }
}

/// Most bytes of a head whose headers and request line may each have `header_bytes`.
pub(crate) fn maximum_head_bytes(header_bytes: usize) -> usize {
    header_bytes.saturating_mul(2)
}

/// Most headers that fit into some bytes.
pub(crate) fn maximum_headers(header_bytes: usize) -> usize {
    (header_bytes / SHORTEST_LINE_BYTES).clamp(1, MAXIMUM_HEADERS)
}

/// Returns whether the headers or the request line of a request exceed a limit.
pub(crate) fn exceeds(head: &Parts, header_bytes: usize) -> bool {
    let lines = head.headers.iter();
    let headers: usize = lines
        .map(|(name, value)| name.as_str().len() + value.len() + LINE_OVERHEAD_BYTES)
        .sum();
    let target = head.uri.path_and_query();
    let target = target.map_or(0, |target| target.as_str().len());
    headers > header_bytes || target > header_bytes
}

fn stated_or(stated: u64, default: Duration) -> u64 {
    match stated {
        0 => millis(default),
        stated => stated,
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
