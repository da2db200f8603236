//! The adapter between the dispatch policy and the simulator's wire. It decides nothing: it reads
//! events, hands each to its instance's dispatcher and writes the actions back.
//!
//! ```text
//!   standard input ─ session.rs: lines, batches, panics
//!                       │ message.rs: one line as a message
//!                    instances.rs: the dispatcher that a message is for
//!                       │ decode.rs: the message as an event      encode.rs: actions as lines
//!                       └────────────── Dispatcher ──────────────── standard output
//! ```
//!
//! The names of kinds and fields on the wire are the simulator's and stay as they are.
mod cookie;
mod decode;
mod encode;
mod error;
mod instances;
mod message;
mod session;
mod workers;

use std::io;
use std::process::ExitCode;

const INPUT_BUFFER_BYTES: usize = 1 << 20;

fn main() -> ExitCode {
    let input = io::BufReader::with_capacity(INPUT_BUFFER_BYTES, io::stdin().lock());
    match session::serve(input, io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("copperspread-simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
