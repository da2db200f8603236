//! Rules for final responses. Each request gets a single final response before its deadline. A served
//! response contains a result that a worker produced.
use copperspread_dispatcher::{Micros, RequestId};
use rustc_hash::FxHashMap;

use super::violations::{Rule, Violations};

/// What a client observed as the response to its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientResponse {
    /// The client received a result of its request. Whether a worker has produced a result of this request is
    /// checked separately.
    Served,
    /// The client received something that is not a result of its request.
    Forged,
    /// The client received a rejection or a failure.
    Unserved,
    /// The client's connection broke. The client then waits no longer and has no response.
    ConnectionBroken,
}

/// What was observed so far of a request that is not finished. This includes the number of responses that the
/// client received, and whether a worker has produced a result.
struct RequestState {
    deadline: Micros,
    responses: u32,
    /// Whether a scheduler has sent the final response to the request.
    is_response_sent: bool,
    /// Whether a worker has produced a result of the request.
    is_result_made: bool,
}

/// Checks that each request gets a single final response before its deadline. Also checks that a served
/// response has a result that a worker produced. For these checks, a [`RequestState`] is stored for each
/// request until the request is finished.
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

    /// Checks that the response to a request was received, or at least sent, when the client stops waiting
    /// after its deadline. A response that was sent and has not arrived is not a violation. For example, a
    /// retransmission can delay the response.
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
