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
    /// The scheduler's clock, from which the times of requests and attempts are taken.
    pub clock: Clock,
    /// The handle to the dispatch policy. The handle passes events to the policy, and passes the policy's
    /// decisions to the tasks of the requests.
    pub policy: Arc<PolicyHandle>,
    /// The implementation of the protocol by which attempts are sent to workers.
    pub upstream: Arc<dyn Upstream>,
    /// The settings of the proxy, such as the request classes and the connect timeout.
    pub settings: ProxySettings,
    /// The event recorder, which writes the scheduler's events to the event log.
    pub recorder: Arc<EventRecorder>,
    /// The phase of the graceful shutdown.
    pub shutdown: Shutdown,
}
