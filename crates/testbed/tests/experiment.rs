//! Tests of experiments: invalid files, resumption after an interruption, and the comparison of execution
//! modes.
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use copperspread_testbed::experiment::{
    ExperimentProgress, Plan, ProgressObserver, VariantPair, mode_comparison_table,
};

fn find_shipped(name: &str) -> Option<String> {
    let directory = concat!(env!("CARGO_MANIFEST_DIR"), "/scenarios");
    std::fs::read_to_string(format!("{directory}/{name}.toml")).ok()
}

const EXPERIMENT: &str = "name = 'e'\nabout = 'an experiment'\nscenarios = ['calm', 'burst']\nseeds = [3, 4]\n\
    set = { seconds = 20.0 }\nvariants = [\n{ name = 'module' },\n\
    { name = 'no copies', set = { settings = { second_copies = false } } },\n\
    { name = 'two', policy = 'two_choices' },\n]\n";

fn write_experiment(directory: &Path, text: &str) -> PathBuf {
    let path = directory.join("e.toml");
    std::fs::write(&path, text).expect("the experiment file is written");
    path
}

/// Counts the runs that were already stored and those that were executed.
#[derive(Default)]
struct RunCounter {
    stored: AtomicUsize,
    unreadable_lines: AtomicUsize,
    executed: AtomicUsize,
}

impl ProgressObserver for RunCounter {
    fn experiment_started(&self, progress: ExperimentProgress) {
        self.stored.store(progress.stored_runs, Ordering::Relaxed);
        self.unreadable_lines.store(progress.unreadable_lines, Ordering::Relaxed);
    }
    fn run_finished(&self) {
        self.executed.fetch_add(1, Ordering::Relaxed);
    }
}

impl RunCounter {
    fn counts(&self) -> [usize; 3] {
        [&self.stored, &self.unreadable_lines, &self.executed].map(|count| count.load(Ordering::Relaxed))
    }
}

#[test]
fn a_truncated_line_repeats_one_run_and_a_changed_variant_repeats_only_its_own_runs() {
    let directory = tempfile::tempdir().expect("a temporary directory is created");
    let runs = directory.path().join("runs.jsonl");
    let execute = |text: &str| {
        let count = RunCounter::default();
        let plan = Plan::read_file(&write_experiment(directory.path(), text), find_shipped)
            .expect("the experiment is valid");
        let executed = plan.execute(&runs, &count).expect("the experiment succeeds");
        let rows: Vec<_> = executed.iter().map(|result| &result.variants).collect();
        (
            *blake3::hash(&serde_json::to_vec(&rows).expect("the results serialize to JSON")).as_bytes(),
            count.counts(),
        )
    };
    let (whole, count) = execute(EXPERIMENT);
    assert_eq!(count, [0, 0, 24]);
    // No run is executed again, and the stored runs give the same results.
    assert_eq!(execute(EXPERIMENT), (whole, [24, 0, 0]));
    // Truncates the last line in its middle.
    let text = std::fs::read_to_string(&runs).expect("the stored runs are read");
    std::fs::write(&runs, &text[..text.len() - 40]).expect("the stored runs are truncated");
    assert_eq!(execute(EXPERIMENT), (whole, [23, 1, 1]));
    // The truncated line stays in the file, and is counted as unreadable.
    assert_eq!(execute(EXPERIMENT), (whole, [24, 1, 0]));
    // A change to one variant repeats only the runs of this variant: 2 scenarios with 4 seeds each.
    let (other, count) = execute(&EXPERIMENT.replace("second_copies = false", "max_attempts = 1"));
    assert_eq!(count, [16, 1, 8]);
    assert_ne!(other, whole);
    assert_eq!(execute(&EXPERIMENT.replace("seeds = [3, 4]", "seeds = [4, 4]")).1, [18, 1, 6]);
}

/// The program is killed while it executes runs, as if the machine had crashed.
#[test]
fn a_killed_experiment_resumes_where_it_stopped() {
    let directory = tempfile::tempdir().expect("a temporary directory is created");
    let text =
        EXPERIMENT.replace("seeds = [3, 4]", "seeds = [1, 60]").replace("seconds = 20.0", "seconds = 10.0");
    // With two runs at once the kill comes before the last run even if this test is delayed by others.
    let text = format!("at_once = 2\n{text}");
    let path = write_experiment(directory.path(), &text);
    let runs = directory.path().join("e.runs.jsonl");
    let lines = || std::fs::read_to_string(&runs).unwrap_or_default().matches('\n').count();
    let start = || {
        let mut command = Command::new(env!("CARGO_BIN_EXE_copperspread-testbed"));
        command.args(["run", "--json"]).arg(&path).stderr(Stdio::null());
        command
    };
    let mut child = start().stdout(Stdio::null()).spawn().expect("the program starts");
    let timeout = Instant::now() + Duration::from_secs(60);
    while lines() < 20 && Instant::now() < timeout {
        std::thread::sleep(Duration::from_millis(1));
    }
    child.kill().expect("the program is killed");
    child.wait().expect("the program ends");
    let stored = lines();
    assert!((20..360).contains(&stored), "{stored} runs before the kill");
    let first = start().output().expect("the program runs");
    assert!(first.status.success());
    // Stored runs were not executed again: each run has one line, and the kill may have truncated one more.
    assert!((360..=361).contains(&lines()), "{} lines", lines());
    // The output is the same as that of an uninterrupted execution.
    std::fs::remove_file(&runs).expect("the stored runs are removed");
    let uninterrupted = start().output().expect("the program runs");
    assert!(uninterrupted.stdout == first.stdout && !uninterrupted.stdout.is_empty());
}

#[test]
fn errors_name_the_file_and_the_key() {
    let directory = tempfile::tempdir().expect("a temporary directory is created");
    for (from, to, expected) in [
        ("'calm'", "'quiet'", "quiet: No such file"),
        ("seeds = [3, 4]", "seeds = [3, 0]", "at least one of each"),
        ("'two'", "'module'", "variants[2].name: \"module\" is used twice"),
        ("policy = 'two_choices'", "policy = 'three'", "unknown variant `three`"),
        (
            "policy = 'two_choices'",
            "program = 'x'",
            "variants[2].program: a program can only run in real time",
        ),
        ("second_copies = false", "second_copy = false", "as changed by variant \"no copies\":"),
        ("seconds = 20.0", "seconds = -1.0", "seconds: -1 is not above 0"),
        ("about", "abuot", "unknown field `abuot`"),
    ] {
        assert!(EXPERIMENT.contains(from), "{from}");
        let path = write_experiment(directory.path(), &EXPERIMENT.replacen(from, to, 1));
        let error =
            Plan::read_file(&path, find_shipped).err().map(|error| error.to_string()).unwrap_or_default();
        assert!(error.contains("e.toml") && error.contains(expected), "{to}: {error}");
    }
    // Two processes that write the same file would each execute the runs of the other again.
    let plan = Plan::read_file(&write_experiment(directory.path(), EXPERIMENT), find_shipped)
        .expect("the experiment is valid");
    let runs = directory.path().join("runs.jsonl");
    let other = std::fs::File::create(&runs).expect("the file of stored runs is created");
    other.lock().expect("the file is locked");
    let error = plan.execute(&runs, &()).expect_err("the file is locked by another handle").to_string();
    assert!(error.contains("another process is writing this file"), "{error}");
}

#[test]
fn shipped_experiments_are_valid_and_their_modes_are_paired() {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("experiments");
    for (name, pairs) in [("sockets", 5), ("second-copies", 0)] {
        let text = std::fs::read_to_string(directory.join(format!("{name}.toml")))
            .expect("the shipped experiment is read");
        // The scheduler program is not built for this test, so another policy replaces it.
        let text = text.replace("policy = \"copperspread\", drive", "policy = \"answers_twice\", drive");
        let text = text.replace("policy = \"copperspread\"", "policy = \"answers_twice\"");
        let experiment_directory = tempfile::tempdir().expect("a temporary directory is created");
        let plan =
            Plan::read_file(&write_experiment(experiment_directory.path(), &text), find_shipped).expect(name);
        assert_eq!(plan.mode_pairs().len(), pairs, "{name}");
    }
}

#[test]
fn a_mode_comparison_names_the_largest_difference_and_changed_ranks() {
    let directory = tempfile::tempdir().expect("a temporary directory is created");
    let text = "name = 'e'\nabout = 'an experiment'\nscenarios = ['slow-tenth']\nseeds = [1, 2]\nvariants = [\n\
        { name = 'a' },\n{ name = 'b', policy = 'random' },\n]\n";
    let plan = Plan::read_file(&write_experiment(directory.path(), text), find_shipped)
        .expect("the experiment is valid");
    let executed = plan.execute(&directory.path().join("runs"), &()).expect("the experiment succeeds");
    let shares: Vec<f64> = executed[0].variants.iter().map(|row| row.in_time_share).collect();
    assert!(shares[0] > shares[1] + 0.02, "{shares:?}");
    let pair = |simulated, emulated| VariantPair { simulated, emulated };
    let table = mode_comparison_table(&[pair(0, 0), pair(1, 1)], &executed);
    assert!(
        table.contains("largest difference 0.000; of 1 pairs of policies 0 are ranked differently"),
        "{table}"
    );
    // Swapped indexes stand for policies that rank differently in real time.
    let table = mode_comparison_table(&[pair(0, 1), pair(1, 0)], &executed);
    let worst = format!("largest difference {:.3}; of 1 pairs of policies 1 ", shares[0] - shares[1]);
    assert!(table.contains(&worst) && table.contains("1 and 2"), "{table}");
}
