//! The connection between an agent and the leader: length-delimited messages over TCP.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use eyre::{Result, WrapErr};
use futures_util::{SinkExt, StreamExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};
use turmeric_schema::Message;

/// Maximum size of a message, in bytes: enough for all start orders of a VM, each with a job
/// text of 4,000 bytes.
const MESSAGE_LIMIT: usize = 2 << 20;

/// Timeout of connecting; a round trip takes 2 ms within a region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// Timeout of sending one message.
const SEND_TIMEOUT: Duration = Duration::from_millis(1500);

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MESSAGE_LIMIT)
        .new_codec()
}

/// Receiving half of a connection.
pub(crate) struct LinkReader {
    frames: FramedRead<OwnedReadHalf, LengthDelimitedCodec>,
}

/// Sending half of a connection.
pub(crate) struct LinkWriter {
    frames: FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>,
}

/// Splits a TCP connection into its receiving and sending halves.
pub(crate) fn open_link(stream: TcpStream) -> Result<(LinkReader, LinkWriter)> {
    stream
        .set_nodelay(true)
        .wrap_err("disabling Nagle's algorithm on the connection")?;
    let (read, write) = stream.into_split();
    let reader = LinkReader {
        frames: FramedRead::new(read, codec()),
    };
    let writer = LinkWriter {
        frames: FramedWrite::new(write, codec()),
    };
    Ok((reader, writer))
}

/// Connects to the leader.
pub(crate) async fn connect(address: SocketAddr) -> Result<(LinkReader, LinkWriter)> {
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .wrap_err("connecting to the leader timed out")?
        .wrap_err("connecting to the leader")?;
    open_link(stream)
}

impl LinkReader {
    /// Waits for the next message; returns [`None`] when the peer has closed the connection.
    pub(crate) async fn receive<M: Message + Default>(&mut self) -> Result<Option<M>> {
        let Some(frame) = self.frames.next().await else {
            return Ok(None);
        };
        let frame = frame.wrap_err("receiving from the peer")?;
        let message = M::decode(frame).wrap_err("decoding a message from the peer")?;
        Ok(Some(message))
    }
}

impl LinkWriter {
    /// Sends a message.
    pub(crate) async fn send<M: Message>(&mut self, message: &M) -> Result<()> {
        let bytes = Bytes::from(message.encode_to_vec());
        tokio::time::timeout(SEND_TIMEOUT, self.frames.send(bytes))
            .await
            .wrap_err("sending to the peer timed out")?
            .wrap_err("sending to the peer")
    }
}
