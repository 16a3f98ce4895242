//! A TCP relay whose open connections can go silent while new ones work, and
//! that can be cut for a while.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::post;
use axum::{Json, Router};
use clap::ArgMatches;
use eyre::Result;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

use crate::flags::value;

const BUFFER_BYTES: usize = 64 << 10;

/// Pause between two looks whether a cut is over.
const CUT_PAUSE: Duration = Duration::from_millis(50);

/// Connections opened before the present generation are silent.
#[derive(Clone, Default)]
struct SilenceMark {
    generation: Arc<AtomicU64>,
    /// Nothing is carried while this is set.
    is_cut: Arc<AtomicBool>,
}

pub(crate) async fn run(matches: &ArgMatches) -> Result<()> {
    let listen: SocketAddr = value(matches, "listen");
    let target: SocketAddr = value(matches, "target");
    let control: SocketAddr = value(matches, "control");
    let mark = SilenceMark::default();
    let router = Router::new()
        .route("/control", post(silence_connections))
        .route("/cut", post(cut))
        .with_state(mark.clone());
    let control = TcpListener::bind(control).await?;
    tokio::spawn(async move { axum::serve(control, router).await });
    let listener = TcpListener::bind(listen).await?;
    loop {
        let (client, _) = listener.accept().await?;
        let Ok(server) = TcpStream::connect(target).await else {
            continue;
        };
        let generation = mark.generation.load(Ordering::SeqCst);
        let (client_read, client_write) = client.into_split();
        let (server_read, server_write) = server.into_split();
        tokio::spawn(relay(client_read, server_write, mark.clone(), generation));
        tokio::spawn(relay(server_read, client_write, mark.clone(), generation));
    }
}

/// Makes every connection that is open now silent for good.
async fn silence_connections(State(mark): State<SilenceMark>) -> StatusCode {
    mark.generation.fetch_add(1, Ordering::SeqCst);
    StatusCode::OK
}

/// Carries nothing from now on, or goes on where it stopped.
async fn cut(State(mark): State<SilenceMark>, Json(is_cut): Json<bool>) -> StatusCode {
    mark.is_cut.store(is_cut, Ordering::SeqCst);
    StatusCode::OK
}

async fn relay(
    mut reader: OwnedReadHalf,
    mut writer: OwnedWriteHalf,
    mark: SilenceMark,
    generation: u64,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let Ok(length) = reader.read(&mut buffer).await else {
            return;
        };
        if mark.generation.load(Ordering::SeqCst) != generation {
            // Keep both sockets open and carry nothing any more.
            std::future::pending::<()>().await;
        }
        while mark.is_cut.load(Ordering::SeqCst) {
            tokio::time::sleep(CUT_PAUSE).await;
        }
        if length == 0 || writer.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
