//! The sealed form of packets and states: a version, the body, and an authentication tag over both under the
//! cluster's key (HMAC-SHA-256, RFC 2104). The body is not encrypted.
use hmac::digest::InvalidLength;
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

const VERSION_BYTES: usize = 1;
const TAG_BYTES: usize = 32;
/// Largest packet, in bytes: within RFC 8085's advice for paths of usual width.
pub const MAX_PACKET_BYTES: usize = 1_400;
pub(crate) const MAX_PACKET_BODY_BYTES: usize = MAX_PACKET_BYTES - VERSION_BYTES - TAG_BYTES;
/// Largest sealed state, in bytes: some 15,000 members.
pub const MAX_STATE_BYTES: usize = 1 << 20;
pub(crate) const MAX_STATE_BODY_BYTES: usize = MAX_STATE_BYTES - VERSION_BYTES - TAG_BYTES;
/// Shortest key, in bytes: half the hash's length, below which the key is the weakest part.
const MIN_KEY_BYTES: usize = 16;

/// The first byte and the size limit of what is sealed. The versions differ so that neither passes for the other.
#[derive(Clone, Copy)]
pub(crate) struct SealFormat {
    version: u8,
    max_bytes: usize,
}

pub(crate) const PACKET_FORMAT: SealFormat = SealFormat { version: 1, max_bytes: MAX_PACKET_BYTES };
pub(crate) const STATE_FORMAT: SealFormat = SealFormat { version: 0x81, max_bytes: MAX_STATE_BYTES };

/// Why a packet or state was rejected; nothing has changed then. Exhaustive, as the transport counts each kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum PacketError {
    /// Longer than any of this protocol.
    #[error("too large")]
    TooLarge,
    /// Too short, or its body cannot be decoded.
    #[error("malformed")]
    Malformed,
    /// Its tag was not made with the cluster's key.
    #[error("not made with the cluster's key")]
    Forged,
    /// Its tag is right, and its version is another.
    #[error("of another version")]
    OtherVersion,
}

/// Bytes that cannot be a key.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum KeyError {
    /// Fewer bytes than a key must have.
    #[error("a cluster key of {bytes} bytes; {MIN_KEY_BYTES} at least")]
    TooShort {
        /// How many there were.
        bytes: usize,
    },
    /// The HMAC implementation refuses a key of this length.
    #[error(transparent)]
    InvalidLength(#[from] InvalidLength),
}

/// The key that all members of a cluster share.
#[derive(Clone)]
pub struct Key(Hmac<Sha256>);

impl std::fmt::Debug for Key {
    /// Shows none of the key's bytes, so that none comes into a log.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Key")
    }
}

impl Key {
    /// A key of these bytes.
    ///
    /// # Errors
    /// Fewer than 16 bytes.
    pub fn new(bytes: &[u8]) -> Result<Key, KeyError> {
        if bytes.len() < MIN_KEY_BYTES {
            return Err(KeyError::TooShort { bytes: bytes.len() });
        }
        Ok(Key(Hmac::new_from_slice(bytes)?))
    }

    /// Puts the version before a body and the tag after it.
    pub(crate) fn seal(&self, format: SealFormat, body: &[u8]) -> Vec<u8> {
        let mut sealed = Vec::with_capacity(VERSION_BYTES + body.len() + TAG_BYTES);
        sealed.push(format.version);
        sealed.extend_from_slice(body);
        let tag = self.0.clone().chain_update(&sealed).finalize().into_bytes();
        sealed.extend_from_slice(&tag);
        sealed
    }

    /// The body of what was sealed with this key.
    pub(crate) fn open<'a>(&self, format: SealFormat, sealed: &'a [u8]) -> Result<&'a [u8], PacketError> {
        if sealed.len() > format.max_bytes {
            return Err(PacketError::TooLarge);
        }
        let tag_start = sealed.len().checked_sub(TAG_BYTES).filter(|&start| start >= VERSION_BYTES);
        let (content, tag) = sealed.split_at(tag_start.ok_or(PacketError::Malformed)?);
        // Compares in constant time.
        self.0.clone().chain_update(content).verify_slice(tag).map_err(|_| PacketError::Forged)?;
        match content.split_first() {
            Some((version, body)) if *version == format.version => Ok(body),
            _ => Err(PacketError::OtherVersion),
        }
    }
}
