//! The link between an agent and the leader: length-delimited messages.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use eyre::{Result, WrapErr};
use futures_util::{SinkExt, StreamExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};
use turmeric_schema::Message;

/// Largest message, in bytes: all starts of a VM with their texts of 4,000
/// bytes each.
const MESSAGE_LIMIT: usize = 2 << 20;

/// Longest wait for a connection; a round trip takes 2 ms within a region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// Longest time that a message may take to leave.
const SEND_TIMEOUT: Duration = Duration::from_millis(1500);

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MESSAGE_LIMIT)
        .new_codec()
}

/// Receiving end of a link.
pub(crate) struct LinkReader {
    frames: FramedRead<OwnedReadHalf, LengthDelimitedCodec>,
}

/// Sending end of a link.
pub(crate) struct LinkWriter {
    frames: FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>,
}

/// Splits a connection into both ends of a link.
pub(crate) fn open_link(stream: TcpStream) -> Result<(LinkReader, LinkWriter)> {
    stream
        .set_nodelay(true)
        .wrap_err("preparing the connection")?;
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
        .wrap_err("no connection in time")?
        .wrap_err("connecting")?;
    open_link(stream)
}

impl LinkReader {
    /// Waits for the next message; [`None`] when the link has ended.
    pub(crate) async fn receive<M: Message + Default>(&mut self) -> Result<Option<M>> {
        let Some(frame) = self.frames.next().await else {
            return Ok(None);
        };
        let frame = frame.wrap_err("receiving")?;
        let message = M::decode(frame).wrap_err("decoding a message")?;
        Ok(Some(message))
    }
}

impl LinkWriter {
    /// Sends a message.
    pub(crate) async fn send<M: Message>(&mut self, message: &M) -> Result<()> {
        let bytes = Bytes::from(message.encode_to_vec());
        tokio::time::timeout(SEND_TIMEOUT, self.frames.send(bytes))
            .await
            .wrap_err("the peer does not read")?
            .wrap_err("sending")
    }
}
