//! A fleet of fake workers that accept each request, call back with its result, and answer load queries.
#![allow(dead_code)]
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Mutex;

use crate::sockets::{Message, read};

/// How often a worker tries to send a callback, as the platform's protocol says.
const CALLBACK_TRIES: u32 = 10;
/// The time before a callback is tried again.
const CALLBACK_RETRY_DELAY: Duration = Duration::from_millis(50);
const LOAD_REPORT: &str = r#"{"x0":3.5,"waiting":0}"#;

/// What the workers of a fleet have in common.
struct Shared {
    work_time: Duration,
    /// The minimum length of a result, in bytes.
    result_bytes: usize,
    /// The scheduler's address, to which callbacks are sent.
    scheduler: std::sync::OnceLock<SocketAddr>,
    accepted_connections: AtomicUsize,
    load_queries: AtomicUsize,
    /// The callbacks that got another response than 200 or 204.
    refused_callbacks: AtomicUsize,
}

/// A fleet of fake workers.
pub(crate) struct Fleet {
    pub addresses: Vec<SocketAddr>,
    shared: Arc<Shared>,
}

impl Fleet {
    /// Starts a fleet whose workers take `work_time` for each request.
    pub(crate) async fn start(size: usize, work_time: Duration) -> Fleet {
        Fleet::start_with_results(size, work_time, 0).await
    }
    /// Starts a fleet whose workers take `work_time` for each request and whose results have at least
    /// `result_bytes` bytes.
    pub(crate) async fn start_with_results(size: usize, work_time: Duration, result_bytes: usize) -> Fleet {
        let shared = Arc::new(Shared {
            work_time,
            result_bytes,
            scheduler: std::sync::OnceLock::new(),
            accepted_connections: AtomicUsize::new(0),
            load_queries: AtomicUsize::new(0),
            refused_callbacks: AtomicUsize::new(0),
        });
        let mut addresses = Vec::new();
        for index in 0..size {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
            addresses.push(listener.local_addr().expect("a local address"));
            let name = format!("r{index}");
            let worker = Arc::new(Worker {
                name,
                shared: Arc::clone(&shared),
                callback_connections: Mutex::default(),
            });
            tokio::spawn(worker.accept(listener));
        }
        Fleet { addresses, shared }
    }
    /// Tells the workers where to send callbacks.
    pub(crate) fn call_back_to(&self, scheduler: SocketAddr) {
        self.shared.scheduler.set(scheduler).expect("a fleet has one scheduler");
    }
    /// Returns how many connections the scheduler has opened to all workers.
    pub(crate) fn accepted_connections(&self) -> usize {
        self.shared.accepted_connections.load(Ordering::Relaxed)
    }
    /// Returns how many load queries all workers have received.
    pub(crate) fn load_queries(&self) -> usize {
        self.shared.load_queries.load(Ordering::Relaxed)
    }
    /// Returns how many callbacks got another response than 200 or 204.
    pub(crate) fn refused_callbacks(&self) -> usize {
        self.shared.refused_callbacks.load(Ordering::Relaxed)
    }
}

struct Worker {
    name: String,
    shared: Arc<Shared>,
    /// The idle connections to the scheduler on which the worker has sent callbacks.
    callback_connections: Mutex<Vec<BufReader<TcpStream>>>,
}

impl Worker {
    async fn accept(self: Arc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            self.shared.accepted_connections.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(Arc::clone(&self).serve(BufReader::new(stream)));
        }
    }

    async fn serve(self: Arc<Self>, mut stream: BufReader<TcpStream>) {
        while let Some(message) = read(&mut stream).await {
            if stream.write_all(self.respond(&message).as_bytes()).await.is_err() {
                return;
            }
        }
    }

    fn respond(self: &Arc<Self>, message: &Message) -> String {
        if message.first_line.starts_with("GET /-/load ") {
            self.shared.load_queries.fetch_add(1, Ordering::Relaxed);
            let length = LOAD_REPORT.len();
            return format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{LOAD_REPORT}");
        }
        if message.first_line.starts_with("POST ") {
            let id = message.headers["x-request-id"].clone();
            tokio::spawn(Arc::clone(self).run(id));
        }
        "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n".to_owned()
    }

    async fn run(self: Arc<Self>, id: String) {
        tokio::time::sleep(self.shared.work_time).await;
        let name = &self.name;
        let result = format!("{:r<1$}", format!("result of {id}"), self.shared.result_bytes);
        let body = format!(r#"{{"id":"{id}","from":"{name}","state":"done","result":"{result}"}}"#);
        let length = body.len();
        let callback =
            format!("POST /_jobs/news HTTP/1.1\r\nHost: s\r\nContent-Length: {length}\r\n\r\n{body}");
        for _ in 0..CALLBACK_TRIES {
            if self.send_callback(&callback).await.is_some() {
                return;
            }
            tokio::time::sleep(CALLBACK_RETRY_DELAY).await;
        }
    }

    /// Sends a callback on an idle connection, or on a new one; returns `None` if it got no response.
    async fn send_callback(&self, callback: &str) -> Option<()> {
        let scheduler = *self.shared.scheduler.get()?;
        let idle = self.callback_connections.lock().await.pop();
        let mut connection = match idle {
            Some(connection) => connection,
            None => BufReader::new(TcpStream::connect(scheduler).await.ok()?),
        };
        connection.write_all(callback.as_bytes()).await.ok()?;
        let response = read(&mut connection).await?;
        if !matches!(response.status(), 200 | 204) {
            self.shared.refused_callbacks.fetch_add(1, Ordering::Relaxed);
        }
        if response.headers.get("connection").is_none_or(|value| value != "close") {
            self.callback_connections.lock().await.push(connection);
        }
        Some(())
    }
}
