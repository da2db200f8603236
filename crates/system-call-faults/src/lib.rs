//! A library for `LD_PRELOAD` that makes calls of the C library fail, or do less than was asked, as a plan says.
//!
//! The plan is the text file that the environment variable `SYSTEM_CALL_FAULT_PLAN` names; without it every call
//! passes through. One statement a line; empty lines and what follows a `#` mean nothing:
//!
//! ```text
//! log PATH                          # each fault is appended there as one line, as it is injected
//! address KIND 127.0.0.1:80         # sockets that listen at, are bound to, or connect to it are of this kind
//! fail CALL KIND ERRNO WHEN         # the call returns -1 with this errno
//! short CALL KIND BYTES WHEN        # it transfers at most so many bytes
//! kill CALL KIND WHEN               # SIGKILL to the process instead of the call
//! clock +3600s at 1.5s              # CLOCK_REALTIME is off by so much, from so long after the start on
//! ```
//!
//! - `CALL`: `accept4`, `socket`, `connect`, `connect-completion` (`SO_ERROR` of a connection that came up), `recv` and
//!   `send` (of any form, on sockets), `epoll_wait`, `open`, `write`, `fsync`, `fdatasync`, `ftruncate`, `rename` (on
//!   files).
//! - `KIND`: `client` (accepted), `worker` (connected), `discovery`, `membership` (both by their `address`), `any`, or
//!   `file:SUFFIX` of a path.
//! - `WHEN`: `calls 3`, `calls 3..5`, `calls 3..` count the calls that match from 1; `every 3` is each third.
//!
//! A call that would only have said `EAGAIN` neither counts nor fails, as a kernel reports no error that it has no
//! event for. A failed `accept4` takes no connection: the one that failed stood in front of it. An error that ends a
//! connection ends it for later calls too, and for the peer.
//!
//! It is built for Linux, and for programs that call the C library as Rust's standard library, tokio and mio do.

mod call;
mod clock;
mod descriptors;
mod errno;
mod files;
mod injector;
mod original;
mod plan;
mod sockets;
mod transfers;

/// Reads the plan before the program's `main`.
#[used]
// SAFETY: the dynamic linker calls what stands in this section, once, with the C library initialized.
#[unsafe(link_section = ".init_array")]
static LOAD_PLAN: extern "C" fn() = load_plan;

extern "C" fn load_plan() {
    if let Err(error) = injector::load() {
        eprintln!("fault plan: {error}");
        std::process::abort();
    }
}
