//! Simulator adapter: runs the dispatch policy in a simulation. The adapter speaks the simulator's protocol,
//! which has one JSON message per line on standard input and output.
//!
//! The adapter makes no dispatch decisions. It passes each message as an event to the dispatcher of the
//! addressed scheduler instance, and writes the resulting actions back.
//!
//! ```text
//!   standard input ─ session.rs: lines, batches, panics
//!                       │ message.rs: parses a line into a message
//!                    instances.rs: finds the dispatcher of the addressed instance
//!                       │ decode.rs: message to event             encode.rs: actions to lines
//!                       └────────────── Dispatcher ──────────────── standard output
//! ```
//!
//! The simulator defines the message kinds and the field names on the wire. The adapter must not change them.
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
