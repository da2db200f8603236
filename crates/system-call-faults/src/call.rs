//! The calls that can fail, and what they are made on.

/// A call, by what it does: several functions of the C library may stand for one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Call {
    Accept,
    Socket,
    Connect,
    ConnectCompletion,
    Receive,
    Send,
    EpollWait,
    Open,
    Write,
    Fsync,
    Fdatasync,
    Ftruncate,
    Rename,
}

/// All calls by their names in plans.
const CALL_NAMES: [(&str, Call); 13] = [
    ("accept4", Call::Accept),
    ("socket", Call::Socket),
    ("connect", Call::Connect),
    ("connect-completion", Call::ConnectCompletion),
    ("recv", Call::Receive),
    ("send", Call::Send),
    ("epoll_wait", Call::EpollWait),
    ("open", Call::Open),
    ("write", Call::Write),
    ("fsync", Call::Fsync),
    ("fdatasync", Call::Fdatasync),
    ("ftruncate", Call::Ftruncate),
    ("rename", Call::Rename),
];

impl Call {
    pub(crate) fn from_name(name: &str) -> Option<Call> {
        CALL_NAMES.iter().find(|(known, _)| *known == name).map(|(_, call)| *call)
    }

    pub(crate) fn name(self) -> &'static str {
        CALL_NAMES.iter().find(|(_, call)| *call == self).map_or("", |(name, _)| name)
    }

    /// Whether it may transfer fewer bytes than it was asked to.
    pub(crate) fn transfers_bytes(self) -> bool {
        matches!(self, Call::Receive | Call::Send | Call::Write)
    }
}

/// Whose connection a socket is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SocketKind {
    Client,
    Worker,
    Discovery,
    Membership,
}

/// All kinds by their names in plans.
const SOCKET_KIND_NAMES: [(&str, SocketKind); 4] = [
    ("client", SocketKind::Client),
    ("worker", SocketKind::Worker),
    ("discovery", SocketKind::Discovery),
    ("membership", SocketKind::Membership),
];

impl SocketKind {
    pub(crate) fn from_name(name: &str) -> Option<SocketKind> {
        SOCKET_KIND_NAMES.iter().find(|(known, _)| *known == name).map(|(_, kind)| *kind)
    }

    pub(crate) fn name(self) -> &'static str {
        SOCKET_KIND_NAMES.iter().find(|(_, kind)| *kind == self).map_or("", |(name, _)| name)
    }
}

/// What a call is made on.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Target<'a> {
    Socket(SocketKind),
    /// A file by its path.
    File(&'a str),
    /// Such as a wait for many descriptors, or a socket that is not connected yet.
    Unspecific,
}
