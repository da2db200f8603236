//! Unit tests of `src/membership.rs`, which includes this file as its `tests`.
use super::*;

#[test]
fn the_defaults_of_the_configuration_equal_those_of_the_protocol() {
    let (configured, protocol) = (config::MembershipConfig::default(), Settings::default());
    assert_eq!(
        (configured.probe_interval.0, configured.probe_timeout.0),
        (protocol.probe_interval, protocol.probe_timeout)
    );
    assert_eq!(
        (configured.indirect as usize, configured.suspicion),
        (protocol.indirect_probes, protocol.suspicion_multiplier)
    );
}
