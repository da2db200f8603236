//! The identity and the stored state with which a member starts, and the errors of a failed start.
use crate::settings::SettingsError;
use crate::storage::StoredState;

/// The identity of a member's process: the member's name, and a number that increases with every start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberIdentity {
    /// The member's name, 1 to 64 bytes long. The member is a voter if [`crate::Settings::voters`] lists the
    /// name.
    pub name: String,
    /// A number that increases with every start of the member's process, such as the start time in Unix
    /// milliseconds.
    pub generation: u64,
}

/// What a voter had stored before this start. Non-voters ignore this value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartState {
    /// The voter has no stored state. Either this is its first start, or its storage was lost; the voter
    /// cannot tell which.
    ///
    /// The voter does not vote until it has stored a state that a leader has sent it in response to a request
    /// made after this start. It may also vote once all other voters report that they have no stored state
    /// either, and all leases of earlier leaders have expired.
    Empty,
    /// The voter starts from this stored state, the result of all writes that [`crate::Input::Persisted`]
    /// confirmed.
    Stored(StoredState),
}

/// An error that prevents a member from starting. Each error message begins with what is invalid: `name`,
/// `rules`, `storage`, or a field of [`crate::Settings`].
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum StartError {
    /// The settings of the consensus crate are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The name of the member to start is empty or longer than 64 bytes.
    #[error("name: must be 1 to 64 bytes long")]
    Name,
    /// The rules in the member's own configuration cannot be serialized.
    #[error("rules: cannot be serialized")]
    UnserializableRules(#[source] postcard::Error),
    /// The serialized rules of the member's own configuration exceed [`crate::Settings::max_document_bytes`].
    #[error("rules: serialized size exceeds max_document_bytes")]
    RulesTooLarge,
    /// The voter's stored log has a gap, or an entry whose term is 0 or later than the stored term.
    #[error("storage: the log has a gap, or an entry whose term is 0 or later than the stored term")]
    InconsistentLog,
    /// The voter's stored snapshot cannot be deserialized.
    #[error("storage: the snapshot cannot be deserialized")]
    UnreadableSnapshot(#[source] postcard::Error),
    /// The Raft library does not accept the voter's stored log.
    #[error("storage: the log cannot be loaded")]
    UnreadableLog(#[source] raft::Error),
}
