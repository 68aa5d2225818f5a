use super::*;

#[tokio::test]
async fn what_a_listener_accepts_is_prepared_and_others_are_after_they_were() {
    let listener = listen("test", "127.0.0.1:0".parse().unwrap()).unwrap();
    let caller = TcpStream::connect(listener.local_addr().unwrap());
    let caller = caller.await.unwrap();
    assert!(!is_prepared(&caller));
    prepare(&caller).unwrap();
    assert!(is_prepared(&caller));
    let (accepted, _) = listener.accept().await.unwrap();
    // A system on which they are not taken over is told by this, and each connection is prepared.
    assert_eq!(is_prepared(&accepted), cfg!(target_os = "linux"));
}
