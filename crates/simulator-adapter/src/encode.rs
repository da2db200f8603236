//! Encodes the dispatcher's actions as messages to the simulator, one message per line.
use std::io::{self, Write};

use copperspread_dispatcher::{Action, Micros, SECOND};

use crate::cookie::{Cookie, HexId};
use crate::workers::WorkerTable;

/// Writes the actions of one scheduler instance as messages to the simulator.
pub(crate) struct ActionEncoder<'a> {
    /// The name of the scheduler instance whose actions are written (`node_id` on the wire).
    pub(crate) node: &'a str,
    /// The names of the workers to which the actions refer by worker id.
    pub(crate) workers: &'a WorkerTable,
    /// Whether the messages that reject requests contain a Retry-After time (`retry_after_s` on the wire).
    pub(crate) sends_retry_after: bool,
}

impl ActionEncoder<'_> {
    /// Writes one action of the dispatcher as one line.
    pub(crate) fn write(&self, out: &mut impl Write, action: &Action) -> io::Result<()> {
        let node = self.node;
        match *action {
            Action::Send { request, worker, .. } => {
                let (id, worker) = (HexId(request), self.workers.name(worker));
                writeln!(out, r#"{{"kind":"pass_on","node_id":"{node}","req":"{id}","executor":"{worker}"}}"#)
            }
            Action::Reject { request, retry_after, .. } => {
                let id = HexId(request);
                write!(out, r#"{{"kind":"busy","node_id":"{node}","req":"{id}""#)?;
                if self.sends_retry_after {
                    write!(out, r#","retry_after_s":{}"#, seconds(retry_after))?;
                }
                writeln!(out, "}}")
            }
            Action::Fail { request } => {
                let id = HexId(request);
                writeln!(out, r#"{{"kind":"abort","node_id":"{node}","req":"{id}"}}"#)
            }
            Action::Cancel { request, attempt } => {
                let id = HexId(request);
                writeln!(out, r#"{{"kind":"revoke","node_id":"{node}","req":"{id}","try":{attempt}}}"#)
            }
            Action::StartTimer { after, timer } => {
                let (span, cookie) = (seconds(after), Cookie(timer));
                writeln!(
                    out,
                    r#"{{"kind":"wake_at","node_id":"{node}","span_s":{span},"cookie":"{cookie}"}}"#
                )
            }
            Action::Subscribe => {
                writeln!(out, r#"{{"kind":"listen","node_id":"{node}","enable":true}}"#)
            }
            Action::QueryLoad { worker } => {
                let worker = self.workers.name(worker);
                writeln!(out, r#"{{"kind":"probe","node_id":"{node}","executor":"{worker}"}}"#)
            }
        }
    }
}

/// Writes the `fault` message, which tells the simulator that a scheduler instance has failed. Examples are a
/// panic and settings that the dispatcher rejects.
pub(crate) fn write_fault(out: &mut impl Write, node: &str, message: &str) -> io::Result<()> {
    let line = serde_json::json!({"kind": "fault", "node_id": node, "message": message});
    writeln!(out, "{line}")
}

/// Writes the message that marks the end of the reply to a batch of simulator messages.
pub(crate) fn write_batch_end(out: &mut impl Write, turn: u64) -> io::Result<()> {
    writeln!(out, r#"{{"kind":"end","turn":{turn}}}"#)
}

fn seconds(duration: Micros) -> f64 {
    duration as f64 / SECOND as f64
}
