//! Rules for final responses: each request gets a single response, with a genuine result, before the
//! deadline.
use copperspread_dispatcher::{Micros, RequestId};
use rustc_hash::FxHashMap;

use super::violations::{Rule, Violations};

/// The response that a client observed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientResponse {
    /// A result that a worker may have produced.
    Served,
    /// A response that is not a result of this request.
    Forged,
    /// A rejection or a failure.
    Unserved,
    /// A broken connection, which ends the wait without a response.
    ConnectionBroken,
}

/// What was observed of the responses and results of a request that is not finished.
struct RequestState {
    deadline: Micros,
    responses: u32,
    /// Whether a scheduler has sent the final response.
    is_response_sent: bool,
    /// Whether a worker has produced a result.
    is_result_made: bool,
}

/// Checks that each request gets a single final response before its deadline, and that a served response has
/// a result that a worker produced. The state of each unfinished request is stored.
#[derive(Default)]
pub(super) struct ResponseRules {
    requests: FxHashMap<RequestId, RequestState>,
}

impl ResponseRules {
    pub(super) fn request_sent(&mut self, request: RequestId, deadline: Micros) {
        let state = RequestState { deadline, responses: 0, is_response_sent: false, is_result_made: false };
        self.requests.insert(request, state);
    }

    pub(super) fn result_made(&mut self, request: RequestId) {
        if let Some(state) = self.requests.get_mut(&request) {
            state.is_result_made = true;
        }
    }

    pub(super) fn response_sent(&mut self, request: RequestId) {
        if let Some(state) = self.requests.get_mut(&request) {
            state.is_response_sent = true;
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
        let Some(state) = self.requests.get_mut(&request) else { return };
        state.responses += 1;
        check_single_response(state, now, request, violations);
        check_genuine_result(state, now, request, response, violations);
    }

    /// Checks, when the client stops waiting after its deadline, that a response was received or at least
    /// sent. A response that is still on its way, for example because of a retransmission, is not a
    /// violation.
    pub(super) fn check_response_before_deadline(
        &self,
        now: Micros,
        request: RequestId,
        violations: &mut Violations,
    ) {
        let Some(state) = self.requests.get(&request) else { return };
        if state.responses == 0 && !state.is_response_sent && now >= state.deadline {
            violations.record(Rule::ResponseBeforeDeadline, now, || describe(request));
        }
    }
}

fn check_single_response(state: &RequestState, now: Micros, request: RequestId, violations: &mut Violations) {
    if state.responses > 1 {
        violations.record(Rule::SingleResponse, now, || describe(request));
    }
}

fn check_genuine_result(
    state: &RequestState,
    now: Micros,
    request: RequestId,
    response: ClientResponse,
    violations: &mut Violations,
) {
    let is_genuine = match response {
        ClientResponse::Served => state.is_result_made,
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
