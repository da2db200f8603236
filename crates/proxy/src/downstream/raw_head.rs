//! Keeps the raw bytes of a request's head, to detect conflicting body framing.
//!
//! The server library (hyper) removes a `Content-Length` beside a `Transfer-Encoding` while parsing, so that
//! the parsed headers don't show the conflict.
use std::sync::{Mutex, MutexGuard, PoisonError};

use axum::http::HeaderMap;
use axum::http::header;

/// Number of kept bytes of a request's head above which the bytes of further reads are dropped. The value
/// equals the buffer size of the server library (hyper).
pub(super) const MAX_HEAD_BYTES: usize = 16 * 1024;

#[derive(Default)]
struct Inner {
    /// Whether the library has parsed the head, so that the bytes that follow belong to a body.
    is_complete: bool,
    bytes: Vec<u8>,
}

/// Raw head of the request that is being read.
#[derive(Default)]
pub(super) struct RawHead(Mutex<Inner>);

impl RawHead {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds bytes that the library has read, and returns whether they belong to a head.
    pub(super) fn add(&self, bytes: &[u8]) -> bool {
        let mut inner = self.lock();
        if !inner.is_complete && inner.bytes.len() <= MAX_HEAD_BYTES {
            inner.bytes.extend_from_slice(bytes);
        }
        !inner.is_complete
    }

    /// Takes the bytes received since the last response. Bytes received from now on count as part of a body,
    /// until [`RawHead::start`] is called.
    pub(super) fn take(&self) -> Vec<u8> {
        let mut inner = self.lock();
        inner.is_complete = true;
        std::mem::take(&mut inner.bytes)
    }

    /// Starts the next head: bytes received from now on count as part of a request's head.
    pub(super) fn start(&self) {
        self.lock().is_complete = false;
    }
}

/// Returns whether a request's body may be framed by both `Content-Length` and `Transfer-Encoding`.
///
/// With two framings, the body may hide another request (request smuggling). `head` is the raw head and
/// `headers` is the parsed head. If part of a request was received before the previous response, the raw head
/// lacks lines. Such a request counts as conflicting, since a missing line may be the `Content-Length`.
pub(super) fn has_conflicting_framing(head: &[u8], headers: &HeaderMap) -> bool {
    if !headers.contains_key(header::TRANSFER_ENCODING) {
        return false;
    }
    let mut lines = head.split(|&byte| byte == b'\n').map(|line| line.strip_suffix(b"\r").unwrap_or(line));
    let mut field_count = 0;
    // Empty lines may precede the request line; they are skipped, and so is the request line.
    lines.by_ref().find(|line| !line.is_empty());
    for line in lines.take_while(|line| !line.is_empty()) {
        let name = line.split(|&byte| byte == b':').next().unwrap_or_default();
        if name.trim_ascii().eq_ignore_ascii_case(b"content-length") {
            return true;
        }
        field_count += 1;
    }
    field_count != headers.len()
}

#[cfg(test)]
#[path = "../../tests/unit/raw_head.rs"]
mod tests;
