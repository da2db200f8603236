//! Builds a client's request by the platform's protocol.
use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;

use crate::model::arrivals::Arrival;

/// What a client's request is made from.
pub(crate) struct JobRequest<'a> {
    /// The scheduler.
    pub target: SocketAddr,
    /// The job's class.
    pub class: &'a str,
    /// The request's id.
    pub request_id: u64,
    /// The job's id, the same in all requests for it.
    pub job_id: u64,
    /// How long the client will wait, in milliseconds.
    pub timeout_ms: u128,
    /// The job.
    pub arrival: &'a Arrival,
}

impl JobRequest<'_> {
    /// The request; `None` if a class's name makes no valid path.
    pub(crate) fn build(&self) -> Option<Request<Full<Bytes>>> {
        let url = format!("http://{}/{}/{:x}", self.target, self.class, self.job_id);
        let mut request = Request::post(url)
            .header("x-request-id", format!("{:016x}", self.request_id))
            .header("x-timeout", format!("{}m", self.timeout_ms))
            .header("idempotency-key", format!("{:032x}", self.job_id))
            .header("x-attrs", job_attributes(self.arrival));
        if let Some(cost_s) = self.arrival.cost_hint {
            request = request.header("x-cost", format!("{:.0}", cost_s * 1e6));
        }
        request.body(Full::from("a job")).ok()
    }
}

fn job_attributes(arrival: &Arrival) -> String {
    if arrival.memory > 0.0 {
        return format!("width={},memory={:.4}", arrival.slots, arrival.memory);
    }
    format!("width={}", arrival.slots)
}
