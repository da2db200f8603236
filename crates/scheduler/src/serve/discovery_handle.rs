//! The handle through which a reload of the configuration changes the running endpoint source. The endpoint
//! source obtains the lists of workers and their addresses, and publishes them to the scheduler.
use copperspread_proxy::discovery::EndpointSource;
use copperspread_proxy::discovery::platform::PlatformDiscovery;
use copperspread_proxy::discovery::static_list::StaticEndpoints;
use copperspread_settings::{DiscoveryConfig, EndpointList};
use http::uri::Authority;
use tokio::sync::watch;

/// Handle that sends a changed discovery address or a changed static endpoint list to the running endpoint
/// source. The handle holds the sender of a channel, and the endpoint source holds the receiver. The endpoint
/// source runs until the asynchronous runtime ends.
pub(super) enum DiscoveryHandle {
    /// Sender of the address of the hosting platform's discovery service, for an endpoint source that fetches
    /// the endpoint list from that service.
    Platform(watch::Sender<Authority>),
    /// Sender of the configuration's static endpoint list, for an endpoint source that publishes this list.
    Static(watch::Sender<EndpointList>),
}

impl DiscoveryHandle {
    /// Creates an endpoint source and the handle that changes this source. `cached_revision` is the revision
    /// of the cached endpoint list, or `None` if no list is cached.
    pub(super) fn create(
        config: &DiscoveryConfig,
        cached_revision: Option<u64>,
    ) -> (DiscoveryHandle, Box<dyn EndpointSource>) {
        match config {
            DiscoveryConfig::Platform(address) => {
                let (sender, address) = watch::channel(address.clone());
                let source = PlatformDiscovery { address, cached_revision };
                (DiscoveryHandle::Platform(sender), Box::new(source))
            }
            DiscoveryConfig::Static(list) => {
                let (sender, list) = watch::channel(list.clone());
                (DiscoveryHandle::Static(sender), Box::new(StaticEndpoints(list)))
            }
        }
    }

    /// Sends the discovery settings of a new configuration to the endpoint source, the component that
    /// publishes the workers' endpoints. Returns whether the discovery service's address or the static list
    /// of endpoints has changed.
    ///
    /// Settings that replace the platform's discovery service by a static list, or the reverse, require a
    /// restart. They are ignored, and `false` is returned.
    pub(super) fn update(&self, config: DiscoveryConfig) -> bool {
        match (self, config) {
            (DiscoveryHandle::Platform(sender), DiscoveryConfig::Platform(new)) => {
                sender.send_if_modified(|current| replace_address(current, new))
            }
            (DiscoveryHandle::Static(sender), DiscoveryConfig::Static(new)) => {
                sender.send_if_modified(|current| replace_list(current, new))
            }
            _ => false,
        }
    }
}

fn replace_address(current: &mut Authority, new: Authority) -> bool {
    let is_changed = *current != new;
    *current = new;
    is_changed
}

fn replace_list(current: &mut EndpointList, new: EndpointList) -> bool {
    let is_changed = current.endpoints != new.endpoints;
    // Each reload increments the revision of the endpoint list. The endpoint table would ignore a list with
    // an older revision than that of the list it already has.
    *current = EndpointList { revision: current.revision + 1, ..new };
    is_changed
}
