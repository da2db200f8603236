//! Tests of what `copperspread`'s `peers` keeps to itself; it takes this file in as its `tests`.
use super::*;

#[test]
fn the_defaults_are_those_of_the_protocol() {
    let (of, core) = (Cluster::default(), Settings::default());
    assert_eq!((of.probe_interval.0, of.probe_timeout.0), (core.probe_interval, core.probe_timeout));
    assert_eq!((of.indirect as usize, of.suspicion), (core.indirect_probes, core.suspicion_multiplier));
}
