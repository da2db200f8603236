//! Starts and stops scheduler processes, and measures their CPU time and memory.
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

/// Time within which a started scheduler must report that it is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval at which a started scheduler is asked whether it is ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time within which a scheduler must exit after SIGTERM; a process that still runs then is killed.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(5);
/// File name of the scheduler program, which must be in the same directory as the testbed program.
const SCHEDULER_PROGRAM: &str = "copperspread-scheduler";

/// Errors in starting, watching or stopping a scheduler process.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum ProcessError {
    /// The path of the running testbed program cannot be determined.
    #[error("cannot determine the path of this program: {0}")]
    OwnFile(#[source] io::Error),
    /// The scheduler program is not in the same directory as the testbed program. The value is the path at
    /// which the scheduler program was expected.
    #[error(
        "{} does not exist: build it with `cargo build --release -p copperspread-scheduler`, or name one with --program",
        .0.display()
    )]
    NoSchedulerProgram(PathBuf),
    /// A scheduler's configuration file or log file cannot be written, or the scheduler program cannot be
    /// started or waited for.
    #[error("{}: {source}", path.display())]
    File {
        /// Path of the configuration file, log file or scheduler program with which the operation failed.
        path: PathBuf,
        /// The I/O error of the operation that failed.
        source: io::Error,
    },
    /// The HTTP request that asks a scheduler whether it is ready cannot be built from the scheduler's
    /// address.
    #[error(transparent)]
    Request(#[from] hyper::http::Error),
    /// The scheduler program exited before it reported that it was ready.
    #[error("{}: exited before it was ready, with {status}; last log line: {last_log_line}", program.display())]
    ExitedAtStart {
        /// Path of the scheduler program that exited.
        program: PathBuf,
        /// Exit status with which the scheduler process ended.
        status: ExitStatus,
        /// Last line that the scheduler program wrote to its log, for the error message.
        last_log_line: String,
    },
    /// A started scheduler program did not report within 10 s that it was ready. The value is the path of the
    /// program.
    #[error("{}: not ready within 10 s", .0.display())]
    NotReady(PathBuf),
    /// The exit status of a scheduler process cannot be read from the operating system.
    #[error(transparent)]
    Wait(io::Error),
    /// A scheduler process exited although no SIGTERM was sent to it, or exited with an error status.
    #[error("a scheduler exited unexpectedly with {status}; last log line: {last_log_line}")]
    ExitedEarly {
        /// Exit status with which the scheduler process ended.
        status: ExitStatus,
        /// Last line that the scheduler program wrote to its log, for the error message.
        last_log_line: String,
    },
    /// A scheduler process did not exit within 5 s after SIGTERM, so it was killed.
    #[error("a scheduler did not exit on SIGTERM and was killed")]
    Killed,
}

/// The program that is started for each scheduler, with its arguments. The environment variable `EDGE_CONFIG`
/// gives the started process the path of its configuration file. The hosting platform, which starts the
/// schedulers in production, does the same.
#[derive(Clone, Debug, PartialEq)]
pub struct SchedulerProgram {
    /// Path of the scheduler program's executable file.
    pub file: PathBuf,
    /// Command-line arguments with which the program is started.
    pub arguments: Vec<String>,
}

impl SchedulerProgram {
    /// Returns the program of a scheduler with this dispatch policy. For [`PolicyKind::Copperspread`], the
    /// program is `copperspread-scheduler`. For any other policy, it is the `node` command of the testbed
    /// program.
    ///
    /// # Errors
    /// Fails if the program does not exist or its path cannot be determined.
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

/// Reserves a loopback address with a socket that is bound but not listening.
///
/// While the socket is open, the kernel assigns the address to no other socket. A listener can still bind the
/// address if it sets `SO_REUSEADDR`, as the listeners of Rust's libraries do.
///
/// # Errors
/// Fails if the socket cannot be created or bound.
pub fn reserve_address() -> io::Result<(TcpSocket, SocketAddr)> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
    let address = socket.local_addr()?;
    Ok((socket, address))
}

/// A scheduler's process. Dropping this handle kills the process.
pub struct SchedulerProcess {
    /// Address at which the scheduler listens.
    pub address: SocketAddr,
    program: SchedulerProgram,
    config_path: PathBuf,
    log_path: PathBuf,
    child: Option<Child>,
    /// Whether SIGTERM was sent to the process. The exit of the process is then expected.
    is_terminating: bool,
}

impl SchedulerProcess {
    /// Writes the scheduler's configuration to `folder`, without starting the process.
    ///
    /// # Errors
    /// Fails if the configuration file cannot be written.
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

    /// Starts the scheduler process and waits until the scheduler reports that it is ready.
    ///
    /// # Errors
    /// Fails if the program cannot be started, exits, or is not ready in time.
    pub async fn start(&mut self) -> Result<(), ProcessError> {
        let mut child = self.spawn()?;
        self.wait_until_ready(&mut child).await?;
        (self.child, self.is_terminating) = (Some(child), false);
        Ok(())
    }

    /// Starts the scheduler program as a process whose standard error is appended to the log file.
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

    /// The operating system's id of the scheduler process; `None` if the process is not running.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().and_then(Child::id)
    }

    /// Kills the process, to simulate a crash, and waits until it has ended.
    pub async fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill().await;
        }
    }

    /// Checks that the scheduler process has not exited unexpectedly.
    ///
    /// # Errors
    /// Fails if the process has exited unexpectedly, or if its state cannot be read.
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

    /// Sends SIGTERM to the scheduler process. The scheduler then finishes its accepted requests and exits.
    pub fn terminate(&mut self) {
        self.is_terminating = true;
        if let Some(pid) = self.pid().and_then(|id| Pid::from_raw(id as i32)) {
            let _ = kill_process(pid, Signal::TERM);
        }
    }

    /// Sends SIGTERM to the scheduler process and waits until the process has ended. After a timeout, the
    /// process is killed.
    ///
    /// # Errors
    /// Fails if the process had to be killed.
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

/// Processor time (user and system) that a process has used; `None` if it cannot be read.
pub fn cpu_time(pid: u32) -> Option<Duration> {
    let stat = procfs::process::Process::new(pid as i32).ok()?.stat().ok()?;
    Some(Duration::from_secs_f64((stat.utime + stat.stime) as f64 / procfs::ticks_per_second() as f64))
}

/// Resident memory of a process, in bytes; `None` if it cannot be read.
pub fn resident_memory_bytes(pid: u32) -> Option<u64> {
    let status = procfs::process::Process::new(pid as i32).ok()?.status().ok()?;
    status.vmrss.map(|kibibytes| kibibytes * 1024)
}
