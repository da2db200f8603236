//! The program without a platform, over sockets: its layered configuration and its log, also where they fail.
#![cfg(feature = "standalone")]
mod sockets;
use std::net::SocketAddr;
use std::time::Duration;

use sockets::{FakeServer, Scheduler, reserve_address};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// A callback's fields: the job is done.
const DONE: &str = r#""state":"done","result":"paid""#;

/// A configuration whose static list has the workers r0, r1, ... in this order.
fn config_with_workers(listen: SocketAddr, workers: &[(&str, SocketAddr)]) -> String {
    let mut text = format!("name = 'alone'\n[front.http]\nlisten = '{listen}'\n");
    for (number, (state, address)) in workers.iter().enumerate() {
        text += &format!("[[source.workers]]\nid = 'r{number}'\naddress = '{address}'\nstate = '{state}'\n");
    }
    text + "[[classes]]\nname = 'once'\naim = '9s'\n"
}

#[tokio::test]
async fn sighup_applies_a_changed_static_list_and_rejects_invalid_files() {
    let (mut one, mut two) = (FakeServer::start().await, FakeServer::start().await);
    let at = [one.address, two.address];
    let mut scheduler =
        Scheduler::standalone(|listen| config_with_workers(listen, &[("serving", at[0])]), &[]).await;
    let mut client = scheduler.client().await;
    client.send_request("once", 1, 9000).await;
    let id = one.next_request().await.accept();
    let changed = config_with_workers(scheduler.address, &[("draining", at[0]), ("serving", at[1])]);
    let lines = scheduler.reload(&changed).await;
    assert!(lines[0].contains(r#""discovery_changed":true"#), "{lines:?}");
    // A request that was accepted before ends at its worker; later ones go to the other.
    assert_eq!(scheduler.call_back(&id, "r0", DONE).await, 204);
    assert_eq!(client.next_response().await.expect("an answer").body, "paid");
    for number in 2..5 {
        client.send_request("once", number, 9000).await;
        let id = two.next_request().await.accept();
        scheduler.call_back(&id, "r1", DONE).await;
        assert_eq!(client.next_response().await.expect("an answer").status(), 200);
    }
    assert!(one.is_idle());
    // Invalid by itself, invalid together with another value, empty: each leaves the list as it is.
    for invalid in
        [changed.replace("9s", "9 sheep"), changed.replace("aim = '9s'", "aim = '99s'"), String::new()]
    {
        let lines = scheduler.reload(&invalid).await;
        assert!(lines[0].contains("the old configuration stays"), "{lines:?}");
    }
    client.send_request("once", 9, 9000).await;
    two.next_request().await.accept();
    // Parts that only a restart can change are named, wherever in the file they stand.
    let restart_only =
        "[log]\nformat = 'text'\n[records]\nkeep = 9\nfile = 'r'\n[limits]\ndescriptors = 300\n";
    let lines = scheduler.reload(&changed.replace("[front", &format!("{restart_only}[front"))).await;
    assert!(lines[0].contains(r#"only with a restart","parts":"limits, log.format, records""#), "{lines:?}");
}

// A file may be written piece by piece while SIGHUP comes: its first half is a valid configuration by itself,
// one that would remove the only worker.
#[tokio::test]
async fn a_reload_waits_until_its_file_no_longer_changes() {
    for _ in 0..5 {
        if reload_while_the_file_is_written().await {
            return;
        }
    }
    panic!("this machine wrote the file too slowly, five times");
}

/// False where the disk was so slow that the half-written file stayed unchanged for as long as a reload waits.
async fn reload_while_the_file_is_written() -> bool {
    let (one, mut two) = (FakeServer::start().await, FakeServer::start().await);
    let at = [one.address, two.address];
    let mut scheduler =
        Scheduler::standalone(|listen| config_with_workers(listen, &[("serving", at[0])]), &[]).await;
    let whole = config_with_workers(scheduler.address, &[("draining", at[0]), ("serving", at[1])]);
    let half = whole.find("[[source.workers]]\nid = 'r1'").expect("a second worker");
    // The content changes as fast as it can, for several times as long as a reload waits for; by renames, so
    // that no state in between is ever read.
    let (draft, began) = (scheduler.path.with_extension("draft"), std::time::Instant::now());
    let replace_file = |text: &str| {
        std::fs::write(&draft, text).expect("a draft");
        std::fs::rename(&draft, &scheduler.path).expect("in place");
    };
    replace_file(&whole[..half]);
    scheduler.signal("HUP").await;
    let (mut version, mut last_change, mut longest_pause) = (0, began, 0);
    while began.elapsed().as_millis() < 300 {
        version += 1;
        replace_file(&format!("{}# {version}\n", &whole[..half]));
        longest_pause = longest_pause.max(last_change.elapsed().as_millis());
        last_change = std::time::Instant::now();
    }
    replace_file(&whole);
    if longest_pause.max(last_change.elapsed().as_millis()) >= 40 {
        return false;
    }
    let lines = scheduler.lines_until_configuration().await;
    assert!(
        lines.len() == 1 && lines[0].contains(r#""discovery_changed":true"#),
        "one reading, of the whole: {lines:?}"
    );
    let mut client = scheduler.client().await;
    client.send_request("once", 1, 9000).await;
    two.next_request().await.accept();
    true
}

// A writer may pause for longer than a reload waits for its file. The part that it has written is valid by itself.
#[tokio::test]
async fn a_file_whose_writer_pauses_is_read_again_when_it_goes_on() {
    let (one, mut two) = (FakeServer::start().await, FakeServer::start().await);
    let at = [one.address, two.address];
    let mut scheduler =
        Scheduler::standalone(|listen| config_with_workers(listen, &[("serving", at[0])]), &[]).await;
    let whole = config_with_workers(scheduler.address, &[("draining", at[0]), ("serving", at[1])]);
    let half = whole.find("[[source.workers]]\nid = 'r1'").expect("a second worker");
    let lines = scheduler.reload(&whole[..half]).await;
    assert!(lines.iter().any(|line| line.contains(r#""discovery_changed":true"#)), "{lines:?}");
    std::fs::write(&scheduler.path, &whole).expect("a configuration");
    let lines = scheduler.lines_until_configuration().await;
    assert!(lines.len() == 1 && lines[0].contains(r#""discovery_changed":true"#), "{lines:?}");
    let mut client = scheduler.client().await;
    client.send_request("once", 1, 9000).await;
    two.next_request().await.accept();
    // Long after SIGHUP a change waits for the next one.
    tokio::time::sleep(Duration::from_millis(2_600)).await;
    std::fs::write(&scheduler.path, &whole[..half]).expect("a configuration");
    let next_line = timeout(Duration::from_millis(800), scheduler.next_line()).await;
    assert!(next_line.is_err(), "{next_line:?}");
}

#[tokio::test]
async fn a_key_file_that_is_being_written_at_sighup_is_waited_for() {
    let key = std::env::temp_dir().join(format!("copperspread-{}-half.key", std::process::id()));
    std::fs::write(&key, "a key of this cluster\n").expect("a key");
    let cluster = format!("[cluster]\nbind = '127.0.0.1:0'\nkey_file = '{}'\nregion = 'nl'\n", key.display());
    let text =
        |listen| config_with_workers(listen, &[]).replace("[[classes]]", &format!("{cluster}[[classes]]"));
    let mut scheduler = Scheduler::standalone(text, &[]).await;
    std::fs::write(&key, "a key").expect("a half-written key");
    scheduler.signal("HUP").await;
    let line = scheduler.next_line().await;
    assert!(line.contains("the old configuration stays") && line.contains("5 bytes"), "{line}");
    std::fs::write(&key, "a key of this cluster\n").expect("a key");
    let line = scheduler.next_line().await;
    assert!(line.contains("configuration reloaded"), "{line}");
    let _ = std::fs::remove_file(&key);
}

#[tokio::test]
async fn sigterm_while_a_reload_waits_drops_the_reload_and_completes_every_request() {
    let mut one = FakeServer::start().await;
    let at = one.address;
    let mut scheduler =
        Scheduler::standalone(|listen| config_with_workers(listen, &[("serving", at)]), &[]).await;
    let mut client = scheduler.client().await;
    client.send_request("once", 1, 9000).await;
    let id = one.next_request().await.accept();
    // One shell sends them, so that they come closer together than a reload waits for its file.
    scheduler.signals(&["HUP", "TERM", "HUP"]).await;
    let line = scheduler.next_line().await;
    assert!(
        line.contains(r#""shutting down","requests":1"#),
        "the reload is not carried out any more: {line}"
    );
    assert_eq!(scheduler.call_back(&id, "r0", DONE).await, 204);
    assert_eq!(client.next_response().await.expect("an answer").status(), 200);
    assert!(scheduler.child.wait().await.expect("it ends").success());
}

#[tokio::test]
async fn the_log_is_json_with_spans_and_sighup_changes_its_level() {
    let mut one = FakeServer::start().await;
    let at = one.address;
    let mut scheduler =
        Scheduler::standalone(|listen| config_with_workers(listen, &[("serving", at)]), &[]).await;
    let text = config_with_workers(scheduler.address, &[("serving", at)]);
    // Quiet at info: the first line after the start is the reload's.
    let mut client = scheduler.client().await;
    client.send_request("once", 1, 9000).await;
    let id = one.next_request().await.accept();
    scheduler.call_back(&id, "r0", DONE).await;
    client.next_response().await.expect("an answer");
    let lines = scheduler.reload(&text.replace("[front", "[log]\nlevel = 'loud'\n[front")).await;
    assert!(lines.len() == 1 && lines[0].contains("loud"), "{lines:?}");
    let lines = scheduler.reload(&text.replace("[front", "[log]\nlevel = 'debug'\n[front")).await;
    assert!(lines[0].contains(r#""discovery_changed":false"#), "{lines:?}");
    client.send_request("once", 2, 9000).await;
    let id = one.next_request().await.accept();
    scheduler.call_back(&id, "r0", DONE).await;
    client.next_response().await.expect("an answer");
    // The 202 may arrive after the callback, so the two lines come in either order.
    let (mut response, mut dispatch) = (None, None);
    while response.is_none() || dispatch.is_none() {
        let line: serde_json::Value =
            serde_json::from_str(&scheduler.next_line().await).expect("a JSON line");
        match line["message"].as_str() {
            Some("final response") => response = Some(line),
            Some("dispatch ended") => dispatch = Some(line),
            _ => {}
        }
    }
    let (response, dispatch) = (response.expect("a line"), dispatch.expect("a line"));
    assert_eq!(response["response"], "served");
    assert_eq!(response["span"]["request_id"], "0000000000000002");
    assert_eq!((&dispatch["span"]["worker"], &dispatch["spans"][0]["class"]), (&"r0".into(), &"once".into()));
}

/// The next line of the log.
async fn next_log_event(scheduler: &mut Scheduler) -> serde_json::Value {
    serde_json::from_str(&scheduler.next_line().await).expect("a JSON line")
}

#[tokio::test]
async fn a_warning_names_the_worker_the_class_and_the_peer() {
    let mut one = FakeServer::start().await;
    let at = one.address;
    let mut scheduler =
        Scheduler::standalone(|listen| config_with_workers(listen, &[("serving", at)]), &[]).await;
    let mut client = scheduler.client().await;
    client.send_request("once", 1, 400).await;
    let _unanswered = one.next_request().await;
    let event = next_log_event(&mut scheduler).await;
    assert_eq!(event["message"], "an attempt timed out");
    assert_eq!((&event["worker"], &event["class"]), (&"r0".into(), &"once".into()));

    let mut peer = TcpStream::connect(scheduler.address).await.expect("it connects");
    let without_id = b"POST /once/1 HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n";
    peer.write_all(without_id).await.expect("it is sent");
    let event = next_log_event(&mut scheduler).await;
    assert_eq!((&event["message"], &event["class"]), (&"bad request".into(), &"once".into()));
    let address = peer.local_addr().expect("an address").to_string();
    assert_eq!(event["span"]["peer"], address.as_str());
}

#[tokio::test]
async fn a_rejection_for_want_of_workers_is_warned_of_with_its_class() {
    let one = FakeServer::start().await;
    let at = one.address;
    let mut scheduler =
        Scheduler::standalone(|listen| config_with_workers(listen, &[("draining", at)]), &[]).await;
    let mut client = scheduler.client().await;
    client.send_request("once", 1, 3000).await;
    assert_eq!(client.next_response().await.expect("an answer").status(), 503);
    let event = next_log_event(&mut scheduler).await;
    assert_eq!((&event["message"], &event["class"]), (&"no worker is eligible".into(), &"once".into()));
}

/// Its pipe fills up.
#[tokio::test]
async fn a_log_that_nobody_reads_neither_blocks_nor_ends_the_program() {
    let mut one = FakeServer::start().await;
    let at = one.address;
    let level = [("RUST_LOG", "trace")];
    let mut scheduler =
        Scheduler::standalone(|listen| config_with_workers(listen, &[("serving", at)]), &level).await;
    let mut client = scheduler.client().await;
    // Some lines of some hundred bytes a job: more than a pipe holds, and nobody reads one.
    for number in 1..400 {
        scheduler.serve_request(&mut client, &mut one, number, DONE).await;
    }
    scheduler.terminate().await;
    assert!(scheduler.child.wait().await.expect("it ends").success());
    let mut lines = 0;
    let mut bytes = 0;
    while let Some(line) = scheduler.try_next_line().await {
        (lines, bytes) = (lines + 1, bytes + line.len());
    }
    assert!(bytes > 60_000, "the pipe was full: {bytes} bytes in {lines} lines");
}

/// The README's first command, with other ports.
#[tokio::test]
async fn the_default_configuration_serves_a_job_with_the_toy_worker() {
    let (_reserved, worker) = reserve_address();
    let text = |listen| config_with_workers(listen, &[("serving", worker)]);
    let scheduler = Scheduler::standalone_with(&["--toy"], text, &[]).await;
    let mut client = scheduler.client().await;
    client.send_request("once", 7, 9000).await;
    let answer = client.next_response().await.expect("an answer");
    assert_eq!((answer.status(), &*answer.body), (200, "0000000000000007 is done"));
}
