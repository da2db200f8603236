//! Unit tests of `downstream::connection_limits`.
use super::*;

#[test]
fn client_connections_fit_within_descriptors_and_memory() {
    assert_eq!(max_connections(1024, 2048.0), 752);
    assert_eq!(max_connections(1024, 32.0), 488, "memory is the tighter limit");
    assert_eq!(max_connections(256, 32.0), 176);
    assert_eq!(max_connections(64, 192.0), 32);
    assert_eq!(max_connections(0, 0.0), 8, "the minimum applies");
}
