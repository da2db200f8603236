//! Collects the bodies of messages in memory that is reserved for them.
//!
//! The HTTP library (hyper) passes a body on in pieces. Each piece keeps the whole read buffer that it was
//! received in, so a body that comes in many small pieces would take many times its length. Each piece is
//! therefore copied and dropped before the next one is read.
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;

use crate::memory::{MAX_BODY_BYTES, MemoryBudget, MemoryReservation, MemoryUse};

/// The maximum length of a body that needs no reservation, in bytes. Such a body uses the memory that is
/// reserved for its connection.
const MAX_UNRESERVED_BYTES: usize = 4 * 1024;

/// Why a body could not be collected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum CollectError {
    /// The body is longer than [`MAX_BODY_BYTES`].
    #[error("the body is longer than {MAX_BODY_BYTES} bytes")]
    TooLong,
    /// The body is malformed, or its connection broke.
    #[error("the body cannot be read")]
    Unreadable,
}

/// A body that has been received, and the reservation of its memory. A small body has none.
pub(crate) struct CollectedBody {
    pub(crate) bytes: Vec<u8>,
    pub(crate) reservation: Option<MemoryReservation>,
}

impl CollectedBody {
    /// Returns the body as a value that holds the reservation until its last clone is dropped.
    pub(crate) fn into_bytes(self) -> Bytes {
        match self.reservation {
            Some(reservation) => reservation.attach_to(self.bytes),
            None => self.bytes.into(),
        }
    }
}

/// Collects the pieces of one body.
pub(crate) struct BodyCollector<'a> {
    memory: &'a Arc<MemoryBudget>,
    memory_use: MemoryUse,
    bytes: Vec<u8>,
    reservation: Option<MemoryReservation>,
}

impl BodyCollector<'_> {
    /// Creates a collector whose body takes its memory from `memory`.
    pub(crate) fn new(memory: &Arc<MemoryBudget>, memory_use: MemoryUse) -> BodyCollector<'_> {
        BodyCollector { memory, memory_use, bytes: Vec::new(), reservation: None }
    }

    /// Reads a whole body of at most [`MAX_BODY_BYTES`]. The body waits for memory, and is not read before.
    pub(crate) async fn collect(
        mut self,
        mut body: impl Body<Data = Bytes> + Unpin,
    ) -> Result<CollectedBody, CollectError> {
        let size = body.size_hint();
        // A body whose announced length is too large is refused before it is read.
        if size.lower() > MAX_BODY_BYTES as u64 {
            return Err(CollectError::TooLong);
        }
        self.make_room(size.upper().map_or(0, |length| length as usize)).await;
        while let Some(frame) = body.frame().await {
            // A frame without data holds trailers, which are ignored.
            let Ok(piece) = frame.map_err(|_| CollectError::Unreadable)?.into_data() else { continue };
            self.add(&piece).await?;
        }
        self.bytes.shrink_to_fit();
        Ok(CollectedBody { bytes: self.bytes, reservation: self.reservation })
    }

    async fn add(&mut self, piece: &[u8]) -> Result<(), CollectError> {
        let length = self.bytes.len() + piece.len();
        if length > MAX_BODY_BYTES {
            return Err(CollectError::TooLong);
        }
        // A body that is longer than the room for it has no announced length, and can have any.
        if length > self.bytes.capacity() {
            self.make_room(if length > MAX_UNRESERVED_BYTES { MAX_BODY_BYTES } else { length }).await;
        }
        self.bytes.extend_from_slice(piece);
        Ok(())
    }

    /// Allocates memory for a body of `length` bytes, after it has been reserved if it must be.
    async fn make_room(&mut self, length: usize) {
        if length > MAX_UNRESERVED_BYTES && self.reservation.is_none() {
            self.reservation = Some(self.memory.reserve(self.memory_use, length).await);
        }
        self.bytes.reserve_exact(length.saturating_sub(self.bytes.len()));
    }
}
