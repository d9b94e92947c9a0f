use async_std::io::ReadExt;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;

use super::*;

/// More bytes than the buffers of a loopback connection hold.
const BYTES: usize = 16 * 1024 * 1024;

/// Returns a connection to a caller, and the caller's end.
async fn pair() -> (Connection, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let caller = TcpStream::connect(address).await.unwrap();
    (Connection::new(listener.accept().await.unwrap().0), caller)
}

/// Guards against a caller that never reads and holds its upstream and the bytes for ever.
#[test]
fn stalled_caller_is_cut_off_and_its_bytes_are_released() {
    task::block_on(async {
        let held = Held::default();
        let (connection, _caller) = pair().await;
        let error = held.write(&connection, &vec![0; BYTES]).await.unwrap_err();
        assert_eq!(error.kind(), io::ErrorKind::TimedOut);
        assert_eq!(held.0.get(), 0);
    });
}

/// Guards against a slow but sound caller that is taken for a stalled one.
#[test]
fn slow_caller_gets_the_whole_response() {
    task::block_on(async {
        let held = Held::default();
        let (connection, mut caller) = pair().await;
        let reading = task::spawn(async move {
            let mut total = 0;
            let mut part = vec![0; BYTES / 16];
            while total < BYTES {
                task::sleep(Duration::from_millis(100)).await;
                total += caller.read(&mut part).await.unwrap();
            }
            total
        });
        held.write(&connection, &vec![0; BYTES]).await.unwrap();
        assert_eq!(reading.await, BYTES);
    });
}

/// Guards against a flood of callers that do not read and fill the memory for the full time.
#[test]
fn callers_that_do_not_read_are_cut_off_sooner_while_too_much_is_held() {
    let held = Held::default();
    assert_eq!(held.stall_limit(), STALL_LIMIT);
    let flood = held.hold(MAX_HELD_BYTES + 1);
    assert_eq!(held.stall_limit(), PRESSED_STALL_LIMIT);
    drop(flood);
    assert_eq!(held.stall_limit(), STALL_LIMIT);
}
