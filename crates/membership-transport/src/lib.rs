//! Membership among schedulers on real sockets. What is decided is decided in `copperspread-membership`, which knows
//! no socket and no clock; here are both.
//!
//! ```text
//!                 ┌──────────── thread "peers" (driver.rs) ────────────┐
//!  UDP  ◄────────►│ all packets that wait, then states, then the time  │──► View (arc-swap)
//!                 │              Cluster::handle ──► effects           │──► log
//!                 └──▲ mail (bounded)      │ exchanges (bounded) ──────┘
//!                    │ + waker             ▼
//!  TCP  ◄───► threads "peers-in" ◄─ accepted (bounded)      thread "peers-out" ◄────► TCP
//!                          (streams.rs)
//! ```
//!
//! 1. One thread holds the protocol. It waits for nobody but the socket and the time.
//! 2. Whole states pass on streams, whose threads read, write and check tags within time limits; a peer
//!    that is slow, or lies, costs a place among them and nothing else.
//! 3. Every queue is bounded and never waited on by the protocol's thread: what does not fit is dropped and
//!    counted ([`Dropped`]), and the next exchange, 30 s later, makes up for it.
//!
//! Nothing that comes from the network ends a thread.
#![forbid(unsafe_code)]

mod counts;
mod driver;
mod streams;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{SystemTime, UNIX_EPOCH};

use copperspread_membership::{Key, Settings, SettingsError};

pub use counts::{DropCounts, MembershipView, RejectionCounts};
use driver::Shared;

/// What a member is started with.
#[derive(Clone, Debug)]
pub struct TransportConfig {
    /// Where packets and streams are taken, and from whose number they are sent. With port 0 the system
    /// chooses one, the same for both.
    pub bind_address: SocketAddr,
    /// Where peers reach it; absent, `bind`.
    pub advertised_address: Option<SocketAddr>,
    /// Its name, the same after a restart.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// How it watches the others.
    pub membership_settings: Settings,
    /// The cluster's key.
    pub key: Key,
    /// Settles all its chance.
    pub seed: u64,
}

/// Why a member does not start.
#[derive(Debug)]
pub enum StartError {
    /// Settings that contradict themselves.
    Settings(SettingsError),
    /// An address that cannot be bound.
    Bind(SocketAddr, io::Error),
    /// Something else that the system refused.
    System(io::Error),
}

impl std::fmt::Display for StartError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            StartError::Settings(why) => why.fmt(f),
            StartError::Bind(address, why) => write!(f, "bind {address}: {why}"),
            StartError::System(why) => why.fmt(f),
        }
    }
}

impl std::error::Error for StartError {}

/// A member that runs. Dropped, it ends and says nothing, as if killed; [`Peers::leave`] is the good order.
pub struct MembershipTransport {
    shared: Arc<Shared>,
    address: SocketAddr,
    threads: Vec<JoinHandle<()>>,
}

impl MembershipTransport {
    /// Binds and starts. Its generation is the Unix time in milliseconds.
    ///
    /// # Errors
    /// Settings that contradict themselves, an address that cannot be bound, no more threads.
    pub fn start(spec: TransportConfig) -> Result<MembershipTransport, StartError> {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let generation = u64::try_from(since.as_millis()).unwrap_or(u64::MAX);
        driver::begin(spec, generation)
    }

    /// Where it is bound.
    pub fn local_address(&self) -> SocketAddr {
        self.address
    }

    /// What it knows now.
    pub fn view(&self) -> MembershipView {
        self.shared.view()
    }

    /// What gives its view for as long as it runs, and the last one after that.
    pub fn view_reader(&self) -> impl Fn() -> MembershipView + Send + Sync + use<> {
        let shared = Arc::clone(&self.shared);
        move || shared.view()
    }

    /// What was dropped so far, by cause.
    pub fn drop_counts(&self) -> DropCounts {
        self.shared.counts.dropped()
    }

    /// Tells the others that it goes, so that they need not find out. Returns at once.
    pub fn leave(&self) {
        self.shared.end(driver::LEAVES);
    }

    /// Waits until it has ended, after [`Peers::leave`] or without a word: a second at most, the time for
    /// a stream that is being connected.
    pub fn shutdown(mut self) -> MembershipView {
        self.end();
        self.shared.view()
    }

    fn end(&mut self) {
        self.shared.end(driver::STOPS);
        for thread in self.threads.drain(..) {
            // One that panicked has said so on its own.
            let _ = thread.join();
        }
    }
}

impl Drop for MembershipTransport {
    fn drop(&mut self) {
        self.end();
    }
}
