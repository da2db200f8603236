//! The form of a packet and of a state: version, body, and a tag over both under the cluster's key (HMAC-SHA-256,
//! RFC 2104).
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

use crate::PacketError;

/// The first byte of every packet.
const VERSION: u8 = 1;
/// The first byte of every state: neither passes for the other.
const STATE_VERSION: u8 = 0x81;
/// Bytes of the tag.
const TAG_BYTES: usize = 32;
/// Largest packet, in bytes: within RFC 8085's advice for paths of usual width.
pub const MAX_PACKET_BYTES: usize = 1_400;
/// Largest body of one.
pub(crate) const MAX_PACKET_BODY_BYTES: usize = MAX_PACKET_BYTES - 1 - TAG_BYTES;
/// Largest state with its seal, in bytes: some 15,000 members.
pub const MAX_STATE_BYTES: usize = 1 << 20;
/// Largest body of one.
pub(crate) const MAX_STATE_BODY_BYTES: usize = MAX_STATE_BYTES - 1 - TAG_BYTES;
/// Shortest key, in bytes: that of the hash's half, below which a key is the weakest part.
const MIN_KEY_BYTES: usize = 16;

/// The key that all members of a cluster share.
#[derive(Clone)]
pub struct Key(Hmac<Sha256>);

/// A key that is none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyError(String);

impl std::fmt::Display for KeyError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for KeyError {}

impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        // Guards against a key in a log.
        f.write_str("Key")
    }
}

impl Key {
    /// A key of these bytes.
    ///
    /// # Errors
    /// Fewer than 16.
    pub fn new(bytes: &[u8]) -> Result<Key, KeyError> {
        if bytes.len() < MIN_KEY_BYTES {
            return Err(KeyError(format!(
                "a cluster key of {} bytes; {MIN_KEY_BYTES} at least",
                bytes.len()
            )));
        }
        Hmac::new_from_slice(bytes).map(Key).map_err(|e| KeyError(e.to_string()))
    }

    pub(crate) fn seal_packet(&self, body: &[u8]) -> Vec<u8> {
        self.seal_with_version(VERSION, body)
    }

    pub(crate) fn seal_state(&self, body: &[u8]) -> Vec<u8> {
        self.seal_with_version(STATE_VERSION, body)
    }

    /// The body of a packet that somebody with the key made.
    pub(crate) fn open_packet<'a>(&self, packet: &'a [u8]) -> Result<&'a [u8], PacketError> {
        self.open_with_version(VERSION, MAX_PACKET_BYTES, packet)
    }

    /// The body of a state that somebody with the key made.
    pub(crate) fn open_state<'a>(&self, frame: &'a [u8]) -> Result<&'a [u8], PacketError> {
        self.open_with_version(STATE_VERSION, MAX_STATE_BYTES, frame)
    }

    fn seal_with_version(&self, version: u8, body: &[u8]) -> Vec<u8> {
        let mut sealed = Vec::with_capacity(1 + body.len() + TAG_BYTES);
        sealed.push(version);
        sealed.extend_from_slice(body);
        let tag = self.0.clone().chain_update(&sealed).finalize().into_bytes();
        sealed.extend_from_slice(&tag);
        sealed
    }

    fn open_with_version<'a>(
        &self,
        version: u8,
        most: usize,
        sealed: &'a [u8],
    ) -> Result<&'a [u8], PacketError> {
        if sealed.len() > most {
            return Err(PacketError::TooLarge);
        }
        let at = sealed.len().checked_sub(TAG_BYTES).filter(|&at| at > 0).ok_or(PacketError::Malformed)?;
        let (said, tag) = sealed.split_at(at);
        // Compares in constant time.
        self.0.clone().chain_update(said).verify_slice(tag).map_err(|_| PacketError::Forged)?;
        match said.split_first() {
            Some((of, body)) if *of == version => Ok(body),
            _ => Err(PacketError::OtherVersion),
        }
    }
}
