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
use crate::scenario::micros;

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
    let cost = micros(stage.scenario.network.connect);
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
    if stage.scenario.reports.probe.is_none() {
        return;
    }
    let every = Duration::from_micros(micros(stage.scenario.reports.refresh));
    loop {
        stage.act(|world| world.refresh(worker));
        sleep(every).await;
    }
}

/// Tells how far a worker's jobs are, where workers do.
pub async fn tell_progress(stage: Rc<Stage>, worker: u32) {
    let every = micros(stage.scenario.reports.progress);
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
mod tests {
    use std::io::ErrorKind;

    use copperspread_decisions::SECOND;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    use tokio::task::{LocalSet, spawn_local};

    use super::*;
    use crate::emulate::list::Listing;
    use tokio::time::Instant;

    use crate::emulate::stage::{Port, entry, serve_connection};
    use crate::emulate::world::World;
    use crate::model::arrivals::Arrival;
    use crate::model::fleet::{Fleet, Turn};
    use crate::scenario::Scenario;

    /// One worker with one slot and no queue, and the first fault of a scenario begun.
    async fn stage(what: &str, seed: u64) -> Rc<Stage> {
        let stage = stage_of(what, seed, "", SocketAddr::from(([127, 0, 0, 1], 9))).await;
        // Nobody hears its call-backs.
        stage.schedulers[0].1.set(false);
        stage
    }

    async fn stage_of(what: &str, seed: u64, extra: &str, scheduler: SocketAddr) -> Rc<Stage> {
        let text = format!(
            "name = 'one'\nabout = 'one worker'\nseconds = 9.0\nschedulers = 1\n[clients]\nrate = 1.0\n\
             [discovery]\ndelay = 0.0\n[[workers]]\nkind = 'w'\ncount = 1\ncores = 1.0\nslots = 1.0\n\
             speed = [1.0, 1.0]\nqueue = 0\nmemory = 4.0\n[[classes]]\nname = 'c'\nshare = 1.0\nwork = 5.0\naim = 9.0\n\
             deadline = 9.0\nworth = 1.0\nrepeat = 'safe'\n\
             [[faults]]\nat = 0.0\nlasts = 9.0\nshare = 1.0\nwhat = {what}\n{extra}"
        );
        let scenario = Scenario::read(&text).expect("a scenario");
        let world = World::new(&scenario, Fleet::draw(&scenario, seed), seed);
        let socket = bound(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port");
        let port = Port::new(socket.local_addr().expect("an address"), Door::Open(0));
        let listing = Listing::new(vec![entry(&world, 0)]);
        let stage = Rc::new(Stage::new(world, vec![port], listing, vec![scheduler]));
        stage.begin();
        spawn_local(listen(Rc::clone(&stage), 0, Some(socket)));
        spawn_local(look(Rc::clone(&stage), 0));
        spawn_local(tell_progress(Rc::clone(&stage), 0));
        spawn_local(refresh(Rc::clone(&stage), 0));
        while TcpStream::connect(stage.address(0)).await.is_err() {
            tokio::task::yield_now().await;
        }
        stage
    }

    /// A hand-over of a new job; what is heard, or why nothing.
    async fn hand_over(stage: &Rc<Stage>) -> Result<String, ErrorKind> {
        hand_over_of(stage, 5.0).await
    }

    async fn hand_over_of(stage: &Rc<Stage>, work: f64) -> Result<String, ErrorKind> {
        let of = Arrival { at: 0, class: 0, work, slots: 1.0, memory: 1.5, hint: None, scheduler: 0 };
        let id = stage.act(|world| {
            world.job(1, of);
            world.ask(1, 0, 9 * SECOND)
        });
        let exchange = async {
            let mut stream = TcpStream::connect(stage.address(0)).await?;
            let text = format!(
                "POST /c/1 HTTP/1.1\r\nHost: w\r\nX-Request-ID: {id:016x}\r\nContent-Length: 0\r\n\r\n"
            );
            stream.write_all(text.as_bytes()).await?;
            let mut heard = vec![0; 1_024];
            let mut length = stream.read(&mut heard).await?;
            // What is left after a part of an answer is its end or a reset.
            if !heard[..length].ends_with(b"\r\n\r\n") {
                match timeout(Duration::from_secs(2), stream.read(&mut heard[length..])).await {
                    Ok(more) => length += more.unwrap_or(0),
                    Err(_) => length = 0,
                }
            }
            heard.truncate(length);
            Ok::<_, std::io::Error>(String::from_utf8_lossy(&heard).into_owned())
        };
        match timeout(Duration::from_millis(800), exchange).await {
            Ok(heard) => heard.map_err(|error| error.kind()),
            Err(_) => Err(ErrorKind::TimedOut),
        }
    }

    // Each trouble as whoever connects sees it, and whether the worker has the job afterwards.
    #[test]
    fn what_goes_wrong_shows_on_the_socket() {
        let cases: &[(&str, Result<&str, ErrorKind>, usize)] = &[
            ("{ slow = 1.0 }", Ok("HTTP/1.1 202 Accepted"), 1),
            ("'refusing'", Err(ErrorKind::ConnectionRefused), 0),
            ("'crash'", Err(ErrorKind::ConnectionRefused), 0),
            ("'vanish'", Err(ErrorKind::TimedOut), 0),
            ("'drain'", Ok("HTTP/1.1 503 Service Unavailable\r\nx-not-processed: 1"), 0),
            ("{ garbled = 1.0 }", Ok("\u{16}\u{3}\u{1} 202 ACCEPTED maybe"), 0),
        ];
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        for (what, heard, held) in cases {
            LocalSet::new().block_on(&runtime, async {
                let stage = stage(what, 1).await;
                stage.act(|world| world.turn(Turn { at: 0, fault: 0, whom: Some(0), begins: true }));
                // The door follows in a task of its own, before the next connection is looked at.
                sleep(Duration::from_millis(150)).await;
                let got = hand_over(&stage).await;
                let same = match (&got, heard) {
                    (Ok(got), Ok(heard)) => got.starts_with(heard),
                    (got, heard) => got.as_ref().err() == heard.as_ref().err(),
                };
                assert!(same, "{what}: {got:?}, not {heard:?}");
                assert_eq!(stage.world.borrow().workers[0].0.holds(), *held, "{what}");
            });
        }
    }

    // A reset comes before the job is taken or in the middle of the 202, by chance; both are met.
    #[test]
    fn a_reset_comes_before_the_job_is_taken_or_in_the_middle_of_the_answer() {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        LocalSet::new().block_on(&runtime, async {
            let (mut before, mut half) = (0, 0);
            for seed in 0..12 {
                let stage = stage("{ resetting = 1.0 }", seed).await;
                for _ in 0..4 {
                    stage.act(|world| world.turn(Turn { at: 0, fault: 0, whom: Some(0), begins: true }));
                    let got = hand_over(&stage).await;
                    match stage.world.borrow().workers[0].0.holds() {
                        0 => {
                            before += 1;
                            assert_eq!(got, Err(ErrorKind::ConnectionReset));
                        }
                        _ => {
                            half += 1;
                            assert!(got.is_err() || got == Ok("HTTP/1.1 202 Acc".into()), "{got:?}");
                            break;
                        }
                    }
                }
            }
            assert!(before > 0 && half > 0, "{before} before, {half} half");
        });
    }

    // As a plain client hears it: status, and the load where it was asked for. The queue holds none here.
    #[test]
    fn a_worker_answers_probes_with_its_load() {
        let probe = |deep| {
            format!(
                "[reports]\nnoise = 0.0\nrefresh = 0.1\nprobe = {{ work = 0.002, deep = {deep}, timeout = 1.0 }}"
            )
        };
        let idle = Some([("inflight", 0.0), ("x0", 1.0)]);
        let busy = Some([("inflight", 1.0), ("x0", 0.0)]);
        // Settings, what goes wrong, whether a job runs, the path, and what is heard.
        let cases = [
            (probe(true), "{ slow = 1.0 }", false, "/-/load", 200, idle),
            (probe(false), "{ slow = 1.0 }", true, "/-/load", 200, busy),
            (probe(false), "{ slow = 1.0 }", true, "/-/healthy", 200, None),
            (probe(true), "{ slow = 1.0 }", true, "/-/load", 503, None),
            (probe(false), "'drain'", false, "/-/load", 503, None),
            (probe(false), "{ failing = 1.0 }", false, "/-/load", 500, None),
            (String::new(), "{ slow = 1.0 }", false, "/-/load", 404, None),
        ];
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        for (settings, what, runs, path, status, load) in cases {
            LocalSet::new().block_on(&runtime, async {
                let nobody = SocketAddr::from(([127, 0, 0, 1], 9));
                let stage = stage_of(what, 1, &settings, nobody).await;
                stage.schedulers[0].1.set(false);
                if runs {
                    assert!(hand_over(&stage).await.is_ok_and(|heard| heard.starts_with("HTTP/1.1 202")));
                }
                stage.act(|world| world.turn(Turn { at: 0, fault: 0, whom: Some(0), begins: true }));
                sleep(Duration::from_millis(250)).await;
                let mut stream = TcpStream::connect(stage.address(0)).await.expect("a connection");
                let text = format!("GET {path} HTTP/1.1\r\nHost: w\r\nConnection: close\r\n\r\n");
                stream.write_all(text.as_bytes()).await.expect("sent");
                let mut heard = String::new();
                stream.read_to_string(&mut heard).await.expect("an answer");
                assert!(
                    heard.starts_with(&format!("HTTP/1.1 {status}")),
                    "{settings} {what} {path}: {heard}"
                );
                let body = heard.split("\r\n\r\n").nth(1).unwrap_or_default();
                let Some(load) = load else { return assert_eq!(body, "", "{settings} {what} {path}") };
                let told: serde_json::Value = serde_json::from_str(body).expect("JSON");
                for (name, value) in load {
                    assert_eq!(told[name].as_f64(), Some(value), "{settings} {what} {path}: {told}");
                }
                assert!(told["qps"].as_f64().is_some() && told.get("queue").is_none(), "{told}");
            });
        }
    }

    // A job that was given up by the protocol's DELETE stops where the scenario has it so.
    #[test]
    fn a_delete_stops_the_job_where_it_does() {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        for (settings, held) in [("[settings]\ncancel_stops = true", 0), ("", 1)] {
            LocalSet::new().block_on(&runtime, async {
                let nobody = SocketAddr::from(([127, 0, 0, 1], 9));
                let stage = stage_of("{ slow = 1.0 }", 1, settings, nobody).await;
                stage.schedulers[0].1.set(false);
                let id = stage.act(|world| world.ask(0, 0, SECOND));
                hand_over(&stage).await.expect("a 202");
                let mut stream = TcpStream::connect(stage.address(0)).await.expect("a connection");
                let text =
                    format!("DELETE /jobs/{:016x} HTTP/1.1\r\nHost: w\r\nConnection: close\r\n\r\n", id + 1);
                stream.write_all(text.as_bytes()).await.expect("sent");
                stream.read_to_string(&mut String::new()).await.expect("an answer");
                assert_eq!(stage.world.borrow().workers[0].0.holds(), held, "{settings:?}");
            });
        }
    }

    // What a scheduler hears of a job of 0.3 s: the states in their order, and when the first one comes.
    #[test]
    fn call_backs_come_once_or_twice_late_or_never() {
        type Heard = Vec<(String, f64)>;
        let cases: &[(&str, &str, &[&str], f64)] = &[
            ("{ slow = 1.0 }", "", &["started", "done"], 0.0),
            ("'doubled_news'", "", &["started", "started", "done", "done"], 0.0),
            ("{ late_news = 0.4 }", "", &["started", "done"], 0.4),
            ("{ silent = 0 }", "", &[], 0.0),
            (
                "{ slow = 1.0 }",
                "[reports]\nprogress = 0.12\n",
                &["started", "running", "running", "done"],
                0.0,
            ),
        ];
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        for (what, extra, states, least) in cases {
            let heard: Heard = LocalSet::new().block_on(&runtime, async {
                let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
                let scheduler = listener.local_addr().expect("an address");
                let stage = stage_of(what, 1, extra, scheduler).await;
                stage.act(|world| world.turn(Turn { at: 0, fault: 0, whom: Some(0), begins: true }));
                let began = Instant::now();
                assert!(hand_over_of(&stage, 0.3).await.is_ok_and(|heard| heard.contains("202")), "{what}");
                let heard = Rc::new(std::cell::RefCell::new(Heard::new()));
                let list = Rc::clone(&heard);
                let listens = async {
                    while let Ok((stream, _)) = listener.accept().await {
                        let list = Rc::clone(&list);
                        spawn_local(serve_connection(stream, move |request| {
                            let list = Rc::clone(&list);
                            async move {
                                let body = request.into_body().collect().await.expect("a body").to_bytes();
                                let news: serde_json::Value = serde_json::from_slice(&body).expect("JSON");
                                let state = news["state"].as_str().expect("a state").to_owned();
                                list.borrow_mut().push((state, began.elapsed().as_secs_f64()));
                                plain(StatusCode::NO_CONTENT)
                            }
                        }));
                    }
                };
                let _ = timeout(Duration::from_millis(1_500), listens).await;
                heard.take()
            });
            let came: Vec<&str> = heard.iter().map(|of| &*of.0).collect();
            assert_eq!(came, *states, "{what} {extra}");
            assert!(heard.first().is_none_or(|of| of.1 >= *least), "{what}: {heard:?}");
        }
    }

    // A machine that comes back resets what was open, and is another process.
    #[test]
    fn a_machine_that_is_back_takes_jobs_again() {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        LocalSet::new().block_on(&runtime, async {
            let stage = stage("'vanish'", 1).await;
            assert!(hand_over(&stage).await.is_ok_and(|heard| heard.contains("202")));
            let turn = |begins| Turn { at: 0, fault: 0, whom: Some(0), begins };
            stage.act(|world| world.turn(turn(true)));
            sleep(Duration::from_millis(100)).await;
            assert_eq!(hand_over(&stage).await, Err(ErrorKind::TimedOut));
            stage.act(|world| world.turn(turn(false)));
            sleep(Duration::from_millis(100)).await;
            assert_eq!(stage.world.borrow().workers[0].0.holds(), 0);
            assert!(hand_over(&stage).await.is_ok_and(|heard| heard.contains("202")));
        });
    }
}
