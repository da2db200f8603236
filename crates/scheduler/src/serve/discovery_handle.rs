//! Handle through which a reload changes the running endpoint source.
use copperspread_proxy::discovery::EndpointSource;
use copperspread_proxy::discovery::platform::PlatformDiscovery;
use copperspread_proxy::discovery::static_list::StaticEndpoints;
use copperspread_settings::{DiscoveryConfig, EndpointList};
use http::uri::Authority;
use tokio::sync::watch;

/// Sends a changed discovery address or static list to the running endpoint source. The source holds the
/// receiving end of the channel and runs until the runtime ends.
pub(super) enum DiscoveryHandle {
    /// Sender of the address of the platform's discovery.
    Platform(watch::Sender<Authority>),
    /// Sender of the static list.
    Static(watch::Sender<EndpointList>),
}

impl DiscoveryHandle {
    /// Creates an endpoint source and its handle. `cached_revision` is the revision of the cached list, if
    /// there is one.
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

    /// Applies the discovery settings of a new configuration and returns whether they differ from the current
    /// ones. Returns false and ignores settings for another kind of source, because changing the kind
    /// requires a restart.
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
    // The revision grows with each reload, because the endpoint table ignores a list whose revision is older
    // than its own.
    *current = EndpointList { revision: current.revision + 1, ..new };
    is_changed
}
