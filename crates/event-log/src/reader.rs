//! Reads a stream of records back, whatever has become of the file.
use std::io::{self, BufRead, Read};

use serde::Deserialize;
use serde_json::Value;

use crate::record::{EventKind, FORMAT, Record};

/// Longest line that is held in memory. Guards against a file of something else.
const LONGEST: u64 = 1 << 20;

/// What a line of the file turned out to be.
#[derive(Clone, Debug, PartialEq)]
pub enum Line {
    /// A record.
    Record(Record),
    /// A record of a kind that this reader does not know.
    UnknownKind {
        /// The kind.
        kind: String,
        /// Its run and number.
        run_id: String,
        /// Its number there.
        sequence: u64,
    },
    /// No record.
    Invalid {
        /// Why not.
        reason: String,
    },
    /// The last line, without an end: it is being written, or a crash has torn it.
    Truncated,
}

#[derive(Deserialize)]
struct Head {
    v: u32,
    run: String,
    seq: u64,
    unix_us: u64,
    mono_us: u64,
    what: Value,
}

/// The lines of a stream, with their numbers from 1.
pub struct Reader<R> {
    input: R,
    number: u64,
    text: Vec<u8>,
}

impl<R: BufRead> Reader<R> {
    /// Reads from an input.
    pub fn new(input: R) -> Reader<R> {
        Reader { input, number: 0, text: Vec::new() }
    }

    fn next_line(&mut self) -> io::Result<Option<Line>> {
        self.text.clear();
        let read = (&mut self.input).take(LONGEST).read_until(b'\n', &mut self.text)?;
        if read == 0 {
            return Ok(None);
        }
        self.number += 1;
        if self.text.last() == Some(&b'\n') {
            return Ok(Some(parse(&self.text)));
        }
        if (read as u64) < LONGEST {
            return Ok(Some(Line::Truncated));
        }
        // The rest of a line that is too long is passed over.
        loop {
            self.text.clear();
            let read = (&mut self.input).take(LONGEST).read_until(b'\n', &mut self.text)?;
            if read == 0 || self.text.last() == Some(&b'\n') {
                return Ok(Some(Line::Invalid { reason: "longer than a megabyte".into() }));
            }
        }
    }
}

impl<R: BufRead> Iterator for Reader<R> {
    type Item = io::Result<(u64, Line)>;

    fn next(&mut self) -> Option<Self::Item> {
        match self.next_line() {
            Ok(None) => None,
            Ok(Some(line)) => Some(Ok((self.number, line))),
            Err(error) => Some(Err(error)),
        }
    }
}

/// Longest stamp that is passed over before a record.
const STAMP: usize = 64;

/// A line without the stamp that whoever gathered a standard error put before it. Half a record, with
/// another behind it, is no stamp.
fn unstamped(text: &[u8]) -> &[u8] {
    match text.iter().take(STAMP).position(|&byte| byte == b'{' || byte == b'"') {
        Some(at) if text[at..].starts_with(b"{\"v\":") => &text[at..],
        _ => text,
    }
}

fn parse(text: &[u8]) -> Line {
    let text = unstamped(text);
    let head: Head = match serde_json::from_slice(text) {
        Ok(head) => head,
        Err(error) => return Line::Invalid { reason: error.to_string() },
    };
    if head.v > FORMAT {
        let why = format!("is of version {}; this program reads up to {FORMAT}", head.v);
        return Line::Invalid { reason: why };
    }
    let kind = head.what["kind"].as_str().unwrap_or_default().to_owned();
    match serde_json::from_value::<EventKind>(head.what) {
        Ok(what) => Line::Record(Record {
            format_version: head.v,
            run_id: head.run,
            sequence: head.seq,
            unix_us: head.unix_us,
            mono_us: head.mono_us,
            event: what,
        }),
        Err(error) if error.to_string().starts_with("unknown variant") => {
            Line::UnknownKind { kind, run_id: head.run, sequence: head.seq }
        }
        Err(error) => Line::Invalid { reason: format!("{kind}: {error}") },
    }
}
