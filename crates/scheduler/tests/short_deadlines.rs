//! Tests of shutdowns in which all deadlines are short, so that SIGKILL comes early, and of shutdowns with
//! outputs that hang.
mod sockets;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures_util::future::join_all;
use sockets::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until, timeout};

/// New connections are opened until this long after SIGTERM.
const NEW_CONNECTIONS_UNTIL: Duration = Duration::from_millis(400);
/// In this last span before the SIGKILL, connections close and a request may stay unread.
const CLOSING_TIME: Duration = Duration::from_millis(560);
/// The time between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

/// Returns the shortest time from SIGTERM to SIGKILL.
fn kill_time(deadline: Duration) -> Duration {
    deadline.min(Duration::from_secs(3)) + Duration::from_millis(700)
}

/// Returns the platform's configuration with one deadline for all classes.
fn with_deadline(config: &str, deadline: Duration) -> String {
    let seconds = deadline.as_secs_f64();
    config.replace("\"aim_s\":9,\"deadline_s\":9", &format!("\"aim_s\":{seconds},\"deadline_s\":{seconds}"))
}

/// The ids of the requests that a hanging worker received. The worker answers none and keeps their
/// connections open.
#[derive(Clone, Default)]
struct ReceivedIds(Arc<Mutex<Vec<String>>>);

impl ReceivedIds {
    fn of_hanging_worker(mut worker: FakeServer) -> ReceivedIds {
        let ids = ReceivedIds::default();
        let received = ids.clone();
        tokio::spawn(async move {
            let mut unanswered = Vec::new();
            loop {
                let request = worker.next_request().await;
                let id = request.message.headers["x-request-id"].clone();
                received.0.lock().expect("a lock that is not poisoned").push(id);
                unanswered.push(request);
            }
        });
        ids
    }

    fn contains(&self, id: u64) -> bool {
        self.0.lock().expect("a lock that is not poisoned").contains(&format!("{id:016x}"))
    }

    async fn wait_for(&self, id: u64) {
        while !self.contains(id) {
            tokio::task::yield_now().await;
        }
    }
}

/// The outcome of the only request of a client connection.
struct ClientOutcome {
    id: u64,
    /// The time from SIGTERM until the request was sent.
    sent_after: Duration,
    /// None if the connection closed without a response.
    status: Option<u16>,
}

/// Sends a request on a connection at an instant; returns its outcome once the connection is closed.
async fn send_at(at: Instant, sigterm_at: Instant, connection: TcpStream, id: u64) -> ClientOutcome {
    sleep_until(at).await;
    let sent_after = Instant::now().saturating_duration_since(sigterm_at);
    ClientOutcome { id, sent_after, status: status_of_only_request(connection, id).await }
}

async fn status_of_only_request(mut connection: TcpStream, id: u64) -> Option<u16> {
    // The write fails on a closed connection; what was received before is read nevertheless.
    let _ = connection.write_all(request_text("once", id, 9000).as_bytes()).await;
    let mut response = Vec::new();
    let _ = timeout(Duration::from_secs(10), connection.read_to_end(&mut response)).await;
    let response = String::from_utf8(response).expect("valid UTF-8");
    response.split(' ').nth(1).and_then(|status| status.parse().ok())
}

async fn connect(address: SocketAddr) -> TcpStream {
    TcpStream::connect(address).await.expect("the scheduler accepts connections")
}

/// Shuts down a scheduler whose worker hangs, and checks the outcomes of three groups of requests: those sent
/// before SIGTERM, those on new connections after it, and those on idle connections until the SIGKILL.
async fn check_shutdown(deadline: Duration) {
    let worker = FakeServer::start().await;
    let mut scheduler =
        Scheduler::start_with(&[worker.address], |config| with_deadline(&config, deadline)).await;
    let received = ReceivedIds::of_hanging_worker(worker);
    let address = scheduler.address;
    let before = (0..3).map(|id| async move { status_of_only_request(connect(address).await, id).await });
    let before = tokio::spawn(join_all(before));
    received.wait_for(0).await;
    let mut idle = Vec::new();
    let idle_count = kill_time(deadline).as_millis() / REQUEST_INTERVAL.as_millis();
    for _ in 0..idle_count {
        idle.push(connect(address).await);
    }
    let sigterm_at = Instant::now();
    scheduler.terminate().await;
    let on_idle = idle.into_iter().zip(0..).map(|(connection, number)| {
        send_at(sigterm_at + REQUEST_INTERVAL * number, sigterm_at, connection, 1_000 + u64::from(number))
    });
    let late_count = (NEW_CONNECTIONS_UNTIL.as_millis() / REQUEST_INTERVAL.as_millis()) as u32;
    let on_new = (0..late_count).map(|number| async move {
        let at = sigterm_at + REQUEST_INTERVAL * number;
        sleep_until(at).await;
        send_at(at, sigterm_at, connect(address).await, 2_000 + u64::from(number)).await
    });
    let (on_idle, on_new, ()) = tokio::join!(
        join_all(on_idle),
        join_all(on_new),
        expect_exit_before_kill(&mut scheduler, sigterm_at, deadline)
    );
    let statuses = before.await.expect("the client tasks end");
    assert!(statuses.iter().all(Option::is_some), "{deadline:?}: {statuses:?}");
    let mut unanswered_on_new = on_new.iter().filter(|outcome| outcome.status.is_none());
    assert!(unanswered_on_new.next().is_none(), "{deadline:?}");
    // The last requests are sent while connections close: each is answered, or was never read.
    let answered_until = kill_time(deadline) - CLOSING_TIME;
    for ClientOutcome { id, sent_after, status } in &on_idle {
        let may_be_unread = *sent_after >= answered_until && !received.contains(*id);
        assert!(status.is_some() || may_be_unread, "{deadline:?}: {sent_after:?}");
    }
    scheduler.wait_for_log(r#""shut down","requests_left":0"#).await;
}

async fn expect_exit_before_kill(scheduler: &mut Scheduler, sigterm_at: Instant, deadline: Duration) {
    let exit = within("the exit", scheduler.child.wait()).await.expect("the process exits");
    let elapsed = sigterm_at.elapsed();
    assert!(exit.success() && elapsed < kill_time(deadline), "{deadline:?}: {elapsed:?}");
}

#[tokio::test]
async fn with_short_deadlines_every_request_is_answered_before_the_kill_although_workers_hang() {
    // The cases run in sequence: hundreds of connections at once would delay this test's own clock.
    for millis in [300, 400, 800, 1_500] {
        check_shutdown(Duration::from_millis(millis)).await;
    }
}

/// Shutdowns during which the event log's disk and the reader of the log hang, from before SIGTERM.
#[cfg(feature = "standalone")]
mod hanging_outputs {
    use std::fs::File;
    use std::io::Write;
    use std::os::unix::fs::OpenOptionsExt;

    use super::*;

    const O_NONBLOCK: i32 = 0o4000;

    /// A full pipe without a reader: each write to it blocks, as on a disk that hangs.
    struct FullPipe {
        path: std::path::PathBuf,
        /// Keeps the pipe open.
        _writer: File,
    }

    impl FullPipe {
        fn new(name: &str) -> FullPipe {
            let file_name = format!("copperspread-{}-{name}.pipe", std::process::id());
            let path = std::env::temp_dir().join(file_name);
            let _ = std::fs::remove_file(&path);
            assert!(std::process::Command::new("mkfifo").arg(&path).status().expect("mkfifo runs").success());
            let mut options = File::options();
            let mut writer =
                options.read(true).write(true).custom_flags(O_NONBLOCK).open(&path).expect("an open pipe");
            while writer.write(&[b'\n'; 4096]).is_ok() {}
            while writer.write(b"\n").is_ok() {}
            FullPipe { path, _writer: writer }
        }
    }

    impl Drop for FullPipe {
        fn drop(&mut self) {
            let _ = std::fs::remove_file(&self.path);
        }
    }

    /// Shuts down a scheduler whose event log and log hang, while one request hangs at its worker.
    async fn shut_down_with_hanging_outputs(deadline: Duration) {
        let worker = FakeServer::start().await;
        let pipe = FullPipe::new(&deadline.as_millis().to_string());
        let (at, file, millis) = (worker.address, pipe.path.display().to_string(), deadline.as_millis());
        let text = |listen| {
            format!(
                "[front.http]\nlisten = '{listen}'\n[records]\nfile = '{file}'\n\
                 [[source.workers]]\nid = 'r0'\naddress = '{at}'\n\
                 [[classes]]\nname = 'once'\naim = '{millis}ms'\ndeadline = '{millis}ms'\n"
            )
        };
        let mut scheduler = Scheduler::standalone(text, &[("RUST_LOG", "trace")]).await;
        let received = ReceivedIds::of_hanging_worker(worker);
        let address = scheduler.address;
        // Each request is rejected, as it has no time left; their log lines fill the pipe of the log.
        for id in 100..500 {
            assert_eq!(scheduler.client().await.exchange(&request_text("once", id, 0)).await.status(), 503);
        }
        let waiting = tokio::spawn(async move { status_of_only_request(connect(address).await, 1).await });
        received.wait_for(1).await;
        let sigterm_at = Instant::now();
        scheduler.terminate().await;
        expect_exit_before_kill(&mut scheduler, sigterm_at, deadline).await;
        assert_eq!(waiting.await.expect("the client task ends"), Some(500));
        let mut log_bytes = 0;
        while let Some(line) = scheduler.try_next_line().await {
            log_bytes += line.len();
        }
        assert!(log_bytes > 60_000, "the log's pipe was full: {log_bytes} bytes");
    }

    #[tokio::test]
    async fn a_scheduler_whose_event_log_and_log_hang_exits_before_the_kill() {
        join_all([300, 9_000].map(|millis| shut_down_with_hanging_outputs(Duration::from_millis(millis))))
            .await;
    }
}
