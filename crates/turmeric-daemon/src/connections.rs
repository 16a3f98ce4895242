//! Serves HTTP/1 within limits on the number of connections, on the memory of their buffers
//! and on the time to receive a request.

use std::collections::BTreeMap;
use std::io;
use std::pin::{Pin, pin};
use std::sync::atomic::{AtomicBool, AtomicI64, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::http::{HeaderValue, Method, Request, Response, StatusCode, header};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use hyper::server::conn::http1;
use hyper::service::{Service, service_fn};
use hyper_util::rt::TokioIo;
use hyper_util::server::graceful::{GracefulShutdown, Watcher};
use hyper_util::service::TowerToHyperService;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use spdlog::{debug, info};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use turmeric_admission::{
    CloseAction, CloseCause, ConnectionBudget, ConnectionBuffer, ConnectionId, ConnectionLedger,
    ConnectionPhase, ConnectionTimeouts, ConnectionVictim,
};
use turmeric_platform::RequestLimits;
use turmeric_types::{MemorySize, MonoTime};

use crate::clock::ProcessClock;

/// Wait after a failure to accept a connection, for example because no descriptor is free.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Time between two checks of the connections' deadlines.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// Added to the timeouts of a connection: what a client sends just within a limit is still on its
/// way, and a connection that is closed then loses the request.
const TIMEOUT_SLACK: Duration = Duration::from_secs(1);

/// Time for a client to read a last response before its connection is closed; with the interval
/// of the checks at most a second.
const LINGER_TIMEOUT: Duration = Duration::from_millis(750);

/// Minimum time between two log lines about closed connections.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Size by which the HTTP library grows its read buffer.
const READ_STEP: usize = 8192;

/// Size of the segments of a body's buffer, in bytes. Segments of one size are reused after
/// they are freed, while buffers that double leave gaps in the heap.
const SEGMENT_BYTES: usize = 16 << 10;

/// Retry-After of a request that is refused while its body is received, in seconds.
const RETRY_AFTER_SECONDS: u64 = 1;

/// Bytes that are discarded at a time while a connection is closed.
const DISCARD_BYTES: usize = 4096;

/// Connections of a listener that only processes of the deployment use.
const INTERNAL_CONNECTIONS: usize = 64;

/// Memory of the buffers of such a listener: a read buffer for each connection.
const INTERNAL_MEMORY: MemorySize = MemorySize::new(1 << 20);

/// Returns the budgets of a listener that only processes of the deployment use.
pub(crate) fn internal_budget() -> ConnectionBudget {
    ConnectionBudget {
        memory: INTERNAL_MEMORY,
        connections: INTERNAL_CONNECTIONS,
    }
}

/// Idle time of a connection of such a listener: metrics are read at intervals up to a minute,
/// over connections that are kept.
const INTERNAL_IDLE_TIMEOUT: Duration = Duration::from_secs(120);

/// Returns the limits of a request at a listener that only processes of the deployment use.
pub(crate) fn internal_limits() -> RequestLimits {
    RequestLimits {
        idle_timeout: INTERNAL_IDLE_TIMEOUT,
        ..RequestLimits::default()
    }
}

/// All causes, in the order of the counts in the log line.
const CAUSES: [CloseCause; 7] = [
    CloseCause::ConnectionLimit,
    CloseCause::ByteBudget,
    CloseCause::HeadTimeout,
    CloseCause::IdleTimeout,
    CloseCause::BodyStalled,
    CloseCause::HeadTooLarge,
    CloseCause::BodyTooLarge,
];

fn cause_label(cause: CloseCause) -> &'static str {
    match cause {
        CloseCause::ConnectionLimit => "connection_limit",
        CloseCause::ByteBudget => "byte_budget",
        CloseCause::HeadTimeout => "head_timeout",
        CloseCause::IdleTimeout => "idle_timeout",
        CloseCause::BodyStalled => "body_stalled",
        CloseCause::HeadTooLarge => "head_too_large",
        CloseCause::BodyTooLarge => "body_too_large",
    }
}

/// Cause of an event, or of a wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct CauseLabels {
    pub(crate) cause: &'static str,
}

/// Metrics of all listeners of a process, and the log line about closed connections.
#[derive(Debug, Default)]
pub(crate) struct ConnectionMetrics {
    /// Connections closed because of a limit, by cause.
    pub(crate) closed: Family<CauseLabels, Counter<u64, AtomicU64>>,
    /// Open connections.
    pub(crate) open: Gauge<i64, AtomicI64>,
    /// Memory of the connections' buffers, in bytes.
    pub(crate) buffered_bytes: Gauge<i64, AtomicI64>,
    unlogged: Mutex<UnloggedCounts>,
}

/// Closed connections since the last log line.
#[derive(Debug, Default)]
struct UnloggedCounts {
    counts: [u64; CAUSES.len()],
    logged_at: MonoTime,
}

impl ConnectionMetrics {
    fn unlogged(&self) -> MutexGuard<'_, UnloggedCounts> {
        self.unlogged.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn count(&self, cause: CloseCause) {
        let cause_label = cause_label(cause);
        self.closed
            .get_or_create(&CauseLabels { cause: cause_label })
            .inc();
        self.unlogged().counts[cause as usize] += 1;
    }

    /// Returns whether connections were closed since the previous log line.
    fn has_unlogged(&self) -> bool {
        self.unlogged().counts.iter().any(|count| *count > 0)
    }

    /// Logs the counts since the previous line, if there are any and that line is a second old.
    fn log_if_due(&self, now: MonoTime) {
        if !self.has_unlogged() {
            return;
        }
        let mut unlogged = self.unlogged();
        if now.since(unlogged.logged_at) < LOG_INTERVAL {
            return;
        }
        let counts = std::mem::take(&mut unlogged.counts);
        unlogged.logged_at = now;
        drop(unlogged);
        let count = |cause: CloseCause| counts[cause as usize];
        info!("connections were closed", kv: {
            connection_limit = count(CloseCause::ConnectionLimit),
            byte_budget = count(CloseCause::ByteBudget),
            head_timeout = count(CloseCause::HeadTimeout),
            idle_timeout = count(CloseCause::IdleTimeout),
            body_stalled = count(CloseCause::BodyStalled),
            head_too_large = count(CloseCause::HeadTooLarge),
            body_too_large = count(CloseCause::BodyTooLarge)
        });
    }
}

/// Returns the limits of a request that begins now.
type LimitSource = Box<dyn Fn() -> RequestLimits + Send + Sync>;

/// Called with each refusal that is answered before the request reaches the router.
type RefusalObserver = Box<dyn Fn(&Method, StatusCode) + Send + Sync>;

/// Limits of a listener and the state of its connections.
///
/// The lock is held for one decision at a time and never across an await.
pub(crate) struct ConnectionHub {
    state: Mutex<HubState>,
    limits: LimitSource,
    refusal_observer: Option<RefusalObserver>,
    clock: ProcessClock,
    metrics: Arc<ConnectionMetrics>,
    /// Notified when a connection is opened.
    opened: Notify,
}

struct HubState {
    ledger: ConnectionLedger,
    connections: BTreeMap<ConnectionId, Arc<HubConnection>>,
    last_id: u64,
}

/// State that the task of a connection shares with the tasks that may close it.
struct HubConnection {
    id: ConnectionId,
    hub: Arc<ConnectionHub>,
    /// Notified when the connection is to be closed at once.
    closing: Notify,
    /// Notified when the request whose body is being received is to be refused.
    refusing: Notify,
    /// The body that is being received; [`None`] if its memory was taken for other requests.
    body: Mutex<Option<BodyBuffer>>,
    /// The socket after the last response, until the client closes its side.
    lingering: Mutex<Option<TcpStream>>,
    /// The router has returned a response that is not yet sent.
    is_answered: AtomicBool,
    /// The head of a request was received and its response is not yet sent.
    is_request_open: AtomicBool,
}

/// A body that is being received, in segments.
#[derive(Default)]
struct BodyBuffer {
    segments: Vec<Vec<u8>>,
    length: usize,
    capacity: usize,
}

impl BodyBuffer {
    /// Returns the free part of the last segment.
    fn free(&self) -> usize {
        self.capacity - self.length
    }

    /// Adds a segment.
    fn grow(&mut self, size: usize) {
        self.segments.push(Vec::with_capacity(size));
        self.capacity += size;
    }

    /// Copies bytes into the last segment; returns how many fitted.
    fn fill(&mut self, data: &[u8]) -> usize {
        let count = data.len().min(self.free());
        if let Some(segment) = self.segments.last_mut() {
            segment.extend_from_slice(&data[..count]);
            self.length += count;
        }
        count
    }

    fn into_bytes(mut self) -> Bytes {
        if self.segments.len() == 1 {
            return Bytes::from(self.segments.remove(0));
        }
        Bytes::from(self.segments.concat())
    }
}

/// Why a body was not received.
enum BodyError {
    TooLarge,
    Evicted,
    Cut,
}

fn timeouts(limits: &RequestLimits) -> ConnectionTimeouts {
    ConnectionTimeouts {
        header: limits.header_timeout.saturating_add(TIMEOUT_SLACK),
        idle: limits.idle_timeout.saturating_add(TIMEOUT_SLACK),
    }
}

impl ConnectionHub {
    /// Creates the state of a listener without connections.
    pub(crate) fn new(
        budget: ConnectionBudget,
        limits: impl Fn() -> RequestLimits + Send + Sync + 'static,
        clock: ProcessClock,
        metrics: Arc<ConnectionMetrics>,
    ) -> Self {
        Self {
            state: Mutex::new(HubState {
                ledger: ConnectionLedger::new(budget),
                connections: BTreeMap::new(),
                last_id: 0,
            }),
            limits: Box::new(limits),
            refusal_observer: None,
            clock,
            metrics,
            opened: Notify::new(),
        }
    }

    /// Calls `observer` with each refusal of a body.
    pub(crate) fn with_refusal_observer(
        mut self,
        observer: impl Fn(&Method, StatusCode) + Send + Sync + 'static,
    ) -> Self {
        self.refusal_observer = Some(Box::new(observer));
        self
    }

    /// Changes the ledger, closes the victims of the change and updates the gauges.
    fn update<T>(
        &self,
        change: impl FnOnce(&mut HubState, MonoTime) -> (T, Vec<ConnectionVictim>),
    ) -> T {
        let now = self.clock.now();
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let earlier = state.totals();
        let (result, victims) = change(&mut state, now);
        for victim in victims {
            state.evict(victim);
            if let Some(cause) = victim.cause {
                self.metrics.count(cause);
            }
        }
        let totals = state.totals();
        drop(state);
        if totals.0 != earlier.0 {
            self.metrics.open.inc_by(totals.0 - earlier.0);
        }
        if totals.1 != earlier.1 {
            self.metrics.buffered_bytes.inc_by(totals.1 - earlier.1);
        }
        result
    }

    /// Adds a connection; returns [`None`] if it is refused.
    fn open(self: &Arc<Self>) -> Option<Arc<HubConnection>> {
        let timeouts = timeouts(&(self.limits)());
        self.update(|state, now| {
            state.last_id += 1;
            let connection = Arc::new(HubConnection {
                id: ConnectionId(state.last_id),
                hub: Arc::clone(self),
                closing: Notify::new(),
                refusing: Notify::new(),
                body: Mutex::new(None),
                lingering: Mutex::new(None),
                is_answered: AtomicBool::new(false),
                is_request_open: AtomicBool::new(false),
            });
            let victims = state.ledger.open(connection.id, timeouts, now);
            let is_refused = victims.iter().any(|it| it.connection == connection.id);
            if is_refused {
                return (None, victims);
            }
            state
                .connections
                .insert(connection.id, Arc::clone(&connection));
            (Some(connection), victims)
        })
    }

    /// Returns whether no connection is open.
    fn is_unused(&self) -> bool {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.ledger.connections() == 0
    }

    /// Closes connections whose deadline has passed, until the future is dropped.
    async fn sweep(&self) {
        loop {
            // An idle process is not woken up.
            if self.is_unused() && !self.metrics.has_unlogged() {
                self.opened.notified().await;
            }
            tokio::time::sleep(SWEEP_INTERVAL).await;
            self.update(|state, now| {
                let victims = state.ledger.take_overdue(now, now.after(LINGER_TIMEOUT));
                ((), victims)
            });
            self.metrics.log_if_due(self.clock.now());
        }
    }
}

impl HubState {
    /// Returns the number of connections and the memory of their buffers.
    fn totals(&self) -> (i64, i64) {
        let bytes = self.ledger.memory().as_bytes();
        (self.ledger.connections() as i64, bytes as i64)
    }

    fn evict(&mut self, victim: ConnectionVictim) {
        match victim.action {
            CloseAction::Close => {
                if let Some(connection) = self.connections.remove(&victim.connection) {
                    drop(connection.body().take());
                    connection.closing.notify_one();
                }
            }
            CloseAction::Refuse => {
                if let Some(connection) = self.connections.get(&victim.connection) {
                    // The memory is needed now, not only when the connection's task runs.
                    drop(connection.body().take());
                    connection.refusing.notify_one();
                }
            }
        }
    }
}

impl HubConnection {
    fn body(&self) -> MutexGuard<'_, Option<BodyBuffer>> {
        self.body.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lingering(&self) -> MutexGuard<'_, Option<TcpStream>> {
        let lingering = self.lingering.lock();
        lingering.unwrap_or_else(PoisonError::into_inner)
    }

    /// Discards what the client still sends until it closes its side. Closing a socket with
    /// unread bytes would reset the connection, and the client would lose a response that says
    /// why it was refused.
    async fn linger(&self) {
        let Some(socket) = self.lingering().take() else {
            return;
        };
        let mut discarded = vec![0; DISCARD_BYTES];
        while socket.readable().await.is_ok() {
            match socket.try_read(&mut discarded) {
                Ok(0) => return,
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
    }

    fn begin(&self, phase: ConnectionPhase) {
        let timeouts = timeouts(&(self.hub.limits)());
        self.hub.update(|state, now| {
            state.ledger.begin(self.id, phase, timeouts, now);
            if phase != ConnectionPhase::Idle {
                return ((), Vec::new());
            }
            // The response is finished, so nothing of the request is in memory.
            let none = MemorySize::new(0);
            let victims = state
                .ledger
                .charge(self.id, ConnectionBuffer::Body, none, now);
            ((), victims)
        });
    }

    /// Records that the connection is closed soon, whatever the client does.
    fn begin_closing(&self) {
        self.hub.update(|state, now| {
            state.ledger.refuse(self.id, now.after(LINGER_TIMEOUT));
            ((), Vec::new())
        });
    }

    /// Charges the buffer of a body; returns whether the body may still be received.
    fn charge_body(&self, capacity: usize) -> bool {
        self.hub.update(|state, now| {
            let victims = state.ledger.charge(
                self.id,
                ConnectionBuffer::Body,
                MemorySize::new(capacity as u64),
                now.after(LINGER_TIMEOUT),
            );
            let is_refused = victims.iter().any(|it| it.connection == self.id);
            (!is_refused, victims)
        })
    }

    /// Receives a body into one buffer. Frames are copied, because a frame of one byte keeps
    /// the whole read buffer that it arrived in.
    async fn receive_body(&self, mut body: Incoming) -> Result<Bytes, BodyError> {
        let limit = (self.hub.limits)().body_bytes;
        if body.size_hint().lower() > limit as u64 {
            return Err(BodyError::TooLarge);
        }
        self.begin(ConnectionPhase::Body);
        *self.body() = Some(BodyBuffer::default());
        loop {
            let frame = tokio::select! {
                biased;
                () = self.refusing.notified() => return Err(BodyError::Evicted),
                frame = body.frame() => frame,
            };
            let frame = match frame {
                None => break,
                Some(Ok(frame)) => frame,
                Some(Err(_)) => return Err(BodyError::Cut),
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            // Both the announced rest and the limit bound what a segment can be filled with.
            let announced = body.size_hint().upper().map_or(limit, |rest| rest as usize);
            self.copy_data(&data, announced, limit)?;
        }
        // An eviction before this phase begins has taken the buffer.
        self.begin(ConnectionPhase::Serving);
        let buffer = self.body().take().ok_or(BodyError::Evicted)?;
        Ok(buffer.into_bytes())
    }

    /// Copies data of a body into its buffer, after which at most `rest` bytes follow.
    fn copy_data(&self, mut data: &[u8], rest: usize, limit: usize) -> Result<(), BodyError> {
        loop {
            let (length, free, capacity) = {
                let mut buffer = self.body();
                let buffer = buffer.as_mut().ok_or(BodyError::Evicted)?;
                let count = buffer.fill(data);
                data = &data[count..];
                (buffer.length, buffer.free(), buffer.capacity)
            };
            if data.is_empty() {
                return Ok(());
            }
            if length + data.len() > limit {
                return Err(BodyError::TooLarge);
            }
            debug_assert_eq!(free, 0, "data is left only when the segment is full");
            let rest = data.len().saturating_add(rest).min(limit - length);
            let size = rest.min(SEGMENT_BYTES);
            if !self.charge_body(capacity + size) {
                return Err(BodyError::Evicted);
            }
            let mut buffer = self.body();
            buffer.as_mut().ok_or(BodyError::Evicted)?.grow(size);
        }
    }

    /// Returns the response to a request whose body was not received.
    fn refuse(&self, method: &Method, error: &BodyError) -> Response<Body> {
        drop(self.body().take());
        self.begin_closing();
        let status = match error {
            BodyError::TooLarge => {
                self.hub.metrics.count(CloseCause::BodyTooLarge);
                StatusCode::PAYLOAD_TOO_LARGE
            }
            BodyError::Evicted => StatusCode::SERVICE_UNAVAILABLE,
            BodyError::Cut => StatusCode::BAD_REQUEST,
        };
        if let Some(observer) = &self.hub.refusal_observer {
            observer(method, status);
        }
        let mut response = Response::new(Body::empty());
        *response.status_mut() = status;
        let headers = response.headers_mut();
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        if status == StatusCode::SERVICE_UNAVAILABLE {
            headers.insert(header::RETRY_AFTER, HeaderValue::from(RETRY_AFTER_SECONDS));
        }
        response
    }

    /// Receives the body of a request and passes the request to the router.
    async fn answer(
        &self,
        request: Request<Incoming>,
        router: TowerToHyperService<Router>,
    ) -> Result<Response<Body>, std::convert::Infallible> {
        self.is_request_open.store(true, Ordering::Relaxed);
        let (parts, body) = request.into_parts();
        let body = if body.is_end_stream() {
            self.begin(ConnectionPhase::Serving);
            Body::empty()
        } else {
            match self.receive_body(body).await {
                Ok(body) => Body::from(body),
                Err(error) => return Ok(self.refuse(&parts.method, &error)),
            }
        };
        let response = router.call(Request::from_parts(parts, body)).await;
        self.is_answered.store(true, Ordering::Relaxed);
        response
    }
}

/// Removes a connection from its hub when its task ends.
struct OpenGuard(Arc<HubConnection>);

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.hub.update(|state, _| {
            state.ledger.close(self.0.id);
            state.connections.remove(&self.0.id);
            ((), Vec::new())
        });
    }
}

/// Socket of a connection that reports received bytes to the hub.
struct LimitedStream {
    /// The socket; [`None`] after its sending half was closed.
    inner: Option<TcpStream>,
    connection: Arc<HubConnection>,
    /// Bytes of the head that is being received.
    head_bytes: usize,
    /// Charged size of the read buffer.
    read_capacity: usize,
    /// Bytes were read since the socket was last waited for.
    has_read: bool,
}

impl LimitedStream {
    fn new(inner: TcpStream, connection: Arc<HubConnection>) -> Self {
        Self {
            inner: Some(inner),
            connection,
            head_bytes: 0,
            read_capacity: 0,
            has_read: false,
        }
    }

    /// Returns the socket.
    fn socket(&mut self) -> io::Result<Pin<&mut TcpStream>> {
        let inner = self.inner.as_mut().ok_or(io::ErrorKind::NotConnected)?;
        Ok(Pin::new(inner))
    }

    /// Records that `count` bytes were read, and charges the read buffer.
    fn record_read(&mut self, count: usize) {
        let connection = Arc::clone(&self.connection);
        let id = connection.id;
        connection.hub.update(|state, now| {
            let phase = state.ledger.phase(id);
            if phase == Some(ConnectionPhase::Idle) {
                self.head_bytes = 0;
                let timeouts = timeouts(&(connection.hub.limits)());
                state.ledger.begin(id, ConnectionPhase::Head, timeouts, now);
            } else {
                state.ledger.record_progress(id, now);
            }
            let needed = match phase {
                Some(ConnectionPhase::Idle | ConnectionPhase::Head) => {
                    let needed = self.head_bytes + READ_STEP;
                    self.head_bytes += count;
                    needed
                }
                // One step of a body is filled while the one before is copied.
                _ => 2 * READ_STEP,
            };
            ((), self.charge_read(state, needed, now))
        });
        self.has_read = true;
    }

    /// Charges the step by which the library grows its buffer when a head is not complete.
    fn record_wait(&mut self) {
        let connection = Arc::clone(&self.connection);
        connection.hub.update(|state, now| {
            if state.ledger.phase(connection.id) != Some(ConnectionPhase::Head) {
                return ((), Vec::new());
            }
            let needed = self.head_bytes + READ_STEP;
            ((), self.charge_read(state, needed, now))
        });
    }

    fn charge_read(
        &mut self,
        state: &mut HubState,
        needed: usize,
        now: MonoTime,
    ) -> Vec<ConnectionVictim> {
        let needed = needed.next_power_of_two();
        if needed <= self.read_capacity {
            return Vec::new();
        }
        self.read_capacity = needed;
        state.ledger.charge(
            self.connection.id,
            ConnectionBuffer::Read,
            MemorySize::new(needed as u64),
            now.after(LINGER_TIMEOUT),
        )
    }

    /// Records the end of a response.
    fn record_answer_end(&self) {
        if self.connection.is_answered.swap(false, Ordering::Relaxed) {
            let is_request_open = &self.connection.is_request_open;
            is_request_open.store(false, Ordering::Relaxed);
            self.connection.begin(ConnectionPhase::Idle);
        }
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let earlier = buffer.filled().len();
        let poll = this.socket()?.poll_read(context, buffer);
        let count = buffer.filled().len() - earlier;
        if count > 0 {
            this.record_read(count);
        } else if poll.is_pending() && this.has_read {
            this.has_read = false;
            if !this.connection.is_request_open.load(Ordering::Relaxed) {
                this.record_wait();
            }
        }
        poll
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let poll = this.socket()?.poll_write(context, bytes);
        if poll.is_pending() {
            // A client that does not read its response must not keep the connection open.
            this.record_answer_end();
        }
        poll
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let poll = this.socket()?.poll_write_vectored(context, slices);
        if poll.is_pending() {
            this.record_answer_end();
        }
        poll
    }

    fn is_write_vectored(&self) -> bool {
        self.inner
            .as_ref()
            .is_some_and(AsyncWrite::is_write_vectored)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let poll = this.socket()?.poll_flush(context);
        if poll.is_ready() {
            this.record_answer_end();
        }
        poll
    }

    /// Closes the sending half, and hands the socket over to be read until the client closes its
    /// side.
    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.inner.is_some() {
            std::task::ready!(this.socket()?.poll_shutdown(context))?;
            this.connection.begin_closing();
            *this.connection.lingering() = this.inner.take();
        }
        Poll::Ready(Ok(()))
    }
}

/// Accepts the next connection; waits after a failure.
pub(crate) async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
            Err(error) => {
                debug!("accepting a connection failed: {error}");
                tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await;
            }
        }
    }
}

/// Serves `router` within the limits of `hub` until `stop` is ready, and then until all open
/// requests are answered.
pub(crate) async fn serve_limited(
    listener: TcpListener,
    router: Router,
    hub: Arc<ConnectionHub>,
    stop: impl Future<Output = ()>,
) {
    let serve = async {
        let shutdown = GracefulShutdown::new();
        let mut stop = pin!(stop);
        loop {
            let stream = tokio::select! {
                biased;
                () = &mut stop => break,
                stream = accept(&listener) => stream,
            };
            if let Err(error) = stream.set_nodelay(true) {
                debug!("cannot set TCP_NODELAY on an accepted connection: {error}");
            }
            if let Some(connection) = hub.open() {
                hub.opened.notify_one();
                let router = TowerToHyperService::new(router.clone());
                let http = open_http(stream, &connection, router, shutdown.watcher());
                tokio::spawn(serve_connection(http, connection));
            }
        }
        drop(listener);
        shutdown.shutdown().await;
    };
    tokio::select! {
        () = serve => {}
        () = hub.sweep() => {}
    }
}

/// Creates the future that serves the requests of a connection.
fn open_http(
    stream: TcpStream,
    connection: &Arc<HubConnection>,
    router: TowerToHyperService<Router>,
    watcher: Watcher,
) -> Pin<Box<impl Future<Output = hyper::Result<()>> + use<>>> {
    let limits = (connection.hub.limits)();
    let stream = LimitedStream::new(stream, Arc::clone(connection));
    let connection = Arc::clone(connection);
    let service = service_fn(move |request| {
        let connection = Arc::clone(&connection);
        let router = router.clone();
        async move { connection.answer(request, router).await }
    });
    // The timeouts are those of the hub: the library's timeout of a head also runs while a
    // connection is idle. Boxed, because its state is freed before the connection lingers.
    let http = http1::Builder::new()
        .max_buf_size(limits.head_bytes)
        .header_read_timeout(None)
        .serve_connection(TokioIo::new(stream), service);
    Box::pin(watcher.watch(http))
}

/// Serves the requests of a connection until it is closed.
async fn serve_connection(
    http: impl Future<Output = hyper::Result<()>> + Unpin,
    connection: Arc<HubConnection>,
) {
    let _guard = OpenGuard(Arc::clone(&connection));
    let serve = async {
        let result = http.await;
        if result.is_err_and(|error| error.is_parse_too_large()) {
            connection.hub.metrics.count(CloseCause::HeadTooLarge);
        }
        connection.linger().await;
    };
    tokio::select! {
        biased;
        () = connection.closing.notified() => {}
        () = serve => {}
    }
}
