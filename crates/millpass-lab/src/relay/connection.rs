//! One relayed connection: two directions, each a reader, a delay line and a writer.

use super::paths::{PathKey, PathTable};
use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use bytes::Bytes;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Bytes read at once.
const CHUNK_BYTES: usize = 16 * 1024;
/// Chunks under way in one direction; then reading stops, as with a full TCP window.
const CHUNKS_UNDER_WAY: usize = 64;
/// Pause between two looks at a path that is cut.
const CUT_POLL: Duration = Duration::from_millis(5);

/// Bytes carried by a link.
#[derive(Default)]
pub struct Carried {
    /// From the connecting side to the target.
    pub forward: AtomicU64,
    /// From the target back.
    pub backward: AtomicU64,
}

struct Piece {
    due: Instant,
    bytes: Bytes,
}

/// Carries one connection until both directions end.
pub async fn carry(
    accepted: Async<TcpStream>,
    target: SocketAddr,
    pair: PathKey,
    paths: PathTable,
    carried: &Carried,
    seed: u64,
) -> io::Result<()> {
    let backward = pair.reversed();
    let number = paths.open();
    let round_trip = paths.settings(&pair).delay() + paths.settings(&backward).delay();
    Timer::after(round_trip).await;
    wait_while_cut(&paths, &pair).await;
    wait_while_cut(&paths, &backward).await;
    let connected = Async::<TcpStream>::connect(target).await?;
    connected.get_ref().set_nodelay(true)?;
    accepted.get_ref().set_nodelay(true)?;
    let line = |pair| Line {
        pair,
        paths: &paths,
        number,
    };
    let there = direction(&accepted, &connected, line(&pair), &carried.forward, seed);
    let back = direction(
        &connected,
        &accepted,
        line(&backward),
        &carried.backward,
        !seed,
    );
    future::zip(there, back).await;
    Ok(())
}

/// One direction of a connection.
#[derive(Clone, Copy)]
struct Line<'a> {
    pair: &'a PathKey,
    paths: &'a PathTable,
    /// Number of the connection.
    number: u64,
}

impl Line<'_> {
    /// Waits until bytes pass; for ever on a connection that has gone silent.
    async fn wait_until_open(self) {
        if self.paths.is_silent(self.pair, self.number) {
            return future::pending().await;
        }
        wait_while_cut(self.paths, self.pair).await;
    }
}

async fn wait_while_cut(paths: &PathTable, pair: &PathKey) {
    while paths.is_cut(pair) {
        Timer::after(CUT_POLL).await;
    }
}

/// Carries one direction to its end, then passes the end on.
async fn direction(
    from: &Async<TcpStream>,
    to: &Async<TcpStream>,
    line: Line<'_>,
    carried: &AtomicU64,
    seed: u64,
) {
    let (pieces, received) = async_channel::bounded(CHUNKS_UNDER_WAY);
    let reading = read_pieces(from, line, pieces, seed);
    let writing = write_pieces(to, line, received, carried);
    let (read, written) = future::zip(reading, writing).await;
    if read.is_err() || written.is_err() {
        // A broken side breaks the other; an error here means that it is broken already.
        let _ = from.get_ref().shutdown(Shutdown::Both);
        let _ = to.get_ref().shutdown(Shutdown::Both);
    }
}

async fn read_pieces(
    mut from: &Async<TcpStream>,
    line: Line<'_>,
    pieces: Sender<Piece>,
    seed: u64,
) -> io::Result<()> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut last_due = Instant::now();
    let mut buffer = vec![0_u8; CHUNK_BYTES];
    loop {
        let count = from.read(&mut buffer).await?;
        if count == 0 {
            return Ok(());
        }
        let settings = line.paths.settings(line.pair);
        let jitter = random.random_range(0..=settings.jitter_micros);
        let due = Instant::now() + settings.delay() + Duration::from_micros(jitter);
        // Bytes never overtake each other.
        last_due = last_due.max(due);
        let piece = Piece {
            due: last_due,
            bytes: Bytes::copy_from_slice(&buffer[..count]),
        };
        if pieces.send(piece).await.is_err() {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
    }
}

async fn write_pieces(
    mut to: &Async<TcpStream>,
    line: Line<'_>,
    received: Receiver<Piece>,
    carried: &AtomicU64,
) -> io::Result<()> {
    while let Ok(piece) = received.recv().await {
        if piece.due > Instant::now() {
            Timer::at(piece.due).await;
        }
        line.wait_until_open().await;
        to.write_all(&piece.bytes).await?;
        carried.fetch_add(piece.bytes.len() as u64, Ordering::Relaxed);
    }
    line.wait_until_open().await;
    to.get_ref().shutdown(Shutdown::Write)
}
