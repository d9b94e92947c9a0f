//! Tests of the `gooseberryctl` binary against listeners that send prepared responses.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Command, Output, Stdio};
use std::thread::{self, JoinHandle};

const NOTE: &str = r#"{ "note": 1, "author": "rossi" } // Nothing."#;
const ACCEPTED: &str = r#"{ "note": 1, "revision": 7, "digest": "d" }"#;
const TOKEN: &str = "0123456789abcdef";

/// Starts a listener that answers one request with `status` and `body`. Returns its address and a
/// thread whose result is the request, head and body.
fn start_instance(status: &'static str, body: &'static str) -> (SocketAddr, JoinHandle<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let received = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut request = String::new();
        while !request.ends_with("\r\n\r\n") {
            reader.read_line(&mut request).unwrap();
        }
        let head = request.to_lowercase();
        let length = head.split("content-length: ").nth(1);
        let length = length.map_or(0, |rest| rest.lines().next().unwrap().parse().unwrap());
        let mut content = vec![0; length];
        reader.read_exact(&mut content).unwrap();
        let response = format!(
            "HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(response.as_bytes()).unwrap();
        request + std::str::from_utf8(&content).unwrap()
    });
    (address, received)
}

/// Starts a listener that closes each connection without a response.
fn start_unresponsive() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || listener.incoming().for_each(drop));
    address
}

/// Returns the command with a token file and a valid note in its working folder.
fn command(folder: &Path, instances: &[SocketAddr], arguments: &[&str]) -> Command {
    std::fs::write(folder.join("token"), TOKEN).unwrap();
    std::fs::write(folder.join("note.json"), NOTE).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_gooseberryctl"));
    command.current_dir(folder).args(["--token-file", "token"]);
    for address in instances {
        command.arg("--instance").arg(address.to_string());
    }
    command.args(arguments);
    command
}

fn run(folder: &Path, instances: &[SocketAddr], arguments: &[&str]) -> Output {
    command(folder, instances, arguments).output().unwrap()
}

fn stdout(output: &Output) -> &str {
    std::str::from_utf8(&output.stdout).unwrap()
}

fn stderr(output: &Output) -> &str {
    std::str::from_utf8(&output.stderr).unwrap()
}

#[test]
fn note_is_submitted_to_the_next_instance_if_one_does_not_answer_or_has_a_server_error() {
    let folder = tempfile::tempdir().unwrap();
    let (unavailable, first) = start_instance(
        "503 Service Unavailable",
        r#"{"error":{"code":"no_leader","message":"no leader"}}"#,
    );
    let (available, second) = start_instance("200 OK", ACCEPTED);
    let submit = ["note", "submit", "note.json"];
    let output = run(
        folder.path(),
        &[start_unresponsive(), unavailable, available],
        &submit,
    );
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    assert!(stdout(&output).contains("note 1 accepted, revision 7"));
    let sent = second.join().unwrap();
    assert!(sent.starts_with("POST /v1/notes HTTP/1.1"), "{sent}");
    assert!(sent.contains(&format!("Bearer {TOKEN}")) && sent.ends_with(NOTE));
    assert!(first.join().unwrap().ends_with(NOTE));
}

#[test]
fn refusal_is_printed_with_its_findings_and_not_retried_on_another_instance() {
    let folder = tempfile::tempdir().unwrap();
    let body = r#"{"error":{"code":"conflict","message":"taken by bianchi",
        "findings":[{"place":"note","message":"the number is taken"}]}}"#;
    let (address, _request) = start_instance("409 Conflict", body);
    let (other, _unused) = start_instance("200 OK", ACCEPTED);
    let submit = ["note", "submit", "note.json"];
    let output = run(folder.path(), &[address, other], &submit);
    assert_eq!(output.status.code(), Some(1));
    let expected = "conflict: taken by bianchi\nnote: the number is taken\n";
    assert_eq!(stderr(&output), expected);
}

#[test]
fn invalid_note_is_rejected_before_any_instance_is_contacted() {
    let folder = tempfile::tempdir().unwrap();
    std::fs::write(folder.path().join("bad.json"), r#"{ "note": 0.5, "x": 1 }"#).unwrap();
    let output = run(folder.path(), &[], &["note", "submit", "bad.json"]);
    assert_eq!(output.status.code(), Some(2));
    let lines: Vec<&str> = stderr(&output).lines().collect();
    assert_eq!(lines.len(), 3, "{lines:?}");
    assert!(lines[0].starts_with("bad.json:1:11 note: "));
}

#[test]
fn exit_code_distinguishes_bad_usage_from_no_answer() {
    let folder = tempfile::tempdir().unwrap();
    let output = run(folder.path(), &[start_unresponsive()], &["status"]);
    assert_eq!(output.status.code(), Some(3));
    assert!(stderr(&output).starts_with("no instance answered\n127.0.0.1:"));
    for arguments in [
        &["statuses"][..],
        &["status"],
        &["report", "--from", "noon"],
    ] {
        let output = run(folder.path(), &[], arguments);
        assert_eq!(output.status.code(), Some(2), "{arguments:?}");
    }
}

#[test]
fn note_is_watched_until_it_is_done_and_in_force() {
    let folder = tempfile::tempdir().unwrap();
    let body = r#"{ "note": 2, "author": "rossi", "at": "2026-12-03T05:00:00Z", "revision": 9,
        "digest": "d", "state": "reverted", "in_force": true, "items": [{ "what": "added version",
        "name": "v2", "state": "reverted", "reason": "failures 9 of 20", "share": 0,
        "phase": "reverted", "step": 3, "move_by": "2026-12-03T06:00:00Z",
        "since": "2026-12-03T05:10:00Z" }] }"#;
    let (address, _request) = start_instance("200 OK", body);
    let output = run(folder.path(), &[address], &["note", "watch", "2"]);
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    let expected = "note 2: reverted, in force everywhere\n  2026-12-03T05:10:00.000Z added version \
        v2: reverted, share 0.00%: failures 9 of 20\n";
    assert_eq!(stdout(&output), expected);
}

#[test]
fn report_prints_gaps_in_its_counts() {
    let folder = tempfile::tempdir().unwrap();
    let body = r#"{ "from": "2026-12-03T05:00:00Z", "to": "2026-12-03T06:00:00Z", "rows": [],
        "gaps": [{ "instance": "lodi-1", "incarnation": 1, "from": "2026-12-03T05:10:00Z",
        "cause": "silent" }], "moves": [], "counted": [] }"#;
    let (address, request) = start_instance("200 OK", body);
    let arguments = [
        "report",
        "--from",
        "2026-12-03T05:00:00Z",
        "--to",
        "2026-12-03T06:00:00Z",
        "--account",
        "a",
    ];
    let output = run(folder.path(), &[address], &arguments);
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    let expected = "gap: counts of lodi-1 from 2026-12-03T05:10:00.000Z to now are lost: silent";
    assert!(stdout(&output).contains(expected), "{}", stdout(&output));
    let sent = request.join().unwrap();
    assert!(sent.contains("&account=a&format=json"), "{sent}");
}

#[test]
fn closed_standard_output_is_no_failure() {
    let folder = tempfile::tempdir().unwrap();
    let (address, _request) = start_instance("200 OK", r#"{ "notes": [] }"#);
    let mut command = command(folder.path(), &[address], &["note", "list"]);
    let mut child = command
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    drop(child.stdout.take());
    let output = child.wait_with_output().unwrap();
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
}
