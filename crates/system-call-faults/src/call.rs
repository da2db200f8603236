//! The kinds of C library calls into which faults can be injected, and the targets of such calls.

/// A kind of C library call that a plan can name. Several functions of the C library may belong to one kind.
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

/// The names of the kinds of calls in a fault plan.
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

    /// Whether a call of this kind may transfer fewer bytes than requested, as reads and writes may.
    pub(crate) fn transfers_bytes(self) -> bool {
        matches!(self, Call::Receive | Call::Send | Call::Write)
    }
}

/// The kind of peer that a socket communicates with. A fault plan selects sockets by this kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SocketKind {
    Client,
    Worker,
    Discovery,
    Membership,
}

/// The names of the kinds of sockets in a fault plan.
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

/// What a call operates on: a socket, a file or neither. The rules of a fault plan select calls by their
/// target.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Target<'a> {
    Socket(SocketKind),
    /// The target is a file, given by its path.
    File(&'a str),
    /// The call has no single target. It waits for many descriptors, or it creates a socket.
    Unspecific,
}
