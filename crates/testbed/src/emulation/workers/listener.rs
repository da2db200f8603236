//! Opens, closes and silences a worker's port and connections, as its process and machine would.
use std::cell::Cell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use hyper::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::emulation::environment::{Environment, ListenerState};
use crate::emulation::faulty_socket::{FaultySocket, ResponseFault, reset_connection};
use crate::emulation::workers::requests::handle_request;
use crate::scenario::micros_from_seconds;
use copperspread_dispatcher::WorkerId;

/// How long an idle connection is kept, as the schedulers' settings say.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// The wait before an address that is not free yet, or a failed accept, is tried again.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(20);
/// How often binding an address is tried.
const MAX_BIND_ATTEMPTS: u32 = 250;
/// Most connections that wait to be accepted.
const BACKLOG: u32 = 1_024;
/// The kernel completes so many connections to a machine that is out of reach before it drops their
/// first packets; the emulation makes them itself.
const BACKLOG_FILLERS: usize = 4;
/// A connection that is not established by then never is.
const FILL_TIMEOUT: Duration = Duration::from_millis(30);

/// Binds an address that others may have used just before.
pub(super) fn bind(address: SocketAddr) -> std::io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

async fn bind_with_retry(address: SocketAddr) -> Option<TcpSocket> {
    for _ in 0..MAX_BIND_ATTEMPTS {
        if let Ok(socket) = bind(address) {
            return Some(socket);
        }
        sleep(BIND_RETRY_DELAY).await;
    }
    None
}

/// Runs a worker's port until the run's tasks end. Between two listeners it stays bound, so that nobody
/// else gets it.
pub(in crate::emulation) async fn run_listener(
    environment: Rc<Environment>,
    worker: WorkerId,
    mut first_socket: Option<TcpSocket>,
) {
    let address = environment.listeners[worker.0 as usize].address;
    let mut state = environment.listeners[worker.0 as usize].listener_state.subscribe();
    loop {
        let current = *state.borrow_and_update();
        let socket = match first_socket.take() {
            Some(socket) => Some(socket),
            None => bind_with_retry(address).await,
        };
        let Some(socket) = socket else { return };
        match current {
            ListenerState::Accepting(_) => {
                let Ok(listener) = socket.listen(BACKLOG) else { return };
                accept_connections(&environment, worker, &listener, &mut state).await;
            }
            // Bound and not listening: the kernel refuses connections.
            ListenerState::Refusing => {
                let _ = state.changed().await;
            }
            ListenerState::Unreachable => {
                let Ok(listener) = socket.listen(1) else { return };
                let fillers = fill_backlog(address).await;
                let _ = state.changed().await;
                fillers.iter().for_each(reset_connection);
                drop((listener, fillers));
            }
        }
    }
}

/// Fills the backlog of a listener that nobody accepts from, so that further connections are never
/// established.
async fn fill_backlog(address: SocketAddr) -> Vec<TcpStream> {
    let mut fillers = Vec::new();
    for _ in 0..BACKLOG_FILLERS {
        match timeout(FILL_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => fillers.push(stream),
            _ => break,
        }
    }
    fillers
}

/// Accepts connections while the same process listens. Each has a task, which ends with it or with the
/// run's tasks.
async fn accept_connections(
    environment: &Rc<Environment>,
    worker: WorkerId,
    listener: &TcpListener,
    state: &mut watch::Receiver<ListenerState>,
) {
    loop {
        tokio::select! {
            biased;
            _ = state.changed() => return,
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    tokio::task::spawn_local(serve_worker_connection(Rc::clone(environment), worker, stream));
                }
                Err(_) => sleep(BIND_RETRY_DELAY).await,
            },
        }
    }
}

/// Serves one connection until either side ends it or its process or machine goes.
async fn serve_worker_connection(environment: Rc<Environment>, worker: WorkerId, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    // A new connection's delay passes before anything is read from it.
    let connect_delay = micros_from_seconds(environment.scenario.network.connect_delay_s);
    if connect_delay > 0 {
        sleep(Duration::from_micros(connect_delay)).await;
    }
    let mut state = environment.listeners[worker.0 as usize].listener_state.subscribe();
    let fault = Rc::new(Cell::new(ResponseFault::None));
    let service = service_fn(|request: Request<Incoming>| {
        let (environment, fault) = (Rc::clone(&environment), Rc::clone(&fault));
        async move { Ok::<_, Infallible>(handle_request(&environment, worker, request, &fault).await) }
    });
    let socket = TokioIo::new(FaultySocket::new(stream, Rc::clone(&fault)));
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(IDLE_TIMEOUT);
    let mut connection = pin!(builder.serve_connection(socket, service));
    tokio::select! {
        biased;
        _ = state.changed() => {}
        _ = connection.as_mut() => return,
    }
    // While the machine is out of reach the connection stays open, and nothing of it goes on.
    while *state.borrow_and_update() == ListenerState::Unreachable && state.changed().await.is_ok() {}
    fault.set(ResponseFault::Reset);
}
