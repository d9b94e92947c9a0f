//! Shared parts of the review's scripts: starts the project's programs with the commands of the deploy
//! file on loopback addresses, and plays the platform, the operator and the clients.
#![allow(dead_code)]

use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

pub const PROGRAM: &str = "target/release/gooseberrylb";
pub const FRONT: u16 = 18_221;
pub const READY: u16 = 18_224;
pub const CONTROL: u16 = 18_229;
pub const DIRECTORY: u16 = 18_220;
pub const PEERS: u16 = 18_600;
pub const UNUSED: u16 = 18_615;
pub const OPERATORS: u16 = 18_602;
pub const LIST: u16 = 18_225;
pub const RUNNER: u16 = 18_080;
/// Host part of the platform's address.
pub const PLATFORM: u8 = 200;
/// Host part of the first front machine's address; core machines begin at 1.
pub const FIRST_FRONT: u8 = 20;

/// Whether the disruption is played.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

static RECORD: OnceLock<(Mutex<File>, Instant)> = OnceLock::new();

/// Opens the record file named by the first argument.
pub fn open_record() {
    let path = std::env::args().nth(1).expect("the path of the record");
    let file = File::create(path).expect("the record can be created");
    let _ = RECORD.set((Mutex::new(file), Instant::now()));
}

/// Milliseconds since the start of the script.
pub fn now_ms() -> u64 {
    RECORD
        .get()
        .map_or(0, |(_, t)| t.elapsed().as_millis() as u64)
}

/// Writes a line to the record.
pub fn record(line: &str) {
    if let Some((file, _)) = RECORD.get() {
        let _ = writeln!(file.lock().unwrap(), "{:>7} ms  {line}", now_ms());
    }
}

/// Loopback network of one run: 127.A.B.0/24.
#[derive(Clone, Copy)]
pub struct Net(pub u8, pub u8);

impl Net {
    /// Picks a network whose addresses are free.
    pub fn pick() -> Self {
        let pid = std::process::id();
        for i in 0..50 {
            let net = Net(20 + ((pid + i) % 200) as u8, ((pid / 200 + i) % 250) as u8);
            if TcpListener::bind(net.at(PLATFORM, LIST)).is_ok() {
                return net;
            }
        }
        panic!("no free loopback network");
    }

    pub fn ip(self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.0, self.1, host)
    }

    pub fn at(self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip(host).into(), port)
    }
}

/// Entry of the platform's list.
#[derive(Clone)]
pub struct Listed {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub version: String,
    pub slots: u32,
    pub draining: bool,
}

pub type List = Arc<Mutex<Vec<Listed>>>;

/// Request as read from a connection.
#[derive(Clone, Debug)]
pub struct Message {
    pub head: String,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<String> {
        let lines = self.head.lines().skip(1);
        let mut fields = lines.filter_map(|l| l.split_once(':'));
        fields
            .find(|(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, v)| v.trim().to_owned())
    }

    pub fn target(&self) -> &str {
        self.head.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or(0)
    }
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(stream: &mut TcpStream) -> io::Result<Option<String>> {
    let mut bytes = Vec::new();
    let mut byte = [0];
    while !bytes.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte)? == 0 {
            return match bytes.is_empty() {
                true => Ok(None),
                false => Err(io::ErrorKind::UnexpectedEof.into()),
            };
        }
        bytes.push(byte[0]);
    }
    Ok(Some(String::from_utf8_lossy(&bytes).into_owned()))
}

/// Reads a request with a body of stated length.
pub fn read_request(stream: &mut TcpStream) -> io::Result<Option<Message>> {
    let Some(head) = read_head(stream)? else {
        return Ok(None);
    };
    let mut message = Message {
        head,
        body: Vec::new(),
    };
    let length = message
        .field("Content-Length")
        .and_then(|v| v.parse().ok())
        .unwrap_or(0);
    message.body = vec![0; length];
    stream.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// Sends a request on a new connection and reads the whole response.
pub fn call(address: SocketAddr, request: &[u8], limit: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_nodelay(true)?;
    exchange(&mut stream, request)
}

/// Sends a request on an open channel and reads the whole response.
pub fn exchange(stream: &mut TcpStream, request: &[u8]) -> io::Result<Message> {
    stream.write_all(request)?;
    let head = read_head(stream)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let mut message = Message {
        head,
        body: Vec::new(),
    };
    message.body = read_body(stream, &message)?;
    Ok(message)
}

/// Reads the body that follows a response's head.
pub fn read_body(stream: &mut TcpStream, message: &Message) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if let Some(length) = message
        .field("Content-Length")
        .and_then(|v| v.parse::<usize>().ok())
    {
        body = vec![0; length];
        stream.read_exact(&mut body)?;
    } else if message.field("Transfer-Encoding").is_some() {
        loop {
            let mut line = Vec::new();
            let mut byte = [0];
            while !line.ends_with(b"\r\n") {
                if stream.read(&mut byte)? == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
                line.push(byte[0]);
            }
            let size = String::from_utf8_lossy(&line);
            let size =
                usize::from_str_radix(size.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
            let mut chunk = vec![0; size + 2];
            stream.read_exact(&mut chunk)?;
            if size == 0 {
                break;
            }
            body.extend_from_slice(&chunk[..size]);
        }
    } else {
        stream.read_to_end(&mut body)?;
    }
    Ok(body)
}

/// Serves the platform's list of runners.
pub fn serve_list(net: Net, list: List) {
    let listener = TcpListener::bind(net.at(PLATFORM, LIST)).expect("the list's address is free");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let list = list.clone();
            thread::spawn(move || {
                let mut stream = stream;
                while let Ok(Some(_)) = read_request(&mut stream) {
                    let entries: Vec<String> = list.lock().unwrap().iter().map(entry).collect();
                    let body = format!("{{\"instances\":[{}],\"next\":null}}", entries.join(","));
                    let head = format!(
                        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                        body.len()
                    );
                    if stream.write_all((head + &body).as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

fn entry(listed: &Listed) -> String {
    let state = if listed.draining { "draining" } else { "ready" };
    format!(
        "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"sfax-a\",\"version\":\"{}\",\"slots\":{},\
         \"state\":\"{state}\",\"cold-remaining-ms\":0,\"stage\":\"both\",\
         \"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"id\":\"{}\",\"born\":1790000000000}}",
        listed.service, listed.address, listed.version, listed.slots, listed.id
    )
}

/// The project's processes of one run.
pub struct Fleet {
    pub net: Net,
    pub folder: PathBuf,
    pub processes: Arc<Mutex<Vec<(u8, Child)>>>,
    pub cores: u8,
    pub fronts: u8,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for (_, process) in self.processes.lock().unwrap().iter_mut() {
            let _ = process.kill();
            let _ = process.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Fleet {
    /// Starts core and front machines, and the platform's list.
    pub fn start(net: Net, cores: u8, fronts: u8, list: List) -> Self {
        serve_list(net, list);
        let folder =
            std::env::temp_dir().join(format!("gooseberrylb-review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let fleet = Fleet {
            net,
            folder,
            processes: Arc::default(),
            cores,
            fronts,
        };
        for host in (1..=cores).chain((0..fronts).map(|i| FIRST_FRONT + i)) {
            fleet.spawn(host, true);
        }
        fleet
    }

    /// Starts the program of a machine with the settings that `deploy/instance.json` lays out.
    pub fn spawn(&self, host: u8, bootstrap: bool) {
        // A machine has one process at a time.
        let mut processes = self.processes.lock().unwrap();
        if let Some(at) = processes.iter().position(|(h, _)| *h == host) {
            let (_, mut ended) = processes.remove(at);
            let _ = ended.kill();
            let _ = ended.wait();
            STARTED.lock().unwrap().retain(|pid| *pid != ended.id());
        }
        let net = self.net;
        let folder = self.folder.join(host.to_string());
        fs::create_dir_all(folder.join("data")).expect("a data folder");
        let is_core = host < FIRST_FRONT;
        let zone = ["sfax-a", "sfax-b", "sfax-c"][usize::from(host) % 3];
        let seeds: Vec<String> = (1..=self.cores.min(3))
            .map(|h| format!("\"{}\"", net.at(h, CONTROL)))
            .collect();
        let (callers, role) = match is_core {
            true => (
                net.at(host, UNUSED),
                format!(
                    "\"control\": \"{}\", \"directory\": \"{}\",",
                    net.at(host, CONTROL),
                    net.at(host, DIRECTORY)
                ),
            ),
            false => (
                net.at(host, FRONT),
                format!("\"ready\": \"{}\",", net.at(host, READY)),
            ),
        };
        let data = match is_core {
            true => format!("\"data_folder\": \"{}\",", folder.join("data").display()),
            false => String::new(),
        };
        let root = std::env::current_dir().expect("the repository's root");
        let text = format!(
            "{{\n  \"name\": \"{}\", \"data_centre\": \"{zone}\", \"region\": \"sfax\",\n  \"callers\": \"{callers}\",\n  \
             \"peers_listen\": \"{}\", \"operators\": \"{}\", {data}\n  \"base_folder\": \"{}\",\n  \
             \"cluster_key_file\": \"deploy/cluster.key\", \"operator_token_file\": \"deploy/operator.token\",\n  \
             \"log\": {{ \"level\": \"info\", \"stdout\": true }}, \"limits\": {{ \"connections\": 3000 }},\n  \
             \"deployment\": {{ \"seeds\": [{}], \"first_start\": {bootstrap}, {role}\n    \"feed\": \"{}\", \
             \"grace_s\": 8, \"retry_share\": 0.2, \"retry_slack\": 54, \"retry_window_s\": 10,\n    \
             \"data_centres\": [{{ \"data_centre\": \"sfax-a\", \"region\": \"sfax\" }}, \
             {{ \"data_centre\": \"sfax-b\", \"region\": \"sfax\" }}, {{ \"data_centre\": \"sfax-c\", \"region\": \"sfax\" }}],\n    \
             \"trial_share\": 0.1, \"change_limit_ms\": 2000, \"drain_limit_ms\": 3000, \"quota_window_s\": 8 }}\n}}\n",
            net.ip(host),
            net.at(host, PEERS),
            net.at(host, OPERATORS),
            root.display(),
            seeds.join(", "),
            net.at(PLATFORM, LIST),
        );
        let settings = folder.join("node.json");
        fs::write(&settings, text).expect("settings");
        let output = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(folder.join("output"))
            .expect("output");
        let errors = output.try_clone().expect("output");
        let process = Command::new(PROGRAM)
            .arg("--settings")
            .arg(&settings)
            .env("ASYNC_STD_THREAD_COUNT", "1")
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn()
            .expect("the program starts");
        record(&format!("started the process of {}", net.ip(host)));
        STARTED.lock().unwrap().push(process.id());
        processes.push((host, process));
    }

    pub fn pid(&self, host: u8) -> Option<u32> {
        let processes = self.processes.lock().unwrap();
        processes
            .iter()
            .find(|(h, _)| *h == host)
            .map(|(_, p)| p.id())
    }

    /// Sends a signal to a machine's process.
    pub fn signal(&self, host: u8, name: &str) {
        if let Some(pid) = self.pid(host) {
            record(&format!("signal {name} to {}", self.net.ip(host)));
            let _ = Command::new("kill")
                .arg(format!("-{name}"))
                .arg(pid.to_string())
                .status();
        }
    }

    /// Sends an order to the core machines in turn until one gives a clear answer.
    pub fn order(&self, method: &str, path: &str, body: &str, limit: Duration) -> Option<Message> {
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\
             Connection: close\r\n\r\n{body}",
            body.len()
        );
        let end = Instant::now() + limit;
        let mut host = 0;
        while Instant::now() < end {
            host = host % self.cores + 1;
            match call(
                self.net.at(host, CONTROL),
                request.as_bytes(),
                Duration::from_secs(4),
            ) {
                Ok(answer) if answer.status() < 500 => return Some(answer),
                _ => thread::sleep(Duration::from_millis(50)),
            }
        }
        None
    }

    /// Waits until all front machines are ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        let request = b"GET /api/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        (0..self.fronts).all(|i| {
            let address = self.net.at(FIRST_FRONT + i, READY);
            loop {
                if let Ok(answer) = call(address, request, Duration::from_secs(1))
                    && answer.status() == 200
                {
                    return true;
                }
                if Instant::now() >= end {
                    return false;
                }
                thread::sleep(Duration::from_millis(50));
            }
        })
    }

    /// Copies the processes' output beside the record, for a failed set-up.
    pub fn keep_output(&self) {
        for host in (1..=self.cores).chain((0..self.fronts).map(|i| FIRST_FRONT + i)) {
            if let Ok(text) = fs::read_to_string(self.folder.join(host.to_string()).join("output"))
            {
                for line in text.lines().rev().take(5) {
                    record(&format!("{}: {line}", self.net.ip(host)));
                }
            }
        }
    }
}

/// Longest duration of a script.
const LONGEST: Duration = Duration::from_secs(112);

/// Processes that are ended if the script takes too long.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the processes that were started, and the script, once it has taken too long.
fn watch() {
    thread::sleep(LONGEST);
    record("the script took too long");
    for pid in STARTED.lock().unwrap().iter() {
        let _ = Command::new("kill")
            .arg("-KILL")
            .arg(pid.to_string())
            .status();
    }
    std::process::exit(2);
}

/// Runs a script's body and exits: 0 if the rule held, 1 if it was broken, 2 if the script could not run.
pub fn run(body: impl FnOnce() -> Result<bool, String> + std::panic::UnwindSafe) -> ! {
    open_record();
    thread::spawn(watch);
    let code = match std::panic::catch_unwind(body) {
        Ok(Ok(true)) => 0,
        Ok(Ok(false)) => 1,
        Ok(Err(message)) => {
            record(&format!("could not run: {message}"));
            2
        }
        Err(_) => 2,
    };
    record(&format!("exit code {code}"));
    std::process::exit(code)
}
