//! Unit tests of `src/logging.rs`, which includes this file as its `tests`.
use tracing::Level;

use super::{parse_levels, with_current_targets};

#[test]
fn a_misspelt_level_is_rejected_and_not_taken_for_a_target() {
    for valid in ["off", "info", "warn,copperspread_proxy=trace", "copperspread=debug, info"] {
        assert!(parse_levels(valid).is_ok(), "{valid}");
    }
    for invalid in ["", "inof", "info,", "copperspread_proxy=loud", "info;debug"] {
        assert!(parse_levels(invalid).is_err(), "{invalid}");
    }
}

#[test]
fn a_level_for_a_crates_former_name_applies_only_to_its_current_name() {
    let crates = [
        ("copperspread_node", "copperspread_proxy::assembly"),
        ("copperspread_decisions", "copperspread_dispatcher::decide"),
        ("copperspread_cluster", "copperspread_membership::cluster"),
        ("copperspread_peers", "copperspread_membership_transport::driver"),
        ("copperspread_records", "copperspread_event_log::writer"),
        ("copperspread_settings", "copperspread_settings::platform"),
        ("copperspread_config", "copperspread_config::layers"),
        ("copperspread::serve", "copperspread_scheduler::serve"),
    ];
    for (old, _) in crates {
        let levels = parse_levels(&format!("info,{old}=debug")).expect("the list of levels is valid");
        for (other, target) in crates {
            assert_eq!(levels.would_enable(target, &Level::DEBUG), other == old, "{old}: {target}");
            assert!(levels.would_enable(target, &Level::INFO), "{old}: {target}");
        }
    }
}

#[test]
fn a_level_for_copperspread_applies_to_every_crate() {
    let levels = parse_levels("warn,copperspread=debug").expect("the list of levels is valid");
    for target in ["copperspread_scheduler::serve", "copperspread_proxy", "copperspread_membership_transport"]
    {
        assert!(levels.would_enable(target, &Level::DEBUG), "{target}");
    }
    assert!(!levels.would_enable("hyper::proto", &Level::INFO));
}

#[test]
fn former_targets_are_replaced_as_whole_names_and_with_their_modules() {
    for (old, current) in [
        ("info, copperspread_node=debug", "info,copperspread_proxy=debug"),
        ("copperspread_node::front=debug", "copperspread_proxy::downstream=debug"),
        ("copperspread_node::front::http=debug", "copperspread_proxy::downstream::http=debug"),
        ("copperspread_node::clock=debug", "copperspread_proxy::clock=debug"),
        ("copperspread_cluster::seal=debug", "copperspread_membership::seal=debug"),
        ("copperspread_nodes=debug", "copperspread_nodes=debug"),
        ("copperspread_node_x::front=debug", "copperspread_node_x::front=debug"),
        ("copperspread=debug, info", "copperspread=debug, info"),
    ] {
        assert_eq!(with_current_targets(old), current);
    }
}
