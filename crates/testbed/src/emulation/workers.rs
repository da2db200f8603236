//! The workers' side on sockets: they listen, take hand-overs, and are refused, silent or reset as
//! their state has it.
use std::cell::Cell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, sleep_until, timeout};

use crate::emulation::environment::{
    Environment, HttpResponse, ListenerState, MAX_BODY_BYTES, load_report_header, load_report_json,
};
use crate::emulation::faulty_socket::{FaultySocket, ResponseFault, reset_connection};
use crate::emulation::state::{AttemptResponse, LoadQueryResponse};
use crate::scenario::micros_from_seconds;

/// An idle connection is closed after this long, as the settings say.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// An address that is not free yet is tried again after this long, so often.
const AGAIN: (Duration, u32) = (Duration::from_millis(20), 250);
/// The kernel completes so many connections to a machine that is out of reach before it drops their
/// first packets; the emulator makes them itself.
const BACKLOG_FILLERS: usize = 4;
/// A connection that is not up by then never comes up.
const FILL_TIMEOUT: Duration = Duration::from_millis(30);

fn bind(address: SocketAddr) -> std::io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

async fn bind_with_retry(address: SocketAddr) -> Option<TcpSocket> {
    for _ in 0..AGAIN.1 {
        if let Ok(socket) = bind(address) {
            return Some(socket);
        }
        sleep(AGAIN.0).await;
    }
    None
}

/// A worker's door for good. Between two listeners its port stays bound, so that nobody else gets it.
pub async fn run_listener(stage: Rc<Environment>, worker: u32, mut first: Option<TcpSocket>) {
    let port = &stage.listeners[worker as usize];
    let mut door = port.listener_state.subscribe();
    loop {
        let now = *door.borrow_and_update();
        let socket = match first.take() {
            Some(socket) => Some(socket),
            None => bind_with_retry(port.address).await,
        };
        let Some(socket) = socket else { return };
        match now {
            ListenerState::Accepting(_) => {
                let Ok(listener) = socket.listen(1_024) else { return };
                accept_connections(&stage, worker, &listener, &mut door).await;
            }
            // Bound and not listening: the kernel refuses.
            ListenerState::Refusing => {
                let _ = door.changed().await;
            }
            ListenerState::Unreachable => {
                let Ok(listener) = socket.listen(1) else { return };
                let filled = fill_backlog(port.address).await;
                let _ = door.changed().await;
                filled.iter().for_each(reset_connection);
                drop((listener, filled));
            }
        }
    }
}

/// Fills the queue of a listener that nobody accepts from, so that further connections never come up.
async fn fill_backlog(address: SocketAddr) -> Vec<TcpStream> {
    let mut filled = Vec::new();
    for _ in 0..BACKLOG_FILLERS {
        match timeout(FILL_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => filled.push(stream),
            _ => break,
        }
    }
    filled
}

/// Takes connections while the same process is there.
async fn accept_connections(
    stage: &Rc<Environment>,
    worker: u32,
    listener: &TcpListener,
    door: &mut watch::Receiver<ListenerState>,
) {
    loop {
        tokio::select! {
            biased;
            _ = door.changed() => return,
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    tokio::task::spawn_local(serve_worker_connection(Rc::clone(stage), worker, stream));
                }
                Err(_) => sleep(AGAIN.0).await,
            },
        }
    }
}

/// One connection, until either side ends it or its process or machine goes.
async fn serve_worker_connection(stage: Rc<Environment>, worker: u32, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    // What a new connection costs is waited for before anything is read from it.
    let cost = micros_from_seconds(stage.scenario.network.connect_delay_s);
    if cost > 0 {
        sleep(Duration::from_micros(cost)).await;
    }
    let mut door = stage.listeners[worker as usize].listener_state.subscribe();
    let plan = Rc::new(Cell::new(ResponseFault::None));
    let service = service_fn(|request: Request<Incoming>| {
        let (stage, plan) = (Rc::clone(&stage), Rc::clone(&plan));
        async move { Ok::<_, Infallible>(handle_request(&stage, worker, request, &plan).await) }
    });
    let socket = TokioIo::new(FaultySocket::new(stream, Rc::clone(&plan)));
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(IDLE_TIMEOUT);
    let mut connection = pin!(builder.serve_connection(socket, service));
    tokio::select! {
        biased;
        _ = door.changed() => {}
        _ = connection.as_mut() => return,
    }
    // Out of reach: it stays open, and nothing of it goes on.
    while *door.borrow_and_update() == ListenerState::Unreachable && door.changed().await.is_ok() {}
    plan.set(ResponseFault::Reset);
}

fn empty_response(status: StatusCode) -> HttpResponse {
    let mut answer = Response::new(Full::default());
    *answer.status_mut() = status;
    answer
}

async fn handle_request(
    stage: &Rc<Environment>,
    worker: u32,
    request: Request<Incoming>,
    plan: &Cell<ResponseFault>,
) -> HttpResponse {
    if request.method() == Method::DELETE {
        // It names the request: DELETE /jobs/ID.
        let id = request.uri().path().strip_prefix("/jobs/");
        if let Some(id) = id.and_then(|id| u64::from_str_radix(id, 16).ok()) {
            stage.apply(|world| world.cancel_request(id, worker));
            stage.listeners[worker as usize].wake.notify_one();
        }
        return empty_response(StatusCode::OK);
    }
    if request.method() == Method::GET && matches!(request.uri().path(), "/-/load" | "/-/healthy") {
        return handle_load_query(stage, worker, request.uri().path() == "/-/load", plan).await;
    }
    let id = request.headers().get("x-request-id").and_then(|id| id.to_str().ok());
    let Some(id) = id.and_then(|id| u64::from_str_radix(id, 16).ok()) else {
        return empty_response(StatusCode::NOT_FOUND);
    };
    let came = stage.now();
    let way = stage.apply(|world| world.attempt_arrives(id, worker));
    let body: Result<_, _> = Limited::new(request.into_body(), MAX_BODY_BYTES).collect().await;
    if body.is_err() {
        return empty_response(StatusCode::BAD_REQUEST);
    }
    if way > 0 {
        sleep(Duration::from_micros(way)).await;
    }
    let taken = stage.apply(|world| world.accept_attempt(id, worker, came));
    stage.listeners[worker as usize].wake.notify_one();
    if way > 0 {
        sleep(Duration::from_micros(way)).await;
    }
    match taken {
        AttemptResponse::Accepted => empty_response(StatusCode::ACCEPTED),
        AttemptResponse::AcceptedThenReset => {
            plan.set(ResponseFault::Truncate(b"HTTP/1.1 202 Acc".len()));
            empty_response(StatusCode::ACCEPTED)
        }
        AttemptResponse::Rejected(report) => {
            let mut answer = empty_response(StatusCode::SERVICE_UNAVAILABLE);
            answer.headers_mut().insert("x-not-processed", hyper::header::HeaderValue::from_static("1"));
            if let Ok(load) = load_report_header(&report).parse() {
                answer.headers_mut().insert("x-server-load", load);
            }
            answer
        }
        AttemptResponse::UnknownRequest => empty_response(StatusCode::BAD_REQUEST),
        AttemptResponse::Reset => {
            plan.set(ResponseFault::Reset);
            Response::new(Full::new(Bytes::from_static(b"never written")))
        }
        AttemptResponse::Garbage => {
            plan.set(ResponseFault::Garbage);
            empty_response(StatusCode::ACCEPTED)
        }
    }
}

/// A probe: 200, with the load where that was asked for, or 503.
async fn handle_load_query(
    stage: &Rc<Environment>,
    worker: u32,
    load: bool,
    plan: &Cell<ResponseFault>,
) -> HttpResponse {
    let probed = stage.apply(|world| world.accept_load_query(worker));
    stage.listeners[worker as usize].wake.notify_one();
    match probed {
        LoadQueryResponse::AfterDelay(took) => sleep(Duration::from_micros(took)).await,
        LoadQueryResponse::Queued(told) => {
            if told.await.is_err() {
                return empty_response(StatusCode::SERVICE_UNAVAILABLE);
            }
        }
        LoadQueryResponse::Unavailable => return empty_response(StatusCode::SERVICE_UNAVAILABLE),
        LoadQueryResponse::NotFound => return empty_response(StatusCode::NOT_FOUND),
        LoadQueryResponse::Failed => return empty_response(StatusCode::INTERNAL_SERVER_ERROR),
        LoadQueryResponse::Reset => {
            plan.set(ResponseFault::Reset);
            return Response::new(Full::new(Bytes::from_static(b"never written")));
        }
        LoadQueryResponse::Garbage => {
            plan.set(ResponseFault::Garbage);
            return empty_response(StatusCode::OK);
        }
    }
    if !load {
        return empty_response(StatusCode::OK);
    }
    let report = stage.apply(|world| world.queried_load_report(worker));
    Response::new(Full::from(load_report_json(&report).to_string()))
}

/// Refreshes what a worker tells when it is probed, where it is.
pub async fn refresh_load_reports(stage: Rc<Environment>, worker: u32) {
    if stage.scenario.load_reports.load_query.is_none() {
        return;
    }
    let every = Duration::from_micros(micros_from_seconds(stage.scenario.load_reports.refresh_interval_s));
    loop {
        stage.apply(|world| world.refresh_load_report(worker));
        sleep(every).await;
    }
}

/// Tells how far a worker's jobs are, where workers do.
pub async fn report_progress(stage: Rc<Environment>, worker: u32) {
    let every = micros_from_seconds(stage.scenario.load_reports.progress_interval_s);
    if every == 0 {
        return;
    }
    loop {
        sleep(Duration::from_micros(every)).await;
        stage.apply(|world| world.report_progress(worker));
    }
}

/// Looks at a worker whenever something of it is due.
pub async fn drive_worker(stage: Rc<Environment>, worker: u32) {
    let wake = &stage.listeners[worker as usize].wake;
    loop {
        match stage.apply(|world| world.advance_worker(worker)) {
            Some(at) => tokio::select! {
                () = sleep_until(at) => {}
                () = wake.notified() => {}
            },
            None => wake.notified().await,
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/emulation_workers.rs"]
mod tests;
