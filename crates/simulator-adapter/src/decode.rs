//! Decodes simulator messages into the dispatcher's events.
use copperspread_dispatcher::{
    AttemptOutcome, Endpoint, EndpointUpdateKind, Event, IncomingRequest, LoadReport, Outcome, Progress,
    RequestId, WorkerState,
};
use copperspread_settings::json::micros_from_seconds;
use copperspread_settings::name_hash;

use crate::cookie::{parse_request_id, parse_timer};
use crate::error::{HandleError, MessageError, SkipReason};
use crate::message::{Entry, Line, Load};
use crate::workers::WorkerTable;

/// An endpoint update that owns its list of endpoints. In contrast, the dispatcher's `EndpointUpdate` borrows
/// the list.
pub(crate) struct OwnedEndpointUpdate {
    /// Whether the update contains a full list, a cached list or a list of changes, or reports a failed poll.
    pub(crate) kind: EndpointUpdateKind,
    /// The version of the endpoint list in the update; 0 if the update reports a failed poll.
    pub(crate) version: u64,
    /// The endpoints in the update. If the update reports a failed poll, there may be none.
    pub(crate) endpoints: Vec<Endpoint>,
}

/// Decodes a `topology` message into an endpoint update. Workers that no earlier message has listed get new
/// ids.
pub(crate) fn endpoint_update(
    message: &Line<'_>,
    workers: &mut WorkerTable,
) -> Result<OwnedEndpointUpdate, MessageError> {
    let kind = update_kind(message)?;
    let listed = match (&message.nodes_list, kind) {
        (Some(listed), _) => listed.as_slice(),
        (None, EndpointUpdateKind::Failed) => &[],
        (None, _) => message.required(None, "nodes_list")?,
    };
    let endpoints = listed.iter().map(|listed| endpoint(listed, workers)).collect::<Result<_, _>>()?;
    let version = match kind {
        EndpointUpdateKind::Failed => 0,
        _ => message.required(message.serial, "serial")?,
    };
    Ok(OwnedEndpointUpdate { kind, version, endpoints })
}

fn update_kind(message: &Line<'_>) -> Result<EndpointUpdateKind, MessageError> {
    match message.required(message.mode.as_deref(), "mode")? {
        "D" => Ok(EndpointUpdateKind::Changes),
        "F" => Ok(EndpointUpdateKind::Full),
        "C" => Ok(EndpointUpdateKind::Cached),
        "X" => Ok(EndpointUpdateKind::Failed),
        mode => Err(MessageError::UnknownMode { mode: mode.to_owned() }),
    }
}

fn endpoint(listed: &Entry<'_>, workers: &mut WorkerTable) -> Result<Endpoint, MessageError> {
    Ok(Endpoint {
        worker: workers.id_or_insert(&listed.executor),
        zone: listed.dc.unwrap_or(0),
        kind: listed.class_of_host.unwrap_or(0),
        cell: listed.cluster.unwrap_or(0),
        state: worker_state(&listed.status)?,
        started_at: listed.online_since_s.map(micros_from_seconds).filter(|&at| at > 0),
        size: listed.nominal,
        hash_key: name_hash(&listed.executor),
    })
}

fn worker_state(status: &str) -> Result<WorkerState, MessageError> {
    match status {
        "live" => Ok(WorkerState::Ready),
        "quiescing" => Ok(WorkerState::Draining),
        "dead" => Ok(WorkerState::Removed),
        _ => Err(MessageError::UnknownStatus { status: status.to_owned() }),
    }
}

/// Decodes a simulator message into an event for the dispatcher. `topology` messages are decoded by
/// [`endpoint_update`] instead. Messages of other kinds that have no event are skipped as
/// [`SkipReason::UnknownKind`].
pub(crate) fn event(message: &Line<'_>, workers: &WorkerTable) -> Result<Event<'static>, HandleError> {
    match &*message.kind {
        "work_item" => Ok(Event::Request(incoming_request(message)?)),
        "answer" => Ok(Event::AttemptCompleted(attempt_outcome(message)?)),
        "progress" => attempt_progress(message, progress(message)?),
        // A `started` message means that the response has begun to stream to the client. A `progress` message
        // of kind 1 means that the attempt has started to run.
        "started" => attempt_progress(message, Progress::Streaming),
        "aborted" => Ok(Event::ClientDisconnected(request_id(message)?)),
        "bell" => timer_expired(message),
        "checked" => load_query_completed(message, workers),
        kind => Err(SkipReason::UnknownKind { kind: kind.to_owned() }.into()),
    }
}

fn incoming_request(message: &Line<'_>) -> Result<IncomingRequest, MessageError> {
    Ok(IncomingRequest {
        request: request_id(message)?,
        class: message.required(message.category, "category")?,
        tenant: message.org.unwrap_or(0),
        slots: message.width,
        cost_hint: message.work_s,
        time_left: micros_from_seconds(message.required(message.expires_in_s, "expires_in_s")?),
    })
}

fn attempt_outcome(message: &Line<'_>) -> Result<AttemptOutcome, MessageError> {
    Ok(AttemptOutcome {
        request: request_id(message)?,
        attempt: message.required(message.attempt, "try")?,
        outcome: outcome(message)?,
        request_finished: message.required(message.over, "over")?,
        elapsed: micros_from_seconds(message.required(message.elapsed_s, "elapsed_s")?),
        report: message.load.as_ref().map(load_report),
    })
}

fn progress(message: &Line<'_>) -> Result<Progress, HandleError> {
    match message.required(message.what, "what")? {
        1 => Ok(Progress::Started),
        2 => Ok(Progress::Done(message.required(message.level, "level")?)),
        kind => Err(SkipReason::UnknownProgress { kind }.into()),
    }
}

fn attempt_progress(message: &Line<'_>, progress: Progress) -> Result<Event<'static>, HandleError> {
    Ok(Event::AttemptProgress {
        request: request_id(message)?,
        attempt: message.required(message.attempt, "try")?,
        progress,
    })
}

fn timer_expired(message: &Line<'_>) -> Result<Event<'static>, HandleError> {
    let cookie = message.required(message.cookie.as_deref(), "cookie")?;
    let timer = parse_timer(cookie).ok_or(SkipReason::UnknownTimer)?;
    Ok(Event::TimerExpired(timer))
}

fn load_query_completed(message: &Line<'_>, workers: &WorkerTable) -> Result<Event<'static>, HandleError> {
    let name = message.required(message.executor.as_deref(), "executor")?;
    let worker = workers.id(name).ok_or_else(|| SkipReason::UnknownWorker { worker: name.to_owned() })?;
    Ok(Event::LoadQueryCompleted {
        worker,
        outcome: outcome(message)?,
        report: message.load.as_ref().map(load_report),
    })
}

fn request_id(message: &Line<'_>) -> Result<RequestId, MessageError> {
    let text = message.required(message.req.as_deref(), "req")?;
    parse_request_id(text).ok_or_else(|| MessageError::InvalidRequestId { text: text.to_owned() })
}

fn outcome(message: &Line<'_>) -> Result<Outcome, MessageError> {
    match message.required(message.state_code, "state_code")? {
        0 => Ok(Outcome::Error),
        1 => Ok(Outcome::Served),
        2 => Ok(Outcome::Rejected),
        3 => Ok(Outcome::TimedOut),
        4 => Ok(Outcome::ConnectFailed),
        5 => Ok(Outcome::Reset),
        6 => Ok(Outcome::Cancelled),
        7 => Ok(Outcome::Superseded),
        code => Err(MessageError::UnknownOutcome { code }),
    }
}

fn load_report(load: &Load) -> LoadReport {
    LoadReport {
        queue: load.waiting,
        in_flight: load.active,
        utilization: load.cpu,
        qps: load.rps,
        free_slots: load.x0,
    }
}
