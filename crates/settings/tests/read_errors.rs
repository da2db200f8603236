//! Messages of the errors that invalid platform JSON causes. Operators see them, and so does the simulator.
use copperspread_settings::{json, platform};

const CONFIG: &str = r#"{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"a","settings":{
    "fleet_size":1,"discovery":"pushed","permissions":{"send_cap":1},
    "safety":{"cold_from":0.5,"cold_s":1,"fall_multiple":2,"fall_s":1},
    "classes":[{"aim_s":1,"deadline_s":2,"importance":1,"semantics":"pure"}]}}"#;

const LIST: &str =
    r#"{"revision":1,"complete":true,"members":[{"id":"w","host_port":"h:1","phase":"SERVING"}]}"#;

#[test]
fn each_error_of_a_startup_config_names_its_field() {
    platform::read_startup_config(CONFIG).expect("the unchanged configuration is valid");
    let cases = [
        (r#""listen":"127.0.0.1:1""#, r#""listen":null"#, "listen is missing"),
        (r#""listen":"127.0.0.1:1""#, r#""listen":1"#, "listen is not a string"),
        (r#""listen":"127.0.0.1:1""#, r#""listen":"x""#, r#"listen: "x" is not an address"#),
        (r#""discovery":"127.0.0.1:2""#, r#""discovery":"a b""#, r#"discovery: "a b" is not an address"#),
        (r#""seed":"a""#, r#""seed":"x""#, r#"seed: "x" is not a hexadecimal number"#),
        (r#""seed":"a""#, r#""seed":"a","limits":{"sockets":1.5}"#, "limits: sockets is not a whole number"),
        (r#""seed":"a""#, r#""seed":"a","limits":{"memory_mb":"x"}"#, "limits: memory_mb is not a number"),
        (r#""seed":"a""#, r#""seed":"a","known":{}"#, "known: members is missing"),
        (r#""settings":"#, r#""given":"#, "settings is missing"),
        (r#""fleet_size":1"#, r#""fleet_size":5e9"#, "settings: fleet_size is out of range"),
        (r#""fleet_size":1"#, r#""fleet_size":-1"#, "settings: fleet_size is not a whole number"),
        (r#""pushed""#, r#""pulled""#, r#"settings: unknown discovery "pulled""#),
        (r#""send_cap":1"#, r#""send_cap":1,"probes":1"#, "settings: probes is neither true nor false"),
        (r#""cold_s":1"#, r#""cold_s":{}"#, "settings: cold_s is not a number"),
        (r#""semantics":"pure""#, r#""semantics":"x""#, r#"settings: unknown semantics "x""#),
        (r#""fleet_size":1"#, r#""fleet_size":1,"tenants":{}"#, "settings: tenants is not an array"),
    ];
    for (part, changed, expected) in cases {
        let content = CONFIG.replacen(part, changed, 1);
        let error = platform::read_startup_config(&content).expect_err(changed);
        assert_eq!(error.to_string(), expected, "{changed}");
    }
}

#[test]
fn each_error_of_an_endpoint_list_names_its_field_or_value() {
    let read = |text: &str| platform::read_endpoint_list(&json::parse(text).expect("the list is valid JSON"));
    read(LIST).expect("the unchanged list is valid");
    let cases = [
        (r#""revision":1,"#, "", "revision is missing"),
        (r#""complete":true"#, r#""complete":1"#, "complete is neither true nor false"),
        (r#""members":["#, r#""members":{},"rest":["#, "members is not an array"),
        (r#""id":"w","#, "", "id is missing"),
        (r#""h:1""#, r#""a b""#, r#""a b" is not an address"#),
        (r#""h:1""#, r#""h""#, r#""h" has no port"#),
        (r#""SERVING""#, r#""IDLE""#, r#"unknown phase "IDLE""#),
    ];
    for (part, changed, expected) in cases {
        let error = read(&LIST.replacen(part, changed, 1)).expect_err(changed);
        assert_eq!(error.to_string(), expected, "{changed}");
    }
}

#[test]
fn a_body_that_is_not_json_is_rejected_with_the_reason() {
    let text_of = |bytes: &[u8]| json::parse_bytes(bytes).expect_err("the body is not JSON").to_string();
    assert_eq!(text_of(b"\xff"), "not valid UTF-8");
    assert_eq!(text_of("[".repeat(33).as_bytes()), "nested too deeply");
    assert!(text_of(b"{").starts_with("not valid JSON: "));
    assert!(json::parse(&format!("{}{}", "[".repeat(32), "]".repeat(32))).is_ok());
    assert!(
        json::parse(&format!("\"{}\\\"\"", "[".repeat(33))).is_ok(),
        "brackets in a string do not count as nesting"
    );
}
