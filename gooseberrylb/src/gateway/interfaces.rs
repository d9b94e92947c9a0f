//! Interfaces of an instance on a platform: declarations and rollouts for operators, addresses of
//! entries for callers, and readiness. The platform adapter decodes requests and encodes responses.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_std::net::TcpListener;
use async_std::{future, task};
use gooseberrylb_config::declaration::Text;
use gooseberrylb_config::dialect::{Call, Dialect};
use gooseberrylb_config::directory::Instance;
use gooseberrylb_config::directory::evacuation::Order;
use gooseberrylb_config::directory::rollout::Rollout;
use gooseberrylb_config::id;
use gooseberrylb_control::state::{Command, Reply};

use super::forward::write_field;
use super::http::{Connection, Error, Request};
use crate::control::{Answer, Core, Failure, Handle, Question, evacuation};
use crate::guard;

/// Maximum size in bytes of the body of a request, such as a declaration.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Maximum size in bytes of the head of a request.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Time limit for receiving the head of the next request on a connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Time limit for receiving the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Time to live of the addresses of entries. A stopping entry takes all requests for longer than
/// that. Some callers keep addresses three times as long, and may be refused there.
const ENTRIES_TTL: Duration = Duration::from_secs(2);

/// Minimum number of entries in a caller's data centre at which only these are returned. With two,
/// one is left if the other fails.
const MIN_LOCAL_ENTRIES: usize = 2;

/// Maximum number of entries in a response.
const MAX_ENTRIES: usize = 64;

/// State that the interfaces serve from.
pub struct Interfaces {
    /// This instance's part of the control state.
    pub core: Rc<Core>,
    /// Handle for proposals and queries to the leader.
    pub control: Handle,
    /// Adapter to the platform's formats.
    pub dialect: Arc<dyn Dialect>,
    /// Whether this instance can serve callers.
    pub is_ready: Box<dyn Fn() -> bool>,
}

/// Response to a request of the interfaces.
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
                    let serving = async {
                        let connection = Connection::new(stream);
                        if let Err(error) = serve_connection(&interfaces, connection).await {
                            log::debug!(error:% = error; "a connection to the platform interfaces failed");
                        }
                    };
                    guard::run("the platform interfaces", serving).await;
                });
            }
            Err(error) => {
                log::warn!(error:% = error; "accepting a connection to the platform interfaces failed");
                task::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

/// Serves the requests of one connection until either side closes it or a time limit passes.
async fn serve_connection(
    interfaces: &Interfaces,
    mut connection: Connection,
) -> Result<(), Error> {
    loop {
        let next = future::timeout(IDLE_TIMEOUT, connection.read_request(MAX_HEAD_BYTES)).await;
        let Ok(Some(request)) = next.unwrap_or(Ok(None)) else {
            return Ok(());
        };
        let reading = connection.read_body(request.framing, MAX_BODY_BYTES);
        let body = match future::timeout(BODY_TIMEOUT, reading).await {
            Ok(body) => body?,
            Err(_) => return Ok(()),
        };
        let response = interfaces.handle(&request, body).await;
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
    /// Returns an error response.
    fn fault(&self, status: u16, message: &str) -> Response {
        let body = self.dialect.encode_error(message);
        Response { status, body }
    }

    /// Handles a request and returns the response.
    async fn handle(&self, request: &Request, body: Vec<u8>) -> Response {
        match self.dialect.decode_call(&request.method, &request.target) {
            Call::Declare => self.declare(body).await,
            Call::ReadDeclaration => self.read_declaration().await,
            Call::RollOut => self.roll_out(body).await,
            Call::ReadRollout { service } => self.read_rollout(&service).await,
            Call::Evacuate(order) => self.evacuate(order).await,
            Call::Entries {
                data_centre,
                region,
                host,
            } => self.entries(data_centre.as_deref(), region.as_deref(), host.as_deref()),
            Call::Ready if (self.is_ready)() => Response {
                status: 200,
                body: "{}".to_owned(),
            },
            Call::Ready => self.fault(503, "this entry cannot serve"),
            Call::Unknown => self.fault(404, "there is no such call"),
        }
    }

    /// Checks a declaration and proposes it. An invalid declaration is rejected whatever its
    /// version. One that is not newer than the declaration in force is acknowledged and changes
    /// nothing.
    async fn declare(&self, body: Vec<u8>) -> Response {
        let Ok(text) = String::from_utf8(body) else {
            return self.fault(400, "the declaration is not UTF-8");
        };
        let decoded = self
            .dialect
            .decode_declaration(&text)
            .and_then(|declaration| {
                let findings = declaration.check();
                findings.into_result(declaration)
            });
        let declaration = match decoded {
            Ok(declaration) => declaration,
            Err(findings) => {
                let all: Vec<String> = findings.iter().map(|f| f.to_string()).collect();
                let message = all.join("; ");
                log::info!(cause = message.as_str(); "rejected an invalid declaration");
                return self.fault(400, &message);
            }
        };
        let version = declaration.version;
        let (bytes, text) = (text.len(), Text::new(version, text.into()));
        let text = match text {
            Ok(text) => Arc::new(text),
            Err(error) => {
                log::error!(version = version, error:% = error; "packing a declaration failed");
                return self.fault(500, "the declaration cannot be packed");
            }
        };
        let packed = text.compressed_len();
        let at = self.core.clock.wall();
        let result = self.control.propose(Command::Declare { text, at }).await;
        log::info!(version = version, bytes = bytes, packed = packed, outcome:? = result; "proposed a declaration");
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

    /// Proposes a rollout. A repeated order is acknowledged again.
    async fn roll_out(&self, body: Vec<u8>) -> Response {
        let Ok(text) = String::from_utf8(body) else {
            return self.fault(400, "the order is not UTF-8");
        };
        let order = match self.dialect.decode_rollout_order(&text) {
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
        log::info!(service:% = order.service, release:% = order.release, outcome:? = result; "proposed a rollout");
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

    /// Returns the state of a service's latest rollout.
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
                body: self.dialect.encode_rollout(&rollout),
            },
            Ok(None) => self.fault(404, "the service has had no rollout"),
            Err(error) => {
                log::error!(error:% = error; "cannot decode the rollouts from the leader");
                self.fault(503, "the rollouts cannot be read")
            }
        }
    }

    /// Proposes to evacuate a data centre, or to end that. A repeated order is acknowledged again.
    async fn evacuate(&self, order: Order) -> Response {
        let name = order.data_centre.clone();
        match evacuation::submit(&self.control, order, self.core.clock.wall()).await {
            Ok(evacuation::Outcome::Accepted) => Response {
                status: 200,
                body: "{}".to_owned(),
            },
            Ok(evacuation::Outcome::UnknownDataCentre) => {
                self.fault(404, &format!("there is no data centre {name}"))
            }
            Err(failure) => self.unavailable(&failure),
        }
    }

    /// Returns the error response for a failed proposal or query.
    fn unavailable(&self, failure: &Failure) -> Response {
        self.fault(503, &failure.to_string())
    }

    /// Returns the text of the declaration in force.
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

    /// Returns the addresses of the entries that serve callers, restricted to the caller's data
    /// centre if it has at least [`MIN_LOCAL_ENTRIES`], else to its region or, where the host's routes
    /// name regions, to these.
    fn entries(
        &self,
        data_centre: Option<&str>,
        region: Option<&str>,
        host: Option<&str>,
    ) -> Response {
        let published = self.core.published();
        if !published.is_fresh(self.core.clock.now()) {
            return self.fault(503, "which entries can serve is not known");
        }
        let table = self.core.table(&published.directory);
        let homes = table
            .zip(host)
            .map(|(table, host)| table.homes_of_host(host))
            .unwrap_or_default();
        let within = |least: usize, is_near: &dyn Fn(&Instance) -> bool| {
            let entries = published.directory.entries().map(|(_, entry)| entry);
            let near = entries.filter(|entry| is_near(entry));
            let addresses: Vec<SocketAddr> = near.map(|entry| entry.callers).collect();
            (addresses.len() >= least).then_some(addresses)
        };
        let is_local = |entry: &Instance| Some(entry.data_centre.as_str()) == data_centre;
        let is_regional = |entry: &Instance| Some(entry.region.as_str()) == region;
        let is_home = |entry: &Instance| homes.contains(entry.region.as_str());
        let mut addresses = within(MIN_LOCAL_ENTRIES, &is_local)
            .or_else(|| within(1, &is_regional))
            .or_else(|| within(1, &is_home))
            .or_else(|| within(1, &|_| true))
            .unwrap_or_default();
        addresses.truncate(MAX_ENTRIES);
        if addresses.is_empty() {
            return self.fault(503, "no entry can serve");
        }
        Response {
            status: 200,
            body: self.dialect.encode_entries(&addresses, ENTRIES_TTL),
        }
    }
}
