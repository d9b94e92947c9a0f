use std::time::Duration;

use async_std::future;
use async_std::io::{ReadExt, WriteExt};
use async_std::net::TcpStream;
use async_std::task;

use super::{Limits, Listener};

const LIMITS: Limits = Limits {
    connections: 100,
    idle: Duration::from_secs(10),
};
const TIMEOUT: Duration = Duration::from_secs(10);

/// Guards against a stop that drops connections which are already established: their callers have
/// sent a request and cannot know whether it has run.
#[test]
fn connection_that_crosses_the_stop_of_its_listener_gets_its_answer() {
    task::block_on(async {
        let address = "127.0.0.1:0".parse().unwrap();
        let listener = Listener::bind("callers", address, LIMITS).await.unwrap();
        let address = listener.inner.local_addr().unwrap();
        let handle = listener.handle();
        let mut app = tide::new();
        app.at("/").get(|_| async { Ok("served") });
        let mut streams = Vec::new();
        for _ in 0..3 {
            streams.push(TcpStream::connect(address).await.unwrap());
        }
        handle.stop();
        let running = task::spawn(listener.run(app));
        for stream in &mut streams {
            let request = b"GET / HTTP/1.1\r\nHost: a.example\r\n\r\n";
            stream.write_all(request).await.unwrap();
            let mut response = String::new();
            let reading = stream.read_to_string(&mut response);
            future::timeout(TIMEOUT, reading).await.unwrap().unwrap();
            assert!(response.starts_with("HTTP/1.1 200"), "{response:?}");
        }
        future::timeout(TIMEOUT, running).await.unwrap();
        assert!(handle.is_closed());
        assert_eq!((handle.busy(), handle.unread()), (0, 0));
        assert!(TcpStream::connect(address).await.is_err());
    });
}

/// Guards against a listener that waits for the next connection to learn of its stop, and drops it.
#[test]
fn listener_that_waits_for_a_connection_closes_when_it_is_stopped() {
    task::block_on(async {
        let address = "127.0.0.1:0".parse().unwrap();
        let listener = Listener::bind("callers", address, LIMITS).await.unwrap();
        let address = listener.inner.local_addr().unwrap();
        let handle = listener.handle();
        let running = task::spawn(listener.run(tide::new()));
        let _accepted = TcpStream::connect(address).await.unwrap();
        while handle.unread() == 0 {
            task::sleep(Duration::from_millis(1)).await;
        }
        handle.stop();
        future::timeout(TIMEOUT, running).await.unwrap();
        assert!(handle.is_closed());
        assert!(TcpStream::connect(address).await.is_err());
    });
}
