//! What all scripts share: settings, processes, HTTP, a list of runners, and the record.

use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub const PEERS: u16 = 7600;
pub const DIRECTORY: u16 = 8220;
pub const CALLERS: u16 = 8221;
pub const READY: u16 = 8224;
pub const LIST: u16 = 8225;
pub const CONTROL: u16 = 8229;
pub const RUNNER: u16 = 8080;

/// Host part of the address of the machine with the stand-ins.
pub const STAND_INS: u8 = 200;

/// What was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create() -> Self {
        let path = std::env::var("RECORD").expect("RECORD names the record file");
        Self {
            started: Instant::now(),
            file: Arc::new(Mutex::new(
                File::create(path).expect("the record can be created"),
            )),
        }
    }

    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let line = format!("{at:8.3}  {text}\n");
        print!("{line}");
        self.file.lock().unwrap().write_all(line.as_bytes()).ok();
    }
}

/// Machine of the deployment.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Class {
    Core,
    Front,
}

/// Processes of a small deployment. All are killed when it is dropped.
pub struct Deployment {
    net: (u8, u8),
    home: PathBuf,
    processes: Vec<(u8, Class, Child)>,
    seeds: Vec<u8>,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for (_, _, process) in &mut self.processes {
            process.kill().ok();
            process.wait().ok();
        }
        STARTED.lock().unwrap().clear();
        fs::remove_dir_all(&self.home).ok();
    }
}

impl Deployment {
    /// Picks a loopback network on which no port is taken, and a temporary folder.
    pub fn new(seeds: &[u8]) -> Self {
        let pid = std::process::id();
        let net = (0..50_u32)
            .map(|i| {
                (
                    100 + ((pid / 250 + i) % 100) as u8,
                    1 + ((pid + i) % 250) as u8,
                )
            })
            .find(|net| {
                let ip = Ipv4Addr::new(127, net.0, net.1, STAND_INS);
                [LIST, RUNNER, CONTROL]
                    .iter()
                    .all(|port| TcpListener::bind((ip, *port)).is_ok())
            })
            .unwrap_or_else(|| unable("no loopback network is free"));
        let home = std::env::temp_dir().join(format!("gooseberrylb-review-{pid}"));
        fs::create_dir_all(&home).unwrap_or_else(|e| unable(&e.to_string()));
        Self {
            net,
            home,
            processes: Vec::new(),
            seeds: seeds.to_vec(),
        }
    }

    pub fn address(&self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::new(
            Ipv4Addr::new(127, self.net.0, self.net.1, host).into(),
            port,
        )
    }

    /// Returns the settings that the template of the deploy file gives for a machine.
    fn settings(&self, host: u8, class: Class, first_start: bool) -> String {
        let at = |port| self.address(host, port);
        let seeds: Vec<_> = self
            .seeds
            .iter()
            .map(|h| format!("\"{}\"", self.address(*h, CONTROL)))
            .collect();
        let ip = at(0).ip();
        let (own, listen, memory) = match class {
            Class::Front => (
                format!(r#""callers": "{}","#, at(CALLERS)),
                format!(r#""ready": "{}","#, at(READY)),
                260,
            ),
            Class::Core => (
                format!(
                    r#""callers": "{}", "data_folder": "{}","#,
                    at(PEERS + 1),
                    self.data_folder(host).display()
                ),
                format!(
                    r#""control": "{}", "directory": "{}","#,
                    at(CONTROL),
                    at(DIRECTORY)
                ),
                256,
            ),
        };
        let zone = ["cremona", "lodi", "mantova"][usize::from(host) % 3];
        format!(
            r#"{{ "name": "{ip}", "data_centre": "{zone}", "region": "padana", {own}
  "peers_listen": "{ip}:{PEERS}", "operators": "{ip}:7602", "base_folder": ".",
  "cluster_key_file": "deploy/cluster.key", "operator_token_file": "deploy/operator.token",
  "log": {{ "level": "info", "stdout": true }}, "limits": {{ "connections": 3000, "memory_mb": {memory} }},
  "deployment": {{ "seeds": [{}], "first_start": {first_start}, {listen} "feed": "{}",
    "grace_s": 8, "retry_share": 0.2, "retry_slack": 52, "retry_window_s": 10,
    "data_centres": [{{ "data_centre": "cremona", "region": "padana" }}, {{ "data_centre": "lodi", "region": "padana" }}, {{ "data_centre": "mantova", "region": "padana" }}],
    "trial_share": 0.1, "change_limit_ms": 2000, "drain_limit_ms": 3000, "quota_window_s": 8,
    "bounds": {{ "catch_up_s": 4, "answer_limit_ms": 4000, "settle_limit_ms": 3000, "recovery_limit_s": 12, "revoke_limit_ms": 5000 }},
    "tolerance": {{ "machines": 1, "zones": 0, "regions": 0 }} }} }}"#,
            seeds.join(", "),
            self.address(STAND_INS, LIST),
        )
    }

    fn data_folder(&self, host: u8) -> PathBuf {
        self.home.join(format!("{host}/data"))
    }

    /// Starts the program of a machine with the command of the deploy file.
    pub fn start(&mut self, host: u8, class: Class, first_start: bool) {
        let folder = self.home.join(host.to_string());
        fs::create_dir_all(self.data_folder(host)).unwrap_or_else(|e| unable(&e.to_string()));
        let settings = folder.join("node.toml");
        fs::write(&settings, self.settings(host, class, first_start))
            .unwrap_or_else(|e| unable(&e.to_string()));
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(folder.join("log"))
            .unwrap();
        let process = Command::new("target/release/gooseberrylb")
            .arg("--settings")
            .arg(&settings)
            .env("ASYNC_STD_THREAD_COUNT", "1")
            .stdin(Stdio::null())
            .stderr(log.try_clone().unwrap())
            .stdout(log)
            .spawn()
            .unwrap_or_else(|e| unable(&format!("the program does not start: {e}")));
        STARTED.lock().unwrap().push(process.id());
        self.processes.push((host, class, process));
    }

    /// Returns the log of a machine's processes.
    pub fn log(&self, host: u8) -> String {
        fs::read_to_string(self.home.join(format!("{host}/log"))).unwrap_or_default()
    }

    /// Kills the processes of machines with SIGKILL, at the same moment.
    pub fn kill(&mut self, hosts: &[u8]) {
        let (killed, left): (Vec<_>, Vec<_>) = std::mem::take(&mut self.processes)
            .into_iter()
            .partition(|(h, _, _)| hosts.contains(h));
        self.processes = left;
        let mut killed = killed;
        for (_, _, process) in &mut killed {
            process.kill().ok();
        }
        for (_, _, process) in &mut killed {
            process.wait().ok();
            let id = process.id();
            STARTED.lock().unwrap().retain(|known| *known != id);
        }
    }

    /// Sends a signal to the process of a machine.
    pub fn signal(&self, host: u8, name: &str) {
        for (_, _, process) in self.processes.iter().filter(|(h, _, _)| *h == host) {
            Command::new("kill")
                .arg(name)
                .arg(process.id().to_string())
                .status()
                .ok();
        }
    }

    /// Whether a process has ended by itself.
    pub fn ended(&mut self) -> Vec<u8> {
        let ended =
            self.processes
                .iter_mut()
                .filter_map(|(host, _, process)| match process.try_wait() {
                    Ok(Some(_)) => Some(*host),
                    _ => None,
                });
        ended.collect()
    }
}

/// Ids of the processes that were started and not ended yet.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes and the script if it takes longer than `limit`.
pub fn watch(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        end(2, "the script took too long");
    });
}

/// Ends all processes that were started, and then the script.
fn end(code: i32, why: &str) -> ! {
    eprintln!("{why}");
    for id in STARTED.lock().unwrap().iter() {
        Command::new("kill")
            .arg("-9")
            .arg(id.to_string())
            .status()
            .ok();
    }
    std::process::exit(code)
}

/// Ends the script, since the case could not be run.
pub fn unable(why: &str) -> ! {
    end(2, &format!("the case could not be run: {why}"))
}

/// Answer to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    pub status: u16,
    pub body: String,
}

/// Makes a call on a new connection; `None` if there is no whole answer within `limit`.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    body: &str,
    limit: Duration,
) -> Option<Answer> {
    let end = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    let head = format!(
        "{method} {target} HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    stream.write_all((head + body).as_bytes()).ok()?;
    let mut bytes = Vec::new();
    loop {
        let left = end
            .checked_duration_since(Instant::now())
            .filter(|left| !left.is_zero())?;
        stream.set_read_timeout(Some(left)).ok()?;
        let mut part = [0; 16 * 1024];
        match stream.read(&mut part) {
            Ok(0) => break,
            Ok(count) => bytes.extend_from_slice(&part[..count]),
            Err(_) => return None,
        }
    }
    parse(&bytes)
}

/// Returns the status and the body of a whole answer.
fn parse(bytes: &[u8]) -> Option<Answer> {
    let text = String::from_utf8_lossy(bytes);
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let length = field(head, "content-length").and_then(|length| length.parse::<usize>().ok());
    if length.is_some_and(|length| body.len() < length) {
        return None;
    }
    Some(Answer {
        status,
        body: body.to_owned(),
    })
}

/// Returns the value of a header field.
pub fn field(head: &str, name: &str) -> Option<String> {
    let mut fields = head.lines().skip(1).filter_map(|line| line.split_once(':'));
    let found = fields.find(|(known, _)| known.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.trim().to_owned())
}

/// Reads a request with a `Content-Length` from a connection; `None` at its end.
pub fn read_request(stream: &mut TcpStream) -> Option<(String, Vec<u8>)> {
    let mut head = Vec::new();
    let mut byte = [0; 1];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let length = field(&head, "content-length")
        .and_then(|l| l.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some((head, body))
}

/// Returns the entry of a runner in the provider's list.
pub fn entry(id: &str, service: &str, address: SocketAddr, version: &str, state: &str) -> String {
    format!(
        r#"{{"service":"{service}","address":"{address}","zone":"lodi","version":"{version}","slots":6,"state":"{state}","cold-remaining-ms":0,"stage":"both","models":[{{"name":"m","version":1,"adapters":[]}}],"id":"{id}","born":1}}"#
    )
}

/// Serves the provider's list, whose entries are passed on as they are.
pub fn serve_list(address: SocketAddr, list: Arc<Mutex<Vec<String>>>) {
    let listener = TcpListener::bind(address).unwrap_or_else(|e| unable(&e.to_string()));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let list = list.clone();
            thread::spawn(move || {
                let mut stream = stream;
                if read_request(&mut stream).is_none() {
                    return;
                }
                let entries = list.lock().unwrap().join(",");
                let body = format!(r#"{{"instances":[{entries}],"next":null}}"#);
                let head = format!(
                    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
                    body.len()
                );
                stream.write_all((head + &body).as_bytes()).ok();
            });
        }
    });
}

/// Serves a runner that answers each request at once with a proof, and keeps its connections.
pub fn serve_runner(address: SocketAddr, id: &str) {
    let listener = TcpListener::bind(address).unwrap_or_else(|e| unable(&e.to_string()));
    let id = id.to_owned();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let id = id.clone();
            thread::spawn(move || {
                let mut stream = stream;
                while let Some((head, _)) = read_request(&mut stream) {
                    let attempt = field(&head, "x-gooseberrylb-attempt-id").unwrap_or_default();
                    let expected = field(&head, "x-gooseberrylb-expect-instance");
                    let body = if head.starts_with("HEAD ") {
                        ""
                    } else {
                        "done"
                    };
                    let answer = match expected.is_none_or(|expected| expected == id) {
                        true => format!(
                            "HTTP/1.1 200 OK\r\nX-Gooseberrylb-Attempt-Id: {attempt}\r\n\
                             X-Gooseberrylb-Response-Signature: p.{attempt}\r\nKeep-Alive: timeout=10\r\n\
                             Content-Length: 4\r\n\r\n{body}"
                        ),
                        false => format!(
                            "HTTP/1.1 421 Misdirected\r\nX-Gooseberrylb-Attempt-Id: {attempt}\r\n\
                             X-Gooseberrylb-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                        ),
                    };
                    if stream.write_all(answer.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

/// Sends the first manifest until it is accepted, and waits until the front machines are ready.
pub fn wait_until_ready(
    fleet: &Deployment,
    core: &[u8],
    front: &[u8],
    manifest: &str,
    record: &Record,
) {
    let second = Duration::from_secs(1);
    let end = Instant::now() + Duration::from_secs(30);
    let mut turn = 0;
    loop {
        let host = core[turn % core.len()];
        let answer = call(
            fleet.address(host, CONTROL),
            "PUT",
            "/api/configuration",
            manifest,
            second,
        );
        if answer.is_some_and(|answer| answer.status == 200) {
            record.line(&format!("core {host}: the manifest is acknowledged"));
            break;
        }
        if Instant::now() >= end {
            unable("the manifest is not accepted");
        }
        turn += 1;
        thread::sleep(Duration::from_millis(200));
    }
    for host in front {
        let ready = fleet.address(*host, READY);
        while call(ready, "GET", "/api/readiness", "", second).is_none_or(|a| a.status != 200) {
            if Instant::now() >= end {
                unable("a front machine does not become ready");
            }
            thread::sleep(Duration::from_millis(200));
        }
    }
}

/// Runs a case and ends with its exit code: 1 if the rule was broken, 0 if it held.
pub fn run(case: fn(Record, bool) -> i32) -> ! {
    watch(Duration::from_secs(110));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create();
    record.line(if trouble {
        "with the disruption"
    } else {
        "without the disruption"
    });
    let code = case(record.clone(), trouble);
    record.line(&format!("exit {code}"));
    std::process::exit(code)
}
