//! What the parts of one scheduler share.
use std::sync::Arc;

use copperspread_settings::NodeSettings;

use crate::clock::Clock;
use crate::event_recorder::Witness;
use crate::policy_handle::Decisions;
use crate::shutdown::Ending;
use crate::upstream::Back;

/// One scheduler.
pub struct Node {
    /// The clock of all events.
    pub clock: Clock,
    /// The decision module and the way to the flows.
    pub decisions: Arc<Decisions>,
    /// The way to the real servers.
    pub back: Arc<dyn Back>,
    /// The settings that concern the node.
    pub settings: NodeSettings,
    /// What tells the records.
    pub witness: Arc<Witness>,
    /// The node's own ending.
    pub ending: Ending,
}
