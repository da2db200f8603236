//! The form of a packet and of a state: version, body, and a tag over both under the cluster's key (HMAC-SHA-256,
//! RFC 2104).
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

use crate::Rejected;

/// The first byte of every packet.
const VERSION: u8 = 1;
/// The first byte of every state: neither passes for the other.
const STATE_VERSION: u8 = 0x81;
/// Bytes of the tag.
const TAG: usize = 32;
/// Largest packet, in bytes: within RFC 8085's advice for paths of usual width.
pub const MOST_PACKET: usize = 1_400;
/// Largest body of one.
pub(crate) const MOST_BODY: usize = MOST_PACKET - 1 - TAG;
/// Largest state with its seal, in bytes: some 15,000 members.
pub const MOST_STATE: usize = 1 << 20;
/// Largest body of one.
pub(crate) const MOST_STATE_BODY: usize = MOST_STATE - 1 - TAG;
/// Shortest key, in bytes: that of the hash's half, below which a key is the weakest part.
const LEAST_KEY: usize = 16;

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
        if bytes.len() < LEAST_KEY {
            return Err(KeyError(format!("a cluster key of {} bytes; {LEAST_KEY} at least", bytes.len())));
        }
        Hmac::new_from_slice(bytes).map(Key).map_err(|e| KeyError(e.to_string()))
    }

    pub(crate) fn close(&self, body: &[u8]) -> Vec<u8> {
        self.seal(VERSION, body)
    }

    pub(crate) fn close_state(&self, body: &[u8]) -> Vec<u8> {
        self.seal(STATE_VERSION, body)
    }

    /// The body of a packet that somebody with the key made.
    pub(crate) fn open<'a>(&self, packet: &'a [u8]) -> Result<&'a [u8], Rejected> {
        self.unseal(VERSION, MOST_PACKET, packet)
    }

    /// The body of a state that somebody with the key made.
    pub(crate) fn open_state<'a>(&self, frame: &'a [u8]) -> Result<&'a [u8], Rejected> {
        self.unseal(STATE_VERSION, MOST_STATE, frame)
    }

    fn seal(&self, version: u8, body: &[u8]) -> Vec<u8> {
        let mut sealed = Vec::with_capacity(1 + body.len() + TAG);
        sealed.push(version);
        sealed.extend_from_slice(body);
        let tag = self.0.clone().chain_update(&sealed).finalize().into_bytes();
        sealed.extend_from_slice(&tag);
        sealed
    }

    fn unseal<'a>(&self, version: u8, most: usize, sealed: &'a [u8]) -> Result<&'a [u8], Rejected> {
        if sealed.len() > most {
            return Err(Rejected::TooLarge);
        }
        let at = sealed.len().checked_sub(TAG).filter(|&at| at > 0).ok_or(Rejected::Malformed)?;
        let (said, tag) = sealed.split_at(at);
        // Compares in constant time.
        self.0.clone().chain_update(said).verify_slice(tag).map_err(|_| Rejected::Forged)?;
        match said.split_first() {
            Some((of, body)) if *of == version => Ok(body),
            _ => Err(Rejected::OtherVersion),
        }
    }
}
