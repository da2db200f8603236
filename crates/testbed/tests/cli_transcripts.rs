//! Snapshot tests of the output of the testbed's program.
//!
//! They cover the help, the errors for invalid scenarios, experiments and command lines, and the exact
//! results of a short simulation. `bad_input/` has the invalid scenarios and experiments, one case a line; in
//! the experiments `\n` stands for a line break.
use std::fmt::Write;
use std::process::{Command, Stdio};

use copperspread_testbed::scenario::Scenario;
use tempfile::TempDir;

/// The name of the program, which is masked in the snapshots.
const PROGRAM: &str = "copperspread-testbed";
const MASKED_PROGRAM: &str = "LAB";
/// The name of the scheduler's dispatch policy, which is the name of the scheduler too. It is masked in the
/// snapshots.
const POLICY: &str = "copperspread";
const MASKED_POLICY: &str = "MODULE";
/// Terminal width for the help, in columns. clap wraps the help if another crate of the same build enables
/// its feature `wrap_help`. At this width no line is wrapped, so that the output is the same with and without
/// the feature.
const TERMINAL_WIDTH: &str = "10000";
/// Width of the column with the names of policies, in characters.
const POLICY_COLUMN_WIDTH: usize = 26;

/// A short scenario with two zones, an idempotent class, a class that is idempotent with a key, a burst and a
/// crash.
const SHORT: &str = "name = 'short'\nabout = 'A crash under a burst.'\nseconds = 6.0\nzones = 2\nschedulers = 2\n\
    [clients]\nrate = 20.0\nretries = 1\nhint_error = 0.2\n\
    [[workers]]\nkind = 'plain'\ncount = 4\ncores = 2.0\nslots = 3.0\nspeed = [0.8, 1.2]\n\
    [[classes]]\nname = 'safe'\nshare = 2.0\nwork = 0.2\naim = 0.5\ndeadline = 3.0\nworth = 1.0\nrepeat = 'safe'\n\
    [[classes]]\nname = 'keyed'\nshare = 1.0\nwork = 0.4\naim = 0.5\ndeadline = 3.0\nworth = 2.0\n\
    repeat = 'keyed'\nwindow = 6.0\n\
    [[faults]]\nat = 2.0\nlasts = 2.0\nwhat = 'crash'\nshare = 0.25\n\
    [[faults]]\nat = 3.0\nlasts = 2.0\nwhat = { burst = 2.0 }\n";

/// Runs the program in a directory, and returns its exit code and output with masked names.
fn transcript(arguments: &[&str], directory: &TempDir) -> String {
    let mut program = Command::new(env!("CARGO_BIN_EXE_copperspread-testbed"));
    program.env("COLUMNS", TERMINAL_WIDTH).env_remove("EDGE_CONFIG").stdin(Stdio::null());
    let output = program.args(arguments).current_dir(directory.path()).output().expect("the program runs");
    let mut text = format!("exit code {}\n", output.status.code().expect("the program exits by itself"));
    for (name, bytes) in [("standard output", output.stdout), ("standard error", output.stderr)] {
        if !bytes.is_empty() {
            let printed = String::from_utf8(bytes).expect("the output is UTF-8");
            write!(text, "-- {name}\n{printed}").expect("writing to a string succeeds");
        }
    }
    mask_names(&text) + "--\n"
}

/// Masks the names of the program and the policy. In a table, the width of the column stays the same.
fn mask_names(text: &str) -> String {
    let row = format!("{POLICY:<POLICY_COLUMN_WIDTH$} ");
    let masked_row = format!("{MASKED_POLICY:<POLICY_COLUMN_WIDTH$} ");
    text.replace(&row, &masked_row).replace(PROGRAM, MASKED_PROGRAM).replace(POLICY, MASKED_POLICY)
}

fn directory_with(files: &[(&str, &str)]) -> TempDir {
    let directory = TempDir::new().expect("a temporary directory is created");
    for (name, text) in files {
        std::fs::write(directory.path().join(name), text).expect("the file is written");
    }
    directory
}

/// The scenario [`SHORT`] with one key set to a value. The key is a dotted path, in which numbers are list
/// indexes.
fn scenario_with(key: &str, value: &str) -> String {
    let mut scenario: toml::Value = toml::from_str(SHORT).expect("the scenario is valid TOML");
    let table: toml::Table = format!("value = {value}").parse().expect("the value is valid TOML");
    let (parents, last) = key.rsplit_once('.').unwrap_or(("", key));
    let mut current = &mut scenario;
    for part in parents.split('.').filter(|part| !part.is_empty()) {
        current = match (part.parse::<usize>(), current) {
            (Ok(index), list) => list.get_mut(index).expect("the index is within the list"),
            (Err(_), parent) => {
                let table = parent.as_table_mut().expect("the value is a table");
                table.entry(part).or_insert_with(|| toml::Table::new().into())
            }
        };
    }
    current.as_table_mut().expect("the value is a table").insert(last.into(), table["value"].clone());
    toml::to_string(&scenario).expect("the scenario serializes to TOML")
}

#[test]
fn invalid_scenarios_give_the_expected_errors() {
    let mut text = String::new();
    for case in include_str!("bad_input/scenarios.txt").lines() {
        let (key, value) = case.split_once(" = ").expect("the case has a key and a value");
        let error = Scenario::parse(&scenario_with(key, value)).expect_err("the scenario is invalid");
        write!(text, "## {case}\n{error}\n\n").expect("writing to a string succeeds");
    }
    let slots_twice = SHORT.replacen("share =", "wide = 0.5\nslots = [[2.0, 1.0]]\nshare =", 1);
    for (case, whole) in [("empty", ""), ("no TOML", "nonsense"), ("wide and slots", &slots_twice)] {
        let error = Scenario::parse(whole).expect_err("the scenario is invalid");
        write!(text, "## {case}\n{error}\n\n").expect("writing to a string succeeds");
    }
    insta::assert_snapshot!("wrong_scenarios", text);
}

#[test]
fn invalid_experiments_give_the_expected_errors() {
    let directory = directory_with(&[("short.toml", SHORT), ("broken.toml", "nonsense")]);
    let mut text = String::new();
    for case in include_str!("bad_input/experiments.txt").lines() {
        std::fs::write(directory.path().join("e.toml"), case.replace("\\n", "\n"))
            .expect("the file is written");
        let output = transcript(&["run", "e.toml"], &directory);
        write!(text, "## {case}\n{output}\n").expect("writing to a string succeeds");
    }
    insta::assert_snapshot!("wrong_experiments", text);
}

#[test]
fn invalid_command_lines_give_the_expected_errors() {
    let no_zone = scenario_with("zones", "0");
    let directory =
        directory_with(&[("short.toml", SHORT), ("broken.toml", "nonsense"), ("wrong.toml", &no_zone)]);
    let cases: &[&[&str]] = &[
        &[],
        &["simulate"],
        &["show", "absent"],
        &["show", "short.toml"],
        &["sim", "absent"],
        &["sim", "."],
        &["sim", "broken.toml"],
        &["sim", "wrong.toml"],
        &["sim", "short.toml", "--policy", "absent"],
        &["compare", "short.toml", "--policies", "random,absent"],
        &["compare", "wrong.toml"],
        &["run"],
        &["run", "absent.toml"],
        &["trace", "short.toml", "absent.jsonl"],
        &["load", "short.toml", "--target", "here"],
        &["load", "short.toml", "--target", "192.0.2.1:80"],
        &["load", "short.toml", "--rate", "0"],
        &["emulate", "short.toml", "--argument", "serve"],
    ];
    let mut text = String::new();
    for arguments in cases {
        write!(text, "## {}\n{}\n", arguments.join(" "), transcript(arguments, &directory))
            .expect("writing to a string succeeds");
    }
    insta::assert_snapshot!("wrong_command_lines", text);
}

#[test]
fn help_of_the_program_and_of_each_subcommand() {
    let directory = directory_with(&[]);
    insta::assert_snapshot!("help_program", transcript(&["--help"], &directory));
    for command in "scenarios show sim emulate trace cost load run compare node relay".split(' ') {
        insta::assert_snapshot!(format!("help_{command}"), transcript(&[command, "--help"], &directory));
    }
    insta::assert_snapshot!("scenarios", transcript(&["scenarios"], &directory));
}

#[test]
fn a_short_simulation_gives_the_expected_results() {
    let directory = directory_with(&[("short.toml", SHORT)]);
    let table = transcript(&["compare", "short.toml", "--seeds", "1"], &directory);
    insta::assert_snapshot!("compare_table", table);
    let whole = transcript(&["sim", "short.toml", "--seed", "7", "--json"], &directory);
    insta::assert_snapshot!("sim_json", whole);
}
