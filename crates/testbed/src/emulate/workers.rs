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

use crate::emulate::socket::{Plan, Socket, reset};
use crate::emulate::stage::{Answer, Door, LONGEST_BODY, Stage, load_header, load_object};
use crate::emulate::world::{Probed, Taken};
use crate::scenario::micros_from_seconds;

/// An idle connection is closed after this long, as the settings say.
const KEEPALIVE: Duration = Duration::from_secs(5);
/// An address that is not free yet is tried again after this long, so often.
const AGAIN: (Duration, u32) = (Duration::from_millis(20), 250);
/// The kernel completes so many connections to a machine that is out of reach before it drops their
/// first packets; the emulator makes them itself.
const FILLERS: usize = 4;
/// A connection that is not up by then never comes up.
const FILLED_AFTER: Duration = Duration::from_millis(30);

fn bound(address: SocketAddr) -> std::io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

async fn bound_at_last(address: SocketAddr) -> Option<TcpSocket> {
    for _ in 0..AGAIN.1 {
        if let Ok(socket) = bound(address) {
            return Some(socket);
        }
        sleep(AGAIN.0).await;
    }
    None
}

/// A worker's door for good. Between two listeners its port stays bound, so that nobody else gets it.
pub async fn listen(stage: Rc<Stage>, worker: u32, mut first: Option<TcpSocket>) {
    let port = &stage.ports[worker as usize];
    let mut door = port.door.subscribe();
    loop {
        let now = *door.borrow_and_update();
        let socket = match first.take() {
            Some(socket) => Some(socket),
            None => bound_at_last(port.address).await,
        };
        let Some(socket) = socket else { return };
        match now {
            Door::Open(_) => {
                let Ok(listener) = socket.listen(1_024) else { return };
                accept(&stage, worker, &listener, &mut door).await;
            }
            // Bound and not listening: the kernel refuses.
            Door::Refusing => {
                let _ = door.changed().await;
            }
            Door::Silent => {
                let Ok(listener) = socket.listen(1) else { return };
                let filled = fill(port.address).await;
                let _ = door.changed().await;
                filled.iter().for_each(reset);
                drop((listener, filled));
            }
        }
    }
}

/// Fills the queue of a listener that nobody accepts from, so that further connections never come up.
async fn fill(address: SocketAddr) -> Vec<TcpStream> {
    let mut filled = Vec::new();
    for _ in 0..FILLERS {
        match timeout(FILLED_AFTER, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => filled.push(stream),
            _ => break,
        }
    }
    filled
}

/// Takes connections while the same process is there.
async fn accept(stage: &Rc<Stage>, worker: u32, listener: &TcpListener, door: &mut watch::Receiver<Door>) {
    loop {
        tokio::select! {
            biased;
            _ = door.changed() => return,
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    tokio::task::spawn_local(connection(Rc::clone(stage), worker, stream));
                }
                Err(_) => sleep(AGAIN.0).await,
            },
        }
    }
}

/// One connection, until either side ends it or its process or machine goes.
async fn connection(stage: Rc<Stage>, worker: u32, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    // What a new connection costs is waited for before anything is read from it.
    let cost = micros_from_seconds(stage.scenario.network.connect_delay_s);
    if cost > 0 {
        sleep(Duration::from_micros(cost)).await;
    }
    let mut door = stage.ports[worker as usize].door.subscribe();
    let plan = Rc::new(Cell::new(Plan::Whole));
    let service = service_fn(|request: Request<Incoming>| {
        let (stage, plan) = (Rc::clone(&stage), Rc::clone(&plan));
        async move { Ok::<_, Infallible>(serve(&stage, worker, request, &plan).await) }
    });
    let socket = TokioIo::new(Socket::new(stream, Rc::clone(&plan)));
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(KEEPALIVE);
    let mut connection = pin!(builder.serve_connection(socket, service));
    tokio::select! {
        biased;
        _ = door.changed() => {}
        _ = connection.as_mut() => return,
    }
    // Out of reach: it stays open, and nothing of it goes on.
    while *door.borrow_and_update() == Door::Silent && door.changed().await.is_ok() {}
    plan.set(Plan::Reset);
}

fn plain(status: StatusCode) -> Answer {
    let mut answer = Response::new(Full::default());
    *answer.status_mut() = status;
    answer
}

async fn serve(stage: &Rc<Stage>, worker: u32, request: Request<Incoming>, plan: &Cell<Plan>) -> Answer {
    if request.method() == Method::DELETE {
        // It names the request: DELETE /jobs/ID.
        let id = request.uri().path().strip_prefix("/jobs/");
        if let Some(id) = id.and_then(|id| u64::from_str_radix(id, 16).ok()) {
            stage.act(|world| world.given_up(id, worker));
            stage.ports[worker as usize].wake.notify_one();
        }
        return plain(StatusCode::OK);
    }
    if request.method() == Method::GET && matches!(request.uri().path(), "/-/load" | "/-/healthy") {
        return probe(stage, worker, request.uri().path() == "/-/load", plan).await;
    }
    let id = request.headers().get("x-request-id").and_then(|id| id.to_str().ok());
    let Some(id) = id.and_then(|id| u64::from_str_radix(id, 16).ok()) else {
        return plain(StatusCode::NOT_FOUND);
    };
    let came = stage.now();
    let way = stage.act(|world| world.comes(id, worker));
    let body: Result<_, _> = Limited::new(request.into_body(), LONGEST_BODY).collect().await;
    if body.is_err() {
        return plain(StatusCode::BAD_REQUEST);
    }
    if way > 0 {
        sleep(Duration::from_micros(way)).await;
    }
    let taken = stage.act(|world| world.take(id, worker, came));
    stage.ports[worker as usize].wake.notify_one();
    if way > 0 {
        sleep(Duration::from_micros(way)).await;
    }
    match taken {
        Taken::Yes => plain(StatusCode::ACCEPTED),
        Taken::Half => {
            plan.set(Plan::Half(b"HTTP/1.1 202 Acc".len()));
            plain(StatusCode::ACCEPTED)
        }
        Taken::Full(report) => {
            let mut answer = plain(StatusCode::SERVICE_UNAVAILABLE);
            answer.headers_mut().insert("x-not-processed", hyper::header::HeaderValue::from_static("1"));
            if let Ok(load) = load_header(&report).parse() {
                answer.headers_mut().insert("x-server-load", load);
            }
            answer
        }
        Taken::Unknown => plain(StatusCode::BAD_REQUEST),
        Taken::Reset => {
            plan.set(Plan::Reset);
            Response::new(Full::new(Bytes::from_static(b"never written")))
        }
        Taken::Garbage => {
            plan.set(Plan::Garbage);
            plain(StatusCode::ACCEPTED)
        }
    }
}

/// A probe: 200, with the load where that was asked for, or 503.
async fn probe(stage: &Rc<Stage>, worker: u32, load: bool, plan: &Cell<Plan>) -> Answer {
    let probed = stage.act(|world| world.probe(worker));
    stage.ports[worker as usize].wake.notify_one();
    match probed {
        Probed::Now(took) => sleep(Duration::from_micros(took)).await,
        Probed::Waits(told) => {
            if told.await.is_err() {
                return plain(StatusCode::SERVICE_UNAVAILABLE);
            }
        }
        Probed::Unwell => return plain(StatusCode::SERVICE_UNAVAILABLE),
        Probed::Unknown => return plain(StatusCode::NOT_FOUND),
        Probed::Failed => return plain(StatusCode::INTERNAL_SERVER_ERROR),
        Probed::Reset => {
            plan.set(Plan::Reset);
            return Response::new(Full::new(Bytes::from_static(b"never written")));
        }
        Probed::Garbage => {
            plan.set(Plan::Garbage);
            return plain(StatusCode::OK);
        }
    }
    if !load {
        return plain(StatusCode::OK);
    }
    let report = stage.act(|world| world.load(worker));
    Response::new(Full::from(load_object(&report).to_string()))
}

/// Refreshes what a worker tells when it is probed, where it is.
pub async fn refresh(stage: Rc<Stage>, worker: u32) {
    if stage.scenario.load_reports.load_query.is_none() {
        return;
    }
    let every = Duration::from_micros(micros_from_seconds(stage.scenario.load_reports.refresh_interval_s));
    loop {
        stage.act(|world| world.refresh(worker));
        sleep(every).await;
    }
}

/// Tells how far a worker's jobs are, where workers do.
pub async fn tell_progress(stage: Rc<Stage>, worker: u32) {
    let every = micros_from_seconds(stage.scenario.load_reports.progress_interval_s);
    if every == 0 {
        return;
    }
    loop {
        sleep(Duration::from_micros(every)).await;
        stage.act(|world| world.progress(worker));
    }
}

/// Looks at a worker whenever something of it is due.
pub async fn look(stage: Rc<Stage>, worker: u32) {
    let wake = &stage.ports[worker as usize].wake;
    loop {
        match stage.act(|world| world.look(worker)) {
            Some(at) => tokio::select! {
                () = sleep_until(at) => {}
                () = wake.notified() => {}
            },
            None => wake.notified().await,
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/emulate_workers.rs"]
mod tests;
