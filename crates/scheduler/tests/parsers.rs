//! Property tests of the parsers of network input: truncated, changed and random messages, from a fixed seed.
mod sockets;
use copperspread_proxy::downstream::http::request_head::{parse_attribute, parse_timeout};
use copperspread_proxy::messages::parse_request_id;
use copperspread_proxy::upstream::http::callback::parse_callback;
use copperspread_proxy::upstream::http::limits::idle_timeout;
use copperspread_proxy::upstream::http::load_report::{parse_load_header, parse_load_response};
use copperspread_settings::{json, platform};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const CALLBACK: &str =
    r#"{"id":"9b1f03aa5c7e2d41","from":"s-0","state":"done","result":"é\u00e9\n","load":{"x0":1}}"#;
const LOAD_HEADER: &str = "TEXT inflight=7, queue=2, util=0.61";

fn fixed_seed_config() -> ProptestConfig {
    ProptestConfig { rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() }
}

/// Returns a valid configuration and its endpoint list.
fn valid_inputs() -> (String, String) {
    let address = "127.0.0.1:80".parse().expect("a socket address");
    let known = sockets::endpoint_list(3, true, &[sockets::endpoint("r0", address, "SERVING")]);
    (sockets::config(address, address, &known), known)
}

/// Passes some input to all parsers, none of which may panic.
fn parse_with_all(bytes: &[u8]) {
    let _ = (parse_callback(bytes), parse_load_response(&Default::default(), bytes));
    let text = String::from_utf8_lossy(bytes);
    let _ = platform::read_startup_config(&text);
    let _ = json::parse(&text).map(|value| platform::read_endpoint_list(&value));
    let _ = (
        parse_load_header(&text),
        parse_timeout(&text),
        parse_attribute(&text, &["slots"]),
        parse_request_id(&text),
    );
}

proptest! {
    #![proptest_config(fixed_seed_config())]

    #[test]
    fn a_truncated_message_is_rejected(at in any::<prop::sample::Index>()) {
        let (config, list) = valid_inputs();
        prop_assert!(parse_callback(&CALLBACK.as_bytes()[..at.index(CALLBACK.len())]).is_err());
        prop_assert!(platform::read_startup_config(&config[..at.index(config.len())]).is_err());
        prop_assert!(json::parse(&list[..at.index(list.len())]).is_err());
        parse_with_all(&LOAD_HEADER.as_bytes()[..at.index(LOAD_HEADER.len())]);
    }

    #[test]
    fn a_message_with_one_byte_changed_causes_no_panic(at in any::<prop::sample::Index>(), byte: u8) {
        let (config, list) = valid_inputs();
        for text in [CALLBACK, LOAD_HEADER, "480m", "slots=1,memory=2", &config, &list] {
            let mut bytes = text.as_bytes().to_vec();
            bytes[at.index(text.len())] = byte;
            parse_with_all(&bytes);
        }
    }

    #[test]
    fn random_input_causes_no_panic(bytes: Vec<u8>, text in "[\\[{\":,0-9a-z}\\]]{0,80}") {
        parse_with_all(&bytes);
        parse_with_all(text.as_bytes());
    }
}

#[test]
fn valid_messages_are_parsed() {
    let (config, list) = valid_inputs();
    let config = platform::read_startup_config(&config).expect("a valid configuration");
    let list = json::parse(&list)
        .and_then(|value| platform::read_endpoint_list(&value))
        .expect("a valid endpoint list");
    assert_eq!(config.cached_endpoints.as_ref(), Some(&list));
    assert!(parse_callback(CALLBACK.as_bytes()).is_ok());
    let report = parse_load_header(LOAD_HEADER).expect("a valid load report");
    assert_eq!((report.in_flight, report.queue, report.utilization), (Some(7.0), Some(2.0), Some(0.61)));
    assert_eq!(parse_load_header("TEXT queue=2, util=?"), None, "a malformed report is dropped entirely");
    assert_eq!(parse_timeout("480m"), Some(480_000));
    assert_eq!(parse_timeout("480u"), Some(480));
    for bad in ["", "m", "480", "480s", "-4m", "1e9m", "NaNm", "é"] {
        assert_eq!(parse_timeout(bad), None, "{bad}");
    }
    assert_eq!(parse_timeout("99999999999999999999m"), Some(86_400_000_000), "excessive timeouts are capped");
    assert_eq!((idle_timeout(5_000_000), idle_timeout(1_000_000), idle_timeout(1)), (4_500_000, 700_000, 0));
    assert_eq!(parse_attribute("memory=0.3,slots=2", &["slots"]), Some(2.0));
}

// Guards against one malformed size that makes the whole list invalid.
#[test]
fn a_size_that_is_no_number_is_ignored_and_the_list_is_kept() {
    let (_, list) = valid_inputs();
    for (size_text, parsed) in [("\"big\"", None), ("null", None), ("0", Some(0.0)), ("-2e300", Some(-2e300))]
    {
        let list = list.replace("\"size\":1.0", &format!("\"size\":{size_text}"));
        let list = json::parse(&list)
            .and_then(|value| platform::read_endpoint_list(&value))
            .expect("a valid endpoint list");
        assert_eq!(list.endpoints[0].size, parsed, "{size_text}");
    }
}

#[test]
fn the_settings_give_the_instance_index_and_whether_sizes_reflect_load() {
    let read = |config: &str| platform::read_startup_config(config).map(|start| start.settings.dispatch);
    let (config, _) = valid_inputs();
    let default_settings = read(&config).expect("a valid configuration");
    assert_eq!((default_settings.instance_index, default_settings.listed_sizes_reflect_load), (None, false));
    let extended = config.replace("\"fleet_size\":1", "\"fleet_size\":100,\"me\":7,\"weights\":\"live\"");
    let extended = read(&extended).expect("a valid configuration");
    assert_eq!(
        (extended.instance_index, extended.listed_sizes_reflect_load, extended.fleet_size),
        (Some(7), true, 100)
    );
    let wrong = config.replace("\"fleet_size\":1", "\"fleet_size\":1,\"me\":-1");
    assert!(read(&wrong).expect_err("a negative instance index is rejected").to_string().contains("me"));
}
