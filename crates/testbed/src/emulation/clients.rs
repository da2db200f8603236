//! The clients of the emulation. Each job has one task, which sends all requests for the job to schedulers.
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use copperspread_dispatcher::{Micros, RequestId};
use hdrhistogram::Histogram;
use http_body_util::Full;
use hyper::header::HeaderMap;
use hyper::{Request, StatusCode};
use rand::RngExt;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, timeout, timeout_at};

use crate::emulation::EmulationError;
use crate::emulation::environment::Environment;
use crate::emulation::platform_json::expected_result;
use crate::http_client::{HttpClient, new_http_client, read_body};
use crate::job_request::JobRequest;
use crate::model::arrivals::{Arrival, Arrivals};
use crate::model::random::{RandomStream, StreamPurpose, random_stream};
use crate::model::scheduler_id::SchedulerId;
use crate::outcome::JobOutcome;
use crate::rule_checker::{ClientResponse, TIMING_GRACE};
use crate::scenario::{JobClass, micros_from_seconds};

/// Precision with which the delays in sending jobs are recorded, in significant decimal digits.
const SIGNIFICANT_DIGITS: u8 = 3;
/// Time after the last deadline by which all jobs must have ended. Otherwise the emulation fails.
const COMPLETION_GRACE: Duration = Duration::from_secs(5);

/// How late the emulation itself sent the jobs, compared with their scheduled arrival times.
pub(super) struct SendLag {
    /// The 99% quantile and the maximum of the delays in sending jobs, in milliseconds.
    pub(super) quantiles_ms: [f64; 2],
}

/// Sends all jobs of a run, and waits until each job has an outcome. No client task outlives this call: if
/// the future is dropped, the tasks are cancelled.
pub(super) async fn send_jobs(environment: &Rc<Environment>, seed: u64) -> Result<SendLag, EmulationError> {
    let scenario = &environment.scenario;
    let client = new_http_client();
    let mut lag = Histogram::<u64>::new(SIGNIFICANT_DIGITS)?;
    let mut jobs = JoinSet::new();
    for (number, arrival) in Arrivals::new(scenario, seed).enumerate() {
        let send_at = environment.instant_at(arrival.at);
        sleep_until(send_at).await;
        lag.saturating_record(send_at.elapsed().as_micros() as u64);
        let random = random_stream(seed.wrapping_add(number as u64), StreamPurpose::Retries);
        let job = Job { number: number as u64 + 1, arrival };
        jobs.spawn_local(run_job(Rc::clone(environment), client.clone(), job, random));
    }
    let longest_s = scenario.classes.iter().map(|class| class.deadline_s).fold(0.0, f64::max);
    let limit = Duration::from_secs_f64(longest_s) + COMPLETION_GRACE;
    let all_completed = timeout(limit, async { while jobs.join_next().await.is_some() {} });
    all_completed.await.map_err(|_| EmulationError::UnfinishedJobs)?;
    Ok(SendLag { quantiles_ms: [0.99, 1.0].map(|quantile| lag.value_at_quantile(quantile) as f64 / 1e3) })
}

/// A client's job with its number. The jobs are numbered from 1 in the order of arrival.
struct Job {
    number: u64,
    arrival: Arrival,
}

/// How a client's request to a scheduler ended: with a response, or with a broken connection.
enum SchedulerResponse {
    Served(Bytes),
    /// The scheduler rejected the request. The value is the time from the response's `Retry-After` header, in
    /// microseconds; 0 if the header is absent or is not a number.
    Rejected(Micros),
    Failed,
    ConnectionBroken,
}

/// How a client's request to a scheduler ended, and when: the time at which the last byte of the response
/// arrived or the connection broke.
struct ReceivedResponse {
    received_at: Micros,
    response: SchedulerResponse,
}

/// Sends a client's job, with retries after rejections, until the job has an outcome. Records the outcome.
async fn run_job(environment: Rc<Environment>, client: HttpClient, job: Job, mut random: RandomStream) {
    let class = &environment.scenario.classes[job.arrival.class as usize];
    let deadline = job.arrival.at + micros_from_seconds(class.deadline_s);
    let mut retries = environment.scenario.clients.max_retries;
    environment.apply(|state| state.add_job(job.number, job.arrival));
    let outcome = loop {
        let received = send_once(&environment, &client, &job, deadline).await;
        let Some(ReceivedResponse { received_at, response }) = received else {
            break JobOutcome::Unanswered;
        };
        match response {
            SchedulerResponse::Served(_) => break served_outcome(class, &job.arrival, received_at),
            SchedulerResponse::Rejected(retry_after) => {
                let clients = &environment.scenario.clients;
                let wait =
                    clients.retry_timing.delay(retry_after, clients.max_retry_after_s, random.random());
                if retries == 0 || received_at + wait + TIMING_GRACE >= deadline {
                    break JobOutcome::Rejected;
                }
                retries -= 1;
                sleep(Duration::from_micros(wait)).await;
            }
            SchedulerResponse::Failed | SchedulerResponse::ConnectionBroken => break JobOutcome::Failed,
        }
    };
    let latency = environment.now().saturating_sub(job.arrival.at);
    environment.apply(|state| state.outcomes.record_job(&job.arrival, class, latency, outcome));
}

fn served_outcome(class: &JobClass, arrival: &Arrival, received_at: Micros) -> JobOutcome {
    let objective = micros_from_seconds(class.latency_objective_s + class.latency_stretch * arrival.work);
    let latency = received_at.saturating_sub(arrival.at);
    if latency <= objective { JobOutcome::InTime } else { JobOutcome::Late }
}

/// Sends one request for a job to a scheduler, and reports the response to the rule checker. Returns `None`
/// if no response arrives before the end of the grace period after the deadline.
async fn send_once(
    environment: &Rc<Environment>,
    client: &HttpClient,
    job: &Job,
    deadline: Micros,
) -> Option<ReceivedResponse> {
    let scenario = &environment.scenario;
    let scheduler = reachable_scheduler(environment, job.arrival.scheduler);
    let id = environment.apply(|state| state.register_request(job.number, scheduler, deadline));
    let request = JobRequest {
        target: environment.schedulers[scheduler.index()].address,
        class: &scenario.classes[job.arrival.class as usize].name,
        request_id: id,
        job_id: job.number,
        timeout_ms: u128::from(deadline.saturating_sub(environment.now()) / 1_000),
        arrival: &job.arrival,
    };
    let grace = micros_from_seconds(scenario.clients.deadline_grace_s);
    let grace_ends_at = environment.instant_at(deadline + grace);
    let response = timeout_at(grace_ends_at, send_request(client, request.build())).await;
    let received_at = environment.now();
    let Ok(response) = response else {
        environment.apply(|state| state.rule_checker.deadline_passed(received_at, RequestId(id)));
        return None;
    };
    let checked = checked_response(&response, id);
    environment.apply(|state| state.rule_checker.response_received(received_at, RequestId(id), checked));
    Some(ReceivedResponse { received_at, response })
}

/// Returns the scheduler `preferred` if it is up. Otherwise returns another scheduler that is up, in the same
/// zone if possible. Returns `preferred` if no scheduler is up.
fn reachable_scheduler(environment: &Environment, preferred: SchedulerId) -> SchedulerId {
    let is_up = |id: SchedulerId| environment.schedulers[id.index()].is_up.get();
    preferred.reachable(environment.schedulers.len() as u32, environment.scenario.zones, is_up)
}

/// Classifies a scheduler's response for the rule checker. A result counts as forged if it is not the result
/// that a worker produces for this request.
fn checked_response(response: &SchedulerResponse, request_id: u64) -> ClientResponse {
    match response {
        // A result counts as forged if it differs from the result that a worker produces for this request. A
        // result that a worker produced for another request is therefore forged too.
        SchedulerResponse::Served(body) if *body == expected_result(request_id).as_bytes() => {
            ClientResponse::Served
        }
        SchedulerResponse::Served(_) => ClientResponse::Forged,
        SchedulerResponse::Rejected(_) | SchedulerResponse::Failed => ClientResponse::Unserved,
        SchedulerResponse::ConnectionBroken => ClientResponse::ConnectionBroken,
    }
}

async fn send_request(client: &HttpClient, request: Option<Request<Full<Bytes>>>) -> SchedulerResponse {
    let Some(request) = request else { return SchedulerResponse::Failed };
    let Ok(response) = client.request(request).await else { return SchedulerResponse::ConnectionBroken };
    let (head, body) = response.into_parts();
    // The response counts as received once its last byte has arrived.
    let Ok(body) = read_body(body).await else { return SchedulerResponse::ConnectionBroken };
    match head.status {
        StatusCode::OK => SchedulerResponse::Served(body),
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
            SchedulerResponse::Rejected(retry_after(&head.headers))
        }
        _ => SchedulerResponse::Failed,
    }
}

fn retry_after(headers: &HeaderMap) -> Micros {
    let value = headers.get("retry-after").and_then(|value| value.to_str().ok());
    let seconds = value.and_then(|value| value.parse::<f64>().ok()).filter(|seconds| seconds.is_finite());
    micros_from_seconds(seconds.unwrap_or(0.0))
}
