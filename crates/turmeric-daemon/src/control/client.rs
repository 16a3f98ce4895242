//! The agent's side of a control connection.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use nng::options::protocol::reqrep::ResendTime;
use nng::options::{Options, ReconnectMaxTime, ReconnectMinTime, RecvMaxSize};
use nng::{Aio, AioResult, Context, Message, Protocol, Socket};
use tokio::sync::oneshot;

use super::{MESSAGE_LIMIT_BYTES, url_of};

/// Minimum and maximum delay before a lost connection is reopened.
const RECONNECT_DELAYS: (Duration, Duration) =
    (Duration::from_millis(50), Duration::from_millis(1000));

type ReplySender = oneshot::Sender<Result<Message, nng::Error>>;

/// Passes the reply from the callback of a connection to the waiting request.
#[derive(Debug, Default)]
struct ReplySlot {
    sender: Mutex<Option<ReplySender>>,
}

impl ReplySlot {
    fn put(&self, sender: ReplySender) {
        *self.sender.lock().unwrap_or_else(PoisonError::into_inner) = Some(sender);
    }

    fn fill(&self, outcome: Result<Message, nng::Error>) {
        let sender = self
            .sender
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        if let Some(sender) = sender {
            // The receiver has been dropped if the request was abandoned.
            let _ = sender.send(outcome);
        }
    }
}

/// An agent's connection to one entry, with one request at a time.
#[derive(Debug)]
pub struct ControlClient {
    address: SocketAddr,
    socket: Socket,
    context: Context,
    aio: Aio,
    slot: Arc<ReplySlot>,
    pending: Option<oneshot::Receiver<Result<Message, nng::Error>>>,
}

impl ControlClient {
    /// Starts to connect to `address` in the background.
    ///
    /// # Errors
    ///
    /// Fails when the library cannot open a socket.
    pub fn open(address: SocketAddr) -> Result<Self, nng::Error> {
        let socket = Socket::new(Protocol::Req0)?;
        socket.set_opt::<RecvMaxSize>(MESSAGE_LIMIT_BYTES)?;
        socket.set_opt::<ReconnectMinTime>(Some(RECONNECT_DELAYS.0))?;
        socket.set_opt::<ReconnectMaxTime>(Some(RECONNECT_DELAYS.1))?;
        let context = Context::new(&socket)?;
        // The caller detects lost requests and builds new ones, so the library must not
        // resend them.
        context.set_opt::<ResendTime>(Some(Duration::from_secs(3600)))?;
        let slot = Arc::new(ReplySlot::default());
        let (callback_context, callback_slot) = (context.clone(), slot.clone());
        let aio = Aio::new(move |aio, result| {
            let outcome = match result {
                AioResult::Send(Ok(())) => match callback_context.recv(&aio) {
                    Ok(()) => return,
                    Err(error) => Err(error),
                },
                AioResult::Send(Err((_, error))) => Err(error),
                AioResult::Recv(result) => result,
                AioResult::Sleep(_) => return,
            };
            callback_slot.fill(outcome);
        })?;
        socket.dial_async(&url_of(address))?;
        Ok(Self {
            address,
            socket,
            context,
            aio,
            slot,
            pending: None,
        })
    }

    /// Returns the address of the entry.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request; abandons an earlier one that is still waiting for its reply.
    ///
    /// # Errors
    ///
    /// Fails when the library refuses the message.
    pub async fn send(&mut self, bytes: &[u8]) -> Result<(), nng::Error> {
        if let Some(pending) = self.pending.take() {
            self.aio.cancel();
            // The callback runs exactly once for each request.
            let _ = pending.await;
        }
        let (sender, receiver) = oneshot::channel();
        self.slot.put(sender);
        self.context
            .send(&self.aio, Message::from(bytes))
            .map_err(|(_, error)| error)?;
        self.pending = Some(receiver);
        Ok(())
    }

    /// Waits for the reply to the latest request.
    ///
    /// May be called again after the returned future was dropped.
    ///
    /// # Errors
    ///
    /// Fails when no request is pending or the connection was closed.
    pub async fn receive(&mut self) -> Result<Vec<u8>, nng::Error> {
        let Some(pending) = &mut self.pending else {
            return Err(nng::Error::IncorrectState);
        };
        let outcome = pending.await;
        self.pending = None;
        match outcome {
            Ok(result) => result.map(|message| message.as_slice().to_vec()),
            Err(_) => Err(nng::Error::Closed),
        }
    }
}

impl Drop for ControlClient {
    fn drop(&mut self) {
        self.socket.close();
        // The library waits for a running callback when the last handle is
        // dropped, and the callback itself may hold the last one. Leaking one
        // handle costs a few hundred bytes per lost connection.
        std::mem::forget(self.aio.clone());
    }
}
