//! Snapshot tests of the command line and the configuration: the exact output of the program and its exit
//! code. The snapshots are in `snapshots/`; a change there changes an external interface. The invalid inputs
//! are in `bad_input/`, one case per line, with `\n` for a line break.
#![cfg(feature = "standalone")]
use std::fmt::Write;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::time::Duration;

use assert_cmd::Command;
use serde_json::{Value, json};

/// The program's name, with which help, version and errors begin. The transcripts have [`MASKED_NAME`] in its
/// place.
const NAME: &str = "copperspread-scheduler";
const MASKED_NAME: &str = "PROGRAM";
/// The time after which a run is killed: a case that is unexpectedly valid would serve without end.
const MAX_RUN_TIME: Duration = Duration::from_secs(20);
/// The width of the terminal. clap wraps help if another crate of the same build enables its feature
/// `wrap_help`; at this width no line is wrapped, so that the output is the same with and without the
/// feature.
const TERMINAL_COLUMNS: &str = "10000";

fn program() -> Command {
    let mut program = Command::new(env!("CARGO_BIN_EXE_copperspread-scheduler"));
    program.env_clear().env("RUST_LOG", "off").env("COLUMNS", TERMINAL_COLUMNS).timeout(MAX_RUN_TIME);
    program
}

/// A folder that is deleted when the value is dropped. The program runs in it, so that its output has no
/// absolute paths.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("cli-transcripts-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).expect("the folder is created");
        Folder(path)
    }

    fn write(&self, name: &str, content: impl AsRef<[u8]>) {
        std::fs::write(self.0.join(name), content).expect("the file is written");
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Runs the program in a folder, and returns its exit code and all its output as text.
fn transcript(program: &mut Command, folder: &Path) -> String {
    let output = program.current_dir(folder).output().expect("the program runs");
    let code = output.status.code().expect("an exit code within the time allowed");
    let mut text = format!("exit code {code}\n");
    for (name, bytes) in [("standard output", output.stdout), ("standard error", output.stderr)] {
        if !bytes.is_empty() {
            let printed = String::from_utf8(bytes).expect("UTF-8");
            write!(text, "-- {name}\n{}", mask_error_prefix(&printed)).expect("writing to a string succeeds");
        }
    }
    text + "--\n"
}

/// Masks the program's name at the start of an error message, and nowhere else.
fn mask_error_prefix(printed: &str) -> String {
    match printed.strip_prefix(&format!("{NAME}: ")) {
        Some(rest) => format!("{MASKED_NAME}: {rest}"),
        None => printed.to_owned(),
    }
}

/// Replaces the text between `before` and `after` by `mask` on each line that contains both.
fn mask_between(text: &str, before: &str, after: &str, mask: &str) -> String {
    let masked = |line: &str| match line.split_once(before) {
        Some((head, tail)) if tail.contains(after) => {
            let (_, rest) = tail.split_once(after).unwrap_or_default();
            format!("{head}{before}{mask}{after}{rest}")
        }
        _ => line.to_owned(),
    };
    text.split_inclusive('\n').map(masked).collect()
}

/// The transcripts of several command lines, each under a heading with its arguments.
fn transcripts_of_arguments(cases: &[&[&str]], folder: &Folder) -> String {
    let transcript_of = |arguments: &&[&str]| {
        let printed = transcript(program().args(*arguments), &folder.0);
        format!("## {}\n{printed}\n", arguments.join(" "))
    };
    cases.iter().map(transcript_of).collect()
}

#[test]
fn help_of_the_program_and_of_each_subcommand() {
    let folder = Folder::new("help");
    let commands = [
        "",
        "serve",
        "check",
        "config",
        "config schema",
        "config default",
        "config page",
        "records",
        "records cat",
        "records fleet",
        "records stat",
        "completions",
        "toy",
    ];
    for command in commands {
        let mut help = program();
        help.args(command.split_whitespace()).arg("--help");
        let printed = transcript(&mut help, &folder.0).replace(NAME, MASKED_NAME);
        let name = if command.is_empty() { "program" } else { command };
        insta::assert_snapshot!(format!("help_{}", name.replace(' ', "_")), printed);
    }
}

#[test]
fn descriptions_of_the_configuration() {
    let folder = Folder::new("describe");
    for description in ["default", "schema", "page"] {
        let printed = transcript(program().args(["config", description]), &folder.0);
        insta::assert_snapshot!(format!("config_{description}"), printed);
    }
}

#[test]
fn check_of_valid_configurations() {
    let folder = Folder::new("good");
    folder.write(
        "good.toml",
        "name = 'of-file'\nschedulers = 3\n[limits]\nmemory = '48 MB'\ndescriptors = 256\n\
         [zones]\nhere = 'b'\nnames = ['a', 'b']\n[back.http]\nkeep_idle = '1m 30s'\n\
         [[source.workers]]\nid = 'r0'\naddress = '127.0.0.1:9001'\nzone = 'b'\nstate = 'draining'\n\
         [[classes]]\nname = 'keyed'\nrepeat = 'keyed'\nkey_scope = 'cell'\nkey_window = '12s'\n",
    );
    let mut layered = program();
    layered.args(["check", "good.toml", "--set", "attempts.most=2", "--set", "name=of flag"]);
    layered.env("COPPERSPREAD_LIMITS__MEMORY", "32 MB").env("COPPERSPREAD_NAME", "of-environment");
    insta::assert_snapshot!("check_layers", transcript(&mut layered, &folder.0));
    insta::assert_snapshot!("check_default", transcript(program().arg("check"), &folder.0));
    folder.write("platform.json", include_str!("../examples/toy/config.json"));
    let platform = transcript(program().args(["check", "platform.json"]), &folder.0);
    insta::assert_snapshot!("check_platform", platform);
}

#[test]
fn check_of_invalid_files() {
    let folder = Folder::new("bad");
    folder.write("short.key", "fifteen bytes..\n");
    folder.write("good.key", "at least sixteen bytes\n");
    for (part, cases) in [
        ("general", include_str!("bad_input/general.txt")),
        ("source_and_zones", include_str!("bad_input/source_and_zones.txt")),
        ("classes", include_str!("bad_input/classes.txt")),
        ("cluster", include_str!("bad_input/cluster.txt")),
    ] {
        let mut text = String::new();
        for case in cases.lines() {
            folder.write("bad.toml", case.replace("\\n", "\n"));
            let printed = transcript(program().args(["check", "bad.toml"]), &folder.0);
            write!(text, "## {case}\n{printed}\n").expect("writing to a string succeeds");
        }
        // The number of descriptors that a process may open differs between machines.
        let text = mask_between(&text, "is more than the ", " that this process", "ALLOWED");
        insta::assert_snapshot!(format!("bad_{part}"), text);
    }
}

#[test]
fn invalid_flags_and_environment_variables() {
    let folder = Folder::new("layers");
    let flags = ["x", "=1", "a..b=1", "limits=5", "nothing=1", "limits.memory=5", "attempts.most=0"];
    let mut text = String::new();
    for flag in flags.into_iter().chain(["log.level=loud", "front.http.listen=1", "schedulers=two"]) {
        let printed = transcript(program().args(["check", "--set", flag]), &folder.0);
        write!(text, "## --set {flag}\n{printed}\n").expect("writing to a string succeeds");
    }
    for (name, value) in [
        ("COPPERSPREAD_LIMITS__MEMRY", "1 MB"),
        ("COPPERSPREAD_LIMITS__MEMORY", "1 MB"),
        ("COPPERSPREAD_LIMITS__MEMORY", "much"),
        ("COPPERSPREAD_SCHEDULERS", "two"),
        ("COPPERSPREAD_FRONT__HTTP__LISTEN", "here"),
        ("COPPERSPREAD_CONFIG", "absent.toml"),
        ("RUST_LOG", "loud"),
    ] {
        let printed = transcript(program().arg("serve").env(name, value), &folder.0);
        write!(text, "## {name}={value} serve\n{printed}\n").expect("writing to a string succeeds");
    }
    insta::assert_snapshot!("bad_layers", text);
}

#[test]
fn invalid_command_lines() {
    let folder = Folder::new("lines");
    folder.write("platform.json", include_str!("../examples/toy/config.json"));
    folder.write("binary.toml", b"name = '\xff'\n");
    let cases: &[&[&str]] = &[
        &[],
        &["serv"],
        &["serve", "extra"],
        &["serve", "--unknown"],
        &["serve", "--set"],
        &["serve", "--config", "a.toml", "--config", "b.toml"],
        &["serve", "--config", "absent.toml"],
        &["serve", "--toy", "--set", "source.kind=targets"],
        // Without a list of workers there are none that the toy could simulate.
        &[
            "serve",
            "--toy",
            "--set",
            "source.kind=targets",
            "--set",
            "source.address=127.0.0.1:1",
            "--set",
            "front.http.listen=127.0.0.1:0",
        ],
        &["serve", "--records", "absent/records.jsonl"],
        &["check", "absent.toml"],
        &["check", "."],
        &["check", "binary.toml"],
        &["check", "absent.json"],
        &["check", "platform.json", "--set", "name=a"],
        &["config"],
        &["config", "pages"],
        &["completions"],
        &["completions", "cmd"],
        &["toy", "--scheduler", "here"],
    ];
    let text = transcripts_of_arguments(cases, &folder);
    insta::assert_snapshot!("bad_command_lines", text.replace(NAME, MASKED_NAME));
}

#[test]
fn an_address_that_is_in_use_or_not_of_this_machine() {
    let folder = Folder::new("listen");
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let used_address = listener.local_addr().expect("a local address").to_string();
    let mut text = String::new();
    // The second address is reserved for documentation; no machine has it.
    for address in [&*used_address, "192.0.2.1:8081"] {
        let set = format!("front.http.listen={address}");
        let printed = transcript(program().args(["serve", "--set", &set]), &folder.0);
        text += &printed.replace(&used_address, "127.0.0.1:PORT");
    }
    folder.write("good.key", "at least sixteen bytes\n");
    let member =
        ["cluster.bind=192.0.2.1:7946", "cluster.key_file=good.key", "front.http.listen=127.0.0.1:0"];
    text += &transcript(program().arg("serve").args(member.map(|set| format!("--set={set}"))), &folder.0);
    insta::assert_snapshot!("bad_listen", text);
}

#[test]
fn event_logs_that_cannot_be_read_or_hold_no_events() {
    let folder = Folder::new("records");
    folder.write("empty.jsonl", "");
    folder.write("broken.jsonl", "no JSON\n{}\n{\"v\":99}\n[]\n\n{\"v\":1,\"run\":\"torn");
    folder.write("binary.jsonl", b"\xff\xfe\n\x00\n");
    std::fs::create_dir(folder.0.join("folder")).expect("the folder is created");
    let mut text = String::new();
    for command in ["cat", "stat", "fleet"] {
        for file in ["absent.jsonl", "folder", "empty.jsonl", "broken.jsonl", "binary.jsonl"] {
            text += &transcripts_of_arguments(&[&["records", command, file]], &folder);
        }
    }
    let lines: &[&[&str]] = &[
        &["records"],
        &["records", "cat"],
        &["records", "fleet"],
        &["records", "fleet", "a", "--window", "0"],
    ];
    text += &transcripts_of_arguments(lines, &folder).replace(NAME, MASKED_NAME);
    insta::assert_snapshot!("bad_records", text);
}

/// Each case replaces a part of a valid configuration by a value. Null counts as an absent field.
#[test]
fn invalid_platform_configurations() {
    let folder = Folder::new("platform");
    let mut valid: Value = serde_json::from_str(include_str!("../examples/toy/config.json")).expect("JSON");
    valid["listen"] = json!("127.0.0.1:0");
    valid["known"]["members"] = json!([{"id": "r0", "host_port": "127.0.0.1:1", "phase": "SERVING"}]);
    let run = |text: &str| {
        folder.write("platform.json", text);
        transcript(program().env("EDGE_CONFIG", "platform.json"), &folder.0)
    };
    let mut text = String::new();
    for case in include_str!("bad_input/platform.txt").lines() {
        let (pointer, value) = case.split_once(" = ").expect("a JSON pointer and a value");
        let (parent, key) = pointer.rsplit_once('/').expect("a JSON pointer");
        let mut invalid = valid.clone();
        let parent = invalid.pointer_mut(parent).expect("a part of the configuration");
        parent[key] = serde_json::from_str(value).expect("JSON");
        write!(text, "## {case}\n{}\n", run(&invalid.to_string())).expect("writing to a string succeeds");
    }
    let nested = "[".repeat(33);
    for whole in ["", "{", "[]", "{} {}", "{\"listen\": \"\\x\"}", &nested] {
        write!(text, "## {whole}\n{}\n", run(whole)).expect("writing to a string succeeds");
    }
    for path in ["absent.json", "."] {
        let printed = transcript(program().env("EDGE_CONFIG", path), &folder.0);
        write!(text, "## EDGE_CONFIG={path}\n{printed}\n").expect("writing to a string succeeds");
    }
    insta::assert_snapshot!("bad_platform", text);
}
