//! Handle through which a configuration reload changes the running endpoint source.
use copperspread_proxy::discovery::EndpointSource;
use copperspread_proxy::discovery::platform::PlatformDiscovery;
use copperspread_proxy::discovery::static_list::StaticEndpoints;
use copperspread_settings::{DiscoveryConfig, EndpointList};
use http::uri::Authority;
use tokio::sync::watch;

/// Handle that sends a changed discovery address or static endpoint list to the running endpoint source. The
/// source holds the receiving end of the channel and runs until the runtime ends.
pub(super) enum DiscoveryHandle {
    /// The source fetches the endpoint list from the hosting platform's discovery service. The channel
    /// carries the address of that service.
    Platform(watch::Sender<Authority>),
    /// The source publishes the static endpoint list of the configuration. The channel carries that list.
    Static(watch::Sender<EndpointList>),
}

impl DiscoveryHandle {
    /// Creates an endpoint source and the handle that changes the source. `cached_revision` is the revision
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

    /// Sends the discovery settings of a new configuration to the endpoint source. Returns whether the
    /// address or the endpoints have changed.
    ///
    /// Settings that replace the platform's discovery by a static list, or the reverse, are ignored and
    /// return `false`, because such a change requires a restart.
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
    // Each reload increments the list's revision, because the endpoint table ignores a list whose revision is
    // older than the revision of the list that the table already has.
    *current = EndpointList { revision: current.revision + 1, ..new };
    is_changed
}
