//! The command line, by running the program.
#![cfg(feature = "standalone")]
use std::path::PathBuf;

use assert_cmd::Command;

fn program() -> Command {
    let mut program = Command::new(env!("CARGO_BIN_EXE_copperspread-scheduler"));
    program.env_remove("EDGE_CONFIG").env_remove("RUST_LOG").env_remove("COPPERSPREAD_CONFIG");
    program
}

fn said(program: &mut Command) -> (i32, String, String) {
    let output = program.output().expect("it runs");
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("UTF-8");
    (output.status.code().expect("a code"), text(output.stdout), text(output.stderr))
}

/// A file that goes with the test.
struct Scratch(PathBuf);

impl Scratch {
    fn new(name: &str, text: &str) -> Scratch {
        let path = std::env::temp_dir().join(format!("copperspread-{}-{name}", std::process::id()));
        std::fs::write(&path, text).expect("a file");
        Scratch(path)
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

#[test]
fn check_prints_what_is_in_force_with_each_origin() {
    let file = Scratch::new("good.toml", "name = 'of-file'\n[limits]\nmemory = '48 MB'\ndescriptors = 256\n");
    let mut check = program();
    check.arg("check").arg(&file.0).args(["--set", "attempts.most=2"]);
    // File and environment disagree: the environment has it.
    check.env("COPPERSPREAD_LIMITS__MEMORY", "32 MB");
    let (code, out, err) = said(&mut check);
    assert_eq!((code, &*err), (0, ""));
    let name = file.0.display().to_string();
    let of = |key: &str| {
        let line = out.lines().find(|line| line.starts_with(&format!("{key} = "))).expect(key);
        line.split_whitespace().collect::<Vec<_>>().join(" ").replace(&name, "FILE")
    };
    let keys = ["name", "limits.memory", "limits.descriptors", "attempts.most", "cold.from"];
    insta::assert_snapshot!(keys.map(of).join("\n"), @r#"
    name = "of-file" # FILE
    limits.memory = "32 MB" # environment COPPERSPREAD_LIMITS__MEMORY
    limits.descriptors = 256 # FILE
    attempts.most = 2 # flag --set
    cold.from = 0.12 # default
    "#);
}

#[test]
fn check_names_file_line_and_key_of_all_that_is_wrong() {
    let text =
        "[limits]\ndescriptors = 4000000000\n\n[[classes]]\nname = 'a'\naim = '1m'\n[log]\nlevel = 'info'\n";
    let file = Scratch::new("bad.toml", text);
    let (code, out, err) = said(program().arg("check").arg(&file.0));
    assert_eq!((code, &*out), (1, ""));
    let err = err.replace(&file.0.display().to_string(), "FILE");
    // The number of descriptors that this machine allows stands in the first.
    let (first, rest) = err.split_once('\n').expect("two lines");
    assert!(
        first.starts_with(
            "copperspread-scheduler: FILE:2:15: limits.descriptors: 4000000000 is more than the"
        )
    );
    insta::assert_snapshot!(rest, @"FILE:6:7: classes[0].aim: 1m is later than the deadline of 10s");
}

#[test]
fn what_cannot_be_used_ends_serving_before_it_begins() {
    for (set, want) in [
        ("log.level=loud", "log.level: \"loud\" is no level"),
        ("front.http.listen=1", "front.http.listen"),
        ("nothing=1", "unknown field"),
    ] {
        let (code, _, err) = said(program().args(["serve", "--set", set]));
        assert!(code == 1 && err.contains(want), "{set}: {code} {err}");
    }
    let (code, _, err) = said(program().args(["serve"]).env("COPPERSPREAD_LIMITS__MEMRY", "1 MB"));
    assert!(code == 1 && err.contains("environment COPPERSPREAD_LIMITS__MEMRY: "), "{err}");
    let (code, _, err) = said(program().args(["serve"]).env("RUST_LOG", "loud"));
    assert!(code == 1 && err.contains("RUST_LOG"), "{err}");
    let (code, _, err) = said(program().args(["check", "/nonexistent/f.toml"]));
    assert!(code == 1 && err.contains("/nonexistent/f.toml: No such file"), "{err}");
    let (code, _, err) = said(program().arg("serv"));
    assert!(code == 2 && err.contains("similar subcommand"), "{err}");
}

#[test]
fn what_describes_the_configuration_can_be_used() {
    let (_, default, _) = said(program().args(["config", "default"]));
    let file = Scratch::new("default.toml", &default);
    assert_eq!(said(program().arg("check").arg(&file.0)).0, 0);
    let (_, schema, _) = said(program().args(["config", "schema"]));
    let schema: serde_json::Value = serde_json::from_str(&schema).expect("JSON");
    assert_eq!(schema["properties"]["limits"]["properties"]["memory"]["format"], "size");
    for shell in ["bash", "zsh", "fish"] {
        let (code, out, _) = said(program().args(["completions", shell]));
        assert!(code == 0 && out.contains("copperspread"), "{shell}");
    }
    let (code, out, _) = said(program().arg("--version"));
    assert_eq!((code, &*out), (0, concat!("copperspread-scheduler ", env!("CARGO_PKG_VERSION"), "\n")));
    let platform = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/toy/config.json");
    let (code, out, _) = said(program().args(["check", platform]));
    assert!(code == 0 && out.contains("good, the platform's form: n0 listens on 127.0.0.1:8081"), "{out}");
}

/// Guards against a recorded run of another program than the one that is measured.
#[test]
fn the_recorded_deployment_differs_from_the_platforms_by_its_records_alone() {
    let file = |name: &str| {
        let path = format!("{}/../../deploy/{name}.toml", env!("CARGO_MANIFEST_DIR"));
        std::fs::read_to_string(path).expect("a deploy file")
    };
    let recorded = file("recorded");
    assert!(recorded.contains("serve --records -\""));
    assert_eq!(recorded.replace(" --records -", ""), file("balancer"));
}
