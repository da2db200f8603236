//! The program follows the endpoint list through the moments in which discovery fails: whatever went wrong,
//! a change is known within 6 s of discovery's having it, and requests are served all along.
mod sockets;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use copperspread_dispatcher::{
    Action, Dispatcher, EndpointUpdate, EndpointUpdateKind, Event, Micros, RequestClass, SECOND, Settings,
    Timer,
};
use copperspread_proxy::discovery::platform::{
    POLLED_LIST_TIMEOUT, PUSHED_LIST_TIMEOUT, PUSHED_WATCH_MARGIN, RETRY_BACKOFF_INITIAL, RETRY_BACKOFF_MAX,
    WATCH_HOLD_TIME,
};
use futures_util::FutureExt;
use futures_util::future::join_all;
use sockets::*;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// What the terms allow, and what is kept free of it for the way and a busy machine.
const MAX_CHANGE_DELAY: Micros = 6 * SECOND;
const DELAY_MARGIN: Micros = SECOND / 2;
const FULL_LIST_REQUEST: &str = "GET /api/targets HTTP/1.1";
const READINESS_REQUEST: &str = "GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n";
const UNAVAILABLE: &str =
    "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
const DONE: &str = r#""state":"done","result":"well""#;
const DISCOVERY_KINDS: [&str; 2] = ["pushed", "on_request"];
const OUTAGES: [&str; 3] = ["refuses", "silent", "no connection comes up"];

/// A discovery that may be down, and whose answers may be anything.
struct Discovery {
    address: SocketAddr,
    listener: Option<TcpListener>,
    /// Connections that fill its queue.
    queued: Vec<TcpStream>,
    /// Keeps the address while it is down.
    _reserved: TcpSocket,
}

/// One call to it, not answered yet.
struct Call {
    first: String,
    stream: BufReader<TcpStream>,
}

impl Discovery {
    /// One that refuses.
    fn down() -> Discovery {
        let (reserved, address) = reserve_address();
        Discovery { address, listener: None, queued: Vec::new(), _reserved: reserved }
    }
    async fn up() -> Discovery {
        let mut discovery = Discovery::down();
        discovery.listen().await;
        discovery
    }
    async fn listen(&mut self) {
        self.listener = Some(TcpListener::bind(self.address).await.expect("its address"));
    }
    /// Away in one of these ways.
    async fn away(how: &str) -> Discovery {
        match how {
            "refuses" => Discovery::down(),
            "silent" => Discovery::up().await,
            "no connection comes up" => {
                let mut discovery = Discovery::down();
                let socket = TcpSocket::new_v4().expect("a socket");
                socket.set_reuseaddr(true).expect("an option");
                socket.bind(discovery.address).expect("its address");
                discovery.listener = Some(socket.listen(1).expect("it listens"));
                // Those that nobody accepts fill its queue, until one does not come up.
                let fill = || {
                    tokio::time::timeout(Duration::from_millis(300), TcpStream::connect(discovery.address))
                };
                while let Ok(stream) = fill().await {
                    discovery.queued.push(stream.expect("a connection"));
                }
                discovery
            }
            _ => unreachable!("{how}"),
        }
    }
    /// There again.
    async fn recover(&mut self) {
        self.queued.clear();
        if self.listener.is_none() {
            self.listen().await;
        }
    }
    /// The next call whose caller still waits.
    async fn call(&self) -> Call {
        loop {
            let (stream, _) = within("a call", self.listener.as_ref().expect("it is up").accept())
                .await
                .expect("a connection");
            let mut stream = BufReader::new(stream);
            let (mut first, mut line) = (String::new(), String::new());
            let mut whole = stream.read_line(&mut first).await.is_ok();
            while whole && line != "\r\n" {
                line.clear();
                whole = stream.read_line(&mut line).await.is_ok_and(|read| read > 0);
            }
            if whole && stream.fill_buf().now_or_never().is_none() {
                return Call { first: first.trim_end().to_owned(), stream };
            }
        }
    }
    /// Tells a list, whole, and sees it taken: the next call watches from it.
    async fn publish(&self, revision: u64, members: &[String]) -> Call {
        loop {
            self.call().await.list(&endpoint_list(revision, true, members)).await;
            let next = self.call().await;
            if next.first.contains(&format!("from={revision}&")) {
                return next;
            }
            next.list(&endpoint_list(revision, true, members)).await;
        }
    }
}

impl Call {
    async fn write(&mut self, text: &str) {
        let _ = self.stream.write_all(text.as_bytes()).await;
    }
    /// Answers well and closes, so that each call has a connection of its own.
    async fn list(mut self, body: &str) {
        let length = body.len();
        self.write(&format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n{body}"
        ))
        .await;
    }
    /// Says a beginning and then the same for good, until the scheduler goes.
    fn repeat_forever(mut self, begin: &'static str, again: String, pause: Duration) {
        tokio::spawn(async move {
            let mut text = begin.as_bytes();
            while self.stream.write_all(text).await.is_ok() {
                text = again.as_bytes();
                tokio::time::sleep(pause).await;
            }
        });
    }
    fn reset(self) {
        let _ = self.stream.get_ref().set_zero_linger();
    }
}

/// The program, a worker r0 that it knows from before, a client, and a number for each request.
struct Fixture {
    scheduler: Scheduler,
    worker: FakeServer,
    client: Client,
    job: u64,
}

impl Fixture {
    async fn start(kind: &str, discovery: &Discovery) -> Fixture {
        Fixture::start_with(kind, discovery, 1024, "").await
    }
    /// With so many descriptors, and its configuration changed by a further command of `sed`.
    async fn start_with(kind: &str, discovery: &Discovery, sockets: u32, further: &str) -> Fixture {
        let worker = FakeServer::start().await;
        let place = format!(r#"s/"discovery":"127[^"]*"/"discovery":"{}"/"#, discovery.address);
        let kind = format!(r#"s/"discovery":"pushed"/"discovery":"{kind}"/"#);
        let edit = format!("sed -i -e '{place}' -e '{kind}' -e '{further}' \"$EDGE_CONFIG\"");
        let command = format!("{edit} && ulimit -n {sockets} && exec \"$PROGRAM\"");
        let scheduler = Scheduler::start_by_command(&command, sockets, &[worker.address]).await;
        let mut client = scheduler.client().await;
        // One that says nothing at first is not kept for long.
        assert_eq!(client.exchange(READINESS_REQUEST).await.status(), 200);
        Fixture { scheduler, worker, client, job: 1 }
    }
    fn r0(&self, phase: &str) -> [String; 1] {
        [endpoint("r0", self.worker.address, phase)]
    }
    async fn serves(&mut self) {
        self.job += 1;
        self.scheduler.serve_request(&mut self.client, &mut self.worker, self.job, DONE).await;
    }
    /// The next request does not reach the worker that drains.
    async fn assert_draining_worker_gets_nothing(&mut self) {
        self.job += 1;
        let job = request_text("once", self.job, 9000);
        assert_eq!(self.client.exchange(&job).await.status(), 503);
        assert!(self.worker.is_idle());
    }
    /// Points it to another discovery.
    async fn move_discovery(&mut self, from: SocketAddr, to: SocketAddr) {
        let content = std::fs::read_to_string(&self.scheduler.path).expect("a configuration");
        let from = format!(r#""discovery":"{from}""#);
        assert!(content.contains(&from));
        let content = content.replace(&from, &format!(r#""discovery":"{to}""#));
        let lines = self.scheduler.reload(&content).await;
        assert!(lines.iter().any(|line| line.contains("discovery moves")), "{lines:?}");
    }
    /// Waits for the log's line of so many failed calls in all.
    async fn failures(&mut self, count: u32) {
        let count = format!("\"count\":{count}");
        loop {
            let line = self.scheduler.next_line().await;
            if line.contains("no answer of discovery") && line.contains(&count) {
                return;
            }
        }
    }
}

/// Discovery announces a drain from now on: it is known in time and kept; then serving goes on.
async fn assert_drain_is_known_in_time(
    what: &str,
    fixture: &mut Fixture,
    discovery: &Discovery,
    revision: u64,
) -> Call {
    let since = Instant::now();
    let watch = discovery.publish(revision, &fixture.r0("DRAINING")).await;
    let took = since.elapsed();
    assert!(took < Duration::from_micros(MAX_CHANGE_DELAY - DELAY_MARGIN), "{what}: {took:?}");
    fixture.assert_draining_worker_gets_nothing().await;
    watch.list(&endpoint_list(revision + 1, true, &fixture.r0("SERVING"))).await;
    let watch = discovery.call().await;
    assert!(watch.first.contains(&format!("from={}&", revision + 1)), "{what}: {}", watch.first);
    fixture.serves().await;
    watch
}

/// What a watch may come to. Some are kept open in silence: what is returned holds them.
const FAULTS: [&str; 15] = [
    "silent",
    "closed",
    "reset",
    "half an answer, then silence",
    "half an answer, then a close",
    "a head without end",
    "a body without end",
    "a body without end, at once",
    "longer than its length",
    "shorter than its length",
    "no list",
    "503",
    "503, then silence on its connection",
    "503 without end",
    "indented",
];

async fn inject(fault: &str, mut watch: Call, members: &[String]) -> Option<Call> {
    let body = endpoint_list(6, true, members);
    let long = body.len() + 9;
    let (half, pause) = (&body[..body.len() / 2], Duration::from_millis(20));
    let head = |length: usize| format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
    const OPEN: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let chunk = |length: usize| format!("{length:x}\r\n{}\r\n", " ".repeat(length));
    match fault {
        "silent" => {}
        "closed" => return None,
        "reset" => {
            watch.reset();
            return None;
        }
        "half an answer, then silence" => watch.write(&(head(body.len()) + half)).await,
        "half an answer, then a close" => {
            watch.write(&(head(body.len()) + half)).await;
            return None;
        }
        "a head without end" => {
            watch.repeat_forever("HTTP/1.1 200 OK\r\nX: ", "x".repeat(64), pause);
            return None;
        }
        "a body without end" => {
            watch.repeat_forever(OPEN, chunk(64), pause);
            return None;
        }
        "a body without end, at once" => {
            watch.repeat_forever(OPEN, chunk(65_536), Duration::ZERO);
            return None;
        }
        "longer than its length" => watch.write(&(head(body.len() - 9) + &body)).await,
        "shorter than its length" => watch.write(&(head(long) + &body)).await,
        "no list" => {
            watch.list(r#"{"revision":9,"complete":true,"members":[{"id":1}]}"#).await;
            return None;
        }
        "503" => {
            watch.write(UNAVAILABLE).await;
            return None;
        }
        "503, then silence on its connection" => {
            watch.write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n").await;
        }
        "503 without end" => {
            let begin = "HTTP/1.1 503 Service Unavailable\r\nTransfer-Encoding: chunked\r\n\r\n";
            watch.repeat_forever(begin, chunk(64), pause);
            return None;
        }
        "indented" => {
            let body = body.replace(',', " ,\r\n\t ");
            watch.list(&body).await;
            return None;
        }
        _ => unreachable!("{fault}"),
    }
    Some(watch)
}

#[test]
fn all_waits_for_a_change_added_up_stay_within_the_limit() {
    // The policy's longest waits where lists are asked for, in a fleet that spreads as far as any.
    let (mut first, mut wait) = (0, 0);
    for seed in 0..500 {
        let settings = Settings {
            discovery: copperspread_dispatcher::Discovery::Polled,
            fleet_size: 300,
            classes: vec![RequestClass::default()],
            ..Settings::default()
        };
        let mut policy = Dispatcher::new(settings, seed).expect("settings are good");
        let mut timer_delay = |event| {
            let mut actions = Vec::new();
            policy.handle(SECOND, event, &mut actions);
            actions.into_iter().find_map(|action| match action {
                Action::StartTimer { after, timer: Timer::Subscription } => Some(after),
                _ => None,
            })
        };
        let update = |kind| Event::Endpoints(EndpointUpdate { kind, version: 1, endpoints: &[] });
        first = first.max(timer_delay(update(EndpointUpdateKind::Cached)).expect("a first call"));
        for _ in 0..12 {
            assert_eq!(timer_delay(Event::TimerExpired(Timer::Subscription)), None);
            wait = wait.max(timer_delay(update(EndpointUpdateKind::Failed)).expect("a further call"));
        }
    }
    let sums = [
        (
            "asked: a watch that is silent, and the next call",
            WATCH_HOLD_TIME + POLLED_LIST_TIMEOUT + RETRY_BACKOFF_INITIAL + POLLED_LIST_TIMEOUT,
        ),
        (
            "asked: a call given up, the module's wait, and the next call",
            POLLED_LIST_TIMEOUT + wait + POLLED_LIST_TIMEOUT,
        ),
        ("asked: the first call of a start", first + POLLED_LIST_TIMEOUT),
        (
            "pushed: a watch that is silent, and the next call",
            WATCH_HOLD_TIME + PUSHED_WATCH_MARGIN + RETRY_BACKOFF_INITIAL + PUSHED_LIST_TIMEOUT,
        ),
        (
            "pushed: a call given up, and the next",
            PUSHED_LIST_TIMEOUT + RETRY_BACKOFF_MAX + PUSHED_LIST_TIMEOUT,
        ),
    ];
    for (what, sum) in sums {
        assert!(sum <= MAX_CHANGE_DELAY - DELAY_MARGIN, "{what}: {sum} us");
    }
}

#[tokio::test]
async fn a_drain_is_known_in_time_whatever_fault_a_watch_meets() {
    let one = |kind: &'static str, fault: &'static str| async move {
        let discovery = Discovery::up().await;
        let mut fixture = Fixture::start(kind, &discovery).await;
        let serving = fixture.r0("SERVING");
        let watch = discovery.publish(6, &serving).await;
        let _open = inject(fault, watch, &serving).await;
        fixture.serves().await;
        assert_drain_is_known_in_time(&format!("{kind}, {fault}"), &mut fixture, &discovery, 7).await;
    };
    join_all(DISCOVERY_KINDS.iter().flat_map(|kind| FAULTS.iter().map(move |fault| one(kind, fault)))).await;
}

// Guards against a second held call after one that fell silent: the two would take longer than the terms.
#[tokio::test]
async fn after_a_silent_watch_the_complete_list_is_requested_until_it_comes() {
    join_all(DISCOVERY_KINDS.map(|kind| async move {
        let discovery = Discovery::up().await;
        let mut fixture = Fixture::start(kind, &discovery).await;
        let _silent = discovery.publish(6, &fixture.r0("SERVING")).await;
        let since = Instant::now();
        let also_silent = discovery.call().await;
        assert_eq!(also_silent.first, FULL_LIST_REQUEST, "{kind}");
        assert!(
            since.elapsed() < Duration::from_micros(WATCH_HOLD_TIME + 2 * SECOND),
            "{kind}: {:?}",
            since.elapsed()
        );
        fixture.serves().await;
        assert_drain_is_known_in_time(kind, &mut fixture, &discovery, 7).await;
    }))
    .await;
}

#[tokio::test]
async fn a_discovery_that_is_unavailable_at_the_start_is_followed_once_it_is_available() {
    let one = |kind: &'static str, away: &'static str| async move {
        let mut discovery = Discovery::away(away).await;
        let mut fixture = Fixture::start(kind, &discovery).await;
        fixture.serves().await;
        fixture.failures(1).await;
        discovery.recover().await;
        assert_drain_is_known_in_time(&format!("{kind}, {away}"), &mut fixture, &discovery, 6).await;
    };
    join_all(DISCOVERY_KINDS.into_iter().flat_map(|kind| OUTAGES.map(|away| one(kind, away)))).await;
}

// Guards against a wait that grows with the outage beyond what the terms leave for it.
#[tokio::test]
async fn a_drain_is_known_in_time_after_many_failed_calls() {
    join_all(DISCOVERY_KINDS.map(|kind| async move {
        let discovery = Discovery::up().await;
        let mut fixture = Fixture::start(kind, &discovery).await;
        let mut call = discovery.publish(6, &fixture.r0("SERVING")).await;
        for _ in 0..4 {
            call.write(UNAVAILABLE).await;
            drop(call);
            call = discovery.call().await;
        }
        // The last one finds discovery gone silent; it could be reached right after.
        let since = Instant::now();
        assert_drain_is_known_in_time(kind, &mut fixture, &discovery, 7).await;
        assert!(
            since.elapsed() < Duration::from_micros(MAX_CHANGE_DELAY - DELAY_MARGIN),
            "{kind}: {:?}",
            since.elapsed()
        );
    }))
    .await;
}

#[tokio::test]
async fn an_older_list_changes_nothing_and_a_newer_one_after_it_is_applied() {
    join_all(DISCOVERY_KINDS.map(|kind| async move {
        let discovery = Discovery::up().await;
        let mut fixture = Fixture::start(kind, &discovery).await;
        let watch = discovery.publish(7, &fixture.r0("DRAINING")).await;
        fixture.assert_draining_worker_gets_nothing().await;
        watch.list(&endpoint_list(6, true, &fixture.r0("SERVING"))).await;
        let next = discovery.call().await;
        fixture.assert_draining_worker_gets_nothing().await;
        next.list(&endpoint_list(7, false, &fixture.r0("DRAINING"))).await;
        let next = discovery.call().await;
        assert!(next.first.contains("from=7&"), "{kind}: {}", next.first);
        fixture.assert_draining_worker_gets_nothing().await;
        next.list(&endpoint_list(8, false, &fixture.r0("SERVING"))).await;
        discovery.call().await;
        fixture.serves().await;
    }))
    .await;
}

// Guards against a discovery asked without a pause: by one that holds no watch, and by one that answers
// whole lists and breaks each watch.
#[tokio::test]
async fn a_discovery_that_holds_no_watch_is_not_polled_without_a_pause() {
    join_all(DISCOVERY_KINDS.map(|kind| async move {
        let discovery = Discovery::up().await;
        let fixture = Fixture::start(kind, &discovery).await;
        let mut call = discovery.publish(6, &fixture.r0("SERVING")).await;
        let since = Instant::now();
        for _ in 0..5 {
            call.list(&endpoint_list(6, false, &[])).await;
            call = discovery.call().await;
        }
        assert!(
            since.elapsed() >= Duration::from_micros(5 * RETRY_BACKOFF_INITIAL),
            "{kind}: {:?}",
            since.elapsed()
        );
        let since = Instant::now();
        for _ in 0..5 {
            drop(call);
            call = discovery.publish(6, &fixture.r0("SERVING")).await;
        }
        assert!(
            since.elapsed() >= Duration::from_micros(5 * RETRY_BACKOFF_INITIAL),
            "{kind}: {:?}",
            since.elapsed()
        );
    }))
    .await;
}

#[tokio::test]
async fn a_new_discovery_is_followed_whatever_the_old_one_still_answers() {
    join_all(DISCOVERY_KINDS.map(|kind| async move {
        let (old, new) = (Discovery::up().await, Discovery::up().await);
        let mut fixture = Fixture::start(kind, &old).await;
        let (serving, draining) = (fixture.r0("SERVING"), fixture.r0("DRAINING"));
        let watch = old.publish(99, &serving).await;
        fixture.move_discovery(old.address, new.address).await;
        // The old one answers the call that was out; the new one counts lower.
        watch.list(&endpoint_list(100, true, &serving)).await;
        let whole = new.call().await;
        assert_eq!(whole.first, FULL_LIST_REQUEST, "{kind}");
        whole.list(&endpoint_list(2, true, &draining)).await;
        let watch = new.call().await;
        assert!(watch.first.contains("from=2&"), "{kind}: {}", watch.first);
        fixture.assert_draining_worker_gets_nothing().await;
        // Back, with a call out that was not answered once.
        fixture.move_discovery(new.address, old.address).await;
        drop(watch);
        old.publish(1, &serving).await;
        fixture.serves().await;
    }))
    .await;
}

#[tokio::test]
async fn a_new_discovery_that_is_unavailable_is_followed_once_it_is_available() {
    let one = |kind: &'static str, away: &'static str| async move {
        let old = Discovery::up().await;
        let mut new = Discovery::away(away).await;
        let mut fixture = Fixture::start(kind, &old).await;
        let _watch = old.publish(99, &fixture.r0("SERVING")).await;
        fixture.move_discovery(old.address, new.address).await;
        fixture.failures(1).await;
        fixture.serves().await;
        new.recover().await;
        assert_drain_is_known_in_time(&format!("{kind}, {away}"), &mut fixture, &new, 2).await;
    };
    join_all(DISCOVERY_KINDS.into_iter().flat_map(|kind| OUTAGES.map(|away| one(kind, away)))).await;
}

// Guards against the wait of the first call, which is spread, for a discovery that has moved meanwhile.
#[tokio::test]
async fn a_move_before_the_first_call_is_followed_at_once() {
    let (old, new) = (Discovery::up().await, Discovery::up().await);
    let large = r#"s/"fleet_size":1/"fleet_size":300/"#;
    let mut fixture = Fixture::start_with("on_request", &old, 1024, large).await;
    let since = Instant::now();
    fixture.move_discovery(old.address, new.address).await;
    let whole = new.call().await;
    // The policy would ask some 1.8 s after the start, by the seed of the configuration.
    assert!(since.elapsed() < Duration::from_secs(1), "{:?}", since.elapsed());
    assert!(old.listener.as_ref().expect("it is up").accept().now_or_never().is_none());
    whole.list(&endpoint_list(2, true, &fixture.r0("DRAINING"))).await;
    let mut watch = new.call().await;
    fixture.assert_draining_worker_gets_nothing().await;
    // The policy's own word, when it comes, is no second call.
    for revision in 3..5 {
        assert!(watch.first.contains(&format!("from={}&", revision - 1)), "{}", watch.first);
        watch.list(&endpoint_list(revision, false, &[])).await;
        watch = new.call().await;
    }
}

// Guards against calls that multiply: each move in the policy's wait after a failure makes a call at once,
// and the policy asks for one of its own later.
#[tokio::test]
async fn moves_during_an_outage_do_not_multiply_the_calls() {
    let (one, two) = (Discovery::up().await, Discovery::up().await);
    let mut fixture = Fixture::start("on_request", &one).await;
    let (mut here, mut there) = (&one, &two);
    here.call().await.write(UNAVAILABLE).await;
    for _ in 0..6 {
        fixture.move_discovery(here.address, there.address).await;
        there.call().await.write(UNAVAILABLE).await;
        (here, there) = (there, here);
    }
    // What was asked for before the last move may still come.
    here.call().await.write(UNAVAILABLE).await;
    here.call().await.write(UNAVAILABLE).await;
    let since = Instant::now();
    for _ in 0..3 {
        here.call().await.write(UNAVAILABLE).await;
    }
    // The policy waits for a second at least from its second failure on.
    assert!(since.elapsed() >= Duration::from_secs(2), "{:?}", since.elapsed());
}

#[tokio::test]
async fn a_start_without_a_list_requests_one_before_any_client_request() {
    join_all(DISCOVERY_KINDS.map(|kind| async move {
        let discovery = Discovery::up().await;
        let mut fixture = Fixture::start_with(kind, &discovery, 1024, r#"s/"known":/"earlier":/"#).await;
        let serving = fixture.r0("SERVING");
        let told = tokio::time::timeout(Duration::from_secs(5), discovery.publish(1, &serving)).await;
        assert!(told.is_ok(), "{kind}: no call came");
        fixture.serves().await;
    }))
    .await;
}

// What readiness waits for: the configuration is read, the policy made and the listener open. Discovery
// is not waited for.
#[tokio::test]
async fn a_restart_while_discovery_is_unavailable_serves_from_the_cached_list() {
    let one = |kind: &'static str, signal: &'static str, away: &'static str| async move {
        let mut discovery = Discovery::away(if away == "slow" { "silent" } else { away }).await;
        let mut fixture = Fixture::start(kind, &discovery).await;
        fixture.serves().await;
        let since = Instant::now();
        let work = async {
            fixture.scheduler.restart(signal).await;
            fixture.client = fixture.scheduler.client().await;
            assert_eq!(fixture.client.exchange(READINESS_REQUEST).await.status(), 200);
            fixture.serves().await;
        };
        let slow = async {
            if away != "slow" {
                return std::future::pending().await;
            }
            loop {
                let begin = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                discovery.call().await.repeat_forever(begin, "1\r\n \r\n".into(), Duration::from_millis(50));
            }
        };
        tokio::select! {
            () = work => {}
            () = slow => {}
        }
        assert!(since.elapsed() < Duration::from_secs(8), "{kind}, {signal}, {away}: {:?}", since.elapsed());
        discovery.recover().await;
        assert_drain_is_known_in_time(&format!("{kind}, {signal}, {away}"), &mut fixture, &discovery, 6)
            .await;
    };
    let each = |kind| {
        ["KILL", "TERM"].map(|signal| ["refuses", "silent", "slow"].map(|away| one(kind, signal, away)))
    };
    join_all(DISCOVERY_KINDS.into_iter().flat_map(each).flatten()).await;
}

// Guards against clients that leave no descriptor for the call that finds discovery back.
#[tokio::test]
async fn idle_clients_that_fill_the_descriptors_do_not_keep_discovery_from_being_followed() {
    join_all(DISCOVERY_KINDS.map(|kind| async move {
        let mut discovery = Discovery::down();
        let mut fixture = Fixture::start_with(kind, &discovery, 64, "").await;
        let mut crowd = Vec::new();
        for number in 0..120 {
            let mut client = fixture.scheduler.client().await;
            if number % 2 == 0 {
                client.send(READINESS_REQUEST).await;
            }
            crowd.push(client);
        }
        fixture.failures(4).await;
        let open = format!("/proc/{}/fd", fixture.scheduler.child.id().expect("it runs"));
        let open = std::fs::read_dir(open).expect("its descriptors").count();
        assert!((32..64).contains(&open), "{kind}: {open} descriptors are open");
        fixture.client = fixture.scheduler.client().await;
        fixture.serves().await;
        discovery.listen().await;
        assert_drain_is_known_in_time(kind, &mut fixture, &discovery, 6).await;
        drop(crowd);
    }))
    .await;
}
