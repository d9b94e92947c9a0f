//! Accepts connections of other instances, performs the handshake, and passes each connection to
//! the server of its plane.

use std::rc::Rc;

use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use gooseberrylb_wire::handshake::{self, Greeting};
use gooseberrylb_wire::peer_capnp::control;
use gooseberrylb_wire::plane::Kind;
use gooseberrylb_wire::server;

use super::core::Core;
use super::dispatch;
use crate::guard;

/// Maximum number of concurrent handshakes, so that unauthenticated peers cannot exhaust the
/// control thread. Further connections are dropped.
const MAX_HANDSHAKES: usize = 64;

/// Connection whose handshake has completed.
pub struct Accepted {
    /// The authenticated connection.
    pub stream: TcpStream,
    /// Identity and plane announced by the other end.
    pub greeting: Greeting,
}

/// Accepts connections for as long as the process runs.
pub async fn accept(core: Rc<Core>, listener: TcpListener) {
    let pause_lock = Rc::new(async_std::sync::Mutex::new(()));
    let in_progress = Rc::new(std::cell::Cell::new(0));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("accepting a connection of another instance failed: {error}");
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
                guard::run("another instance", route(core, accepted)).await;
            }
        });
    }
}

async fn perform_handshake(core: &Core, mut stream: TcpStream) -> Option<Accepted> {
    let own = Greeting {
        instance: core.identity.name.clone(),
        incarnation: core.identity.incarnation,
        plane: Kind::Control,
    };
    match handshake::accept(&mut stream, &core.identity.key, &own).await {
        Ok(greeting) => Some(Accepted { stream, greeting }),
        Err(error) => {
            log::debug!("handshake with another instance failed: {error}");
            None
        }
    }
}

async fn route(core: Rc<Core>, accepted: Accepted) {
    match accepted.greeting.plane {
        Kind::Control => {
            let client: control::Client = capnp_rpc::new_client(super::rpc::Server::new(core));
            server::serve(accepted.stream, client.client).await.ok();
        }
        Kind::Dispatch => dispatch::session::serve(core, accepted).await,
        Kind::Delegate => {
            // Dropped by instances that are no entries, and by those with too many at once.
            if core.delegated.0.try_send(accepted).is_err() {
                log::info!("dropped a connection with requests of another entry");
            }
        }
        Kind::Traffic => {
            core.traffic.send(accepted).await.ok();
        }
    }
}
