//! Runs the port and the connections of an emulated worker. The state of the worker's process and machine
//! decides whether connections are accepted, refused, reset or not established.
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

/// Time after which a worker closes an idle connection. The schedulers' configuration has the same time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay before a worker's listener repeats a failed bind or accept.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Maximum number of tries to bind a worker's address.
const MAX_BIND_TRIES: u32 = 250;
/// Backlog of a listener: maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 1_024;
/// Maximum number of connections that the emulation opens to fill the backlog of an unreachable worker's
/// listener. The listener accepts no connection, but the kernel establishes a few connections as long as the
/// backlog has room. Once the backlog is full, the kernel drops SYN packets. Connections from schedulers are
/// then not established, as if the machine did not respond.
const BACKLOG_FILLERS: usize = 4;
/// Time that the emulation waits for each connection that it opens to fill a listener's backlog. While the
/// backlog is full, the kernel establishes no connection. If a connection is not established in this time,
/// the backlog therefore counts as full.
const FILL_TIMEOUT: Duration = Duration::from_millis(30);

/// Binds an address with `SO_REUSEADDR`, because the address may have been in use shortly before.
pub(super) fn bind(address: SocketAddr) -> std::io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

async fn bind_with_retry(address: SocketAddr) -> Option<TcpSocket> {
    for _ in 0..MAX_BIND_TRIES {
        if let Ok(socket) = bind(address) {
            return Some(socket);
        }
        sleep(BIND_RETRY_DELAY).await;
    }
    None
}

/// Runs a worker's port until the run's task set is dropped. While the worker refuses connections, the port
/// is bound but not listening, so that no other program can take the port.
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
            // The port is bound but not listening, so the kernel refuses connections.
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

/// Fills the backlog of a listener that accepts no connections, so that further connections are never
/// established. Returns the connections, which must be kept open.
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

/// Accepts connections until the listener's state changes. Each connection has its own task. The task ends
/// when the connection ends or the run's task set is dropped.
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

/// Serves one connection to a worker until either side closes it or the state of the worker's listener
/// changes. A restart of the worker's process or a refusal of connections resets the connection at once. If
/// the worker's machine becomes unreachable, the connection first stays open without being served. The
/// connection is then reset when the machine is reachable again.
async fn serve_worker_connection(environment: Rc<Environment>, worker: WorkerId, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    // The scenario's connect delay is emulated here: nothing is read from the connection until the delay has
    // passed.
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
    // While the machine is unreachable, the connection stays open without being served.
    while *state.borrow_and_update() == ListenerState::Unreachable && state.changed().await.is_ok() {}
    fault.set(ResponseFault::Reset);
}
