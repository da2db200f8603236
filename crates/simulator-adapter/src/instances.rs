//! The scheduler instances of a simulation, each with its own dispatcher.
use std::io::Write;

use copperspread_dispatcher::{Action, Dispatcher, EndpointUpdate, Event, Micros};
use copperspread_settings::{SchedulerSettings, json, platform};
use rustc_hash::FxHashMap;

use crate::decode;
use crate::encode::{ActionEncoder, write_fault};
use crate::error::{HandleError, MessageError, SkipReason};
use crate::message::Line;
use crate::workers::WorkerTable;

/// The scheduler instances of the simulation by name. They share no state.
#[derive(Default)]
pub(crate) struct Instances {
    by_name: FxHashMap<Box<str>, Instance>,
}

/// One scheduler instance: its dispatcher, and the worker ids that are valid only for this dispatcher.
struct Instance {
    dispatcher: Dispatcher,
    sends_retry_after: bool,
    workers: WorkerTable,
    /// The actions with which the dispatcher answered the last message. The buffer is reused, so that not
    /// every message allocates a new one.
    actions: Vec<Action>,
}

impl Instances {
    /// Passes a message to the scheduler instance that it is addressed to. Writes the resulting actions to
    /// `out`.
    pub(crate) fn handle(
        &mut self,
        now: Micros,
        message: &Line<'_>,
        out: &mut impl Write,
    ) -> Result<(), HandleError> {
        let node = message.required(message.node_id.as_deref(), "node_id")?;
        match &*message.kind {
            "provision" => Ok(self.provision(node, message, out)?),
            "down" => {
                self.by_name.remove(node);
                Ok(())
            }
            // Messages from other scheduler instances are ignored, because the adapter's instances send no
            // messages to each other.
            "from_peer" => Ok(()),
            "topology" | "work_item" | "answer" | "progress" | "started" | "aborted" | "bell" | "checked" => {
                let instance = self.by_name.get_mut(node).ok_or_else(|| not_provisioned(node, message))?;
                instance.handle(now, message)?;
                Ok(instance.write_actions(node, out)?)
            }
            kind => Err(SkipReason::UnknownKind { kind: kind.to_owned() }.into()),
        }
    }

    /// Starts a scheduler instance. An existing instance of the same name is replaced.
    ///
    /// If the dispatcher rejects the settings, the simulator is told so in a `fault` message, and an existing
    /// instance is kept.
    fn provision(
        &mut self,
        node: &str,
        message: &Line<'_>,
        out: &mut impl Write,
    ) -> Result<(), MessageError> {
        let settings = read_settings(message)?;
        let seed = message.required(message.prng, "prng")?;
        match Dispatcher::new(settings.dispatch, seed) {
            Ok(dispatcher) => {
                let instance = Instance::new(dispatcher, settings.proxy.sends_retry_after);
                self.by_name.insert(node.into(), instance);
                Ok(())
            }
            Err(error) => write_fault(out, node, &error.to_string()).map_err(MessageError::Write),
        }
    }
}

fn read_settings(message: &Line<'_>) -> Result<SchedulerSettings, MessageError> {
    let params = message.required(message.params, "params")?;
    json::parse(params.get())
        .and_then(|params| platform::read_settings(&params))
        .map_err(MessageError::InvalidSettings)
}

fn not_provisioned(node: &str, message: &Line<'_>) -> SkipReason {
    SkipReason::NotProvisioned { kind: message.kind.to_string(), node: node.to_owned() }
}

impl Instance {
    fn new(dispatcher: Dispatcher, sends_retry_after: bool) -> Instance {
        Instance { dispatcher, sends_retry_after, workers: WorkerTable::default(), actions: Vec::new() }
    }

    /// Passes a message to the dispatcher of this instance. The resulting actions replace those of the
    /// previous message.
    fn handle(&mut self, now: Micros, message: &Line<'_>) -> Result<(), HandleError> {
        self.actions.clear();
        if message.kind == "topology" {
            let update = decode::endpoint_update(message, &mut self.workers)?;
            let update =
                EndpointUpdate { kind: update.kind, version: update.version, endpoints: &update.endpoints };
            self.dispatcher.handle(now, Event::Endpoints(update), &mut self.actions);
        } else {
            let event = decode::event(message, &self.workers)?;
            self.dispatcher.handle(now, event, &mut self.actions);
        }
        Ok(())
    }

    fn write_actions(&self, node: &str, out: &mut impl Write) -> Result<(), MessageError> {
        let sends_retry_after = self.sends_retry_after;
        let encoder = ActionEncoder { node, workers: &self.workers, sends_retry_after };
        for action in &self.actions {
            encoder.write(out, action).map_err(MessageError::Write)?;
        }
        Ok(())
    }
}
