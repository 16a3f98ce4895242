//! The agent's end of a control connection.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use nng::options::protocol::reqrep::ResendTime;
use nng::options::{Options, ReconnectMaxTime, ReconnectMinTime, RecvMaxSize};
use nng::{Aio, AioResult, Context, Message, Protocol, Socket};
use tokio::sync::oneshot;

use super::{MESSAGE_LIMIT_BYTES, url_of};

/// First and longest pause before a lost connection is opened again.
const RECONNECT_PAUSES: (Duration, Duration) =
    (Duration::from_millis(50), Duration::from_millis(1000));

type AnswerSender = oneshot::Sender<Result<Message, nng::Error>>;

/// Where the callback of a connection puts the answer.
#[derive(Debug, Default)]
struct AnswerSlot {
    sender: Mutex<Option<AnswerSender>>,
}

impl AnswerSlot {
    fn put(&self, sender: AnswerSender) {
        *self.sender.lock().unwrap_or_else(PoisonError::into_inner) = Some(sender);
    }

    fn fill(&self, outcome: Result<Message, nng::Error>) {
        let sender = self
            .sender
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        if let Some(sender) = sender {
            // The receiver is gone when the request was given up.
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
    slot: Arc<AnswerSlot>,
    pending: Option<oneshot::Receiver<Result<Message, nng::Error>>>,
}

impl ControlClient {
    /// Opens a connection to `address` in the background.
    ///
    /// # Errors
    ///
    /// Fails when the library cannot open a socket.
    pub fn open(address: SocketAddr) -> Result<Self, nng::Error> {
        let socket = Socket::new(Protocol::Req0)?;
        socket.set_opt::<RecvMaxSize>(MESSAGE_LIMIT_BYTES)?;
        socket.set_opt::<ReconnectMinTime>(Some(RECONNECT_PAUSES.0))?;
        socket.set_opt::<ReconnectMaxTime>(Some(RECONNECT_PAUSES.1))?;
        let context = Context::new(&socket)?;
        // Lost requests are found by the caller, which builds a fresh one.
        context.set_opt::<ResendTime>(Some(Duration::from_secs(3600)))?;
        let slot = Arc::new(AnswerSlot::default());
        let (context_of_callback, slot_of_callback) = (context.clone(), slot.clone());
        let aio = Aio::new(move |aio, result| {
            let outcome = match result {
                AioResult::Send(Ok(())) => match context_of_callback.recv(&aio) {
                    Ok(()) => return,
                    Err(error) => Err(error),
                },
                AioResult::Send(Err((_, error))) => Err(error),
                AioResult::Recv(result) => result,
                AioResult::Sleep(_) => return,
            };
            slot_of_callback.fill(outcome);
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

    /// Sends a request; one that still waits for its answer is given up.
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

    /// Waits for the answer to the last request; may be called again after
    /// it was given up waiting.
    ///
    /// # Errors
    ///
    /// Fails when the connection was closed.
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
        // dropped, and the callback itself may hold the last one. Keeping one
        // handle for good costs a few hundred bytes per lost connection.
        std::mem::forget(self.aio.clone());
    }
}
