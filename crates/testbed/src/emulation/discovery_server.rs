//! The discovery servers of the emulation. Each scheduler polls its own discovery server for the endpoint
//! list.
use std::rc::Rc;
use std::time::Duration;

use copperspread_dispatcher::{Endpoint, EndpointUpdateKind, Micros, WorkerState};
use http_body_util::Full;
use hyper::{Request, Response};
use serde_json::Value;
use tokio::net::TcpListener;
use tokio::time::{sleep_until, timeout_at};

use crate::emulation::environment::{Environment, HttpResponse, serve_connection};
use crate::emulation::platform_json::{EndpointRecord, endpoint_list_json};
use crate::model::scheduler_id::SchedulerId;
use crate::scenario::micros_from_seconds;

/// Maximum time for which the discovery server delays the response to a poll while the endpoint list does not
/// change, in microseconds. The discovery service of the hosting platform, which schedulers poll in
/// production, has the same maximum.
const MAX_HOLD: Micros = 60_000_000;
/// Time between two switches of the served endpoint list during a `DiscoveryContradicts` fault. During this
/// fault, the discovery server serves an outdated list and the current list in turn. The simulation uses the
/// same time.
pub(crate) const CONTRADICTION_INTERVAL: Duration = Duration::from_secs(3);

/// Builds the body of discovery's response: an endpoint list in the same JSON format as in production, where
/// the hosting platform runs discovery. Removed workers appear only in a list of changes, not in a complete
/// list.
pub(crate) fn discovery_response_json(
    environment: &Environment,
    kind: EndpointUpdateKind,
    revision: u64,
    endpoints: &[Endpoint],
) -> Value {
    let is_complete = kind != EndpointUpdateKind::Changes;
    let listed = endpoints.iter().filter(|endpoint| !is_complete || endpoint.state != WorkerState::Removed);
    let members: Vec<Value> =
        listed.map(|endpoint| endpoint_record(environment, endpoint).to_json()).collect();
    endpoint_list_json(revision, is_complete, &members)
}

fn endpoint_record<'a>(environment: &'a Environment, endpoint: &Endpoint) -> EndpointRecord<'a> {
    EndpointRecord {
        worker: endpoint.worker,
        address: environment.worker_address(endpoint.worker),
        zone: endpoint.zone,
        kind: environment.worker_kind(endpoint.worker),
        cell: endpoint.cell,
        state: endpoint.state,
        started_at_unix_ms: endpoint.started_at.map_or(0, |at| environment.unix_ms_at(at)),
    }
}

/// Serves the endpoint list to one scheduler, until the run's task set is dropped. The scheduler polls at the
/// address of `listener`.
pub(crate) async fn serve_discovery(
    environment: Rc<Environment>,
    scheduler: SchedulerId,
    listener: TcpListener,
) {
    while let Ok((stream, _)) = listener.accept().await {
        let environment = Rc::clone(&environment);
        // The task ends when its connection ends or the run's task set is dropped.
        tokio::task::spawn_local(async move {
            serve_connection(stream, |request| {
                let environment = Rc::clone(&environment);
                async move { answer_poll(&environment, scheduler, &request).await }
            })
            .await;
        });
    }
}

/// Returns the value of a numeric parameter in a URL's query; `None` if the parameter is absent or not a
/// number.
fn query_number(query: &str, name: &str) -> Option<u64> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.filter(|(key, _)| *key == name).find_map(|(_, value)| value.parse().ok())
}

async fn answer_poll<B>(
    environment: &Rc<Environment>,
    scheduler: SchedulerId,
    request: &Request<B>,
) -> HttpResponse {
    let query = request.uri().query().unwrap_or_default();
    let known_revision = query_number(query, "from");
    let hold = query_number(query, "hold_ms").unwrap_or_default().saturating_mul(1_000).min(MAX_HOLD);
    let (kind, revision, endpoints) = wait_for_changes(environment, known_revision, hold).await;
    let body = discovery_response_json(environment, kind, revision, &endpoints).to_string();
    environment.record_notification(scheduler, &endpoints);
    Response::new(Full::from(body))
}

/// Waits until the endpoint list has changed since the revision `known_revision`, but no longer than `hold`
/// microseconds. Returns the changes.
///
/// The wait can be longer than `hold` in two cases. The scenario can set that schedulers get no list before
/// `first_list_after_s` seconds from the start of the run. A fault can keep discovery down.
async fn wait_for_changes(
    environment: &Environment,
    known_revision: Option<u64>,
    hold: Micros,
) -> (EndpointUpdateKind, u64, Vec<Endpoint>) {
    let mut list_changed = environment.subscribe_to_list();
    let polled_at = environment.now();
    let first_list_at = micros_from_seconds(environment.scenario.discovery.first_list_after_s);
    sleep_until(environment.instant_at(first_list_at)).await;
    let deadline = environment.instant_at(polled_at + hold);
    loop {
        list_changed.borrow_and_update();
        let (is_down, revision, changes) = {
            let list = environment.endpoint_list.borrow();
            (list.outages > 0, list.revision, list.changes_since(known_revision))
        };
        if is_down {
            let _ = list_changed.changed().await;
            continue;
        }
        if let Some((kind, endpoints)) = changes {
            return (kind, revision, endpoints);
        }
        if timeout_at(deadline, list_changed.changed()).await.is_err() {
            return (EndpointUpdateKind::Changes, revision, Vec::new());
        }
    }
}
