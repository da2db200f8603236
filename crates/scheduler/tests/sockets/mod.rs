//! A scheduler under test, with fakes on real sockets for every server and client that it talks to. The test
//! receives each request to a fake server as an event and responds to it.
#![allow(dead_code)]
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::time::Duration;

use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader, Lines};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::process::{Child, ChildStderr, Command};
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

/// The longest wait for any event; the test fails when it runs out.
const MAX_WAIT: Duration = Duration::from_secs(60);

pub(crate) const READINESS_REQUEST: &str = "GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n";
/// More connections than the runtime reports at one poll for events. A scheduler accepts this many only if
/// its configuration allows more descriptors than [`config`] does.
const MANY_CONNECTIONS: usize = 1_300;

/// Waits for an event; panics with its name `what` after [`MAX_WAIT`].
pub(crate) async fn within<T>(what: &str, event: impl Future<Output = T>) -> T {
    timeout(MAX_WAIT, event).await.unwrap_or_else(|_| panic!("{what}: timed out after {MAX_WAIT:?}"))
}

/// An HTTP message: its first line, headers by lower-case name, and body.
#[derive(Debug)]
pub(crate) struct Message {
    pub first_line: String,
    pub headers: HashMap<String, String>,
    pub body: String,
}

impl Message {
    pub(crate) fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|code| code.parse().ok()).expect("a status")
    }
}

/// Reads an HTTP message; `None` if the connection ended.
pub(crate) async fn read(stream: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut first = String::new();
    stream.read_line(&mut first).await.ok().filter(|&n| n > 0)?;
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        stream.read_line(&mut line).await.ok().filter(|&n| n > 0)?;
        // A line without a line break is the last before the end of the connection: the head is incomplete.
        line.ends_with('\n').then_some(())?;
        let Some((name, value)) = line.split_once(':') else { break };
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    let length = headers.get("content-length").map_or(0, |length| length.parse().expect("a length"));
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.ok()?;
    Some(Message {
        first_line: first.trim().to_owned(),
        headers,
        body: String::from_utf8(body).expect("UTF-8"),
    })
}

/// Reads the next request on a connection that a test handles itself; `None` if the connection ended.
pub(crate) async fn next_message(connection: &mut BufReader<TcpStream>) -> Option<Message> {
    within("a request or the connection's end", read(connection)).await
}

/// The bytes of the next HTTP message; `None` if the connection ended.
async fn read_bytes(stream: &mut BufReader<TcpStream>) -> Option<Vec<u8>> {
    let mut message = Vec::new();
    let mut length = 0;
    loop {
        let start = message.len();
        stream.read_until(b'\n', &mut message).await.ok().filter(|&n| n > 0)?;
        let line = String::from_utf8_lossy(&message[start..]).to_ascii_lowercase();
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().expect("a length");
        }
        if line.trim().is_empty() {
            break;
        }
    }
    let head = message.len();
    message.resize(head + length, 0);
    stream.read_exact(&mut message[head..]).await.ok()?;
    Some(message)
}

/// A server that responds to each request at once and records the bytes of the request.
pub(crate) struct RecordingServer {
    pub address: SocketAddr,
    requests: mpsc::UnboundedReceiver<Vec<u8>>,
}

impl RecordingServer {
    /// Starts a server whose response is a function of the request line; an empty response closes the
    /// connection.
    pub(crate) async fn start(response: fn(&str) -> String) -> RecordingServer {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a local address");
        let (sender, requests) = mpsc::unbounded_channel();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let sender = sender.clone();
                tokio::spawn(async move {
                    let mut stream = BufReader::new(stream);
                    while let Some(request) = read_bytes(&mut stream).await {
                        let response =
                            response(String::from_utf8_lossy(&request).lines().next().unwrap_or(""));
                        if sender.send(request).is_err() || response.is_empty() {
                            return;
                        }
                        let _ = stream.write_all(response.as_bytes()).await;
                    }
                });
            }
        });
        RecordingServer { address, requests }
    }
    /// Returns the exact bytes of the next request.
    pub(crate) async fn next_request(&mut self) -> String {
        let request = within("a request", self.requests.recv()).await.expect("the server runs");
        String::from_utf8(request).expect("UTF-8")
    }
}

/// A request that a fake server received and has not responded to. Dropping it closes its connection.
pub(crate) struct ReceivedRequest {
    pub message: Message,
    /// The scheduler's address on the connection.
    pub peer: SocketAddr,
    reply: oneshot::Sender<String>,
}

impl ReceivedRequest {
    pub(crate) fn respond(self, status: &str, headers: &str, body: &str) {
        let length = body.len();
        let text = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}");
        let _ = self.reply.send(text);
    }
    /// Waits until the scheduler has closed the connection.
    pub(crate) async fn wait_until_closed(mut self) {
        within("the end of a connection", self.reply.closed()).await;
    }
    /// Responds with 202, as a worker that accepts the request; returns the request's id.
    pub(crate) fn accept(self) -> String {
        let id = self.message.headers["x-request-id"].clone();
        self.respond("202 Accepted", "", "");
        id
    }
}

/// A fake of discovery or of a worker, which hands each request to the test.
pub(crate) struct FakeServer {
    pub address: SocketAddr,
    requests: mpsc::UnboundedReceiver<ReceivedRequest>,
}

impl FakeServer {
    pub(crate) async fn start() -> FakeServer {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a local address");
        let (events, requests) = mpsc::unbounded_channel();
        tokio::spawn(async move {
            while let Ok((stream, from)) = listener.accept().await {
                let events = events.clone();
                tokio::spawn(async move {
                    let mut stream = BufReader::new(stream);
                    while let Some(message) = read(&mut stream).await {
                        let (reply, response) = oneshot::channel();
                        if events.send(ReceivedRequest { message, peer: from, reply }).is_err() {
                            return;
                        }
                        let response = tokio::select! {
                            response = response => response,
                            // The scheduler sends nothing before it has the response, so this is the end of
                            // the connection.
                            _ = stream.fill_buf() => return,
                        };
                        let Ok(response) = response else { return };
                        let _ = stream.write_all(response.as_bytes()).await;
                    }
                });
            }
        });
        FakeServer { address, requests }
    }
    pub(crate) async fn next_request(&mut self) -> ReceivedRequest {
        within("a request", self.requests.recv()).await.expect("the server runs")
    }
    pub(crate) fn is_idle(&mut self) -> bool {
        self.requests.try_recv().is_err()
    }
}

/// A client's connection.
pub(crate) struct Client(BufReader<TcpStream>);

impl From<TcpStream> for Client {
    fn from(stream: TcpStream) -> Client {
        Client(BufReader::new(stream))
    }
}

impl Client {
    pub(crate) async fn connect(address: SocketAddr) -> Client {
        Client(BufReader::new(TcpStream::connect(address).await.expect("a listening socket")))
    }
    /// Disconnects in one of these ways: `close`, `half-close` or `reset`. Returns the client after a
    /// `half-close`, to keep the connection open in the other direction.
    pub(crate) async fn leave(mut self, how: &str) -> Option<Client> {
        match how {
            "half-close" => {
                self.0.get_mut().shutdown().await.expect("the connection is open");
                return Some(self);
            }
            "reset" => self.0.get_ref().set_zero_linger().expect("the socket option is set"),
            _ => {}
        }
        None
    }
    pub(crate) fn local_address(&self) -> SocketAddr {
        self.0.get_ref().local_addr().expect("a local address")
    }
    pub(crate) async fn send(&mut self, text: &str) {
        self.0.write_all(text.as_bytes()).await.expect("the connection is open");
    }
    pub(crate) async fn next_response(&mut self) -> Option<Message> {
        within("a response", self.try_next_response()).await
    }
    /// Returns the next response, without a limit on the wait; `None` if the connection ended.
    pub(crate) async fn try_next_response(&mut self) -> Option<Message> {
        read(&mut self.0).await
    }
    pub(crate) async fn exchange(&mut self, text: &str) -> Message {
        self.send(text).await;
        self.next_response().await.expect("a response")
    }
    /// Returns the exact bytes of the next response.
    pub(crate) async fn next_response_bytes(&mut self) -> String {
        let response = within("a response", read_bytes(&mut self.0)).await.expect("a response");
        String::from_utf8(response).expect("UTF-8")
    }
    pub(crate) async fn exchange_bytes(&mut self, text: &str) -> String {
        self.send(text).await;
        self.next_response_bytes().await
    }
    pub(crate) async fn send_request(&mut self, class: &str, id: u64, millis: u64) {
        self.send(&request_text(class, id, millis)).await;
    }
    /// Asserts that the request is served with `Connection: close`, and that the connection then closes
    /// without a reset.
    pub(crate) async fn expect_served_and_closed(&mut self) {
        let response = self.next_response().await.expect("a response");
        assert_eq!((response.status(), response.headers["connection"].as_str()), (200, "close"));
        assert!(self.closes_cleanly().await, "unread bytes cause no reset");
    }
    /// Waits for the end of the connection; returns whether it was a close, not a reset, with no more bytes
    /// before it.
    pub(crate) async fn closes_cleanly(&mut self) -> bool {
        let mut rest = Vec::new();
        within("the end of the connection", self.0.read_to_end(&mut rest)).await.is_ok() && rest.is_empty()
    }
}

/// The ways of disconnecting that [`Client::leave`] has.
pub(crate) const WAYS_TO_LEAVE: [&str; 3] = ["close", "half-close", "reset"];

pub(crate) fn request_text(class: &str, id: u64, millis: u64) -> String {
    let head = format!("POST /{class}/k?q=1 HTTP/1.1\r\nHost: s\r\nX-Request-ID: {id:016x}\r\n");
    head + &format!(
        "X-Timeout: {millis}m\r\nIdempotency-Key: k7\r\nX-Cost: 1000\r\nContent-Length: 2\r\n\r\nhi"
    )
}

/// The folder for configuration files, which is in memory if the machine has such a file system. On a disk
/// that is busy with a build a rename can take most of a second, longer than the scheduler waits for a file
/// to settle.
pub(crate) fn configuration_folder() -> std::path::PathBuf {
    let memory = std::path::PathBuf::from("/dev/shm");
    if memory.is_dir() { memory } else { std::env::temp_dir() }
}

/// One endpoint of an endpoint list, in discovery's form.
pub(crate) fn endpoint(id: &str, address: SocketAddr, phase: &str) -> String {
    let place = r#""locality":"a","flavor":"m","cell":0,"size":1.0,"up_since_ms":0"#;
    format!(r#"{{"id":"{id}","host_port":"{address}","phase":"{phase}",{place}}}"#)
}

pub(crate) fn endpoint_list(revision: u64, complete: bool, members: &[String]) -> String {
    let members = members.join(",");
    format!(r#"{{"revision":{revision},"complete":{complete},"members":[{members}]}}"#)
}

const SETTINGS: &str = r#"{"fleet_size":1,"zone":0,"zones":["a"],"kinds":["m"],"unknown":[1],
 "classes":[{"name":"safe","aim_s":9,"deadline_s":9,"importance":1,"semantics":"pure"},
            {"name":"keyed","aim_s":9,"deadline_s":9,"importance":1,"semantics":"token","key_scope":"cell","window_s":9},
            {"name":"once","aim_s":9,"deadline_s":9,"importance":1,"semantics":"side_effect"}],
 "discovery":"pushed","family_info":{"class_stretch":[2,2,2],"tells_start":true},
 "permissions":{"send_cap":4,"second_copies":true,"may_cancel":true,"connect_timeout_s":0.25,"keepalive_s":5,
                "max_retry_after_s":2},
 "safety":{"cold_from":0.3,"cold_s":9,"fall_multiple":2.5,"fall_s":3}}"#;

pub(crate) fn config(listen: SocketAddr, discovery: SocketAddr, known: &str) -> String {
    let limits = r#""limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"seed":"8c1f30d27a5be964""#;
    format!(
        r#"{{"name":"n","listen":"{listen}","discovery":"{discovery}",{limits},"known":{known},"settings":{SETTINGS}}}"#
    )
}

/// Reserves an address by a socket that is bound and does not listen. The kernel assigns the port to no other
/// process, and the scheduler, whose listener sets `SO_REUSEADDR`, can still bind it.
pub(crate) fn reserve_address() -> (TcpSocket, SocketAddr) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_reuseaddr(true).expect("the socket option is set");
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a free port");
    let address = socket.local_addr().expect("a local address");
    (socket, address)
}

/// A running scheduler, and the fake discovery that it watches.
pub(crate) struct Scheduler {
    pub address: SocketAddr,
    pub discovery: FakeServer,
    pub child: Child,
    /// The configuration file, deleted when the value is dropped.
    pub path: PathBuf,
    log: Lines<BufReader<ChildStderr>>,
    /// Reserves the address.
    _reserved: TcpSocket,
}

impl Drop for Scheduler {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
    }
}

impl Scheduler {
    /// Starts a scheduler whose cached list has these workers, named r0, r1, ...
    pub(crate) async fn start(cached: &[SocketAddr]) -> Scheduler {
        Scheduler::start_by_command("exec \"$PROGRAM\"", 1024, cached).await
    }
    /// Starts a standalone scheduler by a configuration file whose text is a function of its address.
    pub(crate) async fn standalone(
        text: impl Fn(SocketAddr) -> String,
        variables: &[(&str, &str)],
    ) -> Scheduler {
        Scheduler::standalone_with(&[], text, variables).await
    }
    pub(crate) async fn standalone_with(
        flags: &[&str],
        text: impl Fn(SocketAddr) -> String,
        variables: &[(&str, &str)],
    ) -> Scheduler {
        let (reserved, address) = reserve_address();
        let path = configuration_folder().join(format!("copperspread-{}.toml", address.port()));
        std::fs::write(&path, text(address)).expect("the configuration file is written");
        let mut command = Command::new(env!("CARGO_BIN_EXE_copperspread-scheduler"));
        command.args(["serve", "--config"]).arg(&path).args(flags).envs(variables.iter().copied());
        command.env_remove("EDGE_CONFIG");
        Scheduler::run(command, reserved, FakeServer::start().await, path).await
    }
    /// Starts a scheduler by a shell command, with this number of descriptors in its configuration.
    pub(crate) async fn start_by_command(
        command: &str,
        descriptors: u32,
        cached: &[SocketAddr],
    ) -> Scheduler {
        let set_descriptors =
            move |config: String| config.replace("\"sockets\":1024", &format!("\"sockets\":{descriptors}"));
        Scheduler::start_edited(command, cached, set_descriptors).await
    }
    /// Starts a scheduler with a changed configuration.
    pub(crate) async fn start_with(cached: &[SocketAddr], edit: impl Fn(String) -> String) -> Scheduler {
        Scheduler::start_edited("exec \"$PROGRAM\"", cached, edit).await
    }
    /// Starts a scheduler by a shell command, with a changed configuration.
    pub(crate) async fn start_edited(
        command: &str,
        cached: &[SocketAddr],
        edit: impl Fn(String) -> String,
    ) -> Scheduler {
        let discovery = FakeServer::start().await;
        let (reserved, address) = reserve_address();
        let members: Vec<_> = cached.iter().enumerate().collect();
        let members: Vec<_> =
            members.iter().map(|(i, at)| endpoint(&format!("r{i}"), **at, "SERVING")).collect();
        let content = edit(config(address, discovery.address, &endpoint_list(5, true, &members)));
        let path = configuration_folder().join(format!("copperspread-{}.json", address.port()));
        std::fs::write(&path, content).expect("the configuration file is written");
        let mut start = Command::new("sh");
        start
            .args(["-c", command])
            .env("PROGRAM", env!("CARGO_BIN_EXE_copperspread-scheduler"))
            .env("EDGE_CONFIG", &path);
        Scheduler::run(start, reserved, discovery, path).await
    }
    async fn run(
        mut command: Command,
        reserved: TcpSocket,
        discovery: FakeServer,
        path: PathBuf,
    ) -> Scheduler {
        let address = reserved.local_addr().expect("a local address");
        let mut child =
            command.stderr(Stdio::piped()).kill_on_drop(true).spawn().expect("the program starts");
        let mut log = BufReader::new(child.stderr.take().expect("standard error is piped")).lines();
        loop {
            let line = within("the start of the scheduler", log.next_line())
                .await
                .expect("the log is readable")
                .expect("a log line before the end of the log");
            if line.contains("scheduler is serving") {
                return Scheduler { address, discovery, child, path, log, _reserved: reserved };
            }
        }
    }
    /// Opens [`MANY_CONNECTIONS`] connections that send nothing.
    pub(crate) async fn crowd(&self) -> Vec<Client> {
        let mut crowd = Vec::new();
        for number in 0..MANY_CONNECTIONS {
            crowd.push(self.client().await);
            // The accept queue is short: a connection that finds it full is established a second later.
            if number % 50 == 49 {
                assert_eq!(self.client().await.exchange(READINESS_REQUEST).await.status(), 200);
            }
        }
        crowd
    }
    pub(crate) async fn client(&self) -> Client {
        Client::connect(self.address).await
    }
    /// Sends a callback with these further fields; returns the response's status.
    pub(crate) async fn call_back(&self, id: &str, worker_id: &str, fields: &str) -> u16 {
        self.post_callback(&format!(r#"{{"id":"{id}","from":"{worker_id}",{fields}}}"#)).await
    }
    pub(crate) async fn post_callback(&self, body: &str) -> u16 {
        let length = body.len();
        let text = format!("POST /_jobs/news HTTP/1.1\r\nHost: s\r\nContent-Length: {length}\r\n\r\n{body}");
        self.client().await.exchange(&text).await.status()
    }
    /// Sends a request of the class `once`, and serves it as the worker r0 with the fields `done` in the
    /// callback.
    pub(crate) async fn serve_request(
        &self,
        client: &mut Client,
        worker: &mut FakeServer,
        number: u64,
        done: &str,
    ) {
        client.send_request("once", number, 9000).await;
        let id = worker.next_request().await.accept();
        assert_eq!(self.call_back(&id, "r0", done).await, 204);
        assert_eq!(client.next_response().await.expect("a response").status(), 200);
    }
    pub(crate) async fn terminate(&self) {
        self.signal("TERM").await;
    }
    /// Waits for a log line that contains this text.
    pub(crate) async fn wait_for_log(&mut self, part: &str) {
        while !self.next_line().await.contains(part) {}
    }
    /// Replaces the configuration and sends SIGHUP; returns the log lines up to the one that tells whether it
    /// was applied.
    pub(crate) async fn reload(&mut self, content: &str) -> Vec<String> {
        std::fs::write(&self.path, content).expect("the configuration file is written");
        self.signal("HUP").await;
        self.lines_until_configuration().await
    }
    /// Returns the log lines up to the next one that tells whether a configuration was applied.
    pub(crate) async fn lines_until_configuration(&mut self) -> Vec<String> {
        let mut lines = Vec::new();
        while lines.last().is_none_or(|line: &String| !line.contains("configuration")) {
            lines.push(self.next_line().await);
        }
        lines
    }
    /// Returns the next log line.
    pub(crate) async fn next_line(&mut self) -> String {
        self.try_next_line().await.expect("a log line before the end of the log")
    }
    /// Returns the next log line, or `None` once the log has ended.
    pub(crate) async fn try_next_line(&mut self) -> Option<String> {
        within("a log line", self.log.next_line()).await.expect("the log is readable")
    }
    pub(crate) async fn signal(&self, name: &str) {
        self.signals(&[name]).await;
    }
    /// Sends several signals, one right after the other.
    pub(crate) async fn signals(&self, names: &[&str]) {
        let pid = self.child.id().expect("the program runs");
        let kill: Vec<_> = names.iter().map(|name| format!("kill -{name} {pid}")).collect();
        let kill = kill.join(" && ");
        assert!(Command::new("sh").args(["-c", &kill]).status().await.expect("the shell runs").success());
    }
}

impl Scheduler {
    /// Ends the scheduler by a signal and starts it again, with the same address and configuration file.
    pub(crate) async fn restart(&mut self, signal: &str) {
        self.end(signal).await;
        self.start_again().await;
    }
    pub(crate) async fn end(&mut self, signal: &str) {
        self.signal(signal).await;
        within("the exit of the scheduler", self.child.wait()).await.expect("the scheduler exits");
    }
    pub(crate) async fn start_again(&mut self) {
        let mut start = Command::new(env!("CARGO_BIN_EXE_copperspread-scheduler"));
        start.env("EDGE_CONFIG", &self.path).stderr(Stdio::piped()).kill_on_drop(true);
        self.child = start.spawn().expect("the program starts");
        self.log = BufReader::new(self.child.stderr.take().expect("standard error is piped")).lines();
        while !self.next_line().await.contains("scheduler is serving") {}
    }
}
