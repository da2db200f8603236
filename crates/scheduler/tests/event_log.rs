//! Tests of the program's event log: what it writes, and what the `records` commands read from it.
#![cfg(feature = "standalone")]
mod sockets;
use std::path::{Path, PathBuf};

use sockets::*;

const DONE: &str = r#""state":"done","result":"paid","load":{"x0":1.5}"#;

fn scratch_path(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("copperspread-{}-{name}.jsonl", std::process::id()));
    let _ = std::fs::remove_file(&path);
    path
}

async fn start(worker: &FakeServer, file: &Path) -> Scheduler {
    start_with_limits(worker, file, "").await
}

async fn start_with_limits(worker: &FakeServer, file: &Path, limits: &str) -> Scheduler {
    let (address, file) = (worker.address, file.display().to_string());
    let text = move |listen| {
        format!(
            "{limits}[front.http]\nlisten = '{listen}'\n[records]\nfile = '{file}'\n\
             [[source.workers]]\nid = 'r0'\naddress = '{address}'\n[[classes]]\nname = 'once'\naim = '9s'\n"
        )
    };
    Scheduler::standalone(text, &[]).await
}

fn run_reader(arguments: &[&str], file: &Path) -> (String, String) {
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_copperspread-scheduler"))
        .args(arguments)
        .arg(file)
        .output()
        .expect("the process runs");
    assert!(output.status.success());
    let text = |bytes| String::from_utf8(bytes).expect("valid UTF-8");
    (text(output.stdout), text(output.stderr))
}

#[tokio::test]
async fn a_request_is_recorded_from_its_admission_to_its_response() {
    let mut worker = FakeServer::start().await;
    let file = scratch_path("flow");
    let mut scheduler = start(&worker, &file).await;
    let mut client = scheduler.client().await;
    client.send_request("once", 1, 9000).await;
    let id = worker.next_request().await.accept();
    scheduler.call_back(&id, "r0", DONE).await;
    client.next_response().await.expect("a final response");
    // An invalid callback increments a counter, which is recorded too.
    assert_eq!(scheduler.post_callback("no JSON").await, 400);
    // A rejected request: it would complete after its deadline.
    client.send_request("once", 2, 0).await;
    assert_eq!(client.next_response().await.expect("a final response").status(), 503);
    scheduler.terminate().await;
    assert!(scheduler.child.wait().await.expect("the process exits").success());
    let (out, err) = run_reader(&["records", "cat", "--flow", "0000000000000001"], &file);
    assert_eq!(err, "");
    let records: Vec<serde_json::Value> =
        out.lines().map(|line| serde_json::from_str(line).expect("valid JSON")).collect();
    let kinds: Vec<_> =
        records.iter().map(|record| record["what"]["kind"].as_str().expect("an event kind")).collect();
    let mut sorted = kinds.clone();
    sorted.sort_unstable();
    let all = ["answered", "decided", "flow_taken", "scheduling_ended", "scheduling_sent"];
    assert_eq!(sorted, all, "each kind exactly once");
    assert_eq!((kinds[0], kinds[1]), ("flow_taken", "decided"));
    let (decided, ended) =
        (&records[1]["what"], records.iter().find(|record| record["what"]["kind"] == "scheduling_ended"));
    assert_eq!((&decided["choice"], &decided["real_server"]), (&"send".into(), &"r0".into()));
    assert!(decided["estimate_us"].as_u64().is_some_and(|us| us > 0), "{decided}");
    let ended = &ended.expect("an event of the attempt's end")["what"];
    assert_eq!((&ended["outcome"], &ended["free_slots"]), (&"served".into(), &1.5.into()));
    let (stat, _) = run_reader(&["records", "stat"], &file);
    assert!(stat.contains("class once: taken 2, refused 1, served 1"), "{stat}");
    let (out, _) = run_reader(&["records", "cat"], &file);
    assert!(out.contains(r#"{"kind":"limit","what":"bad call-back","count":1}"#), "{out}");
    assert!(stat.contains("ended\n") && !stat.contains("missing"), "{stat}");
    let _ = std::fs::remove_file(&file);
}

#[tokio::test]
async fn a_killed_runs_events_are_readable_and_the_next_run_continues_the_file() {
    let mut worker = FakeServer::start().await;
    let file = scratch_path("killed");
    for run in 1..3 {
        let mut scheduler = start(&worker, &file).await;
        let mut client = scheduler.client().await;
        client.send_request("once", run, 9000).await;
        worker.next_request().await;
        // The events are written after the request is sent: waits for them before the kill.
        while !std::fs::read_to_string(&file)
            .is_ok_and(|text| text.matches("scheduling_sent").count() == run as usize)
        {
            tokio::task::yield_now().await;
        }
        scheduler.signal("KILL").await;
        scheduler.child.wait().await.expect("the process exits");
        // A crash may leave an incomplete last line.
        let mut text = std::fs::read(&file).expect("a readable event log");
        text.extend_from_slice(b"{\"v\":1,\"run\":\"torn");
        std::fs::write(&file, text).expect("the incomplete line is written");
    }
    let (stat, _) = run_reader(&["records", "stat"], &file);
    assert_eq!(stat.matches("no end recorded").count(), 2, "{stat}");
    assert!(stat.contains("is no record") && stat.contains("the last line has no end"), "{stat}");
    let (out, err) = run_reader(&["records", "cat"], &file);
    assert_eq!(out.matches("run_started").count(), 2);
    assert!(err.contains("1 lines are none; the last is torn"), "{err}");
    let _ = std::fs::remove_file(&file);
}

#[tokio::test]
async fn a_full_disk_stops_no_request_and_the_platform_writes_no_event_log() {
    let mut worker = FakeServer::start().await;
    let scheduler = start(&worker, Path::new("/dev/full")).await;
    let mut client = scheduler.client().await;
    for number in 1..20 {
        scheduler.serve_request(&mut client, &mut worker, number, DONE).await;
    }
    drop(scheduler);
    // With the platform's configuration file, environment variables enable no event log, because the
    // platform's disk is not persistent.
    let file = scratch_path("platform");
    let command = format!("COPPERSPREAD_RECORDS__FILE='{}' exec \"$PROGRAM\" serve", file.display());
    let mut scheduler = Scheduler::start_by_command(&command, 1024, &[worker.address]).await;
    let mut client = scheduler.client().await;
    client.send_request("once", 1, 9000).await;
    let id = worker.next_request().await.accept();
    scheduler.call_back(&id, "r0", DONE).await;
    client.next_response().await.expect("a final response");
    scheduler.terminate().await;
    assert!(scheduler.child.wait().await.expect("the process exits").success() && !file.exists());
}

#[tokio::test]
async fn a_file_that_another_scheduler_writes_prevents_the_start() {
    let worker = FakeServer::start().await;
    let file = scratch_path("two");
    let _first = start(&worker, &file).await;
    let overrides =
        [format!("records.file={}", file.display()), format!("front.http.listen={}", reserve_address().1)];
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_copperspread-scheduler"))
        .env_remove("EDGE_CONFIG")
        .args(["serve", "--set", &overrides[0], "--set", &overrides[1]])
        .output()
        .expect("the process runs");
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(!output.status.success() && stderr.contains("another process writes it"), "{stderr}");
    let _ = std::fs::remove_file(&file);
}

// The platform's lowest limits, 32 MB and 256 descriptors, also hold with the event log and the log on.
#[tokio::test]
async fn the_lowest_limits_hold_with_the_event_log_on() {
    let mut worker = FakeServer::start().await;
    let file = scratch_path("least");
    let scheduler =
        start_with_limits(&worker, &file, "[limits]\nmemory = '32 MB'\ndescriptors = 256\n").await;
    let mut clients = Vec::new();
    for number in 0..150 {
        let mut client = scheduler.client().await;
        client.send_request("once", number, 9000).await;
        clients.push((client, worker.next_request().await.accept()));
    }
    let pid = scheduler.child.id().expect("the process runs");
    let descriptors =
        std::fs::read_dir(format!("/proc/{pid}/fd")).expect("the list of open descriptors").count();
    for (client, id) in &mut clients {
        scheduler.call_back(id, "r0", DONE).await;
        assert_eq!(client.next_response().await.expect("a final response").status(), 200);
    }
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("the process status file");
    let peak =
        status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("a line with the peak memory");
    let peak: u64 = peak.trim_end_matches("kB").trim().parse().expect("an integer");
    assert!(descriptors <= 256 && peak <= 32_000, "{descriptors} descriptors, {peak} kB");
    let _ = std::fs::remove_file(&file);
}

// For machines without a persistent disk whose output is kept: events go to standard error, between the lines
// of the log.
#[tokio::test]
async fn events_on_standard_error_are_interleaved_with_the_log_and_show_the_endpoint_list() {
    let mut worker = FakeServer::start().await;
    let mut scheduler =
        Scheduler::start_by_command("exec \"$PROGRAM\" serve --records -", 1024, &[worker.address]).await;
    let mut client = scheduler.client().await;
    let done = r#""state":"done","result":"paid","load":{"x0":1.5,"queue":3}"#;
    scheduler.serve_request(&mut client, &mut worker, 1, done).await;
    scheduler.terminate().await;
    let mut records = Vec::new();
    while let Some(next_line) = scheduler.try_next_line().await {
        let value: serde_json::Value = serde_json::from_str(&next_line).unwrap_or_default();
        if value["v"] == 1 {
            records.push(value["what"].clone());
        }
    }
    let event = |kind: &str| {
        records
            .iter()
            .find(|event| event["kind"] == kind)
            .unwrap_or_else(|| panic!("no event of kind {kind}"))
    };
    assert_eq!(event("roster")["entries"][0]["size"], 1.0);
    assert_eq!(event("scheduling_ended")["queue"], 3.0);
    assert_eq!(event("answered")["answer"], "served");
    assert_eq!(event("run_ended")["requests_left"], 0);
}

#[tokio::test]
async fn the_event_logs_of_a_folder_are_summed_over_the_fleet() {
    let mut worker = FakeServer::start().await;
    let folder = scratch_path("fleet");
    std::fs::create_dir(&folder).expect("the folder is created");
    for number in 0..2 {
        let mut scheduler = start(&worker, &folder.join(format!("n{number}.jsonl"))).await;
        let mut client = scheduler.client().await;
        scheduler.serve_request(&mut client, &mut worker, number + 1, DONE).await;
        scheduler.terminate().await;
        assert!(scheduler.child.wait().await.expect("the process exits").success());
    }
    let (out, err) = run_reader(&["records", "fleet", "--window", "3600"], &folder);
    assert_eq!(err, "");
    assert!(out.contains("2 runs, 0 records missing, 0 other lines\n"), "{out}");
    assert!(out.contains("worker r0: sent 2 (100.0 %), at most 1 out at once; served 2; took"), "{out}");
    let _ = std::fs::remove_dir_all(&folder);
}

// A rotation that was killed or whose rename failed leaves a gap in the numbers of the rotated files.
#[test]
fn all_files_are_read_after_an_interrupted_rotation() {
    let folder = scratch_path("cut-off");
    std::fs::create_dir(&folder).expect("the folder is created");
    let file = folder.join("r.jsonl");
    let write = |name: &str, sequence: u32| {
        let event = r#"{"kind":"run_ended","requests_left":0}"#;
        let line = format!(r#"{{"v":1,"run":"r","seq":{sequence},"unix_us":1,"mono_us":1,"what":{event}}}"#);
        std::fs::write(folder.join(name), line + "\n").expect("the file is written");
    };
    for (name, sequence) in [("r.jsonl.3", 0), ("r.jsonl.1", 1), ("r.jsonl.old", 9), ("q.jsonl.2", 9)] {
        write(name, sequence);
    }
    for count in 2..4 {
        let (out, err) = run_reader(&["records", "cat", "--all"], &file);
        let sequences: Vec<_> =
            out.lines().map(|line| line.split(',').nth(2).expect("a sequence field")).collect();
        assert_eq!(sequences, ["\"seq\":0", "\"seq\":1", "\"seq\":2"][..count], "{err}");
        write("r.jsonl", 2);
    }
    let _ = std::fs::remove_dir_all(&folder);
}

#[tokio::test]
async fn the_recorded_time_left_is_what_remains_at_the_last_byte_of_a_slow_body() {
    let mut worker = FakeServer::start().await;
    let file = scratch_path("slow-body");
    let mut scheduler = start(&worker, &file).await;
    let mut client = scheduler.client().await;
    let request = request_text("once", 1, 9000);
    let (head, body) = request.split_at(request.len() - 1);
    client.send(head).await;
    tokio::time::sleep(std::time::Duration::from_secs(1)).await;
    client.send(body).await;
    let id = worker.next_request().await.accept();
    scheduler.call_back(&id, "r0", DONE).await;
    client.next_response().await.expect("a final response");
    scheduler.terminate().await;
    assert!(scheduler.child.wait().await.expect("the process exits").success());
    let (out, _) = run_reader(&["records", "cat"], &file);
    let accepted =
        out.lines().find(|line| line.contains("flow_taken")).expect("an event of the request's admission");
    let record: serde_json::Value = serde_json::from_str(accepted).expect("valid JSON");
    let time_left_us = record["what"]["time_left_us"].as_u64().expect("a time in microseconds");
    // Of the 9 s, 1 s passes during the body; network time is subtracted from the rest.
    assert!((7_000_000..=7_960_000).contains(&time_left_us), "{time_left_us}");
}
