//! Reads the records of a log file, and classifies lines that are invalid or truncated.
use std::io::{self, BufRead, Read};

use serde::Deserialize;
use serde_json::Value;

use crate::record::{EventKind, FORMAT_VERSION, Record};

/// Length in bytes of the longest line that is held in memory. Longer lines are skipped, because the file may
/// not be an event log.
const MAX_LINE_BYTES: u64 = 1 << 20;
/// Length in bytes of the longest timestamp that is skipped before a record. If the log is written to
/// standard error, a program that collects standard error may put a timestamp before each line.
const MAX_PREFIX_BYTES: usize = 64;

/// A line of the stream, classified by its content.
#[derive(Clone, Debug, PartialEq)]
pub enum Line {
    /// A line with a record that this reader can parse.
    Record(Record),
    /// A record with an event kind that this reader does not know.
    UnknownKind {
        /// The serialized name of the event kind.
        kind: String,
        /// The id of the record's run.
        run_id: String,
        /// The sequence number of the record in its run.
        sequence: u64,
    },
    /// A line that is not a record.
    Invalid {
        /// The reason why the line is not a record.
        reason: InvalidLineReason,
    },
    /// The last line, without a line break: it is still being written, or a crash truncated it.
    Truncated,
}

/// The reason why a line is not a record. The `message` fields hold messages of the JSON parser.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[non_exhaustive]
pub enum InvalidLineReason {
    /// The line is too long to be held in memory.
    #[error("longer than a megabyte")]
    TooLong,
    /// The line is not JSON, or its fields are not those of a record.
    #[error("{message}")]
    Malformed {
        /// The message of the JSON parser, which says what is wrong with the line.
        message: String,
    },
    /// The record has a later format version than [`FORMAT_VERSION`].
    #[error("is of version {version}; this program reads up to {FORMAT_VERSION}")]
    UnsupportedVersion {
        /// The format version that the record states.
        version: u32,
    },
    /// The event's fields are not those that its event kind requires.
    #[error("{kind}: {message}")]
    MalformedEvent {
        /// The serialized name of the event kind.
        kind: String,
        /// The message of the JSON parser, which says which field is wrong.
        message: String,
    },
}

/// A record whose event is not parsed yet. The name of this type must not change, because serde writes it
/// into the messages of [`InvalidLineReason::Malformed`].
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

/// An iterator over the lines of a stream, each with its line number, counted from 1.
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

    /// Reads a line into the buffer, or the next [`MAX_LINE_BYTES`] of a longer line. Returns the number of
    /// bytes read, which is 0 at the end of the input.
    fn read_part(&mut self) -> io::Result<usize> {
        self.line.clear();
        (&mut self.input).take(MAX_LINE_BYTES).read_until(b'\n', &mut self.line)
    }

    /// Skips the rest of the line, or of the input if it has no further line break.
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

/// Returns the line without the timestamp that a collector of standard error may have put before the record.
/// A prefix that contains `{` or `"` is not removed, because such a prefix may be a truncated record, which
/// makes the line invalid.
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
