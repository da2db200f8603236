//! What reads the network: random cuts of valid messages and random garbage, from fixed seeds.
mod sockets;
use copperspread_proxy::downstream::http::request_head::{parse_attribute, parse_timeout};
use copperspread_proxy::messages::parse_request_id;
use copperspread_proxy::upstream::http::callback::parse_callback;
use copperspread_proxy::upstream::http::limits::idle_timeout;
use copperspread_proxy::upstream::http::load_report::{parse_load_header, parse_load_response};
use copperspread_settings::{json, platform};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const CALL_BACK: &str =
    r#"{"id":"9b1f03aa5c7e2d41","from":"s-0","state":"done","result":"é\u00e9\n","load":{"x0":1}}"#;
const HEADER: &str = "TEXT inflight=7, queue=2, util=0.61";

fn fixed() -> ProptestConfig {
    ProptestConfig { rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() }
}

fn valid() -> (String, String) {
    let here = "127.0.0.1:80".parse().expect("an address");
    let known = sockets::endpoint_list(3, true, &[sockets::endpoint("r0", here, "SERVING")]);
    (sockets::config(here, here, &known), known)
}

/// All readers take anything without a panic.
fn read_all(bytes: &[u8]) {
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
    #![proptest_config(fixed())]

    #[test]
    fn a_truncated_message_is_refused(at in any::<prop::sample::Index>()) {
        let (config, list) = valid();
        prop_assert!(parse_callback(&CALL_BACK.as_bytes()[..at.index(CALL_BACK.len())]).is_err());
        prop_assert!(platform::read_startup_config(&config[..at.index(config.len())]).is_err());
        prop_assert!(json::parse(&list[..at.index(list.len())]).is_err());
        read_all(&HEADER.as_bytes()[..at.index(HEADER.len())]);
    }

    #[test]
    fn a_message_with_one_byte_changed_causes_no_panic(at in any::<prop::sample::Index>(), byte: u8) {
        let (config, list) = valid();
        for text in [CALL_BACK, HEADER, "480m", "slots=1,memory=2", &config, &list] {
            let mut bytes = text.as_bytes().to_vec();
            bytes[at.index(text.len())] = byte;
            read_all(&bytes);
        }
    }

    #[test]
    fn garbage_causes_no_panic(bytes: Vec<u8>, text in "[\\[{\":,0-9a-z}\\]]{0,80}") {
        read_all(&bytes);
        read_all(text.as_bytes());
    }
}

#[test]
fn valid_messages_are_parsed() {
    let (config, list) = valid();
    let config = platform::read_startup_config(&config).expect("a configuration");
    let list = json::parse(&list).and_then(|value| platform::read_endpoint_list(&value)).expect("a list");
    assert_eq!(config.cached_endpoints.as_ref(), Some(&list));
    assert!(parse_callback(CALL_BACK.as_bytes()).is_ok());
    let report = parse_load_header(HEADER).expect("a report");
    assert_eq!((report.in_flight, report.queue, report.utilization), (Some(7.0), Some(2.0), Some(0.61)));
    assert_eq!(parse_load_header("TEXT queue=2, util=?"), None, "a garbled report is dropped whole");
    assert_eq!(parse_timeout("480m"), Some(480_000));
    assert_eq!(parse_timeout("480u"), Some(480));
    for bad in ["", "m", "480", "480s", "-4m", "1e9m", "NaNm", "é"] {
        assert_eq!(parse_timeout(bad), None, "{bad}");
    }
    assert_eq!(parse_timeout("99999999999999999999m"), Some(86_400_000_000), "absurd waits are cut");
    assert_eq!((idle_timeout(5_000_000), idle_timeout(1_000_000), idle_timeout(1)), (4_500_000, 700_000, 0));
    assert_eq!(parse_attribute("memory=0.3,slots=2", &["slots"]), Some(2.0));
}

/// Guards against one odd size by which a whole list would be lost.
#[test]
fn a_size_that_is_no_number_is_ignored_and_the_list_is_kept() {
    let (_, list) = valid();
    for (odd, read) in [("\"big\"", None), ("null", None), ("0", Some(0.0)), ("-2e300", Some(-2e300))] {
        let list = list.replace("\"size\":1.0", &format!("\"size\":{odd}"));
        let list = json::parse(&list).and_then(|value| platform::read_endpoint_list(&value)).expect("a list");
        assert_eq!(list.endpoints[0].size, read, "{odd}");
    }
}

#[test]
fn the_settings_give_the_instance_index_and_the_meaning_of_sizes() {
    let read = |config: &str| platform::read_startup_config(config).map(|start| start.settings.dispatch);
    let (config, _) = valid();
    let plain = read(&config).expect("a configuration");
    assert_eq!((plain.instance_index, plain.sizes_reflect_load), (None, false));
    let told = config.replace("\"fleet_size\":1", "\"fleet_size\":100,\"me\":7,\"weights\":\"live\"");
    let told = read(&told).expect("a configuration");
    assert_eq!((told.instance_index, told.sizes_reflect_load, told.fleet_size), (Some(7), true, 100));
    let wrong = config.replace("\"fleet_size\":1", "\"fleet_size\":1,\"me\":-1");
    assert!(read(&wrong).expect_err("no number").to_string().contains("me"));
}
