//! Checks the rules on final responses: one for each request, genuine, and before the deadline.
use copperspread_dispatcher::{Micros, RequestId};
use rustc_hash::FxHashMap;

use super::violations::{Rule, Violations};

/// What a client received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientResponse {
    /// A result that a worker may have made.
    Served,
    /// What is no result of this request.
    Forged,
    /// A rejection or a failure.
    Unserved,
    /// The connection broke: no response, and the end of the wait.
    ConnectionBroken,
}

struct PendingRequest {
    deadline: Micros,
    responses: u32,
    /// A scheduler has sent the response.
    is_response_sent: bool,
    /// A worker has made a result for it.
    is_result_made: bool,
}

/// The requests of clients that have not ended.
#[derive(Default)]
pub(super) struct ResponseRules {
    requests: FxHashMap<RequestId, PendingRequest>,
}

impl ResponseRules {
    pub(super) fn request_sent(&mut self, request: RequestId, deadline: Micros) {
        let pending =
            PendingRequest { deadline, responses: 0, is_response_sent: false, is_result_made: false };
        self.requests.insert(request, pending);
    }

    pub(super) fn result_made(&mut self, request: RequestId) {
        if let Some(pending) = self.requests.get_mut(&request) {
            pending.is_result_made = true;
        }
    }

    pub(super) fn response_sent(&mut self, request: RequestId) {
        if let Some(pending) = self.requests.get_mut(&request) {
            pending.is_response_sent = true;
        }
    }

    pub(super) fn request_finished(&mut self, request: RequestId) {
        self.requests.remove(&request);
    }

    pub(super) fn response_received(
        &mut self,
        now: Micros,
        request: RequestId,
        response: ClientResponse,
        violations: &mut Violations,
    ) {
        let Some(pending) = self.requests.get_mut(&request) else { return };
        pending.responses += 1;
        check_single_response(pending, now, request, violations);
        check_genuine_result(pending, now, request, response, violations);
    }

    /// A response that was sent by the deadline and is still on its way, as after a retransmission, is no
    /// violation.
    pub(super) fn check_response_before_deadline(
        &self,
        now: Micros,
        request: RequestId,
        violations: &mut Violations,
    ) {
        let Some(pending) = self.requests.get(&request) else { return };
        if pending.responses == 0 && !pending.is_response_sent && now >= pending.deadline {
            violations.record(Rule::ResponseBeforeDeadline, now, || describe(request));
        }
    }
}

fn check_single_response(
    pending: &PendingRequest,
    now: Micros,
    request: RequestId,
    violations: &mut Violations,
) {
    if pending.responses > 1 {
        violations.record(Rule::SingleResponse, now, || describe(request));
    }
}

fn check_genuine_result(
    pending: &PendingRequest,
    now: Micros,
    request: RequestId,
    response: ClientResponse,
    violations: &mut Violations,
) {
    let is_genuine = match response {
        ClientResponse::Served => pending.is_result_made,
        ClientResponse::Forged => false,
        ClientResponse::Unserved | ClientResponse::ConnectionBroken => true,
    };
    if !is_genuine {
        violations.record(Rule::GenuineResult, now, || describe(request));
    }
}

fn describe(request: RequestId) -> String {
    format!("request {:x}", request.0)
}
