//! Each value against the others and against what the process is allowed. Finds all problems, not
//! just the first, and says what would be right.
use std::collections::BTreeSet;

use http::uri::Authority;

use crate::types::*;
use crate::units::{Size, Span};

/// What stands outside the configuration and bounds it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Surroundings {
    /// How many descriptors the process may hold; absent, that is not known.
    pub descriptors: Option<u64>,
}

const LEAST_MEMORY: Size = Size(16_000_000);
const LEAST_DESCRIPTORS: u32 = 64;
const LEAST_ROTATION: Size = Size(65_536);
const LONGEST_DEADLINE: Span = Span(86_400_000_000);

/// All that is wrong: by key, in words.
pub fn check(config: &Config, around: &Surroundings) -> Vec<(String, String)> {
    let mut found = Found(Vec::new());
    limits(config, around, &mut found);
    zones_and_workers(config, &mut found);
    classes(config, &mut found);
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

fn distinct(names: &[String]) -> bool {
    names.iter().collect::<BTreeSet<_>>().len() == names.len()
}

fn is_address(text: &str) -> bool {
    text.parse().is_ok_and(|address: Authority| address.port_u16().is_some() && !address.host().is_empty())
}

fn not_an_address(text: &str) -> String {
    format!("{text:?} is no address; write a host and a port, such as \"127.0.0.1:9001\"")
}
