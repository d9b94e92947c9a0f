//! Accepts the links of other instances and hands each to the thread that it is for.

use std::rc::Rc;

use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use gooseberrylb_wire::handshake::{self, Greeting};
use gooseberrylb_wire::peer_capnp::control;
use gooseberrylb_wire::plane::Number;
use gooseberrylb_wire::server;

use super::core::Core;
use super::dispatch;

/// The most handshakes under way at once, so that strangers cannot exhaust the control thread.
const MAX_HANDSHAKES: usize = 64;

/// A link whose handshake is done.
pub struct Accepted {
    /// The connection.
    pub stream: TcpStream,
    /// What the other end said of itself.
    pub greeting: Greeting,
}

/// Accepts links until the thread ends.
pub async fn accept(core: Rc<Core>, listener: TcpListener) {
    let pause_lock = Rc::new(async_std::sync::Mutex::new(()));
    let in_progress = Rc::new(std::cell::Cell::new(0));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("cannot accept links of other instances: {error}");
                let _pause = pause_lock.lock().await;
                task::sleep(std::time::Duration::from_millis(50)).await;
                continue;
            }
        };
        if in_progress.get() >= MAX_HANDSHAKES {
            continue;
        }
        in_progress.set(in_progress.get() + 1);
        let (core, in_progress) = (core.clone(), in_progress.clone());
        task::spawn_local(async move {
            let accepted = perform_handshake(&core, stream).await;
            in_progress.set(in_progress.get() - 1);
            if let Some(accepted) = accepted {
                route(core, accepted).await;
            }
        });
    }
}

async fn perform_handshake(core: &Core, mut stream: TcpStream) -> Option<Accepted> {
    let own = Greeting {
        instance: core.identity.name.clone(),
        incarnation: core.identity.incarnation,
        plane: Number::Control,
    };
    match handshake::accept(&mut stream, &core.identity.key, &own).await {
        Ok(greeting) => Some(Accepted { stream, greeting }),
        Err(error) => {
            log::debug!("a link was refused: {error}");
            None
        }
    }
}

async fn route(core: Rc<Core>, accepted: Accepted) {
    match accepted.greeting.plane {
        Number::Control => {
            let client: control::Client = capnp_rpc::new_client(super::rpc::Server::new(core));
            server::serve(accepted.stream, client.client).await.ok();
        }
        Number::Dispatch => dispatch::session::serve(core, accepted).await,
        Number::Traffic => {
            core.traffic.send(accepted).await.ok();
        }
    }
}
