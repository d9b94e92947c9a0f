//! Sends orders to engines and queries their progress.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::future;
use gooseberrylb_config::answer;
use gooseberrylb_config::number::Fencing;
use gooseberrylb_policy::moves::order::{Answer, Kind, Order};
use http_types::{Body, Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};

use super::Error;
use super::http::{self, Reuse};

/// Error code with which engines refuse an order that carries an old fencing number.
const OLD_FENCING: &str = "old_fencing";

/// Time within which an engine must respond.
const TIMEOUT: Duration = Duration::from_secs(3);

/// An order in the engines' JSON format.
#[derive(Debug, Serialize)]
struct Payload<'a> {
    order_id: &'a str,
    fencing: Fencing,
    kind: &'static str,
    name: &'a str,
}

/// Progress of an order at an engine.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Progress {
    Running,
    Done,
    Failed,
}

/// An engine's response about an order.
#[derive(Debug, Deserialize)]
struct Status {
    state: Progress,
}

fn payload(order: &Order, fencing: Fencing) -> Payload<'_> {
    let (kind, name) = match &order.kind {
        Kind::LoadModel(model) => ("load_model", model.as_str()),
        Kind::LoadAdapter(adapter) => ("load_adapter", adapter.as_str()),
        Kind::Activate(version) => ("activate", version.as_str()),
        Kind::Unload(version) => ("unload", version.as_str()),
    };
    Payload {
        order_id: &order.id.0,
        fencing,
        kind,
        name,
    }
}

/// Queries an engine for the progress of an order.
pub async fn query(address: SocketAddr, order: &Order) -> Result<Answer, Error> {
    let path = format!("/v1/orders/{}", order.id);
    let mut response = call(
        address,
        Request::new(Method::Get, http::url(address, &path)?),
    )
    .await?;
    match response.status() {
        StatusCode::NotFound => Ok(Answer::Unknown),
        status if status.is_success() => read_status(&mut response).await,
        status => Err(unexpected_status(status)),
    }
}

/// Sends an order to an engine; sending one that the engine already has is harmless.
pub async fn send(address: SocketAddr, order: &Order, fencing: Fencing) -> Result<Answer, Error> {
    let mut request = Request::new(Method::Post, http::url(address, "/v1/orders")?);
    let body = Body::from_json(&payload(order, fencing));
    request
        .set_body(body.map_err(|error| Error::NotSent(std::io::Error::other(error.to_string())))?);
    let mut response = call(address, request).await?;
    match response.status() {
        StatusCode::Conflict => Ok(read_conflict(&mut response, fencing).await),
        status if status.is_success() => read_status(&mut response).await,
        status if status.is_client_error() => {
            let reason: Arc<str> = format!("the engine answered {status}").into();
            Ok(Answer::Refused(reason))
        }
        status => Err(unexpected_status(status)),
    }
}

/// Distinguishes the refusal of an old fencing number from other conflicts.
async fn read_conflict(response: &mut Response, fencing: Fencing) -> Answer {
    let read = future::timeout(TIMEOUT, http::read_json::<answer::Error>(response)).await;
    match read {
        // The engine gives the current number only in its message text; any number above this
        // leader's ends the leader's orders.
        Ok(Ok(answer)) if &*answer.error.code == OLD_FENCING => Answer::Fenced(fencing.next()),
        Ok(Ok(answer)) => Answer::Refused(answer.error.message),
        Ok(Err(_)) | Err(_) => Answer::Refused("the engine refused it as a conflict".into()),
    }
}

async fn call(address: SocketAddr, request: Request) -> Result<Response, Error> {
    let call = http::call(address, request, Reuse::Never, TIMEOUT);
    match future::timeout(TIMEOUT, call).await {
        Ok(exchange) => Ok(exchange?.response),
        Err(_) => Err(Error::timeout()),
    }
}

async fn read_status(response: &mut Response) -> Result<Answer, Error> {
    let status = future::timeout(TIMEOUT, http::read_json::<Status>(response)).await;
    match status {
        Ok(Ok(status)) => Ok(match status.state {
            Progress::Running => Answer::Running,
            Progress::Done => Answer::Done,
            Progress::Failed => Answer::Refused("the engine could not carry it out".into()),
        }),
        Ok(Err(error)) => Err(Error::Lost(error)),
        Err(_) => Err(Error::timeout()),
    }
}

fn unexpected_status(status: StatusCode) -> Error {
    Error::Lost(std::io::Error::other(format!(
        "the engine answered {status}"
    )))
}
