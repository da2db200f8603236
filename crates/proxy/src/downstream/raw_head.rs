//! The bytes of a request's head as they came. The server library drops a `Content-Length` that stands beside a
//! `Transfer-Encoding` before anyone else sees the two.
use std::sync::{Mutex, MutexGuard, PoisonError};

use axum::http::HeaderMap;
use axum::http::header;

/// Most bytes of a head that are kept: as many as the library buffers.
pub(super) const MAX_HEAD_BYTES: usize = 16 * 1024;

#[derive(Default)]
struct Inner {
    /// The library has parsed the head; what comes is a body.
    is_complete: bool,
    bytes: Vec<u8>,
}

/// The head of the request that is being read.
#[derive(Default)]
pub(super) struct RawHead(Mutex<Inner>);

impl RawHead {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds bytes that the library reads; whether they belong to a head.
    pub(super) fn add(&self, bytes: &[u8]) -> bool {
        let mut inner = self.lock();
        if !inner.is_complete && inner.bytes.len() <= MAX_HEAD_BYTES {
            inner.bytes.extend_from_slice(bytes);
        }
        !inner.is_complete
    }

    /// Takes what came since the last response; from here on a body is read.
    pub(super) fn take(&self) -> Vec<u8> {
        let mut inner = self.lock();
        inner.is_complete = true;
        std::mem::take(&mut inner.bytes)
    }

    /// Starts the next head.
    pub(super) fn start(&self) {
        self.lock().is_complete = false;
    }
}

/// Whether a request's body may be framed in two ways, one of which may hide another request. Where the head
/// did not come in one piece after the last response, lines are missing: that counts as well.
pub(super) fn has_conflicting_framing(head: &[u8], headers: &HeaderMap) -> bool {
    if !headers.contains_key(header::TRANSFER_ENCODING) {
        return false;
    }
    let mut lines = head.split(|&byte| byte == b'\n').map(|line| line.strip_suffix(b"\r").unwrap_or(line));
    let mut field_count = 0;
    // Empty lines may come before the first one.
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
