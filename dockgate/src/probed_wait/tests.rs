use super::*;
use std::net::Ipv4Addr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const TIMEOUT: Duration = Duration::from_secs(5);

/// Starts a store that takes calls, and answers probes or nothing at all.
async fn store(answers: bool) -> PlatformClient {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                const PAGE: &str = r#"{"entries":[],"has_more":false,"timestamp":7}"#;
                let answer = format!(
                    "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{PAGE}",
                    PAGE.len()
                );
                let mut bytes = vec![0; 4_096];
                while let Ok(1..) = stream.read(&mut bytes).await {
                    if answers && stream.write_all(answer.as_bytes()).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    PlatformClient::new(address, TIMEOUT)
}

/// The same cause as with endpoints that leave: a store that fell silent was taken for one in which
/// nothing changes.
#[tokio::test]
async fn a_watch_is_given_up_once_the_store_says_nothing() {
    let client = store(false).await;
    let watch = std::future::pending::<Result<(), PlatformError>>();
    let error = wait_with_probes(&client, watch).await.unwrap_err();
    assert!(
        matches!(error, PlatformError::TimedOut("probe", _)),
        "{error}"
    );
}

#[tokio::test]
async fn a_watch_that_waits_for_long_is_left_alone_while_the_store_answers() {
    let client = store(true).await;
    let watch = async {
        tokio::time::sleep(Duration::from_millis(2_000)).await;
        Ok(9)
    };
    assert_eq!(wait_with_probes(&client, watch).await.unwrap(), 9);
}
