//! Reads the records of an event log, and classifies lines that are invalid or truncated.
use std::io::{self, BufRead, Read};

use serde::Deserialize;
use serde_json::Value;

use crate::record::{EventKind, FORMAT_VERSION, Record};

/// Length in bytes of the longest line that is held in memory. A longer line is skipped, because the file may
/// not be an event log at all.
const MAX_LINE_BYTES: u64 = 1 << 20;
/// Number of bytes at the start of a line within which a record must begin. The bytes before the record are
/// skipped. They may be a timestamp: if the scheduler writes the event log to standard error, the program
/// that collects standard error may put a timestamp before each line.
const MAX_PREFIX_BYTES: usize = 64;

/// A line of an event log, classified by its content.
#[derive(Clone, Debug, PartialEq)]
pub enum Line {
    /// A line with a record whose event kind this reader knows.
    Record(Record),
    /// A line with a record whose event kind this reader does not know.
    UnknownKind {
        /// The name of the event kind, as written in the record.
        kind: String,
        /// The id of the run that the record belongs to.
        run_id: String,
        /// The sequence number of the record within its run.
        sequence: u64,
    },
    /// A line that is not a record.
    Invalid {
        /// The reason why the line is not a record.
        reason: InvalidLineReason,
    },
    /// The last line, which has no line break. The line is still being written, or a crash truncated it.
    Truncated,
}

/// The reason why a line of the event log is not a record. The `message` fields contain messages of the JSON
/// parser.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[non_exhaustive]
pub enum InvalidLineReason {
    /// The line is too long to be held in memory.
    #[error("longer than a megabyte")]
    TooLong,
    /// The line is not JSON, or a field that every record must have is missing or not valid.
    #[error("{message}")]
    Malformed {
        /// The message of the JSON parser that says what is wrong with the line.
        message: String,
    },
    /// The record has a later format version than [`FORMAT_VERSION`], so this reader cannot parse it.
    #[error("is of version {version}; this program reads up to {FORMAT_VERSION}")]
    UnsupportedVersion {
        /// The format version that the record contains.
        version: u32,
    },
    /// The record's event does not have the fields that its event kind requires.
    #[error("{kind}: {message}")]
    MalformedEvent {
        /// The name of the event kind, as written in the record.
        kind: String,
        /// The message of the JSON parser that says which field of the event is wrong.
        message: String,
    },
}

/// A record whose event is not parsed yet.
///
/// This type must keep its name. serde writes the name into the messages of [`InvalidLineReason::Malformed`].
/// The summary of the event log prints these messages, and other programs may parse the summary.
#[derive(Deserialize)]
struct Head {
    #[serde(rename = "v")]
    format_version: u32,
    #[serde(rename = "run")]
    run_id: String,
    #[serde(rename = "seq")]
    sequence: u64,
    unix_us: u64,
    mono_us: u64,
    #[serde(rename = "what")]
    event: Value,
}

/// An iterator over the lines of an event log. Each line comes with its number, counted from 1.
pub struct Reader<R> {
    input: R,
    line_number: u64,
    line: Vec<u8>,
}

impl<R: BufRead> Reader<R> {
    /// Creates a reader that reads `input` line by line and classifies each line.
    pub fn new(input: R) -> Reader<R> {
        Reader { input, line_number: 0, line: Vec::new() }
    }

    fn next_line(&mut self) -> io::Result<Option<Line>> {
        let length = self.read_part()?;
        if length == 0 {
            return Ok(None);
        }
        self.line_number += 1;
        if self.line.last() == Some(&b'\n') {
            return Ok(Some(parse_line(&self.line)));
        }
        if (length as u64) < MAX_LINE_BYTES {
            return Ok(Some(Line::Truncated));
        }
        self.skip_line()?;
        Ok(Some(Line::Invalid { reason: InvalidLineReason::TooLong }))
    }

    /// Reads one line into the buffer, or the next [`MAX_LINE_BYTES`] of a longer line. Returns the number of
    /// bytes read, which is 0 at the end of the input.
    fn read_part(&mut self) -> io::Result<usize> {
        self.line.clear();
        (&mut self.input).take(MAX_LINE_BYTES).read_until(b'\n', &mut self.line)
    }

    /// Skips the rest of a line that is too long. If no line break follows, the rest of the input is skipped.
    fn skip_line(&mut self) -> io::Result<()> {
        while self.read_part()? > 0 && self.line.last() != Some(&b'\n') {}
        Ok(())
    }
}

impl<R: BufRead> Iterator for Reader<R> {
    type Item = io::Result<(u64, Line)>;

    fn next(&mut self) -> Option<Self::Item> {
        match self.next_line() {
            Ok(None) => None,
            Ok(Some(line)) => Some(Ok((self.line_number, line))),
            Err(error) => Some(Err(error)),
        }
    }
}

/// Returns the line without a timestamp that precedes the record. The program that collects the scheduler's
/// standard error may have put the timestamp there.
///
/// A prefix that contains `{` or `"` is not removed. Such a prefix may be a truncated record, so the line is
/// not valid.
fn without_prefix(line: &[u8]) -> &[u8] {
    match line.iter().take(MAX_PREFIX_BYTES).position(|&byte| byte == b'{' || byte == b'"') {
        Some(start) if line[start..].starts_with(b"{\"v\":") => &line[start..],
        _ => line,
    }
}

fn parse_line(line: &[u8]) -> Line {
    let head: Head = match serde_json::from_slice(without_prefix(line)) {
        Ok(head) => head,
        Err(error) => {
            return Line::Invalid { reason: InvalidLineReason::Malformed { message: error.to_string() } };
        }
    };
    if head.format_version > FORMAT_VERSION {
        let version = head.format_version;
        return Line::Invalid { reason: InvalidLineReason::UnsupportedVersion { version } };
    }
    let kind = head.event["kind"].as_str().unwrap_or_default().to_owned();
    match serde_json::from_value::<EventKind>(head.event) {
        Ok(event) => Line::Record(Record {
            format_version: head.format_version,
            run_id: head.run_id,
            sequence: head.sequence,
            unix_us: head.unix_us,
            mono_us: head.mono_us,
            event,
        }),
        Err(error) if error.to_string().starts_with("unknown variant") => {
            Line::UnknownKind { kind, run_id: head.run_id, sequence: head.sequence }
        }
        Err(error) => {
            let message = error.to_string();
            Line::Invalid { reason: InvalidLineReason::MalformedEvent { kind, message } }
        }
    }
}
