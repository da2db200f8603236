//! Unit tests of `downstream::connection_limits`.
use super::*;
use crate::memory::{CONNECTION_BYTES, MemoryBudget};

fn max_connections(descriptor_limit: usize, memory_limit_mb: f64) -> usize {
    let memory = MemoryBudget::new(memory_limit_mb);
    ConnectionLimits::new(DescriptorBudget::with_memory(descriptor_limit, memory)).max_connections()
}

#[test]
fn client_connections_fit_within_descriptors_and_memory() {
    assert_eq!(max_connections(1024, 2048.0), 752);
    let limited_by_memory = max_connections(1024, 32.0);
    assert!(limited_by_memory * CONNECTION_BYTES < 16_000_000, "{limited_by_memory} connections");
    assert_eq!(max_connections(256, 32.0), 176);
    assert_eq!(max_connections(64, 192.0), 32);
    assert_eq!(max_connections(0, 0.0), 8, "the minimum applies");
}
