//! Keeps the bytes of a request's head as received, to detect a body whose length is given in two ways.
//!
//! If a head has both `Content-Length` and `Transfer-Encoding`, the server library (hyper) removes
//! `Content-Length`. The parsed headers therefore don't show the conflict.
use std::sync::{Mutex, MutexGuard, PoisonError};

use axum::http::HeaderMap;
use axum::http::header;

/// Once more than this number of bytes of a request's head have been kept, further bytes are dropped. The
/// number equals the buffer size of the server library (hyper).
pub(super) const MAX_HEAD_BYTES: usize = 16 * 1024;

#[derive(Default)]
struct Inner {
    /// Whether the server library (hyper) has parsed the request's head. If so, the following bytes belong to
    /// the body.
    is_complete: bool,
    bytes: Vec<u8>,
}

/// The bytes of the head of the request that is being read, as received.
#[derive(Default)]
pub(super) struct RawHead(Mutex<Inner>);

impl RawHead {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds bytes that the server library (hyper) has read, and returns whether these bytes belong to a
    /// request's head.
    pub(super) fn add(&self, bytes: &[u8]) -> bool {
        let mut inner = self.lock();
        if !inner.is_complete && inner.bytes.len() <= MAX_HEAD_BYTES {
            inner.bytes.reserve_exact(bytes.len());
            inner.bytes.extend_from_slice(bytes);
        }
        !inner.is_complete
    }

    /// Returns the bytes kept since [`RawHead::start`] was last called, and removes them from this value.
    /// Bytes that are added from now on count as part of a body, until [`RawHead::start`] is called again.
    pub(super) fn take(&self) -> Vec<u8> {
        let mut inner = self.lock();
        inner.is_complete = true;
        std::mem::take(&mut inner.bytes)
    }

    /// Starts the head of the next request. Bytes that are added from now on count as part of this head.
    pub(super) fn start(&self) {
        self.lock().is_complete = false;
    }
}

/// Returns whether it is possible that a request gives the length of its body by both `Content-Length` and
/// `Transfer-Encoding`.
///
/// Such a body may hide another request (request smuggling). `head` is the head as received, and `headers` is
/// the parsed head.
///
/// `head` may lack its first lines. A client can send a request before it gets the response to its previous
/// request. Until that response, [`RawHead`] treats all received bytes as part of the previous request's
/// body, and does not keep them. If lines are missing and the request has a `Transfer-Encoding`, the request
/// counts as conflicting, because one of the missing lines could be the `Content-Length`.
pub(super) fn has_conflicting_framing(head: &[u8], headers: &HeaderMap) -> bool {
    if !headers.contains_key(header::TRANSFER_ENCODING) {
        return false;
    }
    let mut lines = head.split(|&byte| byte == b'\n').map(|line| line.strip_suffix(b"\r").unwrap_or(line));
    let mut field_count = 0;
    // Empty lines may precede the request line. They are skipped, as is the request line itself.
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
