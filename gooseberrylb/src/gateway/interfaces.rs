//! The system's own interfaces on a platform: declarations of operators, entries for callers, and
//! whether an entry can serve. The adapter decodes and encodes them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_std::net::TcpListener;
use async_std::{future, task};
use gooseberrylb_config::declaration::Text;
use gooseberrylb_config::dialect::{Call, Dialect};
use gooseberrylb_config::directory::rollout::Rollout;
use gooseberrylb_config::id;
use gooseberrylb_control::state::{Command, Reply};

use super::forward::write_field;
use super::http::{Connection, Error, Request};
use crate::control::{Answer, Core, Failure, Handle, Question};

/// The largest declaration accepted, in bytes.
const MAX_BODY: usize = 8 * 1024 * 1024;

/// The largest head accepted, in bytes.
const MAX_HEAD: usize = 16 * 1024;

/// How long a connection may be idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// How long a request's body may take to come.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// How long callers may keep the addresses of entries. Some keep them three times as long, and what
/// comes later than 3 s after an entry was told to stop must not be cut at the end of its grace.
const ENTRIES_TTL: Duration = Duration::from_secs(1);

/// The least entries of a caller's own data centre that are named without those of others, so that
/// the loss of one leaves another.
const MIN_LOCAL_ENTRIES: usize = 2;

/// The most entries named at once.
const MAX_ENTRIES: usize = 64;

/// What the interfaces answer from.
pub struct Interfaces {
    /// This instance's part of the control state.
    pub core: Rc<Core>,
    /// The way to the leader.
    pub control: Handle,
    /// The platform's way to speak.
    pub dialect: Arc<dyn Dialect>,
    /// Whether this instance can serve callers.
    pub is_ready: Box<dyn Fn() -> bool>,
}

struct Response {
    status: u16,
    body: String,
}

/// Serves a listener for as long as the instance runs.
pub async fn serve(interfaces: Rc<Interfaces>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let interfaces = interfaces.clone();
                task::spawn_local(async move {
                    let connection = Connection::new(stream);
                    if let Err(error) = serve_connection(&interfaces, connection).await {
                        log::debug!(error:% = error; "a caller of the interfaces broke off");
                    }
                });
            }
            Err(error) => {
                log::warn!(error:% = error; "a connection cannot be accepted");
                task::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

async fn serve_connection(
    interfaces: &Interfaces,
    mut connection: Connection,
) -> Result<(), Error> {
    loop {
        let next = future::timeout(IDLE_TIMEOUT, connection.read_request(MAX_HEAD)).await;
        let Ok(Some(request)) = next.unwrap_or(Ok(None)) else {
            return Ok(());
        };
        let reading = connection.read_body(request.framing, MAX_BODY);
        let body = match future::timeout(BODY_TIMEOUT, reading).await {
            Ok(body) => body?,
            Err(_) => return Ok(()),
        };
        let response = interfaces.answer(&request, body).await;
        let mut head = format!("HTTP/1.1 {} -\r\n", response.status).into_bytes();
        write_field(&mut head, "Content-Type", b"application/json");
        let length = response.body.len().to_string();
        write_field(&mut head, "Content-Length", length.as_bytes());
        if request.closes {
            write_field(&mut head, "Connection", b"close");
        }
        head.extend_from_slice(b"\r\n");
        head.extend_from_slice(response.body.as_bytes());
        connection.write(&head).await?;
        if request.closes {
            return Ok(());
        }
    }
}

impl Interfaces {
    fn fault(&self, status: u16, message: &str) -> Response {
        let body = self.dialect.fault(message);
        Response { status, body }
    }

    async fn answer(&self, request: &Request, body: Vec<u8>) -> Response {
        match self.dialect.call(&request.method, &request.target) {
            Call::Declare => self.declare(body).await,
            Call::ReadDeclaration => self.read_declaration().await,
            Call::RollOut => self.roll_out(body).await,
            Call::ReadRollout { service } => self.read_rollout(&service).await,
            Call::Entries { data_centre } => self.entries(data_centre.as_deref()),
            Call::Ready if (self.is_ready)() => Response {
                status: 200,
                body: "{}".to_owned(),
            },
            Call::Ready => self.fault(503, "this entry cannot serve"),
            Call::Unknown => self.fault(404, "there is no such call"),
        }
    }

    /// Checks a declaration and has it accepted. What is invalid is refused under any version, and
    /// what is not newer than the one in force changes nothing.
    async fn declare(&self, body: Vec<u8>) -> Response {
        let Ok(text) = String::from_utf8(body) else {
            return self.fault(400, "the declaration is not UTF-8");
        };
        let decoded = self.dialect.declaration(&text).and_then(|declaration| {
            let findings = declaration.check();
            findings.into_result(declaration)
        });
        let declaration = match decoded {
            Ok(declaration) => declaration,
            Err(findings) => {
                let all: Vec<String> = findings.iter().map(|f| f.to_string()).collect();
                let message = all.join("; ");
                log::info!(cause = message.as_str(); "a declaration is refused");
                return self.fault(400, &message);
            }
        };
        let version = declaration.version;
        let (bytes, text) = (text.len(), Text::new(version, text.into()));
        let text = match text {
            Ok(text) => Arc::new(text),
            Err(error) => {
                log::error!(version = version, error:% = error; "a declaration cannot be packed");
                return self.fault(500, "the declaration cannot be packed");
            }
        };
        let packed = text.packed_len();
        let at = self.core.clock.wall();
        let result = self.control.propose(Command::Declare { text, at }).await;
        log::info!(version = version, bytes = bytes, packed = packed, outcome:? = result; "a declaration was proposed");
        match result {
            Ok(Reply::Applied | Reply::Stale) => Response {
                status: 200,
                body: "{}".to_owned(),
            },
            Ok(Reply::Accepted(_) | Reply::Conflict(_) | Reply::Invalid(_) | Reply::Busy) => {
                self.fault(500, "the control state gave an answer that does not fit")
            }
            Err(failure) => self.unavailable(&failure),
        }
    }

    /// Has a rollout accepted. An order that comes again is acknowledged again.
    async fn roll_out(&self, body: Vec<u8>) -> Response {
        let Ok(text) = String::from_utf8(body) else {
            return self.fault(400, "the order is not UTF-8");
        };
        let order = match self.dialect.rollout(&text) {
            Ok(order) => order,
            Err(findings) => {
                let all: Vec<String> = findings.iter().map(|f| f.to_string()).collect();
                return self.fault(400, &all.join("; "));
            }
        };
        let directory = self.core.published().directory.clone();
        let table = self.core.table(&directory);
        let is_declared = table.is_some_and(|table| {
            let services = &table.declaration.services;
            services.contains_key(&order.service)
        });
        if !is_declared {
            let message = format!("there is no service {}", order.service);
            return self.fault(404, &message);
        }
        let at = self.core.clock.wall();
        let command = Command::RollOut {
            service: order.service.clone(),
            release: order.release.clone(),
            window: order.window,
            at,
        };
        let result = self.control.propose(command).await;
        log::info!(service:% = order.service, release:% = order.release, outcome:? = result; "a rollout was ordered");
        match result {
            Ok(Reply::Applied | Reply::Stale) => Response {
                status: 200,
                body: "{}".to_owned(),
            },
            Ok(Reply::Busy) => self.fault(409, "another rollout of the service is under way"),
            Ok(Reply::Accepted(_) | Reply::Conflict(_) | Reply::Invalid(_)) => {
                self.fault(500, "the control state gave an answer that does not fit")
            }
            Err(failure) => self.unavailable(&failure),
        }
    }

    async fn read_rollout(&self, service: &str) -> Response {
        let text = match self.control.query(Question::Rollouts).await {
            Ok(Answer::Found(text)) => text,
            Ok(Answer::Missing) => return self.fault(503, "the rollouts cannot be read"),
            Err(failure) => return self.unavailable(&failure),
        };
        let rollouts = serde_json::from_str::<BTreeMap<id::Service, Rollout>>(&text);
        match rollouts.map(|all| all.into_iter().find(|(name, _)| name.as_str() == service)) {
            Ok(Some((_, rollout))) => Response {
                status: 200,
                body: self.dialect.rollout_state(&rollout),
            },
            Ok(None) => self.fault(404, "the service has had no rollout"),
            Err(error) => {
                log::error!(error:% = error; "the leader's rollouts cannot be read");
                self.fault(503, "the rollouts cannot be read")
            }
        }
    }

    fn unavailable(&self, failure: &Failure) -> Response {
        self.fault(503, &failure.to_string())
    }

    async fn read_declaration(&self) -> Response {
        match self.control.query(Question::Declaration).await {
            Ok(Answer::Found(text)) => Response {
                status: 200,
                body: text.to_string(),
            },
            Ok(Answer::Missing) => self.fault(404, "no declaration was accepted yet"),
            Err(failure) => self.unavailable(&failure),
        }
    }

    /// Names the entries that take callers, those of the caller's data centre alone where they are
    /// enough.
    fn entries(&self, data_centre: Option<&str>) -> Response {
        let published = self.core.published();
        if !published.is_fresh(self.core.clock.now()) {
            return self.fault(503, "which entries can serve is not known");
        }
        let instances = published.directory.instances.values();
        let entries: Vec<_> = instances.filter(|i| i.entry && !i.leaving).collect();
        let local = entries
            .iter()
            .filter(|i| Some(i.data_centre.as_str()) == data_centre);
        let local: Vec<SocketAddr> = local.map(|i| i.callers).collect();
        let mut addresses: Vec<SocketAddr> = match local.len() >= MIN_LOCAL_ENTRIES {
            true => local,
            false => entries.iter().map(|i| i.callers).collect(),
        };
        addresses.truncate(MAX_ENTRIES);
        if addresses.is_empty() {
            return self.fault(503, "no entry can serve");
        }
        Response {
            status: 200,
            body: self.dialect.entries(&addresses, ENTRIES_TTL),
        }
    }
}
