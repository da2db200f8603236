//! What the parts of one scheduler share.
use std::sync::Arc;

use copperspread_settings::ProxySettings;

use crate::clock::Clock;
use crate::event_recorder::EventRecorder;
use crate::policy_handle::PolicyHandle;
use crate::shutdown::Shutdown;
use crate::upstream::Upstream;

/// One scheduler.
pub struct ProxyContext {
    /// The clock of all events.
    pub clock: Clock,
    /// The decision module and the way to the flows.
    pub policy: Arc<PolicyHandle>,
    /// The way to the real servers.
    pub upstream: Arc<dyn Upstream>,
    /// The settings that concern the node.
    pub settings: ProxySettings,
    /// What tells the records.
    pub recorder: Arc<EventRecorder>,
    /// The node's own ending.
    pub shutdown: Shutdown,
}
