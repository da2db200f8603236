//! Tests of the program without a platform, over sockets: configuration reloads, the log and the toy worker.
#![cfg(feature = "standalone")]
mod sockets;
use std::net::SocketAddr;
use std::time::Duration;

use sockets::{FakeServer, Scheduler, reserve_address};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// The fields of a callback that reports a completed request.
const DONE: &str = r#""state":"done","result":"paid""#;

/// Returns a configuration whose static list has the workers r0, r1, ... in this order.
fn config_with_workers(listen: SocketAddr, workers: &[(&str, SocketAddr)]) -> String {
    let mut text = format!("name = 'alone'\n[front.http]\nlisten = '{listen}'\n");
    for (number, (state, address)) in workers.iter().enumerate() {
        text += &format!("[[source.workers]]\nid = 'r{number}'\naddress = '{address}'\nstate = '{state}'\n");
    }
    text + "[[classes]]\nname = 'once'\naim = '9s'\n"
}

#[tokio::test]
async fn sighup_applies_a_changed_static_list_and_rejects_invalid_files() {
    let (mut worker_a, mut worker_b) = (FakeServer::start().await, FakeServer::start().await);
    let worker_addresses = [worker_a.address, worker_b.address];
    let mut scheduler =
        Scheduler::standalone(|listen| config_with_workers(listen, &[("serving", worker_addresses[0])]), &[])
            .await;
    let mut client = scheduler.client().await;
    client.send_request("once", 1, 9000).await;
    let id = worker_a.next_request().await.accept();
    let changed = config_with_workers(
        scheduler.address,
        &[("draining", worker_addresses[0]), ("serving", worker_addresses[1])],
    );
    let lines = scheduler.reload(&changed).await;
    assert!(lines[0].contains(r#""discovery_changed":true"#), "{lines:?}");
    // A request accepted before completes at its worker; later ones are sent to the other worker.
    assert_eq!(scheduler.call_back(&id, "r0", DONE).await, 204);
    assert_eq!(client.next_response().await.expect("a final response").body, "paid");
    for number in 2..5 {
        client.send_request("once", number, 9000).await;
        let id = worker_b.next_request().await.accept();
        scheduler.call_back(&id, "r1", DONE).await;
        assert_eq!(client.next_response().await.expect("a final response").status(), 200);
    }
    assert!(worker_a.is_idle());
    // Invalid by itself, invalid together with another value, empty: each leaves the list unchanged.
    for invalid in
        [changed.replace("9s", "9 sheep"), changed.replace("aim = '9s'", "aim = '99s'"), String::new()]
    {
        let lines = scheduler.reload(&invalid).await;
        assert!(lines[0].contains("the old configuration stays"), "{lines:?}");
    }
    client.send_request("once", 9, 9000).await;
    worker_b.next_request().await.accept();
    // Settings that take effect only with a restart are named, wherever they are in the file.
    let restart_only =
        "[log]\nformat = 'text'\n[records]\nkeep = 9\nfile = 'r'\n[limits]\ndescriptors = 300\n";
    let lines = scheduler.reload(&changed.replace("[front", &format!("{restart_only}[front"))).await;
    assert!(lines[0].contains(r#"only with a restart","parts":"limits, log.format, records""#), "{lines:?}");
}

// A file may be partly written when SIGHUP arrives: here its first half is a valid configuration by itself,
// which lacks the only serving worker.
#[tokio::test]
async fn a_reload_waits_until_its_file_no_longer_changes() {
    for _ in 0..5 {
        if reload_while_the_file_is_written().await {
            return;
        }
    }
    panic!("in all five trials, this machine wrote the file too slowly");
}

/// Returns false if the disk was so slow that the half-written file stayed unchanged for as long as a reload
/// waits.
async fn reload_while_the_file_is_written() -> bool {
    let (worker_a, mut worker_b) = (FakeServer::start().await, FakeServer::start().await);
    let worker_addresses = [worker_a.address, worker_b.address];
    let mut scheduler =
        Scheduler::standalone(|listen| config_with_workers(listen, &[("serving", worker_addresses[0])]), &[])
            .await;
    let complete_config = config_with_workers(
        scheduler.address,
        &[("draining", worker_addresses[0]), ("serving", worker_addresses[1])],
    );
    let half_length = complete_config.find("[[source.workers]]\nid = 'r1'").expect("a second worker");
    // Changes the content continuously for 300 ms, several times as long as a reload waits for a stable file
    // (50 ms). Each change is a rename, so that each content is read completely or not at all.
    let (draft, began) = (scheduler.path.with_extension("draft"), std::time::Instant::now());
    let replace_file = |text: &str| {
        std::fs::write(&draft, text).expect("the draft is written");
        std::fs::rename(&draft, &scheduler.path).expect("the draft replaces the file");
    };
    replace_file(&complete_config[..half_length]);
    scheduler.signal("HUP").await;
    let (mut version, mut last_change, mut longest_pause) = (0, began, 0);
    while began.elapsed().as_millis() < 300 {
        version += 1;
        replace_file(&format!("{}# {version}\n", &complete_config[..half_length]));
        longest_pause = longest_pause.max(last_change.elapsed().as_millis());
        last_change = std::time::Instant::now();
    }
    replace_file(&complete_config);
    // A pause near the 50 ms for which a reload waits makes this trial void.
    if longest_pause.max(last_change.elapsed().as_millis()) >= 40 {
        return false;
    }
    let lines = scheduler.lines_until_configuration().await;
    assert!(
        lines.len() == 1 && lines[0].contains(r#""discovery_changed":true"#),
        "the complete file is read once: {lines:?}"
    );
    let mut client = scheduler.client().await;
    client.send_request("once", 1, 9000).await;
    worker_b.next_request().await.accept();
    true
}

// A writer may pause for longer than a reload waits for a stable file. The part written so far is a valid
// configuration by itself.
#[tokio::test]
async fn a_file_whose_writer_pauses_is_reloaded_once_it_is_complete() {
    let (worker_a, mut worker_b) = (FakeServer::start().await, FakeServer::start().await);
    let worker_addresses = [worker_a.address, worker_b.address];
    let mut scheduler =
        Scheduler::standalone(|listen| config_with_workers(listen, &[("serving", worker_addresses[0])]), &[])
            .await;
    let complete_config = config_with_workers(
        scheduler.address,
        &[("draining", worker_addresses[0]), ("serving", worker_addresses[1])],
    );
    let half_length = complete_config.find("[[source.workers]]\nid = 'r1'").expect("a second worker");
    let lines = scheduler.reload(&complete_config[..half_length]).await;
    assert!(lines.iter().any(|line| line.contains(r#""discovery_changed":true"#)), "{lines:?}");
    std::fs::write(&scheduler.path, &complete_config).expect("the configuration is written");
    let lines = scheduler.lines_until_configuration().await;
    assert!(lines.len() == 1 && lines[0].contains(r#""discovery_changed":true"#), "{lines:?}");
    let mut client = scheduler.client().await;
    client.send_request("once", 1, 9000).await;
    worker_b.next_request().await.accept();
    // A change long after a SIGHUP is applied only by the next SIGHUP.
    tokio::time::sleep(Duration::from_millis(2_600)).await;
    std::fs::write(&scheduler.path, &complete_config[..half_length]).expect("the configuration is written");
    let next_line = timeout(Duration::from_millis(800), scheduler.next_line()).await;
    assert!(next_line.is_err(), "{next_line:?}");
}

#[tokio::test]
async fn a_key_file_that_is_half_written_at_sighup_is_read_again() {
    let key = std::env::temp_dir().join(format!("copperspread-{}-half.key", std::process::id()));
    std::fs::write(&key, "a key of this cluster\n").expect("the key file is written");
    let cluster = format!("[cluster]\nbind = '127.0.0.1:0'\nkey_file = '{}'\nregion = 'nl'\n", key.display());
    let text =
        |listen| config_with_workers(listen, &[]).replace("[[classes]]", &format!("{cluster}[[classes]]"));
    let mut scheduler = Scheduler::standalone(text, &[]).await;
    std::fs::write(&key, "a key").expect("the half-written key file is written");
    scheduler.signal("HUP").await;
    let line = scheduler.next_line().await;
    assert!(line.contains("the old configuration stays") && line.contains("5 bytes"), "{line}");
    std::fs::write(&key, "a key of this cluster\n").expect("the key file is written");
    let line = scheduler.next_line().await;
    assert!(line.contains("configuration reloaded"), "{line}");
    let _ = std::fs::remove_file(&key);
}

#[tokio::test]
async fn sigterm_while_a_reload_waits_drops_the_reload_and_completes_every_request() {
    let mut worker_a = FakeServer::start().await;
    let worker_address = worker_a.address;
    let mut scheduler =
        Scheduler::standalone(|listen| config_with_workers(listen, &[("serving", worker_address)]), &[])
            .await;
    let mut client = scheduler.client().await;
    client.send_request("once", 1, 9000).await;
    let id = worker_a.next_request().await.accept();
    // One shell sends all signals, so that they arrive within the time for which a reload waits for a stable
    // file.
    scheduler.signals(&["HUP", "TERM", "HUP"]).await;
    let line = scheduler.next_line().await;
    assert!(line.contains(r#""shutting down","requests":1"#), "the reload is dropped: {line}");
    assert_eq!(scheduler.call_back(&id, "r0", DONE).await, 204);
    assert_eq!(client.next_response().await.expect("a final response").status(), 200);
    assert!(scheduler.child.wait().await.expect("the process exits").success());
}

#[tokio::test]
async fn the_log_is_json_with_spans_and_sighup_changes_its_level() {
    let mut worker_a = FakeServer::start().await;
    let worker_address = worker_a.address;
    let mut scheduler =
        Scheduler::standalone(|listen| config_with_workers(listen, &[("serving", worker_address)]), &[])
            .await;
    let text = config_with_workers(scheduler.address, &[("serving", worker_address)]);
    // A request logs nothing at level info: the first line after the start is the reload's.
    let mut client = scheduler.client().await;
    client.send_request("once", 1, 9000).await;
    let id = worker_a.next_request().await.accept();
    scheduler.call_back(&id, "r0", DONE).await;
    client.next_response().await.expect("a final response");
    let lines = scheduler.reload(&text.replace("[front", "[log]\nlevel = 'loud'\n[front")).await;
    assert!(lines.len() == 1 && lines[0].contains("loud"), "{lines:?}");
    let lines = scheduler.reload(&text.replace("[front", "[log]\nlevel = 'debug'\n[front")).await;
    assert!(lines[0].contains(r#""discovery_changed":false"#), "{lines:?}");
    client.send_request("once", 2, 9000).await;
    let id = worker_a.next_request().await.accept();
    scheduler.call_back(&id, "r0", DONE).await;
    client.next_response().await.expect("a final response");
    // The 202 may arrive after the callback, so the two lines come in either order.
    let (mut response, mut dispatch) = (None, None);
    while response.is_none() || dispatch.is_none() {
        let line: serde_json::Value =
            serde_json::from_str(&scheduler.next_line().await).expect("a log line in JSON");
        match line["message"].as_str() {
            Some("final response") => response = Some(line),
            Some("dispatch ended") => dispatch = Some(line),
            _ => {}
        }
    }
    let (response, dispatch) = (response.expect("a log line"), dispatch.expect("a log line"));
    assert_eq!(response["response"], "served");
    assert_eq!(response["span"]["request_id"], "0000000000000002");
    assert_eq!((&dispatch["span"]["worker"], &dispatch["spans"][0]["class"]), (&"r0".into(), &"once".into()));
}

/// Returns the next line of the log, parsed.
async fn next_log_event(scheduler: &mut Scheduler) -> serde_json::Value {
    serde_json::from_str(&scheduler.next_line().await).expect("a log line in JSON")
}

#[tokio::test]
async fn a_warning_names_the_worker_the_class_and_the_peer() {
    let mut worker_a = FakeServer::start().await;
    let worker_address = worker_a.address;
    let mut scheduler =
        Scheduler::standalone(|listen| config_with_workers(listen, &[("serving", worker_address)]), &[])
            .await;
    let mut client = scheduler.client().await;
    client.send_request("once", 1, 400).await;
    let _unanswered = worker_a.next_request().await;
    let event = next_log_event(&mut scheduler).await;
    assert_eq!(event["message"], "an attempt timed out");
    assert_eq!((&event["worker"], &event["class"]), (&"r0".into(), &"once".into()));

    let mut peer = TcpStream::connect(scheduler.address).await.expect("the scheduler accepts connections");
    let without_id = b"POST /once/1 HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n";
    peer.write_all(without_id).await.expect("the request is written");
    let event = next_log_event(&mut scheduler).await;
    assert_eq!((&event["message"], &event["class"]), (&"bad request".into(), &"once".into()));
    let address = peer.local_addr().expect("a local address").to_string();
    assert_eq!(event["span"]["peer"], address.as_str());
}

#[tokio::test]
async fn a_rejection_without_an_eligible_worker_logs_a_warning_with_its_class() {
    let worker_a = FakeServer::start().await;
    let worker_address = worker_a.address;
    let mut scheduler =
        Scheduler::standalone(|listen| config_with_workers(listen, &[("draining", worker_address)]), &[])
            .await;
    let mut client = scheduler.client().await;
    client.send_request("once", 1, 3000).await;
    assert_eq!(client.next_response().await.expect("a final response").status(), 503);
    let event = next_log_event(&mut scheduler).await;
    assert_eq!((&event["message"], &event["class"]), (&"no worker is eligible".into(), &"once".into()));
}

// Guards against a full pipe of the log that blocks or ends the program.
#[tokio::test]
async fn a_log_that_nobody_reads_neither_blocks_nor_ends_the_program() {
    let mut worker_a = FakeServer::start().await;
    let worker_address = worker_a.address;
    let level = [("RUST_LOG", "trace")];
    let mut scheduler =
        Scheduler::standalone(|listen| config_with_workers(listen, &[("serving", worker_address)]), &level)
            .await;
    let mut client = scheduler.client().await;
    // Each request logs several lines of some hundred bytes: more in total than a pipe holds, and nothing
    // reads them.
    for number in 1..400 {
        scheduler.serve_request(&mut client, &mut worker_a, number, DONE).await;
    }
    scheduler.terminate().await;
    assert!(scheduler.child.wait().await.expect("the process exits").success());
    let mut lines = 0;
    let mut bytes = 0;
    while let Some(line) = scheduler.try_next_line().await {
        (lines, bytes) = (lines + 1, bytes + line.len());
    }
    assert!(bytes > 60_000, "the pipe was full: {bytes} bytes in {lines} lines");
}

// Runs the first command of the README, with other ports.
#[tokio::test]
async fn the_toy_worker_serves_a_request() {
    let (_reserved, worker) = reserve_address();
    let text = |listen| config_with_workers(listen, &[("serving", worker)]);
    let scheduler = Scheduler::standalone_with(&["--toy"], text, &[]).await;
    let mut client = scheduler.client().await;
    client.send_request("once", 7, 9000).await;
    let final_response = client.next_response().await.expect("a final response");
    assert_eq!((final_response.status(), &*final_response.body), (200, "0000000000000007 is done"));
}
