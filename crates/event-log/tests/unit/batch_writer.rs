//! Unit tests of `batch_writer` with fault injection into each file operation.
use std::fs::{self, File, Metadata};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};
use std::sync::Mutex;

use super::*;
use crate::file_system::{OpenFile, SystemFiles};
use crate::log_file::rotated_path;
use crate::stream_summary::StreamSummary;
use crate::writer::start_writer_on;

const EIO: i32 = 5;
const ENOSPC: i32 = 28;

/// The injected faults.
#[derive(Default)]
struct Faults {
    /// Opening a file fails.
    open: bool,
    /// How long opening a file takes.
    open_delay: Duration,
    /// Renaming a file to this path fails.
    rename_to: Option<PathBuf>,
    /// Writing fails after this many further bytes.
    write_after: Option<usize>,
    /// Truncating a file fails.
    truncate: bool,
}

#[derive(Clone, Default)]
struct FaultyFiles(Arc<Mutex<Faults>>);

impl FaultyFiles {
    fn set(&self, faults: Faults) {
        *self.0.lock().expect("no thread panicked with the lock held") = faults;
    }

    fn clear(&self) {
        self.set(Faults::default());
    }
}

fn fail_if(fails: bool, error_number: i32) -> io::Result<()> {
    if fails { Err(io::Error::from_raw_os_error(error_number)) } else { Ok(()) }
}

impl FileSystem for FaultyFiles {
    fn open(&self, path: &Path) -> Result<Box<dyn OpenFile>, EventLogError> {
        let open_delay = self.0.lock().expect("no thread panicked with the lock held").open_delay;
        thread::sleep(open_delay);
        fail_if(self.0.lock().expect("no thread panicked with the lock held").open, ENOSPC)?;
        drop(SystemFiles.open(path)?);
        let file = File::options().read(true).append(true).open(path)?;
        Ok(Box::new(FaultyFile { file, faults: self.clone() }))
    }

    fn open_standard_error(&self) -> io::Result<Box<dyn OpenFile>> {
        SystemFiles.open_standard_error()
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        fail_if(
            self.0.lock().expect("no thread panicked with the lock held").rename_to.as_deref() == Some(to),
            EIO,
        )?;
        SystemFiles.rename(from, to)
    }
}

struct FaultyFile {
    file: File,
    faults: FaultyFiles,
}

impl Read for FaultyFile {
    fn read(&mut self, bytes: &mut [u8]) -> io::Result<usize> {
        self.file.read(bytes)
    }
}

impl Seek for FaultyFile {
    fn seek(&mut self, position: SeekFrom) -> io::Result<u64> {
        self.file.seek(position)
    }
}

impl Write for FaultyFile {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut faults = self.faults.0.lock().expect("no thread panicked with the lock held");
        let Some(bytes_left) = &mut faults.write_after else { return self.file.write(bytes) };
        fail_if(*bytes_left == 0, ENOSPC)?;
        let written = self.file.write(&bytes[..bytes.len().min(*bytes_left)])?;
        *bytes_left -= written;
        Ok(written)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.file.flush()
    }
}

impl OpenFile for FaultyFile {
    fn metadata(&self) -> io::Result<Metadata> {
        self.file.metadata()
    }

    fn set_len(&mut self, length: u64) -> io::Result<()> {
        fail_if(self.faults.0.lock().expect("no thread panicked with the lock held").truncate, EIO)?;
        self.file.set_len(length)
    }
}

/// A writer with fault injection, in its own directory, which is removed when the value is dropped.
struct Fixture {
    directory: PathBuf,
    files: FaultyFiles,
    writer: BatchWriter,
}

impl Fixture {
    fn new(name: &str, max_file_bytes: u64, max_rotated_files: u32) -> Fixture {
        let directory =
            std::env::temp_dir().join(format!("copperspread-batch-{}-{name}", std::process::id()));
        let _ = fs::remove_dir_all(&directory);
        fs::create_dir_all(&directory).expect("the directory can be created");
        let path = directory.join("r.jsonl");
        let config = EventLogConfig { path, max_file_bytes, max_rotated_files, queue_capacity: 64 };
        let files = FaultyFiles::default();
        let file = LogFile::open(&files, &config.path).expect("the log file can be opened");
        let writer = BatchWriter::new(config, Box::new(files.clone()), Some(file), Arc::default());
        Fixture { directory, files, writer }
    }

    fn path(&self) -> &Path {
        &self.writer.config.path
    }

    /// The lines of all files, from the oldest file to the newest.
    fn lines(&self) -> Vec<String> {
        let rotated = (1..=self.writer.config.max_rotated_files).rev();
        let files = rotated.map(|number| rotated_path(self.path(), number)).chain([self.path().to_owned()]);
        let text: String = files.map(|file| fs::read_to_string(file).unwrap_or_default()).collect();
        text.lines().map(str::to_owned).collect()
    }
}

impl Drop for Fixture {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.directory);
    }
}

#[test]
fn lines_are_not_joined_if_a_failed_write_cannot_be_truncated() {
    let batch = b"first\nsecond\n";
    for cut in 0..=batch.len() - 1 {
        let mut fixture = Fixture::new("joins", 1 << 20, 1);
        fixture.writer.write(b"before\n").expect("the write succeeds");
        fixture.files.set(Faults { write_after: Some(cut), truncate: true, ..Faults::default() });
        assert!(fixture.writer.write(batch).is_err());
        // The disk is still full, so that nothing more is written.
        assert!(fixture.writer.write(b"lost\n").is_err());
        fixture.files.clear();
        fixture.writer.write(b"after\n").expect("the write succeeds");
        let mut expected = vec!["before"];
        expected.extend(std::str::from_utf8(&batch[..cut]).expect("UTF-8").lines());
        expected.push("after");
        assert_eq!(fixture.lines(), expected, "cut after {cut}");
        let length = fs::metadata(fixture.path()).expect("the log file exists").len();
        assert!(
            !fixture.writer.open_file().expect("the log file is open").would_exceed(length, 0),
            "cut after {cut}"
        );
        assert!(
            fixture.writer.open_file().expect("the log file is open").would_exceed(length, 1),
            "cut after {cut}"
        );
    }
}

#[test]
fn a_failed_write_is_truncated() {
    let mut fixture = Fixture::new("removed", 1 << 20, 1);
    fixture.files.set(Faults { write_after: Some(8), ..Faults::default() });
    assert!(fixture.writer.write(b"first\nsecond\n").is_err());
    fixture.files.clear();
    fixture.writer.write(b"after\n").expect("the write succeeds");
    assert_eq!(fixture.lines(), ["after"]);
}

// All three rotated files exist, and one of the renames of a rotation fails several times in a row.
#[test]
fn a_rotation_that_fails_half_way_loses_no_file_and_no_line() {
    for failing in 1..=3 {
        let mut fixture = Fixture::new(&format!("rotation-{failing}"), 12, 3);
        for number in 0..4 {
            fixture.writer.write(format!("line {number}...\n").as_bytes()).expect("the write succeeds");
        }
        assert_eq!(fixture.lines(), ["line 0...", "line 1...", "line 2...", "line 3..."]);
        let rename_to = Some(rotated_path(fixture.path(), failing));
        fixture.files.set(Faults { rename_to, ..Faults::default() });
        for _ in 0..5 {
            fixture.writer.write(b"x\n").expect("the write succeeds without a rotation");
        }
        // A rotation that has begun may have replaced the oldest file, and no other.
        let kept = fixture.lines();
        let first = usize::from(!kept[0].contains('0'));
        let mut expected: Vec<_> = (first..4).map(|number| format!("line {number}...")).collect();
        expected.resize(expected.len() + 5, "x".to_owned());
        assert_eq!(kept, expected, "failing: .{failing}");
        fixture.files.clear();
        fixture.writer.write(b"after...\n").expect("the write succeeds");
        assert_eq!(
            fs::read(fixture.path()).expect("the log file can be read"),
            b"after...\n",
            "failing: .{failing}"
        );
        let kept = fixture.lines();
        assert!(
            kept[0].contains('0') || kept[0].contains('1'),
            "more than one further file was replaced: {kept:?}"
        );
    }
}

#[test]
fn a_file_that_is_never_rotated_grows_up_to_a_bound() {
    let mut fixture = Fixture::new("bound", 100, 1);
    fixture.files.set(Faults { rename_to: Some(rotated_path(fixture.path(), 1)), ..Faults::default() });
    let written = (0..100).filter(|_| fixture.writer.write(b"0123456789\n").is_ok()).count();
    assert_eq!(written, 18, "the file must grow to twice its size limit");
    fixture.files.clear();
    fixture.writer.write(b"after\n").expect("the write succeeds");
    assert_eq!(fs::read(fixture.path()).expect("the log file can be read"), b"after\n");
}

#[test]
fn a_new_file_that_cannot_be_opened_after_a_rotation_is_opened_at_the_next_check() {
    let mut fixture = Fixture::new("new-file", 12, 2);
    fixture.writer.write(b"line 0...\n").expect("the write succeeds");
    fixture.files.set(Faults { open: true, ..Faults::default() });
    assert!(fixture.writer.write(b"lost 1...\n").is_err());
    fixture.files.clear();
    assert!(fixture.writer.write(b"lost 2...\n").is_err(), "the next check must not be due yet");
    fixture.writer.last_check -= CHECK_INTERVAL;
    fixture.writer.write(b"line 3...\n").expect("the write succeeds");
    assert_eq!(fixture.lines(), ["line 0...", "line 3..."]);
}

#[test]
fn a_full_disk_at_the_start_delays_the_log_file_but_not_the_scheduler() {
    let fixture = Fixture::new("start", 1 << 20, 1);
    let (files, config) = (fixture.files.clone(), fixture.writer.config.clone());
    files.set(Faults { open: true, ..Faults::default() });
    let (recorder, writer) =
        start_writer_on(Box::new(files.clone()), config.clone()).expect("the writer starts");
    let record_until = |is_reached: &dyn Fn() -> bool| {
        let start = Instant::now();
        while !is_reached() {
            assert!(start.elapsed() < Duration::from_secs(10), "{:?}", recorder.counts());
            recorder.record(EventKind::RunEnded { requests_left: 0, requests: None });
            thread::sleep(BATCH_DELAY);
        }
    };
    record_until(&|| recorder.counts().lost > 0);
    files.clear();
    record_until(&|| recorder.counts().written > 0);
    recorder.close();
    assert!(writer.finish(CHECK_INTERVAL));
    let mut summary = StreamSummary::default();
    for line in crate::reader::Reader::new(&*fs::read(&config.path).expect("the log file can be read")) {
        let (number, line) = line.expect("reading from memory succeeds");
        summary.add(number, &line);
    }
    assert_eq!(summary.runs[0].missing(), recorder.counts().lost);
}

#[test]
fn a_disk_that_hangs_at_the_start_delays_the_scheduler_by_a_bounded_time() {
    let fixture = Fixture::new("start-hangs", 1 << 20, 1);
    let open_delay = Duration::from_millis(2_500);
    fixture.files.set(Faults { open_delay, ..Faults::default() });
    let (files, config) = (fixture.files.clone(), fixture.writer.config.clone());
    let start = Instant::now();
    let (recorder, writer) = start_writer_on(Box::new(files), config).expect("the writer starts");
    assert!(start.elapsed() < open_delay, "{:?}", start.elapsed());
    recorder.record(EventKind::RunEnded { requests_left: 0, requests: None });
    recorder.close();
    assert!(writer.finish(open_delay * 2), "the record must be written once the disk answers");
    assert_eq!((recorder.counts().written, fixture.lines().len()), (1, 1));
}

#[test]
fn a_partial_line_on_a_full_disk_does_not_prevent_the_start_and_is_ended_later() {
    let mut fixture = Fixture::new("partial-start", 1 << 20, 1);
    fs::write(fixture.path(), b"before\n{\"torn").expect("the log file can be written");
    fixture.files.set(Faults { write_after: Some(0), ..Faults::default() });
    fixture.writer.open().expect("the log file can be opened");
    assert!(fixture.writer.write(b"lost\n").is_err());
    fixture.files.clear();
    fixture.writer.write(b"after\n").expect("the write succeeds");
    assert_eq!(fixture.lines(), ["before", "{\"torn", "after"]);
}
