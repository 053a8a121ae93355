//! Async reading and writing of frames.

use async_io::Async;
use futures_lite::AsyncRead;
use futures_lite::io::{AsyncReadExt, AsyncWriteExt};
use millpass_proto::codec::{self, CodecError, PREFIX_BYTES};
use serde::{Serialize, de::DeserializeOwned};
use std::net::TcpStream;

pub(crate) async fn read_frame<T: DeserializeOwned>(
    stream: &mut (impl AsyncRead + Unpin),
) -> Result<T, CodecError> {
    let mut prefix = [0_u8; PREFIX_BYTES];
    stream.read_exact(&mut prefix).await?;
    let mut body = vec![0_u8; codec::body_length(prefix)?];
    stream.read_exact(&mut body).await?;
    codec::decode(&body)
}

pub(crate) async fn write_frame<T: Serialize>(
    mut stream: &Async<TcpStream>,
    value: &T,
) -> Result<(), CodecError> {
    let mut frame = Vec::new();
    codec::write_frame(&mut frame, value)?;
    stream.write_all(&frame).await?;
    Ok(())
}
