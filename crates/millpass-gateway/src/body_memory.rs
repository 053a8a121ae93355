//! Bound on the memory of request bodies that are being read, wait or are in progress.

use async_io::Timer;
use bytes::{Bytes, BytesMut};
use futures_lite::future;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Bodies up to this size may use all memory, larger ones [`LARGE_SHARE_PERCENT`] of it.
const SMALL_BODY_BYTES: usize = 64 * 1024;
/// Share of the memory for bodies of which one is large: the rest is left to small ones.
const LARGE_SHARE_PERCENT: usize = 75;

/// Maximum time for which the rest of a refused body is read.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Memory for request bodies of all requests.
#[derive(Debug)]
pub(crate) struct BodyMemory {
    limit: usize,
    used: AtomicUsize,
}

/// Why a body was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyRefusal {
    /// It exceeds the size limit.
    TooLarge,
    /// Bodies of other requests use the memory.
    NoMemory,
    /// The caller broke off, or sent no valid body.
    Unreadable,
}

impl BodyMemory {
    pub(crate) fn new(limit: usize) -> Arc<Self> {
        Arc::new(BodyMemory {
            limit,
            used: AtomicUsize::new(0),
        })
    }

    /// Bytes reserved now.
    pub(crate) fn used(&self) -> usize {
        self.used.load(Ordering::Acquire)
    }

    /// Reads a body of at most `limit` bytes. One whose stated length does not fit is refused before
    /// it is read.
    pub(crate) async fn read(
        self: &Arc<Self>,
        body: &mut Incoming,
        limit: usize,
    ) -> Result<HeldBody, BodyRefusal> {
        let stated = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
        if stated > limit {
            return Err(BodyRefusal::TooLarge);
        }
        let mut reservation = BodyReservation::new(self);
        reservation.grow_to(stated)?;
        let mut bytes = BytesMut::with_capacity(stated);
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| BodyRefusal::Unreadable)?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let length = bytes.len().saturating_add(data.len());
            if length > limit {
                return Err(BodyRefusal::TooLarge);
            }
            reservation.grow_to(length)?;
            bytes.extend_from_slice(&data);
        }
        Ok(HeldBody {
            bytes: bytes.freeze(),
            reservation,
        })
    }

    fn try_add(&self, bytes: usize, size: usize) -> bool {
        let limit = match size > SMALL_BODY_BYTES {
            true => self.limit / 100 * LARGE_SHARE_PERCENT,
            false => self.limit,
        };
        let add = |used: usize| {
            let sum = used.saturating_add(bytes);
            (sum <= limit).then_some(sum)
        };
        let order = Ordering::AcqRel;
        self.used
            .fetch_update(order, Ordering::Acquire, add)
            .is_ok()
    }
}

/// A body and its reservation.
#[derive(Debug)]
pub(crate) struct HeldBody {
    pub(crate) bytes: Bytes,
    pub(crate) reservation: BodyReservation,
}

/// Reads and drops the rest of a refused body while the response is written. A connection that is
/// closed with unread bytes is reset, and its caller may lose the response.
pub(crate) async fn discard(mut body: Incoming) {
    let read = async { while let Some(Ok(_)) = body.frame().await {} };
    let timer = async {
        Timer::after(DISCARD_TIMEOUT).await;
    };
    future::or(read, timer).await;
}

/// Memory reserved for one body; released on drop.
#[derive(Debug)]
pub(crate) struct BodyReservation {
    memory: Arc<BodyMemory>,
    bytes: usize,
}

impl BodyReservation {
    fn new(memory: &Arc<BodyMemory>) -> Self {
        BodyReservation {
            memory: memory.clone(),
            bytes: 0,
        }
    }

    fn grow_to(&mut self, size: usize) -> Result<(), BodyRefusal> {
        let missing = size.saturating_sub(self.bytes);
        if missing > 0 {
            if !self.memory.try_add(missing, size) {
                return Err(BodyRefusal::NoMemory);
            }
            self.bytes = size;
        }
        Ok(())
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.memory.used.fetch_sub(self.bytes, Ordering::AcqRel);
    }
}
