//! Experiments: errors in their files, and that an interrupted one resumes where it stopped.
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use copperspread_testbed::experiment::{
    ExperimentProgress, Plan, ProgressObserver, VariantPair, mode_comparison_table,
};

fn find_shipped(name: &str) -> Option<String> {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/scenarios");
    std::fs::read_to_string(format!("{folder}/{name}.toml")).ok()
}

const EXPERIMENT: &str = "name = 'e'\nabout = 'an experiment'\nscenarios = ['calm', 'burst']\nseeds = [3, 4]\n\
    set = { seconds = 20.0 }\nvariants = [\n{ name = 'module' },\n\
    { name = 'no copies', set = { settings = { second_copies = false } } },\n\
    { name = 'two', policy = 'two_choices' },\n]\n";

fn write_experiment(folder: &Path, text: &str) -> PathBuf {
    let path = folder.join("e.toml");
    std::fs::write(&path, text).expect("a file");
    path
}

/// Counts the runs that were stored before and those that were played.
#[derive(Default)]
struct RunCounter {
    stored: AtomicUsize,
    unreadable_lines: AtomicUsize,
    played: AtomicUsize,
}

impl ProgressObserver for RunCounter {
    fn experiment_started(&self, progress: ExperimentProgress) {
        self.stored.store(progress.stored_runs, Ordering::Relaxed);
        self.unreadable_lines.store(progress.unreadable_lines, Ordering::Relaxed);
    }
    fn run_finished(&self) {
        self.played.fetch_add(1, Ordering::Relaxed);
    }
}

impl RunCounter {
    fn counts(&self) -> [usize; 3] {
        [&self.stored, &self.unreadable_lines, &self.played].map(|count| count.load(Ordering::Relaxed))
    }
}

#[test]
fn a_truncated_line_repeats_one_run_and_a_change_repeats_only_its_own_runs() {
    let folder = tempfile::tempdir().expect("a folder");
    let runs = folder.path().join("runs.jsonl");
    let play = |text: &str| {
        let count = RunCounter::default();
        let plan =
            Plan::read_file(&write_experiment(folder.path(), text), find_shipped).expect("an experiment");
        let played = plan.play(&runs, &count).expect("it plays");
        let rows: Vec<_> = played.iter().map(|result| &result.variants).collect();
        (*blake3::hash(&serde_json::to_vec(&rows).expect("JSON")).as_bytes(), count.counts())
    };
    let (whole, count) = play(EXPERIMENT);
    assert_eq!(count, [0, 0, 24]);
    // Nothing is played twice, and what is read says the same as what was played.
    assert_eq!(play(EXPERIMENT), (whole, [24, 0, 0]));
    // Cut off in the middle of the last line.
    let text = std::fs::read_to_string(&runs).expect("runs");
    std::fs::write(&runs, &text[..text.len() - 40]).expect("runs");
    assert_eq!(play(EXPERIMENT), (whole, [23, 1, 1]));
    // The truncated line stays, and does no harm.
    assert_eq!(play(EXPERIMENT), (whole, [24, 1, 0]));
    // Another variant's change concerns its own runs: 2 scenarios of 4 seeds.
    let (other, count) = play(&EXPERIMENT.replace("second_copies = false", "max_attempts = 1"));
    assert_eq!(count, [16, 1, 8]);
    assert_ne!(other, whole);
    assert_eq!(play(&EXPERIMENT.replace("seeds = [3, 4]", "seeds = [4, 4]")).1, [18, 1, 6]);
}

// Killed in the middle, as if the machine went down.
#[test]
fn a_killed_experiment_resumes_where_it_stopped() {
    let folder = tempfile::tempdir().expect("a folder");
    let text =
        EXPERIMENT.replace("seeds = [3, 4]", "seeds = [1, 60]").replace("seconds = 20.0", "seconds = 3.0");
    let path = write_experiment(folder.path(), &text);
    let runs = folder.path().join("e.runs.jsonl");
    let lines = || std::fs::read_to_string(&runs).unwrap_or_default().matches('\n').count();
    let start = || {
        let mut command = Command::new(env!("CARGO_BIN_EXE_copperspread-testbed"));
        command.args(["run", "--json"]).arg(&path).stderr(Stdio::null());
        command
    };
    let mut child = start().stdout(Stdio::null()).spawn().expect("it starts");
    let patience = Instant::now() + Duration::from_secs(60);
    while lines() < 20 && Instant::now() < patience {
        std::thread::sleep(Duration::from_millis(1));
    }
    child.kill().expect("it runs");
    child.wait().expect("it ends");
    let stored = lines();
    assert!((20..360).contains(&stored), "{stored} runs before the kill");
    let first = start().output().expect("it runs");
    assert!(first.status.success());
    // Stored runs were not played again: every run has one line, but for one that was truncated.
    assert!((360..=361).contains(&lines()), "{} lines", lines());
    // The same bytes as from an uninterrupted run.
    std::fs::remove_file(&runs).expect("runs");
    let uninterrupted = start().output().expect("it runs");
    assert!(uninterrupted.stdout == first.stdout && !uninterrupted.stdout.is_empty());
}

#[test]
fn errors_name_the_file_and_the_key() {
    let folder = tempfile::tempdir().expect("a folder");
    for (from, to, expected) in [
        ("'calm'", "'quiet'", "quiet: No such file"),
        ("seeds = [3, 4]", "seeds = [3, 0]", "at least one of each"),
        ("'two'", "'module'", "variants[2].name: \"module\" comes twice"),
        ("policy = 'two_choices'", "policy = 'three'", "unknown variant `three`"),
        ("policy = 'two_choices'", "program = 'x'", "variants[2].program: only in real time"),
        ("second_copies = false", "second_copy = false", "as variant \"no copies\" has it"),
        ("seconds = 20.0", "seconds = -1.0", "seconds: -1 is not over 0"),
        ("about", "abuot", "unknown field `abuot`"),
    ] {
        assert!(EXPERIMENT.contains(from), "{from}");
        let path = write_experiment(folder.path(), &EXPERIMENT.replacen(from, to, 1));
        let error =
            Plan::read_file(&path, find_shipped).err().map(|error| error.to_string()).unwrap_or_default();
        assert!(error.contains("e.toml") && error.contains(expected), "{to}: {error}");
    }
    // Two processes that write one file would each lose the runs of the other.
    let plan =
        Plan::read_file(&write_experiment(folder.path(), EXPERIMENT), find_shipped).expect("an experiment");
    let runs = folder.path().join("runs.jsonl");
    let other = std::fs::File::create(&runs).expect("runs");
    other.lock().expect("a lock");
    let error = plan.play(&runs, &()).expect_err("locked").to_string();
    assert!(error.contains("another process writes it"), "{error}");
}

#[test]
fn shipped_experiments_are_valid_and_their_modes_are_paired() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("experiments");
    for (name, pairs) in [("sockets", 5), ("second-copies", 0)] {
        let text = std::fs::read_to_string(folder.join(format!("{name}.toml"))).expect("a file");
        // The scheduler's own program is not built for this test.
        let text = text.replace("policy = \"copperspread\", drive", "policy = \"answers_twice\", drive");
        let text = text.replace("policy = \"copperspread\"", "policy = \"answers_twice\"");
        let scratch = tempfile::tempdir().expect("a folder");
        let plan = Plan::read_file(&write_experiment(scratch.path(), &text), find_shipped).expect(name);
        assert_eq!(plan.mode_pairs().len(), pairs, "{name}");
    }
}

#[test]
fn a_mode_comparison_names_the_largest_difference_and_changed_ranks() {
    let scratch = tempfile::tempdir().expect("a folder");
    let text = "name = 'e'\nabout = 'an experiment'\nscenarios = ['slow-tenth']\nseeds = [1, 2]\nvariants = [\n\
        { name = 'a' },\n{ name = 'b', policy = 'random' },\n]\n";
    let plan = Plan::read_file(&write_experiment(scratch.path(), text), find_shipped).expect("an experiment");
    let played = plan.play(&scratch.path().join("runs"), &()).expect("it plays");
    let shares: Vec<f64> = played[0].variants.iter().map(|row| row.in_time_share).collect();
    assert!(shares[0] > shares[1] + 0.02, "{shares:?}");
    let pair = |simulated, emulated| VariantPair { simulated, emulated };
    let table = mode_comparison_table(&[pair(0, 0), pair(1, 1)], &played);
    assert!(
        table.contains("largest difference 0.000; of 1 pairs of policies 0 are ranked otherwise"),
        "{table}"
    );
    // As if the two had changed ranks in real time.
    let table = mode_comparison_table(&[pair(0, 1), pair(1, 0)], &played);
    let worst = format!("largest difference {:.3}; of 1 pairs of policies 1 ", shares[0] - shares[1]);
    assert!(table.contains(&worst) && table.contains("1 and 2"), "{table}");
}
