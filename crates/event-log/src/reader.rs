//! Reads a stream of records back, whatever has become of the file.
use std::io::{self, BufRead, Read};

use serde::Deserialize;
use serde_json::Value;

use crate::record::{EventKind, FORMAT, Record};

/// Longest line that is held in memory, as the file may be something else.
const MAX_LINE_BYTES: u64 = 1 << 20;
/// Longest prefix that is skipped before a record.
const MAX_PREFIX_BYTES: usize = 64;

/// What a line of the file turned out to be.
#[derive(Clone, Debug, PartialEq)]
pub enum Line {
    /// A record.
    Record(Record),
    /// A record of an event kind that this reader does not know.
    UnknownKind {
        /// The kind.
        kind: String,
        /// The id of its run.
        run_id: String,
        /// Its sequence number in the run.
        sequence: u64,
    },
    /// Not a record.
    Invalid {
        /// Why not.
        reason: InvalidLineReason,
    },
    /// The last line, without an end: it is being written, or a crash has cut it off.
    Truncated,
}

/// Why a line is not a record. The messages are those of the JSON parser.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[non_exhaustive]
pub enum InvalidLineReason {
    /// The line is too long to be held in memory.
    #[error("longer than a megabyte")]
    TooLong,
    /// The line is not JSON, or its fields are not those of a record.
    #[error("{message}")]
    Malformed {
        /// What is wrong.
        message: String,
    },
    /// The record has a later format than this reader's.
    #[error("is of version {version}; this program reads up to {FORMAT}")]
    UnsupportedVersion {
        /// The version of the format.
        version: u32,
    },
    /// The fields of the event are not those of its kind.
    #[error("{kind}: {message}")]
    MalformedEvent {
        /// The kind.
        kind: String,
        /// What is wrong.
        message: String,
    },
}

/// A record whose event is not parsed yet. The name of this type occurs in the texts of
/// [`InvalidLineReason::Malformed`], where serde takes it in: it must stay.
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

/// The lines of a stream, with their numbers from 1.
pub struct Reader<R> {
    input: R,
    line_number: u64,
    line: Vec<u8>,
}

impl<R: BufRead> Reader<R> {
    /// Reads from an input.
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

    /// Reads up to the end of the line or the longest length; returns the length.
    fn read_part(&mut self) -> io::Result<usize> {
        self.line.clear();
        (&mut self.input).take(MAX_LINE_BYTES).read_until(b'\n', &mut self.line)
    }

    /// Reads up to the end of the line or the input.
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

/// A line without the timestamp that a collector of the standard error put before it. An incomplete record with
/// another one behind it is no timestamp.
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
    if head.format_version > FORMAT {
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
