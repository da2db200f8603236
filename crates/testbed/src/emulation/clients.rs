//! Clients: one task a job, over all its tries.
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use copperspread_dispatcher::{Micros, RequestId};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, StatusCode};
use rand::RngExt;
use tokio::time::{sleep, timeout_at};

use crate::emulation::environment::{Environment, HttpClient, MAX_BODY_BYTES, expected_result};
use crate::load::job_request;
use crate::model::arrivals::Arrival;
use crate::model::random::RandomStream;
use crate::outcome::JobOutcome;
use crate::rule_checker::{ClientResponse, TIMING_GRACE};
use crate::scenario::micros_from_seconds;

/// What a client hears.
enum SchedulerResponse {
    Served(Bytes),
    Rejected(Micros),
    Failed,
    ConnectionBroken,
}

/// The scheduler that clients reach who want one: it, or the next of its zone that is up, or of any.
fn reachable_scheduler(stage: &Environment, wanted: u32) -> u32 {
    let (all, zones) = (stage.schedulers.len() as u32, stage.scenario.zones);
    let after = || (0..all).map(|step| (wanted + step) % all);
    let up = |at: &u32| stage.schedulers[*at as usize].1.get();
    let near = after().filter(up).find(|at| at % zones == wanted % zones);
    near.or_else(|| after().find(up)).unwrap_or(wanted)
}

/// A client's job, from its first try to its end.
pub async fn run_job(
    stage: Rc<Environment>,
    client: HttpClient,
    number: u64,
    of: Arrival,
    mut chance: RandomStream,
) {
    let class = &stage.scenario.classes[of.class as usize];
    let gives_up = of.at + micros_from_seconds(class.deadline_s);
    let mut retries = stage.scenario.clients.max_retries;
    stage.apply(|world| world.add_job(number, of));
    let end = loop {
        let scheduler = reachable_scheduler(&stage, of.scheduler);
        let id = stage.apply(|world| world.register_request(number, scheduler, gives_up));
        let left = u128::from(gives_up.saturating_sub(stage.now()) / 1_000);
        let target = stage.schedulers[scheduler as usize].0;
        let request = job_request(target, &class.name, (id, number), left, &of);
        let by = stage.instant_at(gives_up + micros_from_seconds(stage.scenario.clients.deadline_grace_s));
        let said = timeout_at(by, send_request(&client, request)).await;
        let now = stage.now();
        let Ok(said) = said else {
            stage.apply(|world| world.referee.deadline_passed(now, RequestId(id)));
            break JobOutcome::Unanswered;
        };
        let heard = match &said {
            // A result of another request is as forged as one that nobody made.
            SchedulerResponse::Served(body) if *body == expected_result(id).as_bytes() => {
                ClientResponse::Served
            }
            SchedulerResponse::Served(_) => ClientResponse::Forged,
            SchedulerResponse::Rejected(_) | SchedulerResponse::Failed => ClientResponse::Unserved,
            SchedulerResponse::ConnectionBroken => ClientResponse::ConnectionBroken,
        };
        stage.apply(|world| world.referee.response_received(now, RequestId(id), heard));
        match said {
            SchedulerResponse::Served(_) => {
                let wanted = micros_from_seconds(class.latency_objective_s + class.latency_stretch * of.work);
                break if now.saturating_sub(of.at) <= wanted {
                    JobOutcome::InTime
                } else {
                    JobOutcome::Late
                };
            }
            SchedulerResponse::Rejected(after) => {
                let clients = &stage.scenario.clients;
                let wait = clients.retry_timing.delay(after, clients.max_retry_after_s, chance.random());
                if retries == 0 || now + wait + TIMING_GRACE >= gives_up {
                    break JobOutcome::Rejected;
                }
                retries -= 1;
                sleep(Duration::from_micros(wait)).await;
            }
            SchedulerResponse::Failed | SchedulerResponse::ConnectionBroken => break JobOutcome::Failed,
        }
    };
    let took = stage.now().saturating_sub(of.at);
    stage.apply(|world| world.tally.record_job(&of, class, took, end));
}

async fn send_request(client: &HttpClient, request: Option<Request<Full<Bytes>>>) -> SchedulerResponse {
    let Some(request) = request else { return SchedulerResponse::Failed };
    let Ok(answer) = client.request(request).await else { return SchedulerResponse::ConnectionBroken };
    let (head, body) = answer.into_parts();
    // The last byte gives the answer's time.
    let Ok(body) = Limited::new(body, MAX_BODY_BYTES).collect().await else {
        return SchedulerResponse::ConnectionBroken;
    };
    match head.status {
        StatusCode::OK => SchedulerResponse::Served(body.to_bytes()),
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
            let after = head.headers.get("retry-after").and_then(|value| value.to_str().ok());
            let after = after.and_then(|value| value.parse::<f64>().ok()).filter(|value| value.is_finite());
            SchedulerResponse::Rejected(micros_from_seconds(after.unwrap_or(0.0)))
        }
        _ => SchedulerResponse::Failed,
    }
}
