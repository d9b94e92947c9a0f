//! Asks one instance after the other until one answers.

use std::net::SocketAddr;
use std::time::Duration;

use async_std::future::timeout;
use async_std::net::TcpStream;
use gooseberrylb_config::answer;
use gooseberrylb_config::settings::Secret;
use http_types::{Method, Request, StatusCode, Url, headers};
use serde::de::DeserializeOwned;

use crate::cli::Access;
use crate::failure::Failure;
use crate::output::say;

/// How long an instance may take to accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
/// How long an instance may take to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);

/// A request to whichever instance answers. Each is safe to send twice: queries change nothing, and
/// a note's number makes its submission idempotent.
#[derive(Debug, Clone)]
pub struct Call {
    /// The method.
    method: Method,
    /// The path, with its query.
    path: String,
    /// The body, where there is one.
    body: Option<String>,
}

impl Call {
    /// Asks for `path`.
    pub fn get(path: impl Into<String>) -> Self {
        Self {
            method: Method::Get,
            path: path.into(),
            body: None,
        }
    }

    /// Sends `body` to `path`.
    pub fn post(path: impl Into<String>, body: String) -> Self {
        Self {
            method: Method::Post,
            path: path.into(),
            body: Some(body),
        }
    }

    fn request(&self, address: SocketAddr, token: Option<&Secret>) -> http_types::Result<Request> {
        let url = Url::parse(&format!("http://{address}{}", self.path))?;
        let mut request = Request::new(self.method, url);
        if let Some(token) = token {
            let value = format!("Bearer {}", token.expose());
            request.insert_header(headers::AUTHORIZATION, value);
        }
        if let Some(body) = &self.body {
            request.set_body(body.as_str());
            request.set_content_type(http_types::mime::JSON);
        }
        Ok(request)
    }
}

/// An answer that came.
struct Answer {
    /// Its status.
    status: StatusCode,
    /// Its body.
    body: String,
}

/// Asks the operators' listeners.
pub async fn ask(access: &Access, call: &Call) -> Result<String, Failure> {
    if access.instances.is_empty() {
        let message = "name an instance: gooseberryctl --instance IP:PORT …";
        return Err(Failure::Input(message.to_owned()));
    }
    let token = match &access.token_file {
        Some(path) => {
            let token = Secret::read(path);
            Some(token.map_err(|error| Failure::Input(error.to_string()))?)
        }
        None => None,
    };
    ask_any(&access.instances, call, token.as_ref()).await
}

/// Asks the operators' listeners for an answer of a known type, and prints it as it came where
/// that is wanted.
pub async fn ask_for<T: DeserializeOwned>(
    access: &Access,
    call: &Call,
) -> Result<Option<T>, Failure> {
    let body = ask(access, call).await?;
    if access.json {
        say!("{}", body.trim_end());
        return Ok(None);
    }
    parse(&body).map(Some)
}

/// Reads an answer of a known type.
pub fn parse<T: DeserializeOwned>(body: &str) -> Result<T, Failure> {
    serde_json::from_str(body).map_err(|error| {
        let message = format!("the answer cannot be read: {error}");
        Failure::Refused(answer::Error::new("unreadable_answer", message))
    })
}

/// Asks the instances in order. One that answers that it cannot do it now is passed over, as one
/// that does not answer; its refusal is what is told where none does better.
pub async fn ask_any(
    addresses: &[SocketAddr],
    call: &Call,
    token: Option<&Secret>,
) -> Result<String, Failure> {
    let mut silent = Vec::new();
    let mut unable = None;
    for address in addresses {
        let answer = match ask_one(*address, call, token).await {
            Ok(answer) => answer,
            Err(reason) => {
                silent.push((*address, reason));
                continue;
            }
        };
        if answer.status.is_success() {
            return Ok(answer.body);
        }
        let refusal = refusal(&answer);
        if !answer.status.is_server_error() {
            return Err(Failure::Refused(refusal));
        }
        unable = Some(refusal);
    }
    match unable {
        Some(refusal) => Err(Failure::Refused(refusal)),
        None => Err(Failure::NoAnswer(silent)),
    }
}

fn refusal(answer: &Answer) -> answer::Error {
    serde_json::from_str(&answer.body).unwrap_or_else(|_| {
        let message = format!("status {}: {}", answer.status, answer.body.trim());
        answer::Error::new("unknown_error", message)
    })
}

async fn ask_one(
    address: SocketAddr,
    call: &Call,
    token: Option<&Secret>,
) -> Result<Answer, String> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| "no connection in time".to_owned())?
        .map_err(|error| error.to_string())?;
    let request = call
        .request(address, token)
        .map_err(|error| error.to_string())?;
    timeout(ANSWER_TIMEOUT, exchange(stream, request))
        .await
        .map_err(|_| "no answer in time".to_owned())?
        .map_err(|error| error.to_string())
}

async fn exchange(stream: TcpStream, request: Request) -> http_types::Result<Answer> {
    let mut response = async_h1::connect(stream, request).await?;
    Ok(Answer {
        status: response.status(),
        body: response.body_string().await?,
    })
}
