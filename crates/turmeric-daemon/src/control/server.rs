//! The entry's side of the control connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use nng::options::{Options, RecvMaxSize};
use nng::{Aio, AioResult, Context, Message, Protocol, Socket};
use tokio::sync::mpsc;

use super::{MESSAGE_LIMIT_BYTES, url_of};

/// Minimum number of contexts that wait for a message; more are opened when fewer wait.
const IDLE_CONTEXTS: usize = 16;

/// A message from a peer, which can be answered once.
#[derive(Debug)]
pub struct IncomingMessage {
    message: Message,
    /// Sends the reply to the message.
    pub responder: Responder,
}

impl IncomingMessage {
    /// Returns the bytes of the message.
    pub fn bytes(&self) -> &[u8] {
        &self.message
    }

    /// Closes the connection over which the message arrived.
    pub fn close_connection(&mut self) {
        if let Some(pipe) = self.message.pipe() {
            pipe.close();
        }
    }
}

/// The right to reply to one message; dropping it sends no reply.
#[derive(Debug)]
pub struct Responder {
    slot: Option<ContextSlot>,
}

impl Responder {
    /// Sends the reply.
    pub fn send(mut self, bytes: &[u8]) {
        if let Some(slot) = self.slot.take() {
            let message = Message::from(bytes);
            if let Err((_, error)) = slot.context.send(&slot.aio, message) {
                spdlog::warn!("cannot send a reply over a control connection", kv: {
                    error = error.to_string(),
                });
                slot.wait();
            }
        }
    }
}

impl Drop for Responder {
    fn drop(&mut self) {
        if let Some(slot) = self.slot.take() {
            slot.wait();
        }
    }
}

/// A context of the socket, which handles one message at a time.
#[derive(Clone, Debug)]
struct ContextSlot {
    context: Context,
    aio: Aio,
    idle: Arc<AtomicUsize>,
}

impl ContextSlot {
    /// Starts to wait for the next message.
    fn wait(&self) {
        if self.context.recv(&self.aio).is_ok() {
            self.idle.fetch_add(1, Ordering::SeqCst);
        }
    }
}

/// The entry's listening socket for control messages.
#[derive(Clone, Debug)]
pub struct ControlServer {
    socket: Socket,
    idle: Arc<AtomicUsize>,
    sender: mpsc::UnboundedSender<IncomingMessage>,
}

impl ControlServer {
    /// Listens at `address`; messages arrive at the returned receiver.
    ///
    /// # Errors
    ///
    /// Fails when the port is in use or the library cannot open a socket.
    pub fn listen(
        address: SocketAddr,
    ) -> Result<(Self, mpsc::UnboundedReceiver<IncomingMessage>), nng::Error> {
        let socket = Socket::new(Protocol::Rep0)?;
        socket.set_opt::<RecvMaxSize>(MESSAGE_LIMIT_BYTES)?;
        let (sender, receiver) = mpsc::unbounded_channel();
        let server = Self {
            socket,
            idle: Arc::new(AtomicUsize::new(0)),
            sender,
        };
        server.socket.listen(&url_of(address))?;
        server.open_idle_contexts()?;
        Ok((server, receiver))
    }

    /// Opens contexts until at least [`IDLE_CONTEXTS`] wait for a message.
    fn open_idle_contexts(&self) -> Result<(), nng::Error> {
        while self.idle.load(Ordering::SeqCst) < IDLE_CONTEXTS {
            let context = Context::new(&self.socket)?;
            let server = self.clone();
            let callback_context = context.clone();
            let aio = Aio::new(move |aio, result| {
                server.handle(&aio, &callback_context, result);
            })?;
            let slot = ContextSlot {
                context,
                aio,
                idle: self.idle.clone(),
            };
            slot.wait();
            // The callback owns the context; the aio must outlive this scope.
            std::mem::forget(slot);
        }
        Ok(())
    }

    /// Handles the end of a receive or send operation of a context.
    fn handle(&self, aio: &Aio, context: &Context, result: AioResult) {
        let slot = ContextSlot {
            context: context.clone(),
            aio: aio.clone(),
            idle: self.idle.clone(),
        };
        match result {
            AioResult::Recv(Ok(message)) => {
                self.idle.fetch_sub(1, Ordering::SeqCst);
                let responder = Responder { slot: Some(slot) };
                // The receiver is dropped only while the process stops.
                let _ = self.sender.send(IncomingMessage { message, responder });
                if let Err(error) = self.open_idle_contexts() {
                    spdlog::warn!("cannot open another context for control messages", kv: {
                        error = error.to_string(),
                    });
                }
            }
            AioResult::Recv(Err(nng::Error::Closed)) => {}
            AioResult::Recv(Err(_)) => {
                self.idle.fetch_sub(1, Ordering::SeqCst);
                slot.wait();
            }
            AioResult::Send(_) | AioResult::Sleep(_) => slot.wait(),
        }
    }

    /// Stops listening and closes all connections.
    pub fn close(&self) {
        self.socket.close();
    }
}
