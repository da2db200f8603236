//! The replicated document, with its version and digest.
use serde::{Deserialize, Serialize};

/// The version of a document: an epoch, and a number within that epoch. Versions are ordered by epoch and
/// then by number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version {
    /// The epoch of the version, a number that is raised whenever the versions are numbered from 1 again; 0
    /// while there is no document. The first document starts an epoch. After all voters have lost their
    /// storage and started again, a new epoch starts. Its number must be higher, so that the versions from
    /// before the loss count as older.
    pub epoch: u64,
    /// The number of the version within its epoch, counted from 1; 0 while there is no document.
    pub number: u64,
}

impl Version {
    /// The version after this one, in the same epoch.
    pub(crate) fn next(self) -> Version {
        Version { number: self.number.saturating_add(1), ..self }
    }
}

impl std::fmt::Display for Version {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}.{}", self.epoch, self.number)
    }
}

/// The BLAKE3 digest of a document's version and bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Digest(pub [u8; 32]);

impl std::fmt::Display for Digest {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.iter().try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

/// One version of the fleet's rules, in the form in which it is replicated, stored and sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedDocument {
    /// The version under which these rules were committed.
    pub version: Version,
    /// The BLAKE3 digest of the version and the serialized rules.
    pub digest: Digest,
    /// The rules, serialized with postcard.
    pub bytes: Vec<u8>,
}

impl VersionedDocument {
    /// Creates a document from a version and serialized rules, and computes the digest.
    pub fn new(version: Version, bytes: Vec<u8>) -> VersionedDocument {
        let digest = document_digest(version, &bytes);
        VersionedDocument { version, digest, bytes }
    }

    /// Whether the document's digest matches its version and its bytes.
    pub fn has_valid_digest(&self) -> bool {
        self.digest == document_digest(self.version, &self.bytes)
    }
}

fn document_digest(version: Version, bytes: &[u8]) -> Digest {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&version.epoch.to_le_bytes());
    hasher.update(&version.number.to_le_bytes());
    hasher.update(bytes);
    Digest(*hasher.finalize().as_bytes())
}
