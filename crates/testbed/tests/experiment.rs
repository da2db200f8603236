//! Experiments: what a file may say, and that a cut-off run goes on where it stood.
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use copperspread_testbed::experiment::{
    ExperimentProgress, Plan, ProgressObserver, VariantPair, mode_agreement,
};

fn named(name: &str) -> Option<String> {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/scenarios");
    std::fs::read_to_string(format!("{folder}/{name}.toml")).ok()
}

const GOOD: &str = "name = 'e'\nabout = 'an experiment'\nscenarios = ['calm', 'burst']\nseeds = [3, 4]\n\
    set = { seconds = 20.0 }\nvariants = [\n{ name = 'module' },\n\
    { name = 'no copies', set = { settings = { second_copies = false } } },\n\
    { name = 'two', policy = 'two_choices' },\n]\n";

fn file(folder: &Path, text: &str) -> PathBuf {
    let path = folder.join("e.toml");
    std::fs::write(&path, text).expect("a file");
    path
}

/// Counts what was kept and what was played.
#[derive(Default)]
struct Count {
    kept: AtomicUsize,
    unreadable: AtomicUsize,
    played: AtomicUsize,
}

impl ProgressObserver for Count {
    fn experiment_started(&self, progress: ExperimentProgress) {
        self.kept.store(progress.stored_runs, Ordering::Relaxed);
        self.unreadable.store(progress.unreadable_lines, Ordering::Relaxed);
    }
    fn run_finished(&self) {
        self.played.fetch_add(1, Ordering::Relaxed);
    }
}

impl Count {
    fn all(&self) -> [usize; 3] {
        [&self.kept, &self.unreadable, &self.played].map(|count| count.load(Ordering::Relaxed))
    }
}

#[test]
fn a_cut_off_line_costs_one_run_and_a_change_costs_what_it_concerns() {
    let folder = tempfile::tempdir().expect("a folder");
    let runs = folder.path().join("runs.jsonl");
    let play = |text: &str| {
        let count = Count::default();
        let plan = Plan::read_file(&file(folder.path(), text), named).expect("an experiment");
        let played = plan.play(&runs, &count).expect("it plays");
        let rows: Vec<_> = played.iter().map(|result| &result.variants).collect();
        (*blake3::hash(&serde_json::to_vec(&rows).expect("JSON")).as_bytes(), count.all())
    };
    let (whole, count) = play(GOOD);
    assert_eq!(count, [0, 0, 24]);
    // Nothing is played twice, and what is read says the same as what was played.
    assert_eq!(play(GOOD), (whole, [24, 0, 0]));
    // Cut off in the middle of the last line.
    let text = std::fs::read_to_string(&runs).expect("runs");
    std::fs::write(&runs, &text[..text.len() - 40]).expect("runs");
    assert_eq!(play(GOOD), (whole, [23, 1, 1]));
    // The cut-off line stays for its reader, and harms nobody.
    assert_eq!(play(GOOD), (whole, [24, 1, 0]));
    // Another variant's change concerns its own runs: 2 scenarios of 4 seeds.
    let (other, count) = play(&GOOD.replace("second_copies = false", "max_attempts = 1"));
    assert_eq!(count, [16, 1, 8]);
    assert_ne!(other, whole);
    assert_eq!(play(&GOOD.replace("seeds = [3, 4]", "seeds = [4, 4]")).1, [18, 1, 6]);
}

// Killed in the middle, as by a machine that goes down.
#[test]
fn a_killed_run_goes_on_where_it_stood() {
    let folder = tempfile::tempdir().expect("a folder");
    let text = GOOD.replace("seeds = [3, 4]", "seeds = [1, 60]").replace("seconds = 20.0", "seconds = 3.0");
    let path = file(folder.path(), &text);
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
    let kept = lines();
    assert!((20..360).contains(&kept), "{kept} runs before the kill");
    let first = start().output().expect("it runs");
    assert!(first.status.success());
    // What was kept was not played again: every run has one line, but for one that was cut off.
    assert!((360..=361).contains(&lines()), "{} lines", lines());
    // The same bytes as from a run that nobody cut off.
    std::fs::remove_file(&runs).expect("runs");
    let whole = start().output().expect("it runs");
    assert!(whole.stdout == first.stdout && !whole.stdout.is_empty());
}

#[test]
fn what_is_wrong_is_told_by_file_and_key() {
    let folder = tempfile::tempdir().expect("a folder");
    for (from, to, said) in [
        ("'calm'", "'quiet'", "quiet: No such file"),
        ("seeds = [3, 4]", "seeds = [3, 0]", "at least one of each"),
        ("'two'", "'module'", "variants[2].name: \"module\" comes twice"),
        ("policy = 'two_choices'", "policy = 'three'", "unknown variant `three`"),
        ("policy = 'two_choices'", "program = 'x'", "variants[2].program: only in real time"),
        ("second_copies = false", "second_copy = false", "as variant \"no copies\" has it"),
        ("seconds = 20.0", "seconds = -1.0", "seconds: -1 is not over 0"),
        ("about", "abuot", "unknown field `abuot`"),
    ] {
        assert!(GOOD.contains(from), "{from}");
        let path = file(folder.path(), &GOOD.replacen(from, to, 1));
        let error = Plan::read_file(&path, named).err().map(|error| error.to_string()).unwrap_or_default();
        assert!(error.contains("e.toml") && error.contains(said), "{to}: {error}");
    }
    // Two that write one file would each lose what the other one plays.
    let plan = Plan::read_file(&file(folder.path(), GOOD), named).expect("an experiment");
    let runs = folder.path().join("runs.jsonl");
    let other = std::fs::File::create(&runs).expect("runs");
    other.lock().expect("a lock");
    let error = plan.play(&runs, &()).expect_err("locked").to_string();
    assert!(error.contains("another process writes it"), "{error}");
}

#[test]
fn the_experiments_that_come_along_are_good_and_drives_are_paired() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("experiments");
    for (name, pairs) in [("sockets", 5), ("second-copies", 0)] {
        let text = std::fs::read_to_string(folder.join(format!("{name}.toml"))).expect("a file");
        // The scheduler's own program is not built for this test.
        let text = text.replace("policy = \"copperspread\", drive", "policy = \"answers_twice\", drive");
        let text = text.replace("policy = \"copperspread\"", "policy = \"answers_twice\"");
        let scratch = tempfile::tempdir().expect("a folder");
        let plan = Plan::read_file(&file(scratch.path(), &text), named).expect(name);
        assert_eq!(plan.mode_pairs().len(), pairs, "{name}");
    }
}

#[test]
fn an_agreement_names_the_largest_difference_and_who_changed_places() {
    let scratch = tempfile::tempdir().expect("a folder");
    let text = "name = 'e'\nabout = 'an experiment'\nscenarios = ['slow-tenth']\nseeds = [1, 2]\nvariants = [\n\
        { name = 'a' },\n{ name = 'b', policy = 'random' },\n]\n";
    let plan = Plan::read_file(&file(scratch.path(), text), named).expect("an experiment");
    let played = plan.play(&scratch.path().join("runs"), &()).expect("it plays");
    let shares: Vec<f64> = played[0].variants.iter().map(|row| row.in_time_share).collect();
    assert!(shares[0] > shares[1] + 0.02, "{shares:?}");
    let pair = |simulated, emulated| VariantPair { simulated, emulated };
    let told = mode_agreement(&[pair(0, 0), pair(1, 1)], &played);
    assert!(
        told.contains("largest difference 0.000; of 1 pairs of policies 0 are ranked otherwise"),
        "{told}"
    );
    // As if in real time the two had changed places.
    let told = mode_agreement(&[pair(0, 1), pair(1, 0)], &played);
    let worst = format!("largest difference {:.3}; of 1 pairs of policies 1 ", shares[0] - shares[1]);
    assert!(told.contains(&worst) && told.contains("1 and 2"), "{told}");
}
