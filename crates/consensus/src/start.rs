//! What a member is started with, and why it may not start.
use crate::settings::SettingsError;
use crate::storage::StoredState;

/// Who a member is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberIdentity {
    /// Its name, of 1 to 64 bytes; a voter if [`crate::Settings::voters`] lists it.
    pub name: String,
    /// Increases with every start of its process, such as the start's Unix time in milliseconds.
    pub generation: u64,
}

/// What a voter stored before this start. Members that are no voters ignore it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartState {
    /// Nothing: the first start, or the storage is lost, which a voter cannot tell apart. It does not vote until it
    /// has caught up with what was committed after its start, or until all voters report that they have nothing.
    Empty,
    /// All writes that were confirmed by [`crate::Input::Persisted`].
    Stored(StoredState),
}

/// Why a member cannot start. The texts are part of the outer interface.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum StartError {
    /// The settings are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The member's name is empty or too long.
    #[error("name: not of 1 to 64 bytes")]
    Name,
    /// The initial rules cannot be serialized.
    #[error("rules: cannot be written")]
    UnserializableRules(#[source] postcard::Error),
    /// The initial rules exceed [`crate::Settings::max_document_bytes`].
    #[error("rules: more than most_rules bytes")]
    RulesTooLarge,
    /// The stored log has a gap, or an entry of a term that the voter does not know.
    #[error("store: entries do not follow each other")]
    InconsistentLog,
    /// The stored snapshot cannot be deserialized.
    #[error("store: the snapshot cannot be read")]
    UnreadableSnapshot(#[source] postcard::Error),
    /// Raft does not accept the stored log.
    #[error("store: the log cannot be read")]
    UnreadableLog(#[source] raft::Error),
}
