//! Discovery: its list, the watch on it, and the table of service entries. Only this file knows
//! the form in which discovery speaks.
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::http::uri::{Authority, Uri};
use hyper::{Request, StatusCode};
use hyper_util::client::legacy::{Client, connect::HttpConnector};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use tinyjson::JsonValue;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until, timeout_at};

use crate::interface::*;
use crate::json::{self, flag, need, text, whole};
use crate::net::clock::from_now;
use crate::net::decisions::Decisions;
use crate::net::invariant::note;
use crate::settings::NodeSettings;

/// Longest body that discovery sends.
const LONGEST_BODY: usize = 64 * 1024;
/// How long a watch is held at discovery. Short, because the wait for a watch that fell silent adds
/// to how late a change is seen, and empty answers cost little.
const HOLD: Micros = 2 * SECOND;
/// A watch that has not answered this long after its hold is over is dropped.
const SILENT: Micros = SECOND;
/// First and longest wait before a failed call is made again.
const RETRY: (Micros, Micros) = (100_000, 800_000);

/// What discovery says of one service entry's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It takes new work.
    Serving,
    /// It finishes what it has.
    Draining,
    /// It left the list.
    Deleted,
}

/// One service entry as discovery tells it.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// The real server's name, the same at every scheduler.
    pub id: String,
    /// Where it listens, as seen from here.
    pub address: Authority,
    /// The name of its zone.
    pub zone: String,
    /// The name of its kind.
    pub kind: String,
    /// Its cell.
    pub cell: u32,
    /// Whether it takes work.
    pub phase: Phase,
    /// Its last start, in Unix time; `None` is long ago.
    pub started_at: Option<Micros>,
}

/// One answer of discovery.
#[derive(Clone, Debug, PartialEq)]
pub struct List {
    /// Its version.
    pub revision: u64,
    /// All entries, or only those that changed.
    pub complete: bool,
    /// The entries.
    pub members: Vec<Member>,
}

/// Reads an answer of discovery; a list with one bad line is bad as a whole.
pub fn read_list(value: &JsonValue) -> Result<List, String> {
    let members = json::field(value, "members").ok_or("members is missing")?;
    let JsonValue::Array(members) = members else { return Err("members is no list".into()) };
    Ok(List {
        revision: need(whole(value, "revision"), "revision")?,
        complete: need(flag(value, "complete"), "complete")?,
        members: members.iter().map(read_member).collect::<Result<_, _>>()?,
    })
}

fn read_member(value: &JsonValue) -> Result<Member, String> {
    let address = need(text(value, "host_port"), "host_port")?;
    let parsed: Authority = address.parse().map_err(|_| format!("{address:?} is no address"))?;
    if parsed.port().is_none() {
        return Err(format!("{address:?} names no port"));
    }
    Ok(Member {
        id: need(text(value, "id"), "id")?.to_owned(),
        address: parsed,
        zone: text(value, "locality")?.unwrap_or_default().to_owned(),
        kind: text(value, "flavor")?.unwrap_or_default().to_owned(),
        cell: whole(value, "cell")?.unwrap_or(0),
        phase: match need(text(value, "phase"), "phase")? {
            "SERVING" => Phase::Serving,
            "DRAINING" => Phase::Draining,
            "DELETED" => Phase::Deleted,
            other => return Err(format!("unknown phase {other:?}")),
        },
        started_at: whole::<u64>(value, "up_since_ms")?.filter(|&at| at > 0).map(|ms| ms * 1_000),
    })
}

/// Names told apart by small numbers, which are given out densely and kept for good.
#[derive(Debug, Default)]
struct Names {
    numbers: HashMap<String, u32>,
}

impl Names {
    fn of(known: &[String]) -> Names {
        let mut names = Names::default();
        for name in known {
            names.number(name);
        }
        names
    }

    fn number(&mut self, name: &str) -> u32 {
        if let Some(&number) = self.numbers.get(name) {
            return number;
        }
        let number = self.numbers.len() as u32;
        self.numbers.insert(name.to_owned(), number);
        number
    }
}

#[derive(Debug)]
struct Table {
    revision: u64,
    ids: Names,
    zones: Names,
    kinds: Names,
    /// By worker id: where it is now, and its phase.
    entries: Vec<(Authority, Phase)>,
}

/// The table of service entries. An entry may change its address; its worker id stays.
#[derive(Debug)]
pub struct ServiceEntries {
    table: Mutex<Table>,
}

impl ServiceEntries {
    /// An empty table that knows the settings' names of zones and kinds.
    pub fn new(settings: &NodeSettings) -> ServiceEntries {
        let table = Table {
            revision: 0,
            ids: Names::default(),
            zones: Names::of(&settings.zones),
            kinds: Names::of(&settings.kinds),
            entries: Vec::new(),
        };
        ServiceEntries { table: Mutex::new(table) }
    }

    fn table(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Another discovery is asked from now on, which may count its revisions in another way.
    fn count_anew(&self) {
        self.table().revision = 0;
    }

    /// Takes a list into the table and returns its entries in the module's form, or nothing where
    /// the table already holds something newer.
    pub fn take(&self, list: &List) -> Option<Vec<WorkerEntry>> {
        let mut table = self.table();
        if list.revision < table.revision {
            return None;
        }
        table.revision = list.revision;
        if list.complete {
            table.entries.iter_mut().for_each(|(_, phase)| *phase = Phase::Deleted);
        }
        let table = &mut *table;
        let mut entries = Vec::with_capacity(list.members.len());
        for member in &list.members {
            let number = table.ids.number(&member.id);
            let entry = (member.address.clone(), member.phase);
            match table.entries.get_mut(number as usize) {
                Some(known) => *known = entry,
                None => table.entries.push(entry),
            }
            entries.push(WorkerEntry {
                worker: WorkerId(number),
                zone: table.zones.number(&member.zone),
                kind: table.kinds.number(&member.kind),
                cell: member.cell,
                state: match member.phase {
                    Phase::Serving => WorkerState::Ready,
                    Phase::Draining => WorkerState::Draining,
                    Phase::Deleted => WorkerState::Gone,
                },
                started_at: member.started_at,
            });
        }
        Some(entries)
    }

    /// Where a real server listens now, while it takes new work.
    pub fn serving(&self, worker: WorkerId) -> Option<Authority> {
        let table = self.table();
        let (address, phase) = table.entries.get(worker.0 as usize)?;
        (*phase == Phase::Serving).then(|| address.clone())
    }

    /// Where a real server was last known to listen, whatever its phase.
    pub fn address(&self, worker: WorkerId) -> Option<Authority> {
        self.table().entries.get(worker.0 as usize).map(|(address, _)| address.clone())
    }

    /// The worker id of a real server's name.
    pub fn worker(&self, name: &str) -> Option<WorkerId> {
        self.table().ids.numbers.get(name).copied().map(WorkerId)
    }
}

/// Tells the module of the list that the configuration holds; returns its version.
pub fn remember(known: Option<&List>, entries: &ServiceEntries, decisions: &Arc<Decisions>) -> Option<u64> {
    let known = known?;
    let told = entries.take(known).unwrap_or_default();
    decisions.roster(RosterKind::Remembered, &told);
    Some(known.revision)
}

fn client() -> Client<HttpConnector, Empty<Bytes>> {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_max_idle_per_host(1)
        .retry_canceled_requests(false)
        .build(connector)
}

/// Follows discovery for good: one watch after the other. Where changes come only on request, each
/// subscription that the module asks for lasts until the first call that fails. When discovery
/// moves, the watch under way is dropped and the new address is asked for the whole list.
pub async fn follow(
    mut discovery: watch::Receiver<Authority>,
    known: Option<u64>,
    entries: Arc<ServiceEntries>,
    decisions: Arc<Decisions>,
) {
    let mut client = client();
    let mut address = discovery.borrow().clone();
    let mut revision = known;
    let mut wait = RETRY.0;
    if decisions.on_request() {
        decisions.subscription().await;
    }
    loop {
        if *discovery.borrow() != address {
            address = discovery.borrow().clone();
            // Guards against a connection to the old address that stays until it is closed there.
            client = self::client();
            // Guards against a new list that passes for old, as its revisions count anew.
            entries.count_anew();
            revision = None;
            wait = RETRY.0;
        }
        let path = match revision {
            Some(revision) => format!("/api/targets?from={revision}&hold_ms={}", HOLD / 1_000),
            None => "/api/targets".to_owned(),
        };
        // Guards against a discovery that is down and keeps its connections open in silence.
        let by = from_now(if revision.is_some() { HOLD + SILENT } else { SILENT });
        let answered = tokio::select! {
            biased;
            Ok(()) = discovery.changed() => None,
            answered = call(&client, &address, &path, by) => Some(answered),
        };
        match answered {
            None => {}
            Some(Ok(list)) => {
                wait = RETRY.0;
                let news = revision.is_none_or(|old| old != list.revision) || !list.members.is_empty();
                let kind = if list.complete { RosterKind::Full } else { RosterKind::Changes };
                if let Some(told) = entries.take(&list).filter(|_| news || list.complete) {
                    decisions.roster(kind, &told);
                }
                // Guards against a list that is older than the table: asked for again at once, it
                // would come again at once.
                let older = revision.is_some_and(|old| list.revision < old);
                revision = Some(list.revision);
                if older {
                    sleep_until(from_now(RETRY.0)).await;
                }
            }
            Some(Err(why)) => {
                note("no answer of discovery, the list stays", &why);
                if decisions.on_request() {
                    decisions.roster(RosterKind::Failed, &[]);
                    decisions.subscription().await;
                } else {
                    // A discovery that moves is not waited out.
                    let again = from_now(wait);
                    let _ = timeout_at(again, discovery.changed()).await;
                    wait = (wait * 2).min(RETRY.1);
                }
            }
        }
    }
}

/// One call to discovery, which is dropped at a deadline.
async fn call(
    client: &Client<HttpConnector, Empty<Bytes>>,
    discovery: &Authority,
    path: &str,
    by: Instant,
) -> Result<List, String> {
    let answer = async {
        let uri = Uri::builder().scheme("http").authority(discovery.clone()).path_and_query(path);
        let request = Request::get(uri.build().map_err(|e| e.to_string())?);
        let request = request.body(Empty::new()).map_err(|e| e.to_string())?;
        let response = client.request(request).await.map_err(|e| e.to_string())?;
        if response.status() != StatusCode::OK {
            return Err(format!("answered {}", response.status()));
        }
        let body = Limited::new(response.into_body(), LONGEST_BODY).collect().await;
        read_list(&json::parse_bytes(&body.map_err(|e| e.to_string())?.to_bytes())?)
    };
    timeout_at(by, answer).await.unwrap_or_else(|_| Err("fell silent".into()))
}
