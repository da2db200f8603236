//! What the module asks of the node beside sending jobs, over sockets: a stub stands for the module.
mod sockets;
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use copperspread_dispatcher::*;
use copperspread_event_log::writer::Recorder;
use copperspread_proxy::assembly::{AssembledProxy, assemble};
use copperspread_proxy::discovery::{
    EndpointSource, platform::PlatformDiscovery, static_list::StaticEndpoints,
};
use copperspread_settings::{EndpointList, platform};
use sockets::*;
use tokio::sync::{mpsc, watch};

type End = (u32, Outcome, Option<LoadReport>);

/// Asks, at any event, for the probes that the test wants, subscribes at once while it may, and tells the
/// test what came back.
struct Stub {
    wanted: Arc<Mutex<Vec<u32>>>,
    subscribe: Arc<AtomicBool>,
    ends: mpsc::UnboundedSender<End>,
    rosters: mpsc::UnboundedSender<(EndpointUpdateKind, usize)>,
}

impl DispatchPolicy for Stub {
    fn handle(&mut self, _: Micros, event: Event<'_>, actions: &mut Vec<Action>) {
        if let Event::LoadQueryCompleted { worker, outcome, report } = event {
            let _ = self.ends.send((worker.0, outcome, report));
        } else if let Event::Endpoints(roster) = event {
            let _ = self.rosters.send((roster.kind, roster.endpoints.len()));
            let calls = matches!(roster.kind, EndpointUpdateKind::Cached | EndpointUpdateKind::Failed);
            if calls && self.subscribe.load(Ordering::Relaxed) {
                actions.push(Action::Subscribe);
            }
        }
        let wanted = std::mem::take(&mut *self.wanted.lock().expect("a lock"));
        actions.extend(wanted.into_iter().map(|worker| Action::QueryLoad { worker: WorkerId(worker) }));
    }
}

struct House {
    node: AssembledProxy,
    wanted: Arc<Mutex<Vec<u32>>>,
    subscribe: Arc<AtomicBool>,
    ends: mpsc::UnboundedReceiver<End>,
    rosters: mpsc::UnboundedReceiver<(EndpointUpdateKind, usize)>,
}

impl House {
    async fn open(discovery: &str, members: &[String]) -> House {
        let any = "127.0.0.1:0".parse().expect("an address");
        let text = config(any, any, &list(1, true, members)).replace("pushed", discovery);
        let start = platform::read_startup_config(&text).expect("it is good");
        let (wanted, subscribe) = (Arc::<Mutex<_>>::default(), Arc::new(AtomicBool::new(true)));
        let ((ends_to, ends), (rosters_to, rosters)) = (mpsc::unbounded_channel(), mpsc::unbounded_channel());
        let (wants, may) = (Arc::clone(&wanted), Arc::clone(&subscribe));
        let stub = Stub { wanted: wants, subscribe: may, ends: ends_to, rosters: rosters_to };
        let node = assemble(&start, Box::new(stub), &Recorder::off()).await.expect("a port");
        House { node, wanted, subscribe, ends, rosters }
    }
    fn ask(&self, workers: &[u32]) {
        self.wanted.lock().expect("a lock").extend(workers);
        self.node.endpoint_publisher.publish(false, &[]);
    }
    async fn end(&mut self) -> End {
        within("a probe's end", self.ends.recv()).await.expect("the module lives")
    }
    async fn told(&mut self) -> (EndpointUpdateKind, usize) {
        within("a roster", self.rosters.recv()).await.expect("the module lives")
    }
}

#[tokio::test]
async fn each_probe_comes_back_once_whatever_the_real_server_does() {
    let load = LoadReport { in_flight: Some(7.0), free_slots: Some(1.5), ..LoadReport::default() };
    let only = |free_slots| Some(LoadReport { free_slots: Some(free_slots), ..LoadReport::default() });
    let (ok, header) = ("200 OK", "X-Server-Load: TEXT x0=4\r\n");
    let cases = [
        (ok, "", "TEXT inflight=7, x0=1.5", Outcome::Served, Some(load)),
        (ok, "", r#"{"inflight": 7, "x0": 1.5}"#, Outcome::Served, Some(load)),
        (ok, header, "", Outcome::Served, only(4.0)),
        (ok, "", "[1, x0=?", Outcome::Served, None),
        ("503 Service Unavailable", "", r#"{"load":{"x0":0}}"#, Outcome::Error, only(0.0)),
        ("404 Not Found", "", "", Outcome::Error, None),
        ("", "", "a broken connection", Outcome::Reset, None),
    ];
    let (_reserved, refuses) = reserve();
    let (mut silent, mut drains) = (Party::new().await, Party::new().await);
    let mut members = vec![member("refuses", refuses, "SERVING"), member("s", silent.address, "SERVING")];
    members.push(member("drains", drains.address, "DRAINING"));
    let mut parties = Vec::new();
    for number in 0..cases.len() {
        parties.push(Party::new().await);
        members.push(member(&format!("r{number}"), parties[number].address, "SERVING"));
    }
    let mut house = House::open("pushed", &members).await;
    // The silent one is asked twice, and nobody has the number 90.
    house.ask(&[0, 1, 1, 2, 90, 3, 4, 5, 6, 7, 8, 9]);
    for (party, (status, header, body, ..)) in parties.iter_mut().zip(&cases) {
        let asked = party.asked().await;
        assert_eq!(asked.message.first, "GET /-/load HTTP/1.1");
        if !status.is_empty() {
            asked.answer(status, header, body);
        }
    }
    let mut ends = HashMap::<u32, Vec<_>>::new();
    for _ in 0..12 {
        let (worker, outcome, report) = house.end().await;
        ends.entry(worker).or_default().push((outcome, report));
    }
    assert_eq!(ends[&0], [(Outcome::ConnectFailed, None)]);
    assert_eq!(ends[&1], [(Outcome::Superseded, None), (Outcome::TimedOut, None)], "one at a time");
    assert_eq!(
        (&ends[&2], &ends[&90]),
        (&vec![(Outcome::Superseded, None)], &vec![(Outcome::Superseded, None)])
    );
    for (number, (.., outcome, report)) in cases.iter().enumerate() {
        assert_eq!(ends[&(number as u32 + 3)], [(*outcome, *report)], "case {number}");
    }
    // A late answer is dropped, and its connection carries the next probe.
    let late = silent.asked().await;
    assert!(silent.idle() && drains.idle());
    house.ask(&[1]);
    assert_eq!(house.end().await, (1, Outcome::Superseded, None), "it has one still");
    let connection = late.from;
    late.answer(ok, "", "TEXT x0=1");
    let next = loop {
        house.ask(&[1]);
        tokio::select! {
            asked = silent.asked() => break asked,
            end = house.end() => assert_eq!(end, (1, Outcome::Superseded, None)),
        }
    };
    assert_eq!(next.from, connection);
    house.node.begin_shutdown();
    house.ask(&[3]);
    assert_eq!(house.end().await, (3, Outcome::Superseded, None), "none while it ends");
}

// Guards against probes that pile up at silent real servers and take the descriptors of the rest.
#[tokio::test]
async fn no_more_probes_are_under_way_than_have_a_place() {
    let silent = Party::new().await;
    let members: Vec<_> = (0..40).map(|n| member(&format!("r{n}"), silent.address, "SERVING")).collect();
    let mut house = House::open("pushed", &members).await;
    house.ask(&(0..40).collect::<Vec<_>>());
    let mut moot = 0;
    for _ in 0..40 {
        moot += u32::from(house.end().await.1 == Outcome::Superseded);
    }
    assert_eq!(moot, 28);
}

/// Where lists come only when they are asked for: a discovery, its place, and what the module is told.
#[tokio::test]
async fn an_asked_discovery_is_asked_again_as_soon_as_a_watch_breaks() {
    let (mut discovery, mut other) = (Party::new().await, Party::new().await);
    let (place, address) = watch::channel(discovery.address.to_string().parse().expect("an address"));
    let mut house = House::open("on_request", &[]).await;
    let membership = house.node.endpoint_publisher.clone();
    tokio::spawn(Box::new(PlatformDiscovery { address, known: Some(1) }).follow(membership));
    const WATCH: &str = "GET /api/targets?from=1&hold_ms=2000 HTTP/1.1";
    const WHOLE: &str = "GET /api/targets HTTP/1.1";
    let nothing = list(1, false, &[]);
    // The module hears that its subscription has come about, though there is nothing new.
    assert_eq!(house.told().await, (EndpointUpdateKind::Cached, 0));
    let first = discovery.asked().await;
    assert_eq!(first.message.first, WHOLE);
    first.answer("200 OK", "", &nothing);
    assert_eq!(house.told().await, (EndpointUpdateKind::Changes, 0));
    // After a watch that breaks or falls silent the whole list is asked for, long before what was missed
    // counts as told: a second watch could fall silent for as long again.
    let watch = discovery.asked().await;
    assert_eq!(watch.message.first, WATCH);
    drop(watch);
    let again = discovery.asked().await;
    assert_eq!(again.message.first, WHOLE);
    again.answer("200 OK", "", &nothing);
    let since = std::time::Instant::now();
    let silent = discovery.asked().await;
    assert_eq!(silent.message.first, WATCH);
    let again = discovery.asked().await;
    assert!(since.elapsed().as_millis() < 4_000, "{:?}", since.elapsed());
    assert_eq!(again.message.first, WHOLE);
    again.answer("200 OK", "", &list(1, false, &[member("r0", discovery.address, "DRAINING")]));
    assert_eq!(house.told().await, (EndpointUpdateKind::Changes, 1), "no failure before");
    // One that is turned away is not: the module waits, and asks.
    discovery.asked().await.answer("503 Service Unavailable", "", "");
    assert_eq!(house.told().await, (EndpointUpdateKind::Failed, 0));
    house.subscribe.store(false, Ordering::Relaxed);
    discovery.asked().await.answer("503 Service Unavailable", "", "");
    assert_eq!(house.told().await, (EndpointUpdateKind::Failed, 0));
    // A discovery that moves is not waited for.
    place.send_replace(other.address.to_string().parse().expect("an address"));
    let whole = other.asked().await;
    assert_eq!(whole.message.first, "GET /api/targets HTTP/1.1");
    whole.answer("200 OK", "", &list(1, true, &[]));
    assert_eq!(house.told().await, (EndpointUpdateKind::Full, 0));
    assert!(discovery.idle());
}

// Guards against a word to ask that came while a call was out, and that would pass for the module's answer to
// the next failure: the module spreads its calls.
#[tokio::test]
async fn an_older_word_to_ask_is_no_answer_to_a_later_failure() {
    let mut discovery = Party::new().await;
    let (_place, address) = watch::channel(discovery.address.to_string().parse().expect("an address"));
    let mut house = House::open("on_request", &[]).await;
    let membership = house.node.endpoint_publisher.clone();
    tokio::spawn(Box::new(PlatformDiscovery { address, known: Some(1) }).follow(membership));
    assert_eq!(house.told().await, (EndpointUpdateKind::Cached, 0));
    discovery.asked().await.answer("200 OK", "", &list(1, true, &[]));
    assert_eq!(house.told().await, (EndpointUpdateKind::Full, 0));
    let watch = discovery.asked().await;
    // The stub asks at this event, with a call out.
    house.node.endpoint_publisher.publish_cached(None);
    assert_eq!(house.told().await, (EndpointUpdateKind::Cached, 0));
    house.subscribe.store(false, Ordering::Relaxed);
    watch.answer("503 Service Unavailable", "", "");
    assert_eq!(house.told().await, (EndpointUpdateKind::Failed, 0));
    let early = tokio::time::timeout(std::time::Duration::from_millis(300), discovery.asked()).await;
    assert!(early.is_err(), "the module has not asked yet");
    // It does now.
    house.subscribe.store(true, Ordering::Relaxed);
    house.node.endpoint_publisher.publish_cached(None);
    assert_eq!(discovery.asked().await.message.first, "GET /api/targets HTTP/1.1");
}

// Guards against a subscription waited for a second time, which the module has no reason to ask for.
#[tokio::test]
async fn a_fixed_list_that_changes_is_told_also_where_lists_are_asked_for() {
    let mut house = House::open("on_request", &[]).await;
    let fixed = |revision| EndpointList { revision, complete: true, endpoints: Vec::new() };
    let (place, list) = watch::channel(fixed(2));
    tokio::spawn(Box::new(StaticEndpoints(list)).follow(house.node.endpoint_publisher.clone()));
    assert_eq!(house.told().await, (EndpointUpdateKind::Cached, 0));
    for revision in 3..5 {
        assert_eq!(house.told().await, (EndpointUpdateKind::Full, 0));
        place.send_replace(fixed(revision));
    }
    assert_eq!(house.told().await, (EndpointUpdateKind::Full, 0));
}
