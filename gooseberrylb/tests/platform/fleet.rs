//! Instances and stand-ins of one test, each on its own loopback address.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::standin::{CutOff, list_response, serve, upstream_response};

/// Time limit for each wait. The tests make no other assertion about durations.
pub const TIMEOUT: Duration = Duration::from_secs(60);

pub const PEERS: u16 = 17_600;
pub const OPERATORS: u16 = 17_602;
pub const DIRECTORY: u16 = 17_620;
pub const CALLERS: u16 = 17_621;
pub const READY: u16 = 17_624;
pub const CONTROL: u16 = 17_629;
pub const FEED: u16 = 17_630;
pub const UPSTREAM: u16 = 17_640;

/// Host part of the first entry's address. The keepers have 1 to 3.
pub const ENTRY: u8 = 4;
/// Host part of the address of the last entry that a test may start.
const LAST_ENTRY: u8 = 6;
/// Host part of the stand-ins' address.
pub const STAND_INS: u8 = 9;

/// Maximum number of fleets, whose tests may run at the same time.
const MAX_FLEETS: u8 = 50;

/// Loopback network of one test, derived from the process id so that its ports are free.
#[derive(Clone, Copy)]
pub struct Network {
    second: u8,
    third: u8,
}

impl Network {
    pub fn new(number: u8) -> Self {
        let pid = std::process::id();
        Self {
            second: 10 + u8::try_from(pid % 200).unwrap(),
            third: u8::try_from(pid / 200 % 5).unwrap() * MAX_FLEETS + number,
        }
    }

    pub fn address(self, host: u8, port: u16) -> SocketAddr {
        let ip = Ipv4Addr::new(127, self.second, self.third, host);
        SocketAddr::new(ip.into(), port)
    }
}

/// Requests that the upstream stand-in has received, with the times.
pub type RequestLog = Arc<Mutex<Vec<(Instant, String)>>>;

/// Returns the value of a header field.
pub fn field(message: &str, name: &str) -> Option<String> {
    let head = message.split("\r\n\r\n").next()?;
    let mut fields = head.lines().filter_map(|line| line.split_once(": "));
    let found = fields.find(|(known, _)| known.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.to_owned())
}

/// Returns a declaration; `extra` is appended to its routes.
pub fn declaration(version: u32, extra: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[
            {{"name":"plain","host":"a.example","path-prefix":"/plain/","kind":"unsafe","timeout-ms":5000,"target-latency-ms":2000,"priority":1,"service":"desk","max-attempts":2}},
            {{"name":"inner","host":"a.example","path-prefix":"/plain/inner/","kind":"safe","timeout-ms":5000,"priority":1,"service":"desk","allow-anonymous":true}},
            {{"name":"stream","host":"a.example","path-prefix":"/stream/","kind":"streaming","timeout-ms":5000,"target-gap-ms":250,"service":"desk","max-attempts":1}},
            {{"name":"resumable","host":"a.example","path-prefix":"/resumable/","kind":"streaming","timeout-ms":5000,"target-gap-ms":250,"service":"pair","max-attempts":2,"resume-streams":true}},
            {{"name":"pair","host":"a.example","path-prefix":"/pair/","kind":"safe","timeout-ms":5000,"target-latency-ms":2000,"service":"pair","max-attempts":2}},
            {{"name":"crowd","host":"a.example","path-prefix":"/crowd/","kind":"streaming","timeout-ms":5000,"target-gap-ms":250,"service":"crowd","max-attempts":1}},
            {{"name":"lookup","host":"a.example","path-prefix":"/lookup/","kind":"safe","timeout-ms":5000,"target-latency-ms":2000,"service":"crowd","max-attempts":2}}{extra}
        ],"services":[{{"name":"desk","max-connections":50}},{{"name":"pair","max-connections":50}},{{"name":"crowd","max-connections":50}}],
        "tenants":[{{"name":"hule","api-keys":["key-1","key-2"]}}]}}"#
    )
}

/// Returns an additional route with the given fields.
pub fn extra_route(rest: &str) -> String {
    format!(r#",{{"name":"b","kind":"safe",{rest}}}"#)
}

/// Running instances and stand-ins of one test.
pub struct Fleet {
    pub network: Network,
    /// Folder of the settings, data and output of the instances.
    home: tempfile::TempDir,
    /// Processes by the host part of their address.
    pub processes: Vec<(u8, Child)>,
    received: RequestLog,
    /// Whether the upstreams of other releases are listed.
    pub releases: Arc<AtomicBool>,
    /// Processes that are cut off from the upstreams.
    cut_off: CutOff,
    /// Grace period of planned stops, in seconds.
    grace_s: u64,
    /// Further settings of the deployment, each with a comma before it.
    deployment: String,
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

/// Returns the settings of an instance: keepers have data folders, and entries have none.
pub fn settings(
    network: Network,
    host: u8,
    folder: &Path,
    grace_s: u64,
    deployment: &str,
) -> String {
    let at = |port| network.address(host, port);
    let seeds = (1..=3).map(|host| format!("\"{}\"", network.address(host, CONTROL)));
    let seeds: Vec<String> = seeds.collect();
    let (ready, control, directory) = (at(READY), at(CONTROL), at(DIRECTORY));
    let (role, data) = match host {
        ENTRY.. => (format!(r#""ready": "{ready}","#), String::new()),
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
                "quota_window_s": 8 {deployment} }} }}"#,
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
    pub fn start(number: u8) -> Self {
        Self::start_with_grace(number, 20)
    }

    /// Like [`Fleet::start`], with a grace period for planned stops in seconds.
    pub fn start_with_grace(number: u8, grace_s: u64) -> Self {
        Self::start_with(number, grace_s, String::new())
    }

    /// Like [`Fleet::start`], with a share of requests of which a second copy may be sent.
    pub fn start_with_copies(number: u8, copy_share: f64) -> Self {
        Self::start_with(number, 20, format!(r#", "copy_share": {copy_share:?}"#))
    }

    /// Like [`Fleet::start`], with a time in which a change must be in force.
    pub fn start_with_change_limit(number: u8, limit: Duration) -> Self {
        let limit = limit.as_millis();
        Self::start_with(number, 20, format!(r#", "change_limit_ms": {limit}"#))
    }

    /// Like [`Fleet::start`], with a time in which a change must be answered.
    pub fn start_with_answer_limit(number: u8, limit: Duration) -> Self {
        let limit = limit.as_millis();
        let bounds = format!(r#", "bounds": {{ "answer_limit_ms": {limit} }}"#);
        Self::start_with(number, 20, bounds)
    }

    fn start_with(number: u8, grace_s: u64, deployment: String) -> Self {
        let network = Network::new(number);
        let received = RequestLog::default();
        let log = received.clone();
        let releases = Arc::new(AtomicBool::new(false));
        let listed = releases.clone();
        let cut_off = CutOff::default();
        let listeners = vec![
            serve(
                network.address(STAND_INS, FEED),
                CutOff::default(),
                move |_| list_response(network, listed.load(Ordering::SeqCst)),
            ),
            serve(
                network.address(STAND_INS, UPSTREAM),
                cut_off.clone(),
                move |request| {
                    let mut log = log.lock().unwrap();
                    let target = |text: &str| text.split(' ').nth(1).map(str::to_owned);
                    let earlier = log.iter().filter(|(_, r)| target(r) == target(request));
                    let earlier = earlier.count();
                    log.push((Instant::now(), request.to_owned()));
                    drop(log);
                    upstream_response(request, earlier)
                },
            ),
        ];
        let home = tempfile::tempdir().unwrap();
        std::fs::write(home.path().join("key"), "0123456789abcdef").unwrap();
        let mut fleet = Self {
            network,
            home,
            processes: Vec::new(),
            received,
            releases,
            cut_off,
            grace_s,
            deployment,
            _listeners: listeners,
        };
        for host in 1..=ENTRY {
            fleet.spawn(host);
        }
        fleet.declare(&declaration(3, ""), 200);
        fleet.wait(Self::is_ready);
        fleet
    }

    /// Starts one more entry and waits until it is ready.
    pub fn start_entry(&mut self, host: u8) {
        assert!((ENTRY..=LAST_ENTRY).contains(&host));
        self.spawn(host);
        self.wait(|fleet| fleet.is_ready_at(host));
    }

    /// Starts the process of an instance.
    pub fn spawn(&mut self, host: u8) {
        let folder = self.home.path().join(host.to_string());
        let data = folder.join("data");
        std::fs::create_dir_all(&data).unwrap();
        let file = folder.join("settings.json");
        std::fs::write(
            &file,
            settings(self.network, host, &data, self.grace_s, &self.deployment),
        )
        .unwrap();
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
    pub fn wait(&self, mut done: impl FnMut(&Self) -> bool) {
        let end = Instant::now() + TIMEOUT;
        while !done(self) {
            assert!(Instant::now() < end, "{}", self.output());
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// Returns the log output of all instances.
    pub fn output(&self) -> String {
        let path = |host: u8| self.home.path().join(host.to_string()).join("output");
        let read = |host| std::fs::read_to_string(path(host)).unwrap_or_default();
        (1..=LAST_ENTRY).map(read).collect()
    }

    /// Sends bytes and reads until the connection ends; `None` if connecting or writing fails.
    pub fn send(&self, host: u8, port: u16, bytes: &str) -> Option<String> {
        self.send_after(Duration::ZERO, host, port, bytes)
    }

    /// Like [`Fleet::send`], with a pause between connecting and sending.
    fn send_after(&self, pause: Duration, host: u8, port: u16, bytes: &str) -> Option<String> {
        let mut stream = TcpStream::connect(self.network.address(host, port)).ok()?;
        thread::sleep(pause);
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        stream.write_all(bytes.as_bytes()).ok()?;
        let mut answer = Vec::new();
        // A reset also ends the response.
        stream.read_to_end(&mut answer).ok();
        Some(String::from_utf8_lossy(&answer).into_owned())
    }

    /// Sends a GET request and returns the response.
    pub fn get(&self, host: u8, port: u16, target: &str) -> Option<String> {
        let request = format!("GET {target} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        self.send(host, port, &request)
    }

    /// Whether the first entry reports that it is ready.
    pub fn is_ready(&self) -> bool {
        self.is_ready_at(ENTRY)
    }

    /// Whether an entry reports that it is ready.
    fn is_ready_at(&self, host: u8) -> bool {
        let answer = self.get(host, READY, "/api/readiness");
        answer.is_some_and(|answer| answer.starts_with("HTTP/1.1 200"))
    }

    /// Sends a declaration to a keeper and returns the response.
    pub fn put(&self, host: u8, body: &str) -> Option<String> {
        let length = body.len();
        let request = format!(
            "PUT /api/configuration HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n\
             Connection: close\r\n\r\n{body}"
        );
        self.send(host, CONTROL, &request)
    }

    /// Sends a declaration to the keepers in turn until one responds with a status other than 503,
    /// and checks that status.
    pub fn declare(&self, body: &str, status: u16) -> String {
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
    pub fn read_declaration(&self, host: u8) -> Option<String> {
        let answer = self.get(host, CONTROL, "/api/configuration")?;
        let (head, body) = answer.split_once("\r\n\r\n")?;
        head.starts_with("HTTP/1.1 200").then(|| body.to_owned())
    }

    /// Waits until each keeper returns `text` as the declaration in force.
    pub fn wait_until_declared(&self, text: &str) {
        for host in 1..ENTRY {
            self.wait(|fleet| fleet.read_declaration(host).as_deref() == Some(text));
        }
    }

    /// Sends a caller's request with the given additional fields to the first entry and returns the
    /// response.
    pub fn call(&self, target: &str, fields: &str) -> String {
        self.call_at(ENTRY, target, fields)
    }

    /// Like [`Fleet::call`], to any entry.
    pub fn call_at(&self, host: u8, target: &str, fields: &str) -> String {
        self.send(host, CALLERS, &call_text(target, fields))
            .unwrap()
    }

    /// Like [`Fleet::call`], with a pause between connecting and sending.
    pub fn call_after(&self, pause: Duration, target: &str, fields: &str) -> String {
        let text = call_text(target, fields);
        self.send_after(pause, ENTRY, CALLERS, &text).unwrap()
    }

    /// Sends a caller's request in HTTP/1.0 and reads until the connection ends in order.
    pub fn call_http_1_0(&self, target: &str) -> std::io::Result<String> {
        let request = format!(
            "GET {target} HTTP/1.0\r\nHost: a.example\r\nX-Gooseberrylb-Attempt-Id: id-1\r\n{KEY}\r\n"
        );
        let mut stream = TcpStream::connect(self.network.address(ENTRY, CALLERS))?;
        stream.set_read_timeout(Some(TIMEOUT))?;
        stream.write_all(request.as_bytes())?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer)?;
        Ok(answer)
    }

    /// Sends a caller's request and returns the status code of the response.
    pub fn status(&self, target: &str) -> String {
        let answer = self.call(target, KEY);
        answer.split(' ').nth(1).unwrap_or_default().to_owned()
    }

    /// Cuts an entry off from all upstreams, or ends that for all entries.
    pub fn cut_off(&self, host: Option<u8>) {
        let processes = self.processes.iter();
        let cut_off = processes.filter(|(known, _)| Some(*known) == host);
        *self.cut_off.lock().unwrap() = cut_off.map(|(_, process)| process.id()).collect();
    }

    /// Sends a signal to the process of an instance.
    pub fn signal(&self, host: u8, name: &str) {
        let process = self.processes.iter().find(|(known, _)| *known == host);
        let id = process.unwrap().1.id().to_string();
        let killed = Command::new("kill").arg(name).arg(id).status().unwrap();
        assert!(killed.success());
    }

    /// Returns a keeper's response to a request for the addresses of entries.
    pub fn entries(&self) -> String {
        let target = "/api/resolve?name=a.example&region=padana&zone=lodi";
        self.get(2, DIRECTORY, target).unwrap_or_default()
    }

    /// Returns the number of requests that were addressed to an upstream.
    pub fn requests_to(&self, name: &str) -> usize {
        self.arrivals_at(name).len()
    }

    /// Returns the times at which requests that were addressed to an upstream arrived.
    pub fn arrivals_at(&self, name: &str) -> Vec<Instant> {
        let received = self.received.lock().unwrap();
        let is_addressed =
            |r: &str| field(r, "x-gooseberrylb-expect-instance").as_deref() == Some(name);
        let addressed = received.iter().filter(|(_, request)| is_addressed(request));
        addressed.map(|(at, _)| *at).collect()
    }

    /// Returns the requests that the upstream stand-in has received.
    pub fn received(&self) -> Vec<String> {
        let received = self.received.lock().unwrap();
        received
            .iter()
            .map(|(_, request)| request.clone())
            .collect()
    }
}

/// Returns a caller's request.
fn call_text(target: &str, fields: &str) -> String {
    format!(
        "POST {target} HTTP/1.1\r\nHost: a.example\r\nX-Gooseberrylb-Attempt-Id: id-1\r\n\
         X-Gooseberrylb-Deadline-Ms: 4000\r\nContent-Length: 3\r\nConnection: close\r\n\
         {fields}\r\nabc"
    )
}

/// Header field with the key of the client account.
pub const KEY: &str = "Authorization: Token key-1\r\n";
