//! A TCP stream with one time limit for all its reads and writes.
use std::io::{self, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use crate::shared::Shared;

/// Time limit for all reads and writes of a stream together. It starts when the stream is connected or, for
/// an accepted stream, when a thread begins to serve it.
const STREAM_TIMEOUT: Duration = Duration::from_secs(3);
/// How long a read or write blocks before the stream thread checks whether the member is ending.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// A TCP stream whose reads and writes fail once its deadline has passed or the member is ending. A time
/// limit for each single read would not be enough: a peer that sends a byte now and then could occupy the
/// thread forever.
pub(crate) struct TimedStream<'a> {
    stream: TcpStream,
    deadline: Instant,
    shared: &'a Shared,
}

impl TimedStream<'_> {
    pub(crate) fn new(stream: TcpStream, shared: &Shared) -> TimedStream<'_> {
        TimedStream { stream, deadline: Instant::now() + STREAM_TIMEOUT, shared }
    }

    pub(crate) fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Repeats a read or write until it completes, the deadline has passed or the member is ending.
    fn retry_until_deadline(
        &mut self,
        mut operation: impl FnMut(&mut TcpStream) -> io::Result<usize>,
    ) -> io::Result<usize> {
        loop {
            let time_left = self.deadline.saturating_duration_since(Instant::now());
            if time_left.is_zero() || !self.shared.is_running() {
                return Err(ErrorKind::TimedOut.into());
            }
            let timeout = Some(time_left.min(SHUTDOWN_POLL_INTERVAL));
            self.stream.set_read_timeout(timeout)?;
            self.stream.set_write_timeout(timeout)?;
            match operation(&mut self.stream) {
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                result => return result,
            }
        }
    }
}

impl Read for TimedStream<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        self.retry_until_deadline(|stream| stream.read(buffer))
    }
}

impl Write for TimedStream<'_> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.retry_until_deadline(|stream| stream.write(bytes))
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
