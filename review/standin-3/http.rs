//! HTTP/1.1 with blocking sockets: a server with a thread a connection, and one call.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

pub struct Request {
    pub method: String,
    /// Path without the query.
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let header = self.headers.iter().find(|(header, _)| header == name);
        header.map(|(_, value)| value.as_str())
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let field = self.query.iter().find(|(field, _)| field == name);
        field.map(|(_, value)| value.as_str())
    }
}

/// What a handler does with a request.
pub enum Reply {
    Answer(u16, String),
    /// The connection is closed without a response.
    Close,
    /// The response is lost, and nothing further is delivered on the connection.
    Silence,
}

/// Serves connections until the process ends.
pub fn serve(listener: TcpListener, handler: Arc<dyn Fn(&Request) -> Reply + Send + Sync>) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || serve_connection(stream, &*handler));
        }
    });
}

fn serve_connection(stream: TcpStream, handler: &dyn Fn(&Request) -> Reply) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        match handler(&request) {
            Reply::Answer(status, body) => {
                let head = format!(
                    "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                    body.len()
                );
                if writer.write_all((head + &body).as_bytes()).is_err() {
                    return;
                }
            }
            Reply::Close => return,
            Reply::Silence => {
                // The connection stays open until its peer closes it.
                let mut rest = Vec::new();
                let _ = reader.read_to_end(&mut rest);
                return;
            }
        }
    }
}

fn read_head(reader: &mut impl BufRead) -> Option<(String, Vec<(String, String)>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

fn read_body(reader: &mut impl BufRead, headers: &[(String, String)]) -> Option<String> {
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let length: usize = length.map_or(Some(0), |(_, value)| value.parse().ok())?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    String::from_utf8(body).ok()
}

fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let mut words = first.split(' ');
    let method = words.next()?.to_owned();
    let target = words.next()?;
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let query = query.split('&').filter_map(|field| field.split_once('='));
    let query = query.map(|(name, value)| (name.to_owned(), decode(value)));
    let query = query.collect();
    let path = path.to_owned();
    let body = read_body(reader, &headers)?;
    Some(Request {
        method,
        path,
        query,
        headers,
        body,
    })
}

/// Decodes percent escapes.
fn decode(value: &str) -> String {
    let bytes = value.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = (bytes[at] == b'%').then(|| value.get(at + 1..at + 3));
        match code
            .flatten()
            .and_then(|hex| u8::from_str_radix(hex, 16).ok())
        {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Sends a request over a connection of its own; returns [`None`] without a whole response.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.set_write_timeout(Some(timeout)).ok()?;
    let _ = stream.set_nodelay(true);
    let mut writer = stream.try_clone().ok()?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n\
         X-Deadline-Milliseconds: {}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        timeout.as_millis(),
        body.len()
    );
    writer.write_all(request.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let body = read_body(&mut reader, &headers)?;
    Some((status, body))
}
