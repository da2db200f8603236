//! The forms of the wire: its messages, ids and units.
use std::borrow::Cow;
use std::io::{self, Write};

use copperspread_dispatcher::*;
use copperspread_settings::json::{self, micros};
use copperspread_settings::name_key;
use rustc_hash::FxHashMap;
use serde::Deserialize;
use serde_json::value::RawValue;

/// Any message from the simulator. One flat struct serves all kinds: fields that a kind lacks
/// stay empty, unknown ones are skipped, and nothing is copied.
#[derive(Deserialize)]
pub struct Line<'a> {
    #[serde(borrow)]
    pub kind: Cow<'a, str>,
    pub ts_s: Option<f64>,
    pub turn: Option<u64>,
    #[serde(borrow)]
    pub node_id: Option<Cow<'a, str>>,
    #[serde(borrow)]
    req: Option<Cow<'a, str>>,
    #[serde(borrow)]
    executor: Option<Cow<'a, str>>,
    #[serde(borrow)]
    cookie: Option<Cow<'a, str>>,
    #[serde(borrow)]
    mode: Option<Cow<'a, str>>,
    serial: Option<u64>,
    #[serde(borrow)]
    nodes_list: Option<Vec<Entry<'a>>>,
    prng: Option<u64>,
    #[serde(borrow)]
    params: Option<&'a RawValue>,
    width: Option<f64>,
    org: Option<u32>,
    category: Option<u32>,
    expires_in_s: Option<f64>,
    work_s: Option<f64>,
    #[serde(rename = "try")]
    attempt: Option<u32>,
    what: Option<u32>,
    level: Option<f64>,
    over: Option<bool>,
    state_code: Option<u32>,
    elapsed_s: Option<f64>,
    load: Option<Load>,
}

/// One executor in a `topology` message.
#[derive(Deserialize)]
struct Entry<'a> {
    #[serde(borrow)]
    executor: Cow<'a, str>,
    dc: Option<u32>,
    class_of_host: Option<u32>,
    cluster: Option<u32>,
    #[serde(borrow)]
    status: Cow<'a, str>,
    online_since_s: Option<f64>,
    nominal: Option<f64>,
}

/// A load report.
#[derive(Deserialize)]
struct Load {
    active: Option<f64>,
    waiting: Option<f64>,
    cpu: Option<f64>,
    rps: Option<f64>,
    x0: Option<f64>,
}

/// Why a message led to nothing.
pub enum Failure {
    /// It is passed over with a note.
    Skip(String),
    /// The wire is broken.
    Bad(String),
}

/// One dispatcher with its own id table.
pub struct Instance {
    dispatcher: Dispatcher,
    /// Clients are told when to come back.
    tells_when: bool,
    executors: FxHashMap<Box<str>, WorkerId>,
    names: Vec<Box<str>>,
    actions: Vec<Action>,
}

fn need<T>(value: Option<T>, line: &Line<'_>, field: &str) -> Result<T, Failure> {
    value.ok_or_else(|| Failure::Bad(format!("{} without {field}", line.kind)))
}

fn request_id(line: &Line<'_>) -> Result<RequestId, Failure> {
    hex_id(need(line.req.as_deref(), line, "req")?)
}

fn hex_id(text: &str) -> Result<RequestId, Failure> {
    match u64::from_str_radix(text, 16) {
        Ok(id) if text.len() == 16 => Ok(RequestId(id)),
        _ => Err(Failure::Bad(format!("req {text:?} is not 16 hex digits"))),
    }
}

fn outcome(code: u32) -> Result<Outcome, Failure> {
    Ok(match code {
        0 => Outcome::Error,
        1 => Outcome::Served,
        2 => Outcome::Rejected,
        3 => Outcome::TimedOut,
        4 => Outcome::ConnectFailed,
        5 => Outcome::Reset,
        6 => Outcome::Cancelled,
        7 => Outcome::Superseded,
        _ => return Err(Failure::Bad(format!("state_code {code} is unknown"))),
    })
}

fn report(load: &Load) -> LoadReport {
    LoadReport {
        queue: load.waiting,
        in_flight: load.active,
        utilization: load.cpu,
        qps: load.rps,
        free_slots: load.x0,
    }
}

fn timer(cookie: &str) -> Option<Timer> {
    match cookie {
        "sweep" => Some(Timer::PeriodicRefresh),
        "probe" => Some(Timer::LoadQuery),
        "discovery" => Some(Timer::Subscription),
        _ => hex_id(cookie).ok().map(Timer::HedgeCheck),
    }
}

/// Takes one event to its instance and writes what the instance wants done.
pub fn event(
    instances: &mut FxHashMap<Box<str>, Instance>,
    now: Micros,
    line: &Line<'_>,
    out: &mut impl Write,
) -> Result<(), Failure> {
    let node: &str = need(line.node_id.as_deref(), line, "node_id")?;
    match &*line.kind {
        "provision" => {
            let text = need(line.params, line, "params")?;
            let given = json::parse(text.get())
                .and_then(|params| copperspread_settings::platform::read_settings(&params))
                .map_err(|e| Failure::Bad(format!("provision: params: {e}")))?;
            match Dispatcher::new(given.dispatch, need(line.prng, line, "prng")?) {
                Ok(dispatcher) => {
                    let instance = Instance {
                        dispatcher,
                        tells_when: given.proxy.sends_retry_after,
                        executors: FxHashMap::default(),
                        names: Vec::new(),
                        actions: Vec::new(),
                    };
                    instances.insert(node.into(), instance);
                }
                Err(error) => fault(out, node, &error.to_string()).map_err(writing)?,
            }
            return Ok(());
        }
        "down" => {
            instances.remove(node);
            return Ok(());
        }
        "topology" | "work_item" | "answer" | "progress" | "started" | "aborted" | "bell" | "checked" => {}
        "from_peer" => return Ok(()),
        other => return Err(Failure::Skip(format!("unknown event {other:?} skipped"))),
    }
    let Some(instance) = instances.get_mut(node) else {
        return Err(Failure::Skip(format!("{} for unprovisioned {node:?} skipped", line.kind)));
    };
    instance.actions.clear();
    instance.take(now, line)?;
    for action in &instance.actions {
        write(out, node, instance, action).map_err(writing)?;
    }
    Ok(())
}

fn writing(error: io::Error) -> Failure {
    Failure::Bad(format!("writing: {error}"))
}

impl Instance {
    fn take(&mut self, now: Micros, line: &Line<'_>) -> Result<(), Failure> {
        let progress = |progress| -> Result<Event<'_>, Failure> {
            Ok(Event::AttemptProgress {
                request: request_id(line)?,
                attempt: need(line.attempt, line, "try")?,
                progress,
            })
        };
        let event = match &*line.kind {
            "topology" => return self.take_roster(now, line),
            "work_item" => Event::Request(IncomingRequest {
                request: request_id(line)?,
                class: need(line.category, line, "category")?,
                tenant: line.org.unwrap_or(0),
                slots: line.width,
                cost_hint: line.work_s,
                time_left: micros(need(line.expires_in_s, line, "expires_in_s")?),
            }),
            "answer" => Event::AttemptCompleted(AttemptOutcome {
                request: request_id(line)?,
                attempt: need(line.attempt, line, "try")?,
                outcome: outcome(need(line.state_code, line, "state_code")?)?,
                request_finished: need(line.over, line, "over")?,
                elapsed: micros(need(line.elapsed_s, line, "elapsed_s")?),
                report: line.load.as_ref().map(report),
            }),
            "progress" => match need(line.what, line, "what")? {
                1 => progress(Progress::Started)?,
                2 => progress(Progress::Done(need(line.level, line, "level")?))?,
                what => return Err(Failure::Skip(format!("progress of kind {what} skipped"))),
            },
            "started" => progress(Progress::Streaming)?,
            "aborted" => Event::ClientDisconnected(request_id(line)?),
            "bell" => match timer(need(line.cookie.as_deref(), line, "cookie")?) {
                Some(timer) => Event::TimerExpired(timer),
                None => return Err(Failure::Skip("bell with an unknown cookie skipped".into())),
            },
            _ => {
                let executor = need(line.executor.as_deref(), line, "executor")?;
                let Some(&worker) = self.executors.get(executor) else {
                    return Err(Failure::Skip(format!("probe of unknown {executor:?} skipped")));
                };
                Event::LoadQueryCompleted {
                    worker,
                    outcome: outcome(need(line.state_code, line, "state_code")?)?,
                    report: line.load.as_ref().map(report),
                }
            }
        };
        self.dispatcher.handle(now, event, &mut self.actions);
        Ok(())
    }

    fn take_roster(&mut self, now: Micros, line: &Line<'_>) -> Result<(), Failure> {
        let kind = match need(line.mode.as_deref(), line, "mode")? {
            "D" => EndpointUpdateKind::Changes,
            "F" => EndpointUpdateKind::Full,
            "C" => EndpointUpdateKind::Cached,
            "X" => EndpointUpdateKind::Failed,
            mode => return Err(Failure::Bad(format!("topology of unknown mode {mode:?}"))),
        };
        let listed = match (&line.nodes_list, kind) {
            (Some(list), _) => list.as_slice(),
            (None, EndpointUpdateKind::Failed) => &[],
            (None, _) => return Err(Failure::Bad("topology without nodes_list".into())),
        };
        let mut entries = Vec::with_capacity(listed.len());
        for entry in listed {
            entries.push(Endpoint {
                worker: self.worker(&entry.executor),
                zone: entry.dc.unwrap_or(0),
                kind: entry.class_of_host.unwrap_or(0),
                cell: entry.cluster.unwrap_or(0),
                state: match &*entry.status {
                    "live" => WorkerState::Ready,
                    "quiescing" => WorkerState::Draining,
                    "dead" => WorkerState::Removed,
                    status => return Err(Failure::Bad(format!("unknown status {status:?}"))),
                },
                started_at: entry.online_since_s.map(micros).filter(|&at| at > 0),
                size: entry.nominal,
                hash_key: name_key(&entry.executor),
            });
        }
        let version = match kind {
            EndpointUpdateKind::Failed => 0,
            _ => need(line.serial, line, "serial")?,
        };
        let roster = EndpointUpdate { kind, version, endpoints: &entries };
        self.dispatcher.handle(now, Event::Endpoints(roster), &mut self.actions);
        Ok(())
    }

    fn worker(&mut self, executor: &str) -> WorkerId {
        if let Some(&worker) = self.executors.get(executor) {
            return worker;
        }
        let worker = WorkerId(self.names.len() as u32);
        self.names.push(executor.into());
        self.executors.insert(executor.into(), worker);
        worker
    }
}

/// Tells the simulator that the decision code failed.
pub fn fault(out: &mut impl Write, node: &str, message: &str) -> io::Result<()> {
    let line = serde_json::json!({"kind": "fault", "node_id": node, "message": message});
    writeln!(out, "{line}")
}

fn write(out: &mut impl Write, node: &str, instance: &Instance, action: &Action) -> io::Result<()> {
    match *action {
        Action::Send { request, worker, .. } => {
            let name = &instance.names[worker.0 as usize];
            let id = request.0;
            writeln!(out, r#"{{"kind":"pass_on","node_id":"{node}","req":"{id:016x}","executor":"{name}"}}"#)
        }
        Action::Reject { request, retry_after, .. } => {
            write!(out, r#"{{"kind":"busy","node_id":"{node}","req":"{:016x}""#, request.0)?;
            if instance.tells_when {
                write!(out, r#","retry_after_s":{}"#, seconds(retry_after))?;
            }
            writeln!(out, "}}")
        }
        Action::Fail { request } => {
            writeln!(out, r#"{{"kind":"abort","node_id":"{node}","req":"{:016x}"}}"#, request.0)
        }
        Action::Cancel { request, attempt } => writeln!(
            out,
            r#"{{"kind":"revoke","node_id":"{node}","req":"{:016x}","try":{attempt}}}"#,
            request.0
        ),
        Action::StartTimer { after, timer } => {
            write!(out, r#"{{"kind":"wake_at","node_id":"{node}","span_s":{},"cookie":""#, seconds(after))?;
            match timer {
                Timer::PeriodicRefresh => out.write_all(b"sweep")?,
                Timer::LoadQuery => out.write_all(b"probe")?,
                Timer::Subscription => out.write_all(b"discovery")?,
                Timer::HedgeCheck(request) => write!(out, "{:016x}", request.0)?,
            }
            writeln!(out, r#""}}"#)
        }
        Action::Subscribe => {
            writeln!(out, r#"{{"kind":"listen","node_id":"{node}","enable":true}}"#)
        }
        Action::QueryLoad { worker } => {
            let name = &instance.names[worker.0 as usize];
            writeln!(out, r#"{{"kind":"probe","node_id":"{node}","executor":"{name}"}}"#)
        }
    }
}

/// Seconds, as the wire has them.
fn seconds(span: Micros) -> f64 {
    span as f64 / SECOND as f64
}
