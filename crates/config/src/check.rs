//! Each value against the others and against what the process is allowed. Finds all problems, not
//! just the first, and says what would be right.
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;

use http::uri::Authority;

use crate::types::*;
use crate::units::{Size, Span};

/// Reads a cluster's key from its file and says what is wrong with it, without its bytes.
pub type CheckKey = fn(&Path) -> Result<(), String>;

/// What stands outside the configuration and bounds it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Surroundings {
    /// How many descriptors the process may hold; absent, that is not known.
    pub descriptors: Option<u64>,
    /// Checks the file with a cluster's key; absent, it is not looked at.
    pub key_file: Option<CheckKey>,
}

const LEAST_MEMORY: Size = Size(16_000_000);
const LEAST_DESCRIPTORS: u32 = 64;
const LEAST_ROTATION: Size = Size(65_536);
const LONGEST_DEADLINE: Span = Span(86_400_000_000);
const SHORTEST_PROBE: Span = Span(10_000);
const LONGEST_PROBE: Span = Span(60_000_000);
const LONGEST_NAME: usize = 64;

/// All that is wrong: by key, in words.
pub fn check(config: &Config, around: &Surroundings) -> Vec<(String, String)> {
    let mut found = Found(Vec::new());
    limits(config, around, &mut found);
    zones_and_workers(config, &mut found);
    classes(config, &mut found);
    cluster(config, around, &mut found);
    let cold = &config.cold;
    found.unless(cold.from > 0.0 && cold.from <= 1.0, "cold.from", || {
        format!("{} is not over 0 and at most 1", cold.from)
    });
    found.unless(cold.fall_multiple.is_finite() && cold.fall_multiple > 0.0, "cold.fall_multiple", || {
        format!("{} is not over 0", cold.fall_multiple)
    });
    for (key, span) in [
        ("cold.fall_window", cold.fall_window),
        ("back.http.connect_within", config.back.http.connect_within),
        ("back.http.keep_idle", config.back.http.keep_idle),
    ] {
        found.unless(span.0 > 0, key, || "no time at all; write a span such as \"250ms\"".into());
    }
    found.unless(config.attempts.most >= 1, "attempts.most", || {
        "0 attempts serve no request; at least 1".into()
    });
    found.unless(config.schedulers >= 1, "schedulers", || "0 leaves this one out; at least 1".into());
    let records = &config.records;
    found.unless(records.rotate_at >= LEAST_ROTATION, "records.rotate_at", || {
        format!("{} is too little; at least {LEAST_ROTATION}", records.rotate_at)
    });
    found.unless(records.keep >= 1, "records.keep", || {
        "0 would lose a file at each rotation; at least 1".into()
    });
    found.unless((16..=1_000_000).contains(&records.queue), "records.queue", || {
        format!("{} is not between 16 and 1000000", records.queue)
    });
    found.0
}

struct Found(Vec<(String, String)>);

impl Found {
    fn unless(&mut self, good: bool, key: &str, what: impl FnOnce() -> String) {
        if !good {
            self.0.push((key.to_owned(), what()));
        }
    }
}

fn limits(config: &Config, around: &Surroundings, found: &mut Found) {
    let limits = &config.limits;
    found.unless(limits.memory >= LEAST_MEMORY, "limits.memory", || {
        format!("{} is too little; at least {LEAST_MEMORY}", limits.memory)
    });
    found.unless(limits.descriptors >= LEAST_DESCRIPTORS, "limits.descriptors", || {
        format!("{} is too few; at least {LEAST_DESCRIPTORS}", limits.descriptors)
    });
    // Good in itself, and an accept that fails at full load.
    if let Some(allowed) = around.descriptors {
        found.unless(u64::from(limits.descriptors) <= allowed, "limits.descriptors", || {
            let want = limits.descriptors;
            format!(
                "{want} is more than the {allowed} that this process may open; lower it or raise `ulimit -n`"
            )
        });
    }
}

fn zones_and_workers(config: &Config, found: &mut Found) {
    let zones = &config.zones;
    found.unless(zones.names.contains(&zones.here), "zones.here", || {
        format!("{:?} is not among zones.names: {}", zones.here, zones.names.join(", "))
    });
    found.unless(distinct(&zones.names), "zones.names", || "a name comes twice".into());
    let price = zones.price_of_crossing;
    found.unless(price.is_finite() && price >= 0.0, "zones.price_of_crossing", || {
        format!("{price} is not 0 or more")
    });
    let source = &config.source;
    match (source.kind, &source.address) {
        (SourceKind::Targets, None) => {
            found.unless(false, "source.kind", || {
                "\"targets\" needs source.address, a host and a port".into()
            });
        }
        (SourceKind::Targets, Some(address)) => {
            found.unless(is_address(address), "source.address", || not_an_address(address));
        }
        (SourceKind::Static, Some(_)) => {
            found.unless(false, "source.address", || "has no meaning where source.kind is \"static\"".into());
        }
        (SourceKind::Static, None) => {
            found.unless(!source.workers.is_empty(), "source.workers", || {
                "is empty; a static list needs a worker".into()
            });
        }
    }
    if source.kind == SourceKind::Targets {
        return;
    }
    let mut ids = BTreeSet::new();
    for (number, worker) in source.workers.iter().enumerate() {
        let key = |name: &str| format!("source.workers[{number}].{name}");
        found.unless(!worker.id.is_empty(), &key("id"), || "is empty".into());
        found.unless(ids.insert(&worker.id), &key("id"), || format!("{:?} comes twice", worker.id));
        found.unless(is_address(&worker.address), &key("address"), || not_an_address(&worker.address));
        found.unless(worker.zone.is_empty() || zones.names.contains(&worker.zone), &key("zone"), || {
            format!("{:?} is not among zones.names: {}", worker.zone, zones.names.join(", "))
        });
    }
}

fn classes(config: &Config, found: &mut Found) {
    found.unless(!config.classes.is_empty(), "classes", || "is empty; requests need a class".into());
    let mut names = BTreeSet::new();
    for (number, class) in config.classes.iter().enumerate() {
        let key = |name: &str| format!("classes[{number}].{name}");
        let plain = |c: char| c.is_ascii_alphanumeric() || "-_.~".contains(c);
        found.unless(!class.name.is_empty() && class.name.chars().all(plain), &key("name"), || {
            format!("{:?} is no part of a path; letters, digits and -_.~", class.name)
        });
        // These paths are the program's own.
        found.unless(!["-", "_jobs"].contains(&&*class.name), &key("name"), || {
            format!("{:?} is taken by the program itself", class.name)
        });
        found.unless(names.insert(&class.name), &key("name"), || format!("{:?} comes twice", class.name));
        found.unless(class.deadline.0 > 0 && class.deadline <= LONGEST_DEADLINE, &key("deadline"), || {
            format!("{} is not over 0 and at most a day", class.deadline)
        });
        found.unless(class.aim <= class.deadline, &key("aim"), || {
            format!("{} is later than the deadline of {}", class.aim, class.deadline)
        });
        for (name, figure) in [("stretch", class.stretch), ("worth", class.worth)] {
            found.unless(figure.is_finite() && figure >= 0.0, &key(name), || {
                format!("{figure} is not 0 or more")
            });
        }
        let keyed = class.repeat == Repeat::Keyed;
        let windowed = class.key_window.is_some_and(|window| window.0 > 0);
        found.unless(!keyed || windowed, &key("key_window"), || {
            "is missing or 0; a keyed class needs the span for which repeats are dropped".into()
        });
        found.unless(keyed || class.key_window.is_none(), &key("key_window"), || {
            "has no meaning unless repeat is \"keyed\"".into()
        });
        if let Some(kind) = class.worker_kind.as_ref().filter(|_| config.source.kind == SourceKind::Static) {
            let known = config.source.workers.iter().any(|worker| worker.kind == *kind);
            found.unless(known, &key("worker_kind"), || format!("no worker is of the kind {kind:?}"));
        }
    }
}

fn cluster(config: &Config, around: &Surroundings, found: &mut Found) {
    let cluster = &config.cluster;
    let Some(bind) = cluster.bind else {
        // Guards against a scheduler that is thought to be a member.
        for (key, set) in [
            ("cluster.advertise", cluster.advertise.is_some()),
            ("cluster.seeds", !cluster.seeds.is_empty()),
            ("cluster.key_file", cluster.key_file.is_some()),
        ] {
            found.unless(!set, key, || "has no meaning unless cluster.bind is set".into());
        }
        return;
    };
    found.unless(!bind.ip().is_unspecified() || cluster.advertise.is_some(), "cluster.bind", || {
        format!("{bind} is no number that peers can reach; set cluster.advertise to one")
    });
    let reached = |address: &SocketAddr| !address.ip().is_unspecified() && address.port() != 0;
    let of_kind = |address: &SocketAddr| address.is_ipv4() == bind.is_ipv4();
    let mut address = |key: &str, address: &SocketAddr| {
        found.unless(reached(address), key, || format!("{address} is no number and port to send to"));
        found.unless(of_kind(address), key, || format!("{address} and cluster.bind are IPv4 and IPv6"));
    };
    if let Some(advertise) = &cluster.advertise {
        address("cluster.advertise", advertise);
    }
    for (number, seed) in cluster.seeds.iter().enumerate() {
        address(&format!("cluster.seeds[{number}]"), seed);
    }
    match (&cluster.key_file, around.key_file) {
        (None, _) => found.unless(false, "cluster.key_file", || {
            "is missing; a cluster needs a key, a file of at least 16 bytes".into()
        }),
        (Some(path), Some(read)) => {
            let why = read(path).err();
            found.unless(why.is_none(), "cluster.key_file", || why.unwrap_or_default());
        }
        (Some(_), None) => {}
    }
    let (interval, timeout) = (cluster.probe_interval, cluster.probe_timeout);
    found.unless((SHORTEST_PROBE..=LONGEST_PROBE).contains(&interval), "cluster.probe_interval", || {
        format!("{interval} is not between {SHORTEST_PROBE} and {LONGEST_PROBE}")
    });
    found.unless(timeout.0 > 0 && timeout < interval, "cluster.probe_timeout", || {
        format!("{timeout} is not over 0 and under the probe_interval of {interval}")
    });
    found.unless((1..=16).contains(&cluster.indirect), "cluster.indirect", || {
        format!("{} is not between 1 and 16", cluster.indirect)
    });
    found.unless(cluster.suspicion > 0.0 && cluster.suspicion <= 1_000.0, "cluster.suspicion", || {
        format!("{} is not over 0 and at most 1000", cluster.suspicion)
    });
    // A packet has no room for more.
    for (key, text) in
        [("name", &config.name), ("zones.here", &config.zones.here), ("cluster.region", &cluster.region)]
    {
        found.unless(text.len() <= LONGEST_NAME, key, || {
            format!("{} bytes are too many for a member of a cluster; at most {LONGEST_NAME}", text.len())
        });
    }
    found.unless(!config.name.is_empty(), "name", || "is empty; a member of a cluster needs one".into());
}

fn distinct(names: &[String]) -> bool {
    names.iter().collect::<BTreeSet<_>>().len() == names.len()
}

fn is_address(text: &str) -> bool {
    text.parse().is_ok_and(|address: Authority| address.port_u16().is_some() && !address.host().is_empty())
}

fn not_an_address(text: &str) -> String {
    format!("{text:?} is no address; write a host and a port, such as \"127.0.0.1:9001\"")
}
