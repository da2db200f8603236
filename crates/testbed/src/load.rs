//! Sends a scenario's jobs over real sockets, in an open loop.
//!
//! Each job has the instant at which it was meant to be sent, from the same stream of arrivals as in
//! virtual time, and its time counts from there. A server that stalls holds no later job back, so that
//! its stall shows in all the jobs that came meanwhile, and not in one.
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, StatusCode};
use hyper_util::client::legacy::{Client, connect::HttpConnector};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;
use tokio::sync::{Semaphore, mpsc};
use tokio::time::{Instant, sleep_until, timeout_at};

use crate::model::arrivals::{Arrival, Arrivals};
use crate::scenario::{Class, Scenario};

/// Longest body of an answer that is read.
const LONGEST_BODY: usize = 64 * 1024;
/// Longest time that is told apart, in microseconds.
const LONGEST_US: u64 = 3_600_000_000;

/// What became of one job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Heard {
    Served,
    Refused,
    Failed,
    /// The connection broke, or never came up.
    Broken,
    /// Nothing came before the client gave up.
    Silent,
    /// Too many were open: it was not sent.
    NotSent,
}

/// What a class's jobs came to.
#[derive(Clone, Debug, Default, Serialize)]
pub struct OfClass {
    /// Its name.
    pub name: String,
    /// Jobs that were meant to be sent.
    pub meant: u64,
    /// Answered 200, and those of them within the wanted time.
    pub served: u64,
    /// Served within the class's aim and stretch.
    pub in_time: u64,
    /// Answered 429 or 503.
    pub refused: u64,
    /// Answered otherwise.
    pub failed: u64,
    /// The connection broke, or never came up.
    pub broken: u64,
    /// No answer before the client gave up.
    pub silent: u64,
    /// Not sent, as too many were open.
    pub not_sent: u64,
    /// Times of served jobs from when they were meant to be sent, in milliseconds: median, 90%, 99%,
    /// 99.9%, most.
    pub served_ms: [f64; 5],
}

/// What a load came to.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// By class.
    pub classes: Vec<OfClass>,
    /// How late this tool was itself in sending, in milliseconds, at 99% and at most.
    pub own_lag_ms: [f64; 2],
}

impl Report {
    /// The report as text.
    pub fn text(&self) -> String {
        let mut text = format!(
            "{:<14} {:>7} {:>7} {:>7} {:>7} {:>7} {:>7} {:>7} {:>7}  served in ms: 50% 90% 99% 99.9% most\n",
            "class", "meant", "served", "in time", "refused", "failed", "broken", "silent", "unsent"
        );
        for of in &self.classes {
            let times = of.served_ms.map(|ms| format!("{ms:.1}")).join(" ");
            text += &format!(
                "{:<14} {:>7} {:>7} {:>7} {:>7} {:>7} {:>7} {:>7} {:>7}  {times}\n",
                of.name,
                of.meant,
                of.served,
                of.in_time,
                of.refused,
                of.failed,
                of.broken,
                of.silent,
                of.not_sent
            );
        }
        let [most, worst] = self.own_lag_ms;
        text += &format!("this tool sent late by {most:.2} ms (99%), {worst:.2} ms (most)\n");
        text
    }
}

type Sender = Client<HttpConnector, Full<Bytes>>;

/// Sends a scenario's first tries to an address; a client of this tool does not try again. Ends once the
/// last job is answered or given up.
pub async fn load(scenario: &Scenario, seed: u64, target: SocketAddr, most_open: usize) -> Report {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    let client: Sender = Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        // A client that resends by itself would hide what broke.
        .retry_canceled_requests(false)
        .build(connector);
    let places = Arc::new(Semaphore::new(most_open.max(1)));
    let (told, mut heard) = mpsc::unbounded_channel();
    let collect = tokio::spawn(async move {
        let mut all = Vec::new();
        while let Some(one) = heard.recv().await {
            all.push(one);
        }
        all
    });
    // Ids that no run before has used: the scheduler answers those of late with 400.
    let base = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos() as u64;
    let began = Instant::now();
    let mut lag = empty();
    for (number, job) in Arrivals::new(scenario, seed).enumerate() {
        let meant = began + Duration::from_micros(job.at);
        sleep_until(meant).await;
        lag.saturating_record(meant.elapsed().as_micros() as u64);
        let class = scenario.classes[job.class as usize].clone();
        let told = told.clone();
        let Ok(place) = Arc::clone(&places).try_acquire_owned() else {
            let _ = told.send((job, Heard::NotSent, Duration::ZERO));
            continue;
        };
        let client = client.clone();
        let id = base.wrapping_add(number as u64);
        tokio::spawn(async move {
            let by = meant + Duration::from_secs_f64(class.deadline);
            let answer = timeout_at(by, ask(&client, target, &class, &job, id, by)).await;
            let _ = told.send((job, answer.unwrap_or(Heard::Silent), meant.elapsed()));
            drop(place);
        });
    }
    drop(told);
    let all = collect.await.unwrap_or_default();
    let ms = |of: &Histogram<u64>, quantile| of.value_at_quantile(quantile) as f64 / 1e3;
    Report { classes: sum(scenario, &all), own_lag_ms: [ms(&lag, 0.99), ms(&lag, 1.0)] }
}

/// A client's request by the platform's protocol: its id, the id of the job over all tries, and for how
/// many milliseconds the client will wait.
pub fn job_request(
    target: SocketAddr,
    class: &str,
    (id, job): (u64, u64),
    left: u128,
    of: &Arrival,
) -> Option<Request<Full<Bytes>>> {
    let mut request = Request::post(format!("http://{target}/{class}/{job:x}"))
        .header("x-request-id", format!("{id:016x}"))
        .header("x-timeout", format!("{left}m"))
        .header("idempotency-key", format!("{job:032x}"))
        .header("x-attrs", attributes(of));
    if let Some(hint) = of.cost_hint {
        request = request.header("x-cost", format!("{:.0}", hint * 1e6));
    }
    request.body(Full::from("a job")).ok()
}

fn attributes(of: &Arrival) -> String {
    if of.memory > 0.0 {
        return format!("width={},memory={:.4}", of.slots, of.memory);
    }
    format!("width={}", of.slots)
}

async fn ask(
    client: &Sender,
    target: SocketAddr,
    class: &Class,
    job: &Arrival,
    id: u64,
    by: Instant,
) -> Heard {
    let left = by.saturating_duration_since(Instant::now()).as_millis();
    let Some(request) = job_request(target, &class.name, (id, id), left, job) else { return Heard::Failed };
    let Ok(answer) = client.request(request).await else { return Heard::Broken };
    let status = answer.status();
    // The last byte gives the answer's time.
    if Limited::new(answer.into_body(), LONGEST_BODY).collect().await.is_err() {
        return Heard::Broken;
    }
    match status {
        StatusCode::OK => Heard::Served,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => Heard::Refused,
        _ => Heard::Failed,
    }
}

fn empty() -> Histogram<u64> {
    Histogram::new_with_max(LONGEST_US, 3).unwrap_or_else(|_| unreachable!("good bounds"))
}

fn sum(scenario: &Scenario, all: &[(Arrival, Heard, Duration)]) -> Vec<OfClass> {
    let one = |(number, class): (usize, &Class)| {
        let mut of = OfClass { name: class.name.clone(), ..OfClass::default() };
        let mut times = empty();
        for (job, heard, took) in all.iter().filter(|(job, _, _)| job.class as usize == number) {
            of.meant += 1;
            match heard {
                Heard::Served => {
                    of.served += 1;
                    let wanted = class.aim + class.stretch * job.work;
                    of.in_time += u64::from(took.as_secs_f64() <= wanted);
                    times.saturating_record(took.as_micros() as u64);
                }
                Heard::Refused => of.refused += 1,
                Heard::Failed => of.failed += 1,
                Heard::Broken => of.broken += 1,
                Heard::Silent => of.silent += 1,
                Heard::NotSent => of.not_sent += 1,
            }
        }
        let quantiles = [0.5, 0.9, 0.99, 0.999, 1.0];
        of.served_ms = quantiles.map(|quantile| times.value_at_quantile(quantile) as f64 / 1e3);
        of
    };
    scenario.classes.iter().enumerate().map(one).collect()
}
