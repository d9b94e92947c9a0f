//! HTTP interface to control links by hand or from other processes.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use http_types::{Method, Request, Response, StatusCode};
use serde_json::json;

use super::{Faults, Link};
use crate::http::Server;
use crate::http::server::{error_response, json_response};

/// Serves `GET /links`, `POST /links/{name}/faults` and `POST /links/{name}/cut|close|silence`.
pub async fn start(address: SocketAddr, links: Vec<Arc<Link>>) -> io::Result<Server> {
    let links = Arc::new(links);
    Server::start(address, move |request| handle(links.clone(), request)).await
}

async fn handle(links: Arc<Vec<Arc<Link>>>, request: Request) -> http_types::Result<Response> {
    let path = request.url().path().to_owned();
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    match (request.method(), parts.as_slice()) {
        (Method::Get, ["links"]) => list(&links),
        (Method::Post, ["links", name, command]) => {
            match links.iter().find(|link| link.name() == *name) {
                Some(link) => apply(link, command, request).await,
                None => error_response(StatusCode::NotFound, "not_found", "no such link"),
            }
        }
        _ => error_response(StatusCode::NotFound, "not_found", "no such path"),
    }
}

fn list(links: &[Arc<Link>]) -> http_types::Result<Response> {
    let list: Vec<_> = links
        .iter()
        .map(|link| {
            json!({
                "name": link.name(),
                "address": link.address(),
                "target": link.target(),
                "connections": link.connections(),
                "faults": link.faults(),
            })
        })
        .collect();
    json_response(StatusCode::Ok, &list)
}

async fn apply(link: &Link, command: &str, mut request: Request) -> http_types::Result<Response> {
    match command {
        "faults" => {
            let faults: Faults = request.body_json().await?;
            link.set_faults(faults);
        }
        "cut" => link.cut(),
        "close" => link.close(),
        "silence" => link.silence(),
        _ => return error_response(StatusCode::NotFound, "not_found", "no such command"),
    }
    json_response(StatusCode::Ok, &json!({}))
}
