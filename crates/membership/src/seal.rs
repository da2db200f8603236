//! The sealed form of packets and states: a version, the body, and an authentication tag over both. The tag
//! is an HMAC-SHA-256 (RFC 2104) under the cluster's key. The body is not encrypted.
use hmac::digest::InvalidLength;
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

const VERSION_BYTES: usize = 1;
const TAG_BYTES: usize = 32;
/// Maximum size of a sealed packet, in bytes. Packets up to this size are not fragmented on paths with the
/// usual MTU of 1,500 bytes, as RFC 8085 advises.
pub const MAX_PACKET_BYTES: usize = 1_400;
pub(crate) const MAX_PACKET_BODY_BYTES: usize = MAX_PACKET_BYTES - VERSION_BYTES - TAG_BYTES;
/// Maximum size of a sealed state, in bytes. A state of this size holds about 15,000 members of 70 bytes
/// each.
pub const MAX_STATE_BYTES: usize = 1 << 20;
pub(crate) const MAX_STATE_BODY_BYTES: usize = MAX_STATE_BYTES - VERSION_BYTES - TAG_BYTES;
/// Minimum length of a cluster key, in bytes: half the length of the hash. A shorter key would be the weakest
/// part of the seal.
const MIN_KEY_BYTES: usize = 16;

/// The version and the maximum size of one kind of sealed data: packets or states. Packets and states have
/// different versions, so that neither is accepted as the other.
#[derive(Clone, Copy)]
pub(crate) struct SealFormat {
    version: u8,
    max_bytes: usize,
}

pub(crate) const PACKET_FORMAT: SealFormat = SealFormat { version: 1, max_bytes: MAX_PACKET_BYTES };
pub(crate) const STATE_FORMAT: SealFormat = SealFormat { version: 0x81, max_bytes: MAX_STATE_BYTES };

/// The reason why a received packet or state was rejected. The enum is exhaustive, because the transport
/// counts each reason separately. [`Membership::handle`](crate::Membership::handle) describes the effects of
/// a rejected packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum PacketError {
    /// The received packet is larger than [`MAX_PACKET_BYTES`], or the received state is larger than
    /// [`MAX_STATE_BYTES`]. A state is the list of all members that another member knows, sent over a stream.
    #[error("too large")]
    TooLarge,
    /// The received packet or state is too short, or its body cannot be decoded.
    #[error("malformed")]
    Malformed,
    /// The authentication tag of the received packet or state was not made with the cluster's key.
    #[error("not made with the cluster's key")]
    Forged,
    /// The received packet or state has a valid tag, but its version is not the expected one.
    #[error("of another version")]
    OtherVersion,
}

/// The reason why bytes cannot be used as a cluster key.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum KeyError {
    /// The cluster key has fewer than 16 bytes.
    #[error("a cluster key of {bytes} bytes; {MIN_KEY_BYTES} at least")]
    TooShort {
        /// The number of bytes in the rejected cluster key.
        bytes: usize,
    },
    /// The HMAC implementation rejects a cluster key of this length.
    #[error(transparent)]
    InvalidLength(#[from] InvalidLength),
}

/// The secret key that all members of a cluster share.
#[derive(Clone)]
pub struct Key(Hmac<Sha256>);

impl std::fmt::Debug for Key {
    /// Prints none of the key's bytes, so that none of them appears in a log.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Key")
    }
}

impl Key {
    /// Creates a cluster key from its bytes.
    ///
    /// # Errors
    /// Returns [`KeyError::TooShort`] if there are fewer than 16 bytes.
    pub fn new(bytes: &[u8]) -> Result<Key, KeyError> {
        if bytes.len() < MIN_KEY_BYTES {
            return Err(KeyError::TooShort { bytes: bytes.len() });
        }
        Ok(Key(Hmac::new_from_slice(bytes)?))
    }

    /// Seals the body of a packet or state: adds the version before it and the authentication tag after it.
    pub(crate) fn seal(&self, format: SealFormat, body: &[u8]) -> Vec<u8> {
        let mut sealed = Vec::with_capacity(VERSION_BYTES + body.len() + TAG_BYTES);
        sealed.push(format.version);
        sealed.extend_from_slice(body);
        let tag = self.0.clone().chain_update(&sealed).finalize().into_bytes();
        sealed.extend_from_slice(&tag);
        sealed
    }

    /// Verifies a sealed packet or state, and returns its body.
    ///
    /// # Errors
    /// Returns an error if the packet or state is too large, too short, not sealed with this key, or of
    /// another version.
    pub(crate) fn open<'a>(&self, format: SealFormat, sealed: &'a [u8]) -> Result<&'a [u8], PacketError> {
        if sealed.len() > format.max_bytes {
            return Err(PacketError::TooLarge);
        }
        let tag_start = sealed.len().checked_sub(TAG_BYTES).filter(|&start| start >= VERSION_BYTES);
        let (content, tag) = sealed.split_at(tag_start.ok_or(PacketError::Malformed)?);
        // `verify_slice` compares in constant time, so that its duration reveals nothing about the valid tag.
        self.0.clone().chain_update(content).verify_slice(tag).map_err(|_| PacketError::Forged)?;
        match content.split_first() {
            Some((version, body)) if *version == format.version => Ok(body),
            _ => Err(PacketError::OtherVersion),
        }
    }
}
