use super::*;
use std::io::Write;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use yare::parameterized;

/// How the peer of a connection disconnects.
#[derive(Debug, Clone, Copy)]
enum DisconnectKind {
    Close,
    Reset,
    HalfClose,
}

/// Connects a caller and returns both sides.
pub(crate) async fn pair() -> (TcpStream, SharedStream) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let caller = TcpStream::connect(listener.local_addr().unwrap());
    let (caller, accepted) = tokio::join!(caller, listener.accept());
    (caller.unwrap(), SharedStream::new(accepted.unwrap().0))
}

async fn disconnect(mut caller: TcpStream, kind: DisconnectKind) -> Option<TcpStream> {
    match kind {
        DisconnectKind::Close => None,
        DisconnectKind::Reset => {
            caller.set_zero_linger().unwrap();
            None
        }
        DisconnectKind::HalfClose => {
            caller.shutdown().await.unwrap();
            Some(caller)
        }
    }
}

/// Waits for the delivery on loopback, without polls of the runtime.
fn wait_for_delivery() {
    std::thread::sleep(Duration::from_millis(20));
}

#[parameterized(
    closes = { DisconnectKind::Close },
    resets = { DisconnectKind::Reset },
    ends_sending = { DisconnectKind::HalfClose },
)]
#[test_macro(tokio::test)]
async fn disconnects_are_detected(kind: DisconnectKind) {
    let (caller, stream) = pair().await;
    let monitor = stream.disconnect_monitor();
    assert!(!monitor.is_disconnected());
    let _half_closed = disconnect(caller, kind).await;
    wait_for_delivery();
    assert!(monitor.is_disconnected());
}

#[parameterized(
    closes = { DisconnectKind::Close },
    resets = { DisconnectKind::Reset },
    ends_sending = { DisconnectKind::HalfClose },
)]
#[test_macro(tokio::test)]
async fn disconnects_are_detected_behind_unread_bytes(kind: DisconnectKind) {
    let (mut caller, stream) = pair().await;
    let monitor = stream.disconnect_monitor();
    caller.write_all(&[0; 40_000]).await.unwrap();
    wait_for_delivery();
    assert!(!monitor.is_disconnected(), "the caller has only sent bytes");
    let _half_closed = disconnect(caller, kind).await;
    wait_for_delivery();
    assert!(monitor.is_disconnected());
}

#[tokio::test]
async fn bytes_are_transferred_in_both_directions() {
    let (mut caller, mut stream) = pair().await;
    let bytes: Vec<u8> = (0..200_000_u32).map(|number| number as u8).collect();
    let sent = bytes.clone();
    let echo = async {
        let mut read = vec![0; sent.len()];
        stream.read_exact(&mut read).await.unwrap();
        stream.write_all(&read).await.unwrap();
        stream.shutdown().await.unwrap();
    };
    let call = async {
        let (mut reader, mut writer) = caller.split();
        let mut back = Vec::new();
        let write = async {
            for piece in bytes.chunks(7_001) {
                writer.write_all(piece).await.unwrap();
            }
        };
        tokio::join!(write, async {
            reader.read_to_end(&mut back).await.unwrap()
        });
        back
    };
    let ((), back) = tokio::join!(echo, call);
    assert!(back == bytes, "{} of {} bytes", back.len(), bytes.len());
}

/// Guards against a peer that sends without pause and keeps all other tasks from running.
#[tokio::test]
async fn other_tasks_run_while_bytes_are_discarded() {
    const DISCARDED_BYTES: usize = 16 << 20;
    let (caller, stream) = pair().await;
    let monitor = stream.disconnect_monitor();
    let mut caller = caller.into_std().unwrap();
    caller.set_nonblocking(false).unwrap();
    let flood = std::thread::spawn(move || {
        let block = vec![0; 1 << 20];
        while caller.write_all(&block).is_ok() {}
    });
    wait_for_delivery();
    let runs = Arc::new(AtomicUsize::new(0));
    let counter = runs.clone();
    let other = tokio::spawn(async move {
        loop {
            counter.fetch_add(1, Ordering::Relaxed);
            tokio::task::yield_now().await;
        }
    });
    discard_until_closed(&monitor, DISCARDED_BYTES).await;
    let runs = runs.load(Ordering::Relaxed);
    other.abort();
    drop((monitor, stream));
    flood.join().unwrap();
    assert!(runs >= 16, "other tasks ran {runs} times");
}
