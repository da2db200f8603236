//! The state that the components of one scheduler share.
use std::sync::Arc;

use copperspread_settings::ProxySettings;

use crate::clock::Clock;
use crate::event_recorder::EventRecorder;
use crate::policy_handle::PolicyHandle;
use crate::shutdown::Shutdown;
use crate::upstream::Upstream;

/// The clock, dispatch policy, upstream, settings, event recorder and shutdown phase of one scheduler.
pub struct ProxyContext {
    /// The clock that timestamps all events.
    pub clock: Clock,
    /// The dispatch policy, which also delivers its actions to the requests' tasks.
    pub policy: Arc<PolicyHandle>,
    /// The implementation of the protocol by which attempts are sent to workers.
    pub upstream: Arc<dyn Upstream>,
    /// The settings of the proxy, such as the request classes and the connect timeout.
    pub settings: ProxySettings,
    /// Writes the scheduler's events to the event log.
    pub recorder: Arc<EventRecorder>,
    /// The phase of the graceful shutdown.
    pub shutdown: Shutdown,
}
