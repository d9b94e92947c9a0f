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
use super::{Start, poller};
use crate::control::Accepted;

/// Time between two checks of the configuration and the queues.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Number of ticks between two reports of held claims and trials, which nothing waits for.
const TICKS_PER_REPORT: u32 = 2;

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
    task::spawn_local(poller::run(host.clone()));
    let mut ticks: u32 = 0;
    loop {
        host.refresh();
        client.refresh();
        host.tick();
        if ticks.is_multiple_of(TICKS_PER_REPORT) {
            host.report();
        }
        ticks = ticks.wrapping_add(1);
        task::sleep(TICK_INTERVAL).await;
    }
}

async fn accept(host: Rc<Host>, accepted: Receiver<Accepted>) {
    while let Ok(link) = accepted.recv().await {
        host.record_start(&link.greeting);
        let client: traffic::Client = capnp_rpc::new_client(Server::new(host.clone()));
        task::spawn_local(server::serve(link.stream, client.client));
    }
}
