//! Tests of the command line that run the program.
#![cfg(feature = "standalone")]
use std::path::{Path, PathBuf};

use assert_cmd::Command;

fn program() -> Command {
    let mut program = Command::new(env!("CARGO_BIN_EXE_copperspread-scheduler"));
    program.env_remove("EDGE_CONFIG").env_remove("RUST_LOG").env_remove("COPPERSPREAD_CONFIG");
    program
}

/// The exit code of a run and what it printed to standard output and standard error.
#[derive(Debug, PartialEq)]
struct Outcome {
    exit_code: i32,
    output: String,
    errors: String,
}

impl Outcome {
    fn fails_with(&self, exit_code: i32, text: &str) -> bool {
        self.exit_code == exit_code && self.errors.contains(text)
    }
}

fn run(program: &mut Command) -> Outcome {
    let outcome = program.output().expect("the program runs");
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("UTF-8");
    let exit_code = outcome.status.code().expect("an exit code");
    Outcome { exit_code, output: text(outcome.stdout), errors: text(outcome.stderr) }
}

/// A file that is deleted when the value is dropped.
struct TemporaryFile(PathBuf);

impl TemporaryFile {
    fn new(name: &str, content: &str) -> TemporaryFile {
        let path = std::env::temp_dir().join(format!("copperspread-{}-{name}", std::process::id()));
        std::fs::write(&path, content).expect("the file is written");
        TemporaryFile(path)
    }

    fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for TemporaryFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

#[test]
fn check_prints_each_value_in_force_with_its_origin() {
    let content = "name = 'of-file'\n[limits]\nmemory = '48 MB'\ndescriptors = 256\n";
    let file = TemporaryFile::new("good.toml", content);
    let mut check = program();
    check.arg("check").arg(file.path()).args(["--set", "attempts.most=2"]);
    // The environment overrides the file.
    check.env("COPPERSPREAD_LIMITS__MEMORY", "32 MB");
    let outcome = run(&mut check);
    assert_eq!((outcome.exit_code, &*outcome.errors), (0, ""));
    let file_name = file.path().display().to_string();
    let line_of = |key: &str| {
        let prefix = format!("{key} = ");
        let line = outcome.output.lines().find(|line| line.starts_with(&prefix)).expect(key);
        line.split_whitespace().collect::<Vec<_>>().join(" ").replace(&file_name, "FILE")
    };
    let keys = ["name", "limits.memory", "limits.descriptors", "attempts.most", "cold.from"];
    insta::assert_snapshot!(keys.map(line_of).join("\n"), @r#"
    name = "of-file" # FILE
    limits.memory = "32 MB" # environment COPPERSPREAD_LIMITS__MEMORY
    limits.descriptors = 256 # FILE
    attempts.most = 2 # flag --set
    cold.from = 0.12 # default
    "#);
}

#[test]
fn check_names_file_line_and_key_of_every_error() {
    let content =
        "[limits]\ndescriptors = 4000000000\n\n[[classes]]\nname = 'a'\naim = '1m'\n[log]\nlevel = 'info'\n";
    let file = TemporaryFile::new("bad.toml", content);
    let outcome = run(program().arg("check").arg(file.path()));
    assert_eq!((outcome.exit_code, &*outcome.output), (1, ""));
    let errors = outcome.errors.replace(&file.path().display().to_string(), "FILE");
    // The first line holds the number of descriptors that this machine allows.
    let (first, rest) = errors.split_once('\n').expect("at least two lines");
    assert!(
        first.starts_with(
            "copperspread-scheduler: FILE:2:15: limits.descriptors: 4000000000 is more than the"
        )
    );
    insta::assert_snapshot!(rest, @"FILE:6:7: classes[0].aim: 1m is longer than the deadline of 10s");
}

#[test]
fn an_unusable_configuration_or_command_line_fails_before_serving() {
    for (setting, error) in [
        ("log.level=loud", "log.level: \"loud\" is no level"),
        ("front.http.listen=1", "front.http.listen"),
        ("nothing=1", "unknown field"),
    ] {
        let outcome = run(program().args(["serve", "--set", setting]));
        assert!(outcome.fails_with(1, error), "{setting}: {outcome:?}");
    }
    let outcome = run(program().args(["serve"]).env("COPPERSPREAD_LIMITS__MEMRY", "1 MB"));
    assert!(outcome.fails_with(1, "environment COPPERSPREAD_LIMITS__MEMRY: "), "{outcome:?}");
    let outcome = run(program().args(["serve"]).env("RUST_LOG", "loud"));
    assert!(outcome.fails_with(1, "RUST_LOG"), "{outcome:?}");
    let outcome = run(program().args(["check", "/nonexistent/f.toml"]));
    assert!(outcome.fails_with(1, "/nonexistent/f.toml: No such file"), "{outcome:?}");
    let outcome = run(program().arg("serv"));
    assert!(outcome.fails_with(2, "similar subcommand"), "{outcome:?}");
}

#[test]
fn configuration_descriptions_completions_and_version_are_usable() {
    let default = run(program().args(["config", "default"])).output;
    let file = TemporaryFile::new("default.toml", &default);
    assert_eq!(run(program().arg("check").arg(file.path())).exit_code, 0);
    let schema = run(program().args(["config", "schema"])).output;
    let schema: serde_json::Value = serde_json::from_str(&schema).expect("JSON");
    assert_eq!(schema["properties"]["limits"]["properties"]["memory"]["format"], "size");
    for shell in ["bash", "zsh", "fish"] {
        let outcome = run(program().args(["completions", shell]));
        assert!(outcome.exit_code == 0 && outcome.output.contains("copperspread"), "{shell}");
    }
    let version = run(program().arg("--version"));
    let expected = concat!("copperspread-scheduler ", env!("CARGO_PKG_VERSION"), "\n");
    assert_eq!((version.exit_code, &*version.output), (0, expected));
    let platform_config_path = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/toy/config.json");
    let outcome = run(program().args(["check", platform_config_path]));
    let summary = "good, the platform's form: n0 listens on 127.0.0.1:8081";
    assert!(outcome.exit_code == 0 && outcome.output.contains(summary), "{outcome:?}");
}

/// The two deployments must differ in nothing else: otherwise a recorded run would show a different program
/// from the one that is measured.
#[test]
fn the_recorded_deployment_differs_from_the_platforms_only_by_its_event_log() {
    let deployment = |name: &str| {
        let path = format!("{}/../../deploy/{name}.toml", env!("CARGO_MANIFEST_DIR"));
        std::fs::read_to_string(path).expect("a deployment file")
    };
    let recorded = deployment("recorded");
    assert!(recorded.contains("serve --records -\""));
    assert_eq!(recorded.replace(" --records -", ""), deployment("balancer"));
}
