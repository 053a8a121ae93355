//! One relayed connection: each direction has a reader, a delay queue and a writer.

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

/// Maximum size of one read.
const CHUNK_BYTES: usize = 16 * 1024;
/// Chunks in flight per direction; when reached, reading stops as with a full TCP window.
const MAXIMUM_CHUNKS_IN_FLIGHT: usize = 64;
/// Interval at which a cut path is polled.
const CUT_POLL: Duration = Duration::from_millis(5);

/// Bytes forwarded by a link.
#[derive(Default)]
pub struct ForwardedBytes {
    /// From the connecting side to the target.
    pub forward: AtomicU64,
    /// From the target to the connecting side.
    pub backward: AtomicU64,
}

struct Chunk {
    due: Instant,
    bytes: Bytes,
}

/// Forwards one connection until both directions end.
pub async fn forward_connection(
    accepted: Async<TcpStream>,
    target: SocketAddr,
    pair: PathKey,
    paths: PathTable,
    forwarded: &ForwardedBytes,
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
    let path = |pair| ConnectionPath {
        pair,
        paths: &paths,
        number,
    };
    let forward_task =
        forward_direction(&accepted, &connected, path(&pair), &forwarded.forward, seed);
    let backward_task = forward_direction(
        &connected,
        &accepted,
        path(&backward),
        &forwarded.backward,
        !seed,
    );
    future::zip(forward_task, backward_task).await;
    Ok(())
}

/// One direction of a connection.
#[derive(Clone, Copy)]
struct ConnectionPath<'a> {
    pair: &'a PathKey,
    paths: &'a PathTable,
    /// Number of the connection.
    number: u64,
}

impl ConnectionPath<'_> {
    /// Waits until data may be delivered; forever if the connection is blackholed.
    async fn wait_until_open(self) {
        if self.paths.is_blackholed(self.pair, self.number) {
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

/// Forwards one direction until end of file, then shuts down the write side of the target.
async fn forward_direction(
    from: &Async<TcpStream>,
    to: &Async<TcpStream>,
    path: ConnectionPath<'_>,
    forwarded: &AtomicU64,
    seed: u64,
) {
    let (chunks, received) = async_channel::bounded(MAXIMUM_CHUNKS_IN_FLIGHT);
    let reading = read_chunks(from, path, chunks, seed);
    let writing = write_chunks(to, path, received, forwarded);
    let (read, written) = future::zip(reading, writing).await;
    if read.is_err() || written.is_err() {
        // Fails if the socket is already closed.
        let _ = from.get_ref().shutdown(Shutdown::Both);
        let _ = to.get_ref().shutdown(Shutdown::Both);
    }
}

async fn read_chunks(
    mut from: &Async<TcpStream>,
    path: ConnectionPath<'_>,
    chunks: Sender<Chunk>,
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
        let settings = path.paths.settings(path.pair);
        let jitter = random.random_range(0..=settings.jitter_micros);
        let due = Instant::now() + settings.delay() + Duration::from_micros(jitter);
        // Preserves the byte order despite jitter.
        last_due = last_due.max(due);
        let chunk = Chunk {
            due: last_due,
            bytes: Bytes::copy_from_slice(&buffer[..count]),
        };
        if chunks.send(chunk).await.is_err() {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
    }
}

async fn write_chunks(
    mut to: &Async<TcpStream>,
    path: ConnectionPath<'_>,
    received: Receiver<Chunk>,
    forwarded: &AtomicU64,
) -> io::Result<()> {
    while let Ok(chunk) = received.recv().await {
        if chunk.due > Instant::now() {
            Timer::at(chunk.due).await;
        }
        path.wait_until_open().await;
        to.write_all(&chunk.bytes).await?;
        forwarded.fetch_add(chunk.bytes.len() as u64, Ordering::Relaxed);
    }
    path.wait_until_open().await;
    to.get_ref().shutdown(Shutdown::Write)
}
