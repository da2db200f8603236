//! A library for `LD_PRELOAD` that injects faults into a program's calls of the C library. A fault plan says
//! which calls fail, transfer fewer bytes than requested, or kill the process. The plan can also shift the
//! wall clock.
//!
//! The fault plan is a text file. The environment variable `SYSTEM_CALL_FAULT_PLAN` contains its path.
//! Without the variable, the library passes every call through. The file has one statement per line. Empty
//! lines and comments that start with `#` are ignored:
//!
//! ```text
//! log PATH                          # appends `CALL TARGET FAULT` to this file for each injected fault
//! address KIND 127.0.0.1:80         # sockets bound, connected or accepted here are of this kind
//! fail CALL KIND ERRNO WHEN         # the call returns -1 with this errno
//! short CALL KIND BYTES WHEN        # the call transfers at most this many bytes
//! kill CALL KIND WHEN               # the process gets SIGKILL instead of making the call
//! clock +3600s at 1.5s              # CLOCK_REALTIME is 3600 s ahead, from 1.5 s after loading the plan
//! ```
//!
//! The statements `fail`, `short` and `kill` are rules. A rule matches the calls of the kind `CALL` on the
//! targets `KIND`, and injects its fault into those that `WHEN` selects:
//!
//! - `CALL` names a kind of call, which may stand for several functions of the C library:
//!   - on sockets: `accept4`, `socket` (IPv4 only), `connect`, `connect-completion` (explained below), `recv`
//!     (also `recvfrom`, `read` and `readv`) and `send` (also `sendto`, `write` and `writev`);
//!   - on files: `open` (`open64`), `write` (not `writev`), `fsync`, `fdatasync`, `ftruncate` (`ftruncate64`)
//!     and `rename`;
//!   - on neither: `epoll_wait`.
//! - `KIND`: `client` (accepted sockets), `worker` (connected sockets), `discovery` and `membership` (both
//!   assigned by `address`), `any`, or `file:SUFFIX` for files whose path ends with `SUFFIX`. Calls of
//!   `socket` and `epoll_wait` match only `any`.
//! - `WHEN`: each rule numbers the calls that it matches, from 1. `calls 3`, `calls 3..5` (inclusive) and
//!   `calls 3..` (without end) select calls by this number; `every 3` selects every third call.
//!
//! A call counts for every rule that matches the call. If several rules select the same call, the first of
//! these rules in the file provides the fault. Of the `clock` statements whose time has come, only the one
//! with the latest time applies.
//!
//! `connect-completion` is the query of the option `SO_ERROR` with `getsockopt`. With this query, a program
//! learns whether a connection could be established. Only queries that report success match. A `fail` rule
//! then sets the queried value to the rule's errno, but `getsockopt` itself still returns 0.
//!
//! A call of `accept4`, `recv` or `send` on a non-blocking socket that would return `EAGAIN` is not counted
//! and gets no fault. The kernel, too, reports an error of a socket only when an event is pending there. If a
//! fault fails an `accept4`, the pending connection stays in the queue. To the program, this looks as though
//! another connection before it had failed.
//!
//! All errors of `recv` and `send` except `EINTR`, `ENOBUFS` and `ENOMEM` end a stream connection: the
//! connection is shut down, later receives return 0, and later sends fail with `EPIPE`. An error at
//! `connect-completion` ends the connection in the same way.
//!
//! The library supports Linux, and programs that call the C library as Rust's standard library, tokio and mio
//! do.

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

/// Makes the dynamic linker load the fault plan before the program's `main`.
#[used]
// SAFETY: the dynamic linker calls the functions in this section once, after initializing the C library.
#[unsafe(link_section = ".init_array")]
static LOAD_PLAN: extern "C" fn() = load_plan;

extern "C" fn load_plan() {
    if let Err(error) = injector::load() {
        eprintln!("cannot load the fault plan: {error}");
        std::process::abort();
    }
}
