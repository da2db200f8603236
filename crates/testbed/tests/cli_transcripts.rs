//! Approved transcripts of the testbed's program: help, errors of wrong scenarios, experiments and command
//! lines, and a short comparison in virtual time, figure for figure. The wrong input is in `bad_input/`, a
//! case a line, with `\n` for an end of line.
use std::fmt::Write;
use std::process::{Command, Stdio};

use copperspread_testbed::scenario::Scenario;
use tempfile::TempDir;

/// The program's name. Masked in the transcripts.
const NAME: &str = "copperspread-testbed";
const MASKED_NAME: &str = "LAB";
/// The policy that is the scheduler's own module goes by the scheduler's name. Masked too.
const MODULE: &str = "copperspread";
const MASKED_MODULE: &str = "MODULE";
/// The width of a terminal. Help is broken into lines where another crate of the same build asks clap
/// for that (the feature `wrap_help`); at this width no line is broken, so that the form is one.
const COLUMNS: &str = "10000";
/// Names of policies fill a column of this width.
const NAME_WIDTH: usize = 26;

/// A short scenario: two zones, a keyed and an idempotent class, an overload, and a crash in the middle.
const SHORT: &str = "name = 'short'\nabout = 'A crash under a burst.'\nseconds = 6.0\nzones = 2\nschedulers = 2\n\
    [clients]\nrate = 20.0\nretries = 1\nhint_error = 0.2\n\
    [[workers]]\nkind = 'plain'\ncount = 4\ncores = 2.0\nslots = 3.0\nspeed = [0.8, 1.2]\n\
    [[classes]]\nname = 'safe'\nshare = 2.0\nwork = 0.2\naim = 0.5\ndeadline = 3.0\nworth = 1.0\nrepeat = 'safe'\n\
    [[classes]]\nname = 'keyed'\nshare = 1.0\nwork = 0.4\naim = 0.5\ndeadline = 3.0\nworth = 2.0\n\
    repeat = 'keyed'\nwindow = 6.0\n\
    [[faults]]\nat = 2.0\nlasts = 2.0\nwhat = 'crash'\nshare = 0.25\n\
    [[faults]]\nat = 3.0\nlasts = 2.0\nwhat = { burst = 2.0 }\n";

/// Runs the program in a folder; returns its exit code and all that it printed.
fn transcript(arguments: &[&str], folder: &TempDir) -> String {
    let mut program = Command::new(env!("CARGO_BIN_EXE_copperspread-testbed"));
    program.env("COLUMNS", COLUMNS).env_remove("EDGE_CONFIG").stdin(Stdio::null());
    let output = program.args(arguments).current_dir(folder.path()).output().expect("it runs");
    let mut text = format!("exit code {}\n", output.status.code().expect("an exit code"));
    for (name, bytes) in [("standard output", output.stdout), ("standard error", output.stderr)] {
        if !bytes.is_empty() {
            let printed = String::from_utf8(bytes).expect("UTF-8");
            write!(text, "-- {name}\n{printed}").expect("a text");
        }
    }
    mask_names(&text) + "--\n"
}

/// Masks the names; in a table, with the width of the column kept.
fn mask_names(text: &str) -> String {
    let row = format!("{MODULE:<NAME_WIDTH$} ");
    let masked_row = format!("{MASKED_MODULE:<NAME_WIDTH$} ");
    text.replace(&row, &masked_row).replace(NAME, MASKED_NAME).replace(MODULE, MASKED_MODULE)
}

fn folder_with(files: &[(&str, &str)]) -> TempDir {
    let folder = TempDir::new().expect("a folder");
    for (name, text) in files {
        std::fs::write(folder.path().join(name), text).expect("a file");
    }
    folder
}

/// A good scenario with one key, dotted, set to a value; numbers are positions in a list.
fn changed(key: &str, value: &str) -> String {
    let mut scenario: toml::Value = toml::from_str(SHORT).expect("TOML");
    let table: toml::Table = format!("value = {value}").parse().expect("TOML");
    let (parents, last) = key.rsplit_once('.').unwrap_or(("", key));
    let mut at = &mut scenario;
    for part in parents.split('.').filter(|part| !part.is_empty()) {
        at = match (part.parse::<usize>(), at) {
            (Ok(number), at) => at.get_mut(number).expect("a position in the list"),
            (Err(_), at) => {
                let table = at.as_table_mut().expect("a table");
                table.entry(part).or_insert_with(|| toml::Table::new().into())
            }
        };
    }
    at.as_table_mut().expect("a table").insert(last.into(), table["value"].clone());
    toml::to_string(&scenario).expect("TOML")
}

#[test]
fn each_wrong_scenario_is_an_error_with_the_approved_text() {
    let mut text = String::new();
    for case in include_str!("bad_input/scenarios.txt").lines() {
        let (key, value) = case.split_once(" = ").expect("a key and a value");
        let why = Scenario::parse(&changed(key, value)).expect_err("a wrong scenario");
        write!(text, "## {case}\n{why}\n\n").expect("a text");
    }
    let slots_twice = SHORT.replacen("share =", "wide = 0.5\nslots = [[2.0, 1.0]]\nshare =", 1);
    for (case, whole) in [("empty", ""), ("no TOML", "nonsense"), ("wide and slots", &slots_twice)] {
        let why = Scenario::parse(whole).expect_err("a wrong scenario");
        write!(text, "## {case}\n{why}\n\n").expect("a text");
    }
    insta::assert_snapshot!("wrong_scenarios", text);
}

#[test]
fn each_wrong_experiment_is_an_error_with_the_approved_text() {
    let folder = folder_with(&[("short.toml", SHORT), ("broken.toml", "nonsense")]);
    let mut text = String::new();
    for case in include_str!("bad_input/experiments.txt").lines() {
        std::fs::write(folder.path().join("e.toml"), case.replace("\\n", "\n")).expect("a file");
        let output = transcript(&["run", "e.toml"], &folder);
        write!(text, "## {case}\n{output}\n").expect("a text");
    }
    insta::assert_snapshot!("wrong_experiments", text);
}

#[test]
fn each_wrong_command_line_is_an_error_with_the_approved_text() {
    let no_zone = changed("zones", "0");
    let folder = folder_with(&[("short.toml", SHORT), ("broken.toml", "nonsense"), ("wrong.toml", &no_zone)]);
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
        write!(text, "## {}\n{}\n", arguments.join(" "), transcript(arguments, &folder)).expect("a text");
    }
    insta::assert_snapshot!("wrong_command_lines", text);
}

#[test]
fn the_help_of_the_program_and_of_each_subcommand_is_as_approved() {
    let folder = folder_with(&[]);
    insta::assert_snapshot!("help_program", transcript(&["--help"], &folder));
    for command in "scenarios show sim emulate trace cost load run compare node relay".split(' ') {
        insta::assert_snapshot!(format!("help_{command}"), transcript(&[command, "--help"], &folder));
    }
    insta::assert_snapshot!("scenarios", transcript(&["scenarios"], &folder));
}

#[test]
fn a_short_comparison_has_the_approved_figures() {
    let folder = folder_with(&[("short.toml", SHORT)]);
    let table = transcript(&["compare", "short.toml", "--seeds", "1"], &folder);
    insta::assert_snapshot!("compare_table", table);
    let whole = transcript(&["sim", "short.toml", "--seed", "7", "--json"], &folder);
    insta::assert_snapshot!("sim_json", whole);
}
