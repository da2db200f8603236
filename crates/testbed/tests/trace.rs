//! Records of a scheduler as a recorded trace.
use copperspread_testbed::model::arrivals::Arrivals;
use copperspread_testbed::policy::PolicyKind;
use copperspread_testbed::scenario::Scenario;
use copperspread_testbed::simulation::simulate;
use copperspread_testbed::trace::{LeftOut, record};

fn calm() -> Scenario {
    Scenario::read(include_str!("../scenarios/calm.toml")).expect("a scenario")
}

fn line(seq: u64, unix_us: u64, what: &str) -> String {
    format!(r#"{{"v":1,"run":"r","seq":{seq},"unix_us":{unix_us},"mono_us":{unix_us},"what":{what}}}"#) + "\n"
}

fn taken(class: &str, rest: &str) -> String {
    format!(
        r#"{{"kind":"flow_taken","flow":"0000000000000001","class":"{class}"{rest},"time_left_us":5000000}}"#
    )
}

#[test]
fn what_a_scheduler_took_is_played_again() {
    let text = [
        line(1, 5_000_000, r#"{"kind":"run_started","name":"n","program":"0"}"#),
        line(2, 7_500_000, &taken("status", r#","cost_hint_s":0.25"#)),
        line(3, 7_000_000, &taken("uitbetaling", r#","cost_hint_s":0.5,"slots":2.0"#)),
        line(4, 8_000_000, &taken("status", "")),
        line(5, 8_000_000, &taken("other", r#","cost_hint_s":0.5"#)),
        "garbage\n".to_owned(),
        line(7, 10_000_000, &taken("status", r#","cost_hint_s":0.125"#)),
        line(8, 11_000_000, r#"{"kind":"from a later version"}"#),
        "{\"v\":1,\"ru".to_owned(),
    ]
    .concat();
    let mut scenario = calm();
    let left_out = record(&mut scenario, text.as_bytes()).expect("a trace");
    assert_eq!(left_out, LeftOut { unknown_class: 1, no_hint: 1, unreadable: 2 });
    let came: Vec<_> = Arrivals::new(&scenario, 1).map(|of| (of.at, of.class, of.work, of.slots)).collect();
    assert_eq!(came, [(0, 3, 0.5, 2.0), (500_000, 0, 0.25, 1.0), (3_000_000, 0, 0.125, 1.0)]);
    // As a file it says the same.
    let again = Scenario::read(&toml::to_string(&scenario).expect("TOML")).expect("a scenario");
    assert_eq!(again, scenario);
    let outcome = simulate(&again, PolicyKind::Copperspread, 1).expect("it plays");
    assert_eq!((outcome.jobs, outcome.worth.share()), (3, 1.0));
}

#[test]
fn records_without_a_job_are_told() {
    let only = line(1, 5, r#"{"kind":"run_started","name":"n","program":"0"}"#);
    for (text, said) in [
        ("", "no job of the scenario's classes"),
        (&only, "no job of the scenario's"),
        ("x\n", "line 1 is no record"),
    ] {
        let error = record(&mut calm(), text.as_bytes()).expect_err(text);
        assert!(error.contains(said), "{text}: {error}");
    }
}
