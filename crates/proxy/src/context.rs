//! What the parts of one scheduler share.
use std::sync::Arc;

use copperspread_settings::ProxySettings;

use crate::clock::Clock;
use crate::event_recorder::EventRecorder;
use crate::policy_handle::PolicyHandle;
use crate::shutdown::Shutdown;
use crate::upstream::Upstream;

/// The shared parts of one scheduler.
pub struct ProxyContext {
    /// The clock of all events.
    pub clock: Clock,
    /// The dispatch policy and the way from it to the requests' tasks.
    pub policy: Arc<PolicyHandle>,
    /// The protocol that workers speak.
    pub upstream: Arc<dyn Upstream>,
    /// The settings that concern the proxy.
    pub settings: ProxySettings,
    /// Writes the event log.
    pub recorder: Arc<EventRecorder>,
    /// The phase of the graceful shutdown.
    pub shutdown: Shutdown,
}
