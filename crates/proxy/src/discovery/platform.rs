//! The platform's discovery: a list over HTTP, and the watch on it. How a list reads is in
//! `copperspread_settings::platform`; how it is fetched, only here.
use bytes::Bytes;
use copperspread_dispatcher::*;
use copperspread_settings::{EndpointList, json, platform};
use futures_util::future::BoxFuture;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::http::uri::{Authority, Uri};
use hyper::{Request, StatusCode};
use hyper_util::client::legacy::{Client, connect::HttpConnector};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until, timeout_at};

use crate::clock::from_now;
use crate::discovery::{EndpointPublisher, EndpointSource};
use crate::invariant::note;

/// Longest list that is read: some 10,000 entries, so that no fleet in sight reaches it, and a sixteenth
/// of the least memory. The 64 KiB of the protocol's other bodies hold about 400.
const LONGEST_BODY: usize = 2 << 20;
/// How long a watch is held at discovery. Short, because the wait for a watch that fell silent adds
/// to how late a change is seen, and empty answers cost little. It and what adds to it can be read from
/// outside: `docs/crossings-list.md` sums them, a test too.
pub const HOLD: Micros = 2 * SECOND;
/// A pushed list is at an agent nearby, which answers at once: a watch that has not answered this long
/// after its hold is over is dropped, and so is a call for the whole list.
pub const SILENT: (Micros, Micros) = (SECOND, 700_000);
/// Where lists are asked for, calls wait their turn for up to a second before they fail; the rest is for
/// their way. It counts twice in the wait for a change: for the call that is given up and for the next.
pub const SILENT_ASKED: Micros = 1_500_000;
/// First and longest wait before a failed call is made again where lists are pushed. Together with the
/// limit of the whole list under a second: what the agent has binds, also while it was silent. Where lists
/// are asked for, the first before a watch that broke is opened anew.
pub const RETRY: (Micros, Micros) = (100_000, 200_000);

/// The platform's discovery at an address, which may move.
pub struct PlatformDiscovery {
    /// Where it is.
    pub address: watch::Receiver<Authority>,
    /// The version of the list that was remembered.
    pub known: Option<u64>,
}

impl EndpointSource for PlatformDiscovery {
    fn follow(self: Box<Self>, membership: EndpointPublisher) -> BoxFuture<'static, ()> {
        Box::pin(follow(self.address, self.known, membership))
    }
}

fn client() -> Client<HttpConnector, Empty<Bytes>> {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_max_idle_per_host(1)
        .retry_canceled_requests(false)
        .build(connector)
}

/// Why a call brought no list: it was turned away, or it broke, was no list or fell silent.
enum Fault {
    Refused(StatusCode),
    Broken(String),
}

fn broken(error: impl ToString) -> Fault {
    Fault::Broken(error.to_string())
}

/// Follows discovery for good: one watch after the other. The first call and any after one that failed want
/// the whole list, as a watch says nothing for as long as it is held. Where changes come only on request, a
/// watch that broke is opened anew once before the module hears of it; after any other failure the next call
/// is the module's to ask for. When discovery moves, what is under way is dropped and the new address is
/// asked for the whole list.
async fn follow(
    mut discovery: watch::Receiver<Authority>,
    known: Option<u64>,
    membership: EndpointPublisher,
) {
    let mut client = client();
    let mut address = discovery.borrow().clone();
    let mut revision = known;
    let mut wait = RETRY.0;
    let on_request = membership.is_polled();
    // The module is owed a word that its subscription has come about.
    let mut owed = on_request;
    // The module will ask in its own time: at the start, and once it has heard of a failure.
    let mut waits = false;
    if on_request {
        waits = !asked(&mut discovery, &membership).await;
    }
    // The last call was answered.
    let mut stands = false;
    loop {
        if *discovery.borrow() != address {
            address = discovery.borrow().clone();
            // Guards against a connection to the old address that stays until it is closed there.
            client = self::client();
            // Guards against a new list that passes for old, as its revisions count anew.
            membership.reset_revision();
            revision = None;
            wait = RETRY.0;
            stands = false;
        }
        let watched = revision.filter(|_| stands);
        let path = match watched {
            Some(revision) => format!("/api/targets?from={revision}&hold_ms={}", HOLD / 1_000),
            None => "/api/targets".to_owned(),
        };
        // Guards against a discovery that is down and keeps its connections open in silence.
        let silent = if on_request { (SILENT_ASKED, SILENT_ASKED) } else { SILENT };
        let by = from_now(watched.map_or(silent.1, |_| HOLD + silent.0));
        let early = from_now(HOLD / 2);
        let answered = tokio::select! {
            // Guards against an answer of the old address that is taken after discovery moved.
            biased;
            Ok(()) = discovery.changed() => None,
            answered = call(&client, &address, &path, by) => Some(answered),
        };
        match answered {
            None => {}
            Some(Ok(list)) => {
                wait = RETRY.0;
                stands = true;
                let same = revision.is_some_and(|old| old == list.revision) && list.endpoints.is_empty();
                if let Some(told) = membership.apply(&list).filter(|_| owed || list.complete || !same) {
                    membership.publish(list.complete, &told);
                    (owed, waits) = (false, false);
                }
                // Guards against a list that is older than the table, and against a watch that is not
                // held: asked for again at once, the same would come again at once.
                let older = revision.is_some_and(|old| list.revision < old);
                let unheld = watched == Some(list.revision) && Instant::now() < early;
                revision = Some(list.revision);
                if older || unheld {
                    sleep_until(from_now(RETRY.0)).await;
                }
            }
            Some(Err(fault)) => {
                let stood = std::mem::take(&mut stands);
                let broke = matches!(fault, Fault::Broken(_));
                let why = match fault {
                    Fault::Broken(why) => why,
                    Fault::Refused(status) => format!("answered {status}"),
                };
                note("no answer of discovery, the list stays", &why);
                if on_request && !(stood && broke) {
                    // Told once, and waited for until the module asks. Guards against a move in this wait
                    // from which two calls would be asked for after each failure, then three.
                    if !std::mem::replace(&mut waits, true) {
                        membership.poll_failed();
                    }
                    owed = true;
                    waits = !asked(&mut discovery, &membership).await;
                } else {
                    // Soon: what a silent watch missed counts as told. Not at once: guards against a
                    // discovery that answers whole lists and breaks each watch. A move is not waited out.
                    let again = from_now(wait);
                    let _ = timeout_at(again, discovery.changed()).await;
                    wait = (wait * 2).min(RETRY.1);
                }
            }
        }
    }
}

/// Waits until the module asks for the list; false if discovery moved before. Guards against a wait for the
/// old place, and against a word of the module that is lost: it stays for the next wait.
async fn asked(discovery: &mut watch::Receiver<Authority>, membership: &EndpointPublisher) -> bool {
    tokio::select! {
        biased;
        () = membership.subscription_requested() => true,
        Ok(()) = discovery.changed() => false,
    }
}

/// One call to discovery, which is dropped at a deadline.
async fn call(
    client: &Client<HttpConnector, Empty<Bytes>>,
    discovery: &Authority,
    path: &str,
    by: Instant,
) -> Result<EndpointList, Fault> {
    let answer = async {
        let uri = Uri::builder().scheme("http").authority(discovery.clone()).path_and_query(path);
        let request = Request::get(uri.build().map_err(broken)?);
        let request = request.body(Empty::new()).map_err(broken)?;
        let response = client.request(request).await.map_err(broken)?;
        if response.status() != StatusCode::OK {
            return Err(Fault::Refused(response.status()));
        }
        let body = Limited::new(response.into_body(), LONGEST_BODY).collect().await;
        let value = json::parse_bytes(&body.map_err(broken)?.to_bytes()).map_err(broken)?;
        platform::read_endpoint_list(&value).map_err(broken)
    };
    timeout_at(by, answer).await.unwrap_or_else(|_| Err(broken("fell silent")))
}
