//! Builds the HTTP request that a client sends to a scheduler for a job. The request has the same form as in
//! production.
use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;

use crate::model::arrivals::Arrival;

/// The values from which a client's HTTP request for a job is built.
pub(crate) struct JobRequest<'a> {
    /// The address of the scheduler to which the request is sent.
    pub target: SocketAddr,
    /// The name of the job's request class, a part of the request's path.
    pub class: &'a str,
    /// The id of the request, sent in the header `x-request-id`.
    pub request_id: u64,
    /// The id of the job, which is also the idempotency key. All requests for the job have the same id.
    pub job_id: u64,
    /// The time that the client waits for the response, in milliseconds, sent in the header `x-timeout`.
    pub timeout_ms: u128,
    /// The arrival of the job. The request's headers have the job's slots, memory and cost hint from this
    /// record.
    pub arrival: &'a Arrival,
}

impl JobRequest<'_> {
    /// Builds the HTTP request. Returns `None` if the name of the class is not valid in a path.
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
