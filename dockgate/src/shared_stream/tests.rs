use super::*;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use yare::parameterized;

/// How the other side of a connection leaves.
#[derive(Debug, Clone, Copy)]
enum Leaving {
    Closes,
    Resets,
    EndsSending,
}

/// Makes a connection: the other side, and the own one.
pub(crate) async fn pair() -> (TcpStream, SharedStream) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let caller = TcpStream::connect(listener.local_addr().unwrap());
    let (caller, accepted) = tokio::join!(caller, listener.accept());
    (caller.unwrap(), SharedStream::new(accepted.unwrap().0))
}

async fn leave(mut caller: TcpStream, leaving: Leaving) -> Option<TcpStream> {
    match leaving {
        Leaving::Closes => None,
        Leaving::Resets => {
            caller.set_zero_linger().unwrap();
            None
        }
        Leaving::EndsSending => {
            caller.shutdown().await.unwrap();
            Some(caller)
        }
    }
}

/// Waits for what the system has on its way on loopback; the runtime does not ask it meanwhile.
fn settle() {
    std::thread::sleep(Duration::from_millis(20));
}

#[parameterized(
    closes = { Leaving::Closes },
    resets = { Leaving::Resets },
    ends_sending = { Leaving::EndsSending },
)]
#[test_macro(tokio::test)]
async fn who_leaves_is_known_to_have_left(leaving: Leaving) {
    let (caller, stream) = pair().await;
    let monitor = stream.disconnect_monitor();
    assert!(!monitor.is_disconnected());
    let _kept = leave(caller, leaving).await;
    settle();
    assert!(monitor.is_disconnected());
}

#[parameterized(
    closes = { Leaving::Closes },
    resets = { Leaving::Resets },
    ends_sending = { Leaving::EndsSending },
)]
#[test_macro(tokio::test)]
async fn bytes_that_nobody_reads_do_not_hide_that_somebody_has_left(leaving: Leaving) {
    let (mut caller, stream) = pair().await;
    let monitor = stream.disconnect_monitor();
    caller.write_all(&[0; 40_000]).await.unwrap();
    settle();
    assert!(!monitor.is_disconnected(), "it has only sent");
    let _kept = leave(caller, leaving).await;
    settle();
    assert!(monitor.is_disconnected());
}

#[tokio::test]
async fn bytes_pass_both_ways_in_pieces_of_any_size() {
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
