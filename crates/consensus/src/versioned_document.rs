//! The document of rules, its version and its digest.
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// What the rules say, of which this crate knows only how to take the narrower.
pub trait Rules: Clone + Serialize + DeserializeOwned {
    /// What both documents allow. Commutative, idempotent, and never more than either allows.
    fn intersection(&self, other: &Self) -> Self;

    /// What may be acted on while a newer version, which this member has not heard, may be in force: nothing
    /// new reserved, the lowest limits, no repeats. What it allows no later document may forbid, or decisions
    /// by it can contradict those of members that go on. Never more than `self` allows.
    fn without_lease(&self) -> Self;
}

/// Which document. A later epoch is later whatever the number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version {
    /// Which founding of the voters; 0 before any.
    pub epoch: u64,
    /// Counts from 1 in each epoch.
    pub number: u64,
}

impl Version {
    /// The one after it, in the same epoch.
    pub(crate) fn next(self) -> Version {
        Version { number: self.number.saturating_add(1), ..self }
    }
}

impl std::fmt::Display for Version {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{}", self.epoch, self.number)
    }
}

/// BLAKE3 of a document's version and bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Digest(pub [u8; 32]);

impl std::fmt::Display for Digest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// A version of the rules as it is ordered, stored and sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedDocument {
    /// Which.
    pub version: Version,
    /// Of version and bytes.
    pub digest: Digest,
    /// The rules, as postcard writes them.
    pub bytes: Vec<u8>,
}

impl VersionedDocument {
    /// A document of these bytes.
    pub fn new(version: Version, bytes: Vec<u8>) -> VersionedDocument {
        let digest = digest(version, &bytes);
        VersionedDocument { version, digest, bytes }
    }

    /// Whether the digest is that of the rest.
    pub fn has_valid_digest(&self) -> bool {
        self.digest == digest(self.version, &self.bytes)
    }
}

fn digest(version: Version, bytes: &[u8]) -> Digest {
    let mut hash = blake3::Hasher::new();
    hash.update(&version.epoch.to_le_bytes()).update(&version.number.to_le_bytes()).update(bytes);
    Digest(*hash.finalize().as_bytes())
}
