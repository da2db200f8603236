//! The platform's discovery: a list over HTTP, and the watch on it. How a list reads is in
//! `copperspread_settings::platform`; how it is fetched, only here.
use bytes::Bytes;
use copperspread_decisions::*;
use copperspread_settings::{List, json, platform};
use futures_util::future::BoxFuture;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::http::uri::{Authority, Uri};
use hyper::{Request, StatusCode};
use hyper_util::client::legacy::{Client, connect::HttpConnector};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until, timeout_at};

use crate::clock::from_now;
use crate::invariant::note;
use crate::source::{Membership, Source};

/// Longest list that is read: some 10,000 entries, so that no fleet in sight reaches it, and a sixteenth
/// of the least memory. The 64 KiB of the protocol's other bodies hold about 400.
const LONGEST_BODY: usize = 2 << 20;
/// How long a watch is held at discovery. Short, because the wait for a watch that fell silent adds
/// to how late a change is seen, and empty answers cost little.
const HOLD: Micros = 2 * SECOND;
/// A watch that has not answered this long after its hold is over is dropped.
const SILENT: Micros = SECOND;
/// First and longest wait before a failed call is made again.
const RETRY: (Micros, Micros) = (100_000, 800_000);

/// The platform's discovery at an address, which may move.
pub struct Targets {
    /// Where it is.
    pub address: watch::Receiver<Authority>,
    /// The version of the list that was remembered.
    pub known: Option<u64>,
}

impl Source for Targets {
    fn follow(self: Box<Self>, membership: Membership) -> BoxFuture<'static, ()> {
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

/// Follows discovery for good: one watch after the other. Where changes come only on request, each
/// subscription that the module asks for lasts until the first call that fails. When discovery
/// moves, the watch under way is dropped and the new address is asked for the whole list.
async fn follow(mut discovery: watch::Receiver<Authority>, known: Option<u64>, membership: Membership) {
    let mut client = client();
    let mut address = discovery.borrow().clone();
    let mut revision = known;
    let mut wait = RETRY.0;
    if membership.on_request() {
        membership.subscription().await;
    }
    loop {
        if *discovery.borrow() != address {
            address = discovery.borrow().clone();
            // Guards against a connection to the old address that stays until it is closed there.
            client = self::client();
            // Guards against a new list that passes for old, as its revisions count anew.
            membership.count_anew();
            revision = None;
            wait = RETRY.0;
        }
        let path = match revision {
            Some(revision) => format!("/api/targets?from={revision}&hold_ms={}", HOLD / 1_000),
            None => "/api/targets".to_owned(),
        };
        // Guards against a discovery that is down and keeps its connections open in silence.
        let by = from_now(if revision.is_some() { HOLD + SILENT } else { SILENT });
        let answered = tokio::select! {
            biased;
            Ok(()) = discovery.changed() => None,
            answered = call(&client, &address, &path, by) => Some(answered),
        };
        match answered {
            None => {}
            Some(Ok(list)) => {
                wait = RETRY.0;
                let news = revision.is_none_or(|old| old != list.revision) || !list.members.is_empty();
                if let Some(told) = membership.take(&list).filter(|_| news || list.complete) {
                    membership.tell(list.complete, &told);
                }
                // Guards against a list that is older than the table: asked for again at once, it
                // would come again at once.
                let older = revision.is_some_and(|old| list.revision < old);
                revision = Some(list.revision);
                if older {
                    sleep_until(from_now(RETRY.0)).await;
                }
            }
            Some(Err(why)) => {
                note("no answer of discovery, the list stays", &why);
                if membership.on_request() {
                    membership.failed();
                    membership.subscription().await;
                } else {
                    // A discovery that moves is not waited out.
                    let again = from_now(wait);
                    let _ = timeout_at(again, discovery.changed()).await;
                    wait = (wait * 2).min(RETRY.1);
                }
            }
        }
    }
}

/// One call to discovery, which is dropped at a deadline.
async fn call(
    client: &Client<HttpConnector, Empty<Bytes>>,
    discovery: &Authority,
    path: &str,
    by: Instant,
) -> Result<List, String> {
    let answer = async {
        let uri = Uri::builder().scheme("http").authority(discovery.clone()).path_and_query(path);
        let request = Request::get(uri.build().map_err(|e| e.to_string())?);
        let request = request.body(Empty::new()).map_err(|e| e.to_string())?;
        let response = client.request(request).await.map_err(|e| e.to_string())?;
        if response.status() != StatusCode::OK {
            return Err(format!("answered {}", response.status()));
        }
        let body = Limited::new(response.into_body(), LONGEST_BODY).collect().await;
        platform::read_list(&json::parse_bytes(&body.map_err(|e| e.to_string())?.to_bytes())?)
    };
    timeout_at(by, answer).await.unwrap_or_else(|_| Err("fell silent".into()))
}
