//! Tests that the proxy applies the faults that are set, and no others.

use std::net::SocketAddr;
use std::time::Duration;

use async_std::future;
use async_std::io::{ReadExt, WriteExt};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use gooseberrylb_testbed::proxy::{Direction, Faults, Flow, Link};

/// Time limit for an exchange over loopback, long enough for a busy machine.
const SOON: Duration = Duration::from_secs(10);
/// Time without bytes that counts as silence. A short time can only let a faulty proxy pass.
const SILENCE: Duration = Duration::from_millis(100);

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Starts an echo service and a link to it.
async fn echo() -> Link {
    let listener = TcpListener::bind(any_port()).await.unwrap();
    let target = listener.local_addr().unwrap();
    task::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            task::spawn(async move { async_std::io::copy(&stream, &stream).await });
        }
    });
    Link::start("echo", any_port(), target).unwrap()
}

async fn send(stream: &mut TcpStream, text: &[u8]) {
    stream.write_all(text).await.unwrap();
}

/// Reads as many bytes as `text` has, and checks that they are equal.
async fn expect(stream: &mut TcpStream, text: &[u8]) {
    let mut got = vec![0; text.len()];
    future::timeout(SOON, stream.read_exact(&mut got))
        .await
        .unwrap()
        .unwrap();
    assert_eq!(got, text);
}

async fn expect_silence(stream: &mut TcpStream) {
    let mut got = [0; 1];
    assert!(
        future::timeout(SILENCE, stream.read(&mut got))
            .await
            .is_err()
    );
}

async fn connect(link: &Link) -> TcpStream {
    TcpStream::connect(link.address()).await.unwrap()
}

#[async_std::test]
async fn cut_resets_open_connections_and_new_ones_work() {
    let link = echo().await;
    let mut old = connect(&link).await;
    send(&mut old, b"one").await;
    expect(&mut old, b"one").await;
    link.cut();
    let end = future::timeout(SOON, old.read(&mut [0; 1])).await.unwrap();
    assert!(
        end.is_err(),
        "the connection must be reset, not closed: {end:?}"
    );
    let mut new = connect(&link).await;
    send(&mut new, b"two").await;
    expect(&mut new, b"two").await;
}

#[async_std::test]
async fn frozen_link_holds_bytes_until_the_fault_is_cleared() {
    let link = echo().await;
    let mut stream = connect(&link).await;
    link.set_faults(Faults::frozen());
    send(&mut stream, b"one").await;
    expect_silence(&mut stream).await;
    link.set_faults(Faults::default());
    expect(&mut stream, b"one").await;
}

#[async_std::test]
async fn silenced_connection_stays_silent_while_a_new_one_works() {
    let link = echo().await;
    let mut old = connect(&link).await;
    send(&mut old, b"one").await;
    expect(&mut old, b"one").await;
    link.silence();
    send(&mut old, b"two").await;
    let mut new = connect(&link).await;
    send(&mut new, b"three").await;
    expect(&mut new, b"three").await;
    expect_silence(&mut old).await;
}

#[async_std::test]
async fn discarding_one_direction_lets_the_other_pass() {
    let listener = TcpListener::bind(any_port()).await.unwrap();
    let target = listener.local_addr().unwrap();
    let link = Link::start("talk", any_port(), target).unwrap();
    let mut caller = connect(&link).await;
    let (mut server, _) = listener.accept().await.unwrap();
    let to_caller = Direction {
        flow: Flow::Discard,
        ..Direction::default()
    };
    link.set_faults(Faults {
        to_caller,
        ..Faults::default()
    });
    send(&mut caller, b"one").await;
    expect(&mut server, b"one").await;
    send(&mut server, b"two").await;
    expect_silence(&mut caller).await;
    link.set_faults(Faults::default());
    send(&mut server, b"three").await;
    let end = future::timeout(SOON, caller.read(&mut [0; 1]))
        .await
        .unwrap();
    assert!(
        end.is_err(),
        "bytes after dropped ones must not pass: {end:?}"
    );
}

#[async_std::test]
async fn refusing_link_resets_new_connections() {
    let link = echo().await;
    let mut old = connect(&link).await;
    send(&mut old, b"one").await;
    expect(&mut old, b"one").await;
    link.set_faults(Faults {
        refuse: true,
        ..Faults::default()
    });
    let refused = match TcpStream::connect(link.address()).await {
        Ok(mut stream) => future::timeout(SOON, stream.read(&mut [0; 1]))
            .await
            .unwrap()
            .is_err(),
        Err(_) => true,
    };
    assert!(refused);
    send(&mut old, b"two").await;
    expect(&mut old, b"two").await;
}

#[async_std::test]
async fn forwarded_bytes_are_counted_in_both_directions_and_dropped_ones_are_not() {
    let link = echo().await;
    let mut stream = connect(&link).await;
    send(&mut stream, b"one").await;
    expect(&mut stream, b"one").await;
    assert_eq!(link.forwarded_bytes(), 6);
    link.silence();
    send(&mut stream, b"two").await;
    expect_silence(&mut stream).await;
    assert_eq!(link.forwarded_bytes(), 6);
}
