//! HTTP client that tries the given instances in order until one answers.

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
use crate::output::print_line;

/// Time limit for opening a connection to an instance.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
/// Time limit for an instance to answer a request.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(15);

/// Request that any instance can answer. Each may safely be sent twice: queries change nothing, and
/// the number of a note makes its submission idempotent.
#[derive(Debug, Clone)]
pub struct Call {
    /// HTTP method.
    method: Method,
    /// Path with its query.
    path: String,
    /// JSON body, if any.
    body: Option<String>,
}

impl Call {
    /// Returns a GET request for `path`.
    pub fn get(path: impl Into<String>) -> Self {
        Self {
            method: Method::Get,
            path: path.into(),
            body: None,
        }
    }

    /// Returns a POST request that sends `body` to `path`.
    pub fn post(path: impl Into<String>, body: String) -> Self {
        Self {
            method: Method::Post,
            path: path.into(),
            body: Some(body),
        }
    }

    /// Returns a DELETE request for `path`.
    pub fn delete(path: impl Into<String>) -> Self {
        Self {
            method: Method::Delete,
            path: path.into(),
            body: None,
        }
    }

    /// Returns the HTTP request to the instance at `address`.
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

/// Response of an instance.
struct Response {
    status: StatusCode,
    body: String,
}

/// Sends a call to the operators' listeners and returns the body of the response.
pub async fn send(access: &Access, call: &Call) -> Result<String, Failure> {
    if access.instances.is_empty() {
        let message = "no instance given; use gooseberryctl --instance IP:PORT …";
        return Err(Failure::Input(message.to_owned()));
    }
    let token = match &access.token_file {
        Some(path) => {
            let token = Secret::read(path);
            Some(token.map_err(|error| Failure::Input(error.to_string()))?)
        }
        None => None,
    };
    send_to_any(&access.instances, call, token.as_ref()).await
}

/// Sends a call to the operators' listeners and returns the decoded response. With `--json`, prints
/// the response as received and returns `None`.
pub async fn fetch<T: DeserializeOwned>(
    access: &Access,
    call: &Call,
) -> Result<Option<T>, Failure> {
    let body = send(access, call).await?;
    if access.json {
        print_line!("{}", body.trim_end());
        return Ok(None);
    }
    parse(&body).map(Some)
}

/// Returns the value decoded from the body of a response.
pub fn parse<T: DeserializeOwned>(body: &str) -> Result<T, Failure> {
    serde_json::from_str(body).map_err(|error| {
        let message = format!("cannot decode the response: {error}");
        Failure::Refused(answer::Error::new("unreadable_answer", message))
    })
}

/// Sends a call to the instances in order and returns the body of the first success.
///
/// An instance that responds with a server error is skipped, as is one that does not answer. If
/// none succeeds, the last server error is returned. Any other error is returned at once.
pub async fn send_to_any(
    addresses: &[SocketAddr],
    call: &Call,
    token: Option<&Secret>,
) -> Result<String, Failure> {
    let mut unanswered = Vec::new();
    let mut last_error = None;
    for address in addresses {
        let response = match send_to(*address, call, token).await {
            Ok(response) => response,
            Err(reason) => {
                unanswered.push((*address, reason));
                continue;
            }
        };
        if response.status.is_success() {
            return Ok(response.body);
        }
        let error = decode_error(&response);
        if !response.status.is_server_error() {
            return Err(Failure::Refused(error));
        }
        last_error = Some(error);
    }
    match last_error {
        Some(error) => Err(Failure::Refused(error)),
        None => Err(Failure::NoAnswer(unanswered)),
    }
}

/// Returns the error in a response, or one that quotes the response if it cannot be decoded.
fn decode_error(response: &Response) -> answer::Error {
    serde_json::from_str(&response.body).unwrap_or_else(|_| {
        let message = format!("status {}: {}", response.status, response.body.trim());
        answer::Error::new("unknown_error", message)
    })
}

/// Sends a call to one instance.
async fn send_to(
    address: SocketAddr,
    call: &Call,
    token: Option<&Secret>,
) -> Result<Response, String> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| "cannot connect in time".to_owned())?
        .map_err(|error| error.to_string())?;
    let request = call
        .request(address, token)
        .map_err(|error| error.to_string())?;
    timeout(RESPONSE_TIMEOUT, exchange(stream, request))
        .await
        .map_err(|_| "no answer in time".to_owned())?
        .map_err(|error| error.to_string())
}

/// Sends a request on a connection and reads the whole response.
async fn exchange(stream: TcpStream, request: Request) -> http_types::Result<Response> {
    let mut response = async_h1::connect(stream, request).await?;
    Ok(Response {
        status: response.status(),
        body: response.body_string().await?,
    })
}
