//! The identity and stored state that a member starts with, and the errors of a failed start.
use crate::settings::SettingsError;
use crate::storage::StoredState;

/// The identity of a member's process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberIdentity {
    /// The member's name, 1 to 64 bytes long. The member is a voter if [`crate::Settings::voters`] lists the
    /// name.
    pub name: String,
    /// A number that increases with every start of the process, such as its start time in Unix milliseconds.
    pub generation: u64,
}

/// The state that a voter stored before this start. Non-voters ignore it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartState {
    /// No stored state: either this is the first start, or the storage was lost; a voter cannot tell which.
    /// The voter does not vote until it has stored a state that was committed after its start, or until all
    /// other voters report that they have no stored state either and all earlier leases have expired.
    Empty,
    /// The state after all writes that were confirmed by [`crate::Input::Persisted`].
    Stored(StoredState),
}

/// An error that prevents a member from starting. Each message begins with what is invalid: `name`, `rules`,
/// `storage`, or a field of [`crate::Settings`].
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum StartError {
    /// The settings are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The member's name is empty or longer than 64 bytes.
    #[error("name: must be 1 to 64 bytes long")]
    Name,
    /// The initial rules cannot be serialized.
    #[error("rules: cannot be serialized")]
    UnserializableRules(#[source] postcard::Error),
    /// The serialized initial rules exceed [`crate::Settings::max_document_bytes`].
    #[error("rules: serialized size exceeds max_document_bytes")]
    RulesTooLarge,
    /// The stored log has a gap, or an entry whose term is 0 or later than the stored term.
    #[error("storage: the log has a gap, or an entry whose term is 0 or later than the stored term")]
    InconsistentLog,
    /// The stored snapshot cannot be deserialized.
    #[error("storage: the snapshot cannot be deserialized")]
    UnreadableSnapshot(#[source] postcard::Error),
    /// The Raft library does not accept the stored log.
    #[error("storage: the log cannot be loaded")]
    UnreadableLog(#[source] raft::Error),
}
