//! A small HTTP/1.1 client: one call on one connection.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Outcome of a call: status and body, or [`None`] without a complete response.
pub type Answer = Option<(u16, String)>;

/// Sends a request and reads the whole response within `timeout`.
pub async fn call(
    address: SocketAddr,
    method: &str,
    host: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> Answer {
    tokio::time::timeout(timeout, exchange(address, method, host, path, body))
        .await
        .ok()
        .flatten()
}

async fn exchange(address: SocketAddr, method: &str, host: &str, path: &str, body: &str) -> Answer {
    let mut stream = TcpStream::connect(address).await.ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).await.ok()?;
    stream.write_all(body.as_bytes()).await.ok()?;
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).await.ok()?;
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some((status, body.to_owned()))
}
