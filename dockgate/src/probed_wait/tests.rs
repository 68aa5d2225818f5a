use super::*;
use std::net::Ipv4Addr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const TIMEOUT: Duration = Duration::from_secs(5);

/// The store's revision, and the one that outdated reads show.
const CURRENT: u64 = 9;
const OUTDATED: u64 = 7;

/// Returns an answer to a probe.
fn answer_to(request: &[u8]) -> String {
    let is_outdated = String::from_utf8_lossy(request).contains("serializable=1");
    let revision = if is_outdated { OUTDATED } else { CURRENT };
    let page = format!(r#"{{"entries":[],"has_more":false,"timestamp":{revision}}}"#);
    format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{page}",
        page.len()
    )
}

/// Starts a store that accepts connections, and answers every probe or none.
async fn start_store(answers_probes: bool) -> PlatformClient {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut bytes = vec![0; 4_096];
                while let Ok(length @ 1..) = stream.read(&mut bytes).await {
                    let answer = answer_to(&bytes[..length]);
                    if answers_probes && stream.write_all(answer.as_bytes()).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    PlatformClient::new(address, TIMEOUT)
}

/// Guards against mistaking a silent store for one without changes.
#[tokio::test]
async fn watches_fail_if_the_store_is_silent() {
    let client = start_store(false).await;
    let watch = std::future::pending::<Result<(), PlatformError>>();
    let error = wait_with_probes(&client, |_| watch).await.unwrap_err();
    assert!(
        matches!(error, PlatformError::TimedOut("probe", _)),
        "{error}"
    );
}

#[tokio::test]
async fn long_watches_continue_while_the_store_answers_probes() {
    let client = start_store(true).await;
    let watch = async {
        tokio::time::sleep(Duration::from_millis(2_000)).await;
        Ok(9)
    };
    assert_eq!(wait_with_probes(&client, |_| watch).await.unwrap(), 9);
}

/// Guards against a mute watch that is not looked for while outdated reads hide a change.
#[tokio::test]
async fn current_revision_is_read_beside_outdated_ones() {
    let client = start_store(true).await;
    let is_current = async |mut latest: watch::Receiver<StoreRevision>| {
        let current = StoreRevision::from(CURRENT);
        let seen = latest.wait_for(|revision| *revision >= current).await;
        Ok(seen.is_ok())
    };
    let seen = tokio::time::timeout(TIMEOUT, wait_with_probes(&client, is_current)).await;
    assert!(seen.expect("the current revision is read").unwrap());
}
