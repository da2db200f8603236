//! Tests the errors of invalid configurations, the layers, the conversion of valid ones, and the
//! descriptions.
use copperspread_config::{
    CheckContext, Config, EffectiveConfig, commented_default, read_text, reference_page, schema,
};
use copperspread_dispatcher::{Idempotency, KeyScope, SECOND};
use copperspread_settings::DiscoveryConfig;
use proptest::prelude::{ProptestConfig, any, prop, prop_assert, proptest};
use proptest::test_runner::RngSeed;

const CONTEXT: CheckContext =
    CheckContext { descriptor_limit: Some(4096), check_key_file: Some(check_key_file) };
const CLUSTER_EXAMPLE: &str = include_str!("../../../deploy/cluster.toml");
const STANDALONE_EXAMPLE: &str = include_str!("../../../deploy/standalone.toml");

/// Stands in for the program's function, which reads the file.
fn check_key_file(path: &std::path::Path) -> Result<(), Box<dyn std::error::Error>> {
    if path.ends_with("short") { Err("a cluster key of 3 bytes; 16 at least".into()) } else { Ok(()) }
}

fn read(text: &str) -> Result<EffectiveConfig, String> {
    read_text(Some(("f.toml", text)), &[], &CONTEXT).map_err(|problems| problems.to_string())
}

#[test]
#[expect(clippy::too_many_lines, reason = "a table of cases")]
fn each_problem_is_reported_with_its_location_and_a_remedy() {
    let class = "[[classes]]\nname = 'a'\n";
    let cluster = "[cluster]\nbind = '10.0.0.1:7946'\nkey_file = 'k'\n";
    let cases: &[(&str, &[&str])] = &[
        ("[front\n", &["f.toml:1:"]),
        ("", &["f.toml: sets no keys"]),
        ("# only words\n", &["f.toml: sets no keys"]),
        ("nam = 'x'", &["f.toml:1:1: nam: unknown field", "`name`"]),
        ("name = 3", &["f.toml:1:8: name: invalid type", "expected a string"]),
        ("\n[front.http]\nlisten = 'here'", &["f.toml:3:10: front.http.listen", "127.0.0.1:8081"]),
        ("[back.http]\nkeep_idle = 5", &["f.toml:2:13: back.http.keep_idle", "a duration such as"]),
        ("[back.http]\nkeep_idle = '5 sheep'", &["f.toml:2:13: back.http.keep_idle", "250ms"]),
        (
            "[back.http]\nconnect_within = '0s'",
            &["f.toml:2:18: back.http.connect_within: is 0; write a duration"],
        ),
        (
            "[limits]\nmemory = '1 MB'",
            &["f.toml:2:10: limits.memory: 1 MB is too small; must be at least 16 MB"],
        ),
        ("[limits]\ndescriptors = 5000", &["f.toml:2:15: limits.descriptors", "4096", "ulimit"]),
        ("[limits]\ndescriptors = -1", &["f.toml:2:15: limits.descriptors"]),
        ("[zones]\nhere = 'b'", &["f.toml:2:8: zones.here: \"b\" is not among zones.names: a"]),
        ("[zones]\nnames = ['a', 'a']", &["zones.names: a name occurs twice"]),
        ("[cold]\nfrom = nan", &["f.toml:2:8: cold.from: NaN"]),
        ("[cold]\nfall_multiple = 0", &["cold.fall_multiple: 0 is not over 0"]),
        ("[attempts]\nmost = 0", &["attempts.most"]),
        ("[source]\nkind = 'consul'", &["f.toml:2:8: source.kind: unknown variant `consul`", "`targets`"]),
        ("[source]\nkind = 'targets'", &["f.toml:2:8: source.kind: \"targets\" needs source.address"]),
        ("[source]\nkind = 'targets'\naddress = 'nowhere'", &["f.toml:3:11: source.address", "a port"]),
        ("[source]\naddress = 'h:1'", &["f.toml:2:11: source.address: has no effect"]),
        ("[source]\nworkers = []", &["source.workers: is empty"]),
        ("[[source.workers]]\nid = 'w'", &["f.toml:1:1: source.workers[0]", "missing field `address`"]),
        (
            "[[source.workers]]\nid = 'w'\naddress = 'h:1'\n[[source.workers]]\nid = 'w'\naddress = 'h'",
            &[
                "f.toml:5:6: source.workers[1].id: \"w\" occurs twice",
                "f.toml:6:11: source.workers[1].address",
            ],
        ),
        ("classes = []", &["f.toml:1:11: classes: is empty"]),
        ("[[classes]]\naim = '1s'", &["classes[0]", "missing field `name`"]),
        (&format!("{class}{class}"), &["f.toml:4:8: classes[1].name: \"a\" occurs twice"]),
        ("[[classes]]\nname = 'a/b'", &["classes[0].name: \"a/b\" is not a path segment"]),
        ("[[classes]]\nname = '_jobs'", &["classes[0].name: \"_jobs\" is reserved"]),
        (
            &format!("{class}aim = '11s'"),
            &["f.toml:3:7: classes[0].aim: 11s is longer than the deadline of 10s"],
        ),
        (&format!("{class}worth = -1"), &["classes[0].worth: -1 is not 0 or more"]),
        (&format!("{class}repeat = 'keyed'"), &["classes[0].key_window: is missing or 0"]),
        (&format!("{class}key_window = '1s'"), &["f.toml:3:14: classes[0].key_window: has no effect"]),
        (&format!("{class}worker_kind = 'x'"), &["classes[0].worker_kind: no worker has the kind \"x\""]),
        ("[cluster]\nbind = 'here'", &["f.toml:2:8: cluster.bind: \"here\" is not an IP address and port"]),
        ("[cluster]\nbind = '10.0.0.1:7946'", &["f.toml:1:1: cluster.key_file: is missing"]),
        ("[cluster]\nkey_file = 'k'", &["f.toml:2:12: cluster.key_file: has no effect unless cluster.bind"]),
        (
            "[cluster]\nbind = '0.0.0.0:7946'\nkey_file = 'k'",
            &["f.toml:2:8: cluster.bind: 0.0.0.0:7946", "set cluster.advertise"],
        ),
        (
            "[cluster]\nbind = '[::1]:1'\nkey_file = 'short'\nseeds = ['10.0.0.2:0']",
            &[
                "f.toml:3:12: cluster.key_file: a cluster key of 3 bytes; 16 at least",
                "f.toml:4:10: cluster.seeds[0]: 10.0.0.2:0 is not an address and port to send to",
                "cluster.seeds[0]: 10.0.0.2:0 and cluster.bind must be both IPv4 or both IPv6",
            ],
        ),
        (&format!("{cluster}seeds = ['scheduler-2:7946']"), &["f.toml:4:9: cluster.seeds", "10.0.0.1:7946"]),
        (&format!("{cluster}advertise = '0.0.0.0:1'"), &["f.toml:4:13: cluster.advertise: 0.0.0.0:1"]),
        (
            &format!("{cluster}probe_timeout = '1s'"),
            &["f.toml:4:17: cluster.probe_timeout: 1s is out of range; must be over 0 and under the \
                 probe_interval of 1s"],
        ),
        (
            &format!("{cluster}probe_interval = '2m'"),
            &["f.toml:4:18: cluster.probe_interval: 2m is not between 10ms and 1m"],
        ),
        (&format!("{cluster}indirect = 0"), &["f.toml:4:12: cluster.indirect: 0 is not between 1 and 16"]),
        (
            &format!("{cluster}suspicion = nan"),
            &["f.toml:4:13: cluster.suspicion: NaN is out of range; must be over 0"],
        ),
        (&format!("{cluster}region = '{}'", "r".repeat(65)), &["f.toml:4:10: cluster.region: 65 bytes"]),
        (&format!("name = ''\n{cluster}"), &["f.toml:1:8: name: is empty"]),
        ("[records]\nqueue = 1", &["records.queue: 1 is not between 16 and 1000000"]),
        (
            "[records]\nrotate_at = '1 KiB'",
            &["records.rotate_at: 1 KiB is too small; must be at least 64 KiB"],
        ),
    ];
    for (text, expected) in cases {
        let error = read(text).expect_err(text);
        for part in *expected {
            assert!(error.contains(part), "{text:?} gives {error:?}, without {part:?}");
        }
    }
}

#[test]
fn all_problems_are_reported_at_once() {
    let error = read("[limits]\nmemory = '1 B'\ndescriptors = 1\n[zones]\nhere = 'q'")
        .expect_err("the configuration has three problems");
    assert_eq!(error.lines().count(), 3, "{error}");
}

#[test]
fn flags_override_the_file_and_the_file_overrides_the_default() {
    let flags = ["limits.memory=64 MB", "zones.names=[\"a\", \"q\"]", "schedulers=3", "name=from flag"];
    let flags = flags.map(str::to_owned);
    let text = "schedulers = 2\n[limits]\ndescriptors = 512";
    let effective = read_text(Some(("f.toml", text)), &flags, &CONTEXT).expect("the configuration is valid");
    let config = &effective.config;
    assert_eq!((config.schedulers, config.limits.descriptors), (3, 512));
    assert_eq!((config.limits.memory.0, &*config.name), (64_000_000, "from flag"));
    assert_eq!(config.zones.names, ["a", "q"]);
    for (key, origin) in [
        ("schedulers", "flag --set"),
        ("limits.descriptors", "f.toml"),
        ("limits.memory", "flag --set"),
        ("back.http.keep_idle", "default"),
        ("classes[0].aim", "default"),
    ] {
        assert_eq!(effective.origin(key), origin, "{key}");
    }
    let listing = effective.listing();
    assert!(
        listing.lines().any(|line| line.starts_with("schedulers = 3 ") && line.ends_with("# flag --set"))
    );
    for invalid in ["limits", "=3", "a..b=3", "limits.memory=lots", "limits.nothing=1", "limits=3"] {
        let error = read_text(None, &[invalid.to_owned()], &CONTEXT).expect_err(invalid);
        assert!(error.to_string().starts_with("flag --set"), "{invalid}: {error}");
    }
}

#[test]
fn the_commented_default_reads_as_the_default_and_the_examples_are_valid() {
    let text = commented_default().expect("the defaults can be written as TOML");
    assert_eq!(read(&text).expect("the configuration is valid").config, Config::default());
    let startup = read(STANDALONE_EXAMPLE)
        .expect("the configuration is valid")
        .config
        .startup_config(7)
        .expect("the configuration can be converted");
    assert_eq!((startup.seed, startup.descriptor_limit, startup.memory_limit_mb), (7, 1024, 192.0));
    assert_eq!(startup.settings.proxy.classes, ["status", "indienen", "uitbetaling"]);
    let keyed = Idempotency::IdempotentWithKey { scope: KeyScope::Zone, window: 12 * SECOND };
    assert_eq!(
        startup.settings.proxy.idempotency,
        [Idempotency::Idempotent, keyed, Idempotency::NonIdempotent]
    );
    assert_eq!(startup.settings.dispatch.classes[2].deadline, 7_500_000);
    let membership = read(CLUSTER_EXAMPLE).expect("the configuration is valid").config.cluster;
    assert!(membership.bind.is_some() && membership.seeds.len() == 2 && membership.key_file.is_some());
    let DiscoveryConfig::Static(list) = startup.discovery else {
        panic!("the endpoint source is not a static list")
    };
    assert_eq!((list.endpoints.len(), &*list.endpoints[1].zone), (2, "b"));
}

// The page is generated from the types by
// `cargo run -p copperspread-scheduler -- config page > docs/configuration.md`.
#[test]
fn the_reference_page_is_not_stale() {
    let page_on_disk =
        std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/configuration.md"));
    assert!(
        page_on_disk.expect("docs/configuration.md can be read") == reference_page(),
        "generate docs/configuration.md again"
    );
}

#[test]
fn every_key_of_the_schema_has_a_description() {
    fn check_descriptions(path: &str, schema: &serde_json::Value) {
        for (name, property) in schema["properties"].as_object().into_iter().flatten() {
            assert!(property["description"].as_str().is_some_and(|text| text.len() > 5), "{path}.{name}");
            check_descriptions(&format!("{path}.{name}"), property);
            check_descriptions(&format!("{path}.{name}[]"), &property["items"]);
        }
    }
    let schema = schema();
    assert!(schema["properties"].as_object().expect("the schema has properties").len() > 10);
    assert_eq!(schema["additionalProperties"], false);
    check_descriptions("", &schema);
}

fn fixed_seed() -> ProptestConfig {
    ProptestConfig { rng_seed: RngSeed::Fixed(11), failure_persistence: None, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(fixed_seed())]

    // Reading a truncated file never panics: the file is rejected, or is valid and can be converted.
    #[test]
    fn a_truncated_file_is_rejected_or_valid(at in any::<prop::sample::Index>()) {
        let truncated = &STANDALONE_EXAMPLE[..at.index(STANDALONE_EXAMPLE.len())];
        if let Ok(effective) = read(truncated) {
            prop_assert!(effective.config.startup_config(1).is_ok());
        }
    }

    #[test]
    fn a_file_with_one_byte_changed_is_rejected_or_valid(at in any::<prop::sample::Index>(), byte: u8) {
        let mut bytes = STANDALONE_EXAMPLE.as_bytes().to_vec();
        let at = at.index(bytes.len());
        bytes[at] = byte;
        if let Ok(effective) = read(&String::from_utf8_lossy(&bytes)) {
            prop_assert!(effective.config.startup_config(1).is_ok());
        }
    }

    #[test]
    fn arbitrary_text_never_panics(text in "[a-z\\[\\]={}\"'0-9.\n]{0,60}", flag in "\\PC{0,30}") {
        let _ = read(&text);
        let _ = read_text(None, &[flag], &CONTEXT);
    }
}
