//! The adapter between the decision module and the simulator's wire. It decides nothing: it reads
//! events, hands each to its instance's dispatcher and writes the actions back.
mod wire;

use std::io::{self, BufRead, BufWriter, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::ExitCode;

use rustc_hash::FxHashMap;
use wire::{Failure, Instance, Line};

/// Reads batches until the input ends; the error tells what was wrong and in which batch.
fn serve(mut input: impl BufRead, output: impl Write) -> Result<(), String> {
    let mut out = BufWriter::with_capacity(1 << 16, output);
    let mut instances: FxHashMap<Box<str>, Instance> = FxHashMap::default();
    let mut text = Vec::new();
    // The batch that is open: its number and its clock.
    let mut open: Option<(u64, u64)> = None;
    let mut last = 0;
    loop {
        text.clear();
        let read = input.read_until(b'\n', &mut text).map_err(|e| format!("reading: {e}"))?;
        if read == 0 {
            return match open {
                None => Ok(()),
                Some((turn, _)) => Err(format!("batch {turn}: the input ended inside it")),
            };
        }
        let place = |what: String| match open {
            Some((turn, _)) => format!("batch {turn}: {what}"),
            None => format!("after batch {last}: {what}"),
        };
        if text.iter().all(u8::is_ascii_whitespace) {
            continue;
        }
        let line: Line<'_> = serde_json::from_slice(&text).map_err(|e| place(format!("no message: {e}")))?;
        match (&*line.kind, open) {
            ("batch", None) => {
                let turn = line.turn.ok_or_else(|| place("batch without turn".into()))?;
                let now = line.ts_s.ok_or_else(|| place("batch without ts_s".into()))?;
                open = Some((turn, copperspread_settings::json::micros_from_seconds(now)));
            }
            ("batch", Some(_)) => return Err(place("a batch inside a batch".into())),
            (_, None) => return Err(place(format!("{} outside a batch", line.kind))),
            ("your_turn", Some((turn, _))) => {
                writeln!(out, r#"{{"kind":"end","turn":{turn}}}"#)
                    .and_then(|()| out.flush())
                    .map_err(|e| format!("writing: {e}"))?;
                last = turn;
                open = None;
            }
            (_, Some((_, now))) => {
                let handled =
                    catch_unwind(AssertUnwindSafe(|| wire::event(&mut instances, now, &line, &mut out)));
                match handled {
                    Ok(Ok(())) => {}
                    Ok(Err(Failure::Skip(note))) => eprintln!("{}", place(note)),
                    Ok(Err(Failure::Bad(what))) => return Err(place(what)),
                    Err(_) => {
                        let node = line.node_id.as_deref().unwrap_or("");
                        wire::fault(&mut out, node, "the decision module panicked")
                            .map_err(|e| format!("writing: {e}"))?;
                    }
                }
            }
        }
    }
}

fn main() -> ExitCode {
    let stdin = io::stdin().lock();
    let stdout = io::stdout().lock();
    match serve(io::BufReader::with_capacity(1 << 20, stdin), stdout) {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            eprintln!("copperspread-simulator-adapter: {what}");
            ExitCode::FAILURE
        }
    }
}
