//! Open-loop load generator: sends a scenario's jobs over real sockets at their scheduled times.
//!
//! The scheduled times are the same job arrivals as in the simulation. The latency of a job is measured from
//! its scheduled time. If the server stalls, later jobs are still sent on time. A stall therefore shows in
//! the latency of every job that is scheduled during the stall (no coordinated omission).
mod result;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use hyper::StatusCode;
use tokio::sync::{Semaphore, mpsc};
use tokio::time::{Instant, sleep_until, timeout_at};

use crate::http_client::{HttpClient, new_http_client, read_body};
use crate::job_request::JobRequest;
use crate::model::arrivals::{Arrival, Arrivals};
use crate::scenario::{JobClass, Scenario};
pub use result::{ClassLoadResult, LoadResult};
use result::{new_histogram, quantile_ms, summarize};

/// How a job ended from the load generator's point of view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum JobOutcome {
    Served,
    Rejected,
    Failed,
    /// The job's connection to the target broke or could not be opened.
    ConnectionBroken,
    /// No complete response to the job arrived before the client's deadline.
    TimedOut,
    /// The job was not sent, because too many requests were open at its scheduled time.
    NotSent,
}

/// A job with its outcome.
struct JobRecord {
    job: Arrival,
    outcome: JobOutcome,
    /// Time from the job's scheduled send time to the job's end, which is its response, its failure or its
    /// deadline; 0 if the job was not sent.
    latency: Duration,
}

/// Sends each of a scenario's jobs to `target` once, without retries.
///
/// At most `max_open_requests` requests are open at a time. A job that would exceed this number is not sent.
/// Returns when each job that was sent has its response or has passed its deadline. All spawned tasks have
/// ended by then.
pub async fn send_load(
    scenario: &Scenario,
    seed: u64,
    target: SocketAddr,
    max_open_requests: usize,
) -> LoadResult {
    let client = new_http_client();
    let permits = Arc::new(Semaphore::new(max_open_requests.max(1)));
    let (records, received_records) = mpsc::unbounded_channel();
    // The end of the task is awaited below, after the last sender of its channel is dropped.
    let collector = tokio::spawn(collect(received_records));
    // Request ids must differ from those of earlier runs, because a scheduler answers a repeated id with 400.
    let first_id = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos() as u64;
    let started_at = Instant::now();
    let mut send_lag = new_histogram();
    for (number, job) in Arrivals::new(scenario, seed).enumerate() {
        let scheduled_at = started_at + Duration::from_micros(job.at);
        sleep_until(scheduled_at).await;
        send_lag.saturating_record(scheduled_at.elapsed().as_micros() as u64);
        let records = records.clone();
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            let _ = records.send(JobRecord { job, outcome: JobOutcome::NotSent, latency: Duration::ZERO });
            continue;
        };
        let class = scenario.classes[job.class as usize].clone();
        let request = PlannedRequest {
            client: client.clone(),
            target,
            class,
            job,
            id: first_id.wrapping_add(number as u64),
            scheduled_at,
        };
        // The task ends at the job's deadline at the latest. It then sends the job's outcome to the collector
        // task, which waits for the outcomes of all jobs.
        tokio::spawn(async move {
            let _ = records.send(request.send_until_deadline().await);
            drop(permit);
        });
    }
    drop(records);
    let records = collector.await.unwrap_or_default();
    let send_lag_ms = [quantile_ms(&send_lag, 0.99), quantile_ms(&send_lag, 1.0)];
    LoadResult { classes: summarize(scenario, &records), send_lag_ms }
}

async fn collect(mut records: mpsc::UnboundedReceiver<JobRecord>) -> Vec<JobRecord> {
    let mut all = Vec::new();
    while let Some(record) = records.recv().await {
        all.push(record);
    }
    all
}

/// A request for one job, which is about to be sent to the target.
struct PlannedRequest {
    client: HttpClient,
    target: SocketAddr,
    class: JobClass,
    job: Arrival,
    id: u64,
    scheduled_at: Instant,
}

impl PlannedRequest {
    async fn send_until_deadline(self) -> JobRecord {
        let deadline = self.scheduled_at + Duration::from_secs_f64(self.class.deadline_s);
        let outcome = timeout_at(deadline, self.send(deadline)).await;
        JobRecord {
            job: self.job,
            outcome: outcome.unwrap_or(JobOutcome::TimedOut),
            latency: self.scheduled_at.elapsed(),
        }
    }

    async fn send(&self, deadline: Instant) -> JobOutcome {
        let request = JobRequest {
            target: self.target,
            class: &self.class.name,
            request_id: self.id,
            job_id: self.id,
            timeout_ms: deadline.saturating_duration_since(Instant::now()).as_millis(),
            arrival: &self.job,
        };
        let Some(request) = request.build() else { return JobOutcome::Failed };
        let Ok(response) = self.client.request(request).await else { return JobOutcome::ConnectionBroken };
        let status = response.status();
        // The response counts as received once its last byte has arrived.
        if read_body(response.into_body()).await.is_err() {
            return JobOutcome::ConnectionBroken;
        }
        match status {
            StatusCode::OK => JobOutcome::Served,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => JobOutcome::Rejected,
            _ => JobOutcome::Failed,
        }
    }
}
