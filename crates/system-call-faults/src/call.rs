//! The calls into which faults can be injected, and their targets.

/// A kind of call. Several functions of the C library may belong to one kind.
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

/// The names by which the statements of a plan refer to the kinds of calls.
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

    /// Whether the call may transfer fewer bytes than requested.
    pub(crate) fn transfers_bytes(self) -> bool {
        matches!(self, Call::Receive | Call::Send | Call::Write)
    }
}

/// The kind of peer that a socket communicates with, by which a plan selects sockets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SocketKind {
    Client,
    Worker,
    Discovery,
    Membership,
}

/// The names by which the statements of a plan refer to the kinds of sockets.
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

/// The target of a call: a socket, a file or neither. The rules of a plan select calls by their target.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Target<'a> {
    Socket(SocketKind),
    /// A file, given by its path.
    File(&'a str),
    /// No single target: a wait for many descriptors, or the creation of a socket.
    Unspecific,
}
