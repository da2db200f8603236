//! From the serving path to a file, by a queue and a thread.
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::os::fd::AsFd;
use std::os::unix::fs::{MetadataExt, OpenOptionsExt};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::record::{EventKind, FORMAT, Record};

/// A batch is written once it holds this much, or nothing more waits.
const BATCH: usize = 64 * 1024;
/// What comes within this time after a first record is written with it. Guards against a wake of the
/// thread for each record, which costs more than the record.
const GATHER: Duration = Duration::from_millis(20);
/// A file that cannot be written is tried again, and one that can is looked after, this often.
const LOOK: Duration = Duration::from_secs(1);
/// Longest wait at the end for what is queued: a disk may hang.
const LAST_WORDS: Duration = Duration::from_secs(1);

/// The name that stands for the standard error: for a machine that has no disk but whose output is kept.
pub const STANDARD_ERROR: &str = "-";

/// Where and how records are kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventLogConfig {
    /// The file that records are added to; [`STANDARD_ERROR`] is no file but the standard error.
    pub path: PathBuf,
    /// Its size in bytes from which on it is put aside.
    pub max_file_bytes: u64,
    /// How many files put aside are kept.
    pub max_rotated_files: u32,
    /// How many records may wait.
    pub queue_capacity: usize,
}

/// What became of the records so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RecordCounts {
    /// Written to the file.
    pub written: u64,
    /// Dropped, since the queue was full.
    pub dropped: u64,
    /// Lost, since the file could not be written.
    pub failed: u64,
}

#[derive(Default)]
struct Shared {
    written: AtomicU64,
    dropped: AtomicU64,
    lost: AtomicU64,
}

struct Inner {
    run: String,
    began: Instant,
    /// The next number, and the queue; in one lock, so that numbers are queued in order.
    queue: Mutex<(u64, Option<SyncSender<Record>>)>,
    shared: Arc<Shared>,
}

/// The serving path's end: takes records and never waits.
#[derive(Clone, Default)]
pub struct Recorder(Option<Arc<Inner>>);

impl Recorder {
    /// One that keeps nothing.
    pub fn disabled() -> Recorder {
        Recorder(None)
    }

    /// Whether records are kept: if not, they need not be made.
    pub fn is_enabled(&self) -> bool {
        self.0.is_some()
    }

    /// Takes a record, or drops it if too many wait.
    pub fn record(&self, what: EventKind) {
        let Some(inner) = &self.0 else { return };
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let mut queue = inner.queue.lock().unwrap_or_else(PoisonError::into_inner);
        if queue.1.is_none() {
            return;
        }
        let record = Record {
            format_version: FORMAT,
            run_id: inner.run.clone(),
            sequence: queue.0,
            unix_us: unix.as_micros() as u64,
            mono_us: inner.began.elapsed().as_micros() as u64,
            event: what,
        };
        queue.0 += 1;
        if queue.1.as_ref().is_some_and(|sender| sender.try_send(record).is_err()) {
            inner.shared.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Takes no more records from anyone; what waits is still written.
    pub fn close(&self) {
        if let Some(inner) = &self.0 {
            inner.queue.lock().unwrap_or_else(PoisonError::into_inner).1 = None;
        }
    }

    /// What became of the records so far.
    pub fn counts(&self) -> RecordCounts {
        let Some(inner) = &self.0 else { return RecordCounts::default() };
        let of = |count: &AtomicU64| count.load(Ordering::Relaxed);
        let shared = &inner.shared;
        RecordCounts { written: of(&shared.written), dropped: of(&shared.dropped), failed: of(&shared.lost) }
    }
}

/// The thread that writes. It ends once the recorder is closed, or dropped with all its copies.
pub struct Writer {
    done: Receiver<()>,
}

impl Writer {
    /// Waits a second at most until all that was queued is written; whether it was. To be called once
    /// the recorder is closed.
    pub fn finish(self) -> bool {
        // The thread drops its end when it is done.
        matches!(self.done.recv_timeout(LAST_WORDS), Err(std::sync::mpsc::RecvTimeoutError::Disconnected))
    }
}

/// Begins to keep records.
///
/// # Errors
/// A file that cannot be opened for writing, or that another process writes.
pub fn start_writer(spec: EventLogConfig) -> io::Result<(Recorder, Writer)> {
    let file = Output::open(&spec.path)?;
    let (sender, receiver) = sync_channel(spec.queue_capacity.max(1));
    let shared = Arc::new(Shared::default());
    let inner = Inner {
        run: format!("{:016x}", fastrand::u64(..)),
        began: Instant::now(),
        queue: Mutex::new((0, Some(sender))),
        shared: Arc::clone(&shared),
    };
    let (ends, done) = sync_channel::<()>(0);
    let keeper = Keeper { spec, output: Some(file), looked: Instant::now(), failures: 0, next: 0, shared };
    thread::Builder::new().name("records".into()).spawn(move || {
        keeper.keep(&receiver);
        drop(ends);
    })?;
    Ok((Recorder(Some(Arc::new(inner))), Writer { done }))
}

/// The file that is open, and how far it is written in whole lines.
struct Output {
    file: File,
    length: u64,
    /// No file of its own: it is neither locked, put aside nor cut.
    stream: bool,
}

impl Output {
    /// Opens a file to add to it, alone. Guards against a last line that a crash has torn: it is ended,
    /// so that it does not spoil the next one.
    fn open(path: &Path) -> io::Result<Output> {
        if path == Path::new(STANDARD_ERROR) {
            let file = File::from(io::stderr().as_fd().try_clone_to_owned()?);
            return Ok(Output { file, length: 0, stream: true });
        }
        let mut file = OpenOptions::new().read(true).append(true).create(true).mode(0o640).open(path)?;
        file.try_lock().map_err(|error| match error {
            std::fs::TryLockError::WouldBlock => io::Error::other("another process writes it"),
            std::fs::TryLockError::Error(error) => error,
        })?;
        let mut length = file.metadata()?.len();
        if length > 0 {
            let mut last = [0];
            file.seek(SeekFrom::Start(length - 1))?;
            file.read_exact(&mut last)?;
            if last != *b"\n" {
                file.write_all(b"\n")?;
                length += 1;
            }
        }
        Ok(Output { file, length, stream: false })
    }

    /// Adds whole lines, all or none of them.
    fn add(&mut self, lines: &[u8]) -> io::Result<()> {
        match self.file.write_all(lines) {
            Ok(()) => {
                if !self.stream {
                    self.length += lines.len() as u64;
                }
                Ok(())
            }
            Err(error) if self.stream => Err(error),
            Err(error) => {
                // A disk that filled up in the middle of a line: what was written of it goes again.
                let _ = self.file.set_len(self.length);
                Err(error)
            }
        }
    }

    /// Whether the path still leads to this file.
    fn is_at(&self, path: &Path) -> bool {
        let same = |here: std::fs::Metadata, there: std::fs::Metadata| {
            (here.dev(), here.ino()) == (there.dev(), there.ino())
        };
        self.stream
            || self
                .file
                .metadata()
                .ok()
                .zip(path.metadata().ok())
                .is_some_and(|(here, there)| same(here, there))
    }
}

/// Keeps the file: batches, rotation, and what to do when the disk is full or gone.
struct Keeper {
    spec: EventLogConfig,
    output: Option<Output>,
    looked: Instant,
    failures: u64,
    /// The number that is written next if none is missing.
    next: u64,
    shared: Arc<Shared>,
}

impl Keeper {
    fn keep(mut self, queue: &Receiver<Record>) {
        // No batch fills a file by itself.
        let batch = BATCH.min(self.spec.max_file_bytes as usize / 2);
        let mut lines = Vec::with_capacity(batch + 4096);
        while let Ok(first) = queue.recv() {
            thread::sleep(GATHER);
            let (mut count, mut next) = (0, self.next);
            let mut more = Some(first);
            while let Some(record) = more.take() {
                push(&mut lines, &record, next);
                next = record.sequence + 1;
                count += 1;
                if lines.len() < batch {
                    more = queue.try_recv().ok();
                }
            }
            match self.write(&lines) {
                Ok(()) => {
                    self.next = next;
                    self.shared.written.fetch_add(count, Ordering::Relaxed);
                }
                Err(error) => {
                    self.shared.lost.fetch_add(count, Ordering::Relaxed);
                    self.failures += 1;
                    if self.failures.is_power_of_two() {
                        let file = self.spec.path.display();
                        tracing::warn!(%error, failures = self.failures, "no records written to {file}");
                    }
                }
            }
            lines.clear();
        }
    }

    fn write(&mut self, lines: &[u8]) -> io::Result<()> {
        let due = self.looked.elapsed() >= LOOK;
        if due {
            self.looked = Instant::now();
            // Guards against a file that was moved or removed, or a disk that was taken out: what is
            // written to it nobody would find.
            if self.output.as_ref().is_some_and(|output| !output.is_at(&self.spec.path)) {
                self.output = None;
            }
        }
        if self.output.is_none() && due {
            self.output = Some(Output::open(&self.spec.path)?);
        }
        let Some(output) = &mut self.output else { return Err(io::Error::other("the file is not open")) };
        if output.length > 0 && output.length + lines.len() as u64 > self.spec.max_file_bytes {
            self.put_aside()?;
        }
        let Some(output) = &mut self.output else { return Err(io::Error::other("the file is not open")) };
        output.add(lines)
    }

    /// Puts the file aside as `FILE.1`, that one as `FILE.2` and so on, and begins a new one. The last
    /// of them makes room.
    fn put_aside(&mut self) -> io::Result<()> {
        for number in (1..self.spec.max_rotated_files).rev() {
            match std::fs::rename(
                rotated_path(&self.spec.path, number),
                rotated_path(&self.spec.path, number + 1),
            ) {
                Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
                _ => {}
            }
        }
        std::fs::rename(&self.spec.path, rotated_path(&self.spec.path, 1))?;
        self.output = None;
        self.output = Some(Output::open(&self.spec.path)?);
        Ok(())
    }
}

/// The name of a file that was put aside.
pub fn rotated_path(file: &Path, number: u32) -> PathBuf {
    let mut name = file.as_os_str().to_owned();
    name.push(format!(".{number}"));
    name.into()
}

/// Adds a record's line, after one that tells of those missing before it. That one takes the last of
/// their numbers.
fn push(lines: &mut Vec<u8>, record: &Record, next: u64) {
    if record.sequence > next {
        let what = EventKind::Gap { dropped: record.sequence - next };
        line(lines, &Record { sequence: record.sequence - 1, event: what, ..record.clone() });
    }
    line(lines, record);
}

fn line(lines: &mut Vec<u8>, record: &Record) {
    let begin = lines.len();
    match serde_json::to_writer(&mut *lines, record) {
        Ok(()) => lines.push(b'\n'),
        // A figure that JSON has no form for; its number is then missing.
        Err(_) => lines.truncate(begin),
    }
}
