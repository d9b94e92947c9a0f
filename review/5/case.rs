//! A key is taken away, and its holder goes on to send requests with it on a route that also takes requests
//! without a key.

#[path = "../standin/harness.rs"]
mod harness;

use harness::*;
use std::collections::HashSet;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time after the confirmation from which on no request with the key may run.
const REVOKE_MS: u64 = 5_000;

/// Ids of the requests that ran.
type Ran = Arc<Mutex<HashSet<String>>>;

fn serve(name: String, mut stream: TcpStream, ran: Ran) {
    while let Ok(Some(request)) = read_request(&mut stream) {
        let id = request
            .field("X-Gooseberrylb-Attempt-Id")
            .unwrap_or_default();
        let is_own = request.field("X-Gooseberrylb-Expect-Instance").as_deref() == Some(&name);
        let status = match id.is_empty() || is_own {
            true => "200 OK",
            false => "421 Misdirected",
        };
        if is_own {
            let tenant = request.field("X-Gooseberrylb-Tenant");
            record(&format!(
                "{name} runs {id} of {} for tenant {tenant:?}",
                request.target()
            ));
            ran.lock().unwrap().insert(id.clone());
        }
        let answer = format!(
            "HTTP/1.1 {status}\r\nX-Gooseberrylb-Attempt-Id: {id}\r\nX-Gooseberrylb-Response-Signature: s.{id}\r\nContent-Length: 2\r\n\r\n{{}}"
        );
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

fn manifest(version: u32, keys: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-1","host":"a.example","path-prefix":"/closed/","kind":"safe","timeout-ms":1500,"target-latency-ms":150,"priority":2,"service":"desk","max-attempts":2,"allow-anonymous":false}},{{"name":"r-2","host":"a.example","path-prefix":"/open/","kind":"safe","timeout-ms":1500,"target-latency-ms":150,"priority":2,"service":"desk","max-attempts":2,"allow-anonymous":true}}],"services":[{{"name":"desk","health-check-path":"/health","max-connections":100,"protocol":"h1","tls":false}}],"limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}},"tenants":[{{"name":"hule","api-keys":[{keys}],"priority":1}}]}}"#
    )
}

fn main() {
    run(|| {
        let net = Net::pick();
        let list: List = Arc::default();
        let ran: Ran = Arc::default();
        for i in 0..2u8 {
            let name = format!("i-{i}");
            let address = net.at(150 + i, RUNNER);
            let listener = TcpListener::bind(address).map_err(|e| e.to_string())?;
            list.lock().unwrap().push(Listed {
                id: name.clone(),
                service: "desk".into(),
                address,
                version: "v1".into(),
                slots: 6,
                draining: false,
            });
            let ran = ran.clone();
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let (name, ran) = (name.clone(), ran.clone());
                    thread::spawn(move || serve(name, stream, ran));
                }
            });
        }
        let fleet = Fleet::start(net, 3, 2, list);
        let put = |text: String| {
            fleet
                .order("PUT", "/api/configuration", &text, Duration::from_secs(30))
                .map(|a| a.status())
        };
        if put(manifest(3, r#""key-1","key-2""#)) != Some(200)
            || !fleet.wait_ready(Duration::from_secs(30))
        {
            fleet.keep_output();
            return Err("the system did not become ready".into());
        }
        thread::sleep(Duration::from_secs(1));
        let end = Instant::now() + Duration::from_secs(12);
        // Ids, sending times and paths of the requests with the key that is taken away.
        let sent: Arc<Mutex<Vec<(String, u64, &str, u16)>>> = Arc::default();
        let clients: Vec<_> = [(0u8, "closed"), (0, "open"), (1, "closed"), (1, "open")]
            .into_iter()
            .enumerate()
            .map(|(n, (front, path))| {
                let sent = sent.clone();
                thread::spawn(move || {
                    for i in 0.. {
                        if Instant::now() >= end {
                            return;
                        }
                        let id = format!("{n:04x}{i:012x}");
                        let request = format!(
                            "GET /{path}/{i} HTTP/1.1\r\nHost: a.example\r\nX-Gooseberrylb-Attempt-Id: {id}\r\n\
                             X-Gooseberrylb-Deadline-Ms: 1500\r\nAuthorization: Token key-1\r\nConnection: close\r\n\r\n"
                        );
                        let at = now_ms();
                        let answer = call(net.at(FIRST_FRONT + front, FRONT), request.as_bytes(), Duration::from_secs(2));
                        let status = answer.map_or(0, |a| a.status());
                        record(&format!("{id} with key-1 to /{path}/, sent at {at} ms, was answered {status}"));
                        sent.lock().unwrap().push((id, at, path, status));
                        thread::sleep(Duration::from_millis(250));
                    }
                })
            })
            .collect();
        thread::sleep(Duration::from_secs(2));
        let mut confirmed = u64::MAX;
        if trouble() {
            if put(manifest(7, r#""key-2""#)) != Some(200) {
                return Err("the manifest without the key was not confirmed".into());
            }
            confirmed = now_ms();
            record("confirmed version 7, which takes key-1 away");
        }
        for client in clients {
            client.join().map_err(|_| "a client failed")?;
        }
        let (sent, ran) = (sent.lock().unwrap(), ran.lock().unwrap());
        let late = |at: u64| at > confirmed.saturating_add(REVOKE_MS);
        let mut held = true;
        for path in ["closed", "open"] {
            let of_path: Vec<_> = sent
                .iter()
                .filter(|(_, at, p, _)| *p == path && late(*at))
                .collect();
            let count = of_path.iter().filter(|(id, ..)| ran.contains(id)).count();
            record(&format!(
                "/{path}/: {} requests with the key were sent over {REVOKE_MS} ms after the confirmation; {count} ran",
                of_path.len()
            ));
            held &= count == 0;
        }
        if !sent.iter().any(|(.., status)| *status == 200) {
            return Err("no request was served".into());
        }
        record(if held {
            "CONFIG held"
        } else {
            "CONFIG is broken: a request ran whose key had been taken away"
        });
        Ok(held)
    })
}
