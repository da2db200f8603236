//! Starts and ends the schedulers' processes, and measures what they used of the machine.
use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Empty;
use hyper::{Request, StatusCode};
use hyper_util::client::legacy::{Client, connect::HttpConnector};
use hyper_util::rt::TokioExecutor;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use tokio::net::TcpSocket;
use tokio::process::{Child, Command};
use tokio::time::{Instant, sleep, timeout};

use crate::model::scheduler_id::SchedulerId;
use crate::policy::PolicyKind;
use crate::startup::CONFIG_VARIABLE;

/// How long a program may take until it reports that it is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// How often it is polled for that.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// How long a program may take to end after SIGTERM before it is killed: past the longest deadline.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(5);
/// The scheduler's own program, beside this one.
const SCHEDULER_PROGRAM: &str = "copperspread-scheduler";

/// Why a scheduler's process cannot run or does not run as it must.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum ProcessError {
    /// This program's own file cannot be found.
    #[error("this program's own file: {0}")]
    OwnFile(#[source] io::Error),
    /// The scheduler's program is not beside this one.
    #[error(
        "{} is not there: build it with `cargo build --release -p copperspread-scheduler`, or name one with --program",
        .0.display()
    )]
    NoSchedulerProgram(PathBuf),
    /// A configuration or log file cannot be written, or the program cannot be started or waited for.
    #[error("{}: {source}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// The address makes no valid request.
    #[error(transparent)]
    Request(#[from] hyper::http::Error),
    /// The program ended before it was ready.
    #[error("{}: ended with {status}; it said: {last_log_line}", program.display())]
    ExitedAtStart {
        /// The program.
        program: PathBuf,
        /// How it ended.
        status: ExitStatus,
        /// The last line of its log.
        last_log_line: String,
    },
    /// The program was not ready within the time-out.
    #[error("{}: was not ready in 10 s", .0.display())]
    NotReady(PathBuf),
    /// The program's state cannot be read.
    #[error(transparent)]
    Wait(io::Error),
    /// The program ended without having been told to, or with an error.
    #[error("a scheduler ended by itself with {status}; it said: {last_log_line}")]
    ExitedEarly {
        /// How it ended.
        status: ExitStatus,
        /// The last line of its log.
        last_log_line: String,
    },
    /// The program did not end on SIGTERM.
    #[error("a scheduler did not end on SIGTERM and was killed")]
    Killed,
}

/// What is started for each scheduler: a program with its arguments. It finds its configuration by
/// `EDGE_CONFIG`, as on the platform.
#[derive(Clone, Debug, PartialEq)]
pub struct SchedulerProgram {
    /// The file.
    pub file: PathBuf,
    /// Its arguments.
    pub arguments: Vec<String>,
}

impl SchedulerProgram {
    /// The program that dispatches by a policy: for the scheduler's own policy its own program, which lies
    /// beside this one; else this program, as a node with the policy.
    ///
    /// # Errors
    /// A program that is not there.
    pub fn for_policy(policy: PolicyKind) -> Result<SchedulerProgram, ProcessError> {
        let own_file = std::env::current_exe().map_err(ProcessError::OwnFile)?;
        if policy != PolicyKind::Copperspread {
            let arguments = ["node", "--policy", &policy.name()].map(str::to_owned).to_vec();
            return Ok(SchedulerProgram { file: own_file, arguments });
        }
        let file = own_file.with_file_name(SCHEDULER_PROGRAM);
        if !file.exists() {
            return Err(ProcessError::NoSchedulerProgram(file));
        }
        Ok(SchedulerProgram { file, arguments: vec!["serve".into()] })
    }
}

/// Reserves a loopback address: bound and not listening, so that the kernel gives it to nobody else,
/// while a listener that may share addresses, as Rust's do, can still take it.
///
/// # Errors
/// A socket that cannot be had.
pub fn reserve_address() -> io::Result<(TcpSocket, SocketAddr)> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
    let address = socket.local_addr()?;
    Ok((socket, address))
}

/// One scheduler's process. The child is killed when this is dropped.
pub struct SchedulerProcess {
    /// Where it listens.
    pub address: SocketAddr,
    program: SchedulerProgram,
    config_path: PathBuf,
    log_path: PathBuf,
    child: Option<Child>,
    /// It was told to end, and may.
    is_terminating: bool,
}

impl SchedulerProcess {
    /// Writes its configuration to a folder; it does not run yet.
    ///
    /// # Errors
    /// A file that cannot be written.
    pub fn new(
        program: &SchedulerProgram,
        folder: &Path,
        id: SchedulerId,
        address: SocketAddr,
        config: &Value,
    ) -> Result<SchedulerProcess, ProcessError> {
        let config_path = folder.join(format!("scheduler-{}.json", id.0));
        if let Err(source) = std::fs::write(&config_path, config.to_string()) {
            return Err(ProcessError::File { path: config_path, source });
        }
        let log_path = folder.join(format!("scheduler-{}.log", id.0));
        let program = program.clone();
        Ok(SchedulerProcess { address, program, config_path, log_path, child: None, is_terminating: false })
    }

    /// Starts it and waits until it reports that it is ready.
    ///
    /// # Errors
    /// A program that cannot be started, ends, or does not get ready in time.
    pub async fn start(&mut self) -> Result<(), ProcessError> {
        let mut child = self.spawn()?;
        self.wait_until_ready(&mut child).await?;
        (self.child, self.is_terminating) = (Some(child), false);
        Ok(())
    }

    /// Starts the program, with its log appended to the same file at each start.
    fn spawn(&self) -> Result<Child, ProcessError> {
        let log = File::options().create(true).append(true).open(&self.log_path);
        let log = log.map_err(|source| ProcessError::File { path: self.log_path.clone(), source })?;
        let mut command = Command::new(&self.program.file);
        command.args(&self.program.arguments).env(CONFIG_VARIABLE, &self.config_path);
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).kill_on_drop(true);
        command.spawn().map_err(|source| self.program_error(source))
    }

    async fn wait_until_ready(&self, child: &mut Child) -> Result<(), ProcessError> {
        let client: Client<_, Empty<Bytes>> =
            Client::builder(TokioExecutor::new()).pool_max_idle_per_host(0).build(HttpConnector::new());
        let deadline = Instant::now() + READY_TIMEOUT;
        loop {
            let request = Request::get(format!("http://{}/-/ready", self.address)).body(Empty::new())?;
            let response = client.request(request).await;
            if response.is_ok_and(|response| response.status() == StatusCode::OK) {
                return Ok(());
            }
            if let Some(status) = child.try_wait().map_err(|source| self.program_error(source))? {
                let (program, last_log_line) = (self.program.file.clone(), self.last_log_line());
                return Err(ProcessError::ExitedAtStart { program, status, last_log_line });
            }
            if Instant::now() > deadline {
                return Err(ProcessError::NotReady(self.program.file.clone()));
            }
            sleep(READY_POLL_INTERVAL).await;
        }
    }

    fn program_error(&self, source: io::Error) -> ProcessError {
        ProcessError::File { path: self.program.file.clone(), source }
    }

    fn last_log_line(&self) -> String {
        let log = std::fs::read_to_string(&self.log_path).unwrap_or_default();
        log.lines().last().unwrap_or_default().to_owned()
    }

    /// The process's id while it runs.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().and_then(Child::id)
    }

    /// Kills it, as a crash does, and waits for its end.
    pub async fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill().await;
        }
    }

    /// Checks that it did not end by itself.
    ///
    /// # Errors
    /// It did; or its state cannot be read.
    pub fn check_running(&mut self) -> Result<(), ProcessError> {
        let exit_status = match &mut self.child {
            Some(child) => child.try_wait().map_err(ProcessError::Wait)?,
            None => None,
        };
        match exit_status {
            Some(status) if !(self.is_terminating && status.success()) => {
                Err(ProcessError::ExitedEarly { status, last_log_line: self.last_log_line() })
            }
            _ => Ok(()),
        }
    }

    /// Sends it SIGTERM, on which it finishes the requests that it has and ends.
    pub fn terminate(&mut self) {
        self.is_terminating = true;
        if let Some(pid) = self.pid().and_then(|id| Pid::from_raw(id as i32)) {
            let _ = kill_process(pid, Signal::TERM);
        }
    }

    /// Ends it by SIGTERM, or where that does not help by a kill, and waits for its end.
    ///
    /// # Errors
    /// A program that had to be killed.
    pub async fn stop(&mut self) -> Result<(), ProcessError> {
        self.terminate();
        let Some(mut child) = self.child.take() else { return Ok(()) };
        if timeout(SHUTDOWN_TIMEOUT, child.wait()).await.is_err() {
            let _ = child.kill().await;
            return Err(ProcessError::Killed);
        }
        Ok(())
    }
}

/// Processor time that a process has used, user and system.
pub fn cpu_time(pid: u32) -> Option<Duration> {
    let stat = procfs::process::Process::new(pid as i32).ok()?.stat().ok()?;
    Some(Duration::from_secs_f64((stat.utime + stat.stime) as f64 / procfs::ticks_per_second() as f64))
}

/// Memory that a process holds, in bytes.
pub fn resident_memory_bytes(pid: u32) -> Option<u64> {
    let status = procfs::process::Process::new(pid as i32).ok()?.status().ok()?;
    status.vmrss.map(|kibibytes| kibibytes * 1024)
}
