//! Runs the daemon on a platform as real processes: three keepers and an entry, each on its own
//! loopback address, with stand-ins for the platform's list of upstreams and for the upstreams.
//! Requests and responses are compared byte by byte.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time limit for each wait. The tests make no other assertion about durations.
const TIMEOUT: Duration = Duration::from_secs(60);

const PEERS: u16 = 17_600;
const OPERATORS: u16 = 17_602;
const DIRECTORY: u16 = 17_620;
const CALLERS: u16 = 17_621;
const READY: u16 = 17_624;
const CONTROL: u16 = 17_629;
const FEED: u16 = 17_630;
const UPSTREAM: u16 = 17_640;

/// Host part of the entry's address. The keepers have 1 to 3.
const ENTRY: u8 = 4;
/// Host part of the stand-ins' address.
const STAND_INS: u8 = 9;

/// Loopback network of one test, derived from the process id so that its ports are free.
#[derive(Clone, Copy)]
struct Network {
    second: u8,
    third: u8,
}

impl Network {
    fn new(number: u8) -> Self {
        let pid = std::process::id();
        Self {
            second: 10 + u8::try_from(pid % 200).unwrap(),
            third: u8::try_from(pid / 200 % 40).unwrap() * 6 + number,
        }
    }

    fn address(self, host: u8, port: u16) -> SocketAddr {
        let ip = Ipv4Addr::new(127, self.second, self.third, host);
        SocketAddr::new(ip.into(), port)
    }
}

/// Requests that the upstream stand-in has received.
type RequestLog = Arc<Mutex<Vec<String>>>;

/// Reads a message whose body has a `Content-Length`; `None` if the connection ends first.
fn read_message(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    let mut byte = [0; 1];
    while !bytes.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        bytes.push(byte[0]);
    }
    let mut text = String::from_utf8(bytes).unwrap();
    let length = field(&text, "content-length").map_or(0, |value| value.parse().unwrap());
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    text.push_str(&String::from_utf8(body).unwrap());
    Some(text)
}

/// Returns the value of a header field.
fn field(message: &str, name: &str) -> Option<String> {
    let head = message.split("\r\n\r\n").next()?;
    let mut fields = head.lines().filter_map(|line| line.split_once(": "));
    let found = fields.find(|(known, _)| known.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.to_owned())
}

/// Serves requests with the responses that `answer` returns. Closes each connection after one
/// response.
fn serve(
    address: SocketAddr,
    answer: impl Fn(&str) -> String + Send + Sync + 'static,
) -> TcpListener {
    let listener = TcpListener::bind(address).unwrap();
    let accepted = listener.try_clone().unwrap();
    let answer = Arc::new(answer);
    thread::spawn(move || {
        for stream in accepted.incoming() {
            let (mut stream, answer) = (stream.unwrap(), answer.clone());
            thread::spawn(move || {
                if let Some(request) = read_message(&mut stream) {
                    // The caller may have closed its connection.
                    stream.write_all(answer(&request).as_bytes()).ok();
                }
                stream.shutdown(Shutdown::Both).ok();
            });
        }
    });
    listener
}

/// Returns a response with the signature of an upstream. `rest` holds further fields and the body.
fn signed_response(request: &str, status: &str, rest: &str) -> String {
    let id = field(request, "x-gooseberrylb-attempt-id").unwrap_or_default();
    format!(
        "HTTP/1.1 {status}\r\nConnection: close\r\nX-Gooseberrylb-Attempt-Id: {id}\r\n\
         X-Gooseberrylb-Response-Signature: s.{id}\r\n{rest}"
    )
}

/// Returns the response of the upstream stand-in, which depends on words in the request's target.
fn upstream_response(request: &str) -> String {
    if field(request, "x-gooseberrylb-expect-instance").as_deref() == Some(BAD) {
        return signed_response(request, "500 Oops", "Content-Length: 4\r\n\r\noops");
    }
    let target = request.split(' ').nth(1).unwrap();
    if target.contains("garbage") {
        return "what is this\r\n\r\n".to_owned();
    }
    if target.contains("unsigned") {
        return "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno".to_owned();
    }
    if target.contains("full") {
        let head = "HTTP/1.1 503 Full\r\nX-Gooseberrylb-Not-Executed: 1\r\n";
        return format!("{head}Content-Length: 0\r\n\r\n");
    }
    if target.contains("failed") {
        return signed_response(request, "500 Oops", "Content-Length: 4\r\n\r\noops");
    }
    if target.contains("cut") {
        return signed_response(request, "200 OK", "Content-Length: 10\r\n\r\nhalf");
    }
    if target.contains("paused") {
        thread::sleep(Duration::from_secs(6));
    }
    if target.contains("slow") {
        thread::sleep(Duration::from_millis(1500));
    }
    if target.contains("stream") {
        let event = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n\
                     f\r\nid: 1\ndata: a\n\n\r\n";
        return match target.contains("broken") {
            true => signed_response(request, "200 OK", event),
            false => signed_response(request, "200 OK", &format!("{event}0\r\n\r\n")),
        };
    }
    signed_response(
        request,
        "201 Made",
        "X-Odd:  two  spaces \r\nContent-Length: 5\r\n\r\nhello",
    )
}

/// Upstream of a good release, listed beside the first one during a rollout.
const GOOD: &str = "i-8";

/// Upstream of a bad release, listed beside the first one during a rollout.
const BAD: &str = "i-9";

/// Returns the platform's list with one usable and two unusable upstreams, and with those of the
/// other releases if `releases` is set.
fn list_response(network: Network, releases: bool) -> String {
    let upstream = network.address(STAND_INS, UPSTREAM);
    let instance = format!(
        r#""service":"desk","address":"{upstream}","zone":"lodi","version":"v1","slots":4"#
    );
    let other_release = |name: &str, release: &str| {
        let instance = instance.replace("\"v1\"", &format!("\"{release}\""));
        format!(r#"{{{instance},"state":"ready","id":"{name}"}},"#)
    };
    let others = match releases {
        true => other_release(GOOD, "v2") + &other_release(BAD, "v3"),
        false => String::new(),
    };
    let body = format!(
        r#"{{"instances":[{others}{{{instance},"state":"ready","id":"i-1"}},
            {{"service":"desk","address":7,"state":"ready","id":"i-2"}},
            {{{instance},"state":"resting","id":"i-3"}}],"next":null}}"#
    );
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}")
}

/// Returns a declaration; `extra` is appended to its routes.
fn declaration(version: u32, extra: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[
            {{"name":"plain","host":"a.example","path-prefix":"/plain/","kind":"unsafe","timeout-ms":5000,"target-latency-ms":2000,"priority":1,"service":"desk","max-attempts":2}},
            {{"name":"inner","host":"a.example","path-prefix":"/plain/inner/","kind":"safe","timeout-ms":5000,"priority":1,"service":"desk","allow-anonymous":true}},
            {{"name":"stream","host":"a.example","path-prefix":"/stream/","kind":"streaming","timeout-ms":5000,"target-gap-ms":250,"service":"desk","max-attempts":1}}{extra}
        ],"services":[{{"name":"desk","max-connections":50}}],
        "tenants":[{{"name":"hule","api-keys":["key-1","key-2"]}}]}}"#
    )
}

/// Returns an additional route with the given fields.
fn extra_route(rest: &str) -> String {
    format!(r#",{{"name":"b","kind":"safe",{rest}}}"#)
}

/// Running instances and stand-ins of one test.
struct Fleet {
    network: Network,
    /// Folder of the settings, data and output of the instances.
    home: tempfile::TempDir,
    /// Processes by the host part of their address.
    processes: Vec<(u8, Child)>,
    received: RequestLog,
    /// Whether the upstreams of other releases are listed.
    releases: Arc<AtomicBool>,
    /// Grace period of planned stops, in seconds.
    grace_s: u64,
    _listeners: Vec<TcpListener>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for (_, process) in &mut self.processes {
            process.kill().ok();
            process.wait().ok();
        }
    }
}

/// Returns the settings of an instance: keepers have data folders, and the entry has none.
fn settings(network: Network, host: u8, folder: &Path, grace_s: u64) -> String {
    let at = |port| network.address(host, port);
    let seeds = (1..=3).map(|host| format!("\"{}\"", network.address(host, CONTROL)));
    let seeds: Vec<String> = seeds.collect();
    let (ready, control, directory) = (at(READY), at(CONTROL), at(DIRECTORY));
    let (role, data) = match host {
        ENTRY => (format!(r#""ready": "{ready}","#), String::new()),
        _ => (
            format!(r#""control": "{control}", "directory": "{directory}","#),
            format!(r#""data_folder": "{}","#, folder.display()),
        ),
    };
    format!(
        r#"{{ "name": "{}", "data_centre": "lodi", "region": "padana", "callers": "{}",
            "operators": "{}", "peers_listen": "{}", {data}
            "cluster_key_file": "../key", "operator_token_file": "../key",
            "deployment": {{ "seeds": [{}], "first_start": true, {role} "feed": "{}",
                "grace_s": {grace_s}, "retry_share": 0.2, "retry_slack": 50, "retry_window_s": 10,
                "quota_window_s": 8 }} }}"#,
        at(0).ip(),
        at(CALLERS),
        at(OPERATORS),
        at(PEERS),
        seeds.join(", "),
        network.address(STAND_INS, FEED),
    )
}

impl Fleet {
    /// Starts all processes, submits a declaration, and waits until the entry is ready.
    fn start(number: u8) -> Self {
        Self::start_with_grace(number, 20)
    }

    /// Like [`Fleet::start`], with a grace period for planned stops in seconds.
    fn start_with_grace(number: u8, grace_s: u64) -> Self {
        let network = Network::new(number);
        let received = RequestLog::default();
        let log = received.clone();
        let releases = Arc::new(AtomicBool::new(false));
        let listed = releases.clone();
        let listeners = vec![
            serve(network.address(STAND_INS, FEED), move |_| {
                list_response(network, listed.load(Ordering::SeqCst))
            }),
            serve(network.address(STAND_INS, UPSTREAM), move |request| {
                log.lock().unwrap().push(request.to_owned());
                upstream_response(request)
            }),
        ];
        let home = tempfile::tempdir().unwrap();
        std::fs::write(home.path().join("key"), "0123456789abcdef").unwrap();
        let mut fleet = Self {
            network,
            home,
            processes: Vec::new(),
            received,
            releases,
            grace_s,
            _listeners: listeners,
        };
        for host in 1..=ENTRY {
            fleet.spawn(host);
        }
        fleet.declare(&declaration(3, ""), 200);
        fleet.wait(Self::is_ready);
        fleet
    }

    /// Starts the process of an instance.
    fn spawn(&mut self, host: u8) {
        let folder = self.home.path().join(host.to_string());
        let data = folder.join("data");
        std::fs::create_dir_all(&data).unwrap();
        let file = folder.join("settings.json");
        std::fs::write(&file, settings(self.network, host, &data, self.grace_s)).unwrap();
        let output = std::fs::File::create(folder.join("output")).unwrap();
        let process = Command::new(env!("CARGO_BIN_EXE_gooseberrylb"))
            .arg("--settings")
            .arg(&file)
            .stdout(Stdio::null())
            .stderr(output)
            .spawn()
            .unwrap();
        self.processes.push((host, process));
    }

    /// Waits until a condition holds; panics with the output of all instances after [`TIMEOUT`].
    fn wait(&self, mut done: impl FnMut(&Self) -> bool) {
        let end = Instant::now() + TIMEOUT;
        while !done(self) {
            assert!(Instant::now() < end, "{}", self.output());
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// Returns the log output of all instances.
    fn output(&self) -> String {
        let path = |host: u8| self.home.path().join(host.to_string()).join("output");
        let read = |host| std::fs::read_to_string(path(host)).unwrap_or_default();
        (1..=ENTRY).map(read).collect()
    }

    /// Sends bytes and reads until the connection ends; `None` if connecting or writing fails.
    fn send(&self, host: u8, port: u16, bytes: &str) -> Option<String> {
        let mut stream = TcpStream::connect(self.network.address(host, port)).ok()?;
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        stream.write_all(bytes.as_bytes()).ok()?;
        let mut answer = Vec::new();
        // A reset also ends the response.
        stream.read_to_end(&mut answer).ok();
        Some(String::from_utf8_lossy(&answer).into_owned())
    }

    /// Sends a GET request and returns the response.
    fn get(&self, host: u8, port: u16, target: &str) -> Option<String> {
        let request = format!("GET {target} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        self.send(host, port, &request)
    }

    /// Whether the entry reports that it is ready.
    fn is_ready(&self) -> bool {
        let answer = self.get(ENTRY, READY, "/api/readiness");
        answer.is_some_and(|answer| answer.starts_with("HTTP/1.1 200"))
    }

    /// Sends a declaration to a keeper and returns the response.
    fn put(&self, host: u8, body: &str) -> Option<String> {
        let length = body.len();
        let request = format!(
            "PUT /api/configuration HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n\
             Connection: close\r\n\r\n{body}"
        );
        self.send(host, CONTROL, &request)
    }

    /// Sends a declaration to the keepers in turn until one responds with a status other than 503,
    /// and checks that status.
    fn declare(&self, body: &str, status: u16) -> String {
        let mut answer = String::new();
        let mut host = 0;
        self.wait(|fleet| {
            host = host % 3 + 1;
            answer = fleet.put(host, body).unwrap_or_default();
            !answer.is_empty() && !answer.starts_with("HTTP/1.1 503")
        });
        assert!(
            answer.starts_with(&format!("HTTP/1.1 {status}")),
            "{answer}"
        );
        answer
    }

    /// Returns the declaration in force according to a keeper.
    fn read_declaration(&self, host: u8) -> Option<String> {
        let answer = self.get(host, CONTROL, "/api/configuration")?;
        let (head, body) = answer.split_once("\r\n\r\n")?;
        head.starts_with("HTTP/1.1 200").then(|| body.to_owned())
    }

    /// Waits until each keeper returns `text` as the declaration in force.
    fn wait_until_declared(&self, text: &str) {
        for host in 1..ENTRY {
            self.wait(|fleet| fleet.read_declaration(host).as_deref() == Some(text));
        }
    }

    /// Sends a caller's request with the given additional fields and returns the response.
    fn call(&self, target: &str, fields: &str) -> String {
        let request = format!(
            "POST {target} HTTP/1.1\r\nHost: a.example\r\nX-Gooseberrylb-Attempt-Id: id-1\r\n\
             X-Gooseberrylb-Deadline-Ms: 4000\r\nContent-Length: 3\r\nConnection: close\r\n\
             {fields}\r\nabc"
        );
        self.send(ENTRY, CALLERS, &request).unwrap()
    }

    /// Sends a caller's request and returns the status code of the response.
    fn status(&self, target: &str) -> String {
        let answer = self.call(target, KEY);
        answer.split(' ').nth(1).unwrap_or_default().to_owned()
    }

    /// Sends a signal to the process of an instance.
    fn signal(&self, host: u8, name: &str) {
        let process = self.processes.iter().find(|(known, _)| *known == host);
        let id = process.unwrap().1.id().to_string();
        let killed = Command::new("kill").arg(name).arg(id).status().unwrap();
        assert!(killed.success());
    }

    /// Returns a keeper's response to a request for the addresses of entries.
    fn entries(&self) -> String {
        let target = "/api/resolve?name=a.example&region=padana&zone=lodi";
        self.get(2, DIRECTORY, target).unwrap_or_default()
    }

    /// Returns the requests that the upstream stand-in has received.
    fn received(&self) -> Vec<String> {
        self.received.lock().unwrap().clone()
    }
}

/// Header field with the key of the client account.
const KEY: &str = "Authorization: Token key-1\r\n";

#[test]
fn requests_and_responses_are_forwarded_unchanged() {
    let fleet = Fleet::start(0);
    let forged = "X-Gooseberrylb-Tenant: other\r\nKv-From: 1.2.3.4:5/6\r\nX-Mine: a  b\r\n";
    let target = "/plain/%2e%2E/a%20b//c?x=%00&y=";
    let answer = fleet.call(target, &format!("{KEY}{forged}"));
    assert!(answer.starts_with("HTTP/1.1 201 Made\r\n"), "{answer}");
    assert!(answer.contains("X-Gooseberrylb-Response-Signature: s.id-1\r\n"));
    assert!(answer.ends_with("\r\n\r\nhello"));
    let request = fleet.received().remove(0);
    assert!(
        request.starts_with(&format!("POST {target} HTTP/1.1\r\n")),
        "{request}"
    );
    assert!(request.ends_with("\r\n\r\nabc"));
    let value = |name| field(&request, name);
    assert_eq!(value("x-gooseberrylb-tenant").as_deref(), Some("hule"));
    let expected_instance = value("x-gooseberrylb-expect-instance");
    assert_eq!(expected_instance.as_deref(), Some("i-1"));
    assert_eq!(value("x-gooseberrylb-attempt-id").as_deref(), Some("id-1"));
    assert_eq!(value("x-mine").as_deref(), Some("a  b"));
    assert_eq!(value("authorization"), None);
    assert_eq!(value("kv-from"), None);
    let time_left: u32 = value("x-gooseberrylb-deadline-ms")
        .unwrap()
        .parse()
        .unwrap();
    assert!(time_left <= 4000);

    // Responses are those of the upstream, or report correctly what is known of the request.
    let stream = fleet.call("/stream/1", KEY);
    assert!(
        stream.ends_with("id: 1\ndata: a\n\n\r\n0\r\n\r\n"),
        "{stream}"
    );
    assert_eq!(fleet.status("/plain/failed"), "500");
    let refused = fleet.call("/plain/full", KEY);
    assert!(refused.starts_with("HTTP/1.1 503"), "{refused}");
    assert!(field(&refused, "retry-after").is_some());
    let broken = fleet.call("/stream/broken", KEY);
    assert!(broken.contains("data: a"), "{broken}");
    assert!(!broken.ends_with("0\r\n\r\n"), "{broken}");
    let not_repeated = ["/plain/garbage", "/plain/unsigned", "/plain/cut"];
    for target in not_repeated {
        assert_eq!(fleet.status(target), "502", "{target}");
    }
    for target in not_repeated
        .into_iter()
        .chain(["/plain/failed", "/stream/broken"])
    {
        let runs = fleet
            .received()
            .iter()
            .filter(|r| r.contains(target))
            .count();
        assert_eq!(runs, 1, "{target} must run at most once");
    }

    // Requests that are not allowed or have ambiguous framing reach no upstream.
    let before = fleet.received().len();
    assert_eq!(fleet.status("/none/"), "404");
    let call = |fields| fleet.call("/plain/x", fields);
    assert!(call("").starts_with("HTTP/1.1 401"));
    assert!(call("Authorization: Token key-9\r\n").starts_with("HTTP/1.1 401"));
    assert!(call("Transfer-Encoding: chunked\r\n").starts_with("HTTP/1.1 400"));
    assert!(call("Content-Length: 3\r\n").starts_with("HTTP/1.1 400"));
    assert!(call("Bad Name: 3\r\n").starts_with("HTTP/1.1 400"));
    assert_eq!(fleet.received().len(), before);
    let anonymous = fleet.call("/plain/inner/x", "");
    assert!(anonymous.starts_with("HTTP/1.1 201"), "{anonymous}");
}

#[test]
fn declarations_are_checked_stored_verbatim_and_not_replaced_by_older_ones() {
    let fleet = Fleet::start(1);
    fleet.wait_until_declared(&declaration(3, ""));
    // The operators' interface returns the same declaration, and the list of upstreams.
    let token = "Authorization: Bearer 0123456789abcdef\r\nConnection: close\r\n";
    let read = |path: &str| {
        let request = format!("GET {path} HTTP/1.1\r\nHost: x\r\n{token}\r\n");
        fleet.send(ENTRY, OPERATORS, &request).unwrap()
    };
    assert!(read("/v1/declaration").ends_with(&declaration(3, "")));
    let listed = read("/v1/upstreams");
    assert!(listed.contains("i-1") && !listed.contains("i-2") && !listed.contains("i-3"));
    let shared_key = r#"},{"name":"other","api-keys":["key-2"]}]}"#;
    let duplicate_prefix =
        r#""host":"a.example","path-prefix":"/plain/","timeout-ms":1,"service":"desk""#;
    let zero_weights = r#""host":"b.example","path-prefix":"/","timeout-ms":1,"traffic-split":[{"service":"desk","weight":0}]"#;
    let no_time_limit = r#""host":"b.example","path-prefix":"/","timeout-ms":0,"service":"desk""#;
    let unknown_service = r#""host":"b.example","path-prefix":"/","timeout-ms":1,"service":"nil""#;
    let bad = [
        ("EOF", declaration(4, "").replace("}]}", "")),
        (
            "no service nil",
            declaration(4, &extra_route(unknown_service)),
        ),
        (
            "host and prefix",
            declaration(2, &extra_route(duplicate_prefix)),
        ),
        ("weights", declaration(4, &extra_route(zero_weights))),
        ("time limit", declaration(4, &extra_route(no_time_limit))),
        ("share a key", declaration(4, "").replace("}]}", shared_key)),
    ];
    for (cause, body) in bad {
        let answer = fleet.declare(&body, 400);
        assert!(answer.contains(cause), "{cause}: {answer}");
    }
    fleet.wait_until_declared(&declaration(3, ""));
    // An older declaration, and another one of the same version, are acknowledged without effect.
    fleet.declare(&declaration(2, ""), 200);
    fleet.declare(&declaration(3, "").replace("hule", "gone"), 200);
    fleet.wait_until_declared(&declaration(3, ""));
    let newer = declaration(9, "").replace(r#"["key-1","key-2"]"#, r#"["key-2"]"#);
    fleet.declare(&newer, 200);
    fleet.wait_until_declared(&newer);
    fleet.wait(|fleet| fleet.call("/plain/x", KEY).starts_with("HTTP/1.1 401"));
    let other = fleet.call("/plain/x", "Authorization: Token key-2\r\n");
    assert!(other.starts_with("HTTP/1.1 201"), "{other}");
}

#[test]
fn hangup_signal_cuts_nothing_and_planned_stop_serves_received_requests() {
    let mut fleet = Fleet::start(2);
    fleet.signal(ENTRY, "-HUP");
    fleet.signal(1, "-HUP");
    assert_eq!(fleet.status("/plain/after-hup"), "201");
    let address = fleet.network.address(ENTRY, CALLERS).to_string();
    fleet.wait(|fleet| fleet.entries().contains(&address));

    let answers = thread::scope(|scope| {
        let slow = scope.spawn(|| fleet.call("/plain/slow", KEY));
        fleet.wait(|fleet| fleet.received().iter().any(|r| r.contains("/plain/slow")));
        fleet.signal(ENTRY, "-TERM");
        fleet.wait(|fleet| !fleet.is_ready());
        fleet.wait(|fleet| !fleet.entries().contains(&address));
        let late = fleet.call("/plain/late", KEY);
        [slow.join().unwrap(), late]
    });
    for answer in answers {
        assert!(answer.starts_with("HTTP/1.1 201"), "{answer}");
        assert!(answer.ends_with("hello"), "{answer}");
    }
    let mut processes = fleet.processes.iter_mut();
    let (_, entry) = processes.find(|(host, _)| *host == ENTRY).unwrap();
    let status = entry.wait().unwrap();
    assert!(status.success(), "{status}");
}

/// Found on days with `roll_term`: callers that kept the address of a stopping entry sent streams
/// that were cut when it exited.
#[test]
fn stopping_entry_refuses_late_requests_that_may_outlast_it() {
    let mut fleet = Fleet::start_with_grace(5, 8);
    thread::scope(|scope| {
        // Keeps the process from exiting before its grace period ends.
        scope.spawn(|| fleet.call("/plain/paused", KEY));
        fleet.wait(|fleet| fleet.received().iter().any(|r| r.contains("/plain/paused")));
        fleet.signal(ENTRY, "-TERM");
        thread::sleep(Duration::from_millis(3_500));
        let late = fleet.call("/stream/late", KEY);
        assert!(late.starts_with("HTTP/1.1 503"), "{late}");
        assert_eq!(field(&late, "retry-after").as_deref(), Some("0.00"));
        assert_eq!(field(&late, "connection").as_deref(), Some("close"));
    });
    assert!(!fleet.received().iter().any(|r| r.contains("/stream/late")));
    let mut processes = fleet.processes.iter_mut();
    let (_, entry) = processes.find(|(host, _)| *host == ENTRY).unwrap();
    let status = entry.wait().unwrap();
    assert!(status.success(), "{status}");
}

impl Fleet {
    /// Sends an order of a rollout to a keeper and returns the response.
    fn roll_out(&self, host: u8, order: &str) -> String {
        let length = order.len();
        let request = format!(
            "POST /api/rollouts HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n\
             Connection: close\r\n\r\n{order}"
        );
        self.send(host, CONTROL, &request).unwrap_or_default()
    }

    /// Returns the number of requests that were addressed to an upstream.
    fn requests_to(&self, name: &str) -> usize {
        let received = self.received();
        let is_addressed =
            |r: &&String| field(r, "x-gooseberrylb-expect-instance").as_deref() == Some(name);
        received.iter().filter(is_addressed).count()
    }

    /// Sends requests until each keeper reports the rollout in the given state.
    fn wait_for_state(&self, state: &str) {
        let reads_back = |fleet: &Self, host| {
            let answer = fleet.get(host, CONTROL, "/api/rollouts/desk");
            answer.is_some_and(|answer| answer.contains(state))
        };
        self.wait(|fleet| {
            (0..10).for_each(|_| drop(fleet.call("/plain/x", KEY)));
            (1..ENTRY).all(|host| reads_back(fleet, host))
        });
    }
}

#[test]
fn rollout_completes_for_good_release_and_rolls_back_bad_one() {
    let fleet = Fleet::start(4);
    fleet.wait_until_declared(&declaration(3, ""));
    let absent = fleet.get(1, CONTROL, "/api/rollouts/desk").unwrap();
    assert!(absent.starts_with("HTTP/1.1 404"), "{absent}");
    for (order, status) in [
        (r#"{"service":"desk"}"#, 400),
        (r#"{"service":"nil","target":"v2","duration-s":9}"#, 404),
    ] {
        let answer = fleet.roll_out(1, order);
        assert!(
            answer.starts_with(&format!("HTTP/1.1 {status}")),
            "{answer}"
        );
    }
    let bad = r#"{"service":"desk","target":"v3","duration-s":60}"#;
    let good = r#"{"service":"desk","target":"v2","duration-s":20}"#;
    let accepted = |answer: &str| answer.starts_with("HTTP/1.1 200");
    fleet.wait(|fleet| accepted(&fleet.roll_out(1, bad)));
    fleet.releases.store(true, Ordering::SeqCst);
    // Repeated at another keeper, it is the same order. A different order is refused meanwhile.
    fleet.wait(|fleet| accepted(&fleet.roll_out(2, bad)));
    fleet.wait(|fleet| fleet.roll_out(3, good).starts_with("HTTP/1.1 409"));
    fleet.wait_for_state("rolled_back");
    let bad_requests = fleet.requests_to(BAD);
    assert!((1..=50).contains(&bad_requests), "{bad_requests}");
    fleet.wait(|fleet| accepted(&fleet.roll_out(3, good)));
    fleet.wait_for_state("completed");
    // After completion all requests go to the good release.
    let others = fleet.received().len() - fleet.requests_to(GOOD);
    (0..20).for_each(|_| drop(fleet.call("/plain/x", KEY)));
    assert_eq!(fleet.received().len() - fleet.requests_to(GOOD), others);
    assert_eq!(fleet.requests_to(BAD), bad_requests);
    let token = "Authorization: Bearer 0123456789abcdef\r\nConnection: close\r\n";
    let request = format!("GET /v1/rollouts HTTP/1.1\r\nHost: x\r\n{token}\r\n");
    let rollouts = fleet.send(ENTRY, OPERATORS, &request).unwrap();
    assert!(
        rollouts.contains("completed") && rollouts.contains("v2"),
        "{rollouts}"
    );
}
