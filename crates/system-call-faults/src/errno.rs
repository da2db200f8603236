//! Error numbers of the C library, and the names by which a fault plan refers to them.
use libc::c_int;

/// The names and values of the error numbers that a fault plan may contain.
const ERRNO_NAMES: [(&str, c_int); 30] = [
    ("EACCES", libc::EACCES),
    ("EADDRNOTAVAIL", libc::EADDRNOTAVAIL),
    ("ECONNABORTED", libc::ECONNABORTED),
    ("ECONNREFUSED", libc::ECONNREFUSED),
    ("ECONNRESET", libc::ECONNRESET),
    ("EDQUOT", libc::EDQUOT),
    ("EHOSTDOWN", libc::EHOSTDOWN),
    ("EHOSTUNREACH", libc::EHOSTUNREACH),
    ("EINTR", libc::EINTR),
    ("EINVAL", libc::EINVAL),
    ("EIO", libc::EIO),
    ("EMFILE", libc::EMFILE),
    ("ENETDOWN", libc::ENETDOWN),
    ("ENETUNREACH", libc::ENETUNREACH),
    ("ENFILE", libc::ENFILE),
    ("ENOBUFS", libc::ENOBUFS),
    ("ENOENT", libc::ENOENT),
    ("ENOMEM", libc::ENOMEM),
    ("ENONET", libc::ENONET),
    ("ENOPROTOOPT", libc::ENOPROTOOPT),
    ("ENOSPC", libc::ENOSPC),
    ("ENOSR", libc::ENOSR),
    ("EOPNOTSUPP", libc::EOPNOTSUPP),
    ("EPERM", libc::EPERM),
    ("EPIPE", libc::EPIPE),
    ("EPROTO", libc::EPROTO),
    ("EROFS", libc::EROFS),
    ("ESTALE", libc::ESTALE),
    ("ETIMEDOUT", libc::ETIMEDOUT),
    ("EXDEV", libc::EXDEV),
];

/// An error number of the C library.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Errno(pub(crate) c_int);

impl Errno {
    pub(crate) fn from_name(name: &str) -> Option<Errno> {
        ERRNO_NAMES.iter().find(|(known, _)| *known == name).map(|(_, number)| Errno(*number))
    }

    pub(crate) fn name(self) -> &'static str {
        ERRNO_NAMES.iter().find(|(_, number)| *number == self.0).map_or("", |(name, _)| name)
    }

    /// Whether a socket's connection ends if a read or write on it fails with this error.
    pub(crate) fn ends_connection(self) -> bool {
        !matches!(self.0, libc::EINTR | libc::ENOBUFS | libc::ENOMEM)
    }

    /// Sets the thread's `errno` to this error number. Returns -1, which is the result of a failed call.
    pub(crate) fn set(self) -> c_int {
        // SAFETY: the C library returns a valid pointer to the calling thread's `errno`.
        unsafe { *libc::__errno_location() = self.0 };
        -1
    }
}
