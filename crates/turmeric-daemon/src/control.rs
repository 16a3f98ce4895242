//! Control messages between agents and entries, over `nng`.

mod client;
mod server;

pub use client::ControlClient;
pub use server::{ControlServer, IncomingMessage, Responder};

/// Largest control message, in bytes; a larger one ends its connection.
const MESSAGE_LIMIT_BYTES: usize = 4 << 20;

fn url_of(address: std::net::SocketAddr) -> String {
    format!("tcp://{address}")
}
