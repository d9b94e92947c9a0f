//! Starts the traffic thread and runs its tasks.

use std::io;
use std::rc::Rc;
use std::thread;
use std::time::Duration;

use async_channel::Receiver;
use async_std::task;
use gooseberrylb_wire::peer_capnp::traffic;
use gooseberrylb_wire::server;

use super::client::Client;
use super::host::Host;
use super::rpc::Server;
use super::{Start, looks};
use crate::control::Accepted;

/// The time between two looks at the configuration and the queues.
const TICK: Duration = Duration::from_millis(50);

/// The ticks between two reports of what is held and seen here, which nobody waits for.
const REPORT_TICKS: u32 = 2;

/// Starts the traffic thread; it runs until the process ends.
pub fn spawn(start: Start) -> io::Result<thread::JoinHandle<()>> {
    thread::Builder::new()
        .name("traffic".into())
        .spawn(move || task::block_on(run(start)))
}

async fn run(start: Start) {
    let host = Host::new(&start);
    let client = Client::new(&start, host.clone());
    task::spawn_local(accept(host.clone(), start.accepted));
    task::spawn_local(client.clone().run(start.commands));
    task::spawn_local(looks::run(host.clone()));
    let mut ticks: u32 = 0;
    loop {
        host.refresh();
        client.refresh();
        host.tick();
        if ticks.is_multiple_of(REPORT_TICKS) {
            host.report();
        }
        ticks = ticks.wrapping_add(1);
        task::sleep(TICK).await;
    }
}

async fn accept(host: Rc<Host>, accepted: Receiver<Accepted>) {
    while let Ok(link) = accepted.recv().await {
        host.greet(&link.greeting);
        let client: traffic::Client = capnp_rpc::new_client(Server::new(host.clone()));
        task::spawn_local(server::serve(link.stream, client.client));
    }
}
