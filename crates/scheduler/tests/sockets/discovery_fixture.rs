//! A scheduler with a fake discovery and one worker.
#![allow(dead_code, reason = "each test program uses only some items")]
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use copperspread_dispatcher::{Micros, SECOND};

use crate::fake_discovery::{Call, FakeDiscovery};
use crate::sockets::*;

/// The longest time from a change in discovery until the scheduler applies it.
pub(crate) const MAX_CHANGE_DELAY: Micros = 6 * SECOND;
/// The part of [`MAX_CHANGE_DELAY`] that is left for the network and a busy machine.
pub(crate) const DELAY_MARGIN: Micros = SECOND / 2;
/// The longest pause of a scheduler between reading its clock and writing a request to a worker.
pub(crate) const HOLD_UP: Micros = 150_000;
/// The time after the announcement of a drain from which nothing new may be written to its worker.
pub(crate) const DRAIN_GRACE: Micros = SECOND / 2;
pub(crate) const FULL_LIST_REQUEST: &str = "GET /api/targets HTTP/1.1";
pub(crate) const DONE: &str = r#""state":"done","result":"well""#;
pub(crate) const DISCOVERY_KINDS: [&str; 2] = ["pushed", "on_request"];
/// The ways of [`FakeDiscovery::unavailable`].
pub(crate) const OUTAGES: [&str; 3] = ["refuses", "silent", "connections time out"];

/// A running scheduler, the worker r0 of its cached list, a client, and the id of the client's last request.
pub(crate) struct Fixture {
    pub(crate) scheduler: Scheduler,
    pub(crate) worker: FakeServer,
    pub(crate) client: Client,
    pub(crate) last_id: u64,
}

impl Fixture {
    pub(crate) async fn start(discovery_kind: &str, discovery: &FakeDiscovery) -> Fixture {
        Fixture::start_with(discovery_kind, discovery, 1024, "").await
    }
    /// Starts a scheduler with this number of descriptors, and edits its configuration by one more `sed`
    /// command.
    pub(crate) async fn start_with(
        discovery_kind: &str,
        discovery: &FakeDiscovery,
        descriptors: u32,
        extra_edit: &str,
    ) -> Fixture {
        let worker = FakeServer::start().await;
        let address_edit = format!(r#"s/"discovery":"127[^"]*"/"discovery":"{}"/"#, discovery.address);
        let kind_edit = format!(r#"s/"discovery":"pushed"/"discovery":"{discovery_kind}"/"#);
        let edit = format!("sed -i -e '{address_edit}' -e '{kind_edit}' -e '{extra_edit}' \"$EDGE_CONFIG\"");
        let command = format!("{edit} && ulimit -n {descriptors} && exec \"$PROGRAM\"");
        let scheduler = Scheduler::start_by_command(&command, descriptors, &[worker.address]).await;
        let mut client = scheduler.client().await;
        // A connection without a first request would be closed soon.
        assert_eq!(client.exchange(READINESS_REQUEST).await.status(), 200);
        Fixture { scheduler, worker, client, last_id: 1 }
    }
    pub(crate) fn r0(&self, phase: &str) -> [String; 1] {
        [endpoint("r0", self.worker.address, phase)]
    }
    pub(crate) async fn serve_request(&mut self) {
        self.last_id += 1;
        self.scheduler.serve_request(&mut self.client, &mut self.worker, self.last_id, DONE).await;
    }
    /// Asserts that the next request is rejected and does not reach the draining worker.
    pub(crate) async fn assert_draining_worker_gets_nothing(&mut self) {
        self.last_id += 1;
        let request = request_text("once", self.last_id, 9000);
        assert_eq!(self.client.exchange(&request).await.status(), 503);
        assert!(self.worker.is_idle());
    }
    /// Sends requests until one is rejected because the only worker drains, and returns that instant. Earlier
    /// requests are served. Returns `None` if none is rejected before `give_up_at`.
    pub(crate) async fn drain_known_at(&mut self, give_up_at: Instant) -> Option<Instant> {
        while Instant::now() < give_up_at {
            self.last_id += 1;
            self.client.send_request("once", self.last_id, 9000).await;
            tokio::select! {
                response = self.client.next_response() => {
                    assert_eq!(response.expect("a response").status(), 503);
                    return Some(Instant::now());
                }
                request = self.worker.next_request() => {
                    let id = request.accept();
                    assert_eq!(self.scheduler.call_back(&id, "r0", DONE).await, 204);
                    assert_eq!(self.client.next_response().await.expect("a response").status(), 200);
                }
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        None
    }
    /// Reloads the configuration with another address of discovery.
    pub(crate) async fn move_discovery(&mut self, from: SocketAddr, to: SocketAddr) {
        let content =
            std::fs::read_to_string(&self.scheduler.path).expect("the configuration file is readable");
        let from = format!(r#""discovery":"{from}""#);
        assert!(content.contains(&from));
        let content = content.replace(&from, &format!(r#""discovery":"{to}""#));
        let lines = self.scheduler.reload(&content).await;
        assert!(lines.iter().any(|line| line.contains(r#""discovery_changed":true"#)), "{lines:?}");
    }
    /// Waits for the log line that counts this many failed calls in total.
    pub(crate) async fn wait_for_failures(&mut self, count: u32) {
        let count = format!("\"count\":{count}");
        loop {
            let line = self.scheduler.next_line().await;
            if line.contains("no answer of discovery") && line.contains(&count) {
                return;
            }
        }
    }
}

/// Announces a drain by discovery, and asserts that the scheduler applies it in time and keeps it. Then ends
/// the drain, and asserts that requests are served again. Returns the watch that is open afterwards.
pub(crate) async fn assert_drain_is_known_in_time(
    what: &str,
    fixture: &mut Fixture,
    discovery: &FakeDiscovery,
    revision: u64,
) -> Call {
    let started_at = Instant::now();
    let watch = discovery.publish(revision, &fixture.r0("DRAINING")).await;
    let elapsed_time = started_at.elapsed();
    assert!(
        elapsed_time < Duration::from_micros(MAX_CHANGE_DELAY - DELAY_MARGIN),
        "{what}: {elapsed_time:?}"
    );
    fixture.assert_draining_worker_gets_nothing().await;
    watch.respond_with_list(&endpoint_list(revision + 1, true, &fixture.r0("SERVING"))).await;
    let watch = discovery.next_call().await;
    assert!(watch.first_line.contains(&format!("from={}&", revision + 1)), "{what}: {}", watch.first_line);
    fixture.serve_request().await;
    watch
}
