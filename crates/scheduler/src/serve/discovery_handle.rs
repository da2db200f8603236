//! How a reload reaches the running endpoint source.
use copperspread_proxy::discovery::EndpointSource;
use copperspread_proxy::discovery::platform::PlatformDiscovery;
use copperspread_proxy::discovery::static_list::StaticEndpoints;
use copperspread_settings::{DiscoveryConfig, EndpointList};
use http::uri::Authority;
use tokio::sync::watch;

/// Tells the running endpoint source when the configuration names another discovery or another list. It owns
/// the sending ends; the source watches the receiving ones and ends with the runtime.
pub(super) enum DiscoveryHandle {
    /// The address of the platform's discovery.
    Platform(watch::Sender<Authority>),
    /// The static list.
    Static(watch::Sender<EndpointList>),
}

impl DiscoveryHandle {
    /// Makes the endpoint source of a start and its handle. `cached_revision` is that of the list known before.
    pub(super) fn connect(
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

    /// Points the source to what another configuration names; returns whether that is a change. Another kind of
    /// source is none: that takes a restart.
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
    // The endpoint table takes no list that is older than its own.
    *current = EndpointList { revision: current.revision + 1, ..new };
    is_changed
}
