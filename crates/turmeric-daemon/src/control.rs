//! Control messages between agents and entries, over `nng`.

mod client;
mod server;

pub use client::ControlClient;
pub use server::{ControlServer, IncomingMessage, Responder};

/// Maximum size of a control message, in bytes; a larger one closes its connection.
const MESSAGE_LIMIT_BYTES: usize = 4 << 20;

/// Returns the `nng` URL of an address.
fn url_of(address: std::net::SocketAddr) -> String {
    format!("tcp://{address}")
}
